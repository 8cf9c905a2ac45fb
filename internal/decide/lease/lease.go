// Package lease decides when an instance may hold a lease that is kept as an object in the platform's
// object API, and until when it may trust it.
//
// Promise: no two instances trust the same lease at once, whatever pauses, lost answers and outages do.
// Carried by conditional updates (only one writer takes a version) and by bounded waits on monotonic
// clocks: a holder trusts its lease for TTL less Margin from the moment it sent the last write known to
// have taken effect; another instance takes over only after it has seen the same version for TTL, and a
// write that took effect was sent before it could be seen. No two clocks are compared. Assumed: clocks run
// at rates that differ by less than Margin in TTL, and go on running while a process is paused (they do
// for a stopped process; a suspended virtual machine may break it, which the fence then catches).
//
// The fence of a holding is the store's version of the write that acquired it: versions grow over the
// whole store, so that a later holder's fence is always higher.
package lease

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// Reasons of a lease's steps.
const (
	Held        decide.Reason = "lease_held"
	Renewing    decide.Reason = "lease_renewed"
	NotRead     decide.Reason = "lease_not_read"
	Acquiring   decide.Reason = "lease_free"
	HeldByOther decide.Reason = "lease_of_another"
	TakingOver  decide.Reason = "lease_waited_out"
	Expired     decide.Reason = "lease_lapsed"
)

// Reasons lists every reason that Step returns.
var Reasons = []decide.Reason{Held, Renewing, NotRead, Acquiring, HeldByOther, TakingOver, Expired}

// Config is the same on all instances.
type Config struct {
	TTL    time.Duration
	Margin time.Duration // for clock rates that differ
	// OrderDelay is the longest time from the sending of an order to its arrival at an engine.
	OrderDelay time.Duration
}

// renewParts is the part of TTL after which a holder renews: two renewals may fail before it lapses.
const renewParts = 3

// Effect is what the driver has to do next.
type Effect uint8

// The effects of Step.
const (
	None  Effect = iota
	Read         // read the object and call Observe
	Write        // write the object with Self as holder at IfVersion, then call one of Written, Refused, Unknown
)

// Lease is one lease as one instance sees it. The zero value is not usable; see New.
type Lease struct {
	cfg  Config
	self string

	version uint64 // last version seen
	holder  string // in that version; empty: free
	seen    decide.Instant
	read    bool

	held    bool
	fence   uint64
	valid   decide.Instant // trusted until
	renew   decide.Instant
	settled decide.Instant // orders of earlier holders have arrived by then
	sent    decide.Instant // of the last write

	// Writes whose answers were lost. Which of several took effect is not known, so the lease counts from
	// the first of them.
	doubt   bool           // one may have taken effect
	since   decide.Instant // the first of them was sent
	unasked bool           // the object was not read since the last of them
}

// New gives a lease not held. self names the instance and its incarnation: an instance that was replaced
// is another holder.
func New(cfg Config, self string) *Lease { return &Lease{cfg: cfg, self: self} }

// Step tells what to do to get or keep the lease.
func (l *Lease) Step(now decide.Instant) (Effect, decide.Reason) {
	if l.held && !now.Before(l.valid) {
		// The holder was paused or cut off past its lease and still believes in it: it shows as a clock
		// that jumped. Whoever took over has another version, which the conditional update finds.
		l.held = false
		l.read = false
		return Read, Expired
	}
	if !l.read || l.unasked {
		return Read, NotRead
	}
	switch {
	case l.held && now.Before(l.renew):
		return None, Held
	case l.held:
		return Write, Renewing
	case l.holder == "" || l.holder == l.self:
		return Write, Acquiring
	case now.Sub(l.seen) >= l.cfg.TTL:
		return Write, TakingOver
	default:
		return Read, HeldByOther
	}
}

// Observe takes what a read that was answered at now showed; version 0 means that there is no object. A
// version below the last one seen is a stale read and changes nothing.
func (l *Lease) Observe(holder string, version uint64, now decide.Instant) {
	if version < l.version {
		return
	}
	l.read, l.unasked = true, false
	if version == l.version {
		// A write in doubt may still be on its way. The next write at this version settles it: only one
		// of them can take effect.
		return
	}
	mine := holder == l.self && l.doubt
	l.version, l.holder, l.seen = version, holder, now
	if mine {
		l.take(version, l.since)
	} else {
		l.held = false
	}
	l.doubt = false
}

// take counts a write as in effect that was sent no earlier than at sent.
func (l *Lease) take(version uint64, sent decide.Instant) {
	if !l.held {
		// The old lease was over before the write was sent: it was free, or was waited out. Its holder's
		// last order has arrived after the longest delay.
		l.fence = version
		l.settled = sent.Add(l.cfg.OrderDelay)
	}
	l.held = true
	l.version, l.holder = version, l.self
	l.valid = sent.Add(l.cfg.TTL - l.cfg.Margin)
	l.renew = sent.Add(l.cfg.TTL / renewParts)
}

// IfVersion is the version that the next write has to be conditional on.
func (l *Lease) IfVersion() uint64 { return l.version }

// Sending notes the moment just before a write is sent.
func (l *Lease) BeginWrite(now decide.Instant) { l.sent = now }

// Written notes that the write took effect, known at now. Earlier writes in doubt had none then, being
// conditional on the same version.
func (l *Lease) WriteSucceeded(version uint64, now decide.Instant) {
	first := l.version == 0
	l.take(version, l.sent)
	if first {
		l.settled = l.sent // nobody held it before
	}
	l.seen, l.read, l.doubt, l.unasked = now, true, false, false
}

// Refused notes that the write was in conflict and had no effect.
func (l *Lease) WriteConflicted() { l.held, l.read, l.unasked = false, false, false }

// Unknown notes that the write's answer was lost. A lease held before stays trusted until its old end.
func (l *Lease) WriteUnknown() {
	if !l.doubt {
		l.since = l.sent
	}
	l.doubt, l.unasked = true, true
}

// Valid tells whether the holder may act at now. It is asked before each order.
func (l *Lease) Valid(now decide.Instant) bool { return l.held && now.Before(l.valid) }

// Fence is the fencing number of this holding.
func (l *Lease) Fence() uint64 { return l.fence }

// Settled tells whether orders of earlier holders have all arrived by now.
func (l *Lease) Settled(now decide.Instant) bool { return l.held && !now.Before(l.settled) }

// Renounce ends the holding on this side only. The next write gets a new fence.
func (l *Lease) Abandon() { l.held = false }

// Released notes that the lease was given back in that version.
func (l *Lease) Released(version uint64, now decide.Instant) {
	l.held, l.doubt = false, false
	l.version, l.holder, l.seen = version, "", now
}
