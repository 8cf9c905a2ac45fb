package admit

import (
	"sync/atomic"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/decide/pick"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

const (
	// bypassWindow is how long after its arrival a request in the lanes' queue may be overtaken by requests behind it.
	// After that, the others wait until it has its memory. Otherwise smaller prompts would take all memory that becomes
	// free, and a prompt for a group of engines would wait forever.
	bypassWindow = 5 * time.Second
	// maxBypassFlows is the number of workspaces behind the first that one call of ProcessQueues tries.
	maxBypassFlows = 4
	// reserveBackoff is the least time between two attempts to reserve memory for the same prompt. A random time of up
	// to the same length is added, so that two instances don't collide repeatedly.
	reserveBackoff = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller may retry.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// queueCount is the number of queues: short, medium and lanes.
const queueCount = 3

// queueIndex returns the index of the queue of a class; all classes of the lanes share the last one.
func queueIndex(c cost.Class) int { return min(int(c), queueCount-1) }

// View is the state that a decision reads. All of it is immutable or atomic.
type View struct {
	Pool      *pick.Pool
	Instances int // number of instances that send to the pool, including this one
	Now       decide.Instant
	Rand      decide.Rand
}

// Gate decides on the requests for one model on one instance. TryDispatch and QueueLength may be called concurrently;
// all other methods must be called from one goroutine or under one mutex.
type Gate struct {
	profile  *pick.Profile
	pipeline *pick.Pipeline
	length   int                      // maximum number of requests in all queues together
	waiting  [queueCount]atomic.Int64 // length of each queue, for TryDispatch
	queues   [queueCount]queue
}

// NewGate returns a gate whose queues together hold up to length requests.
func NewGate(profile *pick.Profile, pipeline *pick.Pipeline, length int) *Gate {
	return &Gate{profile: profile, pipeline: pipeline, length: length}
}

// QueueLength returns the number of requests in the queue of the class.
func (g *Gate) QueueLength(class cost.Class) int { return int(g.waiting[queueIndex(class)].Load()) }

// TryDispatch dispatches a request that does not have to wait; it uses atomic counters and takes no lock. It returns
// false if other requests are in the queue, if the request belongs to the lanes, or if it can't be dispatched now. The
// caller then calls Admit.
func (g *Gate) TryDispatch(r *Request, v *View) (d Decision, ok bool) {
	if r.Class.UsesLanes() || g.waiting[queueIndex(r.Class)].Load() > 0 {
		return Decision{}, false
	}
	d = g.place(r, v)
	return d, d.Verb == Dispatch
}

// Admit decides on a request that TryDispatch did not dispatch. If the queue is full, the decision may refuse a request
// of another workspace in its place: then the Decision's Request is that one, and r is queued.
func (g *Gate) Admit(r *Request, v *View) Decision {
	q := &g.queues[queueIndex(r.Class)]
	d := Decision{Verb: Enqueue, Request: r, Reason: BehindOthers}
	if q.length == 0 {
		d = g.place(r, v)
		if d.Verb != Enqueue {
			return d
		}
	}
	return g.enqueue(q, r, v, d.Reason)
}

// place selects an engine, or a plan of engines, for the request. The verb Enqueue means that the request has to
// wait.
func (g *Gate) place(r *Request, v *View) Decision {
	r.setQuery(g.profile, v)
	candidates := v.Pool.ForClass(r.Class)
	if len(candidates) == 0 {
		return refuse(r, fault.NoUpstream, NoEngine, 0)
	}
	if r.Class.UsesLanes() {
		return g.planReservation(r, v, candidates)
	}
	return g.chooseEngine(r, v, candidates)
}

// setQuery prepares the request's query for the choice of an engine.
func (r *Request) setQuery(profile *pick.Profile, v *View) {
	r.query = pick.Query{
		Prompt: &r.Prompt, Class: r.Class, Now: v.Now, Rand: v.Rand, Instances: v.Instances,
		Exclude: r.Exclude, Profile: profile,
	}
}

// chooseEngine decides on a short or medium request, and records the dispatch on the engine that it chooses.
func (g *Gate) chooseEngine(r *Request, v *View, candidates []pick.Candidate) Decision {
	choice := g.pipeline.Pick(&r.query, candidates)
	switch {
	case choice.Engine == nil && choice.Reason == pick.NoEngine:
		return refuse(r, fault.NoUpstream, NoEngine, 0)
	case choice.Engine == nil: // no engine has enough memory now, or the pipeline's gates reject all of them now
		return Decision{Verb: Enqueue, Request: r, Reason: choice.Reason}
	case v.Now.Add(choice.Estimate.FirstToken-choice.Estimate.Wait+r.DecodeTime).Sub(r.Deadline) > 0:
		return refuse(r, fault.Infeasible, TooLate, 0)
	case choice.Estimate.Wait > g.profile.MaxWait[r.Class]:
		return Decision{Verb: Enqueue, Request: r, Choice: choice, Reason: EnginesBusy}
	case v.Now.Add(choice.Estimate.FirstToken+r.DecodeTime).Sub(r.Deadline) > 0:
		return refuse(r, fault.Infeasible, TooLate, choice.Estimate.Wait)
	}
	choice.Engine.RecordDispatch(r.Class, int64(choice.Estimate.Cost), r.Prompt.MemoryTokens(), v.Now)
	return Decision{Verb: Dispatch, Request: r, Choice: choice, Reason: choice.Reason}
}

// planReservation decides on a request of the lanes, which needs memory reserved before it is dispatched.
func (g *Gate) planReservation(r *Request, v *View, candidates []pick.Candidate) Decision {
	if exceedsTotalMemory(r, candidates) {
		return refuse(r, fault.NoMemory, pick.NoMemory, 0)
	}
	plan := pick.PlanLong(&r.query, candidates, g.pipeline.Gates)
	switch {
	case len(plan.Parts) == 0:
		return Decision{Verb: Enqueue, Request: r, Reason: MemoryBusy}
	case plan.Estimate.Wait > g.profile.MaxWait[r.Class]:
		return Decision{Verb: Enqueue, Request: r, Plan: plan, Reason: EnginesBusy}
	case v.Now.Add(plan.Estimate.FirstToken+r.DecodeTime).Sub(r.Deadline) > 0:
		return refuse(r, fault.Infeasible, TooLate, 0)
	}
	return Decision{Verb: Reserve, Request: r, Plan: plan, Reason: plan.Reason}
}

// exceedsTotalMemory reports whether the prompt needs more than the total memory of all engines. It returns false
// while an engine has no load report.
func exceedsTotalMemory(r *Request, candidates []pick.Candidate) bool {
	var total int64
	for i := range candidates {
		report := candidates[i].Report()
		if report == nil {
			return false
		}
		total += report.MemoryTotal
	}
	return r.Prompt.MemoryTokens() > total
}

// enqueue adds the request to its queue. It refuses a request that could not finish before its deadline; if the queues
// are full, evictFor decides.
func (g *Gate) enqueue(q *queue, r *Request, v *View, reason decide.Reason) Decision {
	if q.length == 0 {
		q.drain.begin(prefillCapacity(v, r.Class), v.Now)
	}
	prefill := g.minPrefillTime(r, v)
	r.latestStart = r.Deadline.Add(-prefill - r.DecodeTime)
	wait := q.estimateWait(r)
	if over := v.Now.Add(wait).Sub(r.latestStart); over > 0 {
		return refuse(r, fault.Infeasible, TooLate, over)
	}
	if g.totalLength() >= g.length {
		return g.evictFor(q, r, v, reason)
	}
	return g.add(q, r, wait, reason)
}

// add adds the request to the queue and returns the decision to keep it there.
func (g *Gate) add(q *queue, r *Request, wait time.Duration, reason decide.Reason) Decision {
	q.push(r)
	g.waiting[queueIndex(r.Class)].Add(1)
	return Decision{Verb: Enqueue, Request: r, EstimatedWait: wait, OthersQueued: q.length - 1, Reason: reason}
}

// evictFor decides on a request while the queues are full. If the most loaded workspace of the queue has more requests
// for its weight than r's workspace has with r, evictFor queues r, and refuses that request of the most loaded workspace
// whose latest start is last. Otherwise it refuses r. Without eviction, a workspace that fills the queue would cause the
// requests of all others to be refused. The Decision's Request is the refused one, which may not be r.
func (g *Gate) evictFor(q *queue, r *Request, v *View, reason decide.Reason) Decision {
	largest := q.mostLoaded()
	if largest == nil || largest.workspace == r.Workspace || largest.load() <= q.flow(r).loadWith(r) {
		return refuse(r, fault.QueueFull, QueueFull, q.estimateWait(r))
	}
	evicted := g.remove(q, largest, largest.indexOfLatest())
	g.add(q, r, q.estimateWait(r), reason)
	return refuse(evicted, fault.QueueFull, Evicted, q.estimateWait(evicted))
}

// loadWith returns the load that the flow has if the request is added. It uses the request's weight, because a new flow
// has none yet.
func (f *flow) loadWith(r *Request) float64 {
	return float64(len(f.waiting)+1) / weightOf(r)
}

// remove removes the flow's request at index i without serving it.
func (g *Gate) remove(q *queue, f *flow, i int) *Request {
	r := q.remove(f, i)
	g.waiting[queueIndex(r.Class)].Add(-1)
	return r
}

// totalLength returns the number of requests in all queues.
func (g *Gate) totalLength() int {
	sum := 0
	for i := range g.queues {
		sum += g.queues[i].length
	}
	return sum
}

// minPrefillTime returns the shortest time in which an idle engine, or group of engines, can prefill the prompt.
func (g *Gate) minPrefillTime(r *Request, v *View) time.Duration {
	rate, members := int64(0), int64(1)
	for _, c := range v.Pool.ForClass(r.Class) {
		rate = max(rate, c.PrefillRate())
	}
	if r.Class == cost.Group && v.Pool.EngineMemory > 0 {
		members = 1 + r.Prompt.MemoryTokens()/v.Pool.EngineMemory
	}
	return cost.PrefillTime(int64(r.Prompt.Tokens)/members, rate)
}

// prefillCapacity returns this instance's equal share of the engines' prefill rate, in tokens per second.
func prefillCapacity(v *View, class cost.Class) float64 {
	var sum int64
	for _, c := range v.Pool.ForClass(class) {
		sum += c.PrefillRate()
	}
	return float64(sum) / float64(max(v.Instances, 1))
}

// refuse returns the decision to refuse the request, with retryAfter limited to its bounds.
func refuse(r *Request, kind fault.Kind, reason decide.Reason, retryAfter time.Duration) Decision {
	bounded := min(max(retryAfter, minRetryAfter), maxRetryAfter)
	return Decision{Verb: Refuse, Request: r, Kind: kind, RetryAfter: bounded, Reason: reason}
}

// ProcessQueues goes through the queues and appends to out the decisions that can be made now. The driver calls it
// after a change: a load report, the end of an answer, or the passing of time.
func (g *Gate) ProcessQueues(v *View, out []Decision) []Decision {
	for i := range g.queues {
		q := &g.queues[i]
		out = g.expire(q, v, out)
		out = g.dispatchQueued(q, v, out)
		q.drain.tick(v.Now, q.length)
	}
	return out
}

// expire refuses the requests that can't finish before their deadlines any more. They have not run, and an early
// refusal leaves their callers time to send them elsewhere.
func (g *Gate) expire(q *queue, v *View, out []Decision) []Decision {
	for _, f := range q.flows {
		for len(f.waiting) > 0 && f.waiting[0].latestStart.Before(v.Now) {
			r := g.remove(q, f, 0)
			out = append(out, refuse(r, fault.Infeasible, Expired, q.estimateWait(r)))
		}
	}
	return out
}

// dispatchQueued places the first requests of the workspaces in fair order until one has to wait. In the lanes' queue it
// then tries a few other workspaces, within the limits of bypassWindow and maxBypassFlows.
func (g *Gate) dispatchQueued(q *queue, v *View, out []Decision) []Decision {
	var tried []*flow
	for len(tried) <= maxBypassFlows {
		f := q.next(func(f *flow) bool { return !contains(tried, f) })
		if f == nil {
			return out
		}
		r := f.waiting[0]
		d := Decision{Verb: Enqueue}
		if !v.Now.Before(r.retryAt) {
			d = g.place(r, v)
		}
		if d.Verb == Enqueue {
			if !r.Class.UsesLanes() || v.Now.Sub(r.Arrived) > bypassWindow {
				return out
			}
			tried = append(tried, f)
			continue
		}
		q.pop(f)
		r.charged = true
		g.waiting[queueIndex(r.Class)].Add(-1)
		if d.Verb != Refuse {
			q.drain.addServed(r.Prompt.Tokens)
		}
		out = append(out, d)
	}
	return out
}

// contains reports whether f is in list.
func contains(list []*flow, f *flow) bool {
	for _, g := range list {
		if g == f {
			return true
		}
	}
	return false
}

// ReservationResult processes the outcome of a Reserve decision. If the reservation was granted, it records the dispatch
// on the plan's engines. Otherwise the request returns to the queue with its charge refunded, or is refused if it can't
// finish before its deadline any more.
func (g *Gate) ReservationResult(r *Request, plan *pick.Plan, granted bool, v *View) Decision {
	if granted {
		for _, p := range plan.Parts {
			p.Engine.RecordDispatch(r.Class, p.Tokens, p.Tokens, v.Now)
		}
		return Decision{Verb: Dispatch, Request: r, Plan: *plan, Reason: plan.Reason}
	}
	q := &g.queues[queueIndex(r.Class)]
	if r.charged {
		q.refund(r)
	}
	delay := reserveBackoff + time.Duration(decide.Float(v.Rand)*float64(reserveBackoff))
	r.retryAt = v.Now.Add(delay)
	if q.length == 0 {
		q.drain.begin(prefillCapacity(v, r.Class), v.Now)
	}
	r.latestStart = r.Deadline.Add(-g.minPrefillTime(r, v) - r.DecodeTime)
	if r.latestStart.Before(v.Now) {
		return refuse(r, fault.Infeasible, Expired, 0)
	}
	return g.add(q, r, q.estimateWait(r), MemoryBusy)
}

// LatestStart returns the instant after which a queued request can't finish before its deadline any more.
func (r *Request) LatestStart() decide.Instant { return r.latestStart }

// Cancel removes a queued request whose caller no longer waits. It reports whether the request was queued.
func (g *Gate) Cancel(id fleet.RequestID) bool {
	for i := range g.queues {
		q := &g.queues[i]
		if f, at := q.find(id); f != nil {
			g.remove(q, f, at)
			return true
		}
	}
	return false
}

// NextExpiry returns the earliest instant at which a queued request expires; ok is false if none is queued.
func (g *Gate) NextExpiry() (at decide.Instant, ok bool) {
	for i := range g.queues {
		for _, f := range g.queues[i].flows {
			if len(f.waiting) == 0 {
				continue
			}
			if first := f.waiting[0].latestStart; !ok || first.Before(at) {
				at, ok = first, true
			}
		}
	}
	return at, ok
}
