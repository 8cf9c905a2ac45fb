package cost

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Instant is decide.Instant, the time at which events are applied and blocks are read.
type Instant = decide.Instant

const (
	slotsPerSet   = 8       // slots in which one hash may be stored; all of them are searched
	minSlots      = 64      // size of the smallest table
	maxSlots      = 1 << 14 // size of the largest table: 16384 blocks, 16 million tokens, 192 KiB
	slotsPerBlock = 2       // slots for each block that fits the engine's memory

	ageUnit = 16 * time.Millisecond // resolution of a block's age
	// HalfLife is the age at which a block without a newer event counts half. See docs/design/routing.md.
	HalfLife = 2 * time.Minute
)

// Table is the index of the prefix blocks that one engine has cached. Its size is fixed when it is created. One writer
// applies cache events, while any number of requests read the table without a lock. A read concurrent with a write may
// see a block's old age, which only makes one estimate slightly wrong.
type Table struct {
	setCount uint64
	hashes   []atomic.Uint64 // 0: empty
	addedAt  []atomic.Uint32 // when each block was added, in ageUnits of the table's clock
	gapAge   atomic.Uint32   // ageUnits that lost events have added to that clock

	// Only the writer uses the following fields.
	bootID     string
	nextSeq    uint64 // sequence number of the next event
	blockCount int
}

// NewTable returns an empty table for an engine that holds memoryTokens of KV cache.
func NewTable(memoryTokens int64) *Table {
	blocks := uint64(max(memoryTokens, 0)) / wire.BlockTokens
	slots := min(max(blocks*slotsPerBlock, minSlots), maxSlots)
	slots = 1 << bits.Len64(slots-1)
	return &Table{
		setCount: slots / slotsPerSet,
		hashes:   make([]atomic.Uint64, slots),
		addedAt:  make([]atomic.Uint32, slots),
	}
}

// NextSeq returns the sequence number from which to request the engine's events.
func (t *Table) NextSeq() uint64 { return t.nextSeq }

// BlockCount returns the number of blocks in the table.
func (t *Table) BlockCount() int { return t.blockCount }

// SizeBytes returns the memory that the table occupies, in bytes. It is constant.
func (t *Table) SizeBytes() int { return len(t.hashes) * (8 + 4) }

// ApplyResult counts the effects of a batch of cache events.
type ApplyResult struct {
	Added, Dropped int
	Missed         uint64 // events that were lost before they reached the reader
	Restarted      bool   // whether the engine has a new boot ID
}

// Apply applies a batch of cache events.
//
// It guards against events lost between engine and reader, which show as a sequence number above the expected one. Of n
// lost events at most n are drops, so a block of the table is still cached with a probability of at least
// 1-n/blockCount. Apply advances the table's clock until the weight of each block has fallen by that factor. If n >=
// blockCount, every block may be gone and the table is cleared. A new boot ID means that the engine's cache is empty
// and that its sequence numbers have restarted.
func (t *Table) Apply(batch *wire.CacheEvents, now Instant) ApplyResult {
	var out ApplyResult
	if batch.BootID != t.bootID {
		out.Restarted = t.bootID != ""
		t.clear()
		t.bootID, t.nextSeq = batch.BootID, batch.First
	}
	if batch.First > t.nextSeq {
		out.Missed += t.skipTo(batch.First)
	}
	for _, e := range batch.Events {
		if e.Seq < t.nextSeq {
			continue // already applied
		}
		out.Missed += t.skipTo(e.Seq)
		t.nextSeq = e.Seq + 1
		if e.Drop {
			out.Dropped += t.dropBlock(e.Hash)
		} else {
			out.Added++
			t.addBlock(e.Hash, now)
		}
	}
	return out
}

// skipTo makes seq the next expected event, ages all blocks for the lost events before it and returns their number.
func (t *Table) skipTo(seq uint64) uint64 {
	missed := seq - t.nextSeq
	t.nextSeq = seq
	if missed == 0 || t.blockCount == 0 {
		return missed
	}
	if missed >= uint64(t.blockCount) {
		t.clear()
		return missed
	}
	survival := 1 - float64(missed)/float64(t.blockCount)
	units := -math.Log2(survival) * float64(HalfLife/ageUnit)
	t.gapAge.Add(uint32(units) + 1)
	return missed
}

// clear removes all blocks.
func (t *Table) clear() {
	for i := range t.hashes {
		t.hashes[i].Store(0)
	}
	t.blockCount = 0
}

// clockAt returns the table's clock at now: the instant in ageUnits, plus the ageUnits added for lost events.
func (t *Table) clockAt(now Instant) uint32 {
	return uint32(int64(now)/int64(ageUnit)) + t.gapAge.Load()
}

// locate returns the first slot of the hash's set and the value that is stored for the hash. 0 marks an empty slot, so
// the hash 0 is stored as 1.
func (t *Table) locate(hash uint64) (first int, stored uint64) {
	if hash == 0 {
		hash = 1
	}
	return int(hash%t.setCount) * slotsPerSet, hash
}

// addBlock stores the block with the time now, which also renews a block that is stored already. A new block takes an
// empty slot of its set, or the slot of the oldest block if the set is full.
func (t *Table) addBlock(hash uint64, now Instant) {
	first, hash := t.locate(hash)
	clock := t.clockAt(now)
	slot, oldest := -1, uint32(0)
	for i := first; i < first+slotsPerSet; i++ {
		switch stored := t.hashes[i].Load(); {
		case stored == hash:
			t.addedAt[i].Store(clock)
			return
		case stored == 0:
			if slot < 0 || t.hashes[slot].Load() != 0 {
				slot = i
			}
		default:
			if age := clock - t.addedAt[i].Load(); slot < 0 || (t.hashes[slot].Load() != 0 && age > oldest) {
				slot, oldest = i, age
			}
		}
	}
	if t.hashes[slot].Load() == 0 {
		t.blockCount++
	}
	t.addedAt[slot].Store(clock)
	t.hashes[slot].Store(hash)
}

// dropBlock removes the block, and returns the number of blocks removed: 1, or 0 if the table doesn't contain it.
func (t *Table) dropBlock(hash uint64) int {
	first, hash := t.locate(hash)
	for i := first; i < first+slotsPerSet; i++ {
		if t.hashes[i].Load() == hash {
			t.hashes[i].Store(0)
			t.blockCount--
			return 1
		}
	}
	return 0
}

// blockAge returns the block's age in ageUnits; ok is false if the table doesn't contain the block.
func (t *Table) blockAge(hash uint64, clock uint32) (age uint32, ok bool) {
	first, hash := t.locate(hash)
	for i := first; i < first+slotsPerSet; i++ {
		if t.hashes[i].Load() == hash {
			return clock - t.addedAt[i].Load(), true
		}
	}
	return 0, false
}

// CachedTokens returns the expected number of tokens of the given prefix blocks that the engine has cached. A block
// helps only if all blocks before it are cached too, so its weight is at most the smallest weight of those before it.
func (t *Table) CachedTokens(blocks []uint64, now Instant) float64 {
	clock := t.clockAt(now)
	oldest, weight, sum := uint32(0), 1.0, 0.0
	for _, hash := range blocks {
		age, ok := t.blockAge(hash, clock)
		if !ok {
			break
		}
		if age > oldest {
			oldest = age
			weight = math.Exp2(-float64(age) / float64(HalfLife/ageUnit))
		}
		sum += weight
	}
	return sum * blockTokens
}
