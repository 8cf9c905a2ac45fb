package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/decide/limit"
	"github.com/damaskshelf/damaskshelf/internal/decide/pick"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Request describes a prompt for a model, or a call to a plain service, that needs an upstream.
type Request struct {
	ID              fleet.RequestID
	Workspace       fleet.WorkspaceID
	Model           string // for a prompt
	Service         string // for a plain-service call
	PromptTokens    int
	MaxOutputTokens int
	Blocks          []uint64 // hashes of the prompt's prefix blocks
	Priority        int      // of the caller, added to those of the class and the workspace
	Deadline        time.Time
	Attempt         int                // from 1
	Exclude         []fleet.UpstreamID // upstreams that were tried before
}

// Outcome is the result of a dispatch.
type Outcome uint8

// The outcomes of a dispatch.
const (
	OK         Outcome = iota
	NotStarted         // the upstream reported that it did not start, or no byte of the request was sent
	Failed             // error or reset after execution may have started
	Silent             // the connection to the upstream went silent
	Cancelled          // the caller disconnected or the deadline passed
)

// String returns the outcome as logs show it.
func (o Outcome) String() string {
	return [...]string{"ok", "not_started", "failed", "silent", "cancelled"}[o]
}

// Gate limits how many requests this instance has in flight at each upstream, for example while the upstream is cold.
type Gate interface {
	// HasCapacity reports whether the upstream may receive one more request now. It acquires nothing.
	HasCapacity(u *fleet.Upstream) bool
	// Acquire takes one of the upstream's slots and returns true, or returns false if none is free.
	Acquire(u *fleet.Upstream) bool
	// Release frees the slot of a request that ended with outcome o.
	Release(u *fleet.Upstream, o Outcome)
}

// unlimitedGate is a Gate without limits.
type unlimitedGate struct{}

func (unlimitedGate) HasCapacity(*fleet.Upstream) bool { return true }
func (unlimitedGate) Acquire(*fleet.Upstream) bool     { return true }
func (unlimitedGate) Release(*fleet.Upstream, Outcome) {}

// Grant is the permission to dispatch one request to one upstream. Its holder must call Release when the dispatch has
// ended.
type Grant struct {
	Upstream    *fleet.Upstream
	Reason      decide.Reason
	Priority    int    // for the engine, -10 to 10
	Reservation string // id of the memory reservation on Upstream; empty: none
	Group       string // reservations on other engines, in the format of wire.HeaderGroup; empty: none

	router          *Router
	load            *load
	model           *model
	class           cost.Class
	maxOutputTokens int
	recorded        []recordedWork  // work of this dispatch that the engines' records include
	reservations    *reservations   // nil: none
	workspace       *limit.InFlight // count that includes this request; nil: none
	firstTokenOnce  sync.Once
	firstTokenAt    atomic.Int64 // Instant of the first token; 0: none arrived yet
	releaseOnce     sync.Once
}

// recordedWork is the work of a dispatch that is recorded on one engine.
type recordedWork struct {
	engine        *pick.Engine
	prefillTokens int64
	memoryTokens  int64
}

// RecordFirstToken records that the first token of the answer arrived, so that the prefill is complete.
func (g *Grant) RecordFirstToken() {
	g.firstTokenAt.CompareAndSwap(0, int64(g.router.now()))
	g.recordPrefillDone()
}

// removeRecordedWork removes all work of the dispatch from the engines' records.
func (g *Grant) removeRecordedWork() {
	g.recordPrefillDone()
	for _, w := range g.recorded {
		w.engine.ReleaseMemory(w.memoryTokens)
	}
	g.recorded = nil
}

// recordPrefillDone removes the prefill work from the engines' records. Only its first call has an effect.
func (g *Grant) recordPrefillDone() {
	g.firstTokenOnce.Do(func() {
		for _, w := range g.recorded {
			w.engine.RecordFirstToken(g.class, w.prefillTokens)
		}
	})
}

// Release ends the dispatch. It frees everything held for it: its slots in the workspace's limit and at the upstream,
// and the reserved memory. Only the first call has an effect.
func (g *Grant) Release(o Outcome) {
	g.releaseOnce.Do(func() {
		g.removeRecordedWork()
		g.load.inFlight.Add(-1)
		g.router.gate.Release(g.Upstream, o)
		if g.workspace != nil {
			g.workspace.Release()
		}
		if g.reservations != nil {
			g.reservations.releaseAll()
		}
		g.router.explain.Record("done", string(g.Upstream.ID), decide.Reason(o.String()))
		if g.model != nil {
			g.recordAnswerTime(o)
			g.model.wakeQueues()
		}
	})
}

// recordAnswerTime updates the model's estimate of answer times, if the answer was complete.
func (g *Grant) recordAnswerTime(o Outcome) {
	if first := g.firstTokenAt.Load(); o == OK && first != 0 {
		g.model.updateTimePerToken(g.router.now().Sub(decide.Instant(first)), g.maxOutputTokens)
	}
}
