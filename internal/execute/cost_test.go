package execute_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/plan"
	"github.com/damaskshelf/damaskshelf/internal/execute"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/memory"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	upstream "github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// countingStore counts the calls of all instances of a fleet: those to the store and those to engines.
type countingStore struct {
	*memory.Store
	gets, lists, puts, bytes int
	stateCalls, orderCalls   int
}

// Get implements objects.Store.
func (c *countingStore) Get(ctx context.Context, key objects.Key) (wire.Object, error) {
	o, err := c.Store.Get(ctx, key)
	c.gets++
	c.bytes += len(o.Value)
	return o, err
}

// List implements objects.Store.
func (c *countingStore) List(ctx context.Context, kind string) (wire.List, error) {
	l, err := c.Store.List(ctx, kind)
	c.lists++
	for _, o := range l.Objects {
		c.bytes += len(o.Value)
	}
	return l, err
}

// Put implements objects.Store.
func (c *countingStore) Put(ctx context.Context, w objects.Write) (uint64, error) {
	c.puts++
	c.bytes += len(w.Value)
	return c.Store.Put(ctx, w)
}

// sizedFleet simulates instances and engines without faults under virtual time. An order takes loadTime.
type sizedFleet struct {
	calls   countingStore
	now     decide.Instant
	view    *fleet.View
	engines map[string]*simpleEngine
	members []*execute.Executor
	seen    *execute.ObservedModels // shared, as if every instance had just read every engine
}

// simpleEngine is an engine that runs one order at a time.
type simpleEngine struct {
	state    upstream.EngineState
	finishAt decide.Instant
	running  upstream.Order
}

// State implements execute.Engines. It completes an order that is finished by now.
func (f *sizedFleet) State(_ context.Context, addr string) (upstream.EngineState, error) {
	f.calls.stateCalls++
	e := f.engines[addr]
	if e.running.ID != "" && !f.now.Before(e.finishAt) {
		e.state.Loaded = []upstream.LoadedModel{{Model: e.running.Model, Version: e.running.Version}}
		e.state.Orders = nil
		e.running = upstream.Order{}
	}
	f.seen.Set(fleet.UpstreamID(addr), e.state.Loaded)
	return e.state, nil
}

// Order implements execute.Engines.
func (f *sizedFleet) Order(_ context.Context, addr string, o upstream.Order) (upstream.OrderStatus, error) {
	f.calls.orderCalls++
	e := f.engines[addr]
	e.running, e.finishAt = o, f.now.Add(loadTime)
	e.state.HighestFence = o.Fence
	e.state.Orders = []upstream.OrderStatus{{ID: o.ID, Fence: o.Fence, State: "running"}}
	return upstream.OrderStatus{}, nil
}

// modelName returns the name of the model that is loaded on engine i at first.
func modelName(i int) string { return fmt.Sprintf("model-%02d", i%15) }

// newSizedFleet returns a fleet in which every model is loaded on a fifteenth of the engines.
func newSizedFleet(instances, engines int) *sizedFleet {
	f := &sizedFleet{calls: countingStore{Store: memory.New()}, engines: map[string]*simpleEngine{}, seen: execute.NewObservedModels()}
	var ups []*fleet.Upstream
	var members []*fleet.Instance
	for i := range engines {
		id := fmt.Sprintf("engine-%05d", i)
		f.engines[id] = &simpleEngine{state: upstream.EngineState{BootID: "b", Loaded: []upstream.LoadedModel{{Model: modelName(i), Version: "1"}}}}
		ups = append(ups, &fleet.Upstream{
			ID: fleet.UpstreamID(id), Addr: id, Fencing: true, KVCacheTokens: 100,
			Domain: fleet.DomainID(fmt.Sprint("d", i%16)), Models: []string{modelName(i)},
		})
	}
	for i := range instances {
		members = append(members, &fleet.Instance{ID: fleet.InstanceID(fmt.Sprintf("entry-%03d", i))})
	}
	f.view = fleet.NewView(1, api.Config{PlanID: "p"}, 1, members, ups)
	ids := 0
	for _, m := range members {
		f.members = append(f.members, execute.New(execute.Deps{
			Instance: m.ID, Incarnation: "1", Store: &f.calls, Engines: f, Observed: f.seen,
			View: func() *fleet.View { return f.view }, Now: func() decide.Instant { return f.now },
			NewID: func() string { ids++; return fmt.Sprint("w", ids) },
			Log:   hclog.NewNullLogger(), Recorder: discardRecorder{},
			Config: execute.Config{Lease: leaseConfig, Concurrency: 1},
		}))
	}
	return f
}

// planInput returns the planner's input for new versions of the first `changed` models.
func (f *sizedFleet) planInput(changed int) plan.Input {
	var in plan.Input
	replicas := map[string]int{}
	for _, u := range f.view.Upstreams {
		e := f.engines[string(u.ID)]
		replicas[e.state.Loaded[0].Model]++
		in.Engines = append(in.Engines, plan.Engine{
			ID: string(u.ID), Domain: string(u.Domain), Memory: 100, AvailableBefore: true, AvailableAfter: true,
			Loaded: []api.LoadedModel{{Model: e.state.Loaded[0].Model, Version: e.state.Loaded[0].Version}},
		})
	}
	for i := range min(15, len(f.engines)) {
		m := api.Model{Name: modelName(i), Version: "1", Replicas: replicas[modelName(i)], MemoryTokens: 60}
		in.Before.Models = append(in.Before.Models, m)
		if i < changed {
			m.Version = "2"
		}
		in.After.Models = append(in.After.Models, m)
	}
	return in
}

// propose makes a plan with new versions of the first `changed` models and writes it to the store.
func (f *sizedFleet) propose(t testing.TB, changed int) api.Plan {
	in := f.planInput(changed)
	r := plan.Make(in)
	p := api.Plan{ID: "p", After: api.Config{Intent: in.After, PlanID: "p"}, Steps: r.Steps, Target: r.Target, Floors: r.Floors}
	data, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.calls.Store.Put(context.Background(), objects.Write{Key: objects.Key{Kind: "plans", Name: "p"}, WriteID: "p", Value: data}); err != nil {
		t.Fatal(err)
	}
	return p
}

// runPlan proposes a plan with new versions of the first `changed` models and executes it. It returns the plan, its size
// in the store in bytes and the virtual time that it took.
func (f *sizedFleet) runPlan(t testing.TB, changed int) (p api.Plan, size int, took time.Duration) {
	p = f.propose(t, changed)
	for f.tick() {
		if f.now > planTimeout {
			t.Fatal("plan is not done after an hour")
		}
	}
	o, err := f.calls.Store.Get(context.Background(), objects.Key{Kind: "plans", Name: "p"})
	if err != nil {
		t.Fatal(err)
	}
	return p, len(o.Value), time.Duration(f.now)
}

// TestCostOfAPlan counts the calls to the store and the engines that a plan causes, at several sizes of the fleet, for a
// small and a large plan. The figures are the same in each run; docs/design/execution.md lists them. The bounds detect a
// change that increases them.
func TestCostOfAPlan(t *testing.T) {
	cases := []struct {
		instances, engines, changed int
		maxWrites, maxReads         int
		maxBytes                    int // of the plan's object
	}{
		{9, 30, 1, 8, 45, 4 << 10},
		{9, 30, 15, 90, 180, 6 << 10},
		{16, 690, 1, 135, 690, 18 << 10},
		{64, 690, 1, 135, 1050, 18 << 10},
		{16, 6900, 1, 400, 700, 160 << 10},
	}
	for _, c := range cases {
		is := is.New(t)
		f := newSizedFleet(c.instances, c.engines)
		p, size, took := f.runPlan(t, c.changed)
		k := &f.calls
		t.Logf("instances=%d engines=%d steps=%d stages=%d plan_bytes=%d virtual_time=%s store_writes=%d store_reads=%d store_bytes=%d states=%d orders=%d",
			c.instances, c.engines, len(p.Steps), p.LastStage(), size, took, k.puts, k.gets+k.lists, k.bytes, k.stateCalls, k.orderCalls)
		is.Equal(k.orderCalls, len(p.Steps)) // one order for each step
		is.True(k.puts <= c.maxWrites)
		is.True(k.gets+k.lists <= c.maxReads)
		is.True(size <= c.maxBytes)

		before := *k
		for range 12 { // a minute without a plan to execute
			f.now = f.now.Add(execute.DefaultIdleInterval)
			for _, x := range f.members {
				x.Tick(context.Background())
			}
		}
		is.Equal(k.puts-before.puts, 0)
		is.Equal(k.gets+k.lists-before.gets-before.lists, 0)
		t.Logf("idle minute: store calls 0, states %d", k.stateCalls-before.stateCalls)
	}
}

// BenchmarkIdleTick measures one tick of an instance while no plan is being executed.
func BenchmarkIdleTick(b *testing.B) {
	for _, size := range []struct{ instances, engines int }{{9, 18}, {64, 690}, {64, 6900}} {
		b.Run(fmt.Sprintf("instances=%d/engines=%d", size.instances, size.engines), func(b *testing.B) {
			f := newSizedFleet(size.instances, size.engines)
			f.runPlan(b, 0)
			x := f.members[0]
			for b.Loop() {
				x.Tick(context.Background())
			}
		})
	}
}

// BenchmarkMakePlan measures the planning of a proposal.
func BenchmarkMakePlan(b *testing.B) {
	for _, engines := range []int{18, 690, 6900} {
		for _, changed := range []int{1, 15} {
			b.Run(fmt.Sprintf("engines=%d/models_changed=%d", engines, changed), func(b *testing.B) {
				in := newSizedFleet(1, engines).planInput(changed)
				for b.Loop() {
					plan.Make(in)
				}
			})
		}
	}
}
