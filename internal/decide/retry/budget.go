package retry

import (
	"sync/atomic"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// Window is the period over which retries are compared with requests. It is counted in buckets of bucketWidth.
const (
	Window           = 10 * time.Second
	bucketWidth      = 250 * time.Millisecond
	bucketsPerWindow = int64(Window / bucketWidth)
	bucketCount      = 64 // more than bucketsPerWindow+1, so that a bucket is not reused while it is counted
)

// counter counts events per time bucket, in a ring of buckets. It is safe for concurrent use without a lock:
// each bucket holds the number of its time interval and its count in one word.
type counter struct {
	buckets [bucketCount]atomic.Uint64 // number<<32 | count
}

// bucketNumber returns the number of the time interval that contains now.
func bucketNumber(now decide.Instant) int64 { return int64(now) / int64(bucketWidth) }

// countMask selects the count of a bucket's value.
const countMask = 1<<32 - 1

// add counts an event at now. A bucket that holds an older interval starts again at one.
func (c *counter) add(now decide.Instant) {
	n := bucketNumber(now)
	b := &c.buckets[n%bucketCount]
	for {
		old := b.Load()
		next := old + 1
		if old>>32 != uint64(n) {
			next = uint64(n)<<32 | 1
		}
		if b.CompareAndSwap(old, next) {
			return
		}
	}
}

// remove takes back an event that was counted at the given time, unless its bucket has been reused since.
func (c *counter) remove(at decide.Instant) {
	n := bucketNumber(at)
	b := &c.buckets[n%bucketCount]
	for {
		old := b.Load()
		if old>>32 != uint64(n) || old&countMask == 0 {
			return
		}
		if b.CompareAndSwap(old, old-1) {
			return
		}
	}
}

// recent returns the number of events in the current bucket and the n buckets before it.
func (c *counter) recent(now decide.Instant, n int64) int64 {
	last := bucketNumber(now)
	sum := int64(0)
	for i := range c.buckets {
		v := c.buckets[i].Load()
		if number := int64(v >> 32); number <= last && number >= last-n {
			sum += int64(v & countMask)
		}
	}
	return sum
}

// Budget permits a number of retries in proportion to the requests of the last Window. It is safe for concurrent
// use.
type Budget struct {
	percent    atomic.Int64 // retries permitted per hundred requests
	minRetries atomic.Int64 // retries permitted in a Window at any number of requests
	requests   counter
	retries    counter
}

// NewBudget returns a budget that permits percent retries per hundred requests, and at least minRetries in a
// Window at any number of requests.
func NewBudget(percent, minRetries int64) *Budget {
	b := &Budget{}
	b.SetPercent(percent)
	b.SetMinRetries(minRetries)
	return b
}

// SetPercent sets the number of retries permitted per hundred requests.
func (b *Budget) SetPercent(n int64) { b.percent.Store(n) }

// SetMinRetries sets the number of retries that are always permitted in a Window.
func (b *Budget) SetMinRetries(n int64) { b.minRetries.Store(n) }

// RecordRequest counts a request at its first dispatch.
func (b *Budget) RecordRequest(now decide.Instant) { b.requests.add(now) }

// Remaining returns the number of retries that are permitted now; it may be negative. Requests are counted over
// slightly less than the window and retries over slightly more, so that the bound holds for every period of ten
// seconds and not only for those that begin with a bucket.
func (b *Budget) Remaining(now decide.Instant) int64 {
	allowed := max(b.minRetries.Load(), b.requests.recent(now, bucketsPerWindow-2)*b.percent.Load()/100)
	return allowed - b.retries.recent(now, bucketsPerWindow)
}

// RecordRetry counts a retry.
func (b *Budget) RecordRetry(now decide.Instant) { b.retries.add(now) }
