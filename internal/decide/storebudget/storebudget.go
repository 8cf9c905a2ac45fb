// Package storebudget decides whether an instance may call the platform's store now. The store's rates are
// the whole fleet's: each instance takes an equal cut by the number of instances that the list shows, and
// after an outage the instances come back spread over time.
package storebudget

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// Reasons of this package.
const (
	Granted    decide.Reason = "granted"
	Probe      decide.Reason = "probe"       // the one call that finds out whether the store is back
	OverBudget decide.Reason = "over_budget" // the instance's cut is used up for now
	BackingOff decide.Reason = "backing_off" // the store failed a moment ago
)

// Reasons lists every reason of this package.
var Reasons = []decide.Reason{Granted, Probe, OverBudget, BackingOff}

// Call is a kind of call to the store. A watch counts as a read, once.
type Call uint8

// The kinds of calls.
const (
	Read Call = iota
	Write
	callCount
)

// Limits are what the store takes from the whole fleet, in calls a second.
type Limits struct {
	Reads  float64
	Writes float64
}

// DefaultLimits: the platform takes about two thousand reads and several hundred writes a second.
var DefaultLimits = Limits{Reads: 2000, Writes: 400}

const (
	// steady is the part of a limit that the buckets refill at. The rest is for their bursts: while every
	// bucket holds a second of its refill, all instances together stay within the limit in any second.
	steady = 0.5
	// smallestBurst lets an instance make a call at all. Above Limits/2 instances the burst of the whole
	// fleet at one moment is over the limit; docs/CAPACITY.md gives the figures.
	smallestBurst = 1
	// The first backoff grows with the fleet too: instances that find the store lost all at once ask again
	// about firstRetries times a second together.
	firstBackoff = 100 * time.Millisecond
	firstRetries = 1000
	// shortestCap and probesPerSecond bound the backoff: a lost store is asked by all instances together
	// about probesPerSecond times a second at most, and found again within the cap.
	shortestCap     = time.Second
	probesPerSecond = 400
)

// Budget is one instance's cut. It is not safe for concurrent use.
type Budget struct {
	limits    Limits
	instances int
	buckets   [callCount]bucket
	failures  int            // outages in a row
	until     decide.Instant // no call before it, while failures is above zero
	probing   bool           // the probe is out
}

type bucket struct {
	tokens float64
	at     decide.Instant // when tokens was right
}

// New gives the budget of one among that many instances; its buckets start with one call.
func New(now decide.Instant, limits Limits, instances int) *Budget {
	b := &Budget{limits: limits, instances: max(instances, 1)}
	for i := range b.buckets {
		b.buckets[i] = bucket{tokens: smallestBurst, at: now}
	}
	return b
}

// Instances takes the number of instances that share the limits.
func (b *Budget) SetInstances(now decide.Instant, n int) {
	for i := range b.buckets {
		b.refill(now, Call(i))
	}
	b.instances = max(n, 1)
}

// rate is this instance's calls a second.
func (b *Budget) rate(c Call) float64 {
	limit := b.limits.Reads
	if c == Write {
		limit = b.limits.Writes
	}
	return limit * steady / float64(b.instances)
}

func (b *Budget) refill(now decide.Instant, c Call) {
	k := &b.buckets[c]
	rate := b.rate(c)
	if d := now.Sub(k.at); d > 0 {
		k.tokens = min(k.tokens+d.Seconds()*rate, max(smallestBurst, rate))
		k.at = now
	}
}

// Take asks for one call. Refused, it gives how long to wait before asking again.
func (b *Budget) Take(now decide.Instant, c Call) (decide.Reason, time.Duration) {
	if b.failures > 0 {
		return b.takeProbe(now)
	}
	b.refill(now, c)
	k := &b.buckets[c]
	if k.tokens < 1 {
		missing := (1 - k.tokens) / b.rate(c)
		return OverBudget, time.Duration(missing * float64(time.Second))
	}
	k.tokens--
	return Granted, 0
}

func (b *Budget) takeProbe(now decide.Instant) (decide.Reason, time.Duration) {
	if now.Before(b.until) {
		return BackingOff, b.until.Sub(now)
	}
	if b.probing {
		return BackingOff, firstBackoff
	}
	b.probing = true
	return Probe, 0
}

// Lost tells whether the store was unavailable at the last call.
func (b *Budget) StoreUnavailable() bool { return b.failures > 0 }

// Failed takes that a call found the store unavailable. Calls that fail together count as one.
func (b *Budget) RecordFailure(now decide.Instant, r decide.Rand) {
	if b.failures > 0 && !b.probing {
		return
	}
	b.probing = false
	b.failures++
	b.until = now.Add(Backoff(r, b.failures, b.instances))
}

// Succeeded takes that the store answered. After an outage the buckets start empty: what piled up goes
// out at the refill's pace, and not in the moment of the return.
func (b *Budget) RecordSuccess(now decide.Instant) {
	if b.failures == 0 {
		return
	}
	b.failures, b.probing = 0, false
	for i := range b.buckets {
		b.buckets[i] = bucket{at: now}
	}
}

// Backoff gives a wait after that many failures in a row: exponential up to a cap that grows with the
// fleet, the whole of it jittered, so that instances that failed together do not come back together.
func Backoff(r decide.Rand, failures, instances int) time.Duration {
	const mostDoublings = 10
	// The mean of a wait that is jittered as a whole is half of its top.
	top := max(shortestCap, 2*spread(instances, probesPerSecond))
	first := max(firstBackoff, 2*spread(instances, firstRetries))
	wait := min(first<<min(failures-1, mostDoublings), top)
	return time.Duration(decide.Float(r) * float64(wait))
}

// spread is the time that as many calls as instances take at perSecond.
func spread(instances, perSecond int) time.Duration {
	return time.Duration(instances) * time.Second / time.Duration(perSecond)
}

// ReadInterval is the time between reads of a value of that size that keeps them within bytesPerSecond,
// and no shorter than base.
func ReadInterval(size int, base time.Duration, bytesPerSecond int) time.Duration {
	return max(base, time.Duration(size)*time.Second/time.Duration(bytesPerSecond))
}
