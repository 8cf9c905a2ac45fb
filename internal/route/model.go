package route

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/admit"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/decide/lane"
	"github.com/damaskshelf/damaskshelf/internal/decide/pick"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

const (
	// firstPace is expected for each token that an answer may have, until answers have shown more. It is
	// low, so that nothing is refused for an answer's length before that is known.
	firstPace = time.Millisecond
	// paceWeight is the weight of one answer in the pace.
	paceWeight = 0.05
	// placeTries bounds how often a request asks again because its engine's place was taken meanwhile.
	placeTries  = 3
	maxPriority = 10
)

// model is the routing state of one model.
type model struct {
	router  *Router
	name    string
	gate    *admit.Gate
	current atomic.Pointer[pooled]
	lanes   atomic.Int64
	resized atomic.Int64 // when, as an Instant
	pace    atomic.Int64 // expected time for each token that an answer may have, in nanoseconds

	mu      sync.Mutex
	waiters map[*admit.Request]*waiter // guarded by mu
	demand  lane.Demand                // guarded by mu
	sizer   lane.Sizer                 // guarded by mu
}

// waiter is a request that waits for a decision.
type waiter struct {
	decision chan admit.Decision // buffered: a decision is delivered under the model's mutex
}

func newModel(r *Router, name string) *model {
	m := &model{router: r, name: name, waiters: map[*admit.Request]*waiter{}}
	m.gate = admit.NewGate(&r.profile, pick.Default(m.open()), r.limits.QueueLength)
	m.pace.Store(int64(firstPace))
	m.sizer = lane.Sizer{Headroom: r.profile.Headroom, MaxShare: r.profile.MaxLaneShare}
	return m
}

// open keeps engines at their own limit (cold ones) out of the choice.
func (m *model) open() pick.Filter {
	return pick.Filter{Reason: pick.RejectedByGate, Keep: func(_ *pick.Query, c *pick.Candidate) bool {
		u := m.current.Load().view.Upstream(c.ID)
		return u != nil && m.router.gate.HasCapacity(u)
	}}
}

func (m *model) world(s *scene) (*admit.View, *pooled) {
	p := m.pool(s.view)
	return &admit.View{Pool: p.pool, Instances: s.entries, Now: m.router.now(), Rand: shared{}}, p
}

// ask is one request's way through the model's gate.
type ask struct {
	m     *model
	scene *scene
	q     *Request
	r     *admit.Request
	held  *hold // memory reserved for it, until its grant has it
}

func (m *model) acquire(ctx context.Context, s *scene, q *Request) (*Grant, error) {
	w, p := m.world(s)
	a := &ask{m: m, scene: s, q: q, r: m.request(s, p, q, w.Now)}
	if a.r.Class.UsesLanes() {
		m.demanded(a.r, p)
	}
	for range placeTries {
		d, ok := m.gate.TryDispatch(a.r, w)
		if !ok {
			var err error
			if d, err = a.slow(ctx, w); err != nil {
				return nil, err
			}
		}
		if d.Verb == admit.Refuse {
			return nil, a.refused(&d)
		}
		if g, err := a.grant(&d); g != nil || err != nil {
			return g, err
		}
		w, _ = m.world(m.router.scene()) // its place at the engine was taken meanwhile
	}
	return nil, fault.New(fault.NoUpstream, "all engines of %q are at their limit", m.name)
}

// answered learns from an answer how long one takes for each token that it may have.
func (m *model) answered(took time.Duration, maxTokens int) {
	old := m.pace.Load()
	seen := float64(took) / float64(max(maxTokens, 1))
	m.pace.CompareAndSwap(old, old+int64(paceWeight*(seen-float64(old))))
}

func (m *model) request(s *scene, p *pooled, q *Request, now decide.Instant) *admit.Request {
	r := &admit.Request{
		ID: q.ID, Workspace: q.Workspace, Weight: s.spaces[q.Workspace].Weight,
		Prompt:  cost.Prompt{Tokens: q.PromptTokens, MaxAnswerTokens: q.MaxAnswerTokens, Blocks: q.Blocks},
		Class:   cost.ClassOf(q.PromptTokens, q.MaxAnswerTokens, p.pool.EngineMemory),
		Arrived: now, Deadline: m.router.instant(q.Deadline),
		DecodeTime: time.Duration(q.MaxAnswerTokens) * time.Duration(m.pace.Load()), Exclude: q.Exclude,
	}
	if len(q.Exclude) >= p.size {
		r.Exclude = nil // all were tried: better one of them than none
	}
	return r
}

// slow offers the request under the mutex and waits as long as the gate says so.
func (a *ask) slow(ctx context.Context, w *admit.View) (admit.Decision, error) {
	m := a.m
	wait := &waiter{decision: make(chan admit.Decision, 1)}
	m.mu.Lock()
	d := m.gate.Admit(a.r, w)
	if d.Request != a.r { // another request was pushed out for this one
		m.deliver(d)
		d = admit.Decision{Verb: admit.Enqueue, Request: a.r, Reason: admit.BehindOthers}
	}
	if d.Verb == admit.Enqueue {
		m.waiters[a.r] = wait
	}
	m.mu.Unlock()
	for {
		switch d.Verb {
		case admit.Enqueue:
			a.queued(&d)
			var err error
			if d, err = a.wait(ctx, wait); err != nil {
				return d, err
			}
		case admit.Reserve:
			d = a.reserve(ctx, d.Plan, wait)
		default:
			return d, nil
		}
	}
}

// wait blocks until the gate has decided. At the request's latest start the gate is woken, so that a
// request that can't finish any more is answered then and not later.
func (a *ask) wait(ctx context.Context, wait *waiter) (admit.Decision, error) {
	late := time.NewTimer(a.r.LatestStart().Sub(a.m.router.now()) + time.Millisecond)
	defer late.Stop()
	for {
		select {
		case d := <-wait.decision:
			return d, nil
		case <-late.C:
			a.m.wake()
		case <-ctx.Done():
			return a.leave(ctx, wait)
		}
	}
}

// leave takes a request out whose caller went away or whose time ended. It has not run.
func (a *ask) leave(ctx context.Context, wait *waiter) (admit.Decision, error) {
	a.m.mu.Lock()
	waiting := a.m.gate.Cancel(a.r.ID)
	delete(a.m.waiters, a.r)
	a.m.mu.Unlock()
	if !waiting { // decided in the same moment
		return <-wait.decision, nil
	}
	a.m.router.record("refuse", a.q, leftReason, "class", a.r.Class, "error", context.Cause(ctx))
	a.m.router.meter.count("refuse", leftReason)
	kind := fault.DeadlineExceeded
	if ctx.Err() == context.Canceled {
		kind = fault.CallerGone
	}
	return admit.Decision{}, fault.New(kind, "while it waited for an engine")
}

// leftReason: the caller went away, or the request's time ended, while it waited.
const leftReason decide.Reason = "left_waiting"

// reserve holds the plan's memory and feeds the outcome back.
func (a *ask) reserve(ctx context.Context, plan pick.Plan, wait *waiter) admit.Decision {
	h := a.hold(&plan)
	granted := h.acquire(ctx)
	a.m.mu.Lock()
	defer a.m.mu.Unlock()
	w, _ := a.m.world(a.m.router.scene())
	d := a.m.gate.ReservationResult(a.r, &plan, granted, w)
	if d.Verb == admit.Enqueue {
		a.m.waiters[a.r] = wait
	}
	if granted {
		a.held = h
	}
	return d
}

// wake lets the gate decide for those that wait. A request's path comes here only after its end.
func (m *model) wake() {
	if m.waiting() == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	w, _ := m.world(m.router.scene())
	for _, d := range m.gate.ProcessQueues(w, nil) {
		m.deliver(d)
	}
	m.router.meter.queues(m)
}

func (m *model) waiting() int {
	return m.gate.QueueLength(cost.Short) + m.gate.QueueLength(cost.Medium) + m.gate.QueueLength(cost.Long)
}

// deliver hands a decision to the request that waits for it; mu is held.
func (m *model) deliver(d admit.Decision) {
	if wait := m.waiters[d.Request]; wait != nil {
		delete(m.waiters, d.Request)
		wait.decision <- d
	}
}

// queued logs that the request waits.
func (a *ask) queued(d *admit.Decision) {
	a.m.router.record("queue", a.q, d.Reason, "model", a.m.name, "class", a.r.Class, "ahead", d.OthersQueued, "wait", d.EstimatedWait)
	a.m.router.meter.count("queue", d.Reason)
	a.m.router.meter.waitEstimate(a.r.Class, d.EstimatedWait)
	a.m.router.meter.queues(a.m)
}

// refused gives the answer to a request that is given up on, at once and with when to come back.
func (a *ask) refused(d *admit.Decision) error {
	a.m.router.record("refuse", a.q, d.Reason, "model", a.m.name, "class", a.r.Class, "kind", d.Kind, "retry_after", d.RetryAfter)
	a.m.router.meter.count("refuse", d.Reason)
	e := fault.New(d.Kind, "%s prompt of %d tokens: %s", a.r.Class, a.q.PromptTokens, d.Reason)
	e.RetryAfter = d.RetryAfter
	return e
}

// grant turns a decision into the right to dispatch; nil where the engine is leaving, out or at its own
// limit by now. The instance itself may have become unfit while the request waited.
func (a *ask) grant(d *admit.Decision) (*Grant, error) {
	m := a.m
	g := &Grant{Reason: d.Reason, Priority: a.priority(), router: m.router, model: m, class: a.r.Class, answer: a.q.MaxAnswerTokens}
	estimate := d.Choice.Estimate
	if len(d.Plan.Parts) > 0 {
		g.lead(a, d)
		estimate = d.Plan.Estimate
	} else {
		g.Upstream = a.upstream(d.Choice.Engine.ID)
		g.sent = []sentTo{{d.Choice.Engine, int64(estimate.Cost), a.r.Prompt.MemoryTokens()}}
	}
	if err := m.router.usable(); err != nil {
		g.undo()
		return nil, err
	}
	// Read again: the instance may have been paused since the choice, and others of its goroutines may have
	// made it usable anew, by a view that has the engine's failure domain out.
	g.Upstream = m.router.newest(g.Upstream)
	if g.Upstream == nil || !g.Upstream.Takes() || !m.router.gate.Acquire(g.Upstream) {
		g.undo()
		return nil, nil
	}
	g.load = m.router.load(g.Upstream.ID)
	g.load.own.Add(1)
	m.router.meter.count("dispatch", d.Reason)
	m.router.record("route", a.q, d.Reason, "upstream", g.Upstream.ID, "failure_domain", g.Upstream.Domain,
		"class", a.r.Class, "attempt", a.q.Attempt, "tokens", a.q.PromptTokens, "to_compute", estimate.Cost,
		"predicted", estimate.FirstToken.Round(time.Millisecond), "looked", d.Choice.Scored, "group", g.Group)
	return g, nil
}

// lead makes the first engine of a plan the one that gets the request; the others hold parts of it.
func (g *Grant) lead(a *ask, d *admit.Decision) {
	g.hold, a.held = a.held, nil
	g.Upstream = a.upstream(d.Plan.Parts[0].Engine.ID)
	g.Reservation = g.hold.id(d.Plan.Parts[0].Engine.ID)
	var others []string
	for i, p := range d.Plan.Parts {
		g.sent = append(g.sent, sentTo{p.Engine, p.Tokens, p.Tokens})
		if u := a.upstream(p.Engine.ID); i > 0 && u != nil {
			others = append(others, fmt.Sprintf("%s@%s", g.hold.id(p.Engine.ID), u.Addr))
		}
	}
	g.Group = strings.Join(others, ",")
}

// undo takes back what a grant that comes to nothing noted.
func (g *Grant) undo() {
	g.free()
	if g.hold != nil {
		g.hold.end()
	}
}

// newest gives the upstream as the published view shows it now; nil: it is gone.
func (r *Router) newest(u *fleet.Upstream) *fleet.Upstream {
	if u == nil {
		return nil
	}
	return r.view().Upstream(u.ID)
}

func (a *ask) upstream(id fleet.UpstreamID) *fleet.Upstream { return a.m.router.view().Upstream(id) }

// priority is the class's, moved by the caller's and the workspace's.
func (a *ask) priority() int {
	p := a.m.router.profile.Priority[a.r.Class] + a.q.Priority + a.scene.spaces[a.q.Workspace].Priority
	return min(max(p, -maxPriority), maxPriority)
}
