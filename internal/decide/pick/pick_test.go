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

// TestMain fixes the seed of the randomized tests, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

const (
	memoryTokens = 400_000
	tokensPerSec = 20_000
)

var start = decide.Instant(0).Add(time.Minute)

// idleEngines returns n engines that have just reported that they are idle.
func idleEngines(n int) []*pick.Engine {
	engines := make([]*pick.Engine, n)
	for i := range engines {
		engines[i] = pick.NewEngine(fleet.UpstreamID(fmt.Sprintf("e%04d", i)), cost.NewTable(memoryTokens))
		engines[i].UpdateReport(&pick.Report{At: start, MemoryTotal: memoryTokens, PrefillRate: tokensPerSec})
	}
	return engines
}

// shortQuery returns a query for a short prompt with the short-first profile and a fixed seed.
func shortQuery(now decide.Instant) *pick.Query {
	profile := pick.ProfileOf(api.ProfileShortFirst)
	return &pick.Query{
		Prompt: &cost.Prompt{Tokens: 4000, MaxOutputTokens: 100, Blocks: []uint64{1, 2, 3}}, Class: cost.Short,
		Now: now, Rand: rand.New(rand.NewPCG(1, 2)), Instances: 1, Profile: &profile,
	}
}

func TestPredictCountsReportAndDispatchesLessProgress(t *testing.T) {
	is := is.New(t)
	e := pick.NewEngine("e", cost.NewTable(memoryTokens))
	c := &pick.Candidate{Engine: e}
	e.UpdateReport(&pick.Report{At: start, QueuedTokens: 30_000, Queued: 3, MemoryTotal: memoryTokens, PrefillRate: tokensPerSec})
	e.RecordDispatch(cost.Short, 10_000, 10_000, start.Add(300*time.Millisecond))

	q := shortQuery(start.Add(500 * time.Millisecond))
	estimate := pick.Predict(q, c)
	wait := 1500 * time.Millisecond // (30000 reported + 10000 dispatched - 10000 computed in 0.5 s) / 20000
	step := estimate.Wait - wait
	is.True(step > 0 && step < 50*time.Millisecond) // the current batch step
	is.Equal(estimate.FirstToken, estimate.Wait+200*time.Millisecond)

	q.Instances, q.Profile.PeerWeight = 9, 0.5
	scaled := pick.Predict(q, c)
	is.Equal(scaled.Wait-estimate.Wait, 2*time.Second) // each dispatched token stands for four of other instances

	e.Cache.Apply(&wire.CacheEvents{BootID: "b", Events: []wire.CacheEvent{{Seq: 1, Hash: 1}, {Seq: 2, Hash: 2}}}, q.Now)
	is.Equal(pick.Predict(q, c).Cost, 4000-2*wire.BlockTokens)

	e.UpdateReport(&pick.Report{At: start.Add(400 * time.Millisecond), MemoryTotal: memoryTokens, PrefillRate: tokensPerSec})
	is.Equal(pick.Predict(q, c).Wait, time.Duration(0)) // the new report includes the dispatch
}

// Guards against prompts that queue at the instance while the engine is idle: a burst of prompts is answered between
// two load reports, and the dispatches since the first report still count as work ahead.
func TestAnsweredDispatchesDoNotCountAsWorkAhead(t *testing.T) {
	is := is.New(t)
	e := idleEngines(1)[0]
	c := &pick.Candidate{Engine: e}
	for range 50 {
		e.RecordDispatch(cost.Short, 4000, 4100, start.Add(100*time.Millisecond))
	}
	q := shortQuery(start.Add(200 * time.Millisecond))
	is.True(pick.Predict(q, c).Wait > 9*time.Second)
	is.Equal(c.FreeMemory(q), int64(memoryTokens-50*4100))
	for range 50 {
		e.RecordFirstToken(cost.Short, 4000)
		e.ReleaseMemory(4100)
	}
	is.Equal(pick.Predict(q, c).Wait, time.Duration(0))
	is.Equal(c.FreeMemory(q), int64(memoryTokens))
}

// Guards against prompts that pile up on a busy engine: two load reports arrive over two connections, the newer one
// first, and the older one, which shows the engine idle, replaces it.
func TestOlderReportIsDropped(t *testing.T) {
	is := is.New(t)
	e := pick.NewEngine("e", nil)
	is.True(e.UpdateReport(&pick.Report{At: start.Add(time.Second), QueuedTokens: 5}))
	is.True(!e.UpdateReport(&pick.Report{At: start}))
	is.Equal(e.Report().QueuedTokens, int64(5))
}

// Guards against all short prompts waiting on one engine while nineteen others are almost idle. Nine instances read the
// report that shows one engine as the least loaded. Each sends all its prompts there until the next report, if its own
// dispatches don't change the figures that it compares.
func TestInstancesDoNotHerdToLeastLoadedEngine(t *testing.T) {
	is := is.New(t)
	maxPerEngine := func(picker pick.Picker, recordDispatches bool) int64 {
		const instances, prompts = 9, 12
		sent := map[*pick.Engine]int64{}
		byID := map[fleet.UpstreamID]int64{}
		for instance := range instances {
			engines := idleEngines(20)
			for _, e := range engines[1:] { // the first engine is idle, the others have little work
				e.UpdateReport(&pick.Report{At: start, QueuedTokens: 3000, MemoryTotal: memoryTokens, PrefillRate: tokensPerSec})
			}
			pool := pick.NewPool(engines, nil, memoryTokens)
			p := pick.Default()
			p.Picker = picker
			q := shortQuery(start)
			q.Rand, q.Instances = rand.New(rand.NewPCG(uint64(instance), 3)), instances
			q.Prompt.Blocks = nil
			for range prompts {
				c := p.Pick(q, pool.All)
				byID[c.Engine.ID]++
				if recordDispatches {
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
	is.Equal(maxPerEngine(pick.All, false), int64(9*12))   // without the guard: every prompt of every instance
	is.True(maxPerEngine(pick.Sample, true) <= int64(2*6)) // with it: at most about twice the mean of 5.4
}

// Guards against prompts that time out on an engine that reported that it is idle and then stopped reporting. By its
// old report it has the best score, and the older the report is, the more work counts as done.
func TestEngineWithStaleReportIsChosenLast(t *testing.T) {
	is := is.New(t)
	engines := idleEngines(3)
	now := start.Add(pick.StaleAfter + time.Second)
	for _, e := range engines[1:] {
		e.UpdateReport(&pick.Report{At: now, QueuedTokens: 100_000, MemoryTotal: memoryTokens, PrefillRate: tokensPerSec})
	}
	pool := pick.NewPool(engines, nil, memoryTokens)
	for range 50 {
		is.True(pick.Default().Pick(shortQuery(now), pool.All).Engine != engines[0])
	}
	onlyStale := pick.NewPool(engines[:1], nil, memoryTokens)
	is.Equal(pick.Default().Pick(shortQuery(now), onlyStale.All).Engine, engines[0]) // no other engine in the pool
}

func TestEngineWithoutFreeMemoryIsNotChosen(t *testing.T) {
	is := is.New(t)
	engines := idleEngines(4)
	for _, e := range engines[:3] {
		e.UpdateReport(&pick.Report{At: start, MemoryUsed: memoryTokens - 1000, MemoryTotal: memoryTokens, PrefillRate: tokensPerSec})
	}
	pool := pick.NewPool(engines, nil, memoryTokens)
	p := pick.Default()
	is.Equal(p.Pick(shortQuery(start), pool.All).Engine, engines[3])
	engines[3].RecordDispatch(cost.Medium, 0, memoryTokens-1000, start) // dispatches count before a report shows them
	is.Equal(p.Pick(shortQuery(start), pool.All).Reason, pick.NoMemory)

	q := shortQuery(start)
	q.Exclude = []fleet.UpstreamID{"e0000", "e0001", "e0002", "e0003"}
	is.Equal(p.Pick(q, pool.All).Reason, pick.NoEngine)
	rejectAll := pick.Default(pick.Filter{Reason: pick.RejectedByGate, Keep: func(*pick.Query, *pick.Candidate) bool { return false }})
	is.Equal(rejectAll.Pick(shortQuery(start), pool.All).Reason, pick.RejectedByGate)
}

func TestShortPromptsUseLanesOnlyWhenFaster(t *testing.T) {
	is := is.New(t)
	engines := idleEngines(2)
	pool := pick.NewPool(engines, []fleet.UpstreamID{"e0001"}, memoryTokens)
	p := pick.Default()
	for range 20 {
		is.Equal(p.Pick(shortQuery(start), pool.All).Engine, engines[0])
	}
	engines[0].UpdateReport(&pick.Report{At: start, QueuedTokens: 10_000, MemoryTotal: memoryTokens, PrefillRate: tokensPerSec})
	engines[1].UpdateReport(&pick.Report{At: start, QueuedTokens: 200_000, MemoryTotal: memoryTokens, PrefillRate: tokensPerSec})
	is.Equal(p.Pick(shortQuery(start), pool.All).Engine, engines[1]) // its long prompts are scheduled after short ones
	is.Equal(len(pool.ForClass(cost.Long)), 1)
	is.Equal(len(pool.ForClass(cost.Short)), 2)
}

// Guards against medium prompts that wait fifteen seconds behind a long one though other engines are free sooner: the
// profile gives both classes the same priority, but the prediction for a lane counts only the work of shorter prompts.
func TestLongWorkOnLaneCountsAtEqualPriority(t *testing.T) {
	is := is.New(t)
	e := pick.NewEngine("e", nil)
	e.UpdateReport(&pick.Report{At: start, QueuedTokens: 300_000, MemoryTotal: memoryTokens, PrefillRate: tokensPerSec})
	c := &pick.Candidate{Engine: e, Lane: true}
	q := shortQuery(start)
	is.Equal(pick.Predict(q, c).Wait, time.Duration(0)) // short prompts are scheduled before long ones
	q.Profile.Priority[cost.Short] = q.Profile.Priority[cost.Long]
	is.True(pick.Predict(q, c).Wait >= 15*time.Second)
}

// Checks for any free memory of the engines: the parts of a plan add up to the prompt's memory, each fits its engine,
// and they are sorted by engine without duplicates. There is a plan whenever a single engine can hold the prompt.
func TestPlanFitsFreeMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 10).Draw(t, "engines")
		engines := idleEngines(n)
		mostFree := int64(0)
		free := map[fleet.UpstreamID]int64{}
		for _, e := range engines {
			used := rapid.Int64Range(0, memoryTokens).Draw(t, "used")
			e.UpdateReport(&pick.Report{At: start, MemoryUsed: used, MemoryTotal: memoryTokens, PrefillRate: tokensPerSec})
			free[e.ID] = memoryTokens - used
			mostFree = max(mostFree, memoryTokens-used)
		}
		q := shortQuery(start)
		q.Prompt = &cost.Prompt{Tokens: rapid.IntRange(cost.LongMin, 1_000_000).Draw(t, "tokens"), MaxOutputTokens: 100}
		q.Class = cost.ClassOf(q.Prompt.Tokens, q.Prompt.MaxOutputTokens, memoryTokens)
		plan := pick.PlanLong(q, pick.NewPool(engines, nil, memoryTokens).All, nil)
		if len(plan.Parts) == 0 {
			if mostFree >= q.Prompt.MemoryTokens() {
				t.Fatal("no plan, but one engine has enough free memory")
			}
			return
		}
		sum, lastID := int64(0), fleet.UpstreamID("")
		for _, p := range plan.Parts {
			if p.Tokens > free[p.Engine.ID] || p.Engine.ID <= lastID {
				t.Fatalf("part of %d tokens on %s with %d free, after part on %s", p.Tokens, p.Engine.ID, free[p.Engine.ID], lastID)
			}
			sum, lastID = sum+p.Tokens, p.Engine.ID
		}
		if sum != q.Prompt.MemoryTokens() {
			t.Fatalf("parts hold %d tokens, want %d", sum, q.Prompt.MemoryTokens())
		}
	})
}

func TestLongPromptIsSplitWhenSufficientlyFaster(t *testing.T) {
	is := is.New(t)
	engines := idleEngines(3)
	q := shortQuery(start)
	q.Prompt, q.Class = &cost.Prompt{Tokens: 300_000, MaxOutputTokens: 100}, cost.Long
	pool := pick.NewPool(engines, nil, memoryTokens)
	is.Equal(pick.PlanLong(q, pool.All, nil).Reason, pick.OneEngine) // the short-first profile allows no splits

	*q.Profile = pick.ProfileOf(api.ProfileLongFirst)
	plan := pick.PlanLong(q, pool.All, nil)
	is.Equal(plan.Reason, pick.Split)
	is.Equal(plan.Parts[0].Tokens, plan.Parts[1].Tokens)
	for _, e := range engines[1:] {
		e.UpdateReport(&pick.Report{At: start, QueuedTokens: 200_000, MemoryTotal: memoryTokens, PrefillRate: tokensPerSec})
	}
	is.Equal(pick.PlanLong(q, pool.All, nil).Reason, pick.OneEngine) // every other engine has 10 s of work queued
}

func TestPickAllocatesNothing(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{20, 400, 2000} {
		pool := pick.NewPool(idleEngines(n), nil, memoryTokens)
		p, q := pick.Default(), shortQuery(start)
		is.Equal(testing.AllocsPerRun(200, func() { p.Pick(q, pool.All) }), 0.0)
	}
}

// BenchmarkPick measures concurrent choices, each followed by a recorded dispatch, by the number of engines.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 400, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			pool := pick.NewPool(idleEngines(n), nil, memoryTokens)
			p := pick.Default()
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				q := shortQuery(start)
				for pb.Next() {
					c := p.Pick(q, pool.All)
					c.Engine.RecordDispatch(cost.Short, int64(c.Estimate.Cost), 0, q.Now)
				}
			})
		})
	}
}
