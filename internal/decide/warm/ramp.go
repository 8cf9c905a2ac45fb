package warm

import (
	"math"

	"github.com/damaskshelf/damaskshelf/internal/decide/health"
)

// Unlimited is a cap that no request reaches.
const Unlimited = math.MaxInt32

// Constants of the growth of load.
const (
	rampBase   = 1  // requests at once that an instance has at an upstream that has just become warm
	rampTop    = 64 // a warming upstream that bears so many at once from one instance is warm
	windowBase = 16 // requests without a first byte that an instance always may have at a warm upstream
	windowTop  = 1024
)

// Caps bound what one instance may have at one upstream.
type Caps struct {
	InFlight          int  // dispatches
	AwaitingFirstByte int  // dispatches whose first byte has not come
	FromSlots         bool // InFlight is a share of slots: good only until Slots.ValidUntil, for Params.Work at most each
}

// Growth is how one upstream's caps grow with successes. The zero value is that of a cold one.
type Growth struct {
	base   int // cap at the start of the ramp
	ramp   int // cap of a warming upstream
	good   int // successes since the ramp last grew
	window int // cap of requests without a first byte
}

// Enter takes a new state; share is this instance's share of slots then.
func (g *Growth) OnStateChange(s health.State, share int) {
	switch s {
	case health.Warming:
		g.base = max(rampBase, share)
		g.ramp, g.good = g.base, 0
		g.window = windowBase
	case health.Warm:
		g.window = max(g.window, windowBase)
	default:
		g.window = windowBase
	}
}

// Success counts a dispatch that showed that the upstream works. Once as many have as the ramp allows at a
// time, the ramp doubles. It tells whether the ramp has reached its top.
func (g *Growth) OnSuccess() bool {
	if g.ramp == 0 || g.ramp >= rampTop {
		return g.ramp >= rampTop
	}
	g.good++
	if g.good >= g.ramp {
		g.ramp, g.good = 2*g.ramp, 0
	}
	return g.ramp >= rampTop
}

// FirstByte counts a first byte that came in time while so many others were still out. The window grows
// only while it is used, so that it follows what the upstream is known to bear: if it turns cold without a
// word, no more than the window is sent before that shows.
func (g *Growth) OnFirstByte(unanswered int) {
	if unanswered+1 >= g.window && g.window < windowTop {
		g.window++
	}
}

// Shrink halves the window's growth; the shell calls it at a fixed interval while the window is not used,
// so that it forgets a load that is long past.
func (g *Growth) ShrinkWindow(unanswered int) {
	if 2*unanswered < g.window {
		g.window = max(windowBase, g.window-max(1, g.window/8))
	}
}

// Caps gives the caps in state s with a share of slots.
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
