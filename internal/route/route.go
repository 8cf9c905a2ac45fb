// Package route gives a request its upstream: the shell of admission, choice, lanes, limits and
// reservations. A prompt that need not wait is decided on the published view and atomic counters alone;
// one that waits, and one for the lanes, goes through its model's queues under a mutex.
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

// regainPoll is the time between two looks at whether the instance is usable again.
const regainPoll = 10 * time.Millisecond

// Memory holds and frees memory on engines; upstream.Client does.
type Memory interface {
	Reserve(ctx context.Context, addr string, r wire.Reservation) error
	Release(ctx context.Context, addr, id string) error
}

// Deps are what a Router needs.
type Deps struct {
	View     func() *fleet.View
	Explain  *explain.Recorder
	Metrics  *metrics.Registry
	Memory   Memory
	Settings api.Settings
	Gate     Gate // nil: no limits for single upstreams
}

// Router chooses upstreams. It is safe for concurrent use.
type Router struct {
	// Usable gives nil, or why this instance may not send new work now; nil: it always may. It is asked
	// last, right before the grant: a request may have waited.
	CheckUsable func() error
	// Regaining tells whether an instance that is not usable is likely to be so again in a moment; nil: never.
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

	current atomic.Pointer[scene]
	loads   sync.Map // fleet.UpstreamID to *load
	engines sync.Map // fleet.UpstreamID to *pick.Engine
	models  sync.Map // string to *model
	spaces  sync.Map // fleet.WorkspaceID to *limit.InFlight
	holds   sync.WaitGroup
}

// New gives a Router over the published view.
func New(d Deps) *Router {
	r := &Router{
		view: d.View, explain: d.Explain, meter: newMeter(d.Metrics), memory: d.Memory, gate: d.Gate,
		profile: pick.ProfileOf(d.Settings.Profile), limits: d.Settings.Limits, start: time.Now(),
		self: holder{instance: d.Settings.Instance, incarnation: uuid.NewString()},
	}
	if r.gate == nil {
		r.gate = openGate{}
	}
	return r
}

// Incarnation names this life of the instance in its reservations.
func (r *Router) Incarnation() string { return r.self.incarnation }

// Wait returns when all reservations that were ended are released, or ctx ends.
func (r *Router) AwaitReleases(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		r.holds.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// usable tells why this instance may not send new work now; nil where it may.
func (r *Router) usable() error {
	if r.CheckUsable == nil {
		return nil
	}
	return r.CheckUsable()
}

// now is the instant by the monotonic clock.
func (r *Router) now() decide.Instant { return r.instant(time.Now()) }

func (r *Router) instant(t time.Time) decide.Instant { return decide.Instant(t.Sub(r.start)) }

// shared is the random source of decisions; the generator behind it is safe for concurrent use.
type shared struct{}

func (shared) Uint64() uint64 { return rand.Uint64() }

func (r *Router) load(id fleet.UpstreamID) *load {
	if l, ok := r.loads.Load(id); ok {
		return l.(*load)
	}
	l, _ := r.loads.LoadOrStore(id, &load{})
	return l.(*load)
}

func (r *Router) engine(u *fleet.Upstream) *pick.Engine {
	if e, ok := r.engines.Load(u.ID); ok {
		return e.(*pick.Engine)
	}
	e, _ := r.engines.LoadOrStore(u.ID, pick.NewEngine(u.ID, cost.NewTable(u.Memory)))
	return e.(*pick.Engine)
}

func (r *Router) model(name string) *model {
	if m, ok := r.models.Load(name); ok {
		return m.(*model)
	}
	m, _ := r.models.LoadOrStore(name, newModel(r, name))
	return m.(*model)
}

func (r *Router) space(id fleet.WorkspaceID) *limit.InFlight {
	if f, ok := r.spaces.Load(id); ok {
		return f.(*limit.InFlight)
	}
	f, _ := r.spaces.LoadOrStore(id, &limit.InFlight{})
	return f.(*limit.InFlight)
}

// OnLoad takes an engine's load report; at is when its figures were true.
func (r *Router) OnLoad(u *fleet.Upstream, l wire.LoadReport, at time.Time) {
	l.AgeMs = 0
	r.engine(u).UpdateReport(pick.NewReport(&l, r.instant(at)))
	for _, name := range u.Models {
		r.model(name).reported()
	}
}

// OnCache takes an engine's cache events.
func (r *Router) OnCache(u *fleet.Upstream, e wire.CacheEvents) {
	out := r.engine(u).Cache.Apply(&e, r.now())
	if out.Missed > 0 {
		r.meter.cacheMissed.Inc(int64(out.Missed))
	}
}

// OnSilent takes note that an upstream did not report; its last report ages meanwhile.
func (r *Router) OnSilent(*fleet.Upstream, error) { r.meter.reportsMissed.Inc(1) }

// Acquire gives the upstream for q. A prompt that has to wait for one blocks until it is given up on, which
// is answered at once by a *fault.Error that says "not run", or until ctx ends.
func (r *Router) Acquire(ctx context.Context, q Request) (*Grant, error) {
	for {
		g, err := r.acquire(ctx, &q)
		if !r.regained(ctx, err) {
			return g, err
		}
	}
}

// regained waits while err ends soon by itself, and tells whether the instance is usable again. A choice is made anew
// only then: each reserves memory on engines and counts in the lanes' demand.
func (r *Router) regained(ctx context.Context, err error) bool {
	for r.regains(err) && wait.For(ctx, regainPoll) {
		if err = r.usable(); err == nil {
			return true
		}
	}
	return false
}

// regains tells whether err ends soon by itself: right after a pause or a failure of the network everywhere, a
// caller that waits is served sooner than one that is turned away.
func (r *Router) regains(err error) bool {
	return fault.Is(err, fault.StaleInstance) && r.RegainingTrust != nil && r.RegainingTrust()
}

func (r *Router) acquire(ctx context.Context, q *Request) (*Grant, error) {
	s := r.scene()
	if s.view.ConfigVersion == 0 {
		return nil, fault.New(fault.NotReady, "no configuration yet")
	}
	if q.Service != "" {
		return r.service(q)
	}
	return r.prompt(ctx, s, q)
}

// prompt checks model and workspace, and lets the model's gate decide.
func (r *Router) prompt(ctx context.Context, s *scene, q *Request) (*Grant, error) {
	if len(s.view.Engines(q.Model)) == 0 {
		return nil, noEngine(s.view, q)
	}
	space := r.space(q.Workspace)
	if !space.Acquire(r.share(s, q.Workspace)) {
		r.record("refuse", q, limit.OverLimit, "in_flight", space.Count())
		r.meter.count("refuse", limit.OverLimit)
		return nil, fault.New(fault.WorkspaceLimit, "workspace %q has %d requests here", q.Workspace, space.Count())
	}
	g, err := r.model(q.Model).acquire(ctx, s, q)
	if err != nil {
		space.Release()
		return nil, err
	}
	g.space = space
	return g, nil
}

func noEngine(v *fleet.View, q *Request) error {
	if slices.ContainsFunc(v.Config.Intent.Models, func(m api.Model) bool { return m.Name == q.Model }) {
		return fault.New(fault.NoUpstream, "no engine serves %q now", q.Model)
	}
	return fault.New(fault.UnknownModel, "model %q is not served", q.Model)
}

// share is how many of the workspace's requests this instance may have at once.
func (r *Router) share(s *scene, id fleet.WorkspaceID) int {
	if w, ok := s.spaces[id]; ok && w.MaxInFlight > 0 {
		return limit.Share(w.MaxInFlight, s.entries)
	}
	return r.limits.WorkspaceInFlight
}

// record logs one decision about a request.
func (r *Router) record(kind string, q *Request, reason decide.Reason, fields ...any) {
	r.explain.Record(kind, string(q.ID), reason, append(fields, "workspace", q.Workspace)...)
}
