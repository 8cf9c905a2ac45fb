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
	// listRowBytes is the approximate size of one row of the instance list on the wire. listBytesPerSecond is the
	// bandwidth that an instance spends on reading the list, so that a larger list is read less often.
	listRowBytes       = 180
	listBytesPerSecond = 12 << 10
)

// startCall starts a call that an effect requests and passes its result to the node as an event. The node bounds the
// number of calls in flight: one heartbeat per peer, two pulls and a round of bootstrap, one read and one watch. mu is
// held.
func (f *Follower) startCall(e relay.Effect) {
	ctx := f.callCtx
	if ctx == nil || ctx.Err() != nil {
		return
	}
	switch e := e.(type) {
	case relay.SendHeartbeat:
		f.calls.Go(func() { f.sendHeartbeat(ctx, e) })
	case relay.PullConfig:
		f.calls.Go(func() { f.pullConfig(ctx, e) })
	case relay.ReadStore:
		f.calls.Go(func() { f.readConfig(ctx, e) })
	case relay.WatchStore:
		f.calls.Go(func() { f.watchConfig(ctx, e) })
	}
}

// sendHeartbeat sends a heartbeat to a peer and handles the reply.
func (f *Follower) sendHeartbeat(ctx context.Context, e relay.SendHeartbeat) {
	start := time.Now()
	d, err := f.client.Heartbeat(ctx, e.To.PeerAddr, e.Digest)
	switch {
	case err != nil:
		f.deps.Log.Debug("heartbeat failed", "peer", e.To.ID, "error", err)
	case f.deps.OnPeerListVersion != nil:
		f.deps.OnPeerListVersion(d.ListVersion, start)
	}
	f.handleEvent(func(now decide.Instant) []relay.Effect { return f.node.HeartbeatDone(now, e, d, err == nil) })
}

// pullConfig requests a newer configuration from a peer.
func (f *Follower) pullConfig(ctx context.Context, e relay.PullConfig) {
	c, err := f.client.Pull(ctx, e.From.PeerAddr, e.Above)
	if err != nil {
		f.deps.Log.Debug("pull failed", "peer", e.From.ID, "error", err)
	}
	f.handleEvent(func(now decide.Instant) []relay.Effect { return f.node.PullDone(now, e, c, err == nil) })
}

// readConfig reads the configuration from the store.
func (f *Follower) readConfig(ctx context.Context, e relay.ReadStore) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	o, err := f.deps.Store.Get(ctx, ConfigKey)
	c, answer := f.storeAnswer(o, err)
	f.handleEvent(func(now decide.Instant) []relay.Effect { return f.node.ReadDone(now, e, c, answer) })
}

// watchConfig watches the store for a newer configuration.
func (f *Follower) watchConfig(ctx context.Context, e relay.WatchStore) {
	l, err := f.deps.Store.Watch(ctx, ConfigKey.Kind, e.Above, e.Wait)
	c, answer := f.watchAnswer(l, err)
	f.handleEvent(func(now decide.Instant) []relay.Effect { return f.node.WatchDone(now, e, c, answer) })
}

// watchAnswer converts the result of a watch for the node.
func (f *Follower) watchAnswer(l wire.List, err error) (relay.Config, relay.StoreAnswer) {
	if errors.Is(err, objects.ErrTooOld) {
		return relay.Config{}, relay.StoreAbsent // the watcher's regular reads find what the watch no longer has
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

// storeAnswer converts the result of reading the configuration's object for the node. A configuration newer than the
// current one is packed for peers.
func (f *Follower) storeAnswer(o wire.Object, err error) (relay.Config, relay.StoreAnswer) {
	if errors.Is(err, objects.ErrNotFound) {
		return relay.Config{}, relay.StoreAbsent
	}
	if err != nil {
		f.deps.Log.Debug("configuration read failed", "error", err)
		return relay.Config{}, relay.StoreFailed
	}
	if o.Version <= f.Config().Version {
		return relay.Config{Version: o.Version}, relay.StoreFound // not newer, so it isn't packed
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
	failures, instanceCount, logged := 0, 1, uint64(0)
	for ctx.Err() == nil {
		l, err := f.deps.Instances.Instances(ctx)
		if err != nil {
			failures++
			if failures == 1 {
				f.deps.Log.Warn("instance list lost", "error", err)
			}
			wait.For(ctx, storebudget.Backoff(r, failures, instanceCount))
			continue
		}
		if failures > 0 {
			f.deps.Log.Info("instance list back", "version", l.Version)
		}
		if len(l.LeftOut) > 0 && l.Version != logged {
			logged = l.Version
			f.deps.Log.Warn("entries of the instance list can't be decoded", "version", l.Version, "entries", len(l.LeftOut), "error", l.LeftOut[0])
		}
		failures, instanceCount = 0, f.applyList(l)
		wait.For(ctx, storebudget.ReadInterval(len(l.Instances)*listRowBytes, f.deps.ListInterval, listBytesPerSecond))
	}
}

// applyList applies an instance list and returns the number of damaskshelf instances in it.
func (f *Follower) applyList(l wire.InstanceList) int {
	instances := entryInstances(l)
	f.deps.Keeper.SetInstances(l)
	f.handleEvent(func(now decide.Instant) []relay.Effect { return f.node.UpdateInstances(now, l.Version, instances) })
	f.client.CloseExcept(f.peerAddrs())
	f.pruneBootIDs(l)
	return len(instances)
}

// peerAddrs returns the addresses of the current peers.
func (f *Follower) peerAddrs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addrs []string
	for _, p := range f.node.Members().Peers() {
		addrs = append(addrs, p.PeerAddr)
	}
	return addrs
}

// pruneBootIDs removes the boot ids of upstreams that are no longer in the instance list.
func (f *Follower) pruneBootIDs(l wire.InstanceList) {
	listed := make(map[fleet.UpstreamID]bool, len(l.Instances))
	for _, i := range l.Instances {
		listed[fleet.UpstreamID(i.ID)] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.bootIDs {
		if !listed[id] {
			delete(f.bootIDs, id)
		}
	}
}
