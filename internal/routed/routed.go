// Package routed assembles an instance that forwards routed requests. The instance follows a metadata store, serves
// callers through the gateway, and answers the readiness probes of the load balancer.
package routed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/dig"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/accept"
	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/crash"
	"github.com/damaskshelf/damaskshelf/internal/entry/gate"
	"github.com/damaskshelf/damaskshelf/internal/explain"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/gateway"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/placement"
	"github.com/damaskshelf/damaskshelf/internal/tunnel"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
	"github.com/damaskshelf/damaskshelf/internal/wait"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

// Store is a metadata store that can be closed.
type Store interface {
	objects.Store
	Close()
}

// Adapter holds the platform's implementations of the metadata store, its objects and the protocol of its requests.
type Adapter struct {
	Store   Store
	Kinds   watch.Kinds
	Decoder watch.Decoder
	Dialect gateway.Dialect
	Memory  func(*upstream.Client, gateway.AnswerObserver) gateway.Memory
}

// Node is one instance.
type Node struct {
	parts    parts
	self     catalog.Member
	settings atomic.Pointer[api.Settings] // the current settings

	background     context.Context // ends the goroutines of runInBackground
	stopBackground context.CancelFunc
	wg             sync.WaitGroup
	stopOnce       sync.Once
	stopErr        error // result of the stop
	failure        *accept.Failure
}

// parts are the components that the container assembles.
type parts struct {
	dig.In

	Settings api.Settings
	Log      hclog.Logger
	Adapter  Adapter
	Follower *watch.Follower
	Gateway  *gateway.Gateway
	Status   *statusServer
	Gate     *gate.Gate
	Client   *upstream.Client
	Placer   *placement.Client
	Tunnels  *tunnel.Server
	Budgets  *budgets
}

// Options are the parts of an instance that the process provides.
type Options struct {
	Log          hclog.Logger
	DroppedLines func() int      // number of log lines dropped since the start; nil: none are
	DialUpstream upstream.Dialer // connects to upstreams directly; nil: over TCP
}

// New assembles an instance. It opens no connection and binds no address.
func New(s api.Settings, a Adapter, o Options) (*Node, error) {
	c := dig.New()
	provides := []any{
		func() api.Settings { return s },
		func() Adapter { return a },
		func() hclog.Logger { return o.Log.Named(s.Instance) },
		func() Options { return o },
		func() *gate.Gate { return &gate.Gate{} },
		metrics.New,
		explain.New,
		newTunnels,
		newTunnelServer,
		newUpstreamClient,
		newFollower,
		newBudgets,
		newPlacer,
		newGateway,
		newStatusServer,
	}
	for _, p := range provides {
		if err := c.Provide(p); err != nil {
			return nil, fmt.Errorf("assemble instance %s: %w", s.Instance, err)
		}
	}
	n := &Node{failure: accept.NewFailure()}
	n.settings.Store(&s)
	if err := c.Invoke(func(p parts) { n.parts = p }); err != nil {
		return nil, fmt.Errorf("assemble instance %s: %w", s.Instance, err)
	}
	n.self = catalog.Member{
		ID: fleet.InstanceID(s.Instance), Addr: s.Routed.Listen.Advertised, Incarnation: uint64(time.Now().UnixNano()),
		Domain: fleet.DomainID(s.FailureDomain), CPUShare: s.Routed.CPUShare, LinkMbps: s.Routed.LinkMbps,
	}
	n.background, n.stopBackground = context.WithCancel(context.Background())
	return n, nil
}

// newTunnels returns the client that connects to upstreams through other instances.
func newTunnels(s api.Settings, f *watch.Follower, m *metrics.Registry) *tunnel.Client {
	regions := map[fleet.DomainID]fleet.RegionID{}
	for domain, region := range s.Routed.Regions {
		regions[fleet.DomainID(domain)] = fleet.RegionID(region)
	}
	return tunnel.NewClient(tunnel.ClientDeps{
		Self: fleet.InstanceID(s.Instance), Domain: fleet.DomainID(s.FailureDomain), Regions: regions, Snapshot: f.Snapshot, Metrics: m,
	})
}

// newUpstreamClient returns the client for the calls to upstreams.
func newUpstreamClient(o Options, tunnels *tunnel.Client, m *metrics.Registry, log hclog.Logger) *upstream.Client {
	return upstream.NewWithOptions(upstream.Options{Dial: o.DialUpstream, Bypass: tunnels, Log: log, Metrics: m})
}

// newTunnelServer returns the server that connects to upstreams for other instances.
func newTunnelServer(s api.Settings, f *watch.Follower, p *placement.Client, c *upstream.Client, g *gate.Gate, m *metrics.Registry) *tunnel.Server {
	return tunnel.NewServer(tunnel.ServerDeps{
		Snapshot: f.Snapshot, Untrusted: f.Untrusted, HeldOff: p.HeldOff, Client: c, Gate: g, Max: maxTunnels(s.Routed.Limits), Metrics: m,
		CallerStall: writeStallTimeout,
	})
}

// newFollower returns the follower of the platform's store.
func newFollower(s api.Settings, a Adapter, log hclog.Logger) *watch.Follower {
	return watch.New(watch.Deps{
		Store: a.Store, Kinds: a.Kinds, Decoder: a.Decoder, Log: log, ConfigWithin: time.Duration(s.Routed.Store.MaxConfigDelay),
	})
}

// newPlacer returns the client that places this instance's requests through the dispatcher.
func newPlacer(s api.Settings, f *watch.Follower, m *metrics.Registry, log hclog.Logger) *placement.Client {
	p := placement.NewClient(fleet.InstanceID(s.Instance), fleet.DomainID(s.FailureDomain), f, log)
	p.SetMetrics(m)
	p.SetOverload(s.Routed.Overload)
	return p
}

// writeStallTimeout is how long a caller may accept no data before its connection is closed. It is above the longest
// pause that a lossy link causes and far below the time of a request.
const writeStallTimeout = 10 * time.Second

// newGateway returns the gateway with the limits of the settings.
func newGateway(s api.Settings, a Adapter, f *watch.Follower, p *placement.Client, c *upstream.Client, b *budgets, g *gate.Gate,
	rec *explain.Recorder, m *metrics.Registry, log hclog.Logger) *gateway.Gateway {
	l := s.Routed.Limits
	return gateway.New(gateway.Deps{
		Snapshot: f.Snapshot, Untrusted: f.Untrusted, Dialect: a.Dialect, Placer: p, RetryBudget: b, Client: c, Memory: a.Memory(c, p.ObserveAnswer),
		Gate: g, MarkLeaving: p.MarkLeaving, HeldOff: p.HeldOff, ObserveAnswer: p.ObserveAnswer, Explain: rec, Metrics: m, Log: log,
		Limits: gateway.Limits{
			MaxHeaderBytes: l.MaxHeaderBytes, MaxBodyBytes: l.MaxBodyBytes, MaxConnections: maxCallerConns(l),
			MaxHeldBytes: int64(l.MaxHeldBytes),
			ReadTimeout:  time.Duration(l.ReadTimeout), IdleTimeout: time.Duration(l.IdleTimeout), WriteStall: writeStallTimeout,
		},
	})
}

// Start binds the listeners and starts to serve. The instance reports that it is ready once a configuration is in
// force.
func (n *Node) Start() error {
	p := n.parts
	if err := p.Gateway.Listen(p.Settings.Routed.Listen.Callers); err != nil {
		return err
	}
	peers, err := net.Listen("tcp", p.Settings.Routed.Listen.Peers)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	// Last, so that the other listeners get their addresses first.
	if err := p.Status.listen(p.Settings.Routed.Listen, p.Log); err != nil {
		return err
	}
	n.self.Addr = advertisedAddr(n.self.Addr, peers.Addr())
	n.serveInBackground("instances", func(ctx context.Context) error {
		return p.Placer.Serve(ctx, accept.Retrying(peers, "instances", p.Log), maxPeerConns(p.Settings.Routed.Limits), p.Tunnels.Register)
	})
	n.runInBackground("placement", p.Placer.Run)
	n.runInBackground("probes of paths", func(ctx context.Context) { p.Client.ProbePaths(ctx, n.isUpstream) })
	n.serveInBackground("callers", func(context.Context) error { return p.Gateway.Serve() })
	n.serveInBackground("balancer", func(context.Context) error { return p.Status.serveReady() })
	n.runInBackground("metrics", func(context.Context) { p.Status.serveMetrics() })
	n.runInBackground("watch", p.Follower.Run)
	n.runInBackground("membership", n.keepMembership)
	n.runInBackground("memory", n.watchMemory)
	p.Log.Info("started", "instance", p.Settings.Instance, "failure_domain", p.Settings.FailureDomain,
		"callers", p.Gateway.Addr(), "incarnation", n.self.Incarnation)
	return nil
}

// isUpstream reports whether an upstream has an address.
func (n *Node) isUpstream(addr string) bool {
	return n.parts.Follower.Snapshot().UpstreamByAddr(addr) != nil
}

// advertisedAddr returns the address that other instances connect to. If the configured port is 0, which lets the
// system choose one, it returns the address that was bound.
func advertisedAddr(configured string, bound net.Addr) string {
	if a, err := netip.ParseAddrPort(configured); err == nil && a.Port() == 0 {
		return bound.String()
	}
	return configured
}

// runInBackground calls f in a goroutine, with a context that ends when the instance has drained. If f panics, the panic
// is reported under the goroutine's name.
func (n *Node) runInBackground(name string, f func(ctx context.Context)) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		defer crash.Report(name)
		f(n.background)
	}()
}

// serveInBackground calls serve, which accepts connections of the named others, in a goroutine. If it returns before the
// instance stops, the instance has failed.
func (n *Node) serveInBackground(name string, serve func(ctx context.Context) error) {
	n.runInBackground("listener for "+name, func(ctx context.Context) {
		err := serve(ctx)
		if n.parts.Gate.Ready() {
			n.failure.Record(name, err)
		}
	})
}

// Failed returns a channel that receives why the instance can't go on to serve. It is then to be stopped.
func (n *Node) Failed() <-chan error { return n.failure.First() }

const (
	// closeMargin is the part of the grace period that is reserved for closing listeners and connections. Of a short
	// grace period, a quarter is reserved.
	closeMargin = 500 * time.Millisecond
	// leaveTimeout bounds the removal of this instance's entry. The dispatcher removes an entry that stays.
	leaveTimeout = time.Second
)

// Stop shuts the instance down in steps. It reports that the instance is not ready, continues to serve for the load
// balancer's lag, refuses new requests, waits for those in flight, and closes all connections. Further calls wait for
// the first one and return its error.
func (n *Node) Stop() error {
	n.stopOnce.Do(func() {
		n.stopErr = n.drain()
		n.parts.Log.Info("stopped", "error", n.stopErr)
	})
	return n.stopErr
}

// drain performs the steps of Stop within the grace period.
func (n *Node) drain() error {
	p := n.parts
	stopSettings := n.settings.Load().Routed.Stop
	margin := min(closeMargin, time.Duration(stopSettings.Grace)/4)
	end := time.Now().Add(time.Duration(stopSettings.Grace) - margin)
	drainCtx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	p.Log.Info("stopping", "in_flight", p.Gate.InFlight())
	p.Gate.MarkUnready()
	p.Placer.SetEnd(end)
	n.runInBackground("leaving", func(context.Context) { n.leave(drainCtx) })
	wait.For(drainCtx, time.Duration(stopSettings.BalancerLag))
	p.Gate.RefuseNew()
	p.Log.Info("refusing new requests", "in_flight", p.Gate.InFlight(), "idle_closed", p.Gateway.CloseIdle())
	err := n.awaitAnswered(drainCtx)
	closeTimeout := margin / 2
	if err != nil {
		n.endPending(margin / 2)
		closeTimeout = margin / 4
	}
	closeCtx, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClose()
	err = errors.Join(err, shutdownAll(closeCtx, p.Gateway.Shutdown, p.Status.shutdown))
	n.stopBackground()
	p.Adapter.Store.Close()
	p.Client.Close()
	return err
}

// readPollInterval is how often a stop checks whether callers are still sending requests.
const readPollInterval = 5 * time.Millisecond

// awaitAnswered waits until no request is in flight and none is being sent. It returns ctx's error if ctx ends before. A request
// that is being sent is refused once it is complete; the read timeout bounds how long that takes.
func (n *Node) awaitAnswered(ctx context.Context) error {
	for {
		if err := n.parts.Gate.AwaitIdle(ctx); err != nil {
			return err
		}
		for n.parts.Gateway.Reading() > 0 {
			if !wait.For(ctx, readPollInterval) {
				return ctx.Err()
			}
		}
		if n.parts.Gate.InFlight() == 0 {
			return nil
		}
	}
}

// endPending ends the requests that are in flight at the end of the grace period, and waits until their error answers have
// left the instance.
func (n *Node) endPending(timeout time.Duration) {
	n.logPending()
	n.Abort()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := n.parts.Gate.AwaitIdle(ctx); err != nil {
		n.parts.Log.Warn("answers have not left the instance", "in_flight", n.parts.Gate.InFlight(), "error", err)
	}
}

// logPending logs the answers that haven't left the instance, and how many requests are still being sent.
func (n *Node) logPending() {
	if reading := n.parts.Gateway.Reading(); reading > 0 {
		n.parts.Log.Warn("callers are still sending requests at the end of the stop", "requests", reading)
	}
	for _, a := range n.parts.Gateway.Pending() {
		lastEventMs := int64(-1) // none
		if !a.LastEvent.IsZero() {
			lastEventMs = time.Since(a.LastEvent).Milliseconds()
		}
		n.parts.Log.Warn("answer cut off by the end of the stop", "request", a.Request, "took_ms", time.Since(a.Began).Milliseconds(),
			"written_bytes", a.WrittenBytes, "body_bytes", a.BodyBytes, "stage", a.Stage, "stage_ms", time.Since(a.Since).Milliseconds(),
			"upstream", a.Upstream, "attempts_before", a.Attempts, "last_event_ms", lastEventMs)
	}
}

// leave removes this instance's entry from the store.
func (n *Node) leave(parent context.Context) {
	ctx, cancel := context.WithTimeout(parent, leaveTimeout)
	defer cancel()
	if err := watch.Leave(ctx, n.parts.Adapter.Store, n.self); err != nil {
		n.parts.Log.Warn("entry of this instance was not removed from the store; the dispatcher removes it", "error", err)
	}
}

// Reload applies those settings that can change while requests run: the retry rules, the times of a stop and the log
// level. It logs whether a difference in the instance's names, listeners, store, limits or ready path needs a restart.
func (n *Node) Reload(s api.Settings) {
	old := n.settings.Load()
	if s.Routed == nil {
		n.parts.Log.Error("new settings have no part 'routed'; the current settings stay in force")
		return
	}
	n.parts.Budgets.setRules(s.Routed.Retries)
	n.parts.Placer.SetOverload(s.Routed.Overload)
	n.parts.Log.SetLevel(hclog.LevelFromString(s.LogLevel))
	n.settings.Store(&s)
	restartNeeded := old.Instance != s.Instance || old.FailureDomain != s.FailureDomain ||
		old.Routed.Listen != s.Routed.Listen ||
		old.Routed.Store != s.Routed.Store || old.Routed.Limits != s.Routed.Limits ||
		old.Routed.ReadyPath != s.Routed.ReadyPath
	n.parts.Log.Info("settings reloaded", "retry_ratio", *s.Routed.Retries.Ratio, "retry_slack", *s.Routed.Retries.Slack,
		"admission", s.Routed.Overload.Admission, "grace", time.Duration(s.Routed.Stop.Grace), "log_level", s.LogLevel, "restart_needed", restartNeeded)
}

// Abort ends every request in flight with an explicit error.
func (n *Node) Abort() { n.parts.Gateway.Abort() }

// Dispatcher returns the id of the instance that places this instance's requests now, or "" if there is none.
func (n *Node) Dispatcher() string { return string(n.parts.Placer.Dispatcher()) }

// LimitsInForce returns the number of upstreams' rate limits that this instance treats as in force.
func (n *Node) LimitsInForce() int { return n.parts.Placer.LimitsInForce() }

// VerdictsInForce returns the number of verdicts by which this instance holds requests back.
func (n *Node) VerdictsInForce() int { return n.parts.Placer.VerdictsInForce() }

// Snapshot returns the instance's current snapshot of the fleet.
func (n *Node) Snapshot() *catalog.Snapshot { return n.parts.Follower.Snapshot() }

// CallersAddr returns the address that callers connect to.
func (n *Node) CallersAddr() string { return n.parts.Gateway.Addr() }

// ReadyAddr returns the address of the readiness probe.
func (n *Node) ReadyAddr() string { return n.parts.Status.readyListener.Addr().String() }

// MetricsAddr returns the address that the metrics are served on, or "" if they are not served.
func (n *Node) MetricsAddr() string {
	if n.parts.Status.metricsListener == nil {
		return ""
	}
	return n.parts.Status.metricsListener.Addr().String()
}
