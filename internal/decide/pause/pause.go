// Package pause lets an instance find out that it was paused (stopped process, frozen machine, starved
// scheduler) before it acts on what it knew before.
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

// Guard compares now with the owner's last tick. The failure it guards against: a holder of old knowledge
// wakes up and acts on it, as if no time had passed; it shows as work for an upstream that left or as a
// lease used after its end. The guard holds because the monotonic clock runs on while the process is
// paused, and because whoever acts asks with its own now: no tick has to run first.
//
// Ask and Mark may be called from several goroutines.
type Guard struct {
	bound time.Duration
	last  atomic.Int64
}

// New gives a guard whose owner ticks more often than bound.
func New(now decide.Instant, bound time.Duration) *Guard {
	g := &Guard{bound: bound}
	g.Tick(now)
	return g
}

// Ask tells whether the instance was paused since the last mark, and for how long it was not heard of.
func (g *Guard) Check(now decide.Instant) (time.Duration, decide.Reason) {
	gap := now.Sub(decide.Instant(g.last.Load()))
	if gap > g.bound {
		return gap, Paused
	}
	return gap, Running
}

// Mark notes a tick of the owner. After a pause the owner drops its old knowledge before it marks:
// the other way round, a request between the two would still find that knowledge valid.
func (g *Guard) Tick(now decide.Instant) { g.last.Store(int64(now)) }
