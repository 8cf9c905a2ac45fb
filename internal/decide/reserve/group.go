// Package reserve holds memory on engines for one request: on all engines of a group or on none, and for
// no longer than the request lives.
//
// No promise depends on the holder staying alive. A request's work names its reservation, and an engine
// refuses or ends work whose reservation it does not have; a release names one reservation's id and can
// reach no other; and each reservation has an end that does not need its holder: its expiry on the engine
// where that has one, else the sweeper.
//
// There is no deadlock: a group asks its engines in the one order of their ids, waits a bounded time for
// an engine that has no memory, and then gives back all it holds.
package reserve

import (
	"slices"
	"strings"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Part is the memory held on one engine.
type Part struct {
	ID       string // of the reservation; unique for all time
	Upstream fleet.UpstreamID
	Tokens   int64
}

// Verb is what the shell has to do.
type Verb uint8

// The verbs.
const (
	Reserve Verb = iota // send the part's reservation after After; feed Granted, Refused or Unknown
	Release             // release the part after After; feed Released or ReleaseLost
	Ready               // all parts are held: the request may be sent
	Failed              // the request gets no reservation; parts that it had are being released
	Done                // nothing is left to do
)

// Effect is one thing to do. Part is the index for Ask and Release.
type Effect struct {
	Verb   Verb
	Part   int
	Delay  time.Duration
	Reason decide.Reason
}

// Reasons of a group's outcome.
const (
	AllHeld      decide.Reason = "all_parts_held"
	NoMemory     decide.Reason = "part_refused"        // an engine had no memory for as long as the group may wait
	AnswerLost   decide.Reason = "reserve_answer_lost" // it may stand or not, so all is given back
	RequestEnded decide.Reason = "request_ended"
)

// Reasons lists all of them.
var Reasons = []decide.Reason{AllHeld, NoMemory, AnswerLost, RequestEnded, DeadlinePassed, HolderGone}

const (
	// askAgain is the time between two tries at an engine without memory.
	askAgain = 50 * time.Millisecond
	// Backoff of releases whose answers are lost.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 2 * time.Second
	// settle is when a part whose reservation's answer was lost is released a second time. It is above
	// the longest time that a call takes to reach an engine after its caller gave up on it.
	settle = 5 * time.Second
)

type partState uint8

const (
	idle      partState = iota // not asked for yet
	asking                     // a reservation is on its way, or its answer is
	held                       // granted
	releasing                  // a release is on its way, or its answer is
	free                       // nothing of ours stands, as far as we can tell
)

type part struct {
	Part
	state   partState
	backoff time.Duration
	again   bool // to be released once more, after settle
}

type phase uint8

const (
	acquiring phase = iota
	ready
	ending
	over
)

// Group is the state machine of one request's reservations; one part is a group of one. Its shell feeds
// events from one goroutine.
type Group struct {
	parts []part
	phase phase
	wait  time.Duration  // how long to wait for memory, from Start on
	till  decide.Instant // end of that wait
	until decide.Instant // the request's deadline and the grace: later, expiry or sweeper free what is left
}

// New makes the group of these parts, which it orders by engine.
func New(parts []Part, wait time.Duration, until decide.Instant) *Group {
	g := &Group{wait: wait, until: until}
	for _, p := range parts {
		g.parts = append(g.parts, part{Part: p, backoff: firstBackoff})
	}
	slices.SortFunc(g.parts, func(a, b part) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	return g
}

// Part gives a part by the index of an Effect.
func (g *Group) Part(i int) Part { return g.parts[i].Part }

// Len is the number of parts.
func (g *Group) Len() int { return len(g.parts) }

// Held tells whether the request may use its reservations.
func (g *Group) Ready() bool { return g.phase == ready }

// Start asks the first engine.
func (g *Group) Start(now decide.Instant) []Effect {
	g.till = now.Add(g.wait)
	return g.ask(0, 0)
}

func (g *Group) ask(i int, after time.Duration) []Effect {
	g.parts[i].state = asking
	return []Effect{{Verb: Reserve, Part: i, Delay: after}}
}

// Granted tells that the engine holds the part.
func (g *Group) Granted(i int) []Effect {
	p := &g.parts[i]
	if p.state != asking {
		return nil
	}
	p.state = held
	if g.phase != acquiring {
		// The request ended while this answer was on its way: nobody will use the part.
		return g.release(i, 0)
	}
	if i+1 < len(g.parts) {
		return g.ask(i+1, 0)
	}
	g.phase = ready
	return []Effect{{Verb: Ready, Reason: AllHeld}}
}

// Refused tells that the engine has no memory for the part and holds nothing, or that the ask was never
// sent.
func (g *Group) Refused(i int, now decide.Instant) []Effect {
	p := &g.parts[i]
	if p.state != asking {
		return nil
	}
	if g.phase == acquiring && now.Add(askAgain).Before(g.till) {
		return g.ask(i, askAgain)
	}
	p.state = free
	if g.phase == acquiring {
		return g.end(NoMemory, true)
	}
	return g.finished()
}

// Unknown tells that the answer to the part's reservation was lost.
//
// Failure guarded against: the reservation stands on the engine, and nobody knows. It is released by its
// id, at once and once more after settle: the lost call may still be on its way and arrive behind the
// first release. Expiry and sweeper stand behind that.
func (g *Group) ReserveUnknown(i int) []Effect {
	p := &g.parts[i]
	if p.state != asking {
		return nil
	}
	p.state, p.again = held, true
	if g.phase == acquiring {
		return g.end(AnswerLost, true)
	}
	return g.release(i, 0)
}

// End gives everything back; the request's every exit path calls it. Calling it again does nothing.
func (g *Group) End() []Effect {
	if g.phase == ending || g.phase == over {
		return nil
	}
	return g.end(RequestEnded, g.phase == acquiring)
}

// end releases the parts held. A part whose answer is still on its way is released when that comes: sent
// now, the release could overtake the reservation and leave it standing.
func (g *Group) end(why decide.Reason, failed bool) []Effect {
	g.phase = ending
	var effects []Effect
	if failed {
		effects = append(effects, Effect{Verb: Failed, Reason: why})
	}
	for i := range g.parts {
		switch g.parts[i].state {
		case held:
			effects = append(effects, g.release(i, 0)...)
		case idle:
			g.parts[i].state = free
		}
	}
	return append(effects, g.finished()...)
}

func (g *Group) release(i int, after time.Duration) []Effect {
	g.parts[i].state = releasing
	return []Effect{{Verb: Release, Part: i, Delay: after}}
}

// Released tells that the engine does not hold the part any more.
func (g *Group) Released(i int) []Effect {
	p := &g.parts[i]
	if p.state != releasing {
		return nil
	}
	if p.again {
		p.again = false
		return g.release(i, settle)
	}
	p.state = free
	return g.finished()
}

// ReleaseLost tells that the release's outcome is not known. It is repeated, since releasing twice does
// no harm, until the request's deadline and grace are over.
func (g *Group) ReleaseUnknown(i int, now decide.Instant) []Effect {
	p := &g.parts[i]
	if p.state != releasing {
		return nil
	}
	if !now.Before(g.until) {
		p.state = free
		return g.finished()
	}
	after := p.backoff
	p.backoff = min(2*p.backoff, lastBackoff)
	return g.release(i, after)
}

func (g *Group) finished() []Effect {
	if g.phase != ending {
		return nil
	}
	for i := range g.parts {
		if g.parts[i].state != free {
			return nil
		}
	}
	g.phase = over
	return []Effect{{Verb: Done}}
}
