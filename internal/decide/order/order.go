// Package order decides the next order to an engine from the plan, the engine's state as it was just read, and
// the lease under which orders are sent.
//
// The decision depends on what the engine reports as loaded, not on the orders that were sent to it. A lost response,
// a reboot of the engine and a late order of an older plan or lease holder all result in a state that differs
// from the plan. The next order repairs it.
package order

import (
	"fmt"
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// The reasons of a decision.
const (
	MatchesPlan     decide.Reason = "matches_plan"
	NextStep        decide.Reason = "next_step"
	Repair          decide.Reason = "repairs"              // a change that the plan doesn't ask for has to be undone
	RepeatOrder     decide.Reason = "repeats_order"        // the response was lost; the order is sent again with the same operation id
	OrderRunning    decide.Reason = "order_running"        // an order of this holder is in flight
	OldOrderRunning decide.Reason = "old_order_running"    // an order of an earlier holder or plan is in flight
	AwaitOldOrders  decide.Reason = "waits_for_old_orders" // orders of earlier holders may still arrive
	BlockedByFloor  decide.Reason = "floor_holds"          // the step would take its model below the floor now
	OrderFailed     decide.Reason = "order_failed"
	NoLease         decide.Reason = "no_lease"
)

// Reasons lists every reason that Next returns.
var Reasons = []decide.Reason{MatchesPlan, NextStep, Repair, RepeatOrder, OrderRunning, OldOrderRunning, AwaitOldOrders, BlockedByFloor, OrderFailed, NoLease}

// States of an order, as an engine reports them.
const (
	stateAccepted = "accepted"
	stateRunning  = "running"
	stateFailed   = "failed"
)

// Lease is the part of the lease's state that the decision depends on.
type Lease struct {
	Valid   bool
	Fence   uint64 // fencing number of this holder
	Settled bool   // all orders of earlier holders have arrived, so that none can arrive later
}

// LastOrder is the last order that this holder sent to the engine.
type LastOrder struct {
	Order   wire.Order
	Boot    string         // boot id of the engine when the order was issued
	Attempt int            // number of orders issued so far
	At      decide.Instant // when the order was issued
}

// Input is the state of one engine, its part of the plan, and the state of the lease.
type Input struct {
	PlanID    string
	Fencing   bool // the engine refuses orders with an old fencing number
	State     wire.EngineState
	Steps     []api.Step    // the plan's steps for this engine, in order
	Stage     int           // the current stage; steps up to it are due
	Verify    bool          // all stages are done, and the state must equal Target
	Target    api.Placement // what the engine has loaded at the end of the plan
	Lease     Lease
	LastOrder LastOrder
	Now       decide.Instant
	Floors    map[string]int          // by model: minimum number of engines that serve it at every step
	Models    map[string]ModelService // by model
	Forced    bool                    // the plan may break floors
}

// ModelService is how a model is served now, as far as the instance knows.
type ModelService struct {
	Serving        int  // engines that take new work and have the model in any version
	Stable         int  // those of them that don't change before the next stage
	FirstDeviating bool // this engine has the lowest id of those that deviate from the plan in this model
}

// Decision is what to do with the engine now.
type Decision struct {
	Reason    decide.Reason
	Done      bool        // the engine matches the plan and, under a valid lease, no old order can change that
	Order     *wire.Order // to be sent; nil: none
	LastOrder LastOrder   // to be stored when Order is sent
	Model     string      // the model that the decision is about
}

// retryDelay is the time between a failed order and the next attempt, counted from when the order was issued.
const retryDelay = 5 * time.Second

// Next decides what to do with an engine.
func Next(in Input) Decision {
	if r, inFlight := orderInFlight(in); inFlight {
		return Decision{Reason: r}
	}
	want, repair, found := nextDifference(in)
	if !found {
		return decideMatch(in)
	}
	d := Decision{Model: want.Model}
	switch {
	case !in.Lease.Valid:
		d.Reason = NoLease
	case !in.Fencing && !in.Lease.Settled:
		// An engine that ignores fencing numbers could carry out an old order after a new one. Its state is
		// not final until the old lease and the longest delay of an order are over.
		d.Reason = AwaitOldOrders
	case in.blockedByFloor(want):
		d.Reason = BlockedByFloor
	case failedRecently(in):
		d.Reason = OrderFailed
	default:
		return issueOrder(in, want, repair)
	}
	return d
}

// orderInFlight reports whether the engine has an unfinished order, and returns the reason to wait for it. It waits for
// orders of any holder, since they change the state from which the next order is decided.
func orderInFlight(in Input) (decide.Reason, bool) {
	for _, o := range in.State.Orders {
		if o.State != stateAccepted && o.State != stateRunning {
			continue
		}
		if o.Fence == in.Lease.Fence && in.Lease.Valid {
			return OrderRunning, true
		}
		return OldOrderRunning, true
	}
	return "", false
}

// decideMatch returns the decision for a state that matches the plan. While the lease is valid, the decision is Done only
// if no order of an earlier holder can change the state any more: all of them have arrived, or the engine has seen
// this lease's fencing number and refuses older ones.
func decideMatch(in Input) Decision {
	fenced := in.Fencing && in.Lease.Valid && in.State.HighestFence >= in.Lease.Fence
	if in.Lease.Valid && !in.Lease.Settled && !fenced {
		return Decision{Reason: AwaitOldOrders}
	}
	return Decision{Reason: MatchesPlan, Done: true}
}

// blockedByFloor reports whether a step would take its model below the floor now. The plan's order of steps keeps the
// floors by itself; this check covers engines that were lost since the plan was made.
//
// After reboots or late orders of an older plan, so many engines may deviate that the repair of any of them breaks
// the floor. They are then repaired one at a time, since the plan could otherwise never be completed.
func (in *Input) blockedByFloor(s api.Step) bool {
	floor, m := in.Floors[s.Model], in.Models[s.Model]
	if in.Forced || !takesDown(s, in.State) || m.Stable >= floor {
		return false
	}
	repair := in.Verify || s.Stage < in.Stage
	return !repair || !m.FirstDeviating || m.Serving < floor
}

// takesDown reports whether a step takes its model out of service on the engine, for good or while it is replaced.
func takesDown(s api.Step, state wire.EngineState) bool {
	return s.Adapter == "" && findLoaded(state, s.Model) != nil
}

// failedRecently reports whether the last order failed and retryDelay has not passed since it was issued.
func failedRecently(in Input) bool {
	last := in.LastOrder
	if last.Attempt == 0 || in.Now.Sub(last.At) >= retryDelay {
		return false
	}
	i := slices.IndexFunc(in.State.Orders, func(o wire.OrderStatus) bool { return o.ID == last.Order.ID })
	return i >= 0 && in.State.Orders[i].State == stateFailed
}

// issueOrder returns the decision to send the order for a step. If the last order was the same and the engine doesn't
// list it, the order or its response was lost, or the order is still in flight. It is then sent again with the same
// operation id, as the engine carries out an operation id only once.
func issueOrder(in Input, want api.Step, repair bool) Decision {
	o := wire.Order{
		Fence: in.Lease.Fence, Kind: want.Kind, Model: want.Model, Version: want.Version, Adapter: want.Adapter,
	}
	d := Decision{Reason: NextStep, Model: want.Model, LastOrder: in.LastOrder}
	last := in.LastOrder.Order
	o.ID = last.ID
	known := slices.ContainsFunc(in.State.Orders, func(s wire.OrderStatus) bool { return s.ID == last.ID })
	if o == last && !known && in.LastOrder.Boot == in.State.BootID {
		d.Reason = RepeatOrder
	} else {
		d.LastOrder.Attempt++
		o.ID = fmt.Sprintf("%s.%d.%s.%d", in.PlanID, o.Fence, in.State.BootID, d.LastOrder.Attempt)
		if repair {
			d.Reason = Repair
		}
	}
	d.Order = &o
	d.LastOrder.Order, d.LastOrder.Boot, d.LastOrder.At = o, in.State.BootID, in.Now
	return d
}
