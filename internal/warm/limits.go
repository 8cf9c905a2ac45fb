// Package warm is the shell of cold starts: it keeps each upstream's health and this instance's part of
// its load, and answers on the path of a request out of atomics. See docs/design/cold-start.md.
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

// Constants of the shell.
const (
	// unknownLimit is what a cold engine is taken to bear that has not said.
	unknownLimit = 1
	// serviceShare is what one instance sends at once to a plain service that is not warm. Services don't
	// say whether they are cold, so no slots are dealt for them: their load only grows by successes.
	serviceShare = 4
	tickEvery    = 100 * time.Millisecond
	shrinkEvery  = time.Second
)

// Config is what Limits need.
type Config struct {
	Self    string // this instance's id
	Params  warm.Params
	View    func() *fleet.View
	Now     func() decide.Instant // nil: the monotonic clock
	Explain *explain.Recorder
	Log     hclog.Logger
}

// Limits bound what this instance has at each upstream. It is safe for concurrent use.
type Limits struct {
	cfg Config
	ups sync.Map // fleet.UpstreamID to *upstream

	mu    sync.Mutex
	slots *warm.Slots // guarded by mu
	seen  *fleet.View // guarded by mu: the last view that was worked off
}

// upstream is one upstream's state. Requests touch the atomics; mu is taken for evidence only.
type upstream struct {
	inFlight atomic.Int64
	answered atomic.Int64 // of those, with their first byte
	caps     atomic.Pointer[published]

	mu        sync.Mutex
	kind      fleet.UpstreamKind
	machine   health.Machine // guarded by mu
	growth    warm.Growth    // guarded by mu
	coldLimit int            // guarded by mu
	share     int            // guarded by mu
}

// published are caps with the instant up to which a share of slots is good.
type published struct {
	warm.Caps
	state health.State
	until decide.Instant
}

// New gives Limits that know nothing: every upstream is treated as cold, and no slot is settled.
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

func (l *Limits) upstream(u *fleet.Upstream) *upstream {
	if up, ok := l.ups.Load(u.ID); ok {
		return up.(*upstream)
	}
	fresh := &upstream{kind: u.Kind, coldLimit: unknownLimit}
	fresh.caps.Store(&published{Caps: fresh.capsIn(health.Unknown)})
	up, _ := l.ups.LoadOrStore(u.ID, fresh)
	return up.(*upstream)
}

// capsIn gives the caps in a state; mu is held or up is not shared yet.
func (up *upstream) capsIn(s health.State) warm.Caps {
	held := up.machine.InHoldoff()
	switch {
	case !s.AcceptsWork(), up.kind == fleet.Engine && held:
		return warm.Caps{}
	case up.kind == fleet.Engine:
		return up.growth.Caps(s, up.share)
	}
	c := up.growth.Caps(s, serviceShare)
	if held { // one at a time: a call that always fails must not keep the others from the whole service
		c.InFlight = 1
	}
	c.FromSlots = false
	return c
}

// room gives the caps as they hold now.
func (up *upstream) room(now decide.Instant) warm.Caps {
	p := up.caps.Load()
	if p.FromSlots && now > p.until {
		// The clock ran on while nothing here did, or the list could not be read: the slots may be
		// somebody else's by now.
		return warm.Caps{FromSlots: true}
	}
	return p.Caps
}

// Open tells whether the upstream may get one request more now. It takes nothing.
func (l *Limits) HasCapacity(u *fleet.Upstream) bool {
	up := l.upstream(u)
	c := up.room(l.cfg.Now())
	n := up.inFlight.Load()
	return n < int64(c.InFlight) && n-up.answered.Load() < int64(c.AwaitingFirstByte)
}

// Allow takes a place for one request; Done gives it back.
func (l *Limits) Acquire(u *fleet.Upstream) bool {
	up := l.upstream(u)
	c := up.room(l.cfg.Now())
	n := up.inFlight.Add(1)
	if n > int64(c.InFlight) || n-up.answered.Load() > int64(c.AwaitingFirstByte) {
		up.inFlight.Add(-1)
		return false
	}
	return true
}

// Bound is the longest time that one dispatch to the upstream may take, and whether there is one: what is
// sent to a cold upstream ends before its slot can be another instance's.
func (l *Limits) MaxDispatch(u *fleet.Upstream) (time.Duration, bool) {
	return l.cfg.Params.MaxDispatch, l.upstream(u).caps.Load().FromSlots
}

// FirstByte notes that the first byte of a dispatch came after took. LastByte must follow, before Done.
func (l *Limits) OnFirstByte(u *fleet.Upstream, took, expected time.Duration) {
	up := l.upstream(u)
	unanswered := up.inFlight.Load() - up.answered.Add(1) + 1
	if expected > 0 && health.IsSlowFirstByte(took, expected) {
		l.RecordEvidence(u, health.SlowFirstByte)
		return
	}
	if up.caps.Load().state == health.Warming {
		l.succeeded(u, up)
		return
	}
	// The window is a hint: a request that would have to wait for it leaves it to the next one.
	if up.mu.TryLock() {
		up.growth.OnFirstByte(int(unanswered))
		l.publish(up)
		up.mu.Unlock()
	}
}

// LastByte ends a dispatch whose first byte had come.
func (l *Limits) OnLastByte(u *fleet.Upstream) { l.upstream(u).answered.Add(-1) }

// Done gives a place back.
func (l *Limits) Release(u *fleet.Upstream, o route.Outcome) {
	up := l.upstream(u)
	up.inFlight.Add(-1)
	switch o {
	case route.OK:
		if up.kind == fleet.Service { // an engine's first byte has told
			l.succeeded(u, up)
		}
	case route.Failed:
		l.RecordEvidence(u, health.Errored)
	}
}

// succeeded lets the load of a warming upstream grow.
func (l *Limits) succeeded(u *fleet.Upstream, up *upstream) {
	if up.caps.Load().state != health.Warming {
		return
	}
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.growth.OnSuccess() {
		l.on(u.ID, up, health.RampCompleted)
	}
	l.publish(up)
}

// Evidence takes what else was seen of an upstream, as that it refused a connection.
func (l *Limits) RecordEvidence(u *fleet.Upstream, e health.Event) {
	up := l.upstream(u)
	up.mu.Lock()
	defer up.mu.Unlock()
	l.on(u.ID, up, e)
	l.publish(up)
}

// OnBoot takes the boot id that an answer bore.
func (l *Limits) OnBoot(u *fleet.Upstream, bootID string) {
	up := l.upstream(u)
	up.mu.Lock()
	defer up.mu.Unlock()
	if t, changed := up.machine.ApplyBootID(bootID, l.cfg.Now()); changed {
		l.changed(u.ID, up, t)
		l.publish(up)
	}
}

// OnLoad takes an engine's load report whose figures were true at the given time.
func (l *Limits) OnLoad(u *fleet.Upstream, r wire.LoadReport, at time.Time) {
	l.OnBoot(u, r.BootID)
	up := l.upstream(u)
	made := l.cfg.Now().Add(-time.Since(at))
	up.mu.Lock()
	defer up.mu.Unlock()
	if !up.machine.AcceptsEvidence(made) {
		return
	}
	if r.ColdLimit > 0 {
		up.coldLimit = r.ColdLimit
	}
	e := health.ReportedWarm
	if r.Cold {
		e = health.ReportedCold
	}
	l.on(u.ID, up, e)
	l.publish(up)
}

// OnSilent takes note that a report or probe was not answered.
func (l *Limits) OnNoReply(u *fleet.Upstream, _ error) { l.RecordEvidence(u, health.NoReply) }

// on applies an event; up.mu is held.
func (l *Limits) on(id fleet.UpstreamID, up *upstream, e health.Event) {
	if t, changed := up.machine.Apply(e, l.cfg.Now()); changed {
		l.changed(id, up, t)
	}
}

// changed records a transition, the one line of its decision; up.mu is held.
func (l *Limits) changed(id fleet.UpstreamID, up *upstream, t health.Transition) {
	up.growth.OnStateChange(t.To, up.share)
	l.cfg.Explain.Record("health", string(id), t.Reason, "from", t.From, "to", t.To)
}

// publish makes the caps known to requests; up.mu is held.
func (l *Limits) publish(up *upstream) {
	old := up.caps.Load()
	p := &published{Caps: up.capsIn(up.machine.State()), state: up.machine.State(), until: old.until}
	if *old != *p {
		up.caps.Store(p)
	}
}

// State gives an upstream's health as this instance sees it.
func (l *Limits) State(u *fleet.Upstream) health.State { return l.upstream(u).caps.Load().state }
