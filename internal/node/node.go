// Package node assembles and runs one instance. The daemon, the demo and the tests all use this assembly.
package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"go.uber.org/dig"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/accept"
	"github.com/damaskshelf/damaskshelf/internal/claim"
	"github.com/damaskshelf/damaskshelf/internal/entry"
	"github.com/damaskshelf/damaskshelf/internal/entry/command"
	"github.com/damaskshelf/damaskshelf/internal/entry/gate"
	"github.com/damaskshelf/damaskshelf/internal/entry/query"
	"github.com/damaskshelf/damaskshelf/internal/execute"
	"github.com/damaskshelf/damaskshelf/internal/follow"
	"github.com/damaskshelf/damaskshelf/internal/keeper"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	platformclient "github.com/damaskshelf/damaskshelf/internal/objects/client"
	"github.com/damaskshelf/damaskshelf/internal/observe"
	"github.com/damaskshelf/damaskshelf/internal/route"
	"github.com/damaskshelf/damaskshelf/internal/sweep"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
	"github.com/damaskshelf/damaskshelf/internal/wait"
	"github.com/damaskshelf/damaskshelf/internal/warm"
)

// Node is one instance.
type Node struct {
	parts parts

	workCtx    context.Context // of all background work; it ends when the instance closes
	cancelWork context.CancelFunc
	wg         sync.WaitGroup
	stopOnce   sync.Once
	stopErr    error // result of the first stop
	failure    *accept.Failure
}

// parts are the parts of a Node, as the container resolves them.
type parts struct {
	dig.In

	Settings  api.Settings
	Log       hclog.Logger
	Keeper    *keeper.Keeper
	Follower  *follow.Follower
	Observer  *observe.Observer
	Client    *upstream.Client
	Platform  *platformclient.Client
	Gate      *gate.Gate
	Router    *route.Router
	Sweeper   *sweep.Sweeper
	Queries   *query.Handler
	Commands  *command.Handler
	Claims    *claim.Keeper
	Limits    *warm.Limits
	Callers   *entry.Server
	Operators *operators
	Executor  *executor
	Metrics   *metrics.Registry
}

// Options change the assembly for tests and demonstrations. The zero value logs nothing and uses the defaults.
type Options struct {
	Log   hclog.Logger
	NewID func() string // returns request and write ids; nil: random UUIDs

	Execute execute.Config // durations of the executor; zero values: its defaults
}

// New assembles an instance. It opens no connection and binds no address.
func New(s api.Settings, o Options) (*Node, error) {
	if o.NewID == nil {
		o.NewID = uuid.NewString
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	n := &Node{failure: accept.NewFailure()}
	if err := assemble(s, o, func(p parts) { n.parts = p }); err != nil {
		return nil, fmt.Errorf("assemble instance %s: %w", s.Instance, err)
	}
	n.workCtx, n.cancelWork = context.WithCancel(context.Background())
	return n, nil
}

// Start binds the listeners, starts all background work and serves. The instance becomes ready once a configuration is
// in force.
func (n *Node) Start() error {
	p := n.parts
	if err := p.Follower.Listen(p.Settings.Listen.Peers); err != nil {
		return err
	}
	if err := p.Callers.Listen(p.Settings.Listen.Callers); err != nil {
		return errors.Join(err, p.Follower.Close())
	}
	if err := p.Operators.listen(p.Settings.Listen.Operators); err != nil {
		return errors.Join(err, p.Callers.CloseListener(), p.Follower.Close())
	}
	n.runInBackground(func(context.Context) {
		if err := p.Callers.Serve(); p.Gate.Ready() {
			n.failure.Record("callers", err)
		}
	})
	n.runInBackground(func(context.Context) { p.Operators.serve() })
	n.runInBackground(p.Follower.Run)
	n.runInBackground(p.Observer.Run)
	n.runInBackground(p.Sweeper.Run)
	n.runInBackground(p.Limits.Run)
	n.runInBackground(func(ctx context.Context) { p.Limits.RunWarmUp(ctx, p.Client, warmUpInterval) })
	n.runInBackground(func(ctx context.Context) {
		p.Limits.RunProbes(ctx, p.Client, time.Duration(p.Settings.Intervals.LoadReport))
	})
	n.runInBackground(newClaimSweep(p.Settings, p.Claims, p.Keeper, p.Log))
	p.Executor.run(n.workCtx)
	p.Log.Info("started", "instance", p.Settings.Instance, "region", p.Settings.Region,
		"failure_domain", p.Settings.FailureDomain, "callers", n.CallersAddr(), "operators", n.OperatorsAddr(), "peers", n.PeersAddr())
	return nil
}

// runInBackground starts f in a goroutine that close waits for.
func (n *Node) runInBackground(f func(ctx context.Context)) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f(n.workCtx)
	}()
}

// Failed returns a channel that receives why the instance can't go on to serve. It is then to be stopped.
func (n *Node) Failed() <-chan error { return n.failure.First() }

// CallersAddr returns the address of the callers' listener.
func (n *Node) CallersAddr() string { return n.parts.Callers.Addr() }

// OperatorsAddr returns the address of the operators' listener.
func (n *Node) OperatorsAddr() string { return n.parts.Operators.addr() }

// PeersAddr returns the address of the listener for other instances.
func (n *Node) PeersAddr() string { return n.parts.Follower.Addr() }

// Serves reports whether this instance's view holds at least one engine for every model of the intent.
func (n *Node) Serves(intent api.Intent) bool {
	v := n.parts.Keeper.View()
	for _, m := range intent.Models {
		if len(v.Engines(m.Name)) == 0 {
			return false
		}
	}
	return true
}

// ConfigVersion returns the version of the configuration in force on this instance.
func (n *Node) ConfigVersion() uint64 { return n.parts.Keeper.View().ConfigVersion }

// Reload logs that the settings have changed. All settings of an instance that serves completions need a restart.
func (n *Node) Reload(api.Settings) {
	n.parts.Log.Warn("settings have changed; restart the instance to apply them")
}

// closeTimeout limits the rest of a stop after the last request has ended or was aborted.
const closeTimeout = 5 * time.Second

// Stop stops the instance as planned: it becomes unready, serves on for the balancer's lag, refuses new requests, waits
// for those in flight, and closes. Requests still in flight at the stop timeout end with an explicit error. A second
// call waits for the first one and returns its result.
func (n *Node) Stop() error {
	return n.shutdown(time.Duration(n.parts.Settings.Intervals.BalancerLag))
}

// Kill stops the instance without waiting for the requests in flight; they end with an explicit error.
func (n *Node) Kill() {
	n.Abort()
	_ = n.shutdown(0) // aborted requests are intended here, not an error
}

// Abort ends every request in flight with an explicit error.
func (n *Node) Abort() {
	n.parts.Queries.Abort()
	n.parts.Commands.Abort()
}

// shutdown drains and closes the instance once. Later calls wait for that and return its result.
func (n *Node) shutdown(balancerLag time.Duration) error {
	n.stopOnce.Do(func() {
		n.stopErr = errors.Join(n.drain(balancerLag), n.close())
		n.parts.Log.Info("stopped", "error", n.stopErr)
	})
	return n.stopErr
}

// drain marks the instance unready, serves on for the balancer's lag, then refuses new requests and waits for those in
// flight. At the stop timeout it aborts the rest and returns an error with their number.
func (n *Node) drain(balancerLag time.Duration) error {
	p := n.parts
	stopCtx, cancel := context.WithTimeout(context.Background(), time.Duration(p.Settings.Intervals.StopTimeout))
	defer cancel()
	p.Log.Info("stopping", "in_flight", p.Gate.InFlight())
	p.Gate.MarkUnready()
	wait.For(stopCtx, balancerLag)
	p.Gate.RefuseNew()
	p.Log.Info("refusing new requests", "in_flight", p.Gate.InFlight(), "idle_closed", p.Callers.CloseIdle())
	err := p.Gate.AwaitIdle(stopCtx)
	if err == nil {
		return nil
	}
	aborted := p.Gate.InFlight()
	n.Abort()
	return fmt.Errorf("%d requests cut off at the stop's limit: %w", aborted, err)
}

// close closes the listeners, releases reservations, claims and leases of this instance, and ends the background work.
// The store's client is closed only after claims are flushed and leases released.
func (n *Node) close() error {
	p := n.parts
	closeCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	errs := []error{p.Callers.Shutdown(closeCtx), p.Operators.shutdown(closeCtx)}
	p.Queries.Wait()
	if err := p.Router.AwaitReleases(closeCtx); err != nil {
		errs = append(errs, fmt.Errorf("reservations not released at the stop: %w", err))
	}
	errs = append(errs, p.Claims.Flush(closeCtx))
	p.Claims.Close()
	p.Executor.shutdown()
	n.cancelWork()
	p.Platform.Close() // ends pending watches, which runInBackground's goroutines wait for
	n.wg.Wait()
	p.Client.Close()
	return errors.Join(errs...)
}
