package dispatch

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Jobs can wait beside idle upstreams because the dispatcher wrongly takes these for unusable. It shows as a queue from
// which nothing is placed although an upstream has no work.

// stallThreshold is how long that may last before jobs probe partitioned links and unreachable upstreams: a few passes.
const stallThreshold = 300 * time.Millisecond

// Stall counts what keeps queued jobs from idle upstreams, for jobs that need a single upstream.
type Stall struct {
	Duration time.Duration // since the last placement, or since no such job waited
	Waiting  int
	Idle     int // upstreams without work that may receive jobs
	// Idle upstreams by the reason for which the first waiting job cannot use them; one can count for several reasons.
	// Paused ones are in the holdoff after a failure.
	Paused, Full, Cold, Unreachable, Partitioned, Limited int
}

// Stalled reports whether jobs wait beside idle upstreams, and for what reasons.
func (s *State) Stalled(now decide.Instant) (st Stall, ok bool) {
	j := s.firstWaiting()
	st = Stall{Duration: now.Sub(s.lastProgress), Waiting: len(s.queue)}
	if j == nil || st.Duration < stallThreshold {
		return st, false
	}
	cutOff := s.cutOff(now, j.Instance, j.Domain)
	for _, e := range s.orderedEngines {
		if e.closed || len(e.runs) > 0 || e.pendingMs >= idleBelowMs {
			continue
		}
		st.Idle++
		st.Paused += boolToInt(e.inHoldoff(now))
		st.Full += boolToInt(now < e.fullUntil)
		st.Cold += boolToInt(!s.underColdLimit(now, e))
		st.Limited += boolToInt(e.limited())
		if cutOff {
			continue // it reaches engines through other instances
		}
		st.Unreachable += boolToInt(e.lastUnreachable[j.Domain].dead)
		st.Partitioned += boolToInt(s.unreachableCounts[link{j.Domain, e.Domain}] >= partitionThreshold)
	}
	return st, st.Idle > 0
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// firstWaiting returns the most urgent queued job that a single upstream could take, nil if there is none. Long
// prompts are left out, as they may rightly wait until several upstreams are free, and so are jobs that wait for the outcome
// of another one.
func (s *State) firstWaiting() *Job {
	for _, j := range s.queue {
		if !j.awaiting && (s.model == nil || !s.isLong(j)) {
			return j
		}
	}
	return nil
}

// probe lets one job try each link with unreachable upstreams, and one job the upstream that has been unreachable for
// longest, if jobs wait and nothing else can be placed.
func (s *State) probe(now decide.Instant) {
	if now.Sub(s.lastProbe) < stallThreshold {
		return
	}
	st, stalled := s.Stalled(now)
	if !stalled || st.Partitioned+st.Unreachable == 0 {
		return
	}
	s.lastProbe = now
	for l := range s.unreachableCounts {
		s.probeLinks[l] = true
	}
	s.probeEngine = s.longestUnreachable(s.firstWaiting().Domain)
}

// longestUnreachable returns the idle upstream that has been unreachable from the domain for longest, or nil.
func (s *State) longestUnreachable(domain fleet.DomainID) *engine {
	var longest *engine
	for _, e := range s.orderedEngines {
		f := e.lastUnreachable[domain]
		if f.dead && !e.closed && len(e.runs) == 0 && (longest == nil || f.at < longest.lastUnreachable[domain].at) {
			longest = e
		}
	}
	return longest
}

// clearProbes ends the probes of the upstream and of the link to it, as a job from the domain was placed on the
// upstream.
func (s *State) clearProbes(domain fleet.DomainID, e *engine) {
	delete(s.probeLinks, link{domain, e.Domain})
	if e == s.probeEngine {
		s.probeEngine = nil
	}
}
