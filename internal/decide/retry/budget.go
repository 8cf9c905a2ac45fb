package retry

import (
	"sync/atomic"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// The window over which retries are compared with requests, and its buckets.
const (
	Window      = 10 * time.Second
	bucketWidth = time.Second
	inWindow    = int64(Window / bucketWidth)
	bucketCount = 16 // above inWindow+1
)

// counter counts events by the second they came in. It is safe for concurrent use without a lock: each
// bucket holds the second it stands for beside its count.
type counter struct {
	buckets [bucketCount]atomic.Uint64 // second<<32 | count
}

func second(now decide.Instant) int64 { return int64(now) / int64(bucketWidth) }

const countMask = 1<<32 - 1

func (c *counter) add(now decide.Instant) {
	s := second(now)
	b := &c.buckets[s%bucketCount]
	for {
		old := b.Load()
		next := old + 1
		if old>>32 != uint64(s) {
			next = uint64(s)<<32 | 1
		}
		if b.CompareAndSwap(old, next) {
			return
		}
	}
}

// since sums the latest n whole seconds and the current one.
func (c *counter) since(now decide.Instant, n int64) int64 {
	last := second(now)
	sum := int64(0)
	for i := range c.buckets {
		v := c.buckets[i].Load()
		if s := int64(v >> 32); s <= last && s >= last-n {
			sum += int64(v & countMask)
		}
	}
	return sum
}

// Budget allows retries as a share of the requests of the last Window. The zero value allows none. It is
// safe for concurrent use.
type Budget struct {
	Percent int64 // retries allowed for each hundred requests
	Least   int64 // retries allowed in a Window whatever the number of requests

	requests counter
	retries  counter
}

// Request counts a request's first dispatch.
func (b *Budget) Request(now decide.Instant) { b.requests.add(now) }

// Left is the number of retries that may follow now. Requests are counted over a bit less than the window
// and retries over a bit more, so that the bound holds for every ten seconds and not just for those that
// begin with a bucket.
func (b *Budget) Left(now decide.Instant) int64 {
	allowed := max(b.Least, b.requests.since(now, inWindow-2)*b.Percent/100)
	return allowed - b.retries.since(now, inWindow)
}

// Retry counts a retry.
func (b *Budget) Retry(now decide.Instant) { b.retries.add(now) }
