package retry

import (
	"sync/atomic"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// The window over which retries are compared with requests, and its buckets.
const (
	Window      = 10 * time.Second
	bucketWidth = 250 * time.Millisecond
	inWindow    = int64(Window / bucketWidth)
	bucketCount = 64 // above inWindow+1
)

// counter counts events by the bucket of time they came in. It is safe for concurrent use without a lock:
// each bucket holds the number of the time that it stands for beside its count.
type counter struct {
	buckets [bucketCount]atomic.Uint64 // number<<32 | count
}

func number(now decide.Instant) int64 { return int64(now) / int64(bucketWidth) }

const countMask = 1<<32 - 1

func (c *counter) add(now decide.Instant) {
	n := number(now)
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

// since sums the latest n whole buckets and the current one.
func (c *counter) since(now decide.Instant, n int64) int64 {
	last := number(now)
	sum := int64(0)
	for i := range c.buckets {
		v := c.buckets[i].Load()
		if at := int64(v >> 32); at <= last && at >= last-n {
			sum += int64(v & countMask)
		}
	}
	return sum
}

// Budget allows retries as a share of the requests of the last Window. It is safe for concurrent use.
type Budget struct {
	percent  atomic.Int64 // retries allowed for each hundred requests
	least    atomic.Int64
	requests counter
	retries  counter
}

// NewBudget gives a budget of percent retries for each hundred requests, and of least in a Window whatever
// the number of requests.
func NewBudget(percent, least int64) *Budget {
	b := &Budget{}
	b.SetPercent(percent)
	b.SetMinRetries(least)
	return b
}

// SetPercent changes the number of retries allowed for each hundred requests.
func (b *Budget) SetPercent(n int64) { b.percent.Store(n) }

// SetLeast changes the number of retries that are always allowed in a Window.
func (b *Budget) SetMinRetries(n int64) { b.least.Store(n) }

// Request counts a request's first dispatch.
func (b *Budget) RecordRequest(now decide.Instant) { b.requests.add(now) }

// Left is the number of retries that may follow now. Requests are counted over a bit less than the window
// and retries over a bit more, so that the bound holds for every ten seconds and not just for those that
// begin with a bucket.
func (b *Budget) Remaining(now decide.Instant) int64 {
	allowed := max(b.least.Load(), b.requests.since(now, inWindow-2)*b.percent.Load()/100)
	return allowed - b.retries.since(now, inWindow)
}

// Retry counts a retry.
func (b *Budget) RecordRetry(now decide.Instant) { b.retries.add(now) }
