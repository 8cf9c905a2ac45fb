// Package warm executes the decisions of decide/health and decide/warm: it tracks each upstream's health and limits the
// load that this instance puts on it. Requests check the limits through atomics. See docs/design/cold-start.md.
package warm

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/health"
	"github.com/damaskshelf/damaskshelf/internal/decide/warm"
	"github.com/damaskshelf/damaskshelf/internal/explain"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/route"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

const (
	// defaultColdLimit is the limit of requests in flight at a cold engine that has not reported one.
	defaultColdLimit = 1
	// serviceInFlight is the number of requests that one instance may have in flight at a plain service that is not
	// warm. Services don't report whether they are cold, so they have no slots: their load grows only with successful
	// requests.
	serviceInFlight = 4
	tickInterval    = 100 * time.Millisecond // between two calls of Limits.Tick
	shrinkInterval  = time.Second            // between two reductions of unused windows
)

// Config holds the dependencies and parameters of Limits.
type Config struct {
	Self    string // this instance's id
	Params  warm.Params
	View    func() *fleet.View
	Now     func() decide.Instant // nil: the monotonic clock
	Explain *explain.Recorder
	Log     hclog.Logger
}

// Limits limits the requests that this instance has in flight at each upstream. It is safe for concurrent use.
type Limits struct {
	cfg       Config
	upstreams sync.Map // fleet.UpstreamID to *upstream

	mu       sync.Mutex
	slots    *warm.Slots // guarded by mu
	lastView *fleet.View // guarded by mu: the view that was applied last
}

// upstream is one upstream's state. A request that only checks, acquires or releases uses the atomics alone. Evidence,
// first bytes and successes at a warming upstream lock mu.
type upstream struct {
	inFlight  atomic.Int64
	streaming atomic.Int64 // requests in flight whose first byte has arrived
	caps      atomic.Pointer[publishedCaps]

	mu        sync.Mutex
	kind      fleet.UpstreamKind
	machine   health.Machine // guarded by mu
	growth    warm.Growth    // guarded by mu
	coldLimit int            // guarded by mu
	slotShare int            // guarded by mu
}

// publishedCaps holds the caps that requests read. Caps from a share of slots are valid until validUntil.
type publishedCaps struct {
	warm.Caps
	state      health.State
	validUntil decide.Instant
}

// New returns Limits without any evidence: every upstream is treated as cold, and no slot is settled.
func New(cfg Config) *Limits {
	if cfg.Now == nil {
		start := time.Now()
		cfg.Now = func() decide.Instant { return decide.Instant(time.Since(start)) }
	}
	cfg.Log = cfg.Log.Named("warm")
	return &Limits{cfg: cfg, slots: warm.NewSlots(cfg.Self, cfg.Params, cfg.Now())}
}

var _ interface {
	HasCapacity(*fleet.Upstream) bool
	Acquire(*fleet.Upstream) bool
	Release(*fleet.Upstream, route.Outcome)
} = (*Limits)(nil)

// upstream returns the state of u and creates it on the first call.
func (l *Limits) upstream(u *fleet.Upstream) *upstream {
	if up, ok := l.upstreams.Load(u.ID); ok {
		return up.(*upstream)
	}
	created := &upstream{kind: u.Kind, coldLimit: defaultColdLimit}
	created.caps.Store(&publishedCaps{Caps: created.computeCaps(health.Unknown)})
	up, _ := l.upstreams.LoadOrStore(u.ID, created)
	return up.(*upstream)
}

// computeCaps returns the caps in state s. The caller holds mu, or up is not shared yet.
func (up *upstream) computeCaps(s health.State) warm.Caps {
	inHoldoff := up.machine.InHoldoff()
	switch {
	case !s.AcceptsWork(), up.kind == fleet.Engine && inHoldoff:
		return warm.Caps{}
	case up.kind == fleet.Engine:
		return up.growth.Caps(s, up.slotShare)
	}
	c := up.growth.Caps(s, serviceInFlight)
	if inHoldoff {
		// A request that always fails must not block all others from the service, so one at a time is permitted.
		c.InFlight = 1
	}
	c.FromSlots = false
	return c
}

// currentCaps returns the caps that apply at now.
func (up *upstream) currentCaps(now decide.Instant) warm.Caps {
	p := up.caps.Load()
	if p.FromSlots && now > p.validUntil {
		// The process was paused, or the instance list could not be read. The slots may be assigned to another
		// instance by now.
		return warm.Caps{FromSlots: true}
	}
	return p.Caps
}

// HasCapacity reports whether the upstream may receive one more request now. It acquires nothing.
func (l *Limits) HasCapacity(u *fleet.Upstream) bool {
	up := l.upstream(u)
	c := up.currentCaps(l.cfg.Now())
	n := up.inFlight.Load()
	return n < int64(c.InFlight) && n-up.streaming.Load() < int64(c.AwaitingFirstByte)
}

// Acquire counts one more request in flight if the caps permit it, and reports whether they do. Release ends the
// request.
func (l *Limits) Acquire(u *fleet.Upstream) bool {
	up := l.upstream(u)
	c := up.currentCaps(l.cfg.Now())
	n := up.inFlight.Add(1)
	if n > int64(c.InFlight) || n-up.streaming.Load() > int64(c.AwaitingFirstByte) {
		up.inFlight.Add(-1)
		return false
	}
	return true
}

// MaxDispatch returns the longest time of one dispatch to the upstream, and whether its dispatches are bounded. A
// dispatch in a slot of a cold upstream is bounded, so that it ends before another instance may use the slot.
func (l *Limits) MaxDispatch(u *fleet.Upstream) (time.Duration, bool) {
	return l.cfg.Params.MaxDispatch, l.upstream(u).caps.Load().FromSlots
}

// OnFirstByte records the first byte of a dispatch, which arrived after elapsed. expected is the predicted time; 0
// means that there is none. OnLastByte must follow, before Release.
func (l *Limits) OnFirstByte(u *fleet.Upstream, elapsed, expected time.Duration) {
	up := l.upstream(u)
	awaiting := up.inFlight.Load() - up.streaming.Add(1) + 1
	if expected > 0 && health.IsSlowFirstByte(elapsed, expected) {
		l.RecordEvidence(u, health.SlowFirstByte)
		return
	}
	if up.caps.Load().state == health.Warming {
		l.recordSuccess(u, up)
		return
	}
	// The window may grow a little later, so a request that would have to wait for mu skips this.
	if up.mu.TryLock() {
		up.growth.OnFirstByte(int(awaiting))
		l.publishCaps(up)
		up.mu.Unlock()
	}
}

// OnLastByte records the end of a dispatch for which OnFirstByte was called.
func (l *Limits) OnLastByte(u *fleet.Upstream) { l.upstream(u).streaming.Add(-1) }

// Release removes a request with outcome o from those in flight, and uses the outcome as evidence of the upstream's
// health.
func (l *Limits) Release(u *fleet.Upstream, o route.Outcome) {
	up := l.upstream(u)
	up.inFlight.Add(-1)
	switch o {
	case route.OK:
		if up.kind == fleet.Service { // OnFirstByte has recorded an engine's success
			l.recordSuccess(u, up)
		}
	case route.Failed:
		l.RecordEvidence(u, health.Errored)
	}
}

// recordSuccess counts a successful dispatch, which raises the caps of a warming upstream.
func (l *Limits) recordSuccess(u *fleet.Upstream, up *upstream) {
	if up.caps.Load().state != health.Warming {
		return
	}
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.growth.OnSuccess() {
		l.applyEvent(u.ID, up, health.RampCompleted)
	}
	l.publishCaps(up)
}

// RecordEvidence applies other evidence of an upstream's health, such as a refused connection.
func (l *Limits) RecordEvidence(u *fleet.Upstream, e health.Event) {
	up := l.upstream(u)
	up.mu.Lock()
	defer up.mu.Unlock()
	l.applyEvent(u.ID, up, e)
	l.publishCaps(up)
}

// OnBoot records the boot id that an answer carried.
func (l *Limits) OnBoot(u *fleet.Upstream, bootID string) {
	up := l.upstream(u)
	up.mu.Lock()
	defer up.mu.Unlock()
	if t, changed := up.machine.ApplyBootID(bootID, l.cfg.Now()); changed {
		l.recordTransition(u.ID, up, t)
		l.publishCaps(up)
	}
}

// OnLoad applies an engine's load report, whose figures are from the time at. If at is before the start of the current
// health state, or within its holdoff, the report changes nothing but the boot id. In state Unknown every report counts.
func (l *Limits) OnLoad(u *fleet.Upstream, r wire.LoadReport, at time.Time) {
	l.OnBoot(u, r.BootID)
	up := l.upstream(u)
	evidenceAt := l.cfg.Now().Add(-time.Since(at))
	up.mu.Lock()
	defer up.mu.Unlock()
	if !up.machine.AcceptsEvidence(evidenceAt) {
		return
	}
	if r.ColdLimit > 0 {
		up.coldLimit = r.ColdLimit
	}
	e := health.ReportedWarm
	if r.Cold {
		e = health.ReportedCold
	}
	l.applyEvent(u.ID, up, e)
	l.publishCaps(up)
}

// OnNoReply records that a load report or a probe was not answered.
func (l *Limits) OnNoReply(u *fleet.Upstream, _ error) { l.RecordEvidence(u, health.NoReply) }

// applyEvent applies an event to the state machine. The caller holds up.mu.
func (l *Limits) applyEvent(id fleet.UpstreamID, up *upstream, e health.Event) {
	if t, changed := up.machine.Apply(e, l.cfg.Now()); changed {
		l.recordTransition(id, up, t)
	}
}

// recordTransition adjusts the caps to a transition and logs it as a decision. The caller holds up.mu.
func (l *Limits) recordTransition(id fleet.UpstreamID, up *upstream, t health.Transition) {
	up.growth.OnStateChange(t.To, up.slotShare)
	l.cfg.Explain.Record("health", string(id), t.Reason, "from", t.From, "to", t.To)
}

// publishCaps stores the current caps for requests to read. The caller holds up.mu.
func (l *Limits) publishCaps(up *upstream) {
	old := up.caps.Load()
	p := &publishedCaps{Caps: up.computeCaps(up.machine.State()), state: up.machine.State(), validUntil: old.validUntil}
	if *old != *p {
		up.caps.Store(p)
	}
}

// State returns an upstream's health from the view of this instance.
func (l *Limits) State(u *fleet.Upstream) health.State { return l.upstream(u).caps.Load().state }
