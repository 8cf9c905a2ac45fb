// Package follow keeps the view in step with the platform: it follows the configuration in the object API
// and the instance list.
package follow

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/keeper"
	"github.com/damaskshelf/damaskshelf/internal/platform"
	"github.com/damaskshelf/damaskshelf/internal/platform/wire"
)

// ConfigKey names the one object that holds the configuration.
var ConfigKey = platform.Key{Kind: "config", Name: "current"}

// watchWait is how long one watch call waits for a change.
const watchWait = 10 * time.Second

// Follower feeds a Keeper.
type Follower struct {
	store     platform.Store
	instances platform.Instances
	keeper    *keeper.Keeper
	interval  time.Duration
	log       hclog.Logger
}

// New gives a Follower; interval is the time between reads of the instance list.
func New(store platform.Store, instances platform.Instances, k *keeper.Keeper, interval time.Duration, log hclog.Logger) *Follower {
	return &Follower{store: store, instances: instances, keeper: k, interval: interval, log: log.Named("follow")}
}

// Config follows the configuration until ctx ends.
func (f *Follower) Config(ctx context.Context) {
	var version uint64
	for ctx.Err() == nil {
		l, err := f.store.Watch(ctx, ConfigKey.Kind, version, watchWait)
		if errors.Is(err, platform.ErrTooOld) {
			l, err = f.store.List(ctx, ConfigKey.Kind)
		}
		if err != nil {
			f.log.Warn("configuration watch failed", "error", err)
			sleep(ctx, f.interval)
			continue
		}
		version = max(version, l.Version)
		for _, o := range l.Objects {
			f.take(o)
		}
	}
}

func (f *Follower) take(o wire.Object) {
	if o.Name != ConfigKey.Name {
		return
	}
	var cfg api.Config
	if err := api.DecodeStrict(o.Value, &cfg); err != nil {
		f.log.Error("configuration is not readable", "version", o.Version, "error", fmt.Errorf("decode config: %w", err))
		return
	}
	if f.keeper.SetConfig(o.Version, cfg) {
		f.log.Info("configuration in force", "version", o.Version, "plan", cfg.Plan)
	}
}

// Instances follows the instance list until ctx ends.
func (f *Follower) Instances(ctx context.Context) {
	for ctx.Err() == nil {
		l, err := f.instances.Instances(ctx)
		if err != nil {
			f.log.Warn("instance list not read", "error", err)
		} else {
			f.keeper.SetInstances(l)
		}
		sleep(ctx, f.interval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
