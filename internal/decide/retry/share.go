package retry

import (
	"math"
	"sync/atomic"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// Share is one instance's part of the retries that all instances may make together in a Window: a ratio of its
// own requests, so that it follows what the instance sees, and a part of what the fleet may make beside the
// ratio. Fractions of the two add up: cut in whole numbers, a few hundred instances would have nothing left. It
// is safe for concurrent use, but for Take, which one caller may call at a time.
type Share struct {
	ratio, slack      atomic.Uint64 // bits of a float64
	requests, retries counter
}

// SetLimits changes the retries allowed for each request, and those allowed beside them.
func (s *Share) SetLimits(ratio, slack float64) {
	s.ratio.Store(math.Float64bits(ratio))
	s.slack.Store(math.Float64bits(slack))
}

// Request counts a request's first dispatch.
func (s *Share) RecordRequest(now decide.Instant) { s.requests.add(now) }

// left is the number of retries that may follow now. As in Budget, requests are counted over a bit less than the
// window and retries over a bit more.
func (s *Share) left(now decide.Instant) float64 {
	ratio, slack := math.Float64frombits(s.ratio.Load()), math.Float64frombits(s.slack.Load())
	return ratio*float64(s.requests.since(now, inWindow-2)) + slack - float64(s.retries.since(now, inWindow))
}

// Has tells whether a retry may follow now.
func (s *Share) Allows(now decide.Instant) bool { return s.left(now) >= 1 }

// Take counts a retry if it may follow now.
func (s *Share) Take(now decide.Instant) bool {
	if !s.Allows(now) {
		return false
	}
	s.retries.add(now)
	return true
}
