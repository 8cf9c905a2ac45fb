package node

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/execute"
	"github.com/damaskshelf/damaskshelf/internal/explain"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/follow"
	"github.com/damaskshelf/damaskshelf/internal/keeper"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	platformclient "github.com/damaskshelf/damaskshelf/internal/objects/client"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
)

// executor runs execute.Executor in the background until the instance stops.
type executor struct {
	*execute.Executor
	cancel context.CancelFunc // nil before run
	done   chan struct{}      // closed when the execution has stopped
}

// newExecutor returns an executor of plans that is not running yet. Its incarnation is unique to this process.
func newExecutor(s api.Settings, cfg execute.Config, store objects.Store, weights *platformclient.Client, c *upstream.Client,
	k *keeper.Keeper, f *follow.Follower, observed *execute.ObservedModels, rec *explain.Recorder, log hclog.Logger, id idFunc) *executor {
	startTime := time.Now()
	return &executor{done: make(chan struct{}), Executor: execute.New(execute.Deps{
		Instance: fleet.InstanceID(s.Instance), Incarnation: uuid.NewString(),
		Store: store, Engines: c, WeightStore: weights, View: k.View, Observed: observed,
		Ready:    func() bool { return f.Usable() == nil },
		Now:      func() decide.Instant { return decide.Instant(time.Since(startTime)) },
		NewID:    id,
		Log:      log,
		Recorder: rec,
		Config:   cfg,
	})}
}

// run starts the execution of plans, which goes on until ctx ends or shutdown is called.
func (e *executor) run(ctx context.Context) {
	ctx, e.cancel = context.WithCancel(ctx)
	go func() {
		defer close(e.done)
		e.Run(ctx)
	}()
}

// shutdown stops the execution and waits until the leases are released. Call it before the client of the store is
// closed, or the leases can't be released. It does nothing if run was not called.
func (e *executor) shutdown() {
	if e.cancel == nil {
		return
	}
	e.cancel()
	<-e.done
}
