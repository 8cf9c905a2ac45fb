package admit

import (
	"container/heap"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// flow holds the requests of one workspace in one queue, ordered by latest start, earliest first.
type flow struct {
	workspace fleet.WorkspaceID
	weight    float64
	startTag  float64 // virtual time at which its next request starts, in prompt tokens per weight
	tokens    int64
	waiting   byLatestStart
}

// byLatestStart is a heap of requests, the earliest latest start first.
type byLatestStart []*Request

// Len returns the number of requests, for heap.Interface.
func (h byLatestStart) Len() int { return len(h) }

// Less orders requests by latest start, and by id if these are equal.
func (h byLatestStart) Less(i, j int) bool {
	if h[i].latestStart != h[j].latestStart {
		return h[i].latestStart < h[j].latestStart
	}
	return h[i].ID < h[j].ID
}

// Swap and Push implement heap.Interface.
func (h byLatestStart) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *byLatestStart) Push(x any)   { *h = append(*h, x.(*Request)) }

// Pop removes the last element of the slice, as heap.Interface requires. It clears the slot, so that the request can
// be garbage-collected.
func (h *byLatestStart) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// queue is a start-time fair queue of the flows of one class, or of all classes of the lanes. The flows are sorted by
// workspace, so that no decision depends on the order of a map.
type queue struct {
	flows       []*flow
	virtualTime float64
	length      int
	tokens      int64
	drain       drainMeter
}

// flow returns the flow of the request's workspace, and creates it if it does not exist.
func (q *queue) flow(r *Request) *flow {
	at := 0
	for at < len(q.flows) && q.flows[at].workspace < r.Workspace {
		at++
	}
	if at < len(q.flows) && q.flows[at].workspace == r.Workspace {
		return q.flows[at]
	}
	f := &flow{workspace: r.Workspace, startTag: q.virtualTime}
	q.flows = append(q.flows, nil)
	copy(q.flows[at+1:], q.flows[at:])
	q.flows[at] = f
	return f
}

// push adds the request to its workspace's flow. A flow that was idle continues at the current virtual time at the
// earliest, so that a workspace gains no credit while it is idle.
func (q *queue) push(r *Request) {
	q.prune()
	f := q.flow(r)
	f.weight = weightOf(r)
	if len(f.waiting) == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
	}
	heap.Push(&f.waiting, r)
	f.tokens += int64(r.Prompt.Tokens)
	q.tokens += int64(r.Prompt.Tokens)
	q.length++
}

// prune removes the idle flows whose start tag the virtual time has reached. No charge of such a workspace still delays
// its next request.
func (q *queue) prune() {
	kept := q.flows[:0]
	for _, f := range q.flows {
		if len(f.waiting) > 0 || f.startTag > q.virtualTime {
			kept = append(kept, f)
		}
	}
	clear(q.flows[len(kept):])
	q.flows = kept
}

// weightOf returns the weight of the request's workspace, 1 if it is not set.
func weightOf(r *Request) float64 {
	if r.Weight <= 0 {
		return 1
	}
	return r.Weight
}

// next returns the non-empty flow with the smallest start tag for which eligible returns true, or nil if there is none.
func (q *queue) next(eligible func(*flow) bool) *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.waiting) == 0 || !eligible(f) {
			continue
		}
		if best == nil || f.startTag < best.startTag {
			best = f
		}
	}
	return best
}

// pop removes the flow's first request to serve it, and charges its workspace for the request's tokens.
func (q *queue) pop(f *flow) *Request {
	r := q.remove(f, 0)
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.startTag += float64(r.Prompt.Tokens) / f.weight
	return r
}

// remove removes the flow's request at index i without charging its workspace.
func (q *queue) remove(f *flow, i int) *Request {
	r := heap.Remove(&f.waiting, i).(*Request)
	f.tokens -= int64(r.Prompt.Tokens)
	q.tokens -= int64(r.Prompt.Tokens)
	q.length--
	return r
}

// refund reverses the charge for a request that was popped and got no reservation.
func (q *queue) refund(r *Request) {
	f := q.flow(r)
	f.weight = weightOf(r)
	f.startTag -= float64(r.Prompt.Tokens) / f.weight
	r.charged = false
}

// find returns the flow and index of a queued request, or nil if it is not queued.
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

// mostLoaded returns the non-empty flow with the highest load, or nil if the queue is empty.
func (q *queue) mostLoaded() *flow {
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

// load returns the number of requests in the flow divided by its weight.
func (f *flow) load() float64 { return float64(len(f.waiting)) / f.weight }

// indexOfLatest returns the index of the flow's request whose latest start is last.
func (f *flow) indexOfLatest() int {
	last := 0
	for i, r := range f.waiting {
		if r.latestStart > f.waiting[last].latestStart {
			last = i
		}
	}
	return last
}

// estimateWait estimates how long a request waits if it joins the queue now. It is the time to serve either all work in
// the queue, or the work of the request's workspace at that workspace's share of the drain rate, whichever is less.
func (q *queue) estimateWait(r *Request) time.Duration {
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
	// drainSamplePeriod is the shortest period of backlog that one sample of the drain rate covers.
	drainSamplePeriod = time.Second
	// drainSampleWeight is the weight of a new sample in the moving average.
	drainSampleWeight = 0.2
	// minDrainRate is the lowest drain rate that estimates use, in tokens per second. It keeps them finite.
	minDrainRate = 100
)

// drainMeter measures the rate at which a backlogged queue is served.
type drainMeter struct {
	rate        float64 // moving average, in tokens per second; 0 before the first backlog
	tokens      int64   // served since sampleStart
	sampleStart decide.Instant
	backlogged  bool
}

// tokensPerSecond returns the drain rate, at least minDrainRate.
func (d *drainMeter) tokensPerSecond() float64 { return max(d.rate, minDrainRate) }

// begin starts a backlog; initialRate is the rate that is assumed if none has been measured yet.
func (d *drainMeter) begin(initialRate float64, now decide.Instant) {
	if d.rate == 0 {
		d.rate = initialRate
	}
	d.backlogged, d.sampleStart, d.tokens = true, now, 0
}

// addServed counts the tokens of a request that left the queue to be served.
func (d *drainMeter) addServed(tokens int) { d.tokens += int64(tokens) }

// tick takes a sample if one is due; waiting is the length of the queue. None is taken at the end of a backlog, because
// its last period includes idle time.
func (d *drainMeter) tick(now decide.Instant, waiting int) {
	if !d.backlogged {
		return
	}
	if waiting == 0 {
		d.backlogged = false
		return
	}
	elapsed := now.Sub(d.sampleStart)
	if elapsed < drainSamplePeriod {
		return
	}
	sample := float64(d.tokens) / elapsed.Seconds()
	d.rate += drainSampleWeight * (sample - d.rate)
	d.sampleStart, d.tokens = now, 0
}
