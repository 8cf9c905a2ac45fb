// Package route chooses the upstream of a request. It runs the decisions on admission, engines, lanes, limits and
// reservations that packages below internal/decide make, and does their input and output.
//
// A prompt that needn't wait is decided from the published view and atomic counters alone. A prompt that waits, or that
// is restricted to the long lanes, goes through its model's queues under a mutex.
package route

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/decide/limit"
	"github.com/damaskshelf/damaskshelf/internal/decide/pick"
	"github.com/damaskshelf/damaskshelf/internal/explain"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
	"github.com/damaskshelf/damaskshelf/internal/wait"
)

// regainPollInterval is the time between two checks whether the instance is usable again.
const regainPollInterval = 10 * time.Millisecond

// Memory reserves and releases memory on engines. upstream.Client implements it.
type Memory interface {
	Reserve(ctx context.Context, addr string, r wire.Reservation) error
	Release(ctx context.Context, addr, id string) error
}

// Deps are the dependencies of a Router.
type Deps struct {
	View     func() *fleet.View
	Explain  *explain.Recorder
	Metrics  *metrics.Registry
	Memory   Memory
	Settings api.Settings
	Gate     Gate // nil: upstreams have no limits
}

// Router chooses upstreams. It is safe for concurrent use.
type Router struct {
	// CheckUsable returns an error if this instance may not dispatch new work now. If it is nil, the instance always
	// may. For a prompt it is called right before the grant, because the prompt may have been queued for some time.
	CheckUsable func() error
	// RegainingTrust reports whether an instance that isn't usable is likely to be usable again shortly. If it is nil,
	// the instance never is.
	RegainingTrust func() bool

	view    func() *fleet.View
	explain *explain.Recorder
	meter   *meter
	memory  Memory
	gate    Gate
	profile pick.Profile
	limits  api.Limits
	self    holder
	start   time.Time

	currentState atomic.Pointer[routingState]
	loads        sync.Map       // fleet.UpstreamID to *load
	engines      sync.Map       // fleet.UpstreamID to *pick.Engine
	models       sync.Map       // string to *model
	workspaces   sync.Map       // fleet.WorkspaceID to *limit.InFlight
	unreleased   sync.WaitGroup // requests whose reservations are not all released
}

// New returns a Router that reads the published view.
func New(d Deps) *Router {
	r := &Router{
		view: d.View, explain: d.Explain, meter: newMeter(d.Metrics), memory: d.Memory, gate: d.Gate,
		profile: pick.ProfileOf(d.Settings.Profile), limits: d.Settings.Limits, start: time.Now(),
		self: holder{instance: d.Settings.Instance, incarnation: uuid.NewString()},
	}
	if r.gate == nil {
		r.gate = unlimitedGate{}
	}
	return r
}

// Incarnation returns the id of this run of the instance's process, as its reservations hold it.
func (r *Router) Incarnation() string { return r.self.incarnation }

// AwaitReleases waits until all reservations are released. It returns the error of ctx if ctx ends first.
func (r *Router) AwaitReleases(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		r.unreleased.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// checkUsable returns an error if this instance may not dispatch new work now.
func (r *Router) checkUsable() error {
	if r.CheckUsable == nil {
		return nil
	}
	return r.CheckUsable()
}

// now returns the current instant of the monotonic clock.
func (r *Router) now() decide.Instant { return r.instant(time.Now()) }

// instant returns t as the time since the router's creation.
func (r *Router) instant(t time.Time) decide.Instant { return decide.Instant(t.Sub(r.start)) }

// sharedRand is the random source of decisions. The generator behind it is safe for concurrent use.
type sharedRand struct{}

func (sharedRand) Uint64() uint64 { return rand.Uint64() }

// load returns the counter of an upstream and creates it if needed.
func (r *Router) load(id fleet.UpstreamID) *load {
	if l, ok := r.loads.Load(id); ok {
		return l.(*load)
	}
	l, _ := r.loads.LoadOrStore(id, &load{})
	return l.(*load)
}

// engine returns the record of an engine's load and cache and creates it if needed.
func (r *Router) engine(u *fleet.Upstream) *pick.Engine {
	if e, ok := r.engines.Load(u.ID); ok {
		return e.(*pick.Engine)
	}
	e, _ := r.engines.LoadOrStore(u.ID, pick.NewEngine(u.ID, cost.NewTable(u.KVCacheTokens)))
	return e.(*pick.Engine)
}

// model returns the routing state of a model and creates it if needed.
func (r *Router) model(name string) *model {
	if m, ok := r.models.Load(name); ok {
		return m.(*model)
	}
	m, _ := r.models.LoadOrStore(name, newModel(r, name))
	return m.(*model)
}

// workspaceInFlight returns the counter of a workspace's requests in flight and creates it if needed.
func (r *Router) workspaceInFlight(id fleet.WorkspaceID) *limit.InFlight {
	if f, ok := r.workspaces.Load(id); ok {
		return f.(*limit.InFlight)
	}
	f, _ := r.workspaces.LoadOrStore(id, &limit.InFlight{})
	return f.(*limit.InFlight)
}

// OnLoad applies an engine's load report, whose figures held at time at. The report's AgeMs is ignored, because at
// includes it already.
func (r *Router) OnLoad(u *fleet.Upstream, l wire.LoadReport, at time.Time) {
	l.AgeMs = 0
	r.engine(u).UpdateReport(pick.NewReport(&l, r.instant(at)))
	for _, name := range u.Models {
		r.model(name).onLoadReport()
	}
}

// OnCache applies an engine's cache events.
func (r *Router) OnCache(u *fleet.Upstream, e wire.CacheEvents) {
	result := r.engine(u).Cache.Apply(&e, r.now())
	if result.Missed > 0 {
		r.meter.cacheEventsMissed.Inc(int64(result.Missed))
	}
}

// OnReportMissed counts a load report that an upstream failed to deliver. The upstream's last report stays in use and
// ages.
func (r *Router) OnReportMissed(*fleet.Upstream, error) { r.meter.loadReportsMissed.Inc(1) }

// Acquire chooses an upstream for q and returns the grant to dispatch q to it. A prompt that has to wait blocks until
// it gets an engine, is refused, or ctx ends. A refusal is returned as soon as it is decided, as a *fault.Error with
// RunNo.
func (r *Router) Acquire(ctx context.Context, q Request) (*Grant, error) {
	for {
		g, err := r.acquire(ctx, &q)
		if !r.awaitTrust(ctx, err) {
			return g, err
		}
	}
}

// awaitTrust waits while the condition behind err is likely to end shortly, and reports whether the instance is usable
// again. Acquire repeats its choice only then, because each choice reserves memory on engines and adds to the demand
// for lanes.
func (r *Router) awaitTrust(ctx context.Context, err error) bool {
	for r.trustReturnsSoon(err) && wait.For(ctx, regainPollInterval) {
		if err = r.checkUsable(); err == nil {
			return true
		}
	}
	return false
}

// trustReturnsSoon reports whether the condition behind err is likely to end shortly without action. Right after a
// pause or a network failure that affects all instances, a caller that waits is served sooner than one that is refused.
func (r *Router) trustReturnsSoon(err error) bool {
	return fault.Is(err, fault.StaleInstance) && r.RegainingTrust != nil && r.RegainingTrust()
}

// acquire makes one attempt to choose an upstream for q.
func (r *Router) acquire(ctx context.Context, q *Request) (*Grant, error) {
	s := r.state()
	if s.view.ConfigVersion == 0 {
		return nil, fault.New(fault.NotReady, "no configuration yet")
	}
	if q.Service != "" {
		return r.acquireService(q)
	}
	return r.acquirePrompt(ctx, s, q)
}

// acquirePrompt checks the model and the workspace's limit, and passes the prompt to the model's gate.
func (r *Router) acquirePrompt(ctx context.Context, s *routingState, q *Request) (*Grant, error) {
	if len(s.view.Engines(q.Model)) == 0 {
		return nil, noEngineError(s.view, q)
	}
	inFlight := r.workspaceInFlight(q.Workspace)
	if !inFlight.Acquire(r.workspaceShare(s, q.Workspace)) {
		r.recordDecision("refuse", q, limit.OverLimit, "in_flight", inFlight.Count())
		r.meter.countDecision("refuse", limit.OverLimit)
		return nil, fault.New(fault.WorkspaceLimit, "workspace %q has %d requests here",
			q.Workspace, inFlight.Count())
	}
	g, err := r.model(q.Model).acquire(ctx, s, q)
	if err != nil {
		inFlight.Release()
		return nil, err
	}
	g.workspace = inFlight
	return g, nil
}

// noEngineError returns the error for a model without engines, which depends on whether the configuration has the
// model.
func noEngineError(v *fleet.View, q *Request) error {
	if slices.ContainsFunc(v.Config.Intent.Models, func(m api.Model) bool { return m.Name == q.Model }) {
		return fault.New(fault.NoUpstream, "no engine serves %q now", q.Model)
	}
	return fault.New(fault.UnknownModel, "model %q is not served", q.Model)
}

// workspaceShare returns how many requests of the workspace this instance may have in flight.
func (r *Router) workspaceShare(s *routingState, id fleet.WorkspaceID) int {
	if w, ok := s.workspaces[id]; ok && w.MaxInFlight > 0 {
		return limit.Share(w.MaxInFlight, s.instances)
	}
	return r.limits.WorkspaceInFlight
}

// recordDecision records one decision about a request.
func (r *Router) recordDecision(kind string, q *Request, reason decide.Reason, fields ...any) {
	r.explain.Record(kind, string(q.ID), reason, append(fields, "workspace", q.Workspace)...)
}
