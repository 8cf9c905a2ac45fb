// Package lease decides when an instance may hold a lease that is kept as an object in the platform's object API,
// and until when it may rely on it.
//
// Guarantee: no two instances rely on the same lease at once, despite pauses, lost responses and outages. It rests
// on conditional updates, of which only one per version succeeds, and on bounded waits on monotonic clocks. A
// holder relies on its lease for TTL less Margin, counted from when it sent the last write that is known to have
// taken effect. Another instance takes over only after it has seen the same version for TTL. As a write is sent
// before its version can be seen, the holder stops first.
//
// Times of two clocks are never compared. Two assumptions remain. The rates of the clocks differ by less than
// Margin within TTL. The clocks run on while a process is paused, which holds for a stopped process; a suspended
// virtual machine may violate it, and engines that check fences then refuse the old holder's orders.
//
// The fence of a holding is the store's version of the write that acquired it. Versions grow over the whole store,
// so a later holder's fence is always higher.
package lease

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// Reasons that Step returns.
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

// Config holds the parameters of a lease. It must be the same on all instances.
type Config struct {
	TTL    time.Duration
	Margin time.Duration // allowance for different clock rates
	// OrderDelay is the longest time between sending an order and its arrival at an engine.
	OrderDelay time.Duration
}

// renewalsPerTTL is how many renewals fit in the TTL. A holder renews TTL/renewalsPerTTL after its last write, so
// that two renewals may fail before the lease expires.
const renewalsPerTTL = 3

// Effect is the next action for the driver.
type Effect uint8

// The effects of Step. The outcome of a Write is reported with WriteSucceeded, WriteConflicted or WriteUnknown.
const (
	None  Effect = iota
	Read         // read the object, then call Observe
	Write        // call BeginWrite, write the object at IfVersion with self as holder, then report the outcome
)

// Lease is the state of one lease as one instance sees it. The zero value is not usable; see New. It is not safe
// for concurrent use.
type Lease struct {
	cfg  Config
	self string

	version       uint64         // last version seen
	holder        string         // in that version; empty: not held
	versionSeenAt decide.Instant // when that version was first seen
	isRead        bool           // the holder is known; false: read the object before anything else

	held          bool           // this instance is the holder; see validUntil
	fence         uint64         // of the current or last holding
	validUntil    decide.Instant // end of the time for which the lease may be relied on
	renewAt       decide.Instant // when the next renewal is due
	settledAt     decide.Instant // when all orders of earlier holders have arrived
	lastWriteSent decide.Instant

	// A write is in doubt if its response was lost: it may have taken effect. Which of several such writes took
	// effect is unknown, so the lease counts from the first of them.
	inDoubt          bool           // a write is in doubt
	inDoubtSince     decide.Instant // when the first such write was sent
	unreadSinceDoubt bool           // the object was not read since the last such write
}

// New returns a lease that is not held. self identifies the instance and its incarnation, so that a restarted
// instance is another holder.
func New(cfg Config, self string) *Lease { return &Lease{cfg: cfg, self: self} }

// Step returns the next action to acquire or keep the lease, and the reason for it.
func (l *Lease) Step(now decide.Instant) (Effect, decide.Reason) {
	if l.held && !now.Before(l.validUntil) {
		// Guards against a holder that was paused or cut off past the end of its lease and goes on acting as the
		// holder. A pause shows as a jump of its clock. An instance that took over has written another version,
		// which the conditional update detects.
		l.held = false
		l.isRead = false
		return Read, Expired
	}
	if !l.isRead || l.unreadSinceDoubt {
		return Read, NotRead
	}
	switch {
	case l.held && now.Before(l.renewAt):
		return None, Held
	case l.held:
		return Write, Renewing
	case l.holder == "" || l.holder == l.self:
		return Write, Acquiring
	case now.Sub(l.versionSeenAt) >= l.cfg.TTL:
		return Write, TakingOver
	default:
		return Read, HeldByOther
	}
}

// Observe records the holder and version that a read returned at now. Version 0 means that the object doesn't
// exist. A version below the last one seen comes from a stale read and is ignored.
func (l *Lease) Observe(holder string, version uint64, now decide.Instant) {
	if version < l.version {
		return
	}
	l.isRead, l.unreadSinceDoubt = true, false
	if version == l.version {
		// A write in doubt may still be in transit. The next write at this version resolves it, because only one
		// of them can take effect.
		return
	}
	ownWrite := holder == l.self && l.inDoubt
	l.version, l.holder, l.versionSeenAt = version, holder, now
	if ownWrite {
		l.confirmWrite(version, l.inDoubtSince)
	} else {
		l.held = false
	}
	l.inDoubt = false
}

// confirmWrite records that a write of this instance, sent at or after sent, took effect.
func (l *Lease) confirmWrite(version uint64, sent decide.Instant) {
	if !l.held {
		// The previous lease had ended before the write was sent: it was free, or its TTL had passed. The last
		// order of its holder has arrived after OrderDelay.
		l.fence = version
		l.settledAt = sent.Add(l.cfg.OrderDelay)
	}
	l.held = true
	l.version, l.holder = version, l.self
	l.validUntil = sent.Add(l.cfg.TTL - l.cfg.Margin)
	l.renewAt = sent.Add(l.cfg.TTL / renewalsPerTTL)
}

// IfVersion returns the version that the next write must be conditional on.
func (l *Lease) IfVersion() uint64 { return l.version }

// BeginWrite records the time of a write. It must be called right before the write is sent.
func (l *Lease) BeginWrite(now decide.Instant) { l.lastWriteSent = now }

// WriteSucceeded records that the write took effect, as known at now. Earlier writes in doubt had no effect,
// because they were conditional on the same version.
func (l *Lease) WriteSucceeded(version uint64, now decide.Instant) {
	first := l.version == 0
	l.confirmWrite(version, l.lastWriteSent)
	if first {
		l.settledAt = l.lastWriteSent // no earlier holder has orders in transit
	}
	l.versionSeenAt, l.isRead, l.inDoubt, l.unreadSinceDoubt = now, true, false, false
}

// WriteConflicted records that the write had no effect because the object had another version.
func (l *Lease) WriteConflicted() { l.held, l.isRead, l.unreadSinceDoubt = false, false, false }

// WriteUnknown records that the response to the write was lost, so that the write is in doubt. A lease that was
// held before remains valid until its current end.
func (l *Lease) WriteUnknown() {
	if !l.inDoubt {
		l.inDoubtSince = l.lastWriteSent
	}
	l.inDoubt, l.unreadSinceDoubt = true, true
}

// Valid reports whether this instance holds the lease and may act on it at now. Callers check it before each
// order.
func (l *Lease) Valid(now decide.Instant) bool { return l.held && now.Before(l.validUntil) }

// Fence returns the fencing number of the current holding.
func (l *Lease) Fence() uint64 { return l.fence }

// Settled reports whether this instance holds the lease and all orders of earlier holders have arrived by now.
func (l *Lease) Settled(now decide.Instant) bool { return l.held && !now.Before(l.settledAt) }

// Abandon ends the holding on this instance without writing the object. The next write gets a new fence.
func (l *Lease) Abandon() { l.held = false }

// Released records that this instance wrote the object as free, with that version.
func (l *Lease) Released(version uint64, now decide.Instant) {
	l.held, l.inDoubt = false, false
	l.version, l.holder, l.versionSeenAt = version, "", now
}
