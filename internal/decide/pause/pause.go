// Package pause lets an instance detect that it was paused (stopped process, frozen machine, starved scheduler) before
// it acts on outdated state.
package pause

import (
	"sync/atomic"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// Reasons of this package.
const (
	Running decide.Reason = "running"
	Paused  decide.Reason = "paused"
)

// Reasons lists every reason of this package.
var Reasons = []decide.Reason{Running, Paused}

// Guard compares the current time with its owner's last tick. It guards against an instance that resumes after a pause
// and acts on outdated state as if no time had passed, which shows as work for an upstream that has left, or as use of
// a lease after its end. The guard holds because the monotonic clock advances while the process is paused, and because
// the code that acts calls Check with the current time, so that no tick has to run first.
//
// Check and Tick may be called from several goroutines.
type Guard struct {
	threshold time.Duration
	lastTick  atomic.Int64 // a decide.Instant
}

// New returns a guard whose owner calls Tick at intervals shorter than threshold.
func New(now decide.Instant, threshold time.Duration) *Guard {
	g := &Guard{threshold: threshold}
	g.Tick(now)
	return g
}

// Check reports whether the instance was paused since the last tick, and the time since that tick.
func (g *Guard) Check(now decide.Instant) (time.Duration, decide.Reason) {
	gap := now.Sub(decide.Instant(g.lastTick.Load()))
	if gap > g.threshold {
		return gap, Paused
	}
	return gap, Running
}

// Tick records a tick of the owner. After a pause the owner drops its outdated state before it calls Tick. In the
// other order a request between the two would still find that state valid.
func (g *Guard) Tick(now decide.Instant) { g.lastTick.Store(int64(now)) }
