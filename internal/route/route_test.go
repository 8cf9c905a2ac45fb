package route

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/explain"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

const (
	memory = 400_000
	rate   = 20_000
)

// bench is a router before n engines of model "m" that have just reported to be idle.
type bench struct {
	*Router
	view   *fleet.View // the first one
	now    atomic.Pointer[fleet.View]
	memory *fakeMemory
	rec    *explain.Recorder
	last   atomic.Int64
}

func newBench(n int, gate Gate) *bench { return newBenchFor(api.ProfileShortFirst, n, gate) }

// newLongFirst is a bench whose engines put long prompts beside medium ones, so that the reported work
// keeps a medium prompt waiting.
func newLongFirst(n int) *bench { return newBenchFor(api.ProfileLongFirst, n, nil) }

func newBenchFor(profile string, n int, gate Gate) *bench {
	b := &bench{memory: &fakeMemory{held: map[string]map[string]wire.Reservation{}}, rec: explain.New(hclog.NewNullLogger())}
	var engines []*fleet.Upstream
	for i := range n {
		engines = append(engines, &fleet.Upstream{
			ID: fleet.UpstreamID(fmt.Sprintf("e%d", i)), Addr: fmt.Sprintf("10.0.0.%d:80", i),
			Domain: fleet.DomainID(fmt.Sprintf("d%d", i%3)), Models: []string{"m"}, Memory: memory,
		})
	}
	cfg := api.Config{Intent: api.Intent{
		Models:     []api.Model{{Name: "m"}},
		Workspaces: []api.Workspace{{Name: "small", MaxInFlight: 2}},
	}}
	b.view = fleet.NewView(1, cfg, 1, []*fleet.Instance{{ID: "i"}}, engines)
	b.now.Store(b.view)
	settings := api.Settings{Instance: "i", Profile: profile}
	settings.ApplyDefaults()
	b.Router = New(Deps{
		View: b.now.Load, Explain: b.rec, Metrics: metrics.New(),
		Memory: b.memory, Settings: settings, Gate: gate,
	})
	time.Sleep(time.Second)
	b.report(0, 0)
	return b
}

// report lets all engines say that they have so many tokens to compute and so much memory held.
func (b *bench) report(queued, used int64) {
	for _, u := range b.view.Upstreams {
		b.OnLoad(u, wire.LoadReport{QueuedTokens: queued, MemoryUsed: used, MemoryTotal: memory, PrefillRate: rate}, time.Now())
	}
}

func (b *bench) request(tokens int, timeout time.Duration) Request {
	return Request{
		ID: fleet.RequestID(fmt.Sprintf("r%d", b.last.Add(1))), Workspace: "w", Model: "m",
		PromptTokens: tokens, MaxAnswerTokens: 100, Deadline: time.Now().Add(timeout), Attempt: 1,
	}
}

const busy = 200_000 // ten seconds of work

// All prompts of an instance stand still while one decision takes long. Cause: a lock on the path of each.
func TestOrdinaryPromptTakesNoLock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(3, nil)
		m := b.model("m")
		m.mu.Lock()
		defer m.mu.Unlock()
		g, err := b.Acquire(t.Context(), b.request(2000, time.Minute))
		is.NoErr(err)
		is.Equal(g.Priority, 6)
		g.RecordFirstToken()
		g.Release(OK)
		is.Equal(len(b.rec.About("r1")), 1)
		is.Equal(b.rec.About("r1")[0].Kind, "route")
	})
}

func TestPromptWaitsUntilAnEngineIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newLongFirst(2)
		b.report(busy, 0)
		started := time.Now()
		go func() {
			time.Sleep(700 * time.Millisecond)
			b.report(0, 0)
		}()
		g, err := b.Acquire(t.Context(), b.request(20_000, time.Minute))
		is.NoErr(err)
		is.Equal(time.Since(started), 700*time.Millisecond)
		g.Release(OK)
		kinds := []string{}
		for _, d := range b.rec.About("r1") {
			kinds = append(kinds, d.Kind)
		}
		is.Equal(kinds, []string{"queue", "route"})
		text := string(b.meter.registry.Text())
		is.True(strings.Contains(text, `route_queue_length{model="m",queue="medium"} 0`))
		is.True(strings.Contains(text, `route_decisions_total{verb="queue",reason="engines_busy"} 1`))
	})
}

// A caller waits for its whole deadline to hear that its prompt was never run. Cause: what was given up on
// is answered only at the deadline.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newLongFirst(2)
		b.report(busy, 0)
		started := time.Now()
		_, err := b.Acquire(t.Context(), b.request(40_000, 10*time.Second)) // 2 s of prefill, 0.1 s of answer
		is.True(fault.Is(err, fault.Infeasible))
		is.Equal(fault.From(err).Run, fault.RunNo)
		is.True(fault.From(err).RetryDelay() >= time.Second) // and is told when to come back
		waited := time.Since(started)
		is.True(waited < 8*time.Second) // as soon as it could not finish any more
		is.True(waited > 7*time.Second)

		started = time.Now()
		_, err = b.Acquire(t.Context(), b.request(40_000, time.Second))
		is.True(fault.Is(err, fault.Infeasible))
		is.Equal(time.Since(started), time.Duration(0))
	})
}

func TestCallerThatLeavesWhileItWaitsIsTakenOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newLongFirst(2)
		b.report(busy, 0)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := b.Acquire(ctx, b.request(20_000, time.Minute))
		is.True(fault.Is(err, fault.DeadlineExceeded))
		is.Equal(b.model("m").waiting(), 0)
		is.Equal(len(b.model("m").waiters), 0)
		is.Equal(b.space("w").Count(), 0)
	})
}

func TestWorkspaceOverItsLimitIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(2, nil)
		q := b.request(1000, time.Minute)
		q.Workspace = "small"
		first, err := b.Acquire(t.Context(), q)
		is.NoErr(err)
		_, err = b.Acquire(t.Context(), q)
		is.NoErr(err)
		_, err = b.Acquire(t.Context(), q)
		is.True(fault.Is(err, fault.WorkspaceLimit))
		first.Release(Failed)
		first.Release(OK) // counts once
		_, err = b.Acquire(t.Context(), q)
		is.NoErr(err)
		_, err = b.Acquire(t.Context(), q)
		is.True(fault.Is(err, fault.WorkspaceLimit))
	})
}

// limited lets two requests at a time through to each upstream.
type limited struct {
	mu  sync.Mutex
	now map[fleet.UpstreamID]int // guarded by mu
}

func (l *limited) HasCapacity(u *fleet.Upstream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now[u.ID] < 2
}

func (l *limited) Acquire(u *fleet.Upstream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.now[u.ID] >= 2 {
		return false
	}
	l.now[u.ID]++
	return true
}

func (l *limited) Release(u *fleet.Upstream, _ Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now[u.ID]--
}

func TestPromptsWaitForAPlaceAtColdEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(2, &limited{now: map[fleet.UpstreamID]int{}})
		var grants []*Grant
		for range 4 {
			g, err := b.Acquire(t.Context(), b.request(1000, time.Minute))
			is.NoErr(err)
			grants = append(grants, g)
		}
		started := time.Now()
		go func() {
			time.Sleep(time.Second)
			grants[2].Release(OK)
		}()
		g, err := b.Acquire(t.Context(), b.request(1000, time.Minute))
		is.NoErr(err)
		is.Equal(time.Since(started), time.Second) // woken by the end of another
		is.Equal(g.Upstream, grants[2].Upstream)
	})
}

func TestEnginesThatLeaveOrAreOutGetNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(3, nil)
		gone := *b.view.Upstreams[0]
		gone.Leaving = true
		out := *b.view.Upstreams[1]
		out.Out = true
		rest := b.view.Upstreams[2]
		b.now.Store(fleet.NewView(2, b.view.Config, 2, b.view.Instances, []*fleet.Upstream{&gone, &out, rest}))
		for range 20 {
			g, err := b.Acquire(t.Context(), b.request(1000, time.Minute))
			is.NoErr(err)
			is.Equal(g.Upstream, rest)
			g.Release(OK)
		}
		q := b.request(1000, time.Minute)
		q.Exclude = []fleet.UpstreamID{rest.ID}
		g, err := b.Acquire(t.Context(), q) // better the one tried before than none
		is.NoErr(err)
		is.Equal(g.Upstream, rest)
		b.now.Store(fleet.NewView(3, b.view.Config, 3, b.view.Instances, []*fleet.Upstream{&gone}))
		_, err = b.Acquire(t.Context(), b.request(1000, time.Minute))
		is.True(fault.Is(err, fault.NoUpstream))
	})
}

// A prompt goes to a failure domain seconds after operators took it out. Order: it waits, the domain is
// taken out, the engine there has room. Cause: it was decided on the view of when it came.
func TestWaitingPromptSeesTheNewestView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newLongFirst(2)
		b.report(busy, 0)
		out := *b.view.Upstreams[0]
		out.Out = true
		rest := b.view.Upstreams[1]
		go func() {
			time.Sleep(time.Second)
			b.now.Store(fleet.NewView(2, b.view.Config, 2, b.view.Instances, []*fleet.Upstream{&out, rest}))
			b.OnLoad(&out, wire.LoadReport{MemoryTotal: memory, PrefillRate: rate}, time.Now()) // only this one is free
			time.Sleep(time.Second)
			b.OnLoad(rest, wire.LoadReport{MemoryTotal: memory, PrefillRate: rate}, time.Now())
		}()
		started := time.Now()
		g, err := b.Acquire(t.Context(), b.request(20_000, time.Minute))
		is.NoErr(err)
		is.Equal(g.Upstream, rest)
		is.Equal(time.Since(started), 2*time.Second)
	})
}

// An instance that was cut off sends new work by an old configuration. Order: a prompt waits, the instance
// becomes unfit, an engine has room. Cause: fitness was asked when the prompt came.
func TestUnfitInstanceGrantsNothingMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newLongFirst(2)
		b.report(busy, 0)
		var unfit atomic.Bool
		b.CheckUsable = func() error {
			if unfit.Load() {
				return fault.New(fault.StaleInstance, "cut off")
			}
			return nil
		}
		go func() {
			time.Sleep(time.Second)
			unfit.Store(true)
			b.report(0, 0)
		}()
		_, err := b.Acquire(t.Context(), b.request(20_000, time.Minute))
		is.True(fault.Is(err, fault.StaleInstance))
		is.Equal(b.space("w").Count(), 0)
	})
}

// A caller that allows long answers is refused for want of time, though its answers are short. Cause: the
// longest answer allowed is taken for the answer.
func TestAnswerLengthIsLearnedNotAssumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(2, nil)
		q := b.request(1000, time.Minute)
		q.MaxAnswerTokens = 16384
		g, err := b.Acquire(t.Context(), q)
		is.NoErr(err)
		g.Release(OK)
		for range 200 { // answers that take 20 ms for each token allowed
			g, err := b.Acquire(t.Context(), b.request(1000, time.Minute))
			is.NoErr(err)
			g.RecordFirstToken()
			time.Sleep(2 * time.Second)
			g.Release(OK)
			b.report(0, 0)
		}
		q.Deadline = time.Now().Add(time.Minute)
		_, err = b.Acquire(t.Context(), q) // 16384 * 20 ms are over five minutes
		is.True(fault.Is(err, fault.Infeasible))
	})
}

func TestLanesAreSizedFromReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(12, nil)
		time.Sleep(2 * resizeEvery)
		b.report(0, 0)
		is.Equal(int(b.model("m").lanes.Load()), leastLanes(memory))
		is.True(strings.Contains(string(b.meter.registry.Text()), `route_lanes{model="m"} 3`))
		p := b.model("m").pool(b.view)
		is.Equal(len(p.pool.ForClass(cost.Long)), 3)
		is.Equal(len(p.pool.ForClass(cost.Short)), 12)
	})
}

// The decision itself allocates nothing; what an ordinary prompt's way through the router allocates is its
// request, its grant and its two log lines.
func TestAllocationsOfAnOrdinaryPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(20, nil)
		q := b.request(1000, time.Hour)
		got := testing.AllocsPerRun(200, func() {
			g, err := b.Acquire(t.Context(), q)
			is.NoErr(err)
			g.RecordFirstToken()
			g.Release(OK)
		})
		t.Logf("%.0f allocations", got)
		is.True(got <= 40) // 26 without the race detector, 33 with it
	})
}

func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{20, 400, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newBench(n, nil)
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					g, err := r.Acquire(context.Background(), Request{
						ID: "r", Workspace: "w", Model: "m", PromptTokens: 1, MaxAnswerTokens: 1,
						Deadline: time.Now().Add(time.Minute), Attempt: 1,
					})
					if err != nil {
						b.Fatal(err)
					}
					g.RecordFirstToken()
					g.Release(OK)
				}
			})
		})
	}
}
