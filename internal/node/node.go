// Package node assembles one entry instance out of its parts and runs it. The daemon, the demo and tests
// all use this assembly.
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

// Node is one entry instance.
type Node struct {
	parts parts

	work context.Context // of everything that runs beside requests
	stop context.CancelFunc
	wg   sync.WaitGroup
	once sync.Once
	err  error // of the stop
}

// parts are what the container resolves for a Node.
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

// Options vary the assembly for tests and demonstrations.
type Options struct {
	Log   hclog.Logger
	NewID func() string // request and write ids; nil: random UUIDs

	Execute execute.Config // times of the executor; zero values: its defaults
}

// New assembles an instance. It opens no connection and binds no address.
func New(s api.Settings, o Options) (*Node, error) {
	if o.NewID == nil {
		o.NewID = uuid.NewString
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	n := &Node{}
	if err := assemble(s, o, func(p parts) { n.parts = p }); err != nil {
		return nil, fmt.Errorf("assemble instance %s: %w", s.Instance, err)
	}
	n.work, n.stop = context.WithCancel(context.Background())
	return n, nil
}

// Start binds the listeners and begins to serve. Readiness follows once a configuration is in force.
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
	n.run(func(context.Context) { p.Callers.Serve() })
	n.run(func(context.Context) { p.Operators.serve() })
	n.run(p.Follower.Run)
	n.run(p.Observer.Run)
	n.run(p.Sweeper.Run)
	n.run(p.Limits.Run)
	n.run(func(ctx context.Context) { p.Limits.WarmUp(ctx, p.Client, warmUpEvery) })
	n.run(func(ctx context.Context) {
		p.Limits.Probe(ctx, p.Client, time.Duration(p.Settings.Intervals.LoadReport))
	})
	n.run(sweepClaims(p.Settings, p.Claims, p.Keeper, p.Log))
	p.Executor.run(n.work)
	p.Log.Info("started", "instance", p.Settings.Instance, "region", p.Settings.Region,
		"failure_domain", p.Settings.FailureDomain, "callers", n.CallersAddr(), "operators", n.OperatorsAddr(), "peers", n.PeersAddr())
	return nil
}

func (n *Node) run(f func(ctx context.Context)) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f(n.work)
	}()
}

// CallersAddr is where callers connect.
func (n *Node) CallersAddr() string { return n.parts.Callers.Addr() }

// OperatorsAddr is where operators connect.
func (n *Node) OperatorsAddr() string { return n.parts.Operators.addr() }

// PeersAddr is where other instances connect.
func (n *Node) PeersAddr() string { return n.parts.Follower.Addr() }

// Serves tells whether this instance sees an engine for every model of the intent.
func (n *Node) Serves(intent api.Intent) bool {
	v := n.parts.Keeper.View()
	for _, m := range intent.Models {
		if len(v.Engines(m.Name)) == 0 {
			return false
		}
	}
	return true
}

// ConfigVersion is the version of the configuration in force on this instance.
func (n *Node) ConfigVersion() uint64 { return n.parts.Keeper.View().ConfigVersion }

// Reload takes changed settings. None of an instance that serves completions comes in force without a restart.
func (n *Node) Reload(api.Settings) {
	n.parts.Log.Warn("settings have changed: restart the instance to put them in force")
}

// closeWait bounds what a stop does once no request is in flight any more, or all were aborted.
const closeWait = 5 * time.Second

// Stop is the planned stop: not ready; serve on for the balancer's lag; refuse new requests; let those in
// flight end in their own time; close. At the stop's limit the rest end with an explicit error. Calling it
// again waits for the first call's end.
func (n *Node) Stop() error {
	return n.stopWithin(time.Duration(n.parts.Settings.Intervals.BalancerLag))
}

// Kill stops without waiting for requests in flight; they end with an explicit error.
func (n *Node) Kill() {
	n.Abort()
	_ = n.stopWithin(0) // what was cut off is what the caller asked for
}

// Abort ends every request in flight with an explicit error.
func (n *Node) Abort() {
	n.parts.Queries.Abort()
	n.parts.Commands.Abort()
}

func (n *Node) stopWithin(lag time.Duration) error {
	n.once.Do(func() {
		n.err = errors.Join(n.drain(lag), n.close())
		n.parts.Log.Info("stopped", "error", n.err)
	})
	return n.err
}

// drain serves on for the balancer's lag and waits for the requests in flight, up to the stop's limit.
func (n *Node) drain(lag time.Duration) error {
	p := n.parts
	limit, cancel := context.WithTimeout(context.Background(), time.Duration(p.Settings.Intervals.StopTimeout))
	defer cancel()
	p.Log.Info("stopping", "in_flight", p.Gate.InFlight())
	p.Gate.MarkUnready()
	wait.For(limit, lag)
	p.Gate.RefuseNew()
	p.Log.Info("refusing new requests", "in_flight", p.Gate.InFlight(), "idle_closed", p.Callers.CloseIdle())
	err := p.Gate.AwaitIdle(limit)
	if err == nil {
		return nil
	}
	cut := p.Gate.InFlight()
	n.Abort()
	return fmt.Errorf("%d requests cut off at the stop's limit: %w", cut, err)
}

// close shuts the listeners, hands back what this instance holds, and ends all that runs beside requests.
func (n *Node) close() error {
	p := n.parts
	limit, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	errs := []error{p.Callers.Shutdown(limit), p.Operators.shutdown(limit)}
	p.Queries.Wait()
	if err := p.Router.AwaitReleases(limit); err != nil {
		errs = append(errs, fmt.Errorf("reservations not released at the stop: %w", err))
	}
	errs = append(errs, p.Claims.Flush(limit))
	p.Claims.Close()
	p.Executor.finish()
	n.stop()
	p.Platform.Close() // ends waiting watches
	n.wg.Wait()
	p.Client.Close()
	return errors.Join(errs...)
}
