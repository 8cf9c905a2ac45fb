// Package reach decides how an instance connects to upstreams while its own network paths to some or all of them fail:
// directly, or through another instance.
package reach

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

const (
	// cutOffThreshold is the number of upstreams with a failed path, and none reached since, from which the instance
	// counts as cut off. A single failed path says nothing about the others.
	cutOffThreshold = 2
	// minProbeDelay and maxProbeDelay bound the time between two probes of a failed path. It doubles with each failed
	// probe.
	minProbeDelay = 250 * time.Millisecond
	maxProbeDelay = 2 * time.Second
	// probeInterval is the least time between two probes of any paths.
	probeInterval = 50 * time.Millisecond
)

// Order is the order in which the ways to an upstream are tried.
type Order uint8

// The orders.
const (
	DirectFirst  Order = iota // another instance is used if the direct connection takes long or fails
	Both                      // at the same time, as it isn't known which of the two works
	ThroughOther              // the direct path has failed; it is tried if no other instance connects
)

// Paths holds what an instance knows of its own paths to upstreams. A path has failed if a direct connection failed
// while another instance connected to the same upstream: otherwise the upstream may be at fault. Knowledge ends when a
// direct connection opens, or when the upstream is forgotten. It is not safe for concurrent use.
type Paths struct {
	failed        map[string]*failedPath // by the upstream's address
	lastConnected decide.Instant         // when a direct connection to any upstream last opened; 0: never
	lastProbe     decide.Instant
}

// failedPath is a path whose direct connections fail.
type failedPath struct {
	failedAt   decide.Instant // when the last direct connection failed
	uncertain  bool           // another path works again since, so that this one may
	nextProbe  decide.Instant
	probeDelay time.Duration
}

// New returns Paths without failed ones.
func New() *Paths { return &Paths{failed: map[string]*failedPath{}} }

// Order returns the order for the upstream at addr.
func (p *Paths) Order(addr string) Order {
	f := p.failed[addr]
	switch {
	case f != nil && !f.uncertain:
		return ThroughOther
	case f != nil || p.CutOff():
		return Both
	default:
		return DirectFirst
	}
}

// CutOff reports whether the instance seems to reach no upstream directly.
func (p *Paths) CutOff() bool {
	n := 0
	for _, f := range p.failed {
		if !f.uncertain && f.failedAt > p.lastConnected {
			n++
		}
	}
	return n >= cutOffThreshold
}

// Connected records that a direct connection to the upstream opened. It reports whether the path had failed before.
// Other failed paths may work again too.
func (p *Paths) Connected(now decide.Instant, addr string) (restored bool) {
	p.lastConnected = now
	if _, restored = p.failed[addr]; !restored {
		return false
	}
	delete(p.failed, addr)
	for _, f := range p.failed {
		f.uncertain = true
	}
	return true
}

// Failed records that the direct connection to the upstream failed while another instance connected to it. It reports
// whether the path counted as working before.
func (p *Paths) Failed(now decide.Instant, addr string) (lost bool) {
	f := p.failed[addr]
	if f == nil {
		f = &failedPath{nextProbe: now.Add(minProbeDelay), probeDelay: minProbeDelay}
		p.failed[addr] = f
		lost = true
	}
	f.failedAt, f.uncertain = now, false
	return lost
}

// FailedCount returns the number of failed paths.
func (p *Paths) FailedCount() int { return len(p.failed) }

// Forget drops the failed paths to upstreams that are not known any more.
func (p *Paths) Forget(known func(addr string) bool) {
	for addr := range p.failed {
		if !known(addr) {
			delete(p.failed, addr)
		}
	}
}

// NextProbe returns the failed path that is to be probed now, the one that is due for longest, and schedules its next
// probe.
func (p *Paths) NextProbe(now decide.Instant) (addr string, ok bool) {
	if now.Sub(p.lastProbe) < probeInterval {
		return "", false
	}
	for a, f := range p.failed {
		if now >= f.nextProbe && (!ok || f.nextProbe < p.failed[addr].nextProbe || (f.nextProbe == p.failed[addr].nextProbe && a < addr)) {
			addr, ok = a, true
		}
	}
	if !ok {
		return "", false
	}
	f := p.failed[addr]
	f.probeDelay = min(maxProbeDelay, 2*f.probeDelay)
	f.nextProbe = now.Add(f.probeDelay)
	p.lastProbe = now
	return addr, true
}
