package gateway

import (
	"sync"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/entry/callerconn"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Stage is how far an admitted request has come.
type Stage string

// The stages of a request.
const (
	StageWaiting  Stage = "waiting"  // no upstream has it: it waits for a place, or for this instance to be trusted
	StageSent     Stage = "sent"     // an upstream has it, and its answer, or the first event of a stream, hasn't arrived
	StageAnswered Stage = "answered" // an upstream's answer is arriving
	StageWriting  Stage = "writing"  // the answer is complete here, and its caller reads it
)

// progress is the stage of a request, for an observer on another goroutine.
type progress struct {
	mu        sync.Mutex
	stage     Stage            // guarded by mu
	since     time.Time        // guarded by mu: when the stage began
	upstream  fleet.UpstreamID // guarded by mu: of the current or last send; empty: there was none
	attempts  int              // guarded by mu: upstreams that received the request before
	lastEvent time.Time        // guarded by mu: when the last event of a stream arrived; zero: none has
}

// set records that a stage begins.
func (p *progress) set(stage Stage, upstream fleet.UpstreamID, attempts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stage, p.since, p.upstream, p.attempts = stage, time.Now(), upstream, attempts
}

// handlerDone records that the handler has returned, so that only the caller's reading is left.
func (p *progress) handlerDone() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stage, p.since = StageWriting, time.Now()
}

// recordEvent records that an event of a stream arrived.
func (p *progress) recordEvent(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastEvent = now
}

// PendingAnswer is an answer that hasn't left the instance, and how far its request has come.
type PendingAnswer struct {
	callerconn.Answer
	Stage     Stage
	Since     time.Time        // when the stage began
	Upstream  fleet.UpstreamID // of the current or last send; empty: no upstream had the request
	Attempts  int              // upstreams that received the request before that send
	LastEvent time.Time        // when the last event of a stream arrived; zero: none has
}

// Pending returns the answers that haven't left this instance yet.
func (g *Gateway) Pending() []PendingAnswer {
	var all []PendingAnswer
	for _, a := range g.listener.Unwritten() {
		all = append(all, pendingAnswer(a))
	}
	return all
}

// pendingAnswer adds to an answer how far its request has come.
func pendingAnswer(a callerconn.Answer) PendingAnswer {
	p, ok := a.Detail.(*progress)
	if !ok { // refused before it was admitted
		return PendingAnswer{Answer: a, Stage: StageWriting, Since: a.Began}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return PendingAnswer{Answer: a, Stage: p.stage, Since: p.since, Upstream: p.upstream, Attempts: p.attempts, LastEvent: p.lastEvent}
}
