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
	// initialTimePerToken is the answer time assumed for each allowed answer token until answers have been observed.
	// It is low, so that no request is refused for the length of its answer before that length is known.
	initialTimePerToken = time.Millisecond
	// timePerTokenWeight is the weight of the latest answer in the moving average of times per token. The average
	// follows about the last twenty answers.
	timePerTokenWeight = 0.05
	// maxGrantAttempts bounds how often a request is admitted. It is admitted again when the chosen engine has become
	// unavailable or has reached its limit before the grant.
	maxGrantAttempts = 3
	// maxPriority is the highest priority that an engine accepts; the lowest is -maxPriority.
	maxPriority = 10
)

// model is the routing state of one model.
type model struct {
	router       *Router
	name         string
	gate         *admit.Gate
	currentPool  atomic.Pointer[modelPool]
	lanes        atomic.Int64 // number of lanes
	resizedAt    atomic.Int64 // Instant of the last resizeLanes; 0: none yet
	timePerToken atomic.Int64 // expected answer time for each allowed answer token, in nanoseconds

	mu      sync.Mutex
	waiters map[*admit.Request]*waiter // guarded by mu
	demand  lane.Demand                // guarded by mu
	sizer   lane.Sizer                 // guarded by mu
}

// waiter is a queued request that waits for a decision.
type waiter struct {
	decision chan admit.Decision // buffered: a decision is delivered under the model's mutex
}

// newModel returns the state of a model without lanes and without queued requests.
func newModel(r *Router, name string) *model {
	m := &model{router: r, name: name, waiters: map[*admit.Request]*waiter{}}
	m.gate = admit.NewGate(&r.profile, pick.Default(m.gateFilter()), r.limits.QueueLength)
	m.timePerToken.Store(int64(initialTimePerToken))
	m.sizer = lane.Sizer{Headroom: r.profile.Headroom, MaxShare: r.profile.MaxLaneShare}
	return m
}

// gateFilter returns a filter that removes engines at the limit of the router's Gate, for example cold ones.
func (m *model) gateFilter() pick.Filter {
	return pick.Filter{Reason: pick.RejectedByGate, Keep: func(_ *pick.Query, c *pick.Candidate) bool {
		u := m.currentPool.Load().view.Upstream(c.ID)
		return u != nil && m.router.gate.HasCapacity(u)
	}}
}

// admitView returns what the gate needs to decide now, and the pool that it contains.
func (m *model) admitView(s *routingState) (*admit.View, *modelPool) {
	p := m.pool(s.view)
	return &admit.View{Pool: p.pool, Instances: s.instances, Now: m.router.now(), Rand: sharedRand{}}, p
}

// admission carries one request through the model's gate.
type admission struct {
	model        *model
	state        *routingState
	request      *Request
	admitRequest *admit.Request
	reservations *reservations // memory reserved for the request, until its grant owns them
}

// acquire admits a prompt and returns its grant. It blocks while the prompt is queued.
func (m *model) acquire(ctx context.Context, s *routingState, q *Request) (*Grant, error) {
	view, p := m.admitView(s)
	a := &admission{model: m, state: s, request: q, admitRequest: m.newAdmitRequest(s, p, q, view.Now)}
	if a.admitRequest.Class.UsesLanes() {
		m.recordDemand(a.admitRequest, p)
	}
	for range maxGrantAttempts {
		d, ok := m.gate.TryDispatch(a.admitRequest, view)
		if !ok {
			var err error
			if d, err = a.enqueue(ctx, view); err != nil {
				return nil, err
			}
		}
		if d.Verb == admit.Refuse {
			return nil, a.refusalError(&d)
		}
		if g, err := a.grant(&d); g != nil || err != nil {
			return g, err
		}
		view, _ = m.admitView(m.router.state()) // the engine became unavailable before the grant
	}
	return nil, fault.New(fault.NoUpstream, "all engines of %q are at their limit", m.name)
}

// updateTimePerToken adds an answer to the moving average of answer times per allowed token. A sample is dropped if
// another is added at the same time.
func (m *model) updateTimePerToken(took time.Duration, maxTokens int) {
	old := m.timePerToken.Load()
	sample := float64(took) / float64(max(maxTokens, 1))
	m.timePerToken.CompareAndSwap(old, old+int64(timePerTokenWeight*(sample-float64(old))))
}

// newAdmitRequest returns the request as the gate needs it.
func (m *model) newAdmitRequest(s *routingState, pool *modelPool, q *Request, now decide.Instant) *admit.Request {
	r := &admit.Request{
		ID: q.ID, Workspace: q.Workspace, Weight: s.workspaces[q.Workspace].Weight,
		Prompt:  cost.Prompt{Tokens: q.PromptTokens, MaxOutputTokens: q.MaxOutputTokens, Blocks: q.Blocks},
		Class:   cost.ClassOf(q.PromptTokens, q.MaxOutputTokens, pool.pool.EngineMemory),
		Arrived: now, Deadline: m.router.instant(q.Deadline),
		DecodeTime: time.Duration(q.MaxOutputTokens) * time.Duration(m.timePerToken.Load()), Exclude: q.Exclude,
	}
	if len(q.Exclude) >= pool.engineCount {
		r.Exclude = nil // every engine was tried before, so any of them may be tried again
	}
	return r
}

// enqueue offers the request to the gate under the mutex. While the gate keeps it queued, enqueue waits; it makes the
// reservations that the gate asks for. The decision that it returns is to dispatch or to refuse.
func (a *admission) enqueue(ctx context.Context, view *admit.View) (admit.Decision, error) {
	m := a.model
	pending := &waiter{decision: make(chan admit.Decision, 1)}
	m.mu.Lock()
	d := m.gate.Admit(a.admitRequest, view)
	if d.Request != a.admitRequest { // another request was evicted for this one
		m.deliver(d)
		d = admit.Decision{Verb: admit.Enqueue, Request: a.admitRequest, Reason: admit.BehindOthers}
	}
	if d.Verb == admit.Enqueue {
		m.waiters[a.admitRequest] = pending
	}
	m.mu.Unlock()
	for {
		switch d.Verb {
		case admit.Enqueue:
			a.logQueued(&d)
			var err error
			if d, err = a.await(ctx, pending); err != nil {
				return d, err
			}
		case admit.Reserve:
			d = a.reserve(ctx, d.Plan, pending)
		default:
			return d, nil
		}
	}
}

// await blocks until the gate has decided. It processes the queues at the request's latest start, so that a request
// that can no longer finish by its deadline is refused then.
func (a *admission) await(ctx context.Context, pending *waiter) (admit.Decision, error) {
	expiry := time.NewTimer(a.admitRequest.LatestStart().Sub(a.model.router.now()) + time.Millisecond)
	defer expiry.Stop()
	for {
		select {
		case d := <-pending.decision:
			return d, nil
		case <-expiry.C:
			a.model.wakeQueues()
		case <-ctx.Done():
			return a.cancel(ctx, pending)
		}
	}
}

// cancel removes a request from its queue after the caller disconnected or the deadline passed. The request has not
// run. If the gate has decided already, cancel returns that decision.
func (a *admission) cancel(ctx context.Context, pending *waiter) (admit.Decision, error) {
	a.model.mu.Lock()
	wasQueued := a.model.gate.Cancel(a.admitRequest.ID)
	delete(a.model.waiters, a.admitRequest)
	a.model.mu.Unlock()
	if !wasQueued { // the gate decided before the cancellation
		return <-pending.decision, nil
	}
	a.model.router.recordDecision("refuse", a.request, reasonLeftWaiting,
		"class", a.admitRequest.Class, "error", context.Cause(ctx))
	a.model.router.meter.countDecision("refuse", reasonLeftWaiting)
	kind := fault.DeadlineExceeded
	if ctx.Err() == context.Canceled {
		kind = fault.CallerGone
	}
	return admit.Decision{}, fault.New(kind, "while it waited for an engine")
}

// reasonLeftWaiting is the reason for a refusal because the caller disconnected, or the deadline passed, while the
// request was queued.
const reasonLeftWaiting decide.Reason = "left_waiting"

// reserve reserves the plan's memory and returns the gate's decision on the outcome. A request whose reservations
// failed is queued again, or refused if it can no longer finish by its deadline.
func (a *admission) reserve(ctx context.Context, plan pick.Plan, pending *waiter) admit.Decision {
	rs := a.newReservations(&plan)
	granted := rs.acquireAll(ctx)
	a.model.mu.Lock()
	defer a.model.mu.Unlock()
	view, _ := a.model.admitView(a.model.router.state())
	d := a.model.gate.ReservationResult(a.admitRequest, &plan, granted, view)
	if d.Verb == admit.Enqueue {
		a.model.waiters[a.admitRequest] = pending
	}
	if granted {
		a.reservations = rs
	}
	return d
}

// wakeQueues lets the gate decide about the queued requests and delivers its decisions. It locks the mutex only if any
// are queued. A request that is dispatched without queueing calls it only when its grant is released.
func (m *model) wakeQueues() {
	if m.queueLength() == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	view, _ := m.admitView(m.router.state())
	decisions := m.gate.ProcessQueues(view, nil)
	m.router.meter.setQueueLengths(m) // before a caller that gets its decision can read the old lengths
	for _, d := range decisions {
		m.deliver(d)
	}
}

// queueLength returns the number of queued requests of all classes.
func (m *model) queueLength() int {
	return m.gate.QueueLength(cost.Short) + m.gate.QueueLength(cost.Medium) + m.gate.QueueLength(cost.Long)
}

// deliver sends a decision to the request that waits for it. The caller holds mu.
func (m *model) deliver(d admit.Decision) {
	if pending := m.waiters[d.Request]; pending != nil {
		delete(m.waiters, d.Request)
		pending.decision <- d
	}
}

// logQueued logs and counts that the request is queued.
func (a *admission) logQueued(d *admit.Decision) {
	a.model.router.recordDecision("queue", a.request, d.Reason, "model", a.model.name, "class", a.admitRequest.Class,
		"ahead", d.OthersQueued, "wait", d.EstimatedWait)
	a.model.router.meter.countDecision("queue", d.Reason)
	a.model.router.meter.setWaitEstimate(a.admitRequest.Class, d.EstimatedWait)
	a.model.router.meter.setQueueLengths(a.model)
}

// refusalError logs and counts a refusal and returns its error, which states when the caller may retry.
func (a *admission) refusalError(d *admit.Decision) error {
	a.model.router.recordDecision("refuse", a.request, d.Reason, "model", a.model.name, "class", a.admitRequest.Class,
		"kind", d.Kind, "retry_after", d.RetryAfter)
	a.model.router.meter.countDecision("refuse", d.Reason)
	err := fault.New(d.Kind, "%s prompt of %d tokens: %s", a.admitRequest.Class, a.request.PromptTokens, d.Reason)
	err.RetryAfter = d.RetryAfter
	return err
}

// grant returns the grant for a decision to dispatch. It returns nil without an error if the engine is leaving, out of
// service or at its limit by now. It returns an error if the instance has become unusable while the request was queued.
func (a *admission) grant(d *admit.Decision) (*Grant, error) {
	m := a.model
	g := &Grant{
		Reason: d.Reason, Priority: a.priority(), router: m.router, model: m, class: a.admitRequest.Class,
		maxOutputTokens: a.request.MaxOutputTokens,
	}
	estimate := d.Choice.Estimate
	if len(d.Plan.Parts) > 0 {
		g.assignGroup(a, d)
		estimate = d.Plan.Estimate
	} else {
		g.Upstream = a.upstream(d.Choice.Engine.ID)
		g.recorded = []recordedWork{{d.Choice.Engine, int64(estimate.Cost), a.admitRequest.Prompt.MemoryTokens()}}
	}
	if err := m.router.checkUsable(); err != nil {
		g.rollback()
		return nil, err
	}
	// Look the engine up again. If the instance was paused since the choice, another goroutine may have made it usable
	// again with a view in which the engine's failure domain is out of service.
	g.Upstream = m.router.latest(g.Upstream)
	if g.Upstream == nil || !g.Upstream.AcceptsWork() || !m.router.gate.Acquire(g.Upstream) {
		g.rollback()
		return nil, nil
	}
	g.load = m.router.load(g.Upstream.ID)
	g.load.inFlight.Add(1)
	m.router.meter.countDecision("dispatch", d.Reason)
	m.router.recordDecision("route", a.request, d.Reason, "upstream", g.Upstream.ID, "failure_domain", g.Upstream.Domain,
		"class", a.admitRequest.Class, "attempt", a.request.Attempt, "tokens", a.request.PromptTokens,
		"to_compute", estimate.Cost, "predicted", estimate.FirstToken.Round(time.Millisecond), "looked", d.Choice.Scored,
		"group", g.Group)
	return g, nil
}

// assignGroup makes the first engine of a plan the one that receives the request. The others hold parts of its memory.
// The grant takes over the reservations.
func (g *Grant) assignGroup(a *admission, d *admit.Decision) {
	g.reservations, a.reservations = a.reservations, nil
	g.Upstream = a.upstream(d.Plan.Parts[0].Engine.ID)
	g.Reservation = g.reservations.idOn(d.Plan.Parts[0].Engine.ID)
	var others []string
	for i, p := range d.Plan.Parts {
		g.recorded = append(g.recorded, recordedWork{p.Engine, p.Tokens, p.Tokens})
		if u := a.upstream(p.Engine.ID); i > 0 && u != nil {
			others = append(others, fmt.Sprintf("%s@%s", g.reservations.idOn(p.Engine.ID), u.Addr))
		}
	}
	g.Group = strings.Join(others, ",")
}

// rollback removes the recorded work of a grant that is not issued, and releases its reservations.
func (g *Grant) rollback() {
	g.removeRecordedWork()
	if g.reservations != nil {
		g.reservations.releaseAll()
	}
}

// latest returns the upstream as the current view has it, or nil if it is no longer there.
func (r *Router) latest(u *fleet.Upstream) *fleet.Upstream {
	if u == nil {
		return nil
	}
	return r.view().Upstream(u.ID)
}

// upstream returns an upstream as the current view has it, or nil.
func (a *admission) upstream(id fleet.UpstreamID) *fleet.Upstream {
	return a.model.router.view().Upstream(id)
}

// priority returns the sum of the priorities of class, caller and workspace, limited to the range that engines accept.
func (a *admission) priority() int {
	p := a.model.router.profile.Priority[a.admitRequest.Class] + a.request.Priority +
		a.state.workspaces[a.request.Workspace].Priority
	return min(max(p, -maxPriority), maxPriority)
}
