// Package reserve reserves memory on engines for one request: on all engines of a group or on none, and for no
// longer than the request exists.
//
// Safety does not depend on the holder, the instance that made the reservation, staying alive. The work of a request
// names its reservation, and an engine refuses or ends work whose reservation it does not have. A release names the
// id of one reservation and can't affect another. Each reservation ends without its holder: it expires on engines that
// support expiry, and the sweeper releases it on the others.
//
// Groups can't deadlock: each group reserves on its engines in the order of their ids, waits a bounded time for an
// engine that has no memory, and then releases everything it holds.
package reserve

import (
	"slices"
	"strings"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Part is the reservation of memory on one engine.
type Part struct {
	ID       string // id of the reservation; never reused
	Upstream fleet.UpstreamID
	Tokens   int64 // amount of memory, in tokens of KV cache
}

// Verb is the action that the driver carries out.
type Verb uint8

// The verbs.
const (
	Reserve Verb = iota // send the part's reservation after Delay; then call Granted, Refused or ReserveUnknown
	Release             // send the part's release after Delay; then call Released or ReleaseUnknown
	Ready               // all parts are reserved: the request may be sent
	Failed              // the request gets no reservation; parts that were reserved are being released
	Done                // all parts are released; no action follows
)

// Effect is one action for the driver. Part is the index of a part, for Reserve and Release.
type Effect struct {
	Verb   Verb
	Part   int
	Delay  time.Duration
	Reason decide.Reason
}

// Reasons of a group's outcome.
const (
	AllHeld      decide.Reason = "all_parts_held"
	NoMemory     decide.Reason = "part_refused"        // an engine had no memory for the longest time that the group may wait
	AnswerLost   decide.Reason = "reserve_answer_lost" // the reservation may or may not exist, so all parts are released
	RequestEnded decide.Reason = "request_ended"
)

// Reasons lists every reason of this package.
var Reasons = []decide.Reason{AllHeld, NoMemory, AnswerLost, RequestEnded, DeadlinePassed, HolderGone}

const (
	// retryDelay is the time between two attempts to reserve on an engine without memory.
	retryDelay = 50 * time.Millisecond
	// minReleaseBackoff and maxReleaseBackoff bound the backoff of releases whose answers are lost.
	minReleaseBackoff = 100 * time.Millisecond
	maxReleaseBackoff = 2 * time.Second
	// secondReleaseDelay is the time until a part is released a second time if the answer to its reservation was lost.
	// It is longer than any call takes to reach an engine after its caller stopped waiting for the answer.
	secondReleaseDelay = 5 * time.Second
)

// partState is the state of one part's reservation.
type partState uint8

const (
	idle      partState = iota // no reservation sent yet
	reserving                  // the reservation was sent and its answer has not arrived
	held                       // the engine granted the reservation, or may have granted it
	releasing                  // the release was sent and its answer has not arrived
	released                   // the group has no reservation for the part, as far as it can determine
)

// part is a Part with the state of its reservation.
type part struct {
	Part
	state        partState
	backoff      time.Duration // before the next release, if the answer to the current one is lost
	releaseTwice bool          // the part is released once more, after secondReleaseDelay
}

// phase is the state of a group as a whole.
type phase uint8

const (
	acquiring phase = iota // the parts are being reserved, one after the other
	ready                  // all parts are held
	ending                 // the parts are being released
	done                   // all parts are released
)

// Group is the state machine of one request's reservations. A request that needs one engine has a group of one part.
// The driver must call its methods from one goroutine.
type Group struct {
	parts     []part
	phase     phase
	wait      time.Duration  // maximum time to wait for memory, from Start on
	waitUntil decide.Instant // instant at which that wait ends
	giveUpAt  decide.Instant // the request's deadline plus the grace: after it, expiry or the sweeper releases what remains
}

// New returns a group of the given parts, sorted by engine. It waits for memory for at most wait, and repeats releases
// until giveUpAt.
func New(parts []Part, wait time.Duration, giveUpAt decide.Instant) *Group {
	g := &Group{wait: wait, giveUpAt: giveUpAt}
	for _, p := range parts {
		g.parts = append(g.parts, part{Part: p, backoff: minReleaseBackoff})
	}
	slices.SortFunc(g.parts, func(a, b part) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	return g
}

// Part returns the part with the index i of an Effect.
func (g *Group) Part(i int) Part { return g.parts[i].Part }

// Len returns the number of parts.
func (g *Group) Len() int { return len(g.parts) }

// Ready reports whether the request may use its reservations.
func (g *Group) Ready() bool { return g.phase == ready }

// Start begins to reserve, on the first engine.
func (g *Group) Start(now decide.Instant) []Effect {
	g.waitUntil = now.Add(g.wait)
	return g.reserve(0, 0)
}

// reserve sends the reservation of part i after delay.
func (g *Group) reserve(i int, delay time.Duration) []Effect {
	g.parts[i].state = reserving
	return []Effect{{Verb: Reserve, Part: i, Delay: delay}}
}

// Granted records that the engine granted the reservation of part i.
func (g *Group) Granted(i int) []Effect {
	p := &g.parts[i]
	if p.state != reserving {
		return nil
	}
	p.state = held
	if g.phase != acquiring {
		// The request ended while this answer was in transit, so the part is not needed.
		return g.release(i, 0)
	}
	if i+1 < len(g.parts) {
		return g.reserve(i+1, 0)
	}
	g.phase = ready
	return []Effect{{Verb: Ready, Reason: AllHeld}}
}

// Refused records that the engine has no memory for part i and reserved nothing, or that the reservation was never
// sent.
func (g *Group) Refused(i int, now decide.Instant) []Effect {
	p := &g.parts[i]
	if p.state != reserving {
		return nil
	}
	if g.phase == acquiring && now.Add(retryDelay).Before(g.waitUntil) {
		return g.reserve(i, retryDelay)
	}
	p.state = released
	if g.phase == acquiring {
		return g.end(NoMemory, true)
	}
	return g.checkDone()
}

// ReserveUnknown records that the answer to the reservation of part i was lost.
//
// It guards against a reservation that exists on the engine without its holder's knowledge. The reservation is released
// by its id, at once and again after secondReleaseDelay, because the lost call may still be in transit and arrive after
// the first release. If both releases fail, expiry or the sweeper releases the reservation.
func (g *Group) ReserveUnknown(i int) []Effect {
	p := &g.parts[i]
	if p.state != reserving {
		return nil
	}
	p.state, p.releaseTwice = held, true
	if g.phase == acquiring {
		return g.end(AnswerLost, true)
	}
	return g.release(i, 0)
}

// End releases all parts. Every exit path of the request calls it; repeated calls have no effect.
func (g *Group) End() []Effect {
	if g.phase == ending || g.phase == done {
		return nil
	}
	return g.end(RequestEnded, g.phase == acquiring)
}

// end releases the reserved parts. A part whose answer is still in transit is released when the answer arrives. A release
// sent now could overtake the reservation, which would then remain on the engine.
func (g *Group) end(reason decide.Reason, failed bool) []Effect {
	g.phase = ending
	var effects []Effect
	if failed {
		effects = append(effects, Effect{Verb: Failed, Reason: reason})
	}
	for i := range g.parts {
		switch g.parts[i].state {
		case held:
			effects = append(effects, g.release(i, 0)...)
		case idle:
			g.parts[i].state = released
		}
	}
	return append(effects, g.checkDone()...)
}

// release sends the release of part i after delay.
func (g *Group) release(i int, delay time.Duration) []Effect {
	g.parts[i].state = releasing
	return []Effect{{Verb: Release, Part: i, Delay: delay}}
}

// Released records that the engine no longer holds the reservation of part i.
func (g *Group) Released(i int) []Effect {
	p := &g.parts[i]
	if p.state != releasing {
		return nil
	}
	if p.releaseTwice {
		p.releaseTwice = false
		return g.release(i, secondReleaseDelay)
	}
	p.state = released
	return g.checkDone()
}

// ReleaseUnknown records that the outcome of the release of part i is unknown. The release is repeated until the
// request's deadline and the grace have passed; a second release of the same reservation has no effect.
func (g *Group) ReleaseUnknown(i int, now decide.Instant) []Effect {
	p := &g.parts[i]
	if p.state != releasing {
		return nil
	}
	if !now.Before(g.giveUpAt) {
		p.state = released
		return g.checkDone()
	}
	delay := p.backoff
	p.backoff = min(2*p.backoff, maxReleaseBackoff)
	return g.release(i, delay)
}

// checkDone ends the group if it is ending and all of its parts are released.
func (g *Group) checkDone() []Effect {
	if g.phase != ending {
		return nil
	}
	for i := range g.parts {
		if g.parts[i].state != released {
			return nil
		}
	}
	g.phase = done
	return []Effect{{Verb: Done}}
}
