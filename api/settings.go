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

// Settings holds the settings of one instance: its addresses, failure domain and limits. They are read at
// start; an instance that forwards routed requests can reload some of them while it runs.
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
	Routed        *Routed   `json:"routed,omitempty"` // nil: the instance serves the completions interface
}

// Listen holds the addresses of an instance's listeners, each an IP and port. Port 0 selects a free port.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"` // without operator_token it must be a loopback address
	Peers     string `json:"peers"`
}

// Platform holds the addresses of the platform's services, each an IP and port.
type Platform struct {
	Objects   string `json:"objects"`
	Instances string `json:"instances"`
	Weights   string `json:"weights"`
}

// Limits bounds the requests and connections that one instance accepts from callers.
type Limits struct {
	MaxBodyBytes        int      `json:"max_body_bytes,omitempty"`
	MaxHeaderBytes      int      `json:"max_header_bytes,omitempty"`
	MaxConnections      int      `json:"max_connections,omitempty"`
	HeaderTimeout       Duration `json:"header_timeout,omitempty"`  // for reading a whole request
	DefaultTimeout      Duration `json:"default_timeout,omitempty"` // of a request that specifies none
	MaxTimeout          Duration `json:"max_timeout,omitempty"`
	QueueLength         int      `json:"queue_length,omitempty"`
	WorkspaceInFlight   int      `json:"workspace_in_flight,omitempty"` // default of a workspace on this instance; 0: none
	MaxCompletionTokens int      `json:"max_completion_tokens,omitempty"`
}

// Intervals holds the intervals of an instance's periodic work and its timeouts.
type Intervals struct {
	InstanceList Duration `json:"instance_list,omitempty"` // between reads of the instance list
	LoadReport   Duration `json:"load_report,omitempty"`   // between reads of an upstream's load
	Heartbeat    Duration `json:"heartbeat,omitempty"`     // between heartbeats to a peer
	BalancerLag  Duration `json:"balancer_lag,omitempty"`  // the balancer may send requests for this long after not-ready
	StopTimeout  Duration `json:"stop_timeout,omitempty"`  // longest duration of a planned stop
	StreamGap    Duration `json:"stream_gap,omitempty"`    // time without data after which a stream counts as suspect
}

// Duration is a time.Duration that JSON represents as a string such as "1500ms" or "2s".
type Duration time.Duration

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string such as "1500ms".
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

// parseDuration parses a duration as time.ParseDuration does. It also accepts seconds and milliseconds with an
// exponent, because templates render very small and very large numbers in that form.
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
	n, parseErr := strconv.ParseFloat(number, 64)
	if !ok || parseErr != nil || math.IsNaN(n) {
		return 0, err
	}
	return time.Duration(min(n*float64(unit), math.MaxInt64/2)), nil
}

// Profiles of the routing policy.
const (
	ProfileShortFirst = "short_first"
	ProfileLongFirst  = "long_first"
)

// Defaults of the settings that may be omitted. Sizes are in bytes.
const (
	defaultMaxBodyBytes         = 16 << 20
	defaultMaxHeaderBytes       = 16 << 10
	defaultMaxConnections       = 4096
	defaultHeaderTimeout        = Duration(10 * time.Second)
	defaultTimeout              = Duration(60 * time.Second)
	defaultMaxTimeout           = Duration(10 * time.Minute)
	defaultQueueLength          = 512
	defaultMaxCompletionTokens  = 16384
	defaultInstanceListInterval = Duration(500 * time.Millisecond)
	defaultLoadReportInterval   = Duration(200 * time.Millisecond)
	defaultHeartbeatInterval    = Duration(500 * time.Millisecond)
	defaultBalancerLag          = Duration(2 * time.Second)
	defaultStopTimeout          = Duration(2 * time.Minute)
	defaultStreamGap            = Duration(2 * time.Second)
)

// LoadSettings reads a settings file, applies the defaults and validates the result.
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

// ParseSettings decodes settings strictly, applies the defaults and validates the result.
func ParseSettings(data []byte) (Settings, error) {
	var s Settings
	if err := DecodeStrict(data, &s); err != nil {
		return Settings{}, err
	}
	s.ApplyDefaults()
	return s, s.Validate()
}

// ApplyDefaults sets omitted settings to their defaults.
func (s *Settings) ApplyDefaults() {
	l, i := &s.Limits, &s.Intervals
	setDefaultInt(&l.MaxBodyBytes, defaultMaxBodyBytes)
	setDefaultInt(&l.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefaultInt(&l.MaxConnections, defaultMaxConnections)
	setDefaultInt(&l.QueueLength, defaultQueueLength)
	setDefaultInt(&l.MaxCompletionTokens, defaultMaxCompletionTokens)
	setDefaultDuration(&l.HeaderTimeout, defaultHeaderTimeout)
	setDefaultDuration(&l.DefaultTimeout, defaultTimeout)
	setDefaultDuration(&l.MaxTimeout, defaultMaxTimeout)
	setDefaultDuration(&i.InstanceList, defaultInstanceListInterval)
	setDefaultDuration(&i.LoadReport, defaultLoadReportInterval)
	setDefaultDuration(&i.Heartbeat, defaultHeartbeatInterval)
	setDefaultDuration(&i.BalancerLag, defaultBalancerLag)
	setDefaultDuration(&i.StopTimeout, defaultStopTimeout)
	setDefaultDuration(&i.StreamGap, defaultStreamGap)
	if s.Profile == "" {
		s.Profile = ProfileShortFirst
	}
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	if s.Routed != nil {
		s.Routed.applyDefaults()
	}
}

// setDefaultInt sets *v to def if it is 0.
func setDefaultInt(v *int, def int) {
	if *v == 0 {
		*v = def
	}
}

// setDefaultFloat sets *v to point to def if it is nil.
func setDefaultFloat(v **float64, def float64) {
	if *v == nil {
		*v = &def
	}
}

// setDefaultDuration sets *v to def if it is 0.
func setDefaultDuration(v *Duration, def Duration) {
	if *v == 0 {
		*v = def
	}
}

// Validate returns a *FieldError for the first invalid value, or nil if all are valid.
func (s *Settings) Validate() error {
	if s.Routed != nil {
		if err := s.validateIdentity(); err != nil {
			return err
		}
		return s.Routed.validate(s)
	}
	for _, check := range []func() error{s.validateIdentity, s.validateAddresses, s.validateLimits, s.validateIntervals} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// validateIdentity checks the names of the instance, region and failure domain, the profile and the log level.
func (s *Settings) validateIdentity() error {
	names := []struct{ path, value string }{
		{"instance", s.Instance}, {"region", s.Region}, {"failure_domain", s.FailureDomain},
	}
	for _, n := range names {
		if !validName(n.value) {
			return newFieldError(n.path, fmt.Sprintf("%q", n.value), allowedName)
		}
	}
	if s.Profile != ProfileShortFirst && s.Profile != ProfileLongFirst {
		return newFieldError("profile", fmt.Sprintf("%q", s.Profile), ProfileShortFirst+" or "+ProfileLongFirst)
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
		return nil
	}
	return newFieldError("log_level", fmt.Sprintf("%q", s.LogLevel), "debug, info, warn or error")
}

// validateAddresses checks the addresses of listeners and platform services. A non-loopback operator listener
// requires a token.
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
			return newFieldError(a.path, fmt.Sprintf("%q", a.value), "an IP and port, as in 10.0.0.1:8080")
		}
	}
	operators, _ := netip.ParseAddrPort(s.Listen.Operators)
	if s.OperatorToken == "" && !operators.Addr().IsLoopback() {
		return newFieldError("listen.operators", s.Listen.Operators, "a loopback address, unless operator_token is set")
	}
	return nil
}

// validateLimits returns a *FieldError for the first limit out of its range.
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
			return newFieldError(v.path, v.value, fmt.Sprintf("%d to %d", v.min, v.max))
		}
	}
	return s.validateDurations([]durationRange{
		{"limits.header_timeout", l.HeaderTimeout, 10 * time.Millisecond, 5 * time.Minute},
		{"limits.default_timeout", l.DefaultTimeout, 10 * time.Millisecond, 24 * time.Hour},
		{"limits.max_timeout", l.MaxTimeout, time.Duration(l.DefaultTimeout), 24 * time.Hour},
	})
}

// validateIntervals returns a *FieldError for the first interval out of its range.
func (s *Settings) validateIntervals() error {
	i := s.Intervals
	return s.validateDurations([]durationRange{
		{"intervals.instance_list", i.InstanceList, 5 * time.Millisecond, time.Minute},
		{"intervals.load_report", i.LoadReport, 5 * time.Millisecond, time.Minute},
		{"intervals.heartbeat", i.Heartbeat, 5 * time.Millisecond, maxHeartbeatInterval},
		{"intervals.balancer_lag", i.BalancerLag, time.Millisecond, 5 * time.Minute},
		{"intervals.stop_timeout", i.StopTimeout, time.Millisecond, time.Hour},
		{"intervals.stream_gap", i.StreamGap, 5 * time.Millisecond, 5 * time.Minute},
	})
}

// maxHeartbeatInterval is the longest interval between heartbeats with which an upstream or failure domain that
// is taken out of service stops receiving new work within the guaranteed time (docs/design/membership.md).
const maxHeartbeatInterval = 500 * time.Millisecond

// durationRange is a setting's value and the range in which it must be, bounds included.
type durationRange struct {
	path     string
	value    Duration
	min, max time.Duration
}

// validateDurations returns a *FieldError for the first value out of its range.
func (s *Settings) validateDurations(ranges []durationRange) error {
	for _, r := range ranges {
		if d := time.Duration(r.value); d < r.min || d > r.max {
			return newFieldError(r.path, d, fmt.Sprintf("%s to %s", r.min, r.max))
		}
	}
	return nil
}

// allowedName describes the names that validName accepts.
const allowedName = "1 to 63 letters, digits, '-', '_' or '.'"

// validName reports whether s is a valid name of an instance, region, failure domain, model or workspace.
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
