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

const memoryTokens = 400_000

// addEvents returns a batch of n add events with consecutive hashes and consecutive sequence numbers.
func addEvents(boot string, seq, hash uint64, n int) *wire.CacheEvents {
	b := &wire.CacheEvents{BootID: boot, First: 0}
	for i := range uint64(n) {
		b.Events = append(b.Events, wire.CacheEvent{Seq: seq + i, Hash: hash + i})
	}
	b.Next = seq + uint64(n)
	return b
}

// consecutiveHashes returns n consecutive hashes, starting with from.
func consecutiveHashes(from uint64, n int) []uint64 {
	list := make([]uint64, n)
	for i := range list {
		list[i] = from + uint64(i)
	}
	return list
}

func TestClassOfByLength(t *testing.T) {
	is := is.New(t)
	is.Equal(cost.ClassOf(1000, 200, memoryTokens), cost.Short)
	is.Equal(cost.ClassOf(cost.ShortMax+1, 200, memoryTokens), cost.Medium)
	is.Equal(cost.ClassOf(cost.LongMin, 200, memoryTokens), cost.Long)
	is.Equal(cost.ClassOf(memoryTokens, 1, memoryTokens), cost.Group) // the answer exceeds the memory
}

func TestCachedPrefixReducesUncachedTokens(t *testing.T) {
	is := is.New(t)
	table := cost.NewTable(memoryTokens)
	table.Apply(addEvents("b", 0, 10, 4), 0)
	p := cost.Prompt{Tokens: 8000, Blocks: consecutiveHashes(10, 7)}
	is.Equal(p.UncachedTokens(nil, 0), 8000)
	is.Equal(p.UncachedTokens(table, 0), 8000-4*wire.BlockTokens)

	withGap := cost.Prompt{Tokens: 8000, Blocks: append(consecutiveHashes(10, 2), 99, 12, 13)}
	is.Equal(withGap.UncachedTokens(table, 0), 8000-2*wire.BlockTokens) // blocks after a missing one don't count

	later := decide.Instant(0).Add(cost.HalfLife)
	is.Equal(p.UncachedTokens(table, later), 8000-2*wire.BlockTokens) // each block counts half
	allCached := cost.Prompt{Tokens: 2 * wire.BlockTokens, Blocks: consecutiveHashes(10, 2)}
	is.Equal(allCached.UncachedTokens(table, 0), 1) // the last token is always computed
}

// Guards against a prompt that is sent to an engine for a cached prefix that the engine has dropped, and then waits for
// its prefill. The drop events are lost, later events arrive, and the table still counts the blocks from before the gap.
func TestLostEventsAgeKnownBlocks(t *testing.T) {
	is := is.New(t)
	table := cost.NewTable(memoryTokens)
	table.Apply(addEvents("b", 0, 100, 40), 0)
	before := table.CachedTokens(consecutiveHashes(100, 40), 0)

	out := table.Apply(addEvents("b", 50, 900, 1), 0) // events 40 to 49 are lost
	is.Equal(out.Missed, uint64(10))
	after := table.CachedTokens(consecutiveHashes(100, 40), 0)
	is.True(after <= before*(1-10.0/40)) // ten of the forty blocks may be dropped
	is.True(after > before*0.7)
	is.Equal(table.CachedTokens(consecutiveHashes(900, 1), 0), float64(wire.BlockTokens)) // added after the gap: counts fully

	out = table.Apply(&wire.CacheEvents{BootID: "b", First: 400, Next: 400}, 0) // the engine no longer has the older events
	is.Equal(out.Missed, uint64(349))
	is.Equal(table.BlockCount(), 0)
}

// Guards against prompts that are sent to a restarted engine for prefixes that it cached before the restart. Its
// sequence numbers start again, so the table would take new events for events that it has already applied.
func TestNewBootIDClearsTable(t *testing.T) {
	is := is.New(t)
	table := cost.NewTable(memoryTokens)
	table.Apply(addEvents("b1", 0, 100, 40), 0)
	out := table.Apply(addEvents("b2", 0, 500, 1), 0)
	is.True(out.Restarted)
	is.Equal(table.CachedTokens(consecutiveHashes(100, 40), 0), 0.0)
	is.Equal(table.CachedTokens(consecutiveHashes(500, 1), 0), float64(wire.BlockTokens))
}

// Checks for any order of events: the table never counts a block that an applied event dropped, keeps its size, and
// never counts more tokens than a block has.
func TestTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := cost.NewTable(100 * wire.BlockTokens)
		sizeBytes := table.SizeBytes()
		cached := map[uint64]bool{}
		seq, now := uint64(0), decide.Instant(0)
		for range rapid.IntRange(1, 60).Draw(t, "batches") {
			seq += uint64(rapid.IntRange(0, 3).Draw(t, "lost"))
			b := &wire.CacheEvents{BootID: "b"}
			for range rapid.IntRange(0, 20).Draw(t, "events") {
				e := wire.CacheEvent{Seq: seq, Hash: rapid.Uint64Range(0, 300).Draw(t, "hash"), Drop: rapid.Bool().Draw(t, "drop")}
				b.Events = append(b.Events, e)
				cached[e.Hash] = !e.Drop
				seq++
			}
			table.Apply(b, now)
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
		}
		for hash := range uint64(301) {
			saved := table.CachedTokens([]uint64{hash}, now)
			wantCached := cached[hash] || (hash <= 1 && (cached[0] || cached[1])) // 0 is stored as 1
			if saved > 0 && !wantCached {
				t.Fatalf("block %d counts as cached after a drop event", hash)
			}
			if saved > wire.BlockTokens {
				t.Fatalf("block %d counts for %f tokens, more than a block has", hash, saved)
			}
		}
		if table.SizeBytes() != sizeBytes || table.BlockCount() > sizeBytes/12 {
			t.Fatalf("table exceeds its size: %d blocks in %d bytes", table.BlockCount(), table.SizeBytes())
		}
	})
}

func TestUncachedTokensAllocatesNothing(t *testing.T) {
	is := is.New(t)
	table := cost.NewTable(memoryTokens)
	table.Apply(addEvents("b", 0, 100, 40), 0)
	p := cost.Prompt{Tokens: 50_000, Blocks: consecutiveHashes(100, 40)}
	is.Equal(testing.AllocsPerRun(100, func() { p.UncachedTokens(table, 0) }), 0.0)
}
