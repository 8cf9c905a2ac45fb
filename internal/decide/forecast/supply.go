// Package forecast estimates when room for a queued job becomes available. It has two parts: estimates of rates from
// recent events (Rate, Ratio), and the supply of a resource over time, from which the wait of a job follows (Supply, and
// Backlogs for work that engines do at the same speed).
// All times are in ms, unless they are instants. There are no errors: a wait that has no end is infinite.
package forecast

import "math"

const (
	// bucketMs is the resolution of the amounts that become available at known times.
	bucketMs = 50.0
	// buckets is their number. Amounts that are due later count in the last one.
	buckets = 20
)

// Supply is how much of a resource becomes available over time. The zero value has none. It is not safe for concurrent
// use.
type Supply struct {
	Free       float64 // available now, less than 0 if so much must become available first
	PerMs      float64 // becomes available per ms
	TakenPerMs float64 // demand per ms of new jobs that are in time
	due        [buckets]float64
	hasDue     bool
}

// AddDue adds an amount that becomes available once, in afterMs.
func (s *Supply) AddDue(afterMs, amount float64) {
	i := 0
	if afterMs > bucketMs {
		i = int(min(buckets, math.Ceil(afterMs/bucketMs))) - 1
	}
	s.due[i] += amount
	s.hasDue = true
}

// Empty reports whether nothing is available and nothing is expected to be.
func (s *Supply) Empty() bool { return s.Free <= 0 && s.PerMs <= 0 && !s.hasDue }

// WaitMs returns the time until the amount is available to jobs that are in time.
func (s *Supply) WaitMs(amount float64) float64 { return s.wait(amount, s.PerMs) }

// LateWaitMs returns the time until the amount is available to late jobs, which get what new jobs that are in time leave
// over.
func (s *Supply) LateWaitMs(amount float64) float64 { return s.wait(amount, s.PerMs-s.TakenPerMs) }

// wait returns the time until the amount is available if perMs becomes available per ms besides what is free and due.
func (s *Supply) wait(amount, perMs float64) float64 {
	available := s.Free
	if !s.hasDue || available >= amount {
		return untilMs(amount-available, perMs)
	}
	for i, due := range s.due {
		atMs := float64(i+1) * bucketMs
		if t := untilMs(amount-available, perMs); t <= atMs {
			return t
		}
		if available += due; available+max(0, perMs)*atMs >= amount {
			return atMs
		}
	}
	return untilMs(amount-available, perMs)
}

// untilMs returns the time in which the amount becomes available at the rate perMs.
func untilMs(amount, perMs float64) float64 {
	switch {
	case amount <= 0:
		return 0
	case perMs <= 0:
		return math.Inf(1)
	default:
		return amount / perMs
	}
}
