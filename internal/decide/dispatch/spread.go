package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// spread places a long prompt on the engines that prefill it soonest, in even parts. If the job exceeds one engine's
// memory, other engines reserve KV cache for the rest.
func (s *State) spread(now decide.Instant, j *Job) (Decision, bool) {
	if !j.Resumed && (s.oversized(j) || s.missesTarget(now, j)) && !s.hasSlack(j) {
		return Decision{}, false
	}
	if s.unplacedLong >= maxUnplacedLong && !j.Resumed {
		return Decision{}, false
	}
	prefillMs := s.model.prefillMs(j.PromptTokens)
	candidates, answering := s.prefillCandidates(now, j, prefillMs)
	var reservations []reservation
	if s.oversized(j) {
		answering, reservations = s.chooseReservations(now, candidates, j)
	}
	if answering == nil {
		s.unplacedLong++
		return Decision{}, false
	}
	var required []*engine
	for _, h := range reservations {
		required = append(required, h.engine)
	}
	candidates = slices.DeleteFunc(candidates, func(e *engine) bool {
		return e == answering || slices.Contains(required, e) || !s.connects(answering.Domain, e) || now < e.noHelpUntil
	})
	helpers, firstEventMs := s.chooseHelpers(answering, required, candidates, prefillMs, j.MaxGap)
	if math.IsInf(firstEventMs, 1) || !j.Resumed && !s.worthStarting(now, j, len(helpers), firstEventMs) {
		s.unplacedLong++
		return Decision{}, false
	}
	d := s.placement(s.startRun(now, j, answering, helpers, reservations), SingleEngine)
	for _, h := range helpers[len(required):] {
		d.Helpers = append(d.Helpers, h.ID)
	}
	for _, h := range reservations {
		d.Reservations = append(d.Reservations, Reservation{Upstream: h.engine.ID, Tokens: h.tokens})
	}
	if len(helpers) > 0 {
		d.Reason = Spread
	}
	return d, true
}

// worthStarting reports whether a long prompt is to start now, with this many helpers and its first event after
// firstEventMs, instead of waiting for engines that are still busy.
func (s *State) worthStarting(now decide.Instant, j *Job, helpers int, firstEventMs float64) bool {
	firstEvent := now.Add(fromMs(firstEventMs))
	switch {
	case firstEvent.Add(s.params.Margin) > j.FirstEventDeadline:
		return false // the caller would give up first
	case j.FirstEventTarget != 0 && firstEvent > j.FirstEventTarget && !s.missesTarget(now, j):
		return false // it may meet its target later, or else waits as a late job
	case s.oversized(j) && s.targetUnattainable(j):
		// It misses its target anyway and takes seconds to prefill. On few engines it would block these for other jobs
		// for the longest time.
		return helpers >= min(s.params.MaxHelpers, int(s.minIdleEngines())-1)
	default:
		return true
	}
}

// prefillCandidates returns the engines that may prefill the prompt, ordered by partDelay, and the engine that is
// to answer the job, nil if none can. For a job that fits one engine's memory it returns at most twice the number of
// engines that can share a prompt, as more would be of no use.
//
// Engines with a backlog are left out. The job waits instead, so that more urgent jobs that arrive meanwhile are
// placed before it.
func (s *State) prefillCandidates(now decide.Instant, j *Job, prefillMs float64) (candidates []*engine, answering *engine) {
	smallestPartMs := prefillMs / float64(s.params.MaxHelpers+1)
	limit := len(s.orderedEngines)
	if !s.oversized(j) {
		limit = min(limit, 2*(s.params.MaxHelpers+1))
	}
	for _, e := range s.orderedEngines {
		if e.closed || e.inHoldoff(now) || slices.Contains(j.Avoid, e.ID) || s.prefillRoomMs(e, 0) <= 0 || s.backlogged(e, j) {
			continue
		}
		if s.canAnswer(now, e, j, smallestPartMs) && (answering == nil || s.answerDelay(e) < s.answerDelay(answering)) {
			answering = e
		}
		if !e.limited() && s.mayTry(now, e) { // an engine under a rate limit neither prefills nor reserves for others
			candidates = s.insert(candidates, e, limit)
		}
	}
	return candidates, answering
}

// backlogged reports whether the engine has so much prefill pending that a long prompt is to wait in the dispatcher's
// queue instead of the engine's. A resumed job does not wait.
func (s *State) backlogged(e *engine, j *Job) bool {
	return e.pendingMs > s.params.MaxBacklogMs && !j.Resumed
}

// canAnswer reports whether the engine can answer a long prompt: it accepts the job, has the memory, and has room for
// the smallest part into which the prompt can be split. A slow one must also end the answer within the job's limits.
func (s *State) canAnswer(now decide.Instant, e *engine, j *Job, smallestPartMs float64) bool {
	return s.accepts(now, e, j) && s.fits(e, j) && s.prefillRoomMs(e, j.MaxGap) > smallestPartMs &&
		(!s.byForecast() || e.slowdown(now) <= 1 || s.endsWithinLimits(now, e, j, smallestPartMs))
}

// answerDelay ranks engines for answering a long prompt: by delay, with a bonus for an engine that already has
// streams. Streams on one engine share its passes, so that more engines stay free for prefill.
func (s *State) answerDelay(e *engine) float64 {
	delay := s.delayMs(e) + s.slowPartMs(e)
	if len(e.runs) == 0 {
		return delay
	}
	return delay - s.params.CoLocationBonusMs
}

// prefillDelay ranks engines for prefill: by delay, with a penalty for an engine that has streams. Prefill beside
// streams delays their events and keeps their slots and memory in use for longer.
func (s *State) prefillDelay(e *engine) float64 {
	if len(e.runs) == 0 {
		return s.delayMs(e)
	}
	return s.delayMs(e) + s.params.StreamPenaltyMs
}

// partDelay ranks engines for prefill by when a part ends there.
func (s *State) partDelay(e *engine) float64 { return s.prefillDelay(e) + s.slowPartMs(e) }

// insert adds an engine to a list of at most limit engines that is ordered by partDelay. Engines with the same
// delay keep the order in which they are added.
func (s *State) insert(candidates []*engine, e *engine, limit int) []*engine {
	delay := s.partDelay(e)
	if len(candidates) == limit && delay >= s.partDelay(candidates[limit-1]) {
		return candidates
	}
	at := len(candidates)
	for at > 0 && s.partDelay(candidates[at-1]) > delay {
		at--
	}
	candidates = slices.Insert(candidates, at, e)
	return candidates[:min(limit, len(candidates))]
}

// chooseReservations returns the engine that answers an oversized job, the one with the most free KV cache, and
// reservations on others for the tokens that it lacks. It returns nil if the engines do not have enough free now.
func (s *State) chooseReservations(now decide.Instant, candidates []*engine, j *Job) (*engine, []reservation) {
	byFreeMemory := slices.Clone(candidates)
	slices.SortStableFunc(byFreeMemory, func(a, b *engine) int { return cmp.Compare(a.contextTokens, b.contextTokens) })
	i := slices.IndexFunc(byFreeMemory, func(e *engine) bool { return s.accepts(now, e, j) })
	if i < 0 {
		return nil, nil
	}
	answering := byFreeMemory[i]
	var reservations []reservation
	missing := j.PromptTokens + j.MaxOutputTokens - s.freeTokens(answering)
	for _, e := range byFreeMemory {
		if missing <= 0 || len(reservations) >= s.params.MaxHelpers {
			break
		}
		if e == answering || !s.reaches(s.now, j, e) || !s.connects(answering.Domain, e) || s.freeTokens(e) < minFreeToReserve || s.now < e.noHelpUntil {
			continue
		}
		r := reservation{e, min(missing, s.freeTokens(e))}
		reservations = append(reservations, r)
		missing -= r.tokens
	}
	if missing > 0 {
		return nil, nil
	}
	return answering, reservations
}

// hasSlack reports whether enough engines have no prefill pending, and no other long prompt waits, so that a long
// prefill makes no other job late. An oversized prompt is worth a few times as much as a usual one and costs ten times
// as much, and a late one is worth a quarter: under load they would displace jobs that are worth more.
func (s *State) hasSlack(j *Job) bool {
	idle := float64(len(s.orderedEngines) - s.prefillingEngines)
	if idle < s.minIdleEngines() {
		return false
	}
	others := s.longWaiting
	if !s.oversized(j) && !j.early && !(s.byForecast() && j.late) {
		others-- // j itself
	}
	return others <= 0
}

// minIdleEngines returns how many engines must have no prefill pending for there to be slack.
func (s *State) minIdleEngines() float64 {
	return min(s.params.SlackShare*float64(len(s.orderedEngines)), float64(s.params.MaxSlackEngines))
}

// isLong reports whether the prompt is spread instead of packed.
func (s *State) isLong(j *Job) bool {
	return s.model.prefillMs(j.PromptTokens) > s.params.ShortPrefillMs
}

// oversized reports whether the job exceeds the memory of one engine.
func (s *State) oversized(j *Job) bool {
	return float64(j.PromptTokens+j.MaxOutputTokens) > float64(s.model.KVCacheTokens)*s.params.MemoryShare
}

// freeTokens returns the engine's free KV cache within the share that placements may use.
func (s *State) freeTokens(e *engine) int {
	return int(float64(s.model.KVCacheTokens)*s.params.MemoryShare) - e.contextTokens
}

// delayMs returns the time in ms until the engine starts another part of a prefill.
func (s *State) delayMs(e *engine) float64 {
	return (e.pendingMs + s.model.passMs(len(e.runs), e.contextTokens)) * e.slowdown(s.now)
}

// chooseHelpers returns the engines that prefill parts besides the answering one: all required ones, and as many of
// the candidates as let the last part complete soonest. It also returns the time until then in ms, which is infinite if
// no number of helpers is possible.
func (s *State) chooseHelpers(answering *engine, required, candidates []*engine, prefillMs float64, maxGap time.Duration) ([]*engine, float64) {
	all := slices.Concat(required, candidates)
	helpers, firstEventMs := 0, math.Inf(1)
	longestDelay, roomMs, slowdown := s.delayMs(answering), s.prefillRoomMs(answering, maxGap), answering.slowdown(s.now)
	for k := 0; k <= min(s.params.MaxHelpers, len(all)); k++ {
		if k > 0 {
			longestDelay = max(longestDelay, s.prefillDelay(all[k-1]))
			roomMs = min(roomMs, s.prefillRoomMs(all[k-1], 0))
			slowdown = max(slowdown, all[k-1].slowdown(s.now))
		}
		partMs := prefillMs / float64(k+1)
		if k < len(required) || partMs > roomMs {
			continue
		}
		if t := longestDelay + partMs*slowdown + s.params.MinGainPerHelperMs*float64(k); t < firstEventMs {
			helpers, firstEventMs = k, t
		}
	}
	return all[:helpers], firstEventMs
}
