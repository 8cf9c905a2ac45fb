package execute

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"github.com/damaskshelf/damaskshelf/internal/decide/lease"
	"github.com/damaskshelf/damaskshelf/internal/decide/order"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/rendezvous"
)

// processShards processes the shards concurrently: an unreachable engine must not delay the renewal of other shards'
// leases. It reports whether there is more to do.
func (x *Executor) processShards(ctx context.Context, view *fleet.View, owned []int, stage int) bool {
	r := x.newRound(view, stage)
	var busy atomic.Bool
	forEach(x.Config.Concurrency, owned, func(n int) {
		if x.processShard(ctx, r, x.shards[n]) {
			busy.Store(true)
		}
	})
	return busy.Load()
}

// round holds the state of the fleet that one tick works with.
type round struct {
	view           *fleet.View
	stage          int // of the plan, counted from 1; see job.verifyStage for those after the last
	models         map[string]order.ModelService
	firstDeviating map[string]string // by model: the lowest id of the engines that deviate in it

	enginesByShard map[int][]*fleet.Upstream // engines that accept new work
}

// newRound returns the round of a view, in which the plan is at a stage.
func (x *Executor) newRound(view *fleet.View, stage int) *round {
	r := &round{view: view, stage: stage, enginesByShard: map[int][]*fleet.Upstream{}}
	for _, u := range view.Upstreams {
		if u.Kind == fleet.Engine && u.AcceptsWork() {
			n := ShardOf(string(u.ID))
			r.enginesByShard[n] = append(r.enginesByShard[n], u)
		}
	}
	r.models, r.firstDeviating = x.job.services(view, x.loadedVersions, stage)
	return r
}

// loadedVersions returns the versions of the models that an engine reported last, by model. For an engine that was not
// read yet it returns the view's models with an empty version, so that they count as not yet changed.
func (x *Executor) loadedVersions(u *fleet.Upstream) map[string]string {
	l := make(map[string]string, len(u.Models))
	if x.Observed != nil {
		if loaded, seen := x.Observed.Loaded(u.ID); seen {
			for _, s := range loaded {
				l[s.Model] = s.Version
			}
			return l
		}
	}
	for _, m := range u.Models {
		l[m] = ""
	}
	return l
}

// forEach calls f for each item, at most limit calls at the same time. With a limit of one it calls f in the calling
// goroutine.
func forEach[T any](limit int, items []T, f func(T)) {
	if limit == 1 {
		for _, item := range items {
			f(item)
		}
		return
	}
	var group errgroup.Group
	group.SetLimit(limit)
	for _, item := range items {
		group.Go(func() error {
			f(item)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
}

// owned returns the shards with engines that rendezvous hashing assigns to this instance. The result is cached until
// the instance list changes.
func (x *Executor) owned(view *fleet.View) []int {
	if x.ownedVersion == view.ListVersion && x.ownedVersion != 0 {
		return x.ownedShards
	}
	x.ownedVersion, x.ownedShards = view.ListVersion, x.findOwnedShards(view)
	return x.ownedShards
}

// findOwnedShards computes the shards that this instance owns. Instances that are leaving own none.
func (x *Executor) findOwnedShards(view *fleet.View) []int {
	var members []string
	for _, i := range view.Instances {
		if !i.Leaving {
			members = append(members, string(i.ID))
		}
	}
	used := map[int]bool{}
	for _, u := range view.Upstreams {
		if u.Kind == fleet.Engine {
			used[ShardOf(string(u.ID))] = true
		}
	}
	var owned []int
	for n := range ShardCount {
		if used[n] && rendezvous.Owner(shardName(n), members) == string(x.Instance) {
			owned = append(owned, n)
			x.addShard(n)
		}
	}
	return owned
}

// addShard adds the state of shard n, unless it is there.
func (x *Executor) addShard(n int) {
	if x.shards[n] == nil {
		x.shards[n] = &shard{number: n, lease: lease.New(x.Config.Lease, x.holderID), engines: map[fleet.UpstreamID]*engine{}}
	}
}
