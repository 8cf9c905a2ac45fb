package api

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"
)

// Routed holds the settings of an instance that forwards routed requests and reads its routes, upstreams and
// peers from a metadata store. Such an instance does not start the parts that serve the completions
// interface and does not need their addresses.
type Routed struct {
	Listen    RoutedListen `json:"listen"`
	ReadyPath string       `json:"ready_path"` // path of the balancer's readiness check
	Store     RoutedStore  `json:"store"`
	CPUShare  float64      `json:"cpu_share"` // CPU cores that this instance may use, a fraction allowed; 0 means 1
	LinkMbps  float64      `json:"link_mbps"` // bandwidth of this instance's own link in Mbit/s; 0: unknown
	// Regions is the region of each failure domain. If it is empty, all are in one region.
	Regions map[string]string `json:"regions,omitempty"`
	Retries Retries           `json:"retries"`
	Stop    RoutedStop        `json:"stop"`
	Limits  RoutedLimits      `json:"limits,omitempty"`
	// Overload selects what happens to requests that can't be placed at once.
	Overload Overload `json:"overload,omitzero"`
}

// RoutedListen holds the listeners' addresses, each an IP and port.
type RoutedListen struct {
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Peers   string `json:"peers"`
	Metrics string `json:"metrics"`
	// Advertised is the address to which other instances connect. If empty, it is Peers.
	Advertised string `json:"advertised,omitempty"`
}

// RoutedStore holds the settings of the metadata store.
type RoutedStore struct {
	Address string `json:"address"`
	// MaxConfigDelay is the time within which all instances must apply an accepted configuration; 0: not specified.
	MaxConfigDelay Duration `json:"config_within,omitempty"`
}

// Retries bounds the retries to a service over all instances: the arrivals there beyond the first of each
// request. Both values may be fractions and must be 0 or more.
type Retries struct {
	Ratio *float64 `json:"ratio"` // retries per request in a window; nil: defaultRetryRatio
	Slack *float64 `json:"slack"` // retries in a window in addition to the ratio; nil: 0
}

// RoutedStop holds the durations of a planned stop.
type RoutedStop struct {
	BalancerLag Duration `json:"lag"`   // the balancer may send requests for this long after the instance becomes not ready
	Grace       Duration `json:"grace"` // the platform ends the process after this time, which may be of any length
}

// RoutedLimits bounds the requests and connections that one instance accepts.
type RoutedLimits struct {
	MaxBodyBytes   int      `json:"max_body_bytes,omitempty"`
	MaxHeaderBytes int      `json:"max_header_bytes,omitempty"`
	MaxConnections int      `json:"max_connections,omitempty"`
	ReadTimeout    Duration `json:"read_timeout,omitempty"`
	IdleTimeout    Duration `json:"idle_timeout,omitempty"`
	// MaxHeldBytes bounds the bodies that the instance holds for callers and upstreams at one time; 0: a quarter of
	// MemoryMB, or no bound if that isn't configured either. Answers of up to 1 MiB may take half as much in addition, and the
	// first 32 KiB of each answer are always read.
	MaxHeldBytes float64 `json:"max_held_bytes,omitempty"`
	// MemoryMB is the memory of the process in MiB, above which the platform ends it; 0: not specified.
	MemoryMB float64 `json:"memory_mb,omitempty"`
	// MaxDescriptors is the number of file descriptors that the process may open; 0: the operating system's limit.
	MaxDescriptors float64 `json:"max_descriptors,omitempty"`
}

// Defaults of the routed settings that may be omitted.
const (
	defaultRoutedMaxHeaderBytes = 64 << 10
	defaultRoutedMaxBodyBytes   = 16 << 20
	// heldShare is the fraction of the memory that bodies may take. The garbage collector needs as much again, and the
	// rest is for connections and the state of the fleet.
	heldShare = 0.25
	// defaultRoutedBalancerLag covers a balancer that checks readiness once a second and removes an instance after two
	// failed checks.
	defaultRoutedBalancerLag = Duration(2500 * time.Millisecond)
	defaultRoutedStopGrace   = Duration(8 * time.Second)
	// defaultRetryRatio applies on platforms that specify no bound.
	defaultRetryRatio = 0.2
	// defaultRoutedIdleTimeout is long because callers reuse connections for up to four fifths of the idle time in the
	// configuration. Closing one sooner would break off a request that is sent at that moment.
	defaultRoutedIdleTimeout = Duration(120 * time.Second)
)

// applyDefaults sets omitted settings to their defaults.
func (r *Routed) applyDefaults() {
	setDefaultInt(&r.Limits.MaxBodyBytes, defaultRoutedMaxBodyBytes)
	setDefaultInt(&r.Limits.MaxHeaderBytes, defaultRoutedMaxHeaderBytes)
	setDefaultInt(&r.Limits.MaxConnections, defaultMaxConnections)
	if r.Limits.MaxHeldBytes == 0 {
		r.Limits.MaxHeldBytes = heldShare * r.Limits.MemoryMB * (1 << 20)
	}
	setDefaultDuration(&r.Limits.ReadTimeout, defaultHeaderTimeout)
	setDefaultDuration(&r.Limits.IdleTimeout, defaultRoutedIdleTimeout)
	if r.Listen.Advertised == "" {
		r.Listen.Advertised = r.Listen.Peers
	}
	setDefaultDuration(&r.Stop.Grace, defaultRoutedStopGrace)
	// With a short grace, half of it remains for the requests in flight.
	setDefaultDuration(&r.Stop.BalancerLag, min(defaultRoutedBalancerLag, r.Stop.Grace/2))
	setDefaultFloat(&r.Retries.Ratio, defaultRetryRatio)
	setDefaultFloat(&r.Retries.Slack, 0)
	if r.CPUShare == 0 {
		r.CPUShare = 1
	}
}

// validate returns a *FieldError for the first invalid value; s holds r.
func (r *Routed) validate(s *Settings) error {
	addresses := []struct{ path, value string }{
		{"routed.listen.callers", r.Listen.Callers},
		{"routed.listen.ready", r.Listen.Ready},
		{"routed.listen.peers", r.Listen.Peers},
		{"routed.listen.metrics", r.Listen.Metrics},
		{"routed.listen.advertised", r.Listen.Advertised},
		{"routed.store.address", r.Store.Address},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return newFieldError(a.path, fmt.Sprintf("%q", a.value), "an IP and port, as in 10.0.0.1:8080")
		}
	}
	if !strings.HasPrefix(r.ReadyPath, "/") {
		return newFieldError("routed.ready_path", fmt.Sprintf("%q", r.ReadyPath), "a path that begins with a slash")
	}
	numbers := []struct {
		path  string
		value float64
	}{
		{"routed.retries.ratio", *r.Retries.Ratio},
		{"routed.retries.slack", *r.Retries.Slack},
		{"routed.link_mbps", r.LinkMbps},
		{"routed.cpu_share", r.CPUShare},
		{"routed.limits.max_descriptors", r.Limits.MaxDescriptors},
		{"routed.limits.max_held_bytes", r.Limits.MaxHeldBytes},
		{"routed.limits.memory_mb", r.Limits.MemoryMB},
	}
	for _, n := range numbers {
		if n.value < 0 {
			return newFieldError(n.path, n.value, "0 or more")
		}
	}
	if err := r.Overload.validate(); err != nil {
		return err
	}
	return s.validateDurations([]durationRange{
		{"routed.store.config_within", r.Store.MaxConfigDelay, 0, math.MaxInt64},
		{"routed.stop.lag", r.Stop.BalancerLag, 0, time.Minute},
		{"routed.stop.grace", r.Stop.Grace, time.Duration(r.Stop.BalancerLag), math.MaxInt64},
		{"routed.limits.read_timeout", r.Limits.ReadTimeout, 10 * time.Millisecond, 5 * time.Minute},
		{"routed.limits.idle_timeout", r.Limits.IdleTimeout, 10 * time.Millisecond, time.Hour},
	})
}
