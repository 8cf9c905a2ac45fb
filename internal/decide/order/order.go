// Package order decides the next order to an engine, from the plan, the engine's state as it was just
// read, and the lease under which orders are given.
//
// The decision looks at what the engine says that it has, never at what was sent to it: an order whose
// answer was lost, an engine that rebooted, and a late order of an older plan or holder all show as a
// state that differs, and are mended by the next order.
package order

import (
	"fmt"
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Reasons of a decision.
const (
	MatchesPlan     decide.Reason = "matches_plan"
	NextStep        decide.Reason = "next_step"
	Repair          decide.Reason = "repairs"           // what was done, or never asked for, has changed
	RepeatOrder     decide.Reason = "repeats_order"     // the answer was lost; the same operation id again
	OrderRunning    decide.Reason = "order_running"     // ours
	OldOrderRunning decide.Reason = "old_order_running" // an earlier holder's or plan's
	AwaitOldOrders  decide.Reason = "waits_for_old_orders"
	BlockedByFloor  decide.Reason = "floor_holds" // the step would take the model below its floor now
	OrderFailed     decide.Reason = "order_failed"
	NoLease         decide.Reason = "no_lease"
)

// Reasons lists every reason that Next returns.
var Reasons = []decide.Reason{MatchesPlan, NextStep, Repair, RepeatOrder, OrderRunning, OldOrderRunning, AwaitOldOrders, BlockedByFloor, OrderFailed, NoLease}

// States of an order in an engine's answer.
const (
	stateAccepted = "accepted"
	stateRunning  = "running"
	stateFailed   = "failed"
)

// Lease is what the decision needs to know of the lease.
type Lease struct {
	Valid   bool
	Fence   uint64
	Settled bool // orders of earlier holders have all arrived
}

// Issued is the last order that this holder gave to the engine.
type LastOrder struct {
	Order   wire.Order
	Boot    string // of the engine when it was given
	Attempt int    // orders given so far
	At      decide.Instant
}

// Input is one engine's situation.
type Input struct {
	PlanID    string
	Fencing   bool // refuses orders with an old fencing number
	State     wire.EngineState
	Steps     []api.Step    // the plan's steps for this engine, in order
	Stage     int           // steps up to this stage are due
	Verify    bool          // all stages are done: the state must be just Target
	Target    api.Placement // at the end of the plan
	Lease     Lease
	LastOrder LastOrder
	Now       decide.Instant
	Floors    map[string]int // by model: engines that serve at every step
	Models    map[string]ModelService
	Forced    bool // the plan may break floors
}

// Service is how a model is served now, as far as the instance knows.
type ModelService struct {
	Serving        int  // engines that take new work and have the model in any version
	Stable         int  // those of them that won't be changed before the next stage
	FirstDeviating bool // of the engines that deviate in it, this one is the first by id
}

// Decision is what to do about the engine now.
type Decision struct {
	Reason    decide.Reason
	Done      bool // the engine is as it should be, and no old order can change that
	Order     *wire.Order
	LastOrder LastOrder // to be kept once Order was sent
	Model     string    // that the decision is about
}

// retryPause is the time after a failed order until the next attempt.
const retryPause = 5 * time.Second

// Next decides.
func Next(in Input) Decision {
	if r, busy := pending(in); busy {
		return Decision{Reason: r}
	}
	want, repair, found := difference(in)
	if !found {
		return matching(in)
	}
	d := Decision{Model: want.Model}
	switch {
	case !in.Lease.Valid:
		d.Reason = NoLease
	case !in.Fencing && !in.Lease.Settled:
		// An engine that ignores fencing numbers would carry out an old order after ours. Until the old
		// lease and the longest delay of an order are over, what its state shows is not final.
		d.Reason = AwaitOldOrders
	case in.blocked(want):
		d.Reason = BlockedByFloor
	case failedLately(in):
		d.Reason = OrderFailed
	default:
		return issue(in, want, repair)
	}
	return d
}

// pending tells whether the engine has an order that is not over. Whoever gave it, its outcome comes
// first: an order on top of it would be judged by a state that is about to change.
func pending(in Input) (decide.Reason, bool) {
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

// matching says whether a state that is as it should be will stay so.
func matching(in Input) Decision {
	barred := in.Fencing && in.Lease.Valid && in.State.HighestFence >= in.Lease.Fence
	if in.Lease.Valid && !in.Lease.Settled && !barred {
		return Decision{Reason: AwaitOldOrders}
	}
	return Decision{Reason: MatchesPlan, Done: true}
}

// blocked tells whether a step would take its model below the floor as things stand now. The plan's order
// of steps keeps floors by itself; this catches engines that were lost since the plan was made.
//
// Reboots and late orders of an older plan may have left so many engines wrong that mending any of them
// breaks the floor. They are mended one at a time then, or the plan would never be carried out.
func (in *Input) blocked(s api.Step) bool {
	floor, m := in.Floors[s.Model], in.Models[s.Model]
	if in.Forced || !takes(s, in.State) || m.Stable >= floor {
		return false
	}
	mends := in.Verify || s.Stage < in.Stage
	return !mends || !m.FirstDeviating || m.Serving < floor
}

// takes tells whether an order takes a model out of service, for good or while it is replaced.
func takes(s api.Step, state wire.EngineState) bool {
	return s.Adapter == "" && loadedAs(state, s.Model) != nil
}

func failedLately(in Input) bool {
	last := in.LastOrder
	if last.Attempt == 0 || in.Now.Sub(last.At) >= retryPause {
		return false
	}
	i := slices.IndexFunc(in.State.Orders, func(o wire.OrderStatus) bool { return o.ID == last.Order.ID })
	return i >= 0 && in.State.Orders[i].State == stateFailed
}

// issue gives the order for a step. If the last order was the same and the engine does not know it, its
// answer was lost, or it is still on its way: the same operation id can't be carried out twice.
func issue(in Input, want api.Step, repair bool) Decision {
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
