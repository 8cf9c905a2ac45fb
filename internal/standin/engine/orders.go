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

// ordersKept is how many orders a state shows.
const ordersKept = 64

type order struct {
	wire.Order
	status wire.OrderStatus
	begins time.Duration
	ends   time.Duration
}

func (o *order) over() bool { return o.status.State == OrderDone || o.status.State == OrderFailed }

// orderBook is what the engine was told to serve, and does serve.
type orderBook struct {
	role    string
	loaded  []wire.LoadedModel
	highest uint64
	last    string // id of the order carried out last
	orders  []*order
}

func newOrderBook(cfg Config) orderBook {
	book := orderBook{role: RoleAny}
	for _, l := range cfg.Models {
		l.Adapters = slices.Clone(l.Adapters)
		book.loaded = append(book.loaded, l)
	}
	return book
}

func (b *orderBook) find(id string) *order {
	for _, o := range b.orders {
		if o.ID == id {
			return o
		}
	}
	return nil
}

func (b *orderBook) serves(model, adapter string) bool {
	return slices.ContainsFunc(b.loaded, func(l wire.LoadedModel) bool {
		return l.Model == model && (adapter == "" || slices.Contains(l.Adapters, adapter))
	})
}

func (b *orderBook) add(o *order) {
	b.orders = append(b.orders, o)
	if over := len(b.orders) - ordersKept; over > 0 {
		b.orders = slices.Delete(b.orders, 0, over)
	}
}

// apply carries an order out.
func (b *orderBook) apply(o wire.Order) error {
	switch o.Kind {
	case OrderLoad:
		b.load(o)
	case OrderUnload:
		b.unload(o)
	case OrderRole:
		b.role = o.Role
	default:
		return fmt.Errorf("order kind %q is not known", o.Kind)
	}
	b.last = o.ID
	return nil
}

// load makes version the model's only one, with the adapter if the order names one.
func (b *orderBook) load(o wire.Order) {
	for n := range b.loaded {
		l := &b.loaded[n]
		if l.Model != o.Model {
			continue
		}
		if l.Version != o.Version {
			l.Version, l.Adapters = o.Version, nil
		}
		l.Adapters = withAdapter(l.Adapters, o.Adapter)
		return
	}
	b.loaded = append(b.loaded, wire.LoadedModel{Model: o.Model, Version: o.Version, Adapters: withAdapter(nil, o.Adapter)})
}

func withAdapter(adapters []string, adapter string) []string {
	if adapter == "" || slices.Contains(adapters, adapter) {
		return adapters
	}
	return append(slices.Clone(adapters), adapter)
}

// unload drops the adapter if the order names one, else the model. A version other than the one loaded
// leaves all as it is.
func (b *orderBook) unload(o wire.Order) {
	for n := range b.loaded {
		l := &b.loaded[n]
		if l.Model != o.Model || (o.Version != "" && l.Version != o.Version) {
			continue
		}
		if o.Adapter == "" {
			b.loaded = slices.Delete(b.loaded, n, n+1)
			return
		}
		l.Adapters = slices.DeleteFunc(slices.Clone(l.Adapters), func(a string) bool { return a == o.Adapter })
		return
	}
}

// accept takes an order in, unless its fencing number is old and the engine checks that.
func (e *Engine) accept(o wire.Order, delay, now time.Duration) (wire.OrderStatus, error) {
	if seen := e.orders.find(o.ID); seen != nil {
		e.counters.RepeatedOrders++
		return seen.status, nil
	}
	if e.cfg.Fencing && o.Fence < e.orders.highest {
		e.counters.StaleRefused++
		return wire.OrderStatus{}, fmt.Errorf("fencing number %d is older than %d", o.Fence, e.orders.highest)
	}
	e.orders.highest = max(e.orders.highest, o.Fence)
	took := time.Duration(0)
	if o.Kind == OrderLoad {
		took = e.cfg.LoadTime
	}
	next := &order{Order: o, begins: now + delay, ends: now + delay + took}
	next.status = wire.OrderStatus{ID: o.ID, Fence: o.Fence, State: OrderAccepted}
	e.orders.add(next)
	e.carryOut(now)
	return next.status, nil
}

// carryOut lets accepted orders run up to now. A delayed order is not checked again when it runs: that is
// the fault which a holder of an old lease can cause.
func (e *Engine) carryOut(now time.Duration) {
	for _, o := range e.orders.orders {
		if o.over() || now < o.begins {
			continue
		}
		o.status.State = OrderRunning
		if now < o.ends {
			continue
		}
		if err := e.orders.apply(o.Order); err != nil {
			o.status.State, o.status.Detail = OrderFailed, err.Error()
			continue
		}
		o.status.State = OrderDone
		e.counters.OrdersRun++
		if o.Fence < e.orders.highest {
			e.counters.StaleRun++
		}
	}
}

func (e *Engine) postOrder(ctx *fasthttp.RequestCtx) {
	var o wire.Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil || o.ID == "" {
		refuse(ctx, fasthttp.StatusBadRequest, "an order needs an id")
		return
	}
	delay := time.Duration(float64(e.faults.Delay(faults.DelayOrders)) * e.cfg.TimeScale)
	var status wire.OrderStatus
	var err error
	e.locked(func(now time.Duration) { status, err = e.accept(o, delay, now) })
	if err != nil {
		refuse(ctx, fasthttp.StatusConflict, err.Error())
		return
	}
	if e.faults.On(faults.LoseAnswer) {
		serve.Drop(ctx)
		return
	}
	serve.JSON(ctx, fasthttp.StatusAccepted, status)
}

func (e *Engine) getState(ctx *fasthttp.RequestCtx) {
	var state wire.EngineState
	e.locked(func(time.Duration) {
		state = wire.EngineState{
			BootID: e.boot, Role: e.orders.role, Loaded: slices.Clone(e.orders.loaded),
			HighestFence: e.orders.highest, LastOrder: e.orders.last, Orders: []wire.OrderStatus{},
		}
		for _, o := range e.orders.orders {
			state.Orders = append(state.Orders, o.status)
		}
	})
	serve.JSON(ctx, fasthttp.StatusOK, state)
}
