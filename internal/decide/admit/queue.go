package admit

import (
	"container/heap"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// flow is one workspace's waiting requests in one queue, earliest latest start first.
type flow struct {
	workspace fleet.WorkspaceID
	weight    float64
	tag       float64 // virtual time at which its next request starts
	tokens    int64
	waiting   byLatest
}

type byLatest []*Request

func (h byLatest) Len() int { return len(h) }
func (h byLatest) Less(i, j int) bool {
	if h[i].latest != h[j].latest {
		return h[i].latest < h[j].latest
	}
	return h[i].ID < h[j].ID
}
func (h byLatest) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *byLatest) Push(x any)   { *h = append(*h, x.(*Request)) }
func (h *byLatest) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// queue holds the flows of one class, in the order of their names so that nothing depends on a map.
type queue struct {
	flows   []*flow
	virtual float64
	length  int
	tokens  int64
	drain   drain
}

// flow gives the workspace's flow, making one where there is none.
func (q *queue) flow(r *Request) *flow {
	at := 0
	for at < len(q.flows) && q.flows[at].workspace < r.Workspace {
		at++
	}
	if at < len(q.flows) && q.flows[at].workspace == r.Workspace {
		return q.flows[at]
	}
	f := &flow{workspace: r.Workspace, tag: q.virtual}
	q.flows = append(q.flows, nil)
	copy(q.flows[at+1:], q.flows[at:])
	q.flows[at] = f
	return f
}

// push adds the request to its workspace's flow. A flow that was idle starts at the present virtual time:
// idleness earns nothing.
func (q *queue) push(r *Request) {
	q.prune()
	f := q.flow(r)
	f.weight = weightOf(r)
	if len(f.waiting) == 0 {
		f.tag = max(f.tag, q.virtual)
	}
	heap.Push(&f.waiting, r)
	f.tokens += int64(r.Prompt.Tokens)
	q.tokens += int64(r.Prompt.Tokens)
	q.length++
}

// prune forgets idle flows that have nothing left to pay back.
func (q *queue) prune() {
	kept := q.flows[:0]
	for _, f := range q.flows {
		if len(f.waiting) > 0 || f.tag > q.virtual {
			kept = append(kept, f)
		}
	}
	clear(q.flows[len(kept):])
	q.flows = kept
}

func weightOf(r *Request) float64 {
	if r.Weight <= 0 {
		return 1
	}
	return r.Weight
}

// next gives the flow whose turn it is among those that take says may be tried; nil where there is none.
func (q *queue) next(take func(*flow) bool) *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.waiting) == 0 || !take(f) {
			continue
		}
		if best == nil || f.tag < best.tag {
			best = f
		}
	}
	return best
}

// pop takes the flow's first request out as served: its workspace pays for it.
func (q *queue) pop(f *flow) *Request {
	r := q.remove(f, 0)
	q.virtual = max(q.virtual, f.tag)
	f.tag += float64(r.Prompt.Tokens) / f.weight
	return r
}

// remove takes a request out unserved.
func (q *queue) remove(f *flow, i int) *Request {
	r := heap.Remove(&f.waiting, i).(*Request)
	f.tokens -= int64(r.Prompt.Tokens)
	q.tokens -= int64(r.Prompt.Tokens)
	q.length--
	return r
}

// giveBack returns what the workspace paid for a request that was popped and could not be placed.
func (q *queue) giveBack(r *Request) {
	f := q.flow(r)
	f.weight = weightOf(r)
	f.tag -= float64(r.Prompt.Tokens) / f.weight
	r.paid = false
}

// find gives the place of a waiting request.
func (q *queue) find(id fleet.RequestID) (*flow, int) {
	for _, f := range q.flows {
		for i, r := range f.waiting {
			if r.ID == id {
				return f, i
			}
		}
	}
	return nil, 0
}

// largest gives the flow that holds the most for its weight.
func (q *queue) largest() *flow {
	var most *flow
	for _, f := range q.flows {
		if len(f.waiting) == 0 {
			continue
		}
		if most == nil || f.load() > most.load() {
			most = f
		}
	}
	return most
}

// load is the length of a flow for its weight.
func (f *flow) load() float64 { return float64(len(f.waiting)) / f.weight }

// lastOf gives the place of the flow's request with the latest start of all.
func (f *flow) lastOf() int {
	last := 0
	for i, r := range f.waiting {
		if r.latest > f.waiting[last].latest {
			last = i
		}
	}
	return last
}

// wait estimates how long a request that joins now waits: the queue's work, or its own workspace's work
// at its share of the queue's rate, whichever is less.
func (q *queue) wait(r *Request) time.Duration {
	if q.length == 0 {
		return 0
	}
	own, weights := 0.0, weightOf(r)
	for _, f := range q.flows {
		switch {
		case f.workspace == r.Workspace:
			own = float64(f.tokens)
		case len(f.waiting) > 0:
			weights += f.weight
		}
	}
	ahead := min(float64(q.tokens), own*weights/weightOf(r))
	return time.Duration(ahead / q.drain.tokensPerSecond() * float64(time.Second))
}

const (
	// drainSample is the time of backlog over which one sample of the drain rate is taken.
	drainSample = time.Second
	// drainWeight is the weight of a new sample.
	drainWeight = 0.2
	// slowestDrain keeps estimates finite, in tokens a second.
	slowestDrain = 100
)

// drain measures how fast a backlogged queue is worked off.
type drain struct {
	rate   float64
	tokens int64
	since  decide.Instant
	active bool
}

func (d *drain) tokensPerSecond() float64 { return max(d.rate, slowestDrain) }

// begin starts a backlog; seed is the rate to assume until the first sample.
func (d *drain) begin(seed float64, now decide.Instant) {
	if d.rate == 0 {
		d.rate = seed
	}
	d.active, d.since, d.tokens = true, now, 0
}

func (d *drain) served(tokens int) { d.tokens += int64(tokens) }

// tick takes a sample when it is due. A backlog that ends gives no sample: its last stretch was idle.
func (d *drain) tick(now decide.Instant, waiting int) {
	if !d.active {
		return
	}
	if waiting == 0 {
		d.active = false
		return
	}
	passed := now.Sub(d.since)
	if passed < drainSample {
		return
	}
	sample := float64(d.tokens) / passed.Seconds()
	d.rate += drainWeight * (sample - d.rate)
	d.since, d.tokens = now, 0
}
