package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/relay"
	"github.com/damaskshelf/damaskshelf/internal/decide/storebudget"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/peer"
	"github.com/damaskshelf/damaskshelf/internal/wait"
)

const (
	// readTimeout bounds a read of the configuration.
	readTimeout = 2 * time.Second
	// listRowBytes is about the size of one row of the instance list on the wire, and listBytes what an
	// instance spends on reading the list, a second: a larger list is read more rarely.
	listRowBytes = 180
	listBytes    = 12 << 10
)

// call starts a call that an effect asks for; its outcome is an event. The node bounds how many are out:
// one heartbeat a peer, two pulls and a round of bootstrap, one read and one watch. mu is held.
func (f *Follower) call(e relay.Effect) {
	ctx := f.work
	if ctx == nil || ctx.Err() != nil {
		return
	}
	switch e := e.(type) {
	case relay.SendHeartbeat:
		f.calls.Go(func() { f.heartbeat(ctx, e) })
	case relay.PullConfig:
		f.calls.Go(func() { f.pull(ctx, e) })
	case relay.ReadStore:
		f.calls.Go(func() { f.read(ctx, e) })
	case relay.WatchStore:
		f.calls.Go(func() { f.watch(ctx, e) })
	}
}

func (f *Follower) heartbeat(ctx context.Context, e relay.SendHeartbeat) {
	began := time.Now()
	d, err := f.client.Heartbeat(ctx, e.To.PeerAddr, e.Digest)
	switch {
	case err != nil:
		f.deps.Log.Debug("heartbeat failed", "peer", e.To.ID, "error", err)
	case f.deps.OnPeerListVersion != nil:
		f.deps.OnPeerListVersion(d.ListVersion, began)
	}
	f.handle(func(now decide.Instant) []relay.Effect { return f.node.HeartbeatDone(now, e, d, err == nil) })
}

func (f *Follower) pull(ctx context.Context, e relay.PullConfig) {
	c, err := f.client.Pull(ctx, e.From.PeerAddr, e.Above)
	if err != nil {
		f.deps.Log.Debug("pull failed", "peer", e.From.ID, "error", err)
	}
	f.handle(func(now decide.Instant) []relay.Effect { return f.node.PullDone(now, e, c, err == nil) })
}

func (f *Follower) read(ctx context.Context, e relay.ReadStore) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	o, err := f.deps.Store.Get(ctx, ConfigKey)
	c, answer := f.storeAnswer(o, err)
	f.handle(func(now decide.Instant) []relay.Effect { return f.node.ReadDone(now, e, c, answer) })
}

func (f *Follower) watch(ctx context.Context, e relay.WatchStore) {
	l, err := f.deps.Store.Watch(ctx, ConfigKey.Kind, e.Above, e.Wait)
	c, answer := f.watchAnswer(l, err)
	f.handle(func(now decide.Instant) []relay.Effect { return f.node.WatchDone(now, e, c, answer) })
}

func (f *Follower) watchAnswer(l wire.List, err error) (relay.Config, relay.StoreAnswer) {
	if errors.Is(err, objects.ErrTooOld) {
		return relay.Config{}, relay.StoreAbsent // the watcher's own reads find what the watch no longer has
	}
	for _, o := range l.Objects {
		if o.Name == ConfigKey.Name {
			return f.storeAnswer(o, err)
		}
	}
	if err != nil {
		return f.storeAnswer(wire.Object{}, err)
	}
	return relay.Config{}, relay.StoreAbsent
}

func (f *Follower) storeAnswer(o wire.Object, err error) (relay.Config, relay.StoreAnswer) {
	if errors.Is(err, objects.ErrNotFound) {
		return relay.Config{}, relay.StoreAbsent
	}
	if err != nil {
		f.deps.Log.Debug("configuration not read", "error", err)
		return relay.Config{}, relay.StoreFailed
	}
	if o.Version <= f.Config().Version {
		return relay.Config{Version: o.Version}, relay.StoreFound // known: not worth packing
	}
	packed, err := peer.Pack(o.Value)
	if err != nil {
		f.deps.Log.Error("configuration is not packed", "version", o.Version, "error", err)
		return relay.Config{}, relay.StoreFailed
	}
	return relay.Config{Version: o.Version, Packed: packed}, relay.StoreFound
}

// pollList reads the instance list until ctx ends.
func (f *Follower) pollList(ctx context.Context) {
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	failures, known := 0, 1
	for ctx.Err() == nil {
		l, err := f.deps.Instances.Instances(ctx)
		if err != nil {
			failures++
			if failures == 1 {
				f.deps.Log.Warn("instance list lost", "error", err)
			}
			wait.For(ctx, storebudget.Backoff(r, failures, known))
			continue
		}
		if failures > 0 {
			f.deps.Log.Info("instance list back", "version", l.Version)
		}
		failures, known = 0, f.takeList(l)
		wait.For(ctx, storebudget.ReadInterval(len(l.Instances)*listRowBytes, f.deps.ListInterval, listBytes))
	}
}

// takeList gives the number of entry instances.
func (f *Follower) takeList(l wire.InstanceList) int {
	all := instances(l)
	f.deps.Keeper.SetInstances(l)
	f.handle(func(now decide.Instant) []relay.Effect { return f.node.UpdateInstances(now, l.Version, all) })
	f.client.Keep(f.peerAddrs())
	f.forgetBoots(l)
	return len(all)
}

func (f *Follower) peerAddrs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addrs []string
	for _, p := range f.node.Members().Peers() {
		addrs = append(addrs, p.PeerAddr)
	}
	return addrs
}

// forgetBoots drops what is known of upstreams that the list no longer shows.
func (f *Follower) forgetBoots(l wire.InstanceList) {
	listed := make(map[fleet.UpstreamID]bool, len(l.Instances))
	for _, i := range l.Instances {
		listed[fleet.UpstreamID(i.ID)] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.boots {
		if !listed[id] {
			delete(f.boots, id)
		}
	}
}
