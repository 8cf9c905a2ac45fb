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

// One verdict on every run: the seed is fixed.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.checks": "300", "rapid.nofailfile": "true", "rapid.shrinktime": "3s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func drawIntent(t *rapid.T, engines int) api.Intent {
	var in api.Intent
	for _, name := range []string{"m", "n"} {
		replicas := rapid.IntRange(0, engines).Draw(t, "replicas")
		in.Models = append(in.Models, api.Model{
			Name: name, Version: fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "version")), Replicas: replicas,
			Floor: rapid.IntRange(0, replicas).Draw(t, "floor"), MemoryTokens: 10, WeightGB: gigabytes,
		})
	}
	return in
}

// run lets time pass with both executors at work, in any order and at any pace, each step checked.
func (w *world) run(steps int, check func()) {
	for range steps {
		w.advance(time.Duration(rapid.IntRange(50, 3000).Draw(w.t, "ms")) * time.Millisecond)
		if w.one(w.chaos.reboot) {
			rapid.SampledFrom(w.engines).Draw(w.t, "reboot").reboot()
		}
		party := rapid.SampledFrom(w.parties).Draw(w.t, "party")
		party.tick()
		if w.one(w.chaos.release) {
			party.executor.ReleaseLeases(context.Background())
		}
		check()
		w.sound()
	}
}

// sound checks what must hold at every moment.
func (w *world) sound() {
	if len(w.overlaps) > 0 {
		w.t.Fatalf("two holders give orders: %v", w.overlaps)
	}
	if w.chaos.lateness > leaseConfig.OrderDelay {
		return
	}
	for _, e := range w.engines {
		if !slices.IsSorted(e.fences) {
			w.t.Fatalf("engine %s (checks fencing: %v) took an older holder's order after a newer one's: %v", e.id, e.fencing, e.fences)
		}
		if !slices.IsSorted(e.plans) {
			w.t.Fatalf("engine %s (checks fencing: %v) took an older plan's order after a newer one's: %v", e.id, e.fencing, e.plans)
		}
	}
}

// settle ends all faults, lets both executors work and checks the end: the last plan, all of it, and
// nothing of an older one, though every late order has arrived by then.
func (w *world) settle(p api.Plan) {
	w.chaos = chaos{}
	const limit, quiet = 400, 20 // in steps of a second
	for step, same := 0, 0; same < quiet; step++ {
		w.advance(time.Second)
		for _, party := range w.parties {
			party.tick()
		}
		same++
		if wrong := w.deviation(p); wrong != "" || len(w.flying) > 0 {
			same = 0
			if step > limit {
				w.t.Fatalf("after %d s: %s", step, wrong)
			}
		}
	}
	l, err := w.store.List(context.Background(), execute.ObjectKind)
	if err != nil {
		w.t.Fatal(err)
	}
	progress, err := execute.Progress(p, l)
	if err != nil {
		w.t.Fatal(err)
	}
	if progress.StepsDone != progress.Steps {
		w.t.Fatalf("the plan is done and its progress says %+v", progress)
	}
}

// deviation names an engine that is not as the plan says.
func (w *world) deviation(p api.Plan) string {
	for _, e := range w.engines {
		target := p.Target[slices.IndexFunc(p.Target, func(t api.Placement) bool { return t.Upstream == e.id })]
		wanted := map[string]string{}
		for _, l := range target.Loaded {
			wanted[l.Model] = l.Version
		}
		if !maps.Equal(wanted, e.loaded) || len(e.doing) > 0 {
			return fmt.Sprintf("engine %s has %v and runs %v, the plan says %v", e.id, e.loaded, e.doing, wanted)
		}
	}
	return ""
}

func nothing() {}

// An operator confirms one plan and, while it is worked off, another. Two instances both believe that
// they own every engine; answers of store and engines are lost, orders and writes arrive late, the store
// fails, holders are paused past their leases between looking and acting, engines reboot. The engines
// must end as the last plan says, and the weight store's rate must not be passed on the way.
func TestLastPlanIsCarriedOutWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, chaos{
			lost: rapid.IntRange(2, 8).Draw(t, "lost"), lateness: rapid.SampledFrom([]time.Duration{2 * time.Second, 20 * time.Second}).Draw(t, "lateness"),
			down: rapid.SampledFrom([]int{0, 3}).Draw(t, "down"), stale: 4, pause: 12, reboot: rapid.SampledFrom([]int{0, 15}).Draw(t, "reboot"),
			release: 10,
		})
		intent := api.Intent{Models: []api.Model{{Name: "m", Version: "1", MemoryTokens: 10, WeightGB: gigabytes}}}
		var last api.Plan
		for n := range rapid.IntRange(1, 3).Draw(t, "plans") {
			next := drawIntent(t, len(w.engines))
			last = w.confirm(fmt.Sprint("p", n), intent, next)
			intent = next
			for _, p := range w.parties {
				w.run(rapid.IntRange(0, 6).Draw(t, "lag"), nothing)
				p.learn(last)
			}
			w.run(rapid.IntRange(5, 40).Draw(t, "steps"), nothing)
		}
		w.settle(last)
	})
}

// Callers of a model are refused in the middle of a plan: instances in different places each take an
// engine out because both still see enough others. Stages and the look at the others keep the floor.
func TestFloorsHoldWhileAPlanIsWorkedOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, chaos{lost: 4, lateness: leaseConfig.OrderDelay, stale: 4, pause: 20, down: rapid.SampledFrom([]int{0, 4}).Draw(t, "down")})
		before := api.Intent{Models: []api.Model{{Name: "m", Version: "1", MemoryTokens: 10, WeightGB: gigabytes}}}
		p := w.confirm("p", before, drawIntent(t, len(w.engines)))
		for _, party := range w.parties {
			party.learn(p)
		}
		w.run(60, func() {
			for model, floor := range p.Floors {
				if n := w.serving(model); n < floor && !p.Forced {
					t.Fatalf("%d engines serve %s, its floor is %d", n, model, floor)
				}
			}
		})
		w.settle(p)
	})
}

func (w *world) serving(model string) int {
	n := 0
	for _, e := range w.engines {
		if _, ok := e.loaded[model]; ok {
			n++
		}
	}
	return n
}

// simple makes a world without drawn faults in which one executor works.
func simple(t *rapid.T, version string) (*world, api.Plan) {
	w := newWorld(t, chaos{})
	before := api.Intent{Models: []api.Model{{Name: "m", Version: "1", MemoryTokens: 10, WeightGB: gigabytes}}}
	after := api.Intent{Models: []api.Model{{Name: "m", Version: version, Replicas: len(w.engines), Floor: 1, MemoryTokens: 10, WeightGB: gigabytes}}}
	p := w.confirm("p", before, after)
	for _, party := range w.parties {
		party.learn(p)
	}
	return w, p
}

// An operator stops a plan half way and makes a new one from there. No order of the stopped plan follows.
func TestStoppedPlanGivesNoFurtherOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, p := simple(t, "2")
		w.run(rapid.IntRange(1, 20).Draw(t, "steps"), nothing)
		data, err := json.Marshal(execute.StoppedPlan{PlanID: p.ID})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := w.store.Put(context.Background(), objects.Write{Key: execute.StoppedPlanKey, WriteID: "stop", Value: data}); err != nil {
			t.Fatal(err)
		}
		for _, party := range w.parties {
			party.tick()
		}
		orders := w.orders()
		w.run(30, nothing)
		if n := w.orders(); n != orders {
			t.Fatalf("%d orders follow the stop", n-orders)
		}
		last := w.confirm("q", p.After.Intent, api.Intent{Models: []api.Model{{Name: "m", Version: "3", Replicas: 2, MemoryTokens: 10, WeightGB: gigabytes}}})
		for _, party := range w.parties {
			party.learn(last)
		}
		w.settle(last)
	})
}

func (w *world) orders() int {
	n := 0
	for _, e := range w.engines {
		n += len(e.orders)
	}
	return n
}

// An instance is stopped right after it sent an order that takes nearly the longest time to arrive. Its
// lease is free at once, and the next holder's order overtakes the old one on the way to an engine that
// ignores fencing numbers: the old one undoes it later. The new holder waits for what may still come.
func TestNewHolderWaitsForOldOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, p := simple(t, "2")
		a, b := w.parties[0], w.parties[1]
		w.detain = leaseConfig.OrderDelay - time.Millisecond
		for len(w.flying) == 0 {
			w.advance(100 * time.Millisecond)
			a.tick()
		}
		w.detain = 0
		a.executor.ReleaseLeases(context.Background())
		for range 100 {
			w.advance(time.Duration(rapid.IntRange(10, 300).Draw(t, "ms")) * time.Millisecond)
			b.tick()
			w.sound()
		}
		w.settle(p)
	})
}

// The store goes down in the middle of a plan for a quarter of an hour: the holder's lease lapses and it
// stops by itself. When the store is back the plan goes on to its end.
func TestStoreOutageInTheMiddle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, p := simple(t, "2")
		w.run(rapid.IntRange(3, 15).Draw(t, "steps"), nothing)
		w.chaos.down = 1
		w.run(8, nothing) // the lease lapses
		w.advance(leaseConfig.TTL)
		orders := w.orders()
		for range 30 {
			w.advance(30 * time.Second)
			w.run(1, nothing)
		}
		if n := w.orders(); n != orders {
			t.Fatalf("%d orders were given without a lease", n-orders)
		}
		w.settle(p)
	})
}

// A plan that is done costs the store nothing, and an engine that reboots is put right.
func TestDonePlanIsKeptWithoutCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, p := simple(t, "2")
		w.settle(p)
		w.chaos.down = 1 // any call to the store would fail from here on
		before, err := w.store.List(context.Background(), execute.ObjectKind)
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			w.advance(5 * time.Second)
			for _, party := range w.parties {
				if party.tick() {
					t.Fatalf("%s has more to do although the plan is done", party.name)
				}
			}
		}
		after, err := w.store.List(context.Background(), execute.ObjectKind)
		if err != nil || after.Version != before.Version {
			t.Fatalf("version %d became %d, %v", before.Version, after.Version, err)
		}
		w.chaos.down = 0
		w.engines[0].reboot()
		w.settle(p)
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
		is.True(n < 2*6900/execute.ShardCount) // no shard is twice the mean
	}
}
