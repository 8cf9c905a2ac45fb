package retry

import (
	"math"
	"sync/atomic"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// Share is one instance's share of the retries that all instances may make together in a Window. It is the sum of
// two numbers: a ratio of the instance's own requests, which follows the instance's load, and slack, the
// instance's part of the retries that all instances may make in addition to the ratio. Both are fractions: if they
// were rounded down to whole retries, each of a few hundred instances would be left without any.
//
// Share is safe for concurrent use, except that calls of Take must not overlap.
type Share struct {
	ratio, slack      atomic.Uint64 // as the bits of a float64
	requests, retries counter
}

// SetLimits sets ratio, the number of retries permitted per request, and slack, the number of retries permitted in
// a Window in addition to those.
func (s *Share) SetLimits(ratio, slack float64) {
	s.ratio.Store(math.Float64bits(ratio))
	s.slack.Store(math.Float64bits(slack))
}

// RecordRequest counts a request at its first dispatch.
func (s *Share) RecordRequest(now decide.Instant) { s.requests.add(now) }

// remaining returns the number of retries that are permitted now. As in Budget, requests are counted over slightly
// less than the window and retries over slightly more.
func (s *Share) remaining(now decide.Instant) float64 {
	ratio, slack := math.Float64frombits(s.ratio.Load()), math.Float64frombits(s.slack.Load())
	return ratio*float64(s.requests.recent(now, bucketsPerWindow-2)) + slack - float64(s.retries.recent(now, bucketsPerWindow))
}

// Allows reports whether a retry is permitted now.
func (s *Share) Allows(now decide.Instant) bool { return s.remaining(now) >= 1 }

// Take counts a retry if one is permitted now, and reports whether it is.
func (s *Share) Take(now decide.Instant) bool {
	if !s.Allows(now) {
		return false
	}
	s.retries.add(now)
	return true
}

// Return takes back a retry that was counted by Take at the given time: it was never sent.
func (s *Share) Return(taken decide.Instant) { s.retries.remove(taken) }
