package retry

import "github.com/damaskshelf/damaskshelf/internal/decide"

// Peak is the largest value that a number had in the last Window, as far as it was observed. Between two observations the
// number is taken to have kept the first one's value. The zero value has observed zero. Peak is not safe for concurrent use.
type Peak struct {
	last    int
	buckets [bucketCount]peakBucket
}

// peakBucket is the largest value in one time interval.
type peakBucket struct {
	number int64 // of the interval
	max    int
}

// Observe records the number's value at now, and returns the largest one of the last Window.
func (p *Peak) Observe(now decide.Instant, value int) int {
	n := bucketNumber(now)
	b := &p.buckets[n%bucketCount]
	if b.number != n {
		*b = peakBucket{number: n}
	}
	b.max = max(b.max, p.last, value)
	p.last = value
	largest := 0
	for _, b := range p.buckets {
		if b.number <= n && b.number >= n-bucketsPerWindow {
			largest = max(largest, b.max)
		}
	}
	return largest
}
