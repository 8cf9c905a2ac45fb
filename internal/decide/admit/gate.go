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
	// bypass is how long the first of the lanes' queue lets smaller ones go before it. Later ones wait
	// until it has its memory: else a prompt for a group of engines would wait for ever.
	bypass = 5 * time.Second
	// bypassers bounds the workspaces that one wake-up tries behind the first.
	bypassers = 4
	// backoff is the least time between two tries to reserve for the same prompt; a random part of the
	// same length comes on top, so that two entries don't go on colliding.
	backoff = 100 * time.Millisecond
	// Shortest and longest time that a refused caller is told to stay away.
	minRetry = time.Second
	maxRetry = 30 * time.Second
)

// queueCount is the number of queues: short, medium, lanes.
const queueCount = 3

func queueOf(c cost.Class) int { return min(int(c), queueCount-1) }

// World is what a decision sees: all of it immutable or atomic.
type View struct {
	Pool      *pick.Pool
	Instances int // instances that send to the pool, this one included
	Now       decide.Instant
	Rand      decide.Rand
}

// Gate decides for one model on one instance. Direct may be called by any number of requests at once;
// all else belongs to one goroutine or stands under one mutex.
type Gate struct {
	profile  *pick.Profile
	pipeline *pick.Pipeline
	length   int // bound over all queues
	waiting  [queueCount]atomic.Int64
	queues   [queueCount]queue
}

// NewGate makes a gate whose queues hold up to length requests together.
func NewGate(profile *pick.Profile, pipeline *pick.Pipeline, length int) *Gate {
	return &Gate{profile: profile, pipeline: pipeline, length: length}
}

// Waiting is the number of requests that wait in the class's queue.
func (g *Gate) QueueLength(class cost.Class) int { return int(g.waiting[queueOf(class)].Load()) }

// Direct decides for a request that need not wait, on atomic counters alone. It leaves the request alone
// (ok is false) where others wait in its queue, where it is for the lanes, or where it has to wait: then
// Offer decides.
func (g *Gate) TryDispatch(r *Request, w *View) (d Decision, ok bool) {
	if r.Class.UsesLanes() || g.waiting[queueOf(r.Class)].Load() > 0 {
		return Decision{}, false
	}
	d = g.place(r, w)
	return d, d.Verb == Dispatch
}

// Offer decides for a request that has just come.
func (g *Gate) Admit(r *Request, w *View) Decision {
	q := &g.queues[queueOf(r.Class)]
	d := Decision{Verb: Enqueue, Request: r, Reason: BehindOthers}
	if q.length == 0 {
		d = g.place(r, w)
		if d.Verb != Enqueue {
			return d
		}
	}
	return g.enqueue(q, r, w, d.Reason)
}

// place tries to find an engine for the request now. Queued means that there is none.
func (g *Gate) place(r *Request, w *View) Decision {
	r.ask(g.profile, w)
	candidates := w.Pool.ForClass(r.Class)
	if len(candidates) == 0 {
		return refuse(r, fault.NoUpstream, NoEngine, 0)
	}
	if r.Class.UsesLanes() {
		return g.plan(r, w, candidates)
	}
	return g.choose(r, w, candidates)
}

func (r *Request) ask(profile *pick.Profile, w *View) {
	r.query = pick.Query{
		Prompt: &r.Prompt, Class: r.Class, Now: w.Now, Rand: w.Rand, Instances: w.Instances,
		Exclude: r.Exclude, Profile: profile,
	}
}

func (g *Gate) choose(r *Request, w *View, candidates []pick.Candidate) Decision {
	choice := g.pipeline.Pick(&r.query, candidates)
	switch {
	case choice.Engine == nil && choice.Reason == pick.NoEngine:
		return refuse(r, fault.NoUpstream, NoEngine, 0)
	case choice.Engine == nil: // no room now, or the caller's gate is shut for now
		return Decision{Verb: Enqueue, Request: r, Reason: choice.Reason}
	case w.Now.Add(choice.Estimate.FirstToken-choice.Estimate.Wait+r.DecodeTime).Sub(r.Deadline) > 0:
		return refuse(r, fault.Infeasible, TooLate, 0)
	case choice.Estimate.Wait > g.profile.MaxWait[r.Class]:
		return Decision{Verb: Enqueue, Request: r, Choice: choice, Reason: EnginesBusy}
	case w.Now.Add(choice.Estimate.FirstToken+r.DecodeTime).Sub(r.Deadline) > 0:
		return refuse(r, fault.Infeasible, TooLate, choice.Estimate.Wait)
	}
	choice.Engine.RecordDispatch(r.Class, int64(choice.Estimate.Cost), r.Prompt.MemoryTokens(), w.Now)
	return Decision{Verb: Dispatch, Request: r, Choice: choice, Reason: choice.Reason}
}

func (g *Gate) plan(r *Request, w *View, candidates []pick.Candidate) Decision {
	if tooBig(r, candidates) {
		return refuse(r, fault.NoMemory, pick.NoMemory, 0)
	}
	plan := pick.PlanLong(&r.query, candidates, g.pipeline.Gates)
	switch {
	case len(plan.Parts) == 0:
		return Decision{Verb: Enqueue, Request: r, Reason: MemoryBusy}
	case plan.Estimate.Wait > g.profile.MaxWait[r.Class]:
		return Decision{Verb: Enqueue, Request: r, Plan: plan, Reason: EnginesBusy}
	case w.Now.Add(plan.Estimate.FirstToken+r.DecodeTime).Sub(r.Deadline) > 0:
		return refuse(r, fault.Infeasible, TooLate, 0)
	}
	return Decision{Verb: Reserve, Request: r, Plan: plan, Reason: plan.Reason}
}

// tooBig tells whether all engines together, empty, could not hold the prompt.
func tooBig(r *Request, candidates []pick.Candidate) bool {
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

// enqueue keeps the request, unless it could not finish in its time or the queue is full.
func (g *Gate) enqueue(q *queue, r *Request, w *View, why decide.Reason) Decision {
	if q.length == 0 {
		q.drain.begin(capacity(w, r.Class), w.Now)
	}
	own := g.service(r, w)
	r.latest = r.Deadline.Add(-own - r.DecodeTime)
	wait := q.wait(r)
	if over := w.Now.Add(wait).Sub(r.latest); over > 0 {
		return refuse(r, fault.Infeasible, TooLate, over)
	}
	if g.total() >= g.length {
		return g.pushOut(q, r, w, why)
	}
	return g.admit(q, r, wait, why)
}

func (g *Gate) admit(q *queue, r *Request, wait time.Duration, why decide.Reason) Decision {
	q.push(r)
	g.waiting[queueOf(r.Class)].Add(1)
	return Decision{Verb: Enqueue, Request: r, EstimatedWait: wait, OthersQueued: q.length - 1, Reason: why}
}

// pushOut makes place in a full queue for a workspace that holds less than the largest one: the request
// that is then refused is the largest workspace's. Without that, one workspace that fills the queue would
// have all others refused. The refused one is the Decision's Request, so it may not be r.
func (g *Gate) pushOut(q *queue, r *Request, w *View, why decide.Reason) Decision {
	most := q.largest()
	if most == nil || most.workspace == r.Workspace || most.load() <= q.flow(r).load1(r) {
		return refuse(r, fault.QueueFull, QueueFull, q.wait(r))
	}
	out := g.take(q, most, most.lastOf())
	g.admit(q, r, q.wait(r), why)
	return refuse(out, fault.QueueFull, Evicted, q.wait(out))
}

// load1 is the flow's load with the request added.
func (f *flow) load1(r *Request) float64 {
	return float64(len(f.waiting)+1) / weightOf(r)
}

func (g *Gate) take(q *queue, f *flow, i int) *Request {
	r := q.remove(f, i)
	g.waiting[queueOf(r.Class)].Add(-1)
	return r
}

func (g *Gate) total() int {
	sum := 0
	for i := range g.queues {
		sum += g.queues[i].length
	}
	return sum
}

// service is the least time that an idle engine or group needs for the prompt.
func (g *Gate) service(r *Request, w *View) time.Duration {
	rate, members := int64(0), int64(1)
	for _, c := range w.Pool.ForClass(r.Class) {
		rate = max(rate, c.PrefillRate())
	}
	if r.Class == cost.Group && w.Pool.EngineMemory > 0 {
		members = 1 + r.Prompt.MemoryTokens()/w.Pool.EngineMemory
	}
	return cost.PrefillTime(int64(r.Prompt.Tokens)/members, rate)
}

// capacity is this instance's part of the engines' rate, in tokens a second.
func capacity(w *View, class cost.Class) float64 {
	var sum int64
	for _, c := range w.Pool.ForClass(class) {
		sum += c.PrefillRate()
	}
	return float64(sum) / float64(max(w.Instances, 1))
}

func refuse(r *Request, kind fault.Kind, why decide.Reason, over time.Duration) Decision {
	after := min(max(over, minRetry), maxRetry)
	return Decision{Verb: Refuse, Request: r, Kind: kind, RetryAfter: after, Reason: why}
}

// Wake goes through the queues after something changed (a report, an answer's end, time) and appends the
// decisions that can be taken now to out.
func (g *Gate) ProcessQueues(w *View, out []Decision) []Decision {
	for i := range g.queues {
		q := &g.queues[i]
		out = g.expire(q, w, out)
		out = g.drain(q, w, out)
		q.drain.tick(w.Now, q.length)
	}
	return out
}

// expire refuses what can't finish any more, at once: it has not run, and its caller can still turn
// elsewhere.
func (g *Gate) expire(q *queue, w *View, out []Decision) []Decision {
	for _, f := range q.flows {
		for len(f.waiting) > 0 && f.waiting[0].latest.Before(w.Now) {
			r := g.take(q, f, 0)
			out = append(out, refuse(r, fault.Infeasible, Expired, q.wait(r)))
		}
	}
	return out
}

func (g *Gate) drain(q *queue, w *View, out []Decision) []Decision {
	var tried []*flow
	for len(tried) <= bypassers {
		f := q.next(func(f *flow) bool { return !has(tried, f) })
		if f == nil {
			return out
		}
		r := f.waiting[0]
		d := Decision{Verb: Enqueue}
		if !w.Now.Before(r.again) {
			d = g.place(r, w)
		}
		if d.Verb == Enqueue {
			if !r.Class.UsesLanes() || w.Now.Sub(r.Arrived) > bypass {
				return out
			}
			tried = append(tried, f)
			continue
		}
		q.pop(f)
		r.paid = true
		g.waiting[queueOf(r.Class)].Add(-1)
		if d.Verb != Refuse {
			q.drain.served(r.Prompt.Tokens)
		}
		out = append(out, d)
	}
	return out
}

func has(list []*flow, f *flow) bool {
	for _, g := range list {
		if g == f {
			return true
		}
	}
	return false
}

// Reserved takes the outcome of a Reserve in. A granted one is counted as sent. One that was not granted
// goes back to its place in the queue, unless its time is over.
func (g *Gate) ReservationResult(r *Request, plan *pick.Plan, granted bool, w *View) Decision {
	if granted {
		for _, p := range plan.Parts {
			p.Engine.RecordDispatch(r.Class, p.Tokens, p.Tokens, w.Now)
		}
		return Decision{Verb: Dispatch, Request: r, Plan: *plan, Reason: plan.Reason}
	}
	q := &g.queues[queueOf(r.Class)]
	if r.paid {
		q.giveBack(r)
	}
	pause := backoff + time.Duration(decide.Float(w.Rand)*float64(backoff))
	r.again = w.Now.Add(pause)
	if q.length == 0 {
		q.drain.begin(capacity(w, r.Class), w.Now)
	}
	r.latest = r.Deadline.Add(-g.service(r, w) - r.DecodeTime)
	if r.latest.Before(w.Now) {
		return refuse(r, fault.Infeasible, Expired, 0)
	}
	return g.admit(q, r, q.wait(r), MemoryBusy)
}

// Latest is the instant after which a waiting request can't finish in its time any more.
func (r *Request) LatestStart() decide.Instant { return r.latest }

// Cancel takes a waiting request out, as its caller has left; false where it does not wait.
func (g *Gate) Cancel(id fleet.RequestID) bool {
	for i := range g.queues {
		q := &g.queues[i]
		if f, at := q.find(id); f != nil {
			g.take(q, f, at)
			return true
		}
	}
	return false
}

// NextExpiry is the earliest instant at which a waiting request expires; ok is false where none waits.
func (g *Gate) NextExpiry() (at decide.Instant, ok bool) {
	for i := range g.queues {
		for _, f := range g.queues[i].flows {
			if len(f.waiting) == 0 {
				continue
			}
			if first := f.waiting[0].latest; !ok || first.Before(at) {
				at, ok = first, true
			}
		}
	}
	return at, ok
}
