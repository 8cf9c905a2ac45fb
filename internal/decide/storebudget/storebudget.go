// Package storebudget decides whether an instance may call the platform's store now.
//
// All instances together share the store's rate limits. Each instance may use an equal share, computed from
// the number of instances in the instance list. After an outage the instances resume at different times.
package storebudget

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// Reasons of this package.
const (
	Granted    decide.Reason = "granted"
	Probe      decide.Reason = "probe"       // a single call that checks whether the store is available again
	OverBudget decide.Reason = "over_budget" // the instance's share is exhausted for now
	BackingOff decide.Reason = "backing_off" // the store was unavailable at the last call
)

// Reasons lists every reason of this package.
var Reasons = []decide.Reason{Granted, Probe, OverBudget, BackingOff}

// Call is a kind of call to the store. Opening a watch counts as one read.
type Call uint8

// The kinds of calls.
const (
	Read Call = iota
	Write
	callCount // number of kinds
)

// Limits are the rates that the store accepts from all instances together, in calls per second.
type Limits struct {
	Reads  float64
	Writes float64
}

// DefaultLimits are the limits of the platform's store, which accepts about two thousand reads and several
// hundred writes per second.
var DefaultLimits = Limits{Reads: 2000, Writes: 400}

const (
	// refillFraction is the fraction of a limit at which the buckets refill. The rest is left for bursts: as long as
	// no bucket holds more than one second of its refill, all instances together stay within the limit in any second.
	refillFraction = 0.5
	// minBurst is the smallest capacity of a bucket, in calls; with less, an instance could make no call. With
	// more than Limits/2 instances, a simultaneous burst of all of them exceeds the limit; docs/CAPACITY.md has
	// the figures.
	minBurst = 1
	// firstBackoff is the smallest upper bound of the first backoff. The bound grows with the number of instances, so
	// that instances that lose the store at the same time together retry about firstRetriesPerSecond times a second.
	firstBackoff          = 100 * time.Millisecond
	firstRetriesPerSecond = 1000
	// minBackoffCap and probesPerSecond bound the backoff: all instances together probe an unavailable store at
	// most about probesPerSecond times a second, and each detects its return within the cap.
	minBackoffCap   = time.Second
	probesPerSecond = 400
)

// Budget is one instance's share of the store's limits. It is not safe for concurrent use.
type Budget struct {
	limits        Limits
	instances     int
	buckets       [callCount]bucket
	failures      int            // consecutive failed calls, counting calls that fail together once
	retryAt       decide.Instant // while failures is above zero: no call before this instant
	probeInFlight bool           // a probe was granted and its outcome is not recorded yet
}

// bucket is a token bucket; one token permits one call.
type bucket struct {
	tokens     float64
	refilledAt decide.Instant // instant at which tokens was last computed
}

// New returns the budget of one instance among the given number of instances. Its buckets start with enough
// tokens for one call.
func New(now decide.Instant, limits Limits, instances int) *Budget {
	b := &Budget{limits: limits, instances: max(instances, 1)}
	for i := range b.buckets {
		b.buckets[i] = bucket{tokens: minBurst, refilledAt: now}
	}
	return b
}

// SetInstances sets the number of instances that share the limits.
func (b *Budget) SetInstances(now decide.Instant, n int) {
	for i := range b.buckets {
		b.refill(now, Call(i))
	}
	b.instances = max(n, 1)
}

// rate returns the refill rate of this instance's bucket, in calls per second.
func (b *Budget) rate(c Call) float64 {
	limit := b.limits.Reads
	if c == Write {
		limit = b.limits.Writes
	}
	return limit * refillFraction / float64(b.instances)
}

// refill adds the tokens that the bucket gained since its last refill, up to its capacity.
func (b *Budget) refill(now decide.Instant, c Call) {
	k := &b.buckets[c]
	rate := b.rate(c)
	if d := now.Sub(k.refilledAt); d > 0 {
		k.tokens = min(k.tokens+d.Seconds()*rate, max(minBurst, rate))
		k.refilledAt = now
	}
}

// Take requests permission for one call. The call may be made if the reason is Granted or Probe; otherwise Take
// returns the time to wait before the next request. The caller reports the outcome of a permitted call with
// RecordSuccess or RecordFailure.
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

// takeProbe is Take while the store is unavailable: it grants one probe at a time, each after a backoff.
func (b *Budget) takeProbe(now decide.Instant) (decide.Reason, time.Duration) {
	if now.Before(b.retryAt) {
		return BackingOff, b.retryAt.Sub(now)
	}
	if b.probeInFlight {
		return BackingOff, firstBackoff
	}
	b.probeInFlight = true
	return Probe, 0
}

// StoreUnavailable reports whether the store was unavailable at the last call.
func (b *Budget) StoreUnavailable() bool { return b.failures > 0 }

// RecordFailure records that a call found the store unavailable, and starts the next backoff. Calls that fail
// together count as one failure.
func (b *Budget) RecordFailure(now decide.Instant, r decide.Rand) {
	if b.failures > 0 && !b.probeInFlight {
		return
	}
	b.probeInFlight = false
	b.failures++
	b.retryAt = now.Add(Backoff(r, b.failures, b.instances))
}

// RecordSuccess records that the store answered. After an outage the buckets start empty, so that calls that
// accumulated meanwhile are sent at the refill rate and not all at once.
func (b *Budget) RecordSuccess(now decide.Instant) {
	if b.failures == 0 {
		return
	}
	b.failures, b.probeInFlight = 0, false
	for i := range b.buckets {
		b.buckets[i] = bucket{refilledAt: now}
	}
}

// Backoff returns the delay before the next call after the given number of consecutive failures. Its upper bound
// grows exponentially, up to a cap that grows with the number of instances. The delay is drawn uniformly between
// zero and that bound, so that instances that failed together do not retry together.
func Backoff(r decide.Rand, failures, instances int) time.Duration {
	const maxDoublings = 10
	// A uniformly drawn delay has a mean of half its upper bound, hence the factor 2.
	longest := max(minBackoffCap, 2*durationAtRate(instances, probesPerSecond))
	first := max(firstBackoff, 2*durationAtRate(instances, firstRetriesPerSecond))
	wait := min(first<<min(failures-1, maxDoublings), longest)
	return time.Duration(decide.Float(r) * float64(wait))
}

// durationAtRate returns the time that one call by each instance takes at perSecond calls per second.
func durationAtRate(instances, perSecond int) time.Duration {
	return time.Duration(instances) * time.Second / time.Duration(perSecond)
}

// ReadInterval returns the interval at which a value of size bytes may be read so that the reads stay within
// bytesPerSecond. It is never shorter than base.
func ReadInterval(size int, base time.Duration, bytesPerSecond int) time.Duration {
	return max(base, time.Duration(size)*time.Second/time.Duration(bytesPerSecond))
}
