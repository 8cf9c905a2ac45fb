package claim_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/claim"
	"github.com/damaskshelf/damaskshelf/internal/vtime"
)

// Fixed figures of the measurement.
const (
	storeOneWay = 2 * time.Millisecond
	serviceTime = 50 * time.Millisecond
	measured    = 20 * time.Second
)

// load is one point of the measurement.
type load struct {
	entries int
	shards  int
	rate    float64 // claims a second over all entries
	owner   bool    // each shard's claims come to one entry

	interval time.Duration // between two writes of a shard by one entry
}

// figures are what one point gives, a second where a rate.
type figures struct {
	writes, conflicts, reads float64
	p50, p99                 time.Duration // of a claim
}

// bench is entries and a store in virtual time, without faults.
type bench struct {
	loop    vtime.Loop
	random  *rand.Rand
	load    load
	nodes   []map[int]*node
	stored  []claim.Shard
	version []uint64
	sum     figures
	waits   []time.Duration
}

type node struct {
	c     *claim.Committer
	began map[claim.OpID]decide.Instant
	ops   map[claim.OpID]claim.Op
}

func measure(l load) figures {
	b := &bench{
		load: l, random: rand.New(rand.NewPCG(5, 5)),
		stored: make([]claim.Shard, l.shards), version: make([]uint64, l.shards),
	}
	for range l.entries {
		b.nodes = append(b.nodes, map[int]*node{})
	}
	b.arrive(0)
	b.loop.RunUntil(decide.Instant(measured))
	b.sum.writes /= measured.Seconds()
	b.sum.conflicts /= measured.Seconds()
	b.sum.reads /= measured.Seconds()
	slices.Sort(b.waits)
	b.sum.p50, b.sum.p99 = b.waits[len(b.waits)/2], b.waits[len(b.waits)*99/100]
	return b.sum
}

func (b *bench) arrive(n int) {
	b.loop.After(vtime.Exponential(b.random, b.load.rate), func() {
		key := fmt.Sprint("ws/", n)
		shard := int(xxhash.Sum64String(key) % uint64(b.load.shards))
		entry := b.random.IntN(b.load.entries)
		if b.load.owner {
			entry = shard % b.load.entries
		}
		b.submit(entry, shard, claim.Op{Kind: claim.Claim, Key: key, Token: claim.Token(key), Deadline: now.Add(time.Minute)})
		b.arrive(n + 1)
	})
}

func (b *bench) submit(entry, shard int, op claim.Op) {
	n := b.nodes[entry][shard]
	if n == nil {
		limits := claim.DefaultLimits()
		limits.WriteInterval = b.load.interval
		n = &node{
			c:     claim.NewCommitter(limits),
			began: map[claim.OpID]decide.Instant{}, ops: map[claim.OpID]claim.Op{},
		}
		b.nodes[entry][shard] = n
	}
	id, e := n.c.Submit(op, b.loop.Now(), now)
	n.began[id], n.ops[id] = b.loop.Now(), op
	b.carry(entry, shard, n, e)
}

func (b *bench) carry(entry, shard int, n *node, e claim.Effects) {
	for _, a := range e.Responses {
		op := n.ops[a.ID]
		if op.Kind != claim.Claim {
			continue
		}
		b.waits = append(b.waits, b.loop.Now().Sub(n.began[a.ID]))
		op.Kind, op.Outcome = claim.Record, claim.Outcome{Status: 201, Body: make([]byte, 200)}
		b.loop.After(serviceTime, func() { b.submit(entry, shard, op) })
	}
	switch {
	case e.Read:
		b.sum.reads++
		b.loop.After(storeOneWay, func() {
			s, v := b.stored[shard], b.version[shard]
			b.loop.After(storeOneWay, func() { b.carry(entry, shard, n, n.c.OnRead(s, v, true, b.loop.Now(), now)) })
		})
	case e.Put != nil:
		b.sum.writes++
		b.loop.After(storeOneWay, func() { b.put(entry, shard, n, *e.Put) })
	case e.Wake > 0:
		b.loop.At(e.Wake, func() { b.carry(entry, shard, n, n.c.Tick(b.loop.Now(), now)) })
	}
}

func (b *bench) put(entry, shard int, n *node, p claim.Put) {
	written := claim.WriteConflict
	if p.IfVersion == b.version[shard] {
		b.stored[shard], written = p.Shard, claim.WriteApplied
		b.version[shard]++
	} else {
		b.sum.conflicts++
	}
	v := b.version[shard]
	b.loop.After(storeOneWay, func() { b.carry(entry, shard, n, n.c.OnWrite(written, v, b.loop.Now(), now)) })
}

// The store's writes against claims a second, for docs/design/at-most-once.md. The bounds hold the
// figures, which repeat exactly.
func TestWritesPerClaim(t *testing.T) {
	const fast, slow = 20 * time.Millisecond, 100 * time.Millisecond
	rows := []struct {
		load
		maxWrites float64       // a second
		maxP99    time.Duration // of a claim
	}{
		{load{9, claim.HashShards, 5, false, fast}, 11.5, 8 * time.Millisecond},
		{load{9, claim.HashShards, 50, false, fast}, 102, 28 * time.Millisecond},
		{load{9, claim.HashShards, 200, false, fast}, 432, 28 * time.Millisecond},
		{load{9, claim.TimeShards, 5, false, fast}, 13.3, 28 * time.Millisecond},
		{load{9, claim.TimeShards, 50, false, fast}, 163, 52 * time.Millisecond},
		{load{9, claim.TimeShards, 50, true, fast}, 80.5, 23 * time.Millisecond},
		{load{9, claim.TimeShards, 200, true, fast}, 230, 24 * time.Millisecond},
		{load{930, claim.TimeShards, 770, true, fast}, 572, 24 * time.Millisecond},
		{load{930, claim.TimeShards, 770, true, slow}, 160, 103 * time.Millisecond},
	}
	for _, row := range rows {
		f := measure(row.load)
		t.Logf("entries %3d shards %4d claims/s %3.0f owner %-5v interval %-5v: writes/s %5.1f conflicts/s %5.1f reads/s %5.1f claim p50 %4.1f ms p99 %5.1f ms",
			row.entries, row.shards, row.rate, row.owner, row.interval, f.writes, f.conflicts, f.reads,
			float64(f.p50)/1e6, float64(f.p99)/1e6)
		if f.writes > row.maxWrites || f.p99 > row.maxP99 {
			t.Errorf("over the bounds of %.1f writes/s or p99 %v", row.maxWrites, row.maxP99)
		}
	}
}

// The bytes that one claim takes in its shard object, with its outcome and as a tombstone.
func TestBytesPerClaim(t *testing.T) {
	const claims, maxEntry, maxTombstone = 1000, 590, 51
	l := claim.DefaultLimits()
	var s claim.Shard
	for i := range claims {
		o := op(claim.Claim, claim.Token(fmt.Sprintf("entry-1.%s.%d", timedKey, i)))
		o.Key = claim.FullKey("workspace", fmt.Sprintf("opaque-key-of-36-characters-%08d", i))
		o.Fingerprint = fmt.Sprintf("%064d", i)
		s, _, _ = l.Apply(s, o, now)
		o.Kind, o.Outcome.Body = claim.Record, make([]byte, 200)
		s, _, _ = l.Apply(s, o, now)
	}
	entry := float64(len(encode(s))) / claims
	s = l.Prune(s, now.Add(2*l.Retention))
	tombstone := float64(len(encode(s))) / claims
	t.Logf("bytes a claim: %.1f with its outcome of 200 bytes, %.1f as a tombstone", entry, tombstone)
	if entry > maxEntry || tombstone > maxTombstone {
		t.Errorf("over the bounds of %d and %d", maxEntry, maxTombstone)
	}
}

const timedKey = "01890a5d-ac96-774b-bcce-b302099a8057"
