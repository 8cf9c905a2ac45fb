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

// Request is what routing needs to know of a prompt or plain-service call.
type Request struct {
	ID              fleet.RequestID
	Workspace       fleet.WorkspaceID
	Model           string // of a prompt
	Service         string // of a plain-service call
	PromptTokens    int    // of the prompt
	MaxAnswerTokens int    // of the answer
	Blocks          []uint64
	Priority        int
	Deadline        time.Time
	Attempt         int                // from 1
	Exclude         []fleet.UpstreamID // tried before
}

// Outcome is how a dispatch ended.
type Outcome uint8

// The outcomes of a dispatch.
const (
	OK         Outcome = iota
	NotStarted         // the upstream said that it did not start, or no byte of the request was sent
	Failed             // error or reset after it may have started
	Silent             // a connection to it went silent
	Cancelled          // the caller went away or the time ran out
)

// String gives the outcome as it stands in logs.
func (o Outcome) String() string {
	return [...]string{"ok", "not_started", "failed", "silent", "cancelled"}[o]
}

// Gate limits what this instance sends to single upstreams, as while they are cold.
type Gate interface {
	// Open tells whether the upstream may get one request more now. It takes nothing.
	HasCapacity(u *fleet.Upstream) bool
	// Allow takes a place for one request; false where there is none any more.
	Acquire(u *fleet.Upstream) bool
	// Done gives the place back.
	Release(u *fleet.Upstream, o Outcome)
}

// openGate limits nothing.
type openGate struct{}

func (openGate) HasCapacity(*fleet.Upstream) bool { return true }
func (openGate) Acquire(*fleet.Upstream) bool     { return true }
func (openGate) Release(*fleet.Upstream, Outcome) {}

// Grant is the right to dispatch one request to one upstream. Done must be called once.
type Grant struct {
	Upstream    *fleet.Upstream
	Reason      decide.Reason
	Priority    int    // for the engine, -10 to 10
	Reservation string // memory held for it on Upstream; empty: none
	Group       string // reservations on other engines, as the engine's header wants them; empty: none

	router *Router
	load   *load
	model  *model
	class  cost.Class
	answer int // most tokens of the answer
	sent   []sentTo
	hold   *hold
	space  *limit.InFlight
	began  sync.Once
	first  atomic.Int64 // when the first token came, as an Instant; 0: it did not
	once   sync.Once
}

// sentTo is work that was noted on an engine and is not yet known to have begun.
type sentTo struct {
	engine *pick.Engine
	tokens int64
	memory int64
}

// FirstToken tells that the first token of the answer came; the prompt is computed.
func (g *Grant) RecordFirstToken() {
	g.first.CompareAndSwap(0, int64(g.router.now()))
	g.begin()
}

// free takes back all that is noted of the dispatch on engines.
func (g *Grant) free() {
	g.begin()
	for _, s := range g.sent {
		s.engine.ReleaseMemory(s.memory)
	}
	g.sent = nil
}

func (g *Grant) begin() {
	g.began.Do(func() {
		for _, s := range g.sent {
			s.engine.RecordFirstToken(g.class, s.tokens)
		}
	})
}

// Done ends the dispatch and frees at once what was held for it: the workspace's place, the upstream's,
// and reserved memory.
func (g *Grant) Release(o Outcome) {
	g.once.Do(func() {
		g.free()
		g.load.own.Add(-1)
		g.router.gate.Release(g.Upstream, o)
		if g.space != nil {
			g.space.Release()
		}
		if g.hold != nil {
			g.hold.end()
		}
		g.router.explain.Record("done", string(g.Upstream.ID), decide.Reason(o.String()))
		if g.model != nil {
			g.learn(o)
			g.model.wake()
		}
	})
}

func (g *Grant) learn(o Outcome) {
	if first := g.first.Load(); o == OK && first != 0 {
		g.model.answered(g.router.now().Sub(decide.Instant(first)), g.answer)
	}
}
