package order_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/order"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// base is an engine with version 1 of m that the plan brings to version 2 in stage 1, and to n in stage 2.
func base() order.Input {
	return order.Input{
		PlanID: "p", Fencing: true, Stage: 1,
		State: wire.EngineState{BootID: "b1", Loaded: []wire.Loaded{{Model: "m", Version: "1"}}},
		Steps: []api.Step{
			{Stage: 1, Upstream: "e", Kind: api.StepLoad, Model: "m", Version: "2"},
			{Stage: 2, Upstream: "e", Kind: api.StepLoad, Model: "n", Version: "1"},
		},
		Target: api.Placement{Upstream: "e", Loaded: []api.Loaded{{Model: "m", Version: "2"}, {Model: "n", Version: "1"}}},
		Lease:  order.Lease{Valid: true, Fence: 7, Settled: true},
		Floors: map[string]int{"m": 1}, Models: map[string]order.ModelService{"m": {Serving: 2, Stable: 1}},
		Now: decide.Instant(time.Minute),
	}
}

func loaded(refs ...string) []wire.Loaded {
	var all []wire.Loaded
	for _, r := range refs {
		all = append(all, wire.Loaded{Model: r[:1], Version: r[1:]})
	}
	return all
}

func TestWhatIsDueComesFirst(t *testing.T) {
	is := is.New(t)
	d := order.Next(base())
	is.Equal(d.Reason, order.NextStep)
	is.Equal(*d.Order, wire.Order{ID: "p.7.b1.1", Fence: 7, Kind: "load", Model: "m", Version: "2"})
	in := base()
	in.State.Loaded = loaded("m2", "n1")
	is.Equal(order.Next(in).Reason, order.MatchesPlan)
}

func TestReasons(t *testing.T) {
	cases := []struct {
		change func(*order.Input)
		reason decide.Reason
		sent   bool
	}{
		{func(in *order.Input) { in.Lease.Valid = false }, order.NoLease, false},
		{func(in *order.Input) { in.Fencing, in.Lease.Settled = false, false }, order.AwaitOldOrders, false},
		{func(in *order.Input) { in.Lease.Settled = false }, order.NextStep, true}, // the engine checks the fence
		{func(in *order.Input) { in.State.Orders = []wire.OrderStatus{{Fence: 7, State: "running"}} }, order.OrderRunning, false},
		{func(in *order.Input) { in.State.Orders = []wire.OrderStatus{{Fence: 3, State: "accepted"}} }, order.OldOrderRunning, false},
		{func(in *order.Input) { in.State.Orders = []wire.OrderStatus{{Fence: 3, State: "done"}} }, order.NextStep, true},
		// The other engine was lost since the plan was made: this one is all that serves the model.
		{func(in *order.Input) { in.Models = map[string]order.ModelService{"m": {Serving: 1}} }, order.BlockedByFloor, false},
		{func(in *order.Input) { in.Models, in.Forced = nil, true }, order.NextStep, true},
		// Matching without the certainty that no old order comes.
		{func(in *order.Input) {
			in.Fencing, in.Lease.Settled, in.State.Loaded = false, false, loaded("m2", "n1")
		}, order.AwaitOldOrders, false},
		{func(in *order.Input) { in.Lease.Settled, in.State.Loaded = false, loaded("m2", "n1") }, order.AwaitOldOrders, false},
		{func(in *order.Input) {
			in.Lease.Settled, in.State.Loaded, in.State.HighestFence = false, loaded("m2", "n1"), 7
		}, order.MatchesPlan, false},
		// All is done, and an order of an older plan has loaded something since.
		{func(in *order.Input) { in.Stage, in.Verify, in.State.Loaded = 3, true, loaded("m2", "n1", "x1") }, order.Repair, true},
		// Engines are wrong in such number that mending one breaks the floor: one at a time.
		{func(in *order.Input) {
			in.Stage, in.Verify, in.State.Loaded = 3, true, loaded("m1", "n1")
			in.Models = map[string]order.ModelService{"m": {Serving: 1, FirstDeviating: true}}
		}, order.Repair, true},
		{func(in *order.Input) {
			in.Stage, in.Verify, in.State.Loaded = 3, true, loaded("m1", "n1")
			in.Models = map[string]order.ModelService{"m": {Serving: 1}}
		}, order.BlockedByFloor, false},
	}
	for i, c := range cases {
		is := is.New(t)
		in := base()
		c.change(&in)
		d := order.Next(in)
		if d.Reason != c.reason {
			t.Errorf("case %d: %s, not %s", i, d.Reason, c.reason)
		}
		is.Equal(d.Order != nil, c.sent)
		is.True(slices.Contains(order.Reasons, d.Reason))
	}
}

// The answer to an order is lost, and it may still be on its way: the same operation id goes out again,
// so that the engine carries it out once. After a reboot it would be a new one.
func TestLostAnswerRepeatsTheSameOperation(t *testing.T) {
	is := is.New(t)
	in := base()
	first := order.Next(in)
	in.LastOrder = first.LastOrder
	again := order.Next(in)
	is.Equal(again.Reason, order.RepeatOrder)
	is.Equal(again.Order, first.Order)
	in.State.BootID = "b2"
	is.Equal(order.Next(in).Order.ID, "p.7.b2.2")
	in.State.BootID = "b1"
	in.State.Orders = []wire.OrderStatus{{ID: first.Order.ID, Fence: 7, State: "done"}}
	is.Equal(order.Next(in).Order.ID, "p.7.b1.2") // it was done and undone since
}

// A load fails, for want of memory perhaps: it is tried again after a pause, not in a tight loop.
func TestFailedOrderWaits(t *testing.T) {
	is := is.New(t)
	in := base()
	in.LastOrder = order.Next(in).LastOrder
	in.State.Orders = []wire.OrderStatus{{ID: in.LastOrder.Order.ID, Fence: 7, State: "failed"}}
	is.Equal(order.Next(in).Reason, order.OrderFailed)
	in.Now = in.Now.Add(time.Minute)
	is.Equal(order.Next(in).Reason, order.NextStep)
}

// An engine reboots in the middle of a plan and lacks a model that others count on: it comes back at
// once, unless its room is still taken by what an earlier step unloads.
func TestLostModelComesBackAtOnce(t *testing.T) {
	is := is.New(t)
	in := base()
	in.State.Loaded = loaded("m2")
	in.Steps = in.Steps[:1] // n was there before the plan
	d := order.Next(in)
	is.Equal(d.Reason, order.Repair)
	is.Equal(d.Order.Model, "n")
	in.Steps = append(in.Steps, api.Step{Stage: 2, Kind: api.StepUnload, Model: "x", Version: "1"}, api.Step{Stage: 2, Kind: api.StepLoad, Model: "n", Version: "1"})
	in.State.Loaded = loaded("m2", "x1")
	is.Equal(order.Next(in).Reason, order.MatchesPlan)
}
