package forecast

import (
	"math"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// Rate is the exponentially weighted rate of recent amounts. The zero value has observed nothing.
type Rate struct {
	sum            float64
	since, updated decide.Instant
	observing      bool
}

// Add adds an amount at now, with a time constant of window. Amounts of earlier instants than the last count as of then.
func (r *Rate) Add(now decide.Instant, amount float64, window time.Duration) {
	if !r.observing {
		r.since, r.updated, r.observing = now, now, true
	}
	r.sum = r.sum*decay(now.Sub(r.updated), window) + amount
	r.updated = max(r.updated, now)
}

// PerMs returns the amount per ms, and 0 until the rate was observed for window: a new dispatcher receives all waiting
// jobs at once, which says nothing about the rate at which they arrived.
func (r *Rate) PerMs(now decide.Instant, window time.Duration) float64 {
	if !r.observing || now.Sub(r.since) < window {
		return 0
	}
	return r.sum * decay(now.Sub(r.updated), window) / ms(window)
}

// Ratio is the exponentially weighted ratio of recent counts to the exposure in which they occurred, such as runs that
// ended per ms of running. The zero value has observed nothing.
type Ratio struct {
	count, exposure float64
	updated         decide.Instant
}

// Add adds a count and an exposure that were observed up to now, with a time constant of window.
func (r *Ratio) Add(now decide.Instant, count, exposure float64, window time.Duration) {
	w := decay(now.Sub(r.updated), window)
	r.count, r.exposure = r.count*w+count, r.exposure*w+exposure
	r.updated = max(r.updated, now)
}

// Value returns the ratio. The expected value counts as if it had been observed for the exposure weight, so that it
// determines the result while little else was observed. It returns expected if nothing was observed and weight is 0.
func (r *Ratio) Value(expected, weight float64) float64 {
	if !(r.exposure+weight > 0) {
		return expected
	}
	return (r.count + expected*weight) / (r.exposure + weight)
}

// decay returns the weight after a time of what was observed before, 1 for a negative time.
func decay(elapsed, window time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp(-float64(elapsed) / float64(window))
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
