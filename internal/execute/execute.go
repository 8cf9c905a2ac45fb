// Package execute works confirmed plans off: the shell of decide/lease and decide/order.
//
// Engines are cut into shards. Who works on a shard is found by rendezvous over the live instances, which
// is only a saving: orders are given under the shard's lease, with its fence. How far a shard is stands in
// the lease's own object, so that a holder which lost the lease can't record progress. A stage begins when
// every shard with steps has recorded the one before it.
//
// A plan that is done stays the reference: engines are read on, more slowly, and one that differs from its
// target (it rebooted, or a late order of an older plan reached it) is put right.
package execute

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/lease"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
	"github.com/damaskshelf/damaskshelf/internal/wait"
)

// Engines gives orders to engines and reads their state.
type Engines interface {
	State(ctx context.Context, addr string) (wire.EngineState, error)
	Order(ctx context.Context, addr string, o wire.Order) (wire.OrderStatus, error)
}

// Weights asks the weight store for transfer budget. It gives the time to wait where there is none.
type WeightStore interface {
	TakeBudget(ctx context.Context, model, version string, gigabytes int64) (wait time.Duration, err error)
}

// Recorder logs one placement decision. It is safe for concurrent use.
type Recorder interface {
	Record(kind, subject string, reason decide.Reason, fields ...any)
}

// Config holds the executor's times. The zero value takes the defaults.
type Config struct {
	Lease        lease.Config
	TickInterval time.Duration // between two looks while a plan is worked off
	IdleInterval time.Duration // between two looks at engines while none is
	Concurrency  int           // shards, and engines of a shard, worked on at the same time
}

// Defaults of Config.
const (
	DefaultLeaseTTL     = 15 * time.Second
	DefaultLeaseMargin  = time.Second
	DefaultOrderDelay   = 5 * time.Second
	DefaultTickInterval = 500 * time.Millisecond
	DefaultIdleInterval = 5 * time.Second
	DefaultConcurrency  = 16
)

func (c Config) withDefaults() Config {
	orDefault(&c.Lease.TTL, DefaultLeaseTTL)
	orDefault(&c.Lease.Margin, DefaultLeaseMargin)
	orDefault(&c.Lease.OrderDelay, DefaultOrderDelay)
	orDefault(&c.TickInterval, DefaultTickInterval)
	orDefault(&c.IdleInterval, DefaultIdleInterval)
	orDefault(&c.Concurrency, DefaultConcurrency)
	return c
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Deps is what an executor needs.
type Deps struct {
	Instance    fleet.InstanceID
	Incarnation string // of this start of the instance
	Store       objects.Store
	Engines     Engines
	WeightStore WeightStore // nil: loads ask nobody
	View        func() *fleet.View
	Observed    *ObservedModels // what engines were last seen to have; nil: not known
	Ready       func() bool     // false: what the instance knows may be old; nil: always ready
	Now         func() decide.Instant
	NewID       func() string
	Log         hclog.Logger
	Recorder    Recorder
	Config      Config
}

// Executor works plans off. Tick must not be called concurrently with itself.
type Executor struct {
	Deps
	self   string
	shards map[int]*shard

	listed uint64 // version of the instance list that mine was found from
	mine   []int

	job      *job
	finished bool // every shard has recorded the whole of job
	stopped  bool // job
	last     records
	wait     atomic.Int64 // decide.Instant until which the weight store has no budget
}

// New gives an executor at rest.
func New(d Deps) *Executor {
	d.Config = d.Config.withDefaults()
	d.Log = d.Log.Named("execute")
	return &Executor{Deps: d, self: string(d.Instance) + "/" + d.Incarnation, shards: map[int]*shard{}}
}

// Run works until ctx ends, then gives its leases back.
func (x *Executor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := x.Config.IdleInterval
		if x.Tick(ctx) {
			pause = x.Config.TickInterval
		}
		// A plan that is confirmed during a long pause is noticed within a tick.
		seen := x.View().Config.PlanID
		for waited := time.Duration(0); waited < pause && ctx.Err() == nil && x.View().Config.PlanID == seen; waited += x.Config.TickInterval {
			wait.For(ctx, min(x.Config.TickInterval, pause))
		}
	}
	last, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	x.ReleaseLeases(last)
}

const releaseTimeout = 2 * time.Second

// Tick looks once at everything this instance owns and does what is due. It tells whether there is more
// to do soon.
func (x *Executor) Tick(ctx context.Context) bool {
	if x.Ready != nil && !x.Ready() {
		return false
	}
	view := x.View()
	if x.Observed != nil {
		x.Observed.keep(view)
	}
	mine := x.owned(view)
	if len(mine) == 0 {
		return false // an instance without shards doesn't even read the plan
	}
	if err := x.follow(ctx, view); err != nil {
		x.Log.Warn("plan not read", "plan", view.Config.PlanID, "error", err)
		return true
	}
	if x.job == nil || x.stopped {
		return false
	}
	// Without steps of its own an instance needs no progress. It does not put the plan aside for good: it
	// may take over the shards of one that died, and has to know the stage then.
	working := !x.finished && x.job.touches(mine)
	if working {
		if err := x.read(ctx); err != nil {
			x.Log.Warn("progress not read", "error", err)
			return true
		}
	}
	if x.stopped {
		return false
	}
	stage := x.job.verify() + 1
	if working {
		stage = x.job.stage(x.last)
	}
	return x.workAll(ctx, view, mine, stage) || (working && !x.finished)
}

// follow takes up the plan of the configuration in force.
func (x *Executor) follow(ctx context.Context, view *fleet.View) error {
	id := view.Config.PlanID
	if x.job != nil && x.job.plan.ID == id {
		return nil
	}
	x.job, x.finished, x.stopped = nil, false, false
	if id == "" {
		return nil
	}
	o, err := x.Store.Get(ctx, objects.Key{Kind: "plans", Name: id})
	if err != nil {
		return err
	}
	var p api.Plan
	if err := json.Unmarshal(o.Value, &p); err != nil {
		return fmt.Errorf("decode plan: %w", err)
	}
	x.job = newJob(p)
	x.stopped = p.State == api.PlanStopped
	for _, s := range x.shards {
		s.adopt()
	}
	x.Log.Info("plan taken up", "plan", id, "steps", len(p.Steps), "stages", x.job.stages, "stopped", x.stopped)
	return nil
}

// read lists the shards' records.
func (x *Executor) read(ctx context.Context) error {
	l, err := x.Store.List(ctx, ObjectKind)
	if err != nil {
		return err
	}
	r, err := decodeRecords(l)
	if err != nil {
		return err
	}
	x.last = r
	id := x.job.plan.ID
	if r.stopped == id {
		x.stopped = true
		x.Log.Info("plan stopped", "plan", id)
	}
	if x.job.stage(r) > x.job.verify() {
		x.finished = true
		x.Log.Info("plan done", "plan", id)
	}
	return nil
}

// Release gives back the leases that are held, so that another instance need not wait them out.
func (x *Executor) ReleaseLeases(ctx context.Context) {
	each(x.Config.Concurrency, slices.Sorted(maps.Keys(x.shards)), func(n int) {
		s := x.shards[n]
		if !s.lease.Valid(x.Now()) {
			return
		}
		if err := x.release(ctx, s); err != nil {
			x.Log.Warn("lease not given back", "shard", shardName(n), "error", err)
		}
	})
}
