package engine

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/standin/serve"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Kinds, roles and states of orders.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
	OrderRole   = "role"

	RoleAny  = "any"
	RoleLong = "long"

	OrderAccepted = "accepted"
	OrderRunning  = "running"
	OrderDone     = "done"
	OrderFailed   = "failed"
)

// maxOrders is the number of orders that an engine keeps. The oldest is dropped first, also when it isn't finished.
const maxOrders = 64

// order is an order with its status and the times at which its execution starts and ends.
type order struct {
	wire.Order
	status   wire.OrderStatus
	startsAt time.Duration
	endsAt   time.Duration
}

func (o *order) finished() bool { return o.status.State == OrderDone || o.status.State == OrderFailed }

// orderState holds the orders that the engine has received and their result: its role and the models that it has loaded.
type orderState struct {
	role         string
	loaded       []wire.LoadedModel
	highestFence uint64   // highest fencing number of an accepted order
	lastOrder    string   // id of the last order that was carried out
	orders       []*order // the latest ones, in order of receipt
}

// newOrderState returns the state of an engine that has just booted.
func newOrderState(cfg Config) orderState {
	state := orderState{role: RoleAny}
	for _, l := range cfg.Models {
		l.Adapters = slices.Clone(l.Adapters)
		state.loaded = append(state.loaded, l)
	}
	return state
}

// find returns the order with the given id, or nil.
func (s *orderState) find(id string) *order {
	for _, o := range s.orders {
		if o.ID == id {
			return o
		}
	}
	return nil
}

// serves reports whether the model is loaded, with the adapter if one is given.
func (s *orderState) serves(model, adapter string) bool {
	return slices.ContainsFunc(s.loaded, func(l wire.LoadedModel) bool {
		return l.Model == model && (adapter == "" || slices.Contains(l.Adapters, adapter))
	})
}

func (s *orderState) add(o *order) {
	s.orders = append(s.orders, o)
	if over := len(s.orders) - maxOrders; over > 0 {
		s.orders = slices.Delete(s.orders, 0, over)
	}
}

// apply carries out an order. It fails if the kind of the order is unknown.
func (s *orderState) apply(o wire.Order) error {
	switch o.Kind {
	case OrderLoad:
		s.load(o)
	case OrderUnload:
		s.unload(o)
	case OrderRole:
		s.role = o.Role
	default:
		return fmt.Errorf("order kind %q is not known", o.Kind)
	}
	s.lastOrder = o.ID
	return nil
}

// load replaces any loaded version of the order's model by the version of the order, and adds the adapter if the order
// names one. A change of version drops the adapters of the former version.
func (s *orderState) load(o wire.Order) {
	for n := range s.loaded {
		l := &s.loaded[n]
		if l.Model != o.Model {
			continue
		}
		if l.Version != o.Version {
			l.Version, l.Adapters = o.Version, nil
		}
		l.Adapters = withAdapter(l.Adapters, o.Adapter)
		return
	}
	s.loaded = append(s.loaded, wire.LoadedModel{Model: o.Model, Version: o.Version, Adapters: withAdapter(nil, o.Adapter)})
}

// withAdapter returns adapters with adapter added, unless adapter is empty or already contained.
func withAdapter(adapters []string, adapter string) []string {
	if adapter == "" || slices.Contains(adapters, adapter) {
		return adapters
	}
	return append(slices.Clone(adapters), adapter)
}

// unload unloads the adapter if the order names one, or else the model. It does nothing if the order names a version that
// isn't loaded.
func (s *orderState) unload(o wire.Order) {
	for n := range s.loaded {
		l := &s.loaded[n]
		if l.Model != o.Model || (o.Version != "" && l.Version != o.Version) {
			continue
		}
		if o.Adapter == "" {
			s.loaded = slices.Delete(s.loaded, n, n+1)
			return
		}
		l.Adapters = slices.DeleteFunc(slices.Clone(l.Adapters), func(a string) bool { return a == o.Adapter })
		return
	}
}

// acceptOrder queues an order whose execution starts after delay. It returns the status of the existing order if the id
// is known, and an error if the engine checks fencing numbers and the order's is lower than the highest seen.
func (e *Engine) acceptOrder(o wire.Order, delay, now time.Duration) (wire.OrderStatus, error) {
	if known := e.orders.find(o.ID); known != nil {
		e.counters.RepeatedOrders++
		return known.status, nil
	}
	if e.cfg.Fencing && o.Fence < e.orders.highestFence {
		e.counters.StaleRefused++
		return wire.OrderStatus{}, fmt.Errorf("fencing number %d is older than %d", o.Fence, e.orders.highestFence)
	}
	e.orders.highestFence = max(e.orders.highestFence, o.Fence)
	duration := time.Duration(0)
	if o.Kind == OrderLoad {
		duration = e.cfg.LoadTime
	}
	accepted := &order{Order: o, startsAt: now + delay, endsAt: now + delay + duration}
	accepted.status = wire.OrderStatus{ID: o.ID, Fence: o.Fence, State: OrderAccepted}
	e.orders.add(accepted)
	e.runOrders(now)
	return accepted.status, nil
}

// runOrders starts and finishes the accepted orders that are due by now. It doesn't check the fencing number of a delayed
// order again. This simulates an order of a former lease holder that takes effect after one of its successor.
func (e *Engine) runOrders(now time.Duration) {
	for _, o := range e.orders.orders {
		if o.finished() || now < o.startsAt {
			continue
		}
		o.status.State = OrderRunning
		if now < o.endsAt {
			continue
		}
		if err := e.orders.apply(o.Order); err != nil {
			o.status.State, o.status.Detail = OrderFailed, err.Error()
			continue
		}
		o.status.State = OrderDone
		e.counters.OrdersRun++
		if o.Fence < e.orders.highestFence {
			e.counters.StaleRun++
		}
	}
}

// postOrder accepts an order and acknowledges it, possibly before it is carried out. DelayOrders postpones its execution,
// and LoseAnswer drops the acknowledgement.
func (e *Engine) postOrder(ctx *fasthttp.RequestCtx) {
	var o wire.Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil || o.ID == "" {
		refuse(ctx, fasthttp.StatusBadRequest, "an order needs an id")
		return
	}
	delay := time.Duration(float64(e.faults.Delay(faults.DelayOrders)) * e.cfg.TimeScale)
	var status wire.OrderStatus
	var err error
	e.locked(func(now time.Duration) { status, err = e.acceptOrder(o, delay, now) })
	if err != nil {
		refuse(ctx, fasthttp.StatusConflict, err.Error())
		return
	}
	if e.faults.On(faults.LoseAnswer) {
		serve.CloseConn(ctx)
		return
	}
	serve.JSON(ctx, fasthttp.StatusAccepted, status)
}

// getState answers with the engine's role, loaded models and latest orders.
func (e *Engine) getState(ctx *fasthttp.RequestCtx) {
	var state wire.EngineState
	e.locked(func(time.Duration) {
		state = wire.EngineState{
			BootID: e.bootID, Role: e.orders.role, Loaded: slices.Clone(e.orders.loaded),
			HighestFence: e.orders.highestFence, LastOrder: e.orders.lastOrder, Orders: []wire.OrderStatus{},
		}
		for _, o := range e.orders.orders {
			state.Orders = append(state.Orders, o.status)
		}
	})
	serve.JSON(ctx, fasthttp.StatusOK, state)
}
