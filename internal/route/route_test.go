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
	engineMemoryTokens = 400_000
	prefillRate        = 20_000 // tokens per second
)

// testbench is a router for n engines of model "m" that have just reported to be idle.
type testbench struct {
	*Router
	initial     *fleet.View // the first view
	current     atomic.Pointer[fleet.View]
	memory      *fakeMemory
	recorder    *explain.Recorder
	lastRequest atomic.Int64
}

// newTestbench returns a testbench of n engines with the short-first profile. A nil gate sets no limits.
func newTestbench(n int, gate Gate) *testbench {
	return newTestbenchWithProfile(api.ProfileShortFirst, n, gate)
}

// newLongFirstTestbench returns a testbench whose engines run long prompts together with medium ones, so that reported
// work keeps a medium prompt queued.
func newLongFirstTestbench(n int) *testbench {
	return newTestbenchWithProfile(api.ProfileLongFirst, n, nil)
}

// newTestbenchWithProfile returns a testbench of n engines in three failure domains. A nil gate sets no limits.
func newTestbenchWithProfile(profile string, n int, gate Gate) *testbench {
	b := &testbench{
		memory:   &fakeMemory{reservations: map[string]map[string]wire.Reservation{}},
		recorder: explain.New(hclog.NewNullLogger()),
	}
	var engines []*fleet.Upstream
	for i := range n {
		engines = append(engines, &fleet.Upstream{
			ID: fleet.UpstreamID(fmt.Sprintf("e%d", i)), Addr: fmt.Sprintf("10.0.0.%d:80", i),
			Domain: fleet.DomainID(fmt.Sprintf("d%d", i%3)), Models: []string{"m"}, KVCacheTokens: engineMemoryTokens,
		})
	}
	cfg := api.Config{Intent: api.Intent{
		Models:     []api.Model{{Name: "m"}},
		Workspaces: []api.Workspace{{Name: "small", MaxInFlight: 2}},
	}}
	b.initial = fleet.NewView(1, cfg, 1, []*fleet.Instance{{ID: "i"}}, engines)
	b.current.Store(b.initial)
	settings := api.Settings{Instance: "i", Profile: profile}
	settings.ApplyDefaults()
	b.Router = New(Deps{
		View: b.current.Load, Explain: b.recorder, Metrics: metrics.New(),
		Memory: b.memory, Settings: settings, Gate: gate,
	})
	time.Sleep(time.Second)
	b.report(0, 0)
	return b
}

// report delivers a load report of every engine with the given tokens to compute and used memory in tokens.
func (b *testbench) report(queued, used int64) {
	for _, u := range b.initial.Upstreams {
		b.OnLoad(u, wire.LoadReport{
			QueuedTokens: queued, MemoryUsed: used, MemoryTotal: engineMemoryTokens, PrefillRate: prefillRate,
		}, time.Now())
	}
}

// request returns a new request of workspace "w" for a prompt of the given length, with a deadline after timeout.
func (b *testbench) request(tokens int, timeout time.Duration) Request {
	return Request{
		ID: fleet.RequestID(fmt.Sprintf("r%d", b.lastRequest.Add(1))), Workspace: "w", Model: "m",
		PromptTokens: tokens, MaxOutputTokens: 100, Deadline: time.Now().Add(timeout), Attempt: 1,
	}
}

const busyTokens = 200_000 // ten seconds of prefill

// Guards against one slow decision that delays all prompts of an instance. This happens if every prompt takes a lock.
func TestPromptWithoutQueueingTakesNoLock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestbench(3, nil)
		m := b.model("m")
		m.mu.Lock()
		defer m.mu.Unlock()
		g, err := b.Acquire(t.Context(), b.request(2000, time.Minute))
		is.NoErr(err)
		is.Equal(g.Priority, 6)
		g.RecordFirstToken()
		g.Release(OK)
		is.Equal(len(b.recorder.ForSubject("r1")), 1)
		is.Equal(b.recorder.ForSubject("r1")[0].Kind, "route")
	})
}

func TestPromptWaitsUntilAnEngineIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newLongFirstTestbench(2)
		b.report(busyTokens, 0)
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
		for _, d := range b.recorder.ForSubject("r1") {
			kinds = append(kinds, d.Kind)
		}
		is.Equal(kinds, []string{"queue", "route"})
		text := string(b.meter.registry.Text())
		is.True(strings.Contains(text, `route_queue_length{model="m",queue="medium"} 0`))
		is.True(strings.Contains(text, `route_decisions_total{verb="queue",reason="engines_busy"} 1`))
	})
}

// Guards against a caller that waits until its deadline for the answer that its prompt has not run. This happens if a
// prompt that can no longer finish is refused only at the deadline.
func TestInfeasiblePromptIsRefusedWithoutDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newLongFirstTestbench(2)
		b.report(busyTokens, 0)
		started := time.Now()
		_, err := b.Acquire(t.Context(), b.request(40_000, 10*time.Second)) // 2 s of prefill, 0.1 s of answer
		is.True(fault.Is(err, fault.Infeasible))
		is.Equal(fault.From(err).Run, fault.RunNo)
		is.True(fault.From(err).RetryDelay() >= time.Second) // the error states when the caller may retry
		waited := time.Since(started)
		is.True(waited < 8*time.Second) // refused when it could no longer finish
		is.True(waited > 7*time.Second)

		started = time.Now()
		_, err = b.Acquire(t.Context(), b.request(40_000, time.Second))
		is.True(fault.Is(err, fault.Infeasible))
		is.Equal(time.Since(started), time.Duration(0))
	})
}

func TestCancelledPromptLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newLongFirstTestbench(2)
		b.report(busyTokens, 0)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := b.Acquire(ctx, b.request(20_000, time.Minute))
		is.True(fault.Is(err, fault.DeadlineExceeded))
		is.Equal(b.model("m").queueLength(), 0)
		is.Equal(len(b.model("m").waiters), 0)
		is.Equal(b.workspaceInFlight("w").Count(), 0)
	})
}

func TestWorkspaceOverItsLimitIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestbench(2, nil)
		q := b.request(1000, time.Minute)
		q.Workspace = "small"
		first, err := b.Acquire(t.Context(), q)
		is.NoErr(err)
		_, err = b.Acquire(t.Context(), q)
		is.NoErr(err)
		_, err = b.Acquire(t.Context(), q)
		is.True(fault.Is(err, fault.WorkspaceLimit))
		first.Release(Failed)
		first.Release(OK) // the second call has no effect
		_, err = b.Acquire(t.Context(), q)
		is.NoErr(err)
		_, err = b.Acquire(t.Context(), q)
		is.True(fault.Is(err, fault.WorkspaceLimit))
	})
}

// concurrencyGate is a Gate that allows two requests in flight at each upstream.
type concurrencyGate struct {
	mu       sync.Mutex
	inFlight map[fleet.UpstreamID]int // guarded by mu
}

// HasCapacity implements Gate.
func (l *concurrencyGate) HasCapacity(u *fleet.Upstream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight[u.ID] < 2
}

// Acquire implements Gate.
func (l *concurrencyGate) Acquire(u *fleet.Upstream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight[u.ID] >= 2 {
		return false
	}
	l.inFlight[u.ID]++
	return true
}

// Release implements Gate.
func (l *concurrencyGate) Release(u *fleet.Upstream, _ Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[u.ID]--
}

func TestPromptsQueueWhileEnginesAreAtTheirLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestbench(2, &concurrencyGate{inFlight: map[fleet.UpstreamID]int{}})
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
		is.Equal(time.Since(started), time.Second) // the end of another request processes the queue
		is.Equal(g.Upstream, grants[2].Upstream)
	})
}

func TestLeavingAndOutOfServiceEnginesGetNoPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestbench(3, nil)
		leaving := *b.initial.Upstreams[0]
		leaving.Leaving = true
		outOfService := *b.initial.Upstreams[1]
		outOfService.DomainOut = true
		remaining := b.initial.Upstreams[2]
		b.current.Store(fleet.NewView(2, b.initial.Config, 2, b.initial.Instances,
			[]*fleet.Upstream{&leaving, &outOfService, remaining}))
		for range 20 {
			g, err := b.Acquire(t.Context(), b.request(1000, time.Minute))
			is.NoErr(err)
			is.Equal(g.Upstream, remaining)
			g.Release(OK)
		}
		q := b.request(1000, time.Minute)
		q.Exclude = []fleet.UpstreamID{remaining.ID}
		g, err := b.Acquire(t.Context(), q) // the only available engine is used although it was tried before
		is.NoErr(err)
		is.Equal(g.Upstream, remaining)
		b.current.Store(fleet.NewView(3, b.initial.Config, 3, b.initial.Instances, []*fleet.Upstream{&leaving}))
		_, err = b.Acquire(t.Context(), b.request(1000, time.Minute))
		is.True(fault.Is(err, fault.NoUpstream))
	})
}

// Guards against a prompt that is sent to a failure domain after operators took the domain out of service. This happens
// if a queued prompt is decided with the view of its arrival: the domain is taken out while the prompt is queued, and
// an engine there becomes free.
func TestQueuedPromptUsesLatestView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newLongFirstTestbench(2)
		b.report(busyTokens, 0)
		outOfService := *b.initial.Upstreams[0]
		outOfService.DomainOut = true
		remaining := b.initial.Upstreams[1]
		go func() {
			time.Sleep(time.Second)
			b.current.Store(fleet.NewView(2, b.initial.Config, 2, b.initial.Instances,
				[]*fleet.Upstream{&outOfService, remaining}))
			// Only the engine that is out of service is free.
			b.OnLoad(&outOfService, wire.LoadReport{MemoryTotal: engineMemoryTokens, PrefillRate: prefillRate}, time.Now())
			time.Sleep(time.Second)
			b.OnLoad(remaining, wire.LoadReport{MemoryTotal: engineMemoryTokens, PrefillRate: prefillRate}, time.Now())
		}()
		started := time.Now()
		g, err := b.Acquire(t.Context(), b.request(20_000, time.Minute))
		is.NoErr(err)
		is.Equal(g.Upstream, remaining)
		is.Equal(time.Since(started), 2*time.Second)
	})
}

// Guards against an isolated instance that dispatches new work with an old configuration. This happens if usability is
// checked only when a prompt arrives: the instance becomes unusable while the prompt is queued, and an engine becomes
// free.
func TestUnusableInstanceGrantsNoQueuedPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newLongFirstTestbench(2)
		b.report(busyTokens, 0)
		var unusable atomic.Bool
		b.CheckUsable = func() error {
			if unusable.Load() {
				return fault.New(fault.StaleInstance, "cut off")
			}
			return nil
		}
		go func() {
			time.Sleep(time.Second)
			unusable.Store(true)
			b.report(0, 0)
		}()
		_, err := b.Acquire(t.Context(), b.request(20_000, time.Minute))
		is.True(fault.Is(err, fault.StaleInstance))
		is.Equal(b.workspaceInFlight("w").Count(), 0)
	})
}

// Guards against the refusal of a caller that allows long answers but gets short ones. This happens if the time for an
// answer is estimated from the allowed tokens without regard to observed answers.
func TestAnswerTimeIsEstimatedFromObservedAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestbench(2, nil)
		q := b.request(1000, time.Minute)
		q.MaxOutputTokens = 16384
		g, err := b.Acquire(t.Context(), q)
		is.NoErr(err)
		g.Release(OK)
		for range 200 { // answers that take 20 ms for each allowed token
			g, err := b.Acquire(t.Context(), b.request(1000, time.Minute))
			is.NoErr(err)
			g.RecordFirstToken()
			time.Sleep(2 * time.Second)
			g.Release(OK)
			b.report(0, 0)
		}
		q.Deadline = time.Now().Add(time.Minute)
		_, err = b.Acquire(t.Context(), q) // 16384 * 20 ms is more than five minutes
		is.True(fault.Is(err, fault.Infeasible))
	})
}

func TestLanesAreSizedFromReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestbench(12, nil)
		time.Sleep(2 * laneResizeInterval)
		b.report(0, 0)
		is.Equal(int(b.model("m").lanes.Load()), minLanes(engineMemoryTokens))
		is.True(strings.Contains(string(b.meter.registry.Text()), `route_lanes{model="m"} 3`))
		p := b.model("m").pool(b.initial)
		is.Equal(len(p.pool.ForClass(cost.Long)), 3)
		is.Equal(len(p.pool.ForClass(cost.Short)), 12)
	})
}

// Bounds the allocations for a prompt that isn't queued. The decision itself allocates nothing; the allocations are the
// request, the grant and two log lines.
func TestAllocationsPerPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestbench(20, nil)
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

// BenchmarkAcquire measures the choice of an engine and its release under concurrent load, for several numbers of
// engines.
func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{20, 400, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newTestbench(n, nil)
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					g, err := r.Acquire(context.Background(), Request{
						ID: "r", Workspace: "w", Model: "m", PromptTokens: 1, MaxOutputTokens: 1,
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
