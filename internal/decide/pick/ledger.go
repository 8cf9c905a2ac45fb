package pick

import (
	"sync/atomic"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
)

const (
	// bucketWidth is the resolution at which own dispatches are remembered.
	bucketWidth = 50 * time.Millisecond
	buckets     = 64 // 3.2 s, above StaleAfter
	// transit is allowed for a dispatch to reach the engine: one made just before the report's figures
	// were taken may not be in them.
	transit = 5 * time.Millisecond
)

// Sent is work that this instance sent to one engine.
type DispatchedWork struct {
	Prompts [cost.ClassCount]int64
	Tokens  [cost.ClassCount]int64 // prompt tokens to compute
	Memory  int64                  // KV cache, tokens
}

// bucket holds the dispatches of one bucketWidth.
type bucket struct {
	epoch   atomic.Int64
	prompts [cost.ClassCount]atomic.Int64
	tokens  [cost.ClassCount]atomic.Int64
	memory  atomic.Int64
}

// ledger remembers an instance's own dispatches to one engine until a load report can have counted them.
// All of it is atomic counters. Two requests that turn a bucket over at the same instant may lose one
// dispatch of an estimate, nothing else.
type ledger struct {
	ring [buckets]bucket
}

func epochOf(at decide.Instant) int64 { return int64(at) / int64(bucketWidth) }

func (l *ledger) add(class cost.Class, tokens, memory int64, now decide.Instant) {
	epoch := epochOf(now)
	b := &l.ring[uint64(epoch)%buckets]
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

// since sums the dispatches that a report of that instant can't have counted.
func (l *ledger) since(at, now decide.Instant) DispatchedWork {
	var s DispatchedWork
	last := epochOf(now)
	first := max(epochOf(at.Add(-transit)), last-buckets+1)
	for epoch := first; epoch <= last; epoch++ {
		b := &l.ring[uint64(epoch)%buckets]
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
