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

// Parameters of the simulated system: one-way latency to the store, run time of a request, simulated time.
const (
	storeOneWay  = 2 * time.Millisecond
	serviceTime  = 50 * time.Millisecond
	measuredTime = 20 * time.Second
)

// workload is the configuration of one measurement.
type workload struct {
	instances    int
	shards       int
	rate         float64 // claims per second over all instances
	ownerRouting bool    // all claims of a shard go to the same instance

	interval time.Duration // minimum time between two writes of a shard by one instance
}

// measurements are the results of one measurement.
type measurements struct {
	writes, conflicts, reads float64       // per second
	p50, p99                 time.Duration // latency of a claim
}

// benchmark runs instances and a store in virtual time, without faults.
type benchmark struct {
	loop           vtime.Loop
	random         *rand.Rand
	workload       workload
	committers     []map[int]*shardCommitter
	stored         []claim.Shard
	version        []uint64
	results        measurements
	claimLatencies []time.Duration
}

// shardCommitter is an instance's Committer of one shard, with the operations submitted to it.
type shardCommitter struct {
	committer   *claim.Committer
	submittedAt map[claim.OpID]decide.Instant
	ops         map[claim.OpID]claim.Op
}

// measure runs a workload and returns its measurements.
func measure(w workload) measurements {
	b := &benchmark{
		workload: w, random: rand.New(rand.NewPCG(5, 5)),
		stored: make([]claim.Shard, w.shards), version: make([]uint64, w.shards),
	}
	for range w.instances {
		b.committers = append(b.committers, map[int]*shardCommitter{})
	}
	b.scheduleArrival(0)
	b.loop.RunUntil(decide.Instant(measuredTime))
	b.results.writes /= measuredTime.Seconds()
	b.results.conflicts /= measuredTime.Seconds()
	b.results.reads /= measuredTime.Seconds()
	slices.Sort(b.claimLatencies)
	b.results.p50, b.results.p99 = b.claimLatencies[len(b.claimLatencies)/2], b.claimLatencies[len(b.claimLatencies)*99/100]
	return b.results
}

// scheduleArrival schedules the n-th claim; arrivals are a Poisson process.
func (b *benchmark) scheduleArrival(n int) {
	b.loop.After(vtime.Exponential(b.random, b.workload.rate), func() {
		key := fmt.Sprint("ws/", n)
		shard := int(xxhash.Sum64String(key) % uint64(b.workload.shards))
		instance := b.random.IntN(b.workload.instances)
		if b.workload.ownerRouting {
			instance = shard % b.workload.instances
		}
		b.submit(instance, shard, claim.Op{Kind: claim.Claim, Key: key, Token: claim.Token(key), Deadline: now.Add(time.Minute)})
		b.scheduleArrival(n + 1)
	})
}

// submit submits an operation on a shard to an instance and handles the effects.
func (b *benchmark) submit(instance, shard int, op claim.Op) {
	sc := b.committers[instance][shard]
	if sc == nil {
		limits := claim.DefaultLimits()
		limits.WriteInterval = b.workload.interval
		sc = &shardCommitter{
			committer:   claim.NewCommitter(limits),
			submittedAt: map[claim.OpID]decide.Instant{}, ops: map[claim.OpID]claim.Op{},
		}
		b.committers[instance][shard] = sc
	}
	id, e := sc.committer.Submit(op, b.loop.Now(), now)
	sc.submittedAt[id], sc.ops[id] = b.loop.Now(), op
	b.handleEffects(instance, shard, sc, e)
}

// handleEffects schedules the effects of a Committer and, for each granted claim, the record of its outcome.
func (b *benchmark) handleEffects(instance, shard int, sc *shardCommitter, e claim.Effects) {
	for _, r := range e.Responses {
		op := sc.ops[r.ID]
		if op.Kind != claim.Claim {
			continue
		}
		b.claimLatencies = append(b.claimLatencies, b.loop.Now().Sub(sc.submittedAt[r.ID]))
		op.Kind, op.Outcome = claim.Record, claim.Outcome{Status: 201, Body: make([]byte, 200)}
		b.loop.After(serviceTime, func() { b.submit(instance, shard, op) })
	}
	switch {
	case e.Read:
		b.results.reads++
		b.loop.After(storeOneWay, func() {
			s, v := b.stored[shard], b.version[shard]
			b.loop.After(storeOneWay, func() { b.handleEffects(instance, shard, sc, sc.committer.OnRead(s, v, true, b.loop.Now(), now)) })
		})
	case e.Put != nil:
		b.results.writes++
		b.loop.After(storeOneWay, func() { b.applyWrite(instance, shard, sc, *e.Put) })
	case e.Wake > 0:
		b.loop.At(e.Wake, func() { b.handleEffects(instance, shard, sc, sc.committer.Tick(b.loop.Now(), now)) })
	}
}

// applyWrite applies a write to the store and schedules its response.
func (b *benchmark) applyWrite(instance, shard int, sc *shardCommitter, p claim.Put) {
	outcome := claim.WriteConflict
	if p.IfVersion == b.version[shard] {
		b.stored[shard], outcome = p.Shard, claim.WriteApplied
		b.version[shard]++
	} else {
		b.results.conflicts++
	}
	v := b.version[shard]
	b.loop.After(storeOneWay, func() { b.handleEffects(instance, shard, sc, sc.committer.OnWrite(outcome, v, b.loop.Now(), now)) })
}

// Checks bounds of the store writes per second and the claim latency over the claims per second. The results are
// deterministic; docs/design/at-most-once.md lists them.
func TestWritesPerClaim(t *testing.T) {
	const fast, slow = 20 * time.Millisecond, 100 * time.Millisecond
	rows := []struct {
		workload
		maxWrites float64       // per second
		maxP99    time.Duration // latency of a claim
	}{
		{workload{9, claim.HashShards, 5, false, fast}, 11.5, 8 * time.Millisecond},
		{workload{9, claim.HashShards, 50, false, fast}, 102, 28 * time.Millisecond},
		{workload{9, claim.HashShards, 200, false, fast}, 432, 28 * time.Millisecond},
		{workload{9, claim.TimeShards, 5, false, fast}, 13.3, 28 * time.Millisecond},
		{workload{9, claim.TimeShards, 50, false, fast}, 163, 52 * time.Millisecond},
		{workload{9, claim.TimeShards, 50, true, fast}, 80.5, 23 * time.Millisecond},
		{workload{9, claim.TimeShards, 200, true, fast}, 230, 24 * time.Millisecond},
		{workload{930, claim.TimeShards, 770, true, fast}, 572, 24 * time.Millisecond},
		{workload{930, claim.TimeShards, 770, true, slow}, 160, 103 * time.Millisecond},
	}
	for _, row := range rows {
		f := measure(row.workload)
		t.Logf("entries %3d shards %4d claims/s %3.0f owner %-5v interval %-5v: writes/s %5.1f conflicts/s %5.1f reads/s %5.1f claim p50 %4.1f ms p99 %5.1f ms",
			row.instances, row.shards, row.rate, row.ownerRouting, row.interval, f.writes, f.conflicts, f.reads,
			float64(f.p50)/1e6, float64(f.p99)/1e6)
		if f.writes > row.maxWrites || f.p99 > row.maxP99 {
			t.Errorf("result exceeds %.1f writes/s or p99 %v", row.maxWrites, row.maxP99)
		}
	}
}

// Checks bounds of the stored size of a claim in bytes, with its outcome and as a tombstone.
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
		t.Errorf("result exceeds %d bytes with outcome or %d bytes as a tombstone", maxEntry, maxTombstone)
	}
}

// timedKey is an idempotency key that carries its issue time.
const timedKey = "01890a5d-ac96-774b-bcce-b302099a8057"
