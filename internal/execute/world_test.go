package execute_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/lease"
	"github.com/damaskshelf/damaskshelf/internal/decide/plan"
	"github.com/damaskshelf/damaskshelf/internal/execute"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/memory"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	upstream "github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

var errLost = errors.New("answer lost")

var leaseConfig = lease.Config{TTL: 10 * time.Second, Margin: time.Second, OrderDelay: 3 * time.Second}

const (
	loadTime  = 2 * time.Second
	rate      = 10 // gigabytes a second
	burst     = 60
	gigabytes = 20 // of every model
)

// chaos says which faults a run shows; zero: none.
type chaos struct {
	lost     int // one in so many answers of store and engines is lost, 0: none
	lateness time.Duration
	down     int // one in so many calls of the store fails
	stale    int // one in so many reads is stale
	pause    int // one in so many readings of a state pauses its executor past its lease
	reboot   int // one in so many steps an engine reboots
	release  int // one in so many steps an executor gives its leases back, as in a planned stop
}

// world is two executors, one store and engines of both sorts under virtual time.
type world struct {
	t       *rapid.T
	chaos   chaos
	now     decide.Instant
	store   *memory.Store
	flying  []flight
	engines []*fakeEngine
	parties []*party
	nested  bool
	ids     int

	level    float64 // of the weight store's bucket
	filled   decide.Instant
	ordered  float64 // gigabytes of distinct loads that reached an engine
	overlaps []string
	detain   time.Duration // every order arrives this much later, without an answer
}

// flight is a message that arrives later.
type flight struct {
	at   decide.Instant
	land func()
}

// party is one executor with what it sees.
type party struct {
	w        *world
	name     string
	offset   decide.Instant
	executor *execute.Executor
	config   api.Config
	version  uint64 // of config
	seen     *execute.ObservedModels
	snapshot wire.List
}

func newWorld(t *rapid.T, c chaos) *world {
	w := &world{t: t, chaos: c, store: memory.New(), level: burst}
	for i := range rapid.IntRange(3, 6).Draw(t, "engines") {
		w.engines = append(w.engines, &fakeEngine{
			w: w, id: fmt.Sprintf("e%d", i), domain: fmt.Sprintf("d%d", i%3),
			fencing: rapid.Bool().Draw(t, "fencing"), loaded: map[string]string{"m": "1"},
		})
	}
	for _, name := range []string{"a", "b"} {
		p := &party{w: w, name: name, seen: execute.NewObservedModels(), offset: decide.Instant(rapid.Int64Range(0, 1e12).Draw(t, "offset"))}
		p.executor = execute.New(execute.Deps{
			Instance: fleet.InstanceID(name), Incarnation: "1", Store: p, Engines: p, WeightStore: p, View: p.view, Observed: p.seen,
			Now: func() decide.Instant { return w.now + p.offset }, NewID: w.newID,
			Log: hclog.NewNullLogger(), Recorder: discard{}, Config: execute.Config{Lease: leaseConfig, Concurrency: 1},
		})
		w.parties = append(w.parties, p)
	}
	return w
}

type discard struct{}

func (discard) Record(string, string, decide.Reason, ...any) {}

func (w *world) newID() string {
	w.ids++
	return fmt.Sprint("w", w.ids)
}

// one tells whether the fault that strikes once in n cases strikes now.
func (w *world) one(n int) bool { return n > 0 && rapid.IntRange(0, n-1).Draw(w.t, "strike") == 0 }

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	slices.SortStableFunc(w.flying, func(a, b flight) int { return int(a.at - b.at) })
	for len(w.flying) > 0 && !w.now.Before(w.flying[0].at) {
		f := w.flying[0]
		w.flying = w.flying[1:]
		f.land()
	}
	for _, e := range w.engines {
		e.run()
	}
}

// tick lets the executor look, with what it has observed of the engines until now.
func (p *party) tick() bool {
	for _, e := range p.w.engines {
		p.seen.Set(fleet.UpstreamID(e.id), e.state().Loaded)
	}
	return p.executor.Tick(context.Background())
}

// learn puts a plan's configuration in force on the party's side.
func (p *party) learn(next api.Plan) {
	p.config = next.After
	p.version++
}

// late lets something happen after a while.
func (w *world) late(land func()) {
	delay := time.Duration(rapid.Int64Range(0, int64(w.chaos.lateness)).Draw(w.t, "delay"))
	w.flying = append(w.flying, flight{at: w.now.Add(delay), land: land})
}

// confirm makes a plan from the engines as they are and puts it in force; the parties learn of it later.
func (w *world) confirm(id string, before, intent api.Intent) api.Plan {
	in := plan.Input{Before: before, After: intent, Force: true}
	for _, e := range w.engines {
		pe := plan.Engine{ID: e.id, Domain: e.domain, Memory: 100, AvailableBefore: true, AvailableAfter: true}
		for m, v := range e.loaded {
			pe.Loaded = append(pe.Loaded, api.LoadedModel{Model: m, Version: v})
		}
		in.Engines = append(in.Engines, pe)
	}
	r := plan.Make(in)
	p := api.Plan{
		ID: id, State: api.PlanProposed, After: api.Config{Intent: intent, PlanID: id},
		Steps: r.Steps, Target: r.Target, Floors: r.Floors, Forced: r.Reason == plan.ForcedBelowFloor,
	}
	data, err := json.Marshal(p)
	if err != nil {
		w.t.Fatal(err)
	}
	_, err = w.store.Put(context.Background(), objects.Write{Key: objects.Key{Kind: "plans", Name: id}, WriteID: id, Value: data})
	if err != nil {
		w.t.Fatal(err)
	}
	return p
}

// fakeEngine carries orders out one after another; a load takes a while and drops the old version first.
type fakeEngine struct {
	w       *world
	id      string
	domain  string
	fencing bool
	boot    int
	loaded  map[string]string
	highest uint64
	orders  []*upstream.OrderStatus
	doing   []doing
	fences  []uint64 // of the orders taken in, in order of arrival, since the last boot
	plans   []string // the same
}

type doing struct {
	order upstream.Order
	ends  decide.Instant
}

func (e *fakeEngine) reboot() {
	e.boot++
	e.loaded, e.highest = map[string]string{"m": "1"}, 0
	e.orders, e.doing, e.fences, e.plans = nil, nil, nil, nil
}

// take takes an order in as docs/UPSTREAMS.md says.
func (e *fakeEngine) take(o upstream.Order) {
	for _, known := range e.orders {
		if known.ID == o.ID {
			return
		}
	}
	if e.fencing && o.Fence < e.highest {
		return
	}
	e.highest = max(e.highest, o.Fence)
	e.fences = append(e.fences, o.Fence)
	e.plans = append(e.plans, strings.Split(o.ID, ".")[0])
	e.orders = append(e.orders, &upstream.OrderStatus{ID: o.ID, Fence: o.Fence, State: "running"})
	if o.Kind == api.StepLoad {
		e.w.ordered += gigabytes
		if e.w.ordered > burst+rate*time.Duration(e.w.now).Seconds() {
			e.w.t.Fatalf("%v gigabytes were loaded after %v", e.w.ordered, time.Duration(e.w.now))
		}
		delete(e.loaded, o.Model)
	}
	e.doing = append(e.doing, doing{order: o, ends: e.w.now.Add(loadTime)})
}

func (e *fakeEngine) run() {
	for len(e.doing) > 0 && !e.w.now.Before(e.doing[0].ends) {
		o := e.doing[0].order
		e.doing = e.doing[1:]
		if o.Kind == api.StepLoad {
			e.loaded[o.Model] = o.Version
		} else if e.loaded[o.Model] == o.Version {
			delete(e.loaded, o.Model)
		}
		for _, s := range e.orders {
			if s.ID == o.ID {
				s.State = "done"
			}
		}
	}
}

func (e *fakeEngine) state() upstream.EngineState {
	s := upstream.EngineState{BootID: fmt.Sprint(e.boot), HighestFence: e.highest}
	for m, v := range e.loaded {
		s.Loaded = append(s.Loaded, upstream.LoadedModel{Model: m, Version: v})
	}
	slices.SortFunc(s.Loaded, func(a, b upstream.LoadedModel) int { return int(a.Model[0]) - int(b.Model[0]) })
	for _, o := range e.orders {
		s.Orders = append(s.Orders, *o)
	}
	return s
}

func (w *world) engine(id string) *fakeEngine {
	return w.engines[slices.IndexFunc(w.engines, func(e *fakeEngine) bool { return e.id == id })]
}

// view shows the engines as they are, and the party as the only instance: both own everything.
func (p *party) view() *fleet.View {
	var ups []*fleet.Upstream
	for _, e := range p.w.engines {
		u := &fleet.Upstream{
			ID: fleet.UpstreamID(e.id), Addr: e.id, Domain: fleet.DomainID(e.domain), Fencing: e.fencing, KVCacheTokens: 100,
		}
		for m := range e.loaded {
			u.Models = append(u.Models, m)
		}
		slices.Sort(u.Models)
		ups = append(ups, u)
	}
	return fleet.NewView(p.version, p.config, 1, []*fleet.Instance{{ID: fleet.InstanceID(p.name)}}, ups)
}

// State implements execute.Engines. A pause strikes between reading and acting.
func (p *party) State(_ context.Context, addr string) (upstream.EngineState, error) {
	s := p.w.engine(addr).state()
	p.pause()
	return s, nil
}

// pause stops this executor for longer than its lease while the other works on.
func (p *party) pause() {
	if p.w.nested || !p.w.one(p.w.chaos.pause) {
		return
	}
	p.w.nested = true
	for range 6 {
		p.w.advance(3 * time.Second)
		p.other().tick()
	}
	p.w.nested = false
}

func (p *party) other() *party {
	if p.w.parties[0] == p {
		return p.w.parties[1]
	}
	return p.w.parties[0]
}

// Order implements execute.Engines. It notes orders that are given while the other may give them too.
func (p *party) Order(_ context.Context, addr string, o upstream.Order) (upstream.OrderStatus, error) {
	shard := execute.ShardOf(addr)
	if p.other().executor.HoldsLease(shard) {
		p.w.overlaps = append(p.w.overlaps, fmt.Sprintf("%s orders %s while %s holds shard %d", p.name, o.ID, p.other().name, shard))
	}
	e := p.w.engine(addr)
	if p.w.detain > 0 {
		p.w.flying = append(p.w.flying, flight{at: p.w.now.Add(p.w.detain), land: func() { e.take(o) }})
		return upstream.OrderStatus{}, errLost
	}
	if !p.w.one(p.w.chaos.lost) {
		e.take(o)
		return upstream.OrderStatus{ID: o.ID}, nil
	}
	if p.w.chaos.lateness > 0 && p.w.one(2) {
		p.w.late(func() { e.take(o) })
	} else if p.w.one(2) {
		e.take(o)
	}
	return upstream.OrderStatus{}, errLost
}

// Take implements execute.Weights with a token bucket.
func (p *party) TakeBudget(_ context.Context, _, _ string, gb int64) (time.Duration, error) {
	w := p.w
	p.pause()
	w.level = min(burst, w.level+rate*w.now.Sub(w.filled).Seconds())
	w.filled = w.now
	if w.level < float64(gb) {
		return time.Second, nil
	}
	w.level -= float64(gb)
	return 0, nil
}
