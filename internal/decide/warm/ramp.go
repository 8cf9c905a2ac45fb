package warm

import (
	"math"

	"github.com/damaskshelf/damaskshelf/internal/decide/health"
)

// Unlimited is a cap that is never reached.
const Unlimited = math.MaxInt32

// Limits of the growth of load, in dispatches of one instance.
const (
	rampMin   = 1    // smallest cap in flight at a warming upstream
	rampMax   = 64   // cap in flight at which a warming upstream counts as warm
	windowMin = 16   // smallest cap on dispatches without a first byte at a warm upstream
	windowMax = 1024 // largest one
)

// Caps limit the dispatches of one instance to one upstream.
type Caps struct {
	InFlight          int // dispatches in flight
	AwaitingFirstByte int // dispatches without a first byte
	// FromSlots is whether InFlight is a share of slots. It is then valid only until Slots.ValidUntil, and for
	// dispatches that take at most Params.MaxDispatch.
	FromSlots bool
}

// Growth holds the caps of one upstream, which grow with successful dispatches. The zero value is for a cold upstream.
type Growth struct {
	rampStart int // cap in flight at the start of the ramp
	ramp      int // cap in flight at a warming upstream
	successes int // successful dispatches since the ramp last grew
	window    int // cap on dispatches without a first byte
}

// OnStateChange adjusts the caps to the upstream's new state s; share is this instance's current share of slots.
func (g *Growth) OnStateChange(s health.State, share int) {
	switch s {
	case health.Warming:
		g.rampStart = max(rampMin, share)
		g.ramp, g.successes = g.rampStart, 0
		g.window = windowMin
	case health.Warm:
		g.window = max(g.window, windowMin)
	default:
		g.window = windowMin
	}
}

// OnSuccess counts a successful dispatch. After as many successes as the ramp allows dispatches in flight, the ramp
// doubles. OnSuccess reports whether the ramp has reached its maximum.
func (g *Growth) OnSuccess() bool {
	if g.ramp == 0 || g.ramp >= rampMax {
		return g.ramp >= rampMax
	}
	g.successes++
	if g.successes >= g.ramp {
		g.ramp, g.successes = 2*g.ramp, 0
	}
	return g.ramp >= rampMax
}

// OnFirstByte counts a first byte that arrived in time while awaitingFirstByte other dispatches were still without one.
// The window grows only while it is fully used, so it follows the load that the upstream has handled. If the upstream
// turns cold unannounced, at most the window is sent to it before that shows.
func (g *Growth) OnFirstByte(awaitingFirstByte int) {
	if awaitingFirstByte+1 >= g.window && g.window < windowMax {
		g.window++
	}
}

// ShrinkWindow reduces the window by an eighth, at least by 1, if less than half of it is used. It is called at a fixed
// interval, so that the window doesn't keep the size of a past load.
func (g *Growth) ShrinkWindow(awaitingFirstByte int) {
	if 2*awaitingFirstByte < g.window {
		g.window = max(windowMin, g.window-max(1, g.window/8))
	}
}

// Caps returns the caps in state s, given this instance's share of slots.
func (g *Growth) Caps(s health.State, share int) Caps {
	switch s {
	case health.Warm:
		return Caps{InFlight: Unlimited, AwaitingFirstByte: g.window}
	case health.Warming:
		return Caps{InFlight: max(g.ramp, share), AwaitingFirstByte: Unlimited}
	case health.Leaving, health.Gone:
		return Caps{}
	default:
		return Caps{InFlight: share, AwaitingFirstByte: share, FromSlots: true}
	}
}
