// Package advertised keeps what upstreams say on their answers of how many requests they take. An answer arrives at one
// instance and binds all: each tells the others what it heard, and what is told comes in any order and late.
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
	// settleTime is how long after a limit was named a request must have been sent for its answer to end the limit. An
	// answer of before can come behind one that names it, and ages that are told are late by a trip.
	settleTime = 500 * time.Millisecond
	// renewEvery is how often the others are told that a limit is still named, or still over.
	renewEvery = time.Second
	// overTime is for how long after it was last named the others are told that a limit is over: one that had just heard it
	// named takes no end, and would keep the limit for good.
	overTime = time.Minute
	// maxProcesses bounds what is kept; the one that was heard of longest ago goes first.
	maxProcesses = 10_000
)

// Statement is what an answer said of its upstream's limit. It ends with the upstream's process.
type Observation struct {
	fleet.Process
	Limited    bool
	Rate       float64          // requests a second that the process takes from all instances together
	SentAt     decide.Instant   // when the answered request was sent
	ReceivedAt decide.Instant   // when the head of the answer came
	ReceivedBy fleet.InstanceID // that heard it
}

// Reasons of this package: what a statement changed. None is no news to anybody.
const (
	Unchanged decide.Reason = ""
	Named     decide.Reason = "limit_named"
	Changed   decide.Reason = "limit_changed"
	Renewed   decide.Reason = "limit_renewed" // as before, and the others have not heard so for a while
	Ended     decide.Reason = "limit_ended"
)

// Reasons lists all of them.
var Reasons = []decide.Reason{Unchanged, Named, Changed, Renewed, Ended}

// Limits are the limits in force, as far as one instance knows. They are not safe for concurrent use.
type Limits struct {
	all     map[fleet.Process]*limit
	inForce int
}

type limit struct {
	last  Observation    // that named it
	ended decide.Instant // a request sent then was answered without a limit
	told  decide.Instant // when the others were last told
	over  bool
}

// New gives Limits of which none is in force.
func New() *Limits { return &Limits{all: map[fleet.Process]*limit{}} }

// InForce is the number of limits in force.
func (l *Limits) InForce() int { return l.inForce }

// Known is the number of processes that are known to have named a limit.
func (l *Limits) Tracked() int { return len(l.all) }

// Of gives the limit of a process in requests a second; ok is false if it has none.
func (l *Limits) Rate(p fleet.Process) (rate float64, ok bool) {
	one := l.all[p]
	if one == nil || one.over {
		return 0, false
	}
	return one.last.Rate, true
}

// Take takes a statement and tells what is new with it.
func (l *Limits) Apply(s Observation) decide.Reason {
	if s.Limited {
		return l.named(s)
	}
	return l.unnamed(s)
}

func (l *Limits) named(s Observation) decide.Reason {
	one := l.all[s.Process]
	switch {
	case one == nil:
		l.makeRoom()
		one = &limit{over: true, ended: math.MinInt64}
		l.all[s.Process] = one
	case s.ReceivedAt < one.ended:
		return Unchanged // of before its end
	case !one.over && s.ReceivedAt < one.last.ReceivedAt:
		return Unchanged // of before what is known
	}
	news := Named
	switch {
	case one.over:
		one.over = false
		l.inForce++
	case one.last.Rate != s.Rate:
		news = Changed
	case s.ReceivedAt.Sub(one.told) >= renewEvery:
		news = Renewed
	default:
		news = Unchanged
	}
	one.last = s
	if news != Unchanged {
		one.told = s.ReceivedAt
	}
	return news
}

func (l *Limits) unnamed(s Observation) decide.Reason {
	one := l.all[s.Process]
	switch {
	case one == nil:
		return Unchanged
	case one.over:
		one.ended = max(one.ended, s.SentAt)
		if s.ReceivedAt.Sub(one.told) < renewEvery || s.ReceivedAt.Sub(one.last.ReceivedAt) > overTime {
			return Unchanged
		}
		one.told = s.ReceivedAt
		return Renewed
	case s.SentAt < one.last.ReceivedAt.Add(settleTime):
		return Unchanged // it may be an answer of before
	}
	one.over, one.ended, one.told = true, s.SentAt, s.ReceivedAt
	l.inForce--
	return Ended
}

// makeRoom drops the process that was heard of longest ago where there are too many.
func (l *Limits) makeRoom() {
	if len(l.all) < maxProcesses {
		return
	}
	var oldest *limit
	for _, one := range l.all {
		if oldest == nil || one.heard() < oldest.heard() {
			oldest = one
		}
	}
	if !oldest.over {
		l.inForce--
	}
	delete(l.all, oldest.last.Process)
}

func (one *limit) heard() decide.Instant { return max(one.last.ReceivedAt, one.ended) }

// Statements gives the statements by which another one knows the same: of limits in force, and of those that ended after
// a moment.
func (l *Limits) Observations(after decide.Instant) []Observation {
	var all []Observation
	for _, one := range l.all {
		switch {
		case !one.over:
			all = append(all, one.last)
		case one.ended >= after:
			all = append(all, Observation{Process: one.last.Process, SentAt: one.ended, ReceivedAt: one.ended, ReceivedBy: one.last.ReceivedBy})
		}
	}
	slices.SortFunc(all, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born))
	})
	return all
}
