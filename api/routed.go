package api

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"
)

// Routed are the settings of an instance that forwards routed requests and takes its routes, upstreams and
// peers from a metadata store. With them, the parts that serve our own completions interface are not
// started, and their addresses are not needed.
type Routed struct {
	Listen    RoutedListen `json:"listen"`
	ReadyPath string       `json:"ready_path"` // of the balancer's question
	Store     RoutedStore  `json:"store"`
	CPUShare  float64      `json:"cpu_share"` // of a core that this machine has
	LinkMbps  float64      `json:"link_mbps"` // of this machine's own link; 0: not said
	Retries   Retries      `json:"retries"`
	Stop      RoutedStop   `json:"stop"`
	Limits    RoutedLimits `json:"limits,omitempty"`
}

// RoutedListen holds the listeners, each IP and port.
type RoutedListen struct {
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Peers   string `json:"peers"`
	Metrics string `json:"metrics"`
	// Advertised is where other instances connect, where that isn't Peers; empty: Peers.
	Advertised string `json:"advertised,omitempty"`
}

// RoutedStore is the metadata store.
type RoutedStore struct {
	Address string `json:"address"`
	// ConfigWithin is the time in which an accepted configuration must be in force everywhere; 0: not said.
	MaxConfigDelay Duration `json:"config_within,omitempty"`
}

// Retries bound the arrivals at a service beyond the first of each request, over all instances. Either may be
// any number from 0, and a fraction.
type Retries struct {
	Ratio *float64 `json:"ratio"` // of the requests in a window; nil: a default
	Slack *float64 `json:"slack"` // beside the ratio; nil: none
}

// RoutedStop are the times of a planned stop.
type RoutedStop struct {
	BalancerLag Duration `json:"lag"`   // the balancer may still send for so long after not-ready
	Grace       Duration `json:"grace"` // the process is ended after it, however short or long
}

// RoutedLimits bound what one instance takes from callers.
type RoutedLimits struct {
	MaxBodyBytes   int      `json:"max_body_bytes,omitempty"`
	MaxHeaderBytes int      `json:"max_header_bytes,omitempty"`
	MaxConnections int      `json:"max_connections,omitempty"`
	ReadTimeout    Duration `json:"read_timeout,omitempty"`
	IdleTimeout    Duration `json:"idle_timeout,omitempty"`
}

const (
	defaultRoutedHeader = 64 << 10
	defaultRoutedBody   = 16 << 20
	// Two misses of a question a second take an instance out of the balancer.
	defaultRoutedLag   = Duration(2500 * time.Millisecond)
	defaultRoutedGrace = Duration(8 * time.Second)
	// defaultRetryRatio is for platforms that state no bound.
	defaultRetryRatio = 0.2
	// A caller reuses connections for up to four fifths of the idle time that the configuration states;
	// closing them sooner than that would cut requests off that cross the close.
	defaultRoutedIdle = Duration(120 * time.Second)
)

func (r *Routed) complete() {
	orInt(&r.Limits.MaxBodyBytes, defaultRoutedBody)
	orInt(&r.Limits.MaxHeaderBytes, defaultRoutedHeader)
	orInt(&r.Limits.MaxConnections, defaultConnections)
	orDuration(&r.Limits.ReadTimeout, defaultHeaderTimeout)
	orDuration(&r.Limits.IdleTimeout, defaultRoutedIdle)
	if r.Listen.Advertised == "" {
		r.Listen.Advertised = r.Listen.Peers
	}
	orDuration(&r.Stop.Grace, defaultRoutedGrace)
	// Half of a short grace is left for the requests in flight.
	orDuration(&r.Stop.BalancerLag, min(defaultRoutedLag, r.Stop.Grace/2))
	orFloat(&r.Retries.Ratio, defaultRetryRatio)
	orFloat(&r.Retries.Slack, 0)
	if r.CPUShare == 0 {
		r.CPUShare = 1
	}
}

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
			return badField(a.path, fmt.Sprintf("%q", a.value), "an IP and port, as in 10.0.0.1:8080")
		}
	}
	if !strings.HasPrefix(r.ReadyPath, "/") {
		return badField("routed.ready_path", fmt.Sprintf("%q", r.ReadyPath), "a path that begins with a slash")
	}
	numbers := []struct {
		path  string
		value float64
	}{
		{"routed.retries.ratio", *r.Retries.Ratio},
		{"routed.retries.slack", *r.Retries.Slack},
		{"routed.link_mbps", r.LinkMbps},
		{"routed.cpu_share", r.CPUShare},
	}
	for _, n := range numbers {
		if n.value < 0 {
			return badField(n.path, n.value, "0 or more")
		}
	}
	return s.checkDurations([]durationRange{
		{"routed.store.config_within", r.Store.MaxConfigDelay, 0, math.MaxInt64},
		{"routed.stop.lag", r.Stop.BalancerLag, 0, time.Minute},
		{"routed.stop.grace", r.Stop.Grace, time.Duration(r.Stop.BalancerLag), math.MaxInt64},
		{"routed.limits.read_timeout", r.Limits.ReadTimeout, 10 * time.Millisecond, 5 * time.Minute},
		{"routed.limits.idle_timeout", r.Limits.IdleTimeout, 10 * time.Millisecond, time.Hour},
	})
}
