package pick

import (
	"sync/atomic"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
)

const (
	// bucketWidth is the time resolution at which dispatches are counted.
	bucketWidth = 50 * time.Millisecond
	bucketCount = 64 // 3.2 s in total, above StaleAfter
	// maxTransit is the time that a dispatch may take to reach the engine. A report may lack a dispatch made less
	// than maxTransit before it.
	maxTransit = 5 * time.Millisecond
)

// DispatchedWork is the work that this instance dispatched to one engine, with prompts and tokens by class.
type DispatchedWork struct {
	Prompts [cost.ClassCount]int64
	Tokens  [cost.ClassCount]int64 // prompt tokens to compute
	Memory  int64                  // KV cache, tokens
}

// bucket counts the dispatches of one interval of bucketWidth. epoch is the number of the interval since instant 0, and
// memory is in tokens of KV cache.
type bucket struct {
	epoch   atomic.Int64
	prompts [cost.ClassCount]atomic.Int64
	tokens  [cost.ClassCount]atomic.Int64
	memory  atomic.Int64
}

// recentDispatches counts this instance's recent dispatches to one engine, which the engine's last load report may not
// include. It consists of atomic counters in a ring of buckets. If two requests reuse a bucket at the same moment, one
// dispatch may be missing from an estimate; nothing else depends on it.
type recentDispatches struct {
	ring [bucketCount]bucket
}

// epochOf returns the number of the interval that contains the instant.
func epochOf(at decide.Instant) int64 { return int64(at) / int64(bucketWidth) }

// add counts a dispatch in the bucket of the current interval. It first clears the bucket if that still holds an older
// interval.
func (d *recentDispatches) add(class cost.Class, tokens, memory int64, now decide.Instant) {
	epoch := epochOf(now)
	b := &d.ring[uint64(epoch)%bucketCount]
	if old := b.epoch.Load(); old != epoch && b.epoch.CompareAndSwap(old, epoch) {
		for c := range b.tokens {
			b.prompts[c].Store(0)
			b.tokens[c].Store(0)
		}
		b.memory.Store(0)
	}
	b.prompts[class].Add(1)
	b.tokens[class].Add(tokens)
	b.memory.Add(memory)
}

// since returns the total of the dispatches that a load report measured at reportedAt may not include.
func (d *recentDispatches) since(reportedAt, now decide.Instant) DispatchedWork {
	var s DispatchedWork
	last := epochOf(now)
	first := max(epochOf(reportedAt.Add(-maxTransit)), last-bucketCount+1)
	for epoch := first; epoch <= last; epoch++ {
		b := &d.ring[uint64(epoch)%bucketCount]
		if b.epoch.Load() != epoch {
			continue
		}
		for c := range b.tokens {
			s.Prompts[c] += b.prompts[c].Load()
			s.Tokens[c] += b.tokens[c].Load()
		}
		s.Memory += b.memory.Load()
	}
	return s
}
