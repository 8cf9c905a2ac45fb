// Package follow keeps the view in step with the fleet: it is the shell of decide/relay. It polls the
// instance list, reads and watches the configuration, exchanges heartbeats with peers, and tells the path
// of a request whether this instance may send new work.
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

// ConfigKey names the one object that holds the configuration.
var ConfigKey = objects.Key{Kind: "config", Name: "current"}

// Deps are what a Follower works with.
type Deps struct {
	Self              fleet.Instance // PeerAddr is not needed
	Store             objects.Store
	Instances         objects.Instances
	Keeper            *keeper.Keeper
	ListInterval      time.Duration // between reads of the instance list
	HeartbeatInterval time.Duration // between heartbeats to one peer
	Log               hclog.Logger
	// PeerList is told the version of the instance list that a peer went by, not before at. May be nil.
	OnPeerListVersion func(version uint64, at time.Time)
}

// Follower follows the fleet and feeds a Keeper. It is safe for concurrent use.
type Follower struct {
	deps   Deps
	start  time.Time // of the monotonic clock
	server *peer.Server
	client *peer.Client
	guard  *pause.Guard
	calls  sync.WaitGroup
	listen net.Listener

	ready   atomic.Bool
	trusted atomic.Int64 // instant after which no new work may be sent
	lost    atomic.Int64 // instant at which trust ends or ended
	config  atomic.Pointer[relay.Config]
	alien   atomic.Uint64 // version of a configuration that this program can't read; 0: none

	mu    sync.Mutex
	node  *relay.Node                 // guarded by mu
	work  context.Context             // guarded by mu; of the calls, set by Run
	signs []relay.LeavingSign         // guarded by mu
	boots map[fleet.UpstreamID]string // guarded by mu: as the upstreams tell themselves
}

// New gives a Follower that knows nothing yet.
func New(d Deps) (*Follower, error) {
	d.Log = d.Log.Named("follow")
	f := &Follower{deps: d, start: time.Now(), client: peer.NewClient(), boots: map[fleet.UpstreamID]string{}}
	server, err := peer.NewServer(f)
	if err != nil {
		return nil, fmt.Errorf("peers' server: %w", err)
	}
	f.server = server
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	f.node = relay.NewNode(f.now(), relay.NewParams(d.Self, uint64(time.Now().UnixNano()), d.HeartbeatInterval, r))
	f.guard = f.node.Guard()
	f.config.Store(&relay.Config{})
	return f, nil
}

// now is the monotonic clock that the decisions are driven by.
func (f *Follower) now() decide.Instant { return decide.Instant(time.Since(f.start)) }

// Usable gives nil, or why this instance may not send new work now. The path of a request asks it at the
// moment of dispatch: an answer of some time ago is worth nothing after a pause.
func (f *Follower) Usable() error {
	v := f.deps.Keeper.View()
	if alien := f.alien.Load(); alien != 0 {
		return fault.New(fault.NotReady, "configuration version %d is not readable by this program", alien)
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
	if trusted := decide.Instant(f.trusted.Load()); trusted.Before(now) {
		return fault.New(fault.StaleInstance, "heard neither peer nor store since %s", age(now, trusted))
	}
	return nil
}

// regainTime is how long trust that has just ended may take to come back before callers are turned away: a
// heartbeat that waits its interval, fails, and is sent to another peer fits in.
const regainTime = time.Second

// Regaining tells whether an instance that is stale became so within regainTime, after a pause or a failure
// of the network: one exchange makes it usable again. One that stays cut off longer is not regaining.
func (f *Follower) Regaining() bool {
	now := f.now()
	if _, reason := f.guard.Check(now); reason == pause.Paused {
		return true // its end is now
	}
	lost := decide.Instant(f.lost.Load())
	return lost != 0 && now.Sub(lost) < regainTime
}

func age(now, trusted decide.Instant) string {
	if trusted == 0 {
		return "the start or a pause"
	}
	return now.Sub(trusted).Round(time.Millisecond).String() + " past the bound"
}

// Listen binds the peers' listener.
func (f *Follower) Listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	f.listen = l
	return nil
}

// Addr is where peers connect.
func (f *Follower) Addr() string { return f.listen.Addr().String() }

// Close closes the peers' listener of a Follower that was not run.
func (f *Follower) Close() error { return f.listen.Close() }

// Run follows the fleet until ctx ends, and returns when nothing of it runs any more.
func (f *Follower) Run(ctx context.Context) {
	f.mu.Lock()
	f.work = ctx
	f.mu.Unlock()
	f.calls.Go(func() { f.serve(ctx) })
	f.calls.Go(func() { f.pollList(ctx) })
	tick := time.NewTicker(relay.TickInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		f.handle(func(now decide.Instant) []relay.Effect { return f.node.Tick(now) })
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	f.mu.Lock()
	f.work = nil // no call starts any more
	f.mu.Unlock()
	f.calls.Wait()
	f.client.Close()
}

func (f *Follower) serve(ctx context.Context) {
	if err := f.server.Serve(ctx, f.listen); err != nil && ctx.Err() == nil {
		f.deps.Log.Error("peers' listener ended", "error", err)
	}
}

// handle runs one event and carries out its effects. What the path of a request reads is published last:
// trust never comes before the configuration that it vouches for.
func (f *Follower) handle(event func(now decide.Instant) []relay.Effect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if _, reason := f.guard.Check(now); reason == pause.Paused {
		f.forget(now)
	}
	f.carryOut(event(now))
}

// forget ends the published trust at the end of a pause. The node's tick marks the guard before its effects
// are carried out: a request in between would still find the trust of before the pause. mu is held.
func (f *Follower) forget(now decide.Instant) {
	f.trusted.Store(0)
	f.lost.Store(int64(now))
}

// carryOut does the effects in order; mu is held.
func (f *Follower) carryOut(effects []relay.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case relay.ApplyConfig:
			f.putInForce(e.Config)
		case relay.SetLeaving:
			f.signs = e.Signs
			f.applySigns()
		case relay.Event:
			f.log(e)
		default:
			f.call(e)
		}
	}
	f.ready.Store(f.node.Ready())
	trusted := int64(f.node.TrustedUntil())
	f.trusted.Store(trusted)
	if trusted != 0 {
		f.lost.Store(trusted)
	}
}

func (f *Follower) putInForce(c relay.Config) {
	raw, err := peer.Unpack(c.Packed)
	var cfg api.Config
	if err == nil {
		err = api.DecodeStrict(raw, &cfg)
	}
	f.config.Store(&c) // also when it is not readable here: others may be able to
	if err != nil {
		// Working on by the version before would bring work to a domain that this one may take out.
		f.alien.Store(c.Version)
		f.deps.Log.Error("configuration is not readable", "version", c.Version, "error", err)
		return
	}
	f.alien.Store(0)
	if f.deps.Keeper.SetConfig(c.Version, cfg) {
		f.deps.Log.Info("configuration in force", "version", c.Version, "plan", cfg.PlanID,
			"failure_domains_out", len(cfg.DomainsOut))
	}
}

// log writes one line for one event.
func (f *Follower) log(e relay.Event) {
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
	var answer relay.Digest
	f.handle(func(now decide.Instant) []relay.Effect {
		var effects []relay.Effect
		answer, effects = f.node.HeartbeatReceived(now, d)
		return effects
	})
	return answer
}

// Config implements peer.Handler.
func (f *Follower) Config() relay.Config { return *f.config.Load() }

// Accepted takes a configuration whose write by this instance is known to have taken effect.
func (f *Follower) ConfigAccepted(version uint64, raw []byte) {
	packed, err := peer.Pack(raw)
	if err != nil {
		f.deps.Log.Error("configuration is not packed", "version", version, "error", err)
		return
	}
	f.handle(func(now decide.Instant) []relay.Effect {
		return f.node.ConfigAccepted(now, relay.Config{Version: version, Packed: packed})
	})
}

// OnLoad takes an upstream's own answer: its boot, and whether it is leaving.
func (f *Follower) OnLoad(u *fleet.Upstream, boot string, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.boots[u.ID] != boot {
		f.boots[u.ID] = boot
		f.applySigns()
	}
	if leaving {
		f.carryOut(f.node.UpstreamLeaving(f.now(), u.ID, boot))
	}
}

// applySigns hands the upstreams that signs are about to the keeper; mu is held.
func (f *Follower) applySigns() {
	var ids []fleet.UpstreamID
	for _, s := range f.signs { // sorted by upstream
		same := len(ids) > 0 && ids[len(ids)-1] == s.Upstream
		if !same && relay.IsLeaving(f.signs, s.Upstream, f.boots[s.Upstream]) {
			ids = append(ids, s.Upstream)
		}
	}
	f.deps.Keeper.SetLeaving(ids)
}

// InForce tells how many of the instances that this one hears, itself among them, have a configuration
// version in force, and how many those are.
func (f *Follower) CountInForce(version uint64) (have, of int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	have, of = f.node.Members().CountInForce(f.now(), version)
	if f.node.Config().Version >= version {
		have++
	}
	return have, 1 + of
}

// instances gives the entry instances of a list.
func instances(l wire.InstanceList) []fleet.Instance {
	var all []fleet.Instance
	for _, i := range l.Instances {
		if i.Kind == wire.KindEntry && i.Peer != "" {
			all = append(all, fleet.Instance{
				ID: fleet.InstanceID(i.ID), PeerAddr: i.Peer, Domain: fleet.DomainID(i.Domain),
				Region: fleet.RegionID(i.Region), Leaving: i.State == wire.StateLeaving,
			})
		}
	}
	return all
}
