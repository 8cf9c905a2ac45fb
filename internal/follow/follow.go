// Package follow keeps the fleet view current. It drives the state machine of decide/relay: it polls the instance list,
// reads and watches the configuration, exchanges heartbeats with peers, and reports to the request path whether this
// instance may send new work.
package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/pause"
	"github.com/damaskshelf/damaskshelf/internal/decide/relay"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/keeper"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/peer"
)

// ConfigKey is the key of the single object that holds the configuration.
var ConfigKey = objects.Key{Kind: "config", Name: "current"}

// Deps holds what a Follower depends on.
type Deps struct {
	Self              fleet.Instance // PeerAddr may be empty
	Store             objects.Store
	Instances         objects.InstanceLister
	Keeper            *keeper.Keeper
	ListInterval      time.Duration // time between reads of the instance list
	HeartbeatInterval time.Duration // time between heartbeats to the same peer
	Log               hclog.Logger
	// OnPeerListVersion is called with the version of the instance list that a peer reported, and the start of the
	// exchange. The peer still used that version at that moment or later. May be nil.
	OnPeerListVersion func(version uint64, at time.Time)
}

// Follower keeps a Keeper current with the fleet's configuration, instance list and leaving upstreams. It is safe for
// concurrent use.
type Follower struct {
	deps     Deps
	start    time.Time // origin of the clock that now returns
	server   *peer.Server
	client   *peer.Client
	guard    *pause.Guard
	calls    sync.WaitGroup // running calls
	listener net.Listener

	ready        atomic.Bool                  // the node has a configuration to serve with
	trustedUntil atomic.Int64                 // instant after which no new work may be sent; 0: not trusted
	trustEnd     atomic.Int64                 // instant at which trust ends or last ended; 0: no trust yet
	config       atomic.Pointer[relay.Config] // the newest one, also if it is unreadable
	unreadable   atomic.Uint64                // version of a configuration that this program can't decode; 0: none

	mu      sync.Mutex
	node    *relay.Node                 // guarded by mu
	callCtx context.Context             // guarded by mu: context of the calls; nil while Run isn't running
	signs   []relay.LeavingSign         // guarded by mu: sorted by upstream
	bootIDs map[fleet.UpstreamID]string // guarded by mu: as reported by the upstreams
}

// New returns a Follower without a configuration or instance list.
func New(d Deps) (*Follower, error) {
	d.Log = d.Log.Named("follow")
	f := &Follower{deps: d, start: time.Now(), client: peer.NewClient(), bootIDs: map[fleet.UpstreamID]string{}}
	server, err := peer.NewServer(f)
	if err != nil {
		return nil, fmt.Errorf("create peer server: %w", err)
	}
	f.server = server
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	f.node = relay.NewNode(f.now(), relay.NewParams(d.Self, uint64(time.Now().UnixNano()), d.HeartbeatInterval, r))
	f.guard = f.node.Guard()
	f.config.Store(&relay.Config{})
	return f, nil
}

// now returns the monotonic time since the Follower was created.
func (f *Follower) now() decide.Instant { return decide.Instant(time.Since(f.start)) }

// Usable returns nil if this instance may send new work now, and otherwise an error that states why not. The request
// path must call it at the moment of dispatch, because an earlier result is not valid after a pause.
func (f *Follower) Usable() error {
	v := f.deps.Keeper.View()
	if version := f.unreadable.Load(); version != 0 {
		return fault.New(fault.NotReady, "configuration version %d is not readable by this program", version)
	}
	if !f.ready.Load() || v.ConfigVersion == 0 {
		return fault.New(fault.NotReady, "no configuration yet")
	}
	if v.ListVersion == 0 {
		return fault.New(fault.NotReady, "no instance list yet")
	}
	now := f.now()
	if gap, reason := f.guard.Check(now); reason == pause.Paused {
		return fault.New(fault.StaleInstance, "paused for %s", gap.Round(time.Millisecond))
	}
	if trustedUntil := decide.Instant(f.trustedUntil.Load()); trustedUntil.Before(now) {
		return fault.New(fault.StaleInstance, "heard neither peer nor store since %s", describeUntrusted(now, trustedUntil))
	}
	return nil
}

// regainTimeout is how long after the end of its trust an instance lets requests wait instead of rejecting them. A
// heartbeat that waits for its interval, fails and is sent again to another peer fits in.
const regainTimeout = time.Second

// Regaining reports whether an instance that isn't trusted lost its trust less than regainTimeout ago, after a pause or
// a network failure, so that one exchange makes it usable again. An instance that stays isolated for longer isn't
// regaining trust.
func (f *Follower) Regaining() bool {
	now := f.now()
	if _, reason := f.guard.Check(now); reason == pause.Paused {
		return true // the pause ends now
	}
	trustEnd := decide.Instant(f.trustEnd.Load())
	return trustEnd != 0 && now.Sub(trustEnd) < regainTimeout
}

// describeUntrusted returns the part of an error message that states since when the instance has been without trust.
func describeUntrusted(now, trustedUntil decide.Instant) string {
	if trustedUntil == 0 {
		return "the start or a pause"
	}
	return now.Sub(trustedUntil).Round(time.Millisecond).String() + " past the bound"
}

// Listen opens the listener for peers.
func (f *Follower) Listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	f.listener = l
	return nil
}

// Addr returns the address of the listener for peers.
func (f *Follower) Addr() string { return f.listener.Addr().String() }

// Close closes the listener of a Follower that was not run.
func (f *Follower) Close() error { return f.listener.Close() }

// Run keeps the Keeper current until ctx ends. It returns once all calls and goroutines that it started have ended.
func (f *Follower) Run(ctx context.Context) {
	f.mu.Lock()
	f.callCtx = ctx
	f.mu.Unlock()
	f.calls.Go(func() { f.serve(ctx) })
	f.calls.Go(func() { f.pollList(ctx) })
	tick := time.NewTicker(relay.TickInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		f.handleEvent(func(now decide.Instant) []relay.Effect { return f.node.Tick(now) })
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	f.mu.Lock()
	f.callCtx = nil // no call starts after this
	f.mu.Unlock()
	f.calls.Wait()
	f.client.Close()
}

// serve serves peers until ctx ends.
func (f *Follower) serve(ctx context.Context) {
	if err := f.server.Serve(ctx, f.listener); err != nil && ctx.Err() == nil {
		f.deps.Log.Error("peers' listener ended", "error", err)
	}
}

// handleEvent passes one event to the node and applies the resulting effects. The state that the request path reads is
// published last, so that the instance is never trusted before the configuration that this trust refers to is in force.
func (f *Follower) handleEvent(event func(now decide.Instant) []relay.Effect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if _, reason := f.guard.Check(now); reason == pause.Paused {
		f.endTrust(now)
	}
	f.applyEffects(event(now))
}

// endTrust ends the published trust when the process resumes from a pause. The node's tick updates the guard before the
// effects are applied, so a request in between would otherwise find the trust from before the pause. mu is held.
func (f *Follower) endTrust(now decide.Instant) {
	f.trustedUntil.Store(0)
	f.trustEnd.Store(int64(now))
}

// applyEffects applies effects in order and then publishes readiness and trust. mu is held.
func (f *Follower) applyEffects(effects []relay.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case relay.ApplyConfig:
			f.applyConfig(e.Config)
		case relay.SetLeaving:
			f.signs = e.Signs
			f.applySigns()
		case relay.Event:
			f.logEvent(e)
		default:
			f.startCall(e)
		}
	}
	f.ready.Store(f.node.Ready())
	trustedUntil := int64(f.node.TrustedUntil())
	f.trustedUntil.Store(trustedUntil)
	if trustedUntil != 0 {
		f.trustEnd.Store(trustedUntil)
	}
}

// applyConfig decodes a configuration and puts it in force. If it can't be decoded, the instance isn't usable until a
// readable one arrives. mu is held.
func (f *Follower) applyConfig(c relay.Config) {
	raw, err := peer.Unpack(c.Packed)
	var cfg api.Config
	if err == nil {
		err = api.DecodeStrict(raw, &cfg)
	}
	f.config.Store(&c) // even if it is unreadable here, because peers may be able to read it
	if err != nil {
		// To continue with the previous version could send work to a failure domain that this version takes out
		// of service.
		f.unreadable.Store(c.Version)
		f.deps.Log.Error("configuration is not readable", "version", c.Version, "error", err)
		return
	}
	f.unreadable.Store(0)
	if f.deps.Keeper.SetConfig(c.Version, cfg) {
		f.deps.Log.Info("configuration in force", "version", c.Version, "plan", cfg.PlanID,
			"failure_domains_out", len(cfg.DomainsOut))
	}
}

// logEvent logs an event of the node.
func (f *Follower) logEvent(e relay.Event) {
	pairs := []any{"reason", e.Reason}
	if e.Peer != "" {
		pairs = append(pairs, "peer", e.Peer)
	}
	if e.Version != 0 {
		pairs = append(pairs, "version", e.Version)
	}
	if e.Gap != 0 {
		pairs = append(pairs, "gap", e.Gap)
	}
	if e.Sign.Upstream != "" {
		pairs = append(pairs, "upstream", e.Sign.Upstream, "boot", e.Sign.Boot, "age", e.Sign.Age)
	}
	switch e.Reason {
	case relay.TrustEnded, relay.StoreLost, relay.BootstrapFailed, pause.Paused:
		f.deps.Log.Warn("fleet", pairs...)
	default:
		f.deps.Log.Info("fleet", pairs...)
	}
}

// Heartbeat implements peer.Handler.
func (f *Follower) Heartbeat(d relay.Digest) relay.Digest {
	var reply relay.Digest
	f.handleEvent(func(now decide.Instant) []relay.Effect {
		var effects []relay.Effect
		reply, effects = f.node.HeartbeatReceived(now, d)
		return effects
	})
	return reply
}

// Config implements peer.Handler.
func (f *Follower) Config() relay.Config { return *f.config.Load() }

// ConfigAccepted applies a configuration that this instance has successfully written to the store.
func (f *Follower) ConfigAccepted(version uint64, raw []byte) {
	packed, err := peer.Pack(raw)
	if err != nil {
		f.deps.Log.Error("configuration is not packed", "version", version, "error", err)
		return
	}
	f.handleEvent(func(now decide.Instant) []relay.Effect {
		return f.node.ConfigAccepted(now, relay.Config{Version: version, Packed: packed})
	})
}

// OnLoad applies what an upstream reports in its own answer: its boot id, and whether it is leaving.
func (f *Follower) OnLoad(u *fleet.Upstream, boot string, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.bootIDs[u.ID] != boot {
		f.bootIDs[u.ID] = boot
		f.applySigns()
	}
	if leaving {
		f.applyEffects(f.node.UpstreamLeaving(f.now(), u.ID, boot))
	}
}

// applySigns passes the upstreams to which a leaving sign applies to the Keeper. mu is held.
func (f *Follower) applySigns() {
	var ids []fleet.UpstreamID
	for _, s := range f.signs { // sorted by upstream
		same := len(ids) > 0 && ids[len(ids)-1] == s.Upstream
		if !same && relay.IsLeaving(f.signs, s.Upstream, f.bootIDs[s.Upstream]) {
			ids = append(ids, s.Upstream)
		}
	}
	f.deps.Keeper.SetLeaving(ids)
}

// CountInForce returns how many instances have a configuration version in force, and how many instances are counted in
// total. It counts this instance and those that it is in contact with.
func (f *Follower) CountInForce(version uint64) (count, total int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	count, total = f.node.Members().CountInForce(f.now(), version)
	if f.node.Config().Version >= version {
		count++
	}
	return count, 1 + total
}

// entryInstances returns the damaskshelf instances in an instance list.
func entryInstances(l wire.InstanceList) []fleet.Instance {
	var instances []fleet.Instance
	for _, i := range l.Instances {
		if i.Kind == wire.KindEntry && i.PeerAddr != "" {
			instances = append(instances, fleet.Instance{
				ID: fleet.InstanceID(i.ID), PeerAddr: i.PeerAddr, Domain: fleet.DomainID(i.Domain),
				Region: fleet.RegionID(i.Region), Leaving: i.State == wire.StateLeaving,
			})
		}
	}
	return instances
}
