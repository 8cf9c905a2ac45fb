package cost_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

const memory = 400_000

// batch makes adds of consecutive hashes with consecutive sequence numbers.
func batch(boot string, seq, hash uint64, n int) *wire.CacheEvents {
	b := &wire.CacheEvents{BootID: boot, First: 0}
	for i := range uint64(n) {
		b.Events = append(b.Events, wire.CacheEvent{Seq: seq + i, Hash: hash + i})
	}
	b.Next = seq + uint64(n)
	return b
}

func hashes(from uint64, n int) []uint64 {
	list := make([]uint64, n)
	for i := range list {
		list[i] = from + uint64(i)
	}
	return list
}

func TestClasses(t *testing.T) {
	is := is.New(t)
	is.Equal(cost.ClassOf(1000, 200, memory), cost.Short)
	is.Equal(cost.ClassOf(cost.ShortMax+1, 200, memory), cost.Medium)
	is.Equal(cost.ClassOf(cost.LongMin, 200, memory), cost.Long)
	is.Equal(cost.ClassOf(memory, 1, memory), cost.Group) // the answer no longer fits
}

func TestCachedPrefixLowersTheCost(t *testing.T) {
	is := is.New(t)
	table := cost.NewTable(memory)
	table.Apply(batch("b", 0, 10, 4), 0)
	p := cost.Prompt{Tokens: 8000, Blocks: hashes(10, 7)}
	is.Equal(p.UncachedTokens(nil, 0), 8000)
	is.Equal(p.UncachedTokens(table, 0), 8000-4*wire.BlockTokens)

	hole := cost.Prompt{Tokens: 8000, Blocks: append(hashes(10, 2), 99, 12, 13)}
	is.Equal(hole.UncachedTokens(table, 0), 8000-2*wire.BlockTokens) // nothing counts after a block that is missing

	later := decide.Instant(0).Add(cost.HalfLife)
	is.Equal(p.UncachedTokens(table, later), 8000-2*wire.BlockTokens) // half as sure, half the saving
	all := cost.Prompt{Tokens: 2 * wire.BlockTokens, Blocks: hashes(10, 2)}
	is.Equal(all.UncachedTokens(table, 0), 1) // the last token is always computed
}

// A caller's prompt goes to an engine for a cached prefix that is long gone, and waits for its prefill.
// Order: blocks are added, the events of their drop get lost, later events arrive.
// Cause: the reader goes on believing what it knew before the gap.
func TestGapAgesWhatIsKnown(t *testing.T) {
	is := is.New(t)
	table := cost.NewTable(memory)
	table.Apply(batch("b", 0, 100, 40), 0)
	before := table.CachedTokens(hashes(100, 40), 0)

	out := table.Apply(batch("b", 50, 900, 1), 0) // events 40 to 49 are lost
	is.Equal(out.Missed, uint64(10))
	after := table.CachedTokens(hashes(100, 40), 0)
	is.True(after <= before*(1-10.0/40)) // ten of forty may be gone
	is.True(after > before*0.7)
	is.Equal(table.CachedTokens(hashes(900, 1), 0), float64(wire.BlockTokens)) // what came after the gap is sure

	out = table.Apply(&wire.CacheEvents{BootID: "b", First: 400, Next: 400}, 0) // the engine dropped old events
	is.Equal(out.Missed, uint64(349))
	is.Equal(table.BlockCount(), 0)
}

// After an engine's restart its cache is empty, yet prompts keep going there for prefixes of its former
// life. Cause: sequence numbers start again, so the reader takes new events for old ones.
func TestNewBootEmptiesTheTable(t *testing.T) {
	is := is.New(t)
	table := cost.NewTable(memory)
	table.Apply(batch("b1", 0, 100, 40), 0)
	out := table.Apply(batch("b2", 0, 500, 1), 0)
	is.True(out.Restarted)
	is.Equal(table.CachedTokens(hashes(100, 40), 0), 0.0)
	is.Equal(table.CachedTokens(hashes(500, 1), 0), float64(wire.BlockTokens))
}

// Whatever the order of events, the table never counts a block that a seen event dropped, stays within
// its memory, and never saves more than the prompt.
func TestTableAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := cost.NewTable(100 * wire.BlockTokens)
		size := table.SizeBytes()
		model := map[uint64]bool{}
		seq, now := uint64(0), decide.Instant(0)
		for range rapid.IntRange(1, 60).Draw(t, "batches") {
			seq += uint64(rapid.IntRange(0, 3).Draw(t, "lost"))
			b := &wire.CacheEvents{BootID: "b"}
			for range rapid.IntRange(0, 20).Draw(t, "events") {
				e := wire.CacheEvent{Seq: seq, Hash: rapid.Uint64Range(0, 300).Draw(t, "hash"), Drop: rapid.Bool().Draw(t, "drop")}
				b.Events = append(b.Events, e)
				model[e.Hash] = !e.Drop
				seq++
			}
			table.Apply(b, now)
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
		}
		for hash := range uint64(301) {
			saved := table.CachedTokens([]uint64{hash}, now)
			known := model[hash] || (hash <= 1 && (model[0] || model[1])) // 0 is stored as 1
			if saved > 0 && !known {
				t.Fatalf("block %d counts though it was dropped", hash)
			}
			if saved > wire.BlockTokens {
				t.Fatalf("block %d saves %f tokens", hash, saved)
			}
		}
		if table.SizeBytes() != size || table.BlockCount() > size/12 {
			t.Fatalf("table grew: %d blocks in %d bytes", table.BlockCount(), table.SizeBytes())
		}
	})
}

func TestReadAllocatesNothing(t *testing.T) {
	is := is.New(t)
	table := cost.NewTable(memory)
	table.Apply(batch("b", 0, 100, 40), 0)
	p := cost.Prompt{Tokens: 50_000, Blocks: hashes(100, 40)}
	is.Equal(testing.AllocsPerRun(100, func() { p.UncachedTokens(table, 0) }), 0.0)
}
