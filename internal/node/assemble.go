package node

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/dig"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/entry"
	"github.com/damaskshelf/damaskshelf/internal/entry/again"
	"github.com/damaskshelf/damaskshelf/internal/entry/command"
	"github.com/damaskshelf/damaskshelf/internal/entry/gate"
	"github.com/damaskshelf/damaskshelf/internal/entry/intake"
	"github.com/damaskshelf/damaskshelf/internal/entry/query"
	"github.com/damaskshelf/damaskshelf/internal/execute"
	"github.com/damaskshelf/damaskshelf/internal/explain"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/follow"
	"github.com/damaskshelf/damaskshelf/internal/keeper"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	platformclient "github.com/damaskshelf/damaskshelf/internal/objects/client"
	"github.com/damaskshelf/damaskshelf/internal/observe"
	"github.com/damaskshelf/damaskshelf/internal/route"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
	"github.com/damaskshelf/damaskshelf/internal/warm"
)

// idFunc returns a new unique id for a request or a write.
type idFunc func() string

// assemble registers the constructors of all parts with a container, and calls use with the resolved parts.
func assemble(s api.Settings, o Options, use func(parts)) error {
	c := dig.New()
	providers := []any{
		func() api.Settings { return s },
		func() hclog.Logger { return o.Log.Named(s.Instance) },
		func() idFunc { return o.NewID },
		func() *gate.Gate { return &gate.Gate{} },
		metrics.New,
		explain.New,
		newPlatform,
		newStore,
		newKeeper,
		newLimits,
		newFollower,
		upstream.New,
		newRouter,
		func() execute.Config { return o.Execute },
		execute.NewObservedModels,
		newExecutor,
		newObserver,
		newRetrier,
		newSweeper,
		newQueries,
		newClaims,
		newStoredClaims,
		newCommands,
		newCallers,
		newOperators,
	}
	for _, p := range providers {
		if err := c.Provide(p); err != nil {
			return err
		}
	}
	return c.Invoke(use)
}

// newPlatform returns the client of the platform's object API, instance list and weight store.
func newPlatform(s api.Settings) *platformclient.Client {
	return platformclient.New(platformclient.Addresses{
		Objects: s.Platform.Objects, Instances: s.Platform.Instances, Weights: s.Platform.Weights,
	})
}

// newKeeper returns a keeper whose view is empty until the follower sets a configuration and an instance list.
func newKeeper() *keeper.Keeper { return keeper.New(nil) }

// newRouter returns the router. It dispatches only while the follower has a usable, trusted view of the fleet.
func newRouter(s api.Settings, k *keeper.Keeper, f *follow.Follower, rec *explain.Recorder, m *metrics.Registry,
	c *upstream.Client, l *warm.Limits) *route.Router {
	r := route.New(route.Deps{View: k.View, Explain: rec, Metrics: m, Memory: c, Settings: s, Gate: l})
	r.CheckUsable, r.RegainingTrust = f.Usable, f.Regaining
	return r
}

// newObserver returns the observer of the engines' reports, which go to the router, the keeper, the follower, the limits
// and the executor.
func newObserver(s api.Settings, c *upstream.Client, k *keeper.Keeper, r *route.Router, f *follow.Follower,
	l *warm.Limits, observed *execute.ObservedModels, log hclog.Logger) *observe.Observer {
	reports := sink{Router: r, keeper: k, follower: f, limits: l, observed: observed}
	return observe.New(c, k.View, reports, time.Duration(s.Intervals.LoadReport), log)
}

// requestBounds returns the default and the maximum timeout of a request.
func requestBounds(s api.Settings) intake.Bounds {
	return intake.Bounds{
		DefaultTimeout: time.Duration(s.Limits.DefaultTimeout),
		MaxTimeout:     time.Duration(s.Limits.MaxTimeout),
	}
}

// newQueries returns the handler of callers' requests that change nothing: prompts and reads of plain services.
func newQueries(s api.Settings, r *route.Router, c *upstream.Client, rt *again.Retrier, l *warm.Limits,
	rec *explain.Recorder, m *metrics.Registry, g *gate.Gate, log hclog.Logger, id idFunc) *query.Handler {
	return query.New(query.Deps{
		Router: r, Client: c, Explain: rec, Metrics: m, Gate: g, Log: log, Bounds: requestBounds(s),
		MaxTokens: s.Limits.MaxCompletionTokens, StreamGap: time.Duration(s.Intervals.StreamGap), NewID: id,
		Retrier: rt, Limits: l,
	})
}

// newCommands returns the handler of callers' requests that change something, such as a booking.
func newCommands(s api.Settings, r *route.Router, c *upstream.Client, cl command.Claims, rt *again.Retrier,
	m *metrics.Registry, g *gate.Gate, log hclog.Logger, id idFunc) *command.Handler {
	return command.New(command.Deps{
		Router: r, Client: c, Claims: cl, Metrics: m, Gate: g, Log: log, Bounds: requestBounds(s), NewID: id,
		Retrier: rt,
	})
}

// newCallers returns the server of the callers' listener.
func newCallers(s api.Settings, q *query.Handler, cmd *command.Handler, g *gate.Gate, f *follow.Follower,
	o *observe.Observer, k *keeper.Keeper, m *metrics.Registry, log hclog.Logger, id idFunc) *entry.Server {
	return entry.New(entry.Deps{
		Queries: q, Commands: cmd, Gate: g, Metrics: m, Limits: s.Limits, Log: log, NewID: id,
		Ready: func() error { return readiness(f, o, k) },
	})
}

// readiness returns nil if the instance is ready for requests, or the reason why the balancer should not send any yet.
func readiness(f *follow.Follower, o *observe.Observer, k *keeper.Keeper) error {
	if err := f.Usable(); err != nil {
		return err
	}
	if !o.PolledAll(k.View()) {
		return fault.New(fault.NotReady, "not every engine was asked yet what it serves")
	}
	return nil
}
