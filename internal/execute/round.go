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

// workAll works on the shards side by side: a silent engine must not hold up the renewal of other shards'
// leases.
func (x *Executor) workAll(ctx context.Context, view *fleet.View, mine []int, stage int) bool {
	r := x.round(view, stage)
	var busy atomic.Bool
	each(x.Config.Concurrency, mine, func(n int) {
		if x.work(ctx, r, x.shards[n]) {
			busy.Store(true)
		}
	})
	return busy.Load()
}

// round is one look at the fleet.
type round struct {
	view   *fleet.View
	stage  int
	models map[string]order.ModelService
	first  map[string]string // by model: the first engine that has to be changed

	byShard map[int][]*fleet.Upstream // engines that take new work
}

func (x *Executor) round(view *fleet.View, stage int) *round {
	r := &round{view: view, stage: stage, byShard: map[int][]*fleet.Upstream{}}
	for _, u := range view.Upstreams {
		if u.Kind == fleet.Engine && u.AcceptsWork() {
			n := ShardOf(string(u.ID))
			r.byShard[n] = append(r.byShard[n], u)
		}
	}
	r.models, r.first = x.job.services(view, x.loaded, stage)
	return r
}

// loaded gives what an engine was last seen to have. Where no version is known, the view's models count
// without one, and so as not yet changed.
func (x *Executor) loaded(u *fleet.Upstream) map[string]string {
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

// each calls f for every item, at most limit at the same time; with a limit of one in this goroutine.
func each[T any](limit int, items []T, f func(T)) {
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
	_ = group.Wait() // f gives no error
}

// owned lists the shards that this instance works on: those with engines whose owner it is.
// The answer is kept until the instance list changes.
func (x *Executor) owned(view *fleet.View) []int {
	if x.listed == view.ListVersion && x.listed != 0 {
		return x.mine
	}
	x.listed, x.mine = view.ListVersion, x.findOwned(view)
	return x.mine
}

func (x *Executor) findOwned(view *fleet.View) []int {
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
	var mine []int
	for n := range ShardCount {
		if used[n] && rendezvous.Owner(shardName(n), members) == string(x.Instance) {
			mine = append(mine, n)
			x.addShard(n)
		}
	}
	return mine
}

func (x *Executor) addShard(n int) {
	if x.shards[n] == nil {
		x.shards[n] = &shard{number: n, lease: lease.New(x.Config.Lease, x.self), engines: map[fleet.UpstreamID]*engine{}}
	}
}
