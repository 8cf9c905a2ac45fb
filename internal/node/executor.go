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

// executor runs execute.Executor beside the requests until the instance stops.
type executor struct {
	*execute.Executor
	stop context.CancelFunc
	done chan struct{}
}

func newExecutor(s api.Settings, cfg execute.Config, store objects.Store, weights *platformclient.Client, c *upstream.Client,
	k *keeper.Keeper, f *follow.Follower, seen *execute.ObservedModels, rec *explain.Recorder, log hclog.Logger, id idSource) *executor {
	start := time.Now()
	return &executor{done: make(chan struct{}), Executor: execute.New(execute.Deps{
		Instance: fleet.InstanceID(s.Instance), Incarnation: uuid.NewString(),
		Store: store, Engines: c, WeightStore: weights, View: k.View, Observed: seen,
		Ready:    func() bool { return f.Usable() == nil },
		Now:      func() decide.Instant { return decide.Instant(time.Since(start)) },
		NewID:    id,
		Log:      log,
		Recorder: rec,
		Config:   cfg,
	})}
}

// run works plans off until ctx ends or finish is called.
func (e *executor) run(ctx context.Context) {
	ctx, e.stop = context.WithCancel(ctx)
	go func() {
		defer close(e.done)
		e.Run(ctx)
	}()
}

// finish ends the work and waits until the leases are given back, while the store can still be called.
func (e *executor) finish() {
	if e.stop == nil {
		return
	}
	e.stop()
	<-e.done
}
