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

var errLostResponse = errors.New("response lost")

var leaseConfig = lease.Config{TTL: 10 * time.Second, Margin: time.Second, OrderDelay: 3 * time.Second}

const (
	loadTime        = 2 * time.Second
	rateGBPerSecond = 10 // of the weight store's token bucket, gigabytes a second
	burstGB         = 60 // size of the bucket
	weightGB        = 20 // weights of each model
)

// faults configures the faults of a run. Zero fields: no such fault.
type faults struct {
	lostResponse int           // one in this many responses of store and engines is lost; 0: none
	maxDelay     time.Duration // of messages that arrive although the response was lost
	storeFailure int           // one in this many calls of the store fails
	staleRead    int           // one in this many lists of the store is stale
	pause        int           // one in this many calls that read a state or take budget pauses the executor past its lease
	reboot       int           // an engine reboots in one of this many steps
	release      int           // an executor releases its leases in one of this many steps, as in a planned stop
}

// simulation runs two executors, one store, and engines that check fences and that don't, under virtual time.
type simulation struct {
	t            *rapid.T
	faults       faults
	now          decide.Instant
	store        *memory.Store
	inFlight     []delayedMessage
	engines      []*fakeEngine
	participants []*participant
	pausing      bool // an executor is paused; prevents nested pauses
	lastID       int

	budgetGB   float64        // level of the weight store's token bucket
	refilledAt decide.Instant // of the bucket
	loadedGB   float64        // gigabytes of distinct loads that reached an engine
	overlaps   []string       // orders that were sent while the other executor held the lease
	orderDelay time.Duration  // above zero: every order arrives this much later, and its response is lost
}

// delayedMessage is a message that arrives later.
type delayedMessage struct {
	deliverAt decide.Instant
	deliver   func()
}

// participant is one executor, with its configuration and its view of store and engines.
type participant struct {
	sim           *simulation
	name          string
	clockOffset   decide.Instant
	executor      *execute.Executor
	config        api.Config
	configVersion uint64 // of config
	seen          *execute.ObservedModels
	snapshot      wire.List
}

// newSimulation returns a simulation with drawn engines and two executors.
func newSimulation(t *rapid.T, f faults) *simulation {
	sim := &simulation{t: t, faults: f, store: memory.New(), budgetGB: burstGB}
	for i := range rapid.IntRange(3, 6).Draw(t, "engines") {
		sim.engines = append(sim.engines, &fakeEngine{
			sim: sim, id: fmt.Sprintf("e%d", i), domain: fmt.Sprintf("d%d", i%3),
			fencing: rapid.Bool().Draw(t, "fencing"), loaded: map[string]string{"m": "1"},
		})
	}
	for _, name := range []string{"a", "b"} {
		p := &participant{sim: sim, name: name, seen: execute.NewObservedModels(), clockOffset: decide.Instant(rapid.Int64Range(0, 1e12).Draw(t, "offset"))}
		p.executor = execute.New(execute.Deps{
			Instance: fleet.InstanceID(name), Incarnation: "1", Store: p, Engines: p, WeightStore: p, View: p.view, Observed: p.seen,
			Now: func() decide.Instant { return sim.now + p.clockOffset }, NewID: sim.newID,
			Log: hclog.NewNullLogger(), Recorder: discardRecorder{}, Config: execute.Config{Lease: leaseConfig, Concurrency: 1},
		})
		sim.participants = append(sim.participants, p)
	}
	return sim
}

// discardRecorder is a Recorder that logs nothing.
type discardRecorder struct{}

func (discardRecorder) Record(string, string, decide.Reason, ...any) {}

// newID returns a new write id.
func (sim *simulation) newID() string {
	sim.lastID++
	return fmt.Sprint("w", sim.lastID)
}

// faultOccurs draws whether a fault that occurs once in n cases occurs now.
func (sim *simulation) faultOccurs(n int) bool {
	return n > 0 && rapid.IntRange(0, n-1).Draw(sim.t, "strike") == 0
}

// advance advances the clock, delivers the messages that are due and completes the orders that are finished.
func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	slices.SortStableFunc(sim.inFlight, func(a, b delayedMessage) int { return int(a.deliverAt - b.deliverAt) })
	for len(sim.inFlight) > 0 && !sim.now.Before(sim.inFlight[0].deliverAt) {
		f := sim.inFlight[0]
		sim.inFlight = sim.inFlight[1:]
		f.deliver()
	}
	for _, e := range sim.engines {
		e.completeOrders()
	}
}

// tick calls Tick of the executor, after it has observed the current state of all engines.
func (p *participant) tick() bool {
	for _, e := range p.sim.engines {
		p.seen.Set(fleet.UpstreamID(e.id), e.state().Loaded)
	}
	return p.executor.Tick(context.Background())
}

// applyConfig puts a plan's configuration in force in this participant.
func (p *participant) applyConfig(next api.Plan) {
	p.config = next.After
	p.configVersion++
}

// deliverLater calls deliver after a drawn delay.
func (sim *simulation) deliverLater(deliver func()) {
	delay := time.Duration(rapid.Int64Range(0, int64(sim.faults.maxDelay)).Draw(sim.t, "delay"))
	sim.inFlight = append(sim.inFlight, delayedMessage{deliverAt: sim.now.Add(delay), deliver: deliver})
}

// confirm makes a plan from the current state of the engines and writes it to the store. The participants get its
// configuration later, with applyConfig.
func (sim *simulation) confirm(id string, before, intent api.Intent) api.Plan {
	in := plan.Input{Before: before, After: intent, Force: true}
	for _, e := range sim.engines {
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
		sim.t.Fatal(err)
	}
	_, err = sim.store.Put(context.Background(), objects.Write{Key: objects.Key{Kind: "plans", Name: id}, WriteID: id, Value: data})
	if err != nil {
		sim.t.Fatal(err)
	}
	return p
}

// fakeEngine runs orders one after another. A load takes loadTime and removes the old version first.
type fakeEngine struct {
	sim          *simulation
	id           string
	domain       string
	fencing      bool
	boot         int
	loaded       map[string]string
	highestFence uint64
	orders       []*upstream.OrderStatus
	queue        []queuedOrder
	fences       []uint64 // of the accepted orders, in order of arrival, since the last boot
	plans        []string // plan ids of the same orders
}

// queuedOrder is an order that is running or waits for the orders before it.
type queuedOrder struct {
	order    upstream.Order
	finishAt decide.Instant
}

// reboot resets the engine to its initial state, as the next boot. Accepted orders are lost.
func (e *fakeEngine) reboot() {
	e.boot++
	e.loaded, e.highestFence = map[string]string{"m": "1"}, 0
	e.orders, e.queue, e.fences, e.plans = nil, nil, nil, nil
}

// acceptOrder accepts, ignores or refuses an order as docs/UPSTREAMS.md specifies. It fails the test if loads exceed the
// weight store's rate.
func (e *fakeEngine) acceptOrder(o upstream.Order) {
	for _, known := range e.orders {
		if known.ID == o.ID {
			return
		}
	}
	if e.fencing && o.Fence < e.highestFence {
		return
	}
	e.highestFence = max(e.highestFence, o.Fence)
	e.fences = append(e.fences, o.Fence)
	e.plans = append(e.plans, strings.Split(o.ID, ".")[0])
	e.orders = append(e.orders, &upstream.OrderStatus{ID: o.ID, Fence: o.Fence, State: "running"})
	if o.Kind == api.StepLoad {
		e.sim.loadedGB += weightGB
		if e.sim.loadedGB > burstGB+rateGBPerSecond*time.Duration(e.sim.now).Seconds() {
			e.sim.t.Fatalf("%v gigabytes are loaded after %v, over the rate of the weight store", e.sim.loadedGB, time.Duration(e.sim.now))
		}
		delete(e.loaded, o.Model)
	}
	e.queue = append(e.queue, queuedOrder{order: o, finishAt: e.sim.now.Add(loadTime)})
}

// completeOrders applies the orders that are finished by now.
func (e *fakeEngine) completeOrders() {
	for len(e.queue) > 0 && !e.sim.now.Before(e.queue[0].finishAt) {
		o := e.queue[0].order
		e.queue = e.queue[1:]
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

// state returns the state that the engine reports, with its models sorted by name.
func (e *fakeEngine) state() upstream.EngineState {
	s := upstream.EngineState{BootID: fmt.Sprint(e.boot), HighestFence: e.highestFence}
	for m, v := range e.loaded {
		s.Loaded = append(s.Loaded, upstream.LoadedModel{Model: m, Version: v})
	}
	slices.SortFunc(s.Loaded, func(a, b upstream.LoadedModel) int { return int(a.Model[0]) - int(b.Model[0]) })
	for _, o := range e.orders {
		s.Orders = append(s.Orders, *o)
	}
	return s
}

// engine returns the engine with an id.
func (sim *simulation) engine(id string) *fakeEngine {
	return sim.engines[slices.IndexFunc(sim.engines, func(e *fakeEngine) bool { return e.id == id })]
}

// view returns the current state of the engines, with this participant as the only instance: both participants own all
// shards.
func (p *participant) view() *fleet.View {
	var ups []*fleet.Upstream
	for _, e := range p.sim.engines {
		u := &fleet.Upstream{
			ID: fleet.UpstreamID(e.id), Addr: e.id, Domain: fleet.DomainID(e.domain), Fencing: e.fencing, KVCacheTokens: 100,
		}
		for m := range e.loaded {
			u.Models = append(u.Models, m)
		}
		slices.Sort(u.Models)
		ups = append(ups, u)
	}
	return fleet.NewView(p.configVersion, p.config, 1, []*fleet.Instance{{ID: fleet.InstanceID(p.name)}}, ups)
}

// State implements execute.Engines. A pause may occur between the read and the decision.
func (p *participant) State(_ context.Context, addr string) (upstream.EngineState, error) {
	s := p.sim.engine(addr).state()
	p.pause()
	return s, nil
}

// pause draws whether this executor is paused for longer than its lease while the other one continues.
func (p *participant) pause() {
	if p.sim.pausing || !p.sim.faultOccurs(p.sim.faults.pause) {
		return
	}
	p.sim.pausing = true
	for range 6 {
		p.sim.advance(3 * time.Second)
		p.other().tick()
	}
	p.sim.pausing = false
}

// other returns the other participant.
func (p *participant) other() *participant {
	if p.sim.participants[0] == p {
		return p.sim.participants[1]
	}
	return p.sim.participants[0]
}

// Order implements execute.Engines. It records orders that are sent while the other executor holds the shard's lease.
func (p *participant) Order(_ context.Context, addr string, o upstream.Order) (upstream.OrderStatus, error) {
	shard := execute.ShardOf(addr)
	if p.other().executor.HoldsLease(shard) {
		p.sim.overlaps = append(p.sim.overlaps, fmt.Sprintf("%s orders %s while %s holds shard %d", p.name, o.ID, p.other().name, shard))
	}
	e := p.sim.engine(addr)
	if p.sim.orderDelay > 0 {
		p.sim.inFlight = append(p.sim.inFlight, delayedMessage{deliverAt: p.sim.now.Add(p.sim.orderDelay), deliver: func() { e.acceptOrder(o) }})
		return upstream.OrderStatus{}, errLostResponse
	}
	if !p.sim.faultOccurs(p.sim.faults.lostResponse) {
		e.acceptOrder(o)
		return upstream.OrderStatus{ID: o.ID}, nil
	}
	if p.sim.faults.maxDelay > 0 && p.sim.faultOccurs(2) {
		p.sim.deliverLater(func() { e.acceptOrder(o) })
	} else if p.sim.faultOccurs(2) {
		e.acceptOrder(o)
	}
	return upstream.OrderStatus{}, errLostResponse
}

// TakeBudget implements execute.WeightStore with a token bucket.
func (p *participant) TakeBudget(_ context.Context, _, _ string, gb int64) (time.Duration, error) {
	sim := p.sim
	p.pause()
	sim.budgetGB = min(burstGB, sim.budgetGB+rateGBPerSecond*sim.now.Sub(sim.refilledAt).Seconds())
	sim.refilledAt = sim.now
	if sim.budgetGB < float64(gb) {
		return time.Second, nil
	}
	sim.budgetGB -= float64(gb)
	return 0, nil
}
