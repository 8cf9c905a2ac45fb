// Package routed assembles an instance that forwards routed requests: it follows a metadata store, serves
// callers through the gateway, and answers the balancer's question.
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
	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/entry/gate"
	"github.com/damaskshelf/damaskshelf/internal/explain"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/gateway"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/placement"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
	"github.com/damaskshelf/damaskshelf/internal/wait"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

// Store is a metadata store that can be closed.
type Store interface {
	objects.Store
	Close()
}

// Adapter is what speaks the platform's words.
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
	settings atomic.Pointer[api.Settings] // in force

	work context.Context // of everything that runs beside requests
	stop context.CancelFunc
	wg   sync.WaitGroup
	once sync.Once
	err  error // of the stop
}

type parts struct {
	dig.In

	Settings api.Settings
	Log      hclog.Logger
	Adapter  Adapter
	Follower *watch.Follower
	Gateway  *gateway.Gateway
	Status   *side
	Gate     *gate.Gate
	Client   *upstream.Client
	Placer   *placement.Client
	Budgets  *budgets
}

// Options are what the process gives its instance.
type Options struct {
	Log          hclog.Logger
	DroppedLines func() int // log lines dropped since the start; nil: none are
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
		upstream.New,
		newFollower,
		newBudgets,
		newPlacer,
		newGateway,
		newSide,
	}
	for _, p := range provides {
		if err := c.Provide(p); err != nil {
			return nil, fmt.Errorf("assemble instance %s: %w", s.Instance, err)
		}
	}
	n := &Node{}
	n.settings.Store(&s)
	if err := c.Invoke(func(p parts) { n.parts = p }); err != nil {
		return nil, fmt.Errorf("assemble instance %s: %w", s.Instance, err)
	}
	n.self = catalog.Member{
		ID: fleet.InstanceID(s.Instance), Addr: s.Routed.Listen.Advertised, Incarnation: uint64(time.Now().UnixNano()),
		Domain: fleet.DomainID(s.FailureDomain), CPUShare: s.Routed.CPUShare, LinkMbps: s.Routed.LinkMbps,
	}
	n.work, n.stop = context.WithCancel(context.Background())
	return n, nil
}

func newFollower(s api.Settings, a Adapter, log hclog.Logger) *watch.Follower {
	return watch.New(watch.Deps{
		Store: a.Store, Kinds: a.Kinds, Decoder: a.Decoder, Log: log, ConfigWithin: time.Duration(s.Routed.Store.MaxConfigDelay),
	})
}

func newPlacer(s api.Settings, f *watch.Follower, log hclog.Logger) *placement.Client {
	return placement.NewClient(fleet.InstanceID(s.Instance), fleet.DomainID(s.FailureDomain), f, log)
}

// writeStall ends callers that take nothing for so long; it is above the longest pause that a lossy link
// makes and far below a request's time.
const writeStall = 10 * time.Second

func newGateway(s api.Settings, a Adapter, f *watch.Follower, p *placement.Client, c *upstream.Client, b *budgets, g *gate.Gate,
	rec *explain.Recorder, m *metrics.Registry, log hclog.Logger) *gateway.Gateway {
	l := s.Routed.Limits
	return gateway.New(gateway.Deps{
		Snapshot: f.Snapshot, Untrusted: f.Doubtful, Dialect: a.Dialect, Placer: p, RetryBudget: b, Client: c, Memory: a.Memory(c, p.ObserveAnswer),
		Gate: g, MarkLeaving: p.MarkLeaving, HeldOff: p.HeldOff, ObserveAnswer: p.ObserveAnswer, Explain: rec, Metrics: m, Log: log,
		Limits: gateway.Limits{
			MaxHeaderBytes: l.MaxHeaderBytes, MaxBodyBytes: l.MaxBodyBytes, MaxConnections: l.MaxConnections,
			ReadTimeout: time.Duration(l.ReadTimeout), IdleTimeout: time.Duration(l.IdleTimeout), WriteStall: writeStall,
		},
	})
}

// Start binds the listeners and begins to serve. Readiness follows once a configuration is in force.
func (n *Node) Start() error {
	p := n.parts
	if err := p.Gateway.Listen(p.Settings.Routed.Listen.Callers); err != nil {
		return err
	}
	peers, err := net.Listen("tcp", p.Settings.Routed.Listen.Peers)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	if err := p.Status.listen(p.Settings.Routed.Listen, p.Log); err != nil { // last: what else needs an address goes first
		return err
	}
	n.self.Addr = advertised(n.self.Addr, peers.Addr())
	n.run(func(ctx context.Context) {
		if err := p.Placer.Serve(ctx, peers); err != nil {
			p.Log.Error("peers' listener ended", "error", err)
		}
	})
	n.run(p.Placer.Run)
	n.run(func(context.Context) { p.Gateway.Serve() })
	n.run(func(context.Context) { p.Status.serve() })
	n.run(p.Follower.Run)
	n.run(n.keepMembership)
	p.Log.Info("started", "instance", p.Settings.Instance, "failure_domain", p.Settings.FailureDomain,
		"callers", p.Gateway.Addr(), "incarnation", n.self.Incarnation)
	return nil
}

// advertised gives the address that other instances connect to: where the settings leave the port to the
// system, the one that was given.
func advertised(set string, bound net.Addr) string {
	if a, err := netip.ParseAddrPort(set); err == nil && a.Port() == 0 {
		return bound.String()
	}
	return set
}

func (n *Node) run(f func(ctx context.Context)) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f(n.work)
	}()
}

const (
	// closeMargin is what is left of the grace for closing listeners and connections; of a short grace a quarter.
	closeMargin = 500 * time.Millisecond
	// leaveTimeout bounds the removal of the own entry; peers drop one that stays.
	leaveTimeout = time.Second
)

// Stop is the planned stop: not ready; serve on for the balancer's lag; refuse new requests; let those in
// flight end; close. Calling it again waits for the first call's end.
func (n *Node) Stop() error {
	n.once.Do(func() {
		n.err = n.drain()
		n.parts.Log.Info("stopped", "error", n.err)
	})
	return n.err
}

func (n *Node) drain() error {
	p := n.parts
	stop := n.settings.Load().Routed.Stop
	margin := min(closeMargin, time.Duration(stop.Grace)/4)
	limit, cancel := context.WithTimeout(context.Background(), time.Duration(stop.Grace)-margin)
	defer cancel()
	p.Log.Info("stopping", "in_flight", p.Gate.InFlight())
	p.Gate.MarkUnready()
	n.run(func(context.Context) { n.leave(limit) })
	wait.For(limit, time.Duration(stop.BalancerLag))
	p.Gate.RefuseNew()
	p.Log.Info("refusing new requests", "in_flight", p.Gate.InFlight(), "idle_closed", p.Gateway.CloseIdle())
	err := p.Gate.AwaitIdle(limit)
	closing, done := context.WithTimeout(context.Background(), margin/2)
	defer done()
	err = errors.Join(err, shutAll(closing, p.Gateway.Shutdown, p.Status.shutdown))
	n.stop()
	p.Adapter.Store.Close()
	p.Client.Close()
	return err
}

func (n *Node) leave(limit context.Context) {
	ctx, cancel := context.WithTimeout(limit, leaveTimeout)
	defer cancel()
	if err := watch.Leave(ctx, n.parts.Adapter.Store, n.self); err != nil {
		n.parts.Log.Warn("own entry is left in the store; peers drop it", "error", err)
	}
}

// Reload puts changed settings in force where that is possible while requests run: retries, the times of a
// stop, and the level of the log. Anything else that differs is named in the log and needs a restart.
func (n *Node) Reload(s api.Settings) {
	old := n.settings.Load()
	if s.Routed == nil {
		n.parts.Log.Error("settings have no part 'routed' any more: those in force stay")
		return
	}
	n.parts.Budgets.setRules(s.Routed.Retries)
	n.parts.Log.SetLevel(hclog.LevelFromString(s.LogLevel))
	n.settings.Store(&s)
	fixed := old.Instance != s.Instance || old.FailureDomain != s.FailureDomain || old.Routed.Listen != s.Routed.Listen ||
		old.Routed.Store != s.Routed.Store || old.Routed.Limits != s.Routed.Limits || old.Routed.ReadyPath != s.Routed.ReadyPath
	n.parts.Log.Info("settings reloaded", "retry_ratio", *s.Routed.Retries.Ratio, "retry_slack", *s.Routed.Retries.Slack,
		"grace", time.Duration(s.Routed.Stop.Grace), "log_level", s.LogLevel, "restart_needed", fixed)
}

// Abort ends every request in flight with an explicit error.
func (n *Node) Abort() { n.parts.Gateway.Abort() }

// Dispatcher is the instance that gives places to this one's requests now; empty: none.
func (n *Node) Dispatcher() string { return string(n.parts.Placer.Dispatcher()) }

// Limited is the number of upstreams' limits that the instance believes to be in force.
func (n *Node) LimitsInForce() int { return n.parts.Placer.LimitsInForce() }

// Snapshot is what the instance knows of the fleet now.
func (n *Node) Snapshot() *catalog.Snapshot { return n.parts.Follower.Snapshot() }

// CallersAddr is where callers connect.
func (n *Node) CallersAddr() string { return n.parts.Gateway.Addr() }

// ReadyAddr is where the balancer asks.
func (n *Node) ReadyAddr() string { return n.parts.Status.readyOn.Addr().String() }

// MetricsAddr is where the metrics are served; empty: nowhere.
func (n *Node) MetricsAddr() string {
	if n.parts.Status.metricsOn == nil {
		return ""
	}
	return n.parts.Status.metricsOn.Addr().String()
}
