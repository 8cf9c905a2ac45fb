// Package execute executes confirmed plans. It does the input and output for the decisions of decide/lease and
// decide/order.
//
// Engines are divided into shards. Rendezvous hashing over the live instances assigns each shard to an instance. The
// assignment only saves work; safety rests on the shard's lease, whose fence every order carries. A shard's progress is
// stored in the object of its lease, so that an instance that lost the lease can't record progress. A stage begins
// when every shard with steps has recorded the stage before it.
//
// After a plan is done, its target stays the reference, and ticks are less frequent. An engine whose last reported
// models differ from its target is read and repaired: it rebooted, or an order of an older plan reached it late.
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

// Engines reads the state of engines and sends them orders.
type Engines interface {
	State(ctx context.Context, addr string) (wire.EngineState, error)
	Order(ctx context.Context, addr string, o wire.Order) (wire.OrderStatus, error)
}

// WeightStore grants the transfer budget of model loads.
type WeightStore interface {
	// TakeBudget takes the budget for one load. A positive wait means that there is none, and after which time to ask
	// again.
	TakeBudget(ctx context.Context, model, version string, gigabytes int64) (wait time.Duration, err error)
}

// Recorder logs one placement decision. It is safe for concurrent use.
type Recorder interface {
	Record(kind, subject string, reason decide.Reason, fields ...any)
}

// Config configures an executor. Zero fields get the defaults.
type Config struct {
	Lease        lease.Config
	TickInterval time.Duration // between two ticks while a plan is being executed
	IdleInterval time.Duration // between two ticks while there is nothing to execute
	Concurrency  int           // number of shards, and of engines of one shard, that are processed at the same time
}

// Defaults of Config. The first three are those of Config.Lease.
const (
	DefaultLeaseTTL     = 15 * time.Second // a lease is taken over once its version was seen unchanged for that long
	DefaultLeaseMargin  = time.Second
	DefaultOrderDelay   = 5 * time.Second // a new holder waits that long before it orders engines that ignore fences
	DefaultTickInterval = 500 * time.Millisecond
	DefaultIdleInterval = 5 * time.Second
	DefaultConcurrency  = 16
)

// withDefaults returns c with the defaults in place of zero fields.
func (c Config) withDefaults() Config {
	setDefault(&c.Lease.TTL, DefaultLeaseTTL)
	setDefault(&c.Lease.Margin, DefaultLeaseMargin)
	setDefault(&c.Lease.OrderDelay, DefaultOrderDelay)
	setDefault(&c.TickInterval, DefaultTickInterval)
	setDefault(&c.IdleInterval, DefaultIdleInterval)
	setDefault(&c.Concurrency, DefaultConcurrency)
	return c
}

// setDefault sets *field to value if it has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Deps holds the dependencies of an executor.
type Deps struct {
	Instance    fleet.InstanceID
	Incarnation string // unique to this start of the instance's process
	Store       objects.Store
	Engines     Engines
	WeightStore WeightStore // nil: loads need no transfer budget
	View        func() *fleet.View
	Observed    *ObservedModels // models that the engines reported last; nil: not known
	Ready       func() bool     // false: the instance's view may be stale; nil: always ready
	Now         func() decide.Instant
	NewID       func() string
	Log         hclog.Logger
	Recorder    Recorder
	Config      Config
}

// Executor executes plans. Tick must not be called concurrently with itself.
type Executor struct {
	Deps
	holderID string // names this start of the instance as the holder of a lease
	shards   map[int]*shard

	ownedVersion uint64 // version of the instance list that ownedShards was computed from
	ownedShards  []int

	job             *job
	finished        bool // every shard with steps has recorded its stages of job and the verification
	stopped         bool // an operator stopped job
	records         records
	transferRetryAt atomic.Int64 // decide.Instant before which the weight store has no budget
}

// New returns an executor that holds no lease and has no plan.
func New(d Deps) *Executor {
	d.Config = d.Config.withDefaults()
	d.Log = d.Log.Named("execute")
	return &Executor{Deps: d, holderID: string(d.Instance) + "/" + d.Incarnation, shards: map[int]*shard{}}
}

// Run calls Tick at the configured intervals until ctx ends. It then releases the leases.
func (x *Executor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		interval := x.Config.IdleInterval
		if x.Tick(ctx) {
			interval = x.Config.TickInterval
		}
		// The wait is split, so that a plan that is confirmed during it is noticed within TickInterval.
		planID := x.View().Config.PlanID
		for waited := time.Duration(0); waited < interval && ctx.Err() == nil && x.View().Config.PlanID == planID; waited += x.Config.TickInterval {
			wait.For(ctx, min(x.Config.TickInterval, interval))
		}
	}
	releaseCtx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	x.ReleaseLeases(releaseCtx)
}

// releaseTimeout limits the release of all leases when Run ends.
const releaseTimeout = 2 * time.Second

// Tick processes once all shards that this instance owns. It reports whether there is more to do, so that the next
// tick is due after TickInterval.
func (x *Executor) Tick(ctx context.Context) bool {
	if x.Ready != nil && !x.Ready() {
		return false
	}
	view := x.View()
	if x.Observed != nil {
		x.Observed.retain(view)
	}
	owned := x.owned(view)
	if len(owned) == 0 {
		return false // an instance without shards needs no plan
	}
	if err := x.loadPlan(ctx, view); err != nil {
		x.Log.Warn("failed to read the plan", "plan", view.Config.PlanID, "error", err)
		return true
	}
	if x.job == nil || x.stopped {
		return false
	}
	// An instance whose shards have no steps needn't read the progress. It decides this anew in each tick: after it
	// takes over the shards of a failed instance, it needs the stage.
	needsProgress := !x.finished && x.job.hasStepsIn(owned)
	if needsProgress {
		if err := x.readRecords(ctx); err != nil {
			x.Log.Warn("failed to read the shards' progress", "error", err)
			return true
		}
	}
	if x.stopped {
		return false
	}
	stage := x.job.verifyStage() + 1
	if needsProgress {
		stage = x.job.currentStage(x.records)
	}
	return x.processShards(ctx, view, owned, stage) || (needsProgress && !x.finished)
}

// loadPlan reads the plan of the configuration in force, unless it is the current one.
func (x *Executor) loadPlan(ctx context.Context, view *fleet.View) error {
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
		s.resetForPlan()
	}
	x.Log.Info("plan taken up", "plan", id, "steps", len(p.Steps), "stages", x.job.stages, "stopped", x.stopped)
	return nil
}

// readRecords reads the records of all shards. It sets stopped if the plan was stopped, and finished if all stages and
// the verification are done.
func (x *Executor) readRecords(ctx context.Context) error {
	l, err := x.Store.List(ctx, ObjectKind)
	if err != nil {
		return err
	}
	r, err := decodeRecords(l)
	if err != nil {
		return err
	}
	x.records = r
	id := x.job.plan.ID
	if r.stoppedPlan == id {
		x.stopped = true
		x.Log.Info("plan stopped", "plan", id)
	}
	if x.job.currentStage(r) > x.job.verifyStage() {
		x.finished = true
		x.Log.Info("plan done", "plan", id)
	}
	return nil
}

// ReleaseLeases releases the leases that are held, so that another instance needn't wait for their end.
func (x *Executor) ReleaseLeases(ctx context.Context) {
	forEach(x.Config.Concurrency, slices.Sorted(maps.Keys(x.shards)), func(n int) {
		s := x.shards[n]
		if !s.lease.Valid(x.Now()) {
			return
		}
		if err := x.releaseLease(ctx, s); err != nil {
			x.Log.Warn("failed to release the lease", "shard", shardName(n), "error", err)
		}
	})
}
