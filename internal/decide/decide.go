// Package decide is the frame of the pure core. The packages below it decide: admission, choice of
// upstream, limits, retries, cold starts, reservations, claims, membership, configuration, leases, plans
// and orders.
//
// # How to drive a decision
//
// A decision is a function, or a state machine whose methods take (event, now) and return effects. It
// reads no clock, socket, logger, global random source or map-iteration order; purity_test.go checks the
// imports and calls. Whoever drives it (the daemon's shells, a test under virtual time, a bench that
// somebody else writes)
//
//  1. passes now, an Instant that never goes backwards;
//  2. passes randomness as a Rand;
//  3. carries out the returned effects in order and feeds their outcomes back as events;
//  4. logs the returned Reason as the one line of that decision.
//
// State machines are not safe for concurrent use: their shell owns them from one goroutine or under one
// mutex. Functions that a request's path calls read immutable snapshots and atomic counters only.
package decide

import "time"

// Instant is a point on the caller's monotonic clock, in nanoseconds since an arbitrary start.
type Instant int64

// Add gives the instant d later.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub gives the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Before tells whether t is earlier than u.
func (t Instant) Before(u Instant) bool { return t < u }

// Rand is a source of random bits that the driver passes in; a seeded PCG satisfies it.
type Rand interface {
	Uint64() uint64
}

// IntN gives a number in [0, n) from r; n must be above zero.
func IntN(r Rand, n int) int {
	return int(r.Uint64() % uint64(n))
}

// Float gives a number in [0, 1) from r.
func Float(r Rand) float64 {
	const mantissa = 1 << 53
	return float64(r.Uint64()>>11) / mantissa
}

// Reason says why a decision went as it did. Each decision package lists its reasons in a variable
// Reasons; a decision returns no other.
type Reason string
