package cost

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Clock is the time that requests read blocks at; the same instants as decide.Instant.
type Instant = decide.Instant

const (
	ways     = 8       // slots that one hash may go to
	minSlots = 64      // smallest table
	maxSlots = 1 << 14 // largest table: 16384 blocks, 16 million tokens, 192 KiB
	spare    = 2       // slots for each block that the engine's memory can hold

	ageUnit = 16 * time.Millisecond // resolution of a block's age
	// HalfLife is the age at which a block that was not heard of again counts half. Measured in
	// docs/design/routing.md.
	HalfLife = 2 * time.Minute
)

// Table is the prefix index of one engine. Its memory is fixed when it is made. One writer applies cache
// events; any number of requests read it at the same time without a lock. A read beside a write may see
// a block's old age: that makes one estimate slightly wrong and breaks nothing.
type Table struct {
	sets    uint64
	hashes  []atomic.Uint64 // 0: empty
	born    []atomic.Uint32 // in ageUnits of the table's own clock
	penalty atomic.Uint32   // ageUnits that gaps have added to that clock

	// The writer's own.
	boot  string
	next  uint64 // sequence number of the next event
	known int
}

// NewTable makes the index of an engine that holds memory tokens.
func NewTable(memory int64) *Table {
	blocks := uint64(max(memory, 0)) / wire.BlockTokens
	slots := min(max(blocks*spare, minSlots), maxSlots)
	slots = 1 << bits.Len64(slots-1)
	return &Table{
		sets:   slots / ways,
		hashes: make([]atomic.Uint64, slots),
		born:   make([]atomic.Uint32, slots),
	}
}

// Next is the sequence number to ask the engine's events from.
func (t *Table) NextSeq() uint64 { return t.next }

// Known is the number of blocks in the table.
func (t *Table) BlockCount() int { return t.known }

// Bytes is the memory that the table takes for good.
func (t *Table) SizeBytes() int { return len(t.hashes) * (8 + 4) }

// Outcome counts what a batch of cache events did.
type ApplyResult struct {
	Added, Dropped int
	Missed         uint64 // events that were lost
	Restarted      bool   // the engine has a new boot id
}

// Apply takes a batch of events in.
//
// Failure guarded against: events lost between engine and reader. It shows as a sequence number above the
// expected one. Among n lost events at most n told of a drop, so a known block is still there with a
// chance of at least 1-n/known; the table's clock is set forward until every block known so far counts
// just that much less. With n >= known nothing is known any more and the table is emptied. A new boot id
// means an empty cache and a new sequence.
func (t *Table) Apply(batch *wire.CacheEvents, now Instant) ApplyResult {
	var out ApplyResult
	if batch.BootID != t.boot {
		out.Restarted = t.boot != ""
		t.clear()
		t.boot, t.next = batch.BootID, batch.First
	}
	if batch.First > t.next {
		out.Missed += t.gap(batch.First)
	}
	for _, e := range batch.Events {
		if e.Seq < t.next {
			continue // seen before
		}
		out.Missed += t.gap(e.Seq)
		t.next = e.Seq + 1
		if e.Drop {
			out.Dropped += t.drop(e.Hash)
		} else {
			out.Added++
			t.add(e.Hash, now)
		}
	}
	return out
}

// gap ages what is known for the events between the expected one and seq, and gives their number.
func (t *Table) gap(seq uint64) uint64 {
	missed := seq - t.next
	t.next = seq
	if missed == 0 || t.known == 0 {
		return missed
	}
	if missed >= uint64(t.known) {
		t.clear()
		return missed
	}
	survival := 1 - float64(missed)/float64(t.known)
	units := -math.Log2(survival) * float64(HalfLife/ageUnit)
	t.penalty.Add(uint32(units) + 1)
	return missed
}

func (t *Table) clear() {
	for i := range t.hashes {
		t.hashes[i].Store(0)
	}
	t.known = 0
}

// clock is the table's own time: instants in ageUnits, plus what gaps have added.
func (t *Table) clock(now Instant) uint32 {
	return uint32(int64(now)/int64(ageUnit)) + t.penalty.Load()
}

// set gives the first slot of the hash's set. 0 marks an empty slot, so the hash 0 is stored as 1.
func (t *Table) set(hash uint64) (first int, stored uint64) {
	if hash == 0 {
		hash = 1
	}
	return int(hash%t.sets) * ways, hash
}

// add stores the block in an empty slot of its set, else in place of the oldest block there.
func (t *Table) add(hash uint64, now Instant) {
	first, hash := t.set(hash)
	clock := t.clock(now)
	slot, oldest := -1, uint32(0)
	for i := first; i < first+ways; i++ {
		switch stored := t.hashes[i].Load(); {
		case stored == hash:
			t.born[i].Store(clock)
			return
		case stored == 0:
			if slot < 0 || t.hashes[slot].Load() != 0 {
				slot = i
			}
		default:
			if age := clock - t.born[i].Load(); slot < 0 || (t.hashes[slot].Load() != 0 && age > oldest) {
				slot, oldest = i, age
			}
		}
	}
	if t.hashes[slot].Load() == 0 {
		t.known++
	}
	t.born[slot].Store(clock)
	t.hashes[slot].Store(hash)
}

func (t *Table) drop(hash uint64) int {
	first, hash := t.set(hash)
	for i := first; i < first+ways; i++ {
		if t.hashes[i].Load() == hash {
			t.hashes[i].Store(0)
			t.known--
			return 1
		}
	}
	return 0
}

// age finds the block; ok is false where the table does not know it.
func (t *Table) age(hash uint64, clock uint32) (age uint32, ok bool) {
	first, hash := t.set(hash)
	for i := first; i < first+ways; i++ {
		if t.hashes[i].Load() == hash {
			return clock - t.born[i].Load(), true
		}
	}
	return 0, false
}

// Cached is the expected number of tokens of the prefix blocks that the engine has. A block helps only
// where all blocks before it are there too, so it counts no more than the least sure of them.
func (t *Table) CachedTokens(blocks []uint64, now Instant) float64 {
	clock := t.clock(now)
	oldest, trust, sum := uint32(0), 1.0, 0.0
	for _, hash := range blocks {
		age, ok := t.age(hash, clock)
		if !ok {
			break
		}
		if age > oldest {
			oldest = age
			trust = math.Exp2(-float64(age) / float64(HalfLife/ageUnit))
		}
		sum += trust
	}
	return sum * blockTokens
}
