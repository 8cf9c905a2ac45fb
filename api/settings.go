package api

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"
)

// Settings are one instance's own: addresses, place, and limits. They are read once, at start.
type Settings struct {
	Instance      string    `json:"instance"`
	Region        string    `json:"region"`
	FailureDomain string    `json:"failure_domain"`
	Listen        Listen    `json:"listen"`
	Platform      Platform  `json:"platform"`
	OperatorToken string    `json:"operator_token,omitempty"` // never logged
	Profile       string    `json:"profile,omitempty"`        // short_first (Coteau) or long_first (ASRQ)
	Limits        Limits    `json:"limits,omitempty"`
	Intervals     Intervals `json:"intervals,omitempty"`
	LogLevel      string    `json:"log_level,omitempty"`
	Routed        *Routed   `json:"routed,omitempty"` // nil: the instance serves our own completions interface
}

// Listen holds an instance's listeners, each IP and port. Port 0 takes any free port.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"` // without operator_token only on loopback
	Peers     string `json:"peers"`
}

// Platform holds the addresses of the platform's services, each IP and port.
type Platform struct {
	Objects   string `json:"objects"`
	Instances string `json:"instances"`
	Weights   string `json:"weights"`
}

// Limits bound what one instance takes from callers.
type Limits struct {
	MaxBodyBytes        int      `json:"max_body_bytes,omitempty"`
	MaxHeaderBytes      int      `json:"max_header_bytes,omitempty"`
	MaxConnections      int      `json:"max_connections,omitempty"`
	HeaderTimeout       Duration `json:"header_timeout,omitempty"`  // to read a whole request
	DefaultTimeout      Duration `json:"default_timeout,omitempty"` // of a request that names none
	MaxTimeout          Duration `json:"max_timeout,omitempty"`
	QueueLength         int      `json:"queue_length,omitempty"`
	WorkspaceInFlight   int      `json:"workspace_in_flight,omitempty"` // default per workspace on this instance; 0: none
	MaxCompletionTokens int      `json:"max_completion_tokens,omitempty"`
}

// Intervals are the times of the instance's own work.
type Intervals struct {
	InstanceList Duration `json:"instance_list,omitempty"` // between reads of the instance list
	LoadReport   Duration `json:"load_report,omitempty"`   // between reads of an upstream's load
	Heartbeat    Duration `json:"heartbeat,omitempty"`     // between heartbeats to a peer
	BalancerLag  Duration `json:"balancer_lag,omitempty"`  // how long the balancer still sends after not-ready
	StopTimeout  Duration `json:"stop_timeout,omitempty"`  // longest planned stop
	StreamGap    Duration `json:"stream_gap,omitempty"`    // silence on a running stream that makes it suspect
}

// Duration is a time.Duration written as in "1500ms" or "2s".
type Duration time.Duration

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a string such as "1500ms".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("duration %s is not allowed; allowed: a string such as \"1500ms\"", data)
	}
	v, err := parseDuration(s)
	if err != nil {
		return fmt.Errorf("duration %q is not allowed; allowed: a string such as \"1500ms\"", s)
	}
	*d = Duration(v)
	return nil
}

// parseDuration also takes seconds and ms with an exponent, as a template renders very small and very large numbers.
func parseDuration(s string) (time.Duration, error) {
	v, err := time.ParseDuration(s)
	if err == nil {
		return v, nil
	}
	unit := time.Millisecond
	number, ok := strings.CutSuffix(s, "ms")
	if !ok {
		unit = time.Second
		number, ok = strings.CutSuffix(s, "s")
	}
	n, bad := strconv.ParseFloat(number, 64)
	if !ok || bad != nil || math.IsNaN(n) {
		return 0, err
	}
	return time.Duration(min(n*float64(unit), math.MaxInt64/2)), nil
}

// Profiles of the one routing policy.
const (
	ProfileShortFirst = "short_first"
	ProfileLongFirst  = "long_first"
)

// Defaults of the settings that may be left out.
const (
	defaultBody          = 16 << 20
	defaultHeader        = 16 << 10
	defaultConnections   = 4096
	defaultHeaderTimeout = Duration(10 * time.Second)
	defaultTimeout       = Duration(60 * time.Second)
	defaultMaxTimeout    = Duration(10 * time.Minute)
	defaultQueue         = 512
	defaultMaxTokens     = 16384
	defaultList          = Duration(500 * time.Millisecond)
	defaultLoad          = Duration(200 * time.Millisecond)
	defaultHeartbeat     = Duration(500 * time.Millisecond)
	defaultBalancerLag   = Duration(2 * time.Second)
	defaultStop          = Duration(2 * time.Minute)
	defaultStreamGap     = Duration(2 * time.Second)
)

// LoadSettings reads, completes and checks a settings file.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := ParseSettings(data)
	if err != nil {
		return Settings{}, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// ParseSettings decodes strictly, fills defaults in and validates.
func ParseSettings(data []byte) (Settings, error) {
	var s Settings
	if err := DecodeStrict(data, &s); err != nil {
		return Settings{}, err
	}
	s.ApplyDefaults()
	return s, s.Validate()
}

// Complete fills in the defaults of what was left out.
func (s *Settings) ApplyDefaults() {
	l, i := &s.Limits, &s.Intervals
	orInt(&l.MaxBodyBytes, defaultBody)
	orInt(&l.MaxHeaderBytes, defaultHeader)
	orInt(&l.MaxConnections, defaultConnections)
	orInt(&l.QueueLength, defaultQueue)
	orInt(&l.MaxCompletionTokens, defaultMaxTokens)
	orDuration(&l.HeaderTimeout, defaultHeaderTimeout)
	orDuration(&l.DefaultTimeout, defaultTimeout)
	orDuration(&l.MaxTimeout, defaultMaxTimeout)
	orDuration(&i.InstanceList, defaultList)
	orDuration(&i.LoadReport, defaultLoad)
	orDuration(&i.Heartbeat, defaultHeartbeat)
	orDuration(&i.BalancerLag, defaultBalancerLag)
	orDuration(&i.StopTimeout, defaultStop)
	orDuration(&i.StreamGap, defaultStreamGap)
	if s.Profile == "" {
		s.Profile = ProfileShortFirst
	}
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	if s.Routed != nil {
		s.Routed.complete()
	}
}

func orInt(v *int, or int) {
	if *v == 0 {
		*v = or
	}
}

func orFloat(v **float64, or float64) {
	if *v == nil {
		*v = &or
	}
}

func orDuration(v *Duration, or Duration) {
	if *v == 0 {
		*v = or
	}
}

// Validate gives the first bad value as a *FieldError.
func (s *Settings) Validate() error {
	if s.Routed != nil {
		if err := s.validatePlace(); err != nil {
			return err
		}
		return s.Routed.validate(s)
	}
	for _, check := range []func() error{s.validatePlace, s.validateAddresses, s.validateLimits, s.validateIntervals} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) validatePlace() error {
	names := []struct{ path, value string }{
		{"instance", s.Instance}, {"region", s.Region}, {"failure_domain", s.FailureDomain},
	}
	for _, n := range names {
		if !validName(n.value) {
			return badField(n.path, fmt.Sprintf("%q", n.value), nameRule)
		}
	}
	if s.Profile != ProfileShortFirst && s.Profile != ProfileLongFirst {
		return badField("profile", fmt.Sprintf("%q", s.Profile), ProfileShortFirst+" or "+ProfileLongFirst)
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
		return nil
	}
	return badField("log_level", fmt.Sprintf("%q", s.LogLevel), "debug, info, warn or error")
}

func (s *Settings) validateAddresses() error {
	addresses := []struct {
		path, value string
		listener    bool
	}{
		{"listen.callers", s.Listen.Callers, true},
		{"listen.operators", s.Listen.Operators, true},
		{"listen.peers", s.Listen.Peers, true},
		{"platform.objects", s.Platform.Objects, false},
		{"platform.instances", s.Platform.Instances, false},
		{"platform.weights", s.Platform.Weights, false},
	}
	for _, a := range addresses {
		p, err := netip.ParseAddrPort(a.value)
		if err != nil || (!a.listener && p.Port() == 0) {
			return badField(a.path, fmt.Sprintf("%q", a.value), "an IP and port, as in 10.0.0.1:8080")
		}
	}
	operators, _ := netip.ParseAddrPort(s.Listen.Operators)
	if s.OperatorToken == "" && !operators.Addr().IsLoopback() {
		return badField("listen.operators", s.Listen.Operators, "a loopback address, unless operator_token is set")
	}
	return nil
}

func (s *Settings) validateLimits() error {
	l := s.Limits
	ints := []struct {
		path     string
		value    int
		min, max int
	}{
		{"limits.max_body_bytes", l.MaxBodyBytes, 1 << 10, 256 << 20},
		{"limits.max_header_bytes", l.MaxHeaderBytes, 1 << 10, 1 << 20},
		{"limits.max_connections", l.MaxConnections, 1, 1 << 20},
		{"limits.queue_length", l.QueueLength, 1, 1 << 20},
		{"limits.workspace_in_flight", l.WorkspaceInFlight, 0, 1 << 20},
		{"limits.max_completion_tokens", l.MaxCompletionTokens, 1, 1 << 20},
	}
	for _, v := range ints {
		if v.value < v.min || v.value > v.max {
			return badField(v.path, v.value, fmt.Sprintf("%d to %d", v.min, v.max))
		}
	}
	return s.checkDurations([]durationRange{
		{"limits.header_timeout", l.HeaderTimeout, 10 * time.Millisecond, 5 * time.Minute},
		{"limits.default_timeout", l.DefaultTimeout, 10 * time.Millisecond, 24 * time.Hour},
		{"limits.max_timeout", l.MaxTimeout, time.Duration(l.DefaultTimeout), 24 * time.Hour},
	})
}

func (s *Settings) validateIntervals() error {
	i := s.Intervals
	return s.checkDurations([]durationRange{
		{"intervals.instance_list", i.InstanceList, 5 * time.Millisecond, time.Minute},
		{"intervals.load_report", i.LoadReport, 5 * time.Millisecond, time.Minute},
		{"intervals.heartbeat", i.Heartbeat, 5 * time.Millisecond, maxHeartbeat},
		{"intervals.balancer_lag", i.BalancerLag, time.Millisecond, 5 * time.Minute},
		{"intervals.stop_timeout", i.StopTimeout, time.Millisecond, time.Hour},
		{"intervals.stream_gap", i.StreamGap, 5 * time.Millisecond, 5 * time.Minute},
	})
}

// maxHeartbeat is the longest time between heartbeats by which the bounds on new work to an upstream or
// failure domain that is taken out are kept (docs/design/membership.md).
const maxHeartbeat = 500 * time.Millisecond

type durationRange struct {
	path     string
	value    Duration
	min, max time.Duration
}

func (s *Settings) checkDurations(ranges []durationRange) error {
	for _, r := range ranges {
		if d := time.Duration(r.value); d < r.min || d > r.max {
			return badField(r.path, d, fmt.Sprintf("%s to %s", r.min, r.max))
		}
	}
	return nil
}

const nameRule = "1 to 63 letters, digits, '-', '_' or '.'"

// validName tells whether s may name an instance, place, model or workspace.
func validName(s string) bool {
	if s == "" || len(s) > 63 {
		return false
	}
	for _, c := range s {
		letter := (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
		if !letter && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}
