// Package decide declares the types that the decision packages below it share. Those packages implement
// the program's decisions as pure code: admission, choice of upstream, limits, retries, cold starts,
// reservations, claims, membership, configuration, leases, plans and orders.
//
// # How to drive a decision
//
// A decision is a function, or a state machine whose methods take (event, now) and return effects. It
// depends on no clock, socket, logger, global random source or map iteration order; purity_test.go checks
// the imports and calls. A driver is a shell of the daemon, a test under virtual time or a benchmark. It
//
//  1. passes now, an Instant that never goes backwards;
//  2. passes randomness as a Rand;
//  3. carries out the returned effects in order and passes their outcomes back as events;
//  4. logs the returned Reason as the one line of that decision.
//
// State machines are not safe for concurrent use: the driver calls them from one goroutine or under one
// mutex. Functions on the path of a request read immutable snapshots and atomic counters only.
package decide

import "time"

// Instant is a reading of the caller's monotonic clock, in nanoseconds since an arbitrary start.
type Instant int64

// Add returns the instant d after t.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Instant) Before(u Instant) bool { return t < u }

// Rand is a source of random bits that the driver passes in. A seeded math/rand/v2.PCG implements it.
type Rand interface {
	Uint64() uint64
}

// IntN returns a random number in [0, n) drawn from r; n must be above zero.
func IntN(r Rand, n int) int {
	return int(r.Uint64() % uint64(n))
}

// Float returns a random number in [0, 1) drawn from r.
func Float(r Rand) float64 {
	const mantissa = 1 << 53
	return float64(r.Uint64()>>11) / mantissa
}

// Reason is the cause of a decision, as it is logged. Each decision package lists its reasons in a variable
// Reasons; a decision returns no other.
type Reason string
