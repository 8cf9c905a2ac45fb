package dispatch

import (
	"cmp"
	"slices"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// survey computes, at the beginning of a step, the figures over all upstreams and queued jobs: the mean pass of
// engines with runs, unreachable upstreams by link, rate limits, and long prompts that wait.
func (s *State) survey(now decide.Instant) {
	s.unreachableCounts, s.pathFailures, s.limitTotals = map[link]int{}, map[link]int{}, limitTotals{}
	s.forgetPathFailures(now)
	total, busy, byForecast := 0.0, 0, s.byForecast()
	s.forecast.reset()
	for _, e := range s.orderedEngines {
		e.refillLimit(now)
		if !e.closed {
			s.limitTotals.add(e)
			if byForecast {
				s.forecast.addEngine(now, s.model, e)
			}
		}
		for domain, f := range e.lastUnreachable {
			switch l := (link{domain, e.Domain}); {
			case now.Sub(f.at) >= unreachableHoldoff:
				delete(e.lastUnreachable, domain)
			case f.at > s.lastAnswer[l]:
				s.pathFailures[l]++
				s.unreachableCounts[l] += boolToInt(f.dead && f.at > s.lastIndirect[l])
			}
		}
		if s.model != nil && len(e.runs) > 0 {
			total += s.model.passMs(len(e.runs), e.contextTokens)
			busy++
		}
	}
	s.unplacedLong, s.unplacedShort, s.longWaiting = 0, map[origin]requirement{}, 0
	s.meanPassMs = 0
	if busy > 0 {
		s.meanPassMs = total / float64(busy)
	}
	s.surveyQueue(now)
}

// surveyQueue counts the long prompts that wait. Under ByForecast late ones don't count, as they would keep each other
// waiting beside idle engines; It also sets the kind of each job and whether it is late.
func (s *State) surveyQueue(now decide.Instant) {
	if s.model == nil {
		return
	}
	byForecast := s.byForecast()
	for _, j := range s.queue {
		if byForecast {
			j.kind, j.late = s.kindOf(j), s.missesTarget(now, j)
			s.longWaiting += boolToInt(j.kind == longPrompt && !j.late)
		} else if s.isLong(j) && !s.oversized(j) {
			s.longWaiting++
		}
	}
}

// sortQueue sorts the queue into the order of placement: resumed streams, as what their callers have received is
// worthless without the rest; then by priority; then jobs that can still meet their target before late ones; under ByForecast then by
// compareReturns and compareShares; then jobs within their workspace's share before excess; then by prefillCost, as the least prefill first serves the most
// callers soonest.
func (s *State) sortQueue(now decide.Instant) {
	for _, j := range s.queue {
		j.late, j.cost = s.missesTarget(now, j), s.prefillCost(now, j) // late again, as surveyQueue sets it under ByForecast only
	}
	slices.SortStableFunc(s.queue, func(a, b *Job) int {
		if a.Resumed != b.Resumed {
			if b.Resumed {
				return 1
			}
			return -1
		}
		if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
			return c
		}
		if a.late != b.late {
			if a.late {
				return 1
			}
			return -1
		}
		if s.byForecast() {
			if c := cmp.Or(s.compareReturns(a, b, a.late), s.compareShares(a, b)); c != 0 {
				return c
			}
		}
		if a.excess != b.excess {
			if a.excess {
				return 1
			}
			return -1
		}
		if c := cmp.Compare(a.cost, b.cost); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
}
