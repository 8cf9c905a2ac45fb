package dispatch

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Work can wait beside idle upstreams because of something that is believed of them and wrong. It shows as a queue from
// which nothing is placed although an upstream has nothing to do.

// stallTime is how long that may last: some passes. A link that is taken for cut is then tried by one job.
const stallTime = 300 * time.Millisecond

// Stall is what keeps jobs that need one upstream from those that are idle.
type Stall struct {
	Duration time.Duration // since something was last placed, or nothing waited
	Waiting  int
	Idle     int // upstreams without work that may get some
	// Of the idle ones, as the first waiting job sees them; one may be counted in several.
	Paused, Full, Cold, Unreachable, Partitioned, Limited int
}

// Stalled tells whether work waits beside idle upstreams, and why.
func (s *State) Stalled(now decide.Instant) (st Stall, ok bool) {
	j := s.firstWaiting()
	st = Stall{Duration: now.Sub(s.flowing), Waiting: len(s.queue)}
	if j == nil || st.Duration < stallTime {
		return st, false
	}
	for _, e := range s.order {
		if e.gone || len(e.runs) > 0 || e.pending >= idleBelow {
			continue
		}
		st.Idle++
		st.Paused += count(e.paused(now))
		st.Full += count(now < e.full)
		st.Cold += count(!s.warmEnough(now, e))
		st.Limited += count(e.limited())
		_, unreached := e.unreached[j.Domain]
		st.Unreachable += count(unreached)
		st.Partitioned += count(s.cuts[link{j.Domain, e.Domain}] >= cutFrom)
	}
	return st, st.Idle > 0
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}

// firstWaiting gives the most urgent job that any idle upstream could take; nil: none waits. Long prompts wait for several
// upstreams, and may have to.
func (s *State) firstWaiting() *Job {
	for _, j := range s.queue {
		if s.model == nil || !s.isLong(j) {
			return j
		}
	}
	return nil
}

// probe lets one job try each link that is taken for cut, and the upstream that was out of reach first, where nothing else
// can be placed.
func (s *State) probe(now decide.Instant) {
	if now.Sub(s.probed) < stallTime {
		return
	}
	st, stalled := s.Stalled(now)
	if !stalled || st.Partitioned+st.Unreachable == 0 {
		return
	}
	s.probed = now
	for way := range s.cuts {
		s.probing[way] = true
	}
	s.retrying = s.firstUnreached(s.firstWaiting().Domain)
}

// firstUnreached gives the idle upstream that has been out of a domain's reach for longest, or nil.
func (s *State) firstUnreached(from fleet.DomainID) *engine {
	var first *engine
	for _, e := range s.order {
		at, unreached := e.unreached[from]
		if unreached && !e.gone && len(e.runs) == 0 && (first == nil || at < first.unreached[from]) {
			first = e
		}
	}
	return first
}

// triedFrom takes that a job of a domain was placed on the upstream.
func (s *State) triedFrom(from fleet.DomainID, e *engine) {
	delete(s.probing, link{from, e.Domain})
	if e == s.retrying {
		s.retrying = nil
	}
}
