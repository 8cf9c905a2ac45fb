package execute_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/execute"
	"github.com/damaskshelf/damaskshelf/internal/objects"
)

// TestMain fixes the seed, so that each run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.checks": "300", "rapid.nofailfile": "true", "rapid.shrinktime": "3s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// drawIntent draws an intent for two models that fits a number of engines.
func drawIntent(t *rapid.T, engines int) api.Intent {
	var in api.Intent
	for _, name := range []string{"m", "n"} {
		replicas := rapid.IntRange(0, engines).Draw(t, "replicas")
		in.Models = append(in.Models, api.Model{
			Name: name, Version: fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "version")), Replicas: replicas,
			Floor: rapid.IntRange(0, replicas).Draw(t, "floor"), MemoryTokens: 10, WeightGB: weightGB,
		})
	}
	return in
}

// run executes steps of a drawn length. In each, a drawn executor ticks; then check and the invariants are checked.
func (sim *simulation) run(steps int, check func()) {
	for range steps {
		sim.advance(time.Duration(rapid.IntRange(50, 3000).Draw(sim.t, "ms")) * time.Millisecond)
		if sim.faultOccurs(sim.faults.reboot) {
			rapid.SampledFrom(sim.engines).Draw(sim.t, "reboot").reboot()
		}
		participant := rapid.SampledFrom(sim.participants).Draw(sim.t, "party")
		participant.tick()
		if sim.faultOccurs(sim.faults.release) {
			participant.executor.ReleaseLeases(context.Background())
		}
		check()
		sim.checkInvariants()
	}
}

// checkInvariants checks the properties that hold at all times: no order is sent while the other executor holds the
// lease, and engines accept no order of an older holder or plan after one of a newer. The second property is checked
// only if no message takes longer than the lease's OrderDelay, because it holds only then.
func (sim *simulation) checkInvariants() {
	if len(sim.overlaps) > 0 {
		sim.t.Fatalf("two holders send orders: %v", sim.overlaps)
	}
	if sim.faults.maxDelay > leaseConfig.OrderDelay {
		return
	}
	for _, e := range sim.engines {
		if !slices.IsSorted(e.fences) {
			sim.t.Fatalf("engine %s (checks fencing: %v) accepted an order of an older holder after one of a newer holder: %v", e.id, e.fencing, e.fences)
		}
		if !slices.IsSorted(e.plans) {
			sim.t.Fatalf("engine %s (checks fencing: %v) accepted an order of an older plan after one of a newer plan: %v", e.id, e.fencing, e.plans)
		}
	}
}

// runToCompletion ends all faults and runs both executors until all delayed messages have arrived and the engines have
// matched the last plan's target exactly for a number of consecutive steps. It fails the test if they don't reach that
// state in time or if the plan's recorded progress is incomplete.
func (sim *simulation) runToCompletion(p api.Plan) {
	sim.faults = faults{}
	const limit, quiet = 400, 20 // in steps of one second
	for step, same := 0, 0; same < quiet; step++ {
		sim.advance(time.Second)
		for _, participant := range sim.participants {
			participant.tick()
		}
		same++
		if wrong := sim.deviation(p); wrong != "" || len(sim.inFlight) > 0 {
			same = 0
			if step > limit {
				sim.t.Fatalf("after %d s: %s", step, wrong)
			}
		}
	}
	l, err := sim.store.List(context.Background(), execute.ObjectKind)
	if err != nil {
		sim.t.Fatal(err)
	}
	progress, err := execute.Progress(p, l)
	if err != nil {
		sim.t.Fatal(err)
	}
	if progress.StepsDone != progress.Steps {
		sim.t.Fatalf("the plan is done, but its progress is %+v", progress)
	}
}

// deviation describes an engine that differs from the plan. It returns an empty string if there is none.
func (sim *simulation) deviation(p api.Plan) string {
	for _, e := range sim.engines {
		target := p.Target[slices.IndexFunc(p.Target, func(t api.Placement) bool { return t.Upstream == e.id })]
		wanted := map[string]string{}
		for _, l := range target.Loaded {
			wanted[l.Model] = l.Version
		}
		if !maps.Equal(wanted, e.loaded) || len(e.queue) > 0 {
			return fmt.Sprintf("engine %s has %v and runs %v, want %v", e.id, e.loaded, e.queue, wanted)
		}
	}
	return ""
}

// noCheck is a check for run that checks nothing.
func noCheck() {}

// An operator confirms a plan and, while it is executed, another one. Both instances have a view in which they own all
// engines. Responses of the store and the engines are lost, orders and writes are delayed, the store fails, holders are
// paused past their leases between a read and a decision, and engines reboot. At the end the engines must match the last
// plan's target, and the loads must never exceed the weight store's rate.
func TestLastPlanIsCarriedOutWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, faults{
			lostResponse: rapid.IntRange(2, 8).Draw(t, "lost"), maxDelay: rapid.SampledFrom([]time.Duration{2 * time.Second, 20 * time.Second}).Draw(t, "lateness"),
			storeFailure: rapid.SampledFrom([]int{0, 3}).Draw(t, "down"), staleRead: 4, pause: 12, reboot: rapid.SampledFrom([]int{0, 15}).Draw(t, "reboot"),
			release: 10,
		})
		intent := api.Intent{Models: []api.Model{{Name: "m", Version: "1", MemoryTokens: 10, WeightGB: weightGB}}}
		var last api.Plan
		for n := range rapid.IntRange(1, 3).Draw(t, "plans") {
			next := drawIntent(t, len(sim.engines))
			last = sim.confirm(fmt.Sprint("p", n), intent, next)
			intent = next
			for _, p := range sim.participants {
				sim.run(rapid.IntRange(0, 6).Draw(t, "lag"), noCheck)
				p.applyConfig(last)
			}
			sim.run(rapid.IntRange(5, 40).Draw(t, "steps"), noCheck)
		}
		sim.runToCompletion(last)
	})
}

// Guards against refused requests for a model because two instances change an engine each at the same time: both still
// see enough other engines that serve the model. The stages of the plan, and the count of the engines that serve the
// model before each order, keep the model at its floor.
func TestFloorsHoldWhileAPlanIsWorkedOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, faults{lostResponse: 4, maxDelay: leaseConfig.OrderDelay, staleRead: 4, pause: 20, storeFailure: rapid.SampledFrom([]int{0, 4}).Draw(t, "down")})
		before := api.Intent{Models: []api.Model{{Name: "m", Version: "1", MemoryTokens: 10, WeightGB: weightGB}}}
		p := sim.confirm("p", before, drawIntent(t, len(sim.engines)))
		for _, participant := range sim.participants {
			participant.applyConfig(p)
		}
		sim.run(60, func() {
			for model, floor := range p.Floors {
				if n := sim.countServing(model); n < floor && !p.Forced {
					t.Fatalf("%d engines serve %s, below its floor of %d", n, model, floor)
				}
			}
		})
		sim.runToCompletion(p)
	})
}

// countServing returns the number of engines that have a model.
func (sim *simulation) countServing(model string) int {
	n := 0
	for _, e := range sim.engines {
		if _, ok := e.loaded[model]; ok {
			n++
		}
	}
	return n
}

// newFaultlessSimulation returns a simulation without faults, with a plan in force in both participants that changes
// model m to a version.
func newFaultlessSimulation(t *rapid.T, version string) (*simulation, api.Plan) {
	sim := newSimulation(t, faults{})
	before := api.Intent{Models: []api.Model{{Name: "m", Version: "1", MemoryTokens: 10, WeightGB: weightGB}}}
	after := api.Intent{Models: []api.Model{{Name: "m", Version: version, Replicas: len(sim.engines), Floor: 1, MemoryTokens: 10, WeightGB: weightGB}}}
	p := sim.confirm("p", before, after)
	for _, participant := range sim.participants {
		participant.applyConfig(p)
	}
	return sim, p
}

// An operator stops a plan that is partly executed, and confirms a new one. After the stop, no order of the stopped plan
// is sent.
func TestStoppedPlanGivesNoFurtherOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim, p := newFaultlessSimulation(t, "2")
		sim.run(rapid.IntRange(1, 20).Draw(t, "steps"), noCheck)
		data, err := json.Marshal(execute.StoppedPlan{PlanID: p.ID})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := sim.store.Put(context.Background(), objects.Write{Key: execute.StoppedPlanKey, WriteID: "stop", Value: data}); err != nil {
			t.Fatal(err)
		}
		for _, participant := range sim.participants {
			participant.tick()
		}
		orders := sim.countOrders()
		sim.run(30, noCheck)
		if n := sim.countOrders(); n != orders {
			t.Fatalf("%d orders were sent after the stop", n-orders)
		}
		last := sim.confirm("q", p.After.Intent, api.Intent{Models: []api.Model{{Name: "m", Version: "3", Replicas: 2, MemoryTokens: 10, WeightGB: weightGB}}})
		for _, participant := range sim.participants {
			participant.applyConfig(last)
		}
		sim.runToCompletion(last)
	})
}

// countOrders returns the number of orders that the engines have accepted since their last boot.
func (sim *simulation) countOrders() int {
	n := 0
	for _, e := range sim.engines {
		n += len(e.orders)
	}
	return n
}

// An instance is stopped right after it sent an order that arrives almost OrderDelay later. Its lease is released at
// once. If the next holder's order arrived first at an engine that ignores fencing numbers, the old order would undo it
// later. So the new holder waits until no order of the old holder can arrive any more.
func TestNewHolderWaitsForOldOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim, p := newFaultlessSimulation(t, "2")
		a, b := sim.participants[0], sim.participants[1]
		sim.orderDelay = leaseConfig.OrderDelay - time.Millisecond
		for len(sim.inFlight) == 0 {
			sim.advance(100 * time.Millisecond)
			a.tick()
		}
		sim.orderDelay = 0
		a.executor.ReleaseLeases(context.Background())
		for range 100 {
			sim.advance(time.Duration(rapid.IntRange(10, 300).Draw(t, "ms")) * time.Millisecond)
			b.tick()
			sim.checkInvariants()
		}
		sim.runToCompletion(p)
	})
}

// The store is unavailable for a quarter of an hour while a plan is executed. The holder's lease expires, and the holder
// stops sending orders. When the store is available again, the plan is completed.
func TestStoreOutageInTheMiddle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim, p := newFaultlessSimulation(t, "2")
		sim.run(rapid.IntRange(3, 15).Draw(t, "steps"), noCheck)
		sim.faults.storeFailure = 1
		sim.run(8, noCheck) // the lease expires
		sim.advance(leaseConfig.TTL)
		orders := sim.countOrders()
		for range 30 {
			sim.advance(30 * time.Second)
			sim.run(1, noCheck)
		}
		if n := sim.countOrders(); n != orders {
			t.Fatalf("%d orders were sent without a lease", n-orders)
		}
		sim.runToCompletion(p)
	})
}

// A plan that is done causes no store calls. An engine that reboots is repaired.
func TestDonePlanMakesNoStoreCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim, p := newFaultlessSimulation(t, "2")
		sim.runToCompletion(p)
		sim.faults.storeFailure = 1 // from here on, every call to the store fails
		before, err := sim.store.List(context.Background(), execute.ObjectKind)
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			sim.advance(5 * time.Second)
			for _, participant := range sim.participants {
				if participant.tick() {
					t.Fatalf("%s has more to do although the plan is done", participant.name)
				}
			}
		}
		after, err := sim.store.List(context.Background(), execute.ObjectKind)
		if err != nil || after.Version != before.Version {
			t.Fatalf("store version is %d before and %d after, error %v", before.Version, after.Version, err)
		}
		sim.faults.storeFailure = 0
		sim.engines[0].reboot()
		sim.runToCompletion(p)
	})
}

func TestShardsSpreadEngines(t *testing.T) {
	is := is.New(t)
	used := map[int]int{}
	for i := range 6900 {
		used[execute.ShardOf(fmt.Sprint("engine-", i))]++
	}
	is.Equal(len(used), execute.ShardCount)
	for _, n := range used {
		is.True(n < 2*6900/execute.ShardCount) // no shard has twice the mean number of engines
	}
}
