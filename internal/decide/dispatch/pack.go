package dispatch

import (
	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// pack places a short prompt on the fullest engine where neither the event gaps of the streams there nor its own
// become too long. Engines that stay empty can prefill long prompts without delaying any stream.
func (s *State) pack(now decide.Instant, j *Job) (Decision, bool) {
	if s.cannotBePacked(j) {
		return Decision{}, false
	}
	prefillMs := s.model.prefillMs(j.PromptTokens)
	byForecast := s.byForecast()
	var best *engine
	for _, e := range s.orderedEngines {
		if byForecast && s.avoidsSlow(now, e) || !s.accepts(now, e, j) || !s.fits(e, j) || !s.withinGaps(now, e, j, prefillMs) {
			continue
		}
		if best == nil || s.fuller(e, best) != j.alone {
			best = e
		}
	}
	if best == nil && byForecast {
		best = s.packSlow(now, j, prefillMs)
	}
	if best == nil {
		if len(j.Avoid) == 0 && !j.alone {
			s.unplacedShort[s.originOf(now, j)] = s.requirementOf(now, j)
		}
		return Decision{}, false
	}
	return s.placement(s.startRun(now, j, best, nil, nil), Packed), true
}

// withinGaps reports whether the engine can prefill the prompt without too long a gap between the events of its streams,
// or of the job itself.
func (s *State) withinGaps(now decide.Instant, e *engine, j *Job, prefillMs float64) bool {
	passMs := s.model.passMs(len(e.runs)+1, e.contextTokens+j.PromptTokens+j.MaxOutputTokens)
	return s.prefillRoomMs(e, j.MaxGap) >= prefillMs && (passMs+e.pendingMs+prefillMs)*e.slowdown(now) <= toMs(j.MaxGap)*s.params.GapShare
}

// requirementOf returns what the job needs. Whether a slow engine can take a job also depends on its output length and on
// whether it can still meet a target, so under ByForecast the requirement includes both.
func (s *State) requirementOf(now decide.Instant, j *Job) requirement {
	q := requirement{promptTokens: j.PromptTokens, maxGap: j.MaxGap}
	if s.byForecast() {
		q.outputTokens, q.late = j.MaxOutputTokens, s.hasNoTarget(now, j)
	}
	return q
}

// cannotBePacked reports whether packing already failed in this step for a prompt that needs no more than this one.
// Under overload hundreds of jobs wait, and searching all engines for each of them would saturate the dispatcher's
// processor. The result holds for the whole step, as a step only occupies capacity and never frees any.
func (s *State) cannotBePacked(j *Job) bool {
	unplaced, ok := s.unplacedShort[s.originOf(s.now, j)]
	if !ok || j.PromptTokens < unplaced.promptTokens || j.MaxGap > unplaced.maxGap {
		return false
	}
	return !s.byForecast() || j.MaxOutputTokens >= unplaced.outputTokens && s.hasNoTarget(s.now, j) == unplaced.late
}

// fuller reports whether packing prefers engine a to engine b: the one with more runs, then the one with less prefill
// pending.
func (s *State) fuller(a, b *engine) bool {
	if len(a.runs) != len(b.runs) {
		return len(a.runs) > len(b.runs)
	}
	return a.pendingMs < b.pendingMs
}

// hasNoTarget reports whether the job has no target that it can still meet: it is late, is resumed, or states none.
func (s *State) hasNoTarget(now decide.Instant, j *Job) bool {
	return j.Resumed || j.FirstEventTarget == 0 || s.missesTarget(now, j)
}

// packSlow returns the slow or doubtful engine on which a short prompt ends soonest, nil if none can take it. A job without
// a target that it can meet has nothing to lose by long gaps, and needs only end within its limits.
func (s *State) packSlow(now decide.Instant, j *Job, prefillMs float64) *engine {
	late := s.hasNoTarget(now, j)
	var best *engine
	for _, e := range s.orderedEngines {
		if !s.avoidsSlow(now, e) || !s.accepts(now, e, j) || !s.fits(e, j) {
			continue
		}
		if !s.withinGaps(now, e, j, prefillMs) && !(late && s.endsOnSlow(now, e, j, prefillMs)) {
			continue
		}
		if best == nil || s.delayMs(e) < s.delayMs(best) {
			best = e
		}
	}
	return best
}

// endsOnSlow reports whether a late job ends within its limits on a slow engine, without delaying streams there that
// are not delayed too long already.
func (s *State) endsOnSlow(now decide.Instant, e *engine, j *Job, prefillMs float64) bool {
	if e.shortestGap > 0 && s.prefillRoomMs(e, 0) < prefillMs {
		passMs := s.model.passMs(len(e.runs), e.contextTokens) * e.slowdown(now)
		if passMs <= toMs(e.shortestGap)*s.params.GapShare {
			return false
		}
	}
	return s.endsWithinLimits(now, e, j, prefillMs)
}

// endsWithinLimits reports whether the job has its first event before its caller gives up, and its end before its
// deadline, if the engine begins to prefill its part now and is as slow as it seems.
func (s *State) endsWithinLimits(now decide.Instant, e *engine, j *Job, partMs float64) bool {
	slowdown := e.slowdown(now)
	streams, tokens := len(e.runs)+1, e.contextTokens+j.PromptTokens+j.MaxOutputTokens
	firstEvent := now.Add(fromMs((e.pendingMs+partMs+passesToFirstEvent*s.model.passMs(streams, tokens))*slowdown + roundTripMs))
	return firstEvent.Add(s.params.Margin) <= j.FirstEventDeadline &&
		firstEvent.Add(fromMs(s.decodeMs(j, streams, tokens)*slowdown)) <= j.Deadline
}
