// Package advertised keeps the rate limits that upstreams advertise on their answers. An answer reaches one instance,
// but its limit applies to all. Each instance sends its observations to the others, where they arrive late and in any
// order.
package advertised

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

const (
	// settleTime is how long after a limit was last advertised a request must be sent for its answer to end the limit.
	// An answer that was made before the limit began can arrive after one that advertises it, and the times in the
	// other instances' messages are off by the time in transit.
	settleTime = 500 * time.Millisecond
	// renewInterval is how often the other instances are notified that a limit is still advertised, or has still ended.
	renewInterval = time.Second
	// endRepeatTime is how long after a limit was last advertised its end is sent repeatedly. An instance that received
	// the limit just before its end ignores the end (see settleTime), and would otherwise keep the limit forever.
	endRepeatTime = time.Minute
	// maxProcesses bounds the limits that are kept. The one whose latest observation is oldest is evicted first.
	maxProcesses = 10_000
)

// Observation is what one answer said of its upstream's rate limit. It applies to the process of the upstream and ends
// with it.
type Observation struct {
	fleet.Process
	Limited    bool
	Rate       float64          // requests per second that the process accepts from all instances together
	SentAt     decide.Instant   // when the answered request was sent
	ReceivedAt decide.Instant   // when the head of the answer was received
	ReceivedBy fleet.InstanceID // received the answer
}

// Reasons of this package: what an observation changed. An observation with the result Unchanged need not be sent to
// the other instances.
const (
	Unchanged decide.Reason = ""
	Named     decide.Reason = "limit_named" // a limit begins
	Changed   decide.Reason = "limit_changed"
	Renewed   decide.Reason = "limit_renewed" // unchanged, but not sent to the other instances for a while
	Ended     decide.Reason = "limit_ended"
)

// Reasons lists every reason of this package.
var Reasons = []decide.Reason{Unchanged, Named, Changed, Renewed, Ended}

// Limits holds the rate limits that are known to one instance. It is not safe for concurrent use.
type Limits struct {
	limits  map[fleet.Process]*limit
	inForce int
}

// limit is the latest rate limit of one process, in force or ended.
type limit struct {
	lastAdvertised Observation    // latest observation of the limit
	endedAt        decide.Instant // latest SentAt of an observation that ended the limit or confirmed its end
	sharedAt       decide.Instant // when an observation was last sent to the other instances
	ended          bool
}

// New returns Limits without any limit.
func New() *Limits { return &Limits{limits: map[fleet.Process]*limit{}} }

// InForce returns the number of limits in force.
func (l *Limits) InForce() int { return l.inForce }

// Tracked returns the number of processes that are known to have advertised a limit, ended ones included.
func (l *Limits) Tracked() int { return len(l.limits) }

// Rate returns the limit of a process in requests per second; ok is false if it has none.
func (l *Limits) Rate(p fleet.Process) (rate float64, ok bool) {
	lim := l.limits[p]
	if lim == nil || lim.ended {
		return 0, false
	}
	return lim.lastAdvertised.Rate, true
}

// Apply records an observation and returns what it changed.
func (l *Limits) Apply(o Observation) decide.Reason {
	if o.Limited {
		return l.applyLimit(o)
	}
	return l.applyNoLimit(o)
}

// applyLimit applies an observation of a limit: it begins, changes or renews the limit of its process.
func (l *Limits) applyLimit(o Observation) decide.Reason {
	lim := l.limits[o.Process]
	switch {
	case lim == nil:
		l.evictOldest()
		lim = &limit{ended: true, endedAt: math.MinInt64}
		l.limits[o.Process] = lim
	case o.ReceivedAt < lim.endedAt:
		return Unchanged // received before the limit ended
	case !lim.ended && o.ReceivedAt < lim.lastAdvertised.ReceivedAt:
		return Unchanged // older than the latest observation
	}
	change := Named
	switch {
	case lim.ended:
		lim.ended = false
		l.inForce++
	case lim.lastAdvertised.Rate != o.Rate:
		change = Changed
	case o.ReceivedAt.Sub(lim.sharedAt) >= renewInterval:
		change = Renewed
	default:
		change = Unchanged
	}
	lim.lastAdvertised = o
	if change != Unchanged {
		lim.sharedAt = o.ReceivedAt
	}
	return change
}

// applyNoLimit applies an observation without a limit: it ends the limit of its process, or renews the end for the other
// instances.
func (l *Limits) applyNoLimit(o Observation) decide.Reason {
	lim := l.limits[o.Process]
	switch {
	case lim == nil:
		return Unchanged
	case lim.ended:
		lim.endedAt = max(lim.endedAt, o.SentAt)
		if o.ReceivedAt.Sub(lim.sharedAt) < renewInterval || o.ReceivedAt.Sub(lim.lastAdvertised.ReceivedAt) > endRepeatTime {
			return Unchanged
		}
		lim.sharedAt = o.ReceivedAt
		return Renewed
	case o.SentAt < lim.lastAdvertised.ReceivedAt.Add(settleTime):
		return Unchanged // the answer may have been made before the limit was advertised
	}
	lim.ended, lim.endedAt, lim.sharedAt = true, o.SentAt, o.ReceivedAt
	l.inForce--
	return Ended
}

// evictOldest removes the limit whose latest observation is oldest if there is no room for another one.
func (l *Limits) evictOldest() {
	if len(l.limits) < maxProcesses {
		return
	}
	var oldest *limit
	for _, lim := range l.limits {
		if oldest == nil || lim.lastReceived() < oldest.lastReceived() {
			oldest = lim
		}
	}
	if !oldest.ended {
		l.inForce--
	}
	delete(l.limits, oldest.lastAdvertised.Process)
}

// lastReceived returns the time of the latest observation of the limit or of its end.
func (lim *limit) lastReceived() decide.Instant {
	return max(lim.lastAdvertised.ReceivedAt, lim.endedAt)
}

// Observations returns the observations from which another instance derives the same limits: of limits in force, and
// of those that ended at or after the given time.
func (l *Limits) Observations(after decide.Instant) []Observation {
	var observations []Observation
	for _, lim := range l.limits {
		switch {
		case !lim.ended:
			observations = append(observations, lim.lastAdvertised)
		case lim.endedAt >= after:
			observations = append(observations, Observation{Process: lim.lastAdvertised.Process, SentAt: lim.endedAt, ReceivedAt: lim.endedAt, ReceivedBy: lim.lastAdvertised.ReceivedBy})
		}
	}
	slices.SortFunc(observations, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartTime, b.StartTime))
	})
	return observations
}
