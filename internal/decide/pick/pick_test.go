package pick_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/decide/pick"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// A fixed seed, so that every run of the randomized tests gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

const (
	memory = 400_000
	rate   = 20_000
)

var start = decide.Instant(0).Add(time.Minute)

// fleetOf makes n engines that have just reported to be idle.
func fleetOf(n int) []*pick.Engine {
	engines := make([]*pick.Engine, n)
	for i := range engines {
		engines[i] = pick.NewEngine(fleet.UpstreamID(fmt.Sprintf("e%04d", i)), cost.NewTable(memory))
		engines[i].UpdateReport(&pick.Report{At: start, MemoryTotal: memory, PrefillRate: rate})
	}
	return engines
}

func short(now decide.Instant) *pick.Query {
	profile := pick.ProfileOf(api.ProfileShortFirst)
	return &pick.Query{
		Prompt: &cost.Prompt{Tokens: 4000, MaxAnswerTokens: 100, Blocks: []uint64{1, 2, 3}}, Class: cost.Short,
		Now: now, Rand: rand.New(rand.NewPCG(1, 2)), Instances: 1, Profile: &profile,
	}
}

func TestPredictionAddsReportAndOwnDispatchesLessWorkDone(t *testing.T) {
	is := is.New(t)
	e := pick.NewEngine("e", cost.NewTable(memory))
	c := &pick.Candidate{Engine: e}
	e.UpdateReport(&pick.Report{At: start, QueuedTokens: 30_000, Queued: 3, MemoryTotal: memory, PrefillRate: rate})
	e.RecordDispatch(cost.Short, 10_000, 10_000, start.Add(300*time.Millisecond))

	q := short(start.Add(500 * time.Millisecond))
	got := pick.Predict(q, c)
	wait := 1500 * time.Millisecond // (30000 reported + 10000 sent - 10000 done in 0.5 s) / 20000
	step := got.Wait - wait
	is.True(step > 0 && step < 50*time.Millisecond) // and the step under way
	is.Equal(got.FirstToken, got.Wait+200*time.Millisecond)

	q.Instances, q.Profile.PeerWeight = 9, 0.5
	more := pick.Predict(q, c)
	is.Equal(more.Wait-got.Wait, 2*time.Second) // each own token stands for four of the others

	e.Cache.Apply(&wire.CacheEvents{BootID: "b", Events: []wire.CacheEvent{{Seq: 1, Hash: 1}, {Seq: 2, Hash: 2}}}, q.Now)
	is.Equal(pick.Predict(q, c).Cost, 4000-2*wire.BlockTokens)

	e.UpdateReport(&pick.Report{At: start.Add(400 * time.Millisecond), MemoryTotal: memory, PrefillRate: rate})
	is.Equal(pick.Predict(q, c).Wait, time.Duration(0)) // the new report has counted the dispatch
}

// Prompts wait at the entry before an engine that is idle. Order: a burst is answered between two reports.
// Cause: what was sent since the report counts as waiting though its answers are there.
func TestAnsweredDispatchesDoNotCount(t *testing.T) {
	is := is.New(t)
	e := fleetOf(1)[0]
	c := &pick.Candidate{Engine: e}
	for range 50 {
		e.RecordDispatch(cost.Short, 4000, 4100, start.Add(100*time.Millisecond))
	}
	q := short(start.Add(200 * time.Millisecond))
	is.True(pick.Predict(q, c).Wait > 9*time.Second)
	is.Equal(c.FreeMemory(q), int64(memory-50*4100))
	for range 50 {
		e.RecordFirstToken(cost.Short, 4000)
		e.ReleaseMemory(4100)
	}
	is.Equal(pick.Predict(q, c).Wait, time.Duration(0))
	is.Equal(c.FreeMemory(q), int64(memory))
}

// Prompts pile up on an engine that was thought idle. Order: two reports are read over two connections,
// the newer one is taken in first. Cause: the older one then replaces it.
func TestOlderReportIsDropped(t *testing.T) {
	is := is.New(t)
	e := pick.NewEngine("e", nil)
	is.True(e.UpdateReport(&pick.Report{At: start.Add(time.Second), QueuedTokens: 5}))
	is.True(!e.UpdateReport(&pick.Report{At: start}))
	is.Equal(e.Report().QueuedTokens, int64(5))
}

// All short prompts wait on one engine though nineteen are idle. Order: an engine reports to be the
// least loaded; nine entries read that and each sends all its prompts there until the next report.
// Cause: everybody takes the one best, by figures that nobody's dispatches change.
func TestEntriesDoNotHerdToTheEnginePraisedLast(t *testing.T) {
	is := is.New(t)
	most := func(picker pick.Picker, count bool) int64 {
		const entries, prompts = 9, 12
		sent := map[*pick.Engine]int64{}
		byID := map[fleet.UpstreamID]int64{}
		for entry := range entries {
			engines := fleetOf(20)
			for _, e := range engines[1:] { // the first is idle, the others have a little to do
				e.UpdateReport(&pick.Report{At: start, QueuedTokens: 3000, MemoryTotal: memory, PrefillRate: rate})
			}
			pool := pick.NewPool(engines, nil, memory)
			p := pick.Default()
			p.Picker = picker
			q := short(start)
			q.Rand, q.Instances = rand.New(rand.NewPCG(uint64(entry), 3)), entries
			q.Prompt.Blocks = nil
			for range prompts {
				c := p.Pick(q, pool.All)
				byID[c.Engine.ID]++
				if count {
					c.Engine.RecordDispatch(cost.Short, int64(c.Estimate.Cost), 4100, q.Now)
				}
				sent[c.Engine]++
			}
		}
		var most int64
		for _, n := range byID {
			most = max(most, n)
		}
		return most
	}
	is.Equal(most(pick.All, false), int64(9*12))   // without the guard every prompt of every entry
	is.True(most(pick.Sample, true) <= int64(2*6)) // with it at most about twice the mean of 5.4
}

// Prompts time out on an engine that nobody hears of any more. Order: it reports to be idle, then falls
// silent. Cause: the old report still makes it the best, and the better the older it is.
func TestSilentEngineIsTakenLast(t *testing.T) {
	is := is.New(t)
	engines := fleetOf(3)
	now := start.Add(pick.StaleAfter + time.Second)
	for _, e := range engines[1:] {
		e.UpdateReport(&pick.Report{At: now, QueuedTokens: 100_000, MemoryTotal: memory, PrefillRate: rate})
	}
	pool := pick.NewPool(engines, nil, memory)
	for range 50 {
		is.True(pick.Default().Pick(short(now), pool.All).Engine != engines[0])
	}
	alone := pick.NewPool(engines[:1], nil, memory)
	is.Equal(pick.Default().Pick(short(now), alone.All).Engine, engines[0]) // there is no other
}

func TestEngineWithoutMemoryIsLeftOut(t *testing.T) {
	is := is.New(t)
	engines := fleetOf(4)
	for _, e := range engines[:3] {
		e.UpdateReport(&pick.Report{At: start, MemoryUsed: memory - 1000, MemoryTotal: memory, PrefillRate: rate})
	}
	pool := pick.NewPool(engines, nil, memory)
	p := pick.Default()
	is.Equal(p.Pick(short(start), pool.All).Engine, engines[3])
	engines[3].RecordDispatch(cost.Medium, 0, memory-1000, start) // own dispatches count before the report shows them
	is.Equal(p.Pick(short(start), pool.All).Reason, pick.NoMemory)

	q := short(start)
	q.Exclude = []fleet.UpstreamID{"e0000", "e0001", "e0002", "e0003"}
	is.Equal(p.Pick(q, pool.All).Reason, pick.NoEngine)
	closed := pick.Default(pick.Filter{Reason: pick.RejectedByGate, Keep: func(*pick.Query, *pick.Candidate) bool { return false }})
	is.Equal(closed.Pick(short(start), pool.All).Reason, pick.RejectedByGate)
}

func TestShortPromptsKeepOffTheLanesUntilItPays(t *testing.T) {
	is := is.New(t)
	engines := fleetOf(2)
	pool := pick.NewPool(engines, []fleet.UpstreamID{"e0001"}, memory)
	p := pick.Default()
	for range 20 {
		is.Equal(p.Pick(short(start), pool.All).Engine, engines[0])
	}
	engines[0].UpdateReport(&pick.Report{At: start, QueuedTokens: 10_000, MemoryTotal: memory, PrefillRate: rate})
	engines[1].UpdateReport(&pick.Report{At: start, QueuedTokens: 200_000, MemoryTotal: memory, PrefillRate: rate})
	is.Equal(p.Pick(short(start), pool.All).Engine, engines[1]) // its long prompts stand behind a short one
	is.Equal(len(pool.ForClass(cost.Long)), 1)
	is.Equal(len(pool.ForClass(cost.Short)), 2)
}

// Medium prompts wait fifteen seconds behind a long one though other engines are free sooner. Order: the
// profile gives them the long ones' priority; they are sent to a lane all the same. Cause: on lanes only
// the shorter prompts' work was counted, whatever the priority.
func TestLongWorkCountsWhereItIsNotOutranked(t *testing.T) {
	is := is.New(t)
	e := pick.NewEngine("e", nil)
	e.UpdateReport(&pick.Report{At: start, QueuedTokens: 300_000, MemoryTotal: memory, PrefillRate: rate})
	c := &pick.Candidate{Engine: e, Lane: true}
	q := short(start)
	is.Equal(pick.Predict(q, c).Wait, time.Duration(0)) // short stands before long
	q.Profile.Priority[cost.Short] = q.Profile.Priority[cost.Long]
	is.True(pick.Predict(q, c).Wait >= 15*time.Second)
}

// Whatever the engines have free, a plan covers the prompt's memory exactly, stays within each engine's
// room, names each engine once and in their order; and there is one whenever a single engine has room.
func TestPlansFitTheirEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 10).Draw(t, "engines")
		engines := fleetOf(n)
		largest := int64(0)
		room := map[fleet.UpstreamID]int64{}
		for _, e := range engines {
			used := rapid.Int64Range(0, memory).Draw(t, "used")
			e.UpdateReport(&pick.Report{At: start, MemoryUsed: used, MemoryTotal: memory, PrefillRate: rate})
			room[e.ID] = memory - used
			largest = max(largest, memory-used)
		}
		q := short(start)
		q.Prompt = &cost.Prompt{Tokens: rapid.IntRange(cost.LongMin, 1_000_000).Draw(t, "tokens"), MaxAnswerTokens: 100}
		q.Class = cost.ClassOf(q.Prompt.Tokens, q.Prompt.MaxAnswerTokens, memory)
		plan := pick.PlanLong(q, pick.NewPool(engines, nil, memory).All, nil)
		if len(plan.Parts) == 0 {
			if largest >= q.Prompt.MemoryTokens() {
				t.Fatal("an engine had room")
			}
			return
		}
		sum, last := int64(0), fleet.UpstreamID("")
		for _, p := range plan.Parts {
			if p.Tokens > room[p.Engine.ID] || p.Engine.ID <= last {
				t.Fatalf("part of %d tokens on %s with room for %d, after %s", p.Tokens, p.Engine.ID, room[p.Engine.ID], last)
			}
			sum, last = sum+p.Tokens, p.Engine.ID
		}
		if sum != q.Prompt.MemoryTokens() {
			t.Fatalf("parts of %d tokens for a prompt of %d", sum, q.Prompt.MemoryTokens())
		}
	})
}

func TestLongPromptIsSplitWhereThatPays(t *testing.T) {
	is := is.New(t)
	engines := fleetOf(3)
	q := short(start)
	q.Prompt, q.Class = &cost.Prompt{Tokens: 300_000, MaxAnswerTokens: 100}, cost.Long
	pool := pick.NewPool(engines, nil, memory)
	is.Equal(pick.PlanLong(q, pool.All, nil).Reason, pick.OneEngine) // not in this profile

	*q.Profile = pick.ProfileOf(api.ProfileLongFirst)
	plan := pick.PlanLong(q, pool.All, nil)
	is.Equal(plan.Reason, pick.Split)
	is.Equal(plan.Parts[0].Tokens, plan.Parts[1].Tokens)
	for _, e := range engines[1:] {
		e.UpdateReport(&pick.Report{At: start, QueuedTokens: 200_000, MemoryTotal: memory, PrefillRate: rate})
	}
	is.Equal(pick.PlanLong(q, pool.All, nil).Reason, pick.OneEngine) // the second engine has 10 s to do
}

func TestPickAllocatesNothing(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{20, 400, 2000} {
		pool := pick.NewPool(fleetOf(n), nil, memory)
		p, q := pick.Default(), short(start)
		is.Equal(testing.AllocsPerRun(200, func() { p.Pick(q, pool.All) }), 0.0)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 400, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			pool := pick.NewPool(fleetOf(n), nil, memory)
			p := pick.Default()
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				q := short(start)
				for pb.Next() {
					c := p.Pick(q, pool.All)
					c.Engine.RecordDispatch(cost.Short, int64(c.Estimate.Cost), 0, q.Now)
				}
			})
		})
	}
}
