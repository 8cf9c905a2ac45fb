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

// baseInput returns the input for an engine with version 1 of model m. The plan loads version 2 in stage 1 and model n
// in stage 2.
func baseInput() order.Input {
	return order.Input{
		PlanID: "p", Fencing: true, Stage: 1,
		State: wire.EngineState{BootID: "b1", Loaded: []wire.LoadedModel{{Model: "m", Version: "1"}}},
		Steps: []api.Step{
			{Stage: 1, Upstream: "e", Kind: api.StepLoad, Model: "m", Version: "2"},
			{Stage: 2, Upstream: "e", Kind: api.StepLoad, Model: "n", Version: "1"},
		},
		Target: api.Placement{Upstream: "e", Loaded: []api.LoadedModel{{Model: "m", Version: "2"}, {Model: "n", Version: "1"}}},
		Lease:  order.Lease{Valid: true, Fence: 7, Settled: true},
		Floors: map[string]int{"m": 1}, Models: map[string]order.ModelService{"m": {Serving: 2, Stable: 1}},
		Now: decide.Instant(time.Minute),
	}
}

// loaded returns models from names of one letter that are followed by the version.
func loaded(refs ...string) []wire.LoadedModel {
	var all []wire.LoadedModel
	for _, r := range refs {
		all = append(all, wire.LoadedModel{Model: r[:1], Version: r[1:]})
	}
	return all
}

// Checks that the first step that is due is ordered, and that nothing is ordered for a state that matches the plan.
func TestFirstDueStepIsOrdered(t *testing.T) {
	is := is.New(t)
	d := order.Next(baseInput())
	is.Equal(d.Reason, order.NextStep)
	is.Equal(*d.Order, wire.Order{ID: "p.7.b1.1", Fence: 7, Kind: "load", Model: "m", Version: "2"})
	in := baseInput()
	in.State.Loaded = loaded("m2", "n1")
	is.Equal(order.Next(in).Reason, order.MatchesPlan)
}

// Checks, for changes to the base input, the reason of the decision and whether an order is sent.
func TestReasons(t *testing.T) {
	cases := []struct {
		change func(*order.Input)
		reason decide.Reason
		sent   bool
	}{
		{func(in *order.Input) { in.Lease.Valid = false }, order.NoLease, false},
		{func(in *order.Input) { in.Fencing, in.Lease.Settled = false, false }, order.AwaitOldOrders, false},
		{func(in *order.Input) { in.Lease.Settled = false }, order.NextStep, true}, // the engine checks the fencing number
		{func(in *order.Input) { in.State.Orders = []wire.OrderStatus{{Fence: 7, State: "running"}} }, order.OrderRunning, false},
		{func(in *order.Input) { in.State.Orders = []wire.OrderStatus{{Fence: 3, State: "accepted"}} }, order.OldOrderRunning, false},
		{func(in *order.Input) { in.State.Orders = []wire.OrderStatus{{Fence: 3, State: "done"}} }, order.NextStep, true},
		// The other engine was lost since the plan was made; only this one serves the model.
		{func(in *order.Input) { in.Models = map[string]order.ModelService{"m": {Serving: 1}} }, order.BlockedByFloor, false},
		{func(in *order.Input) { in.Models, in.Forced = nil, true }, order.NextStep, true},
		// The state matches, but old orders may still arrive.
		{func(in *order.Input) {
			in.Fencing, in.Lease.Settled, in.State.Loaded = false, false, loaded("m2", "n1")
		}, order.AwaitOldOrders, false},
		{func(in *order.Input) { in.Lease.Settled, in.State.Loaded = false, loaded("m2", "n1") }, order.AwaitOldOrders, false},
		{func(in *order.Input) {
			in.Lease.Settled, in.State.Loaded, in.State.HighestFence = false, loaded("m2", "n1"), 7
		}, order.MatchesPlan, false},
		// All steps are done, and an order of an older plan has loaded another model since.
		{func(in *order.Input) { in.Stage, in.Verify, in.State.Loaded = 3, true, loaded("m2", "n1", "x1") }, order.Repair, true},
		// So many engines deviate that any repair breaks the floor; they are repaired one at a time.
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
		in := baseInput()
		c.change(&in)
		d := order.Next(in)
		if d.Reason != c.reason {
			t.Errorf("case %d: reason %s, want %s", i, d.Reason, c.reason)
		}
		is.Equal(d.Order != nil, c.sent)
		is.True(slices.Contains(order.Reasons, d.Reason))
	}
}

// Checks that an order whose response was lost is sent again with the same operation id, so that the engine carries
// it out only once even if the first one is still in flight. After a reboot of the engine, the id is a new one.
func TestOrderIsRepeatedAfterLostResponse(t *testing.T) {
	is := is.New(t)
	in := baseInput()
	first := order.Next(in)
	in.LastOrder = first.LastOrder
	again := order.Next(in)
	is.Equal(again.Reason, order.RepeatOrder)
	is.Equal(again.Order, first.Order)
	in.State.BootID = "b2"
	is.Equal(order.Next(in).Order.ID, "p.7.b2.2")
	in.State.BootID = "b1"
	in.State.Orders = []wire.OrderStatus{{ID: first.Order.ID, Fence: 7, State: "done"}}
	is.Equal(order.Next(in).Order.ID, "p.7.b1.2") // the order was done, and its effect undone since
}

// Checks that a failed order, such as a load without enough memory, is retried only after a delay.
func TestFailedOrderIsRetriedAfterDelay(t *testing.T) {
	is := is.New(t)
	in := baseInput()
	in.LastOrder = order.Next(in).LastOrder
	in.State.Orders = []wire.OrderStatus{{ID: in.LastOrder.Order.ID, Fence: 7, State: "failed"}}
	is.Equal(order.Next(in).Reason, order.OrderFailed)
	in.Now = in.Now.Add(time.Minute)
	is.Equal(order.Next(in).Reason, order.NextStep)
}

// Checks that a model that an engine lost by a reboot is loaded again before its stage, unless an earlier step of the
// plan has yet to unload a model to make room for it.
func TestLostModelIsReloadedAtOnce(t *testing.T) {
	is := is.New(t)
	in := baseInput()
	in.State.Loaded = loaded("m2")
	in.Steps = in.Steps[:1] // n was loaded before the plan
	d := order.Next(in)
	is.Equal(d.Reason, order.Repair)
	is.Equal(d.Order.Model, "n")
	in.Steps = append(in.Steps, api.Step{Stage: 2, Kind: api.StepUnload, Model: "x", Version: "1"}, api.Step{Stage: 2, Kind: api.StepLoad, Model: "n", Version: "1"})
	in.State.Loaded = loaded("m2", "x1")
	is.Equal(order.Next(in).Reason, order.MatchesPlan)
}
