package dispatch

import (
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/share"
	"github.com/damaskshelf/damaskshelf/internal/decide/speed"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// run is a job in flight.
type run struct {
	job           *Job
	engine        *engine
	helpers       []*engine // engines that prefill parts, those with a reservation included
	reservations  []reservation
	contextTokens int     // KV cache on the answering engine
	partMs        float64 // prefill time of each engine's part
	startedAt     decide.Instant
	plannedMs     float64 // planned time from startedAt to the first event
	slowdown      float64 // of the slowest of its engines at startedAt
	decoding      bool
	decodingSince decide.Instant
	placedBefore  float64 // placedMs of the answering engine just after the run's prefill was placed
	delayedBy     *engine // the one of its engines whose part is late, if it is known; the parts of the others are done
	indirect      bool    // goes through another instance, because its own instance's path to the engine failed
	counted       bool    // counted in State.history
	adopted       bool    // placed by another dispatcher, or by its instance, before startedAt

	kind      promptKind // short or long: an oversized one counts as long
	shareKind promptKind
	account   *share.Account // of its workspace; nil: not counted
	amount    share.Amount   // what the account counts
}

// hasReservationOn reports whether the engine reserves KV cache for the run.
func (r *run) hasReservationOn(e *engine) bool {
	return slices.ContainsFunc(r.reservations, func(h reservation) bool { return h.engine == e })
}

// reservation is KV cache, in tokens, that an engine reserves for a run that another engine answers.
type reservation struct {
	engine *engine
	tokens int
}

// engine is an upstream with its runs. Upstreams of plain services are engines too.
type engine struct {
	Upstream
	rank          uint64                   // position among equal engines
	runs          map[fleet.RequestID]*run // the runs that it answers
	contextTokens int                      // KV cache for the runs' prompts and longest answers, and for reservations
	longRuns      int                      // of runs, those of long prompts
	longTokens    int                      // of contextTokens, those of long prompts and of reservations
	pendingMs     float64                  // prefill that was placed and is not known to be done
	shortestGap   time.Duration            // shortest MaxGap of its runs; 0: no bound
	closed        bool                     // receives no new jobs
	listed        bool                     // SetUpstreams listed it
	coldStarts    []decide.Instant         // starts of runs in the last second while cold
	suspect       *run                     // a run that has the engine for itself until it is proven; nil: none
	lastFailure   decide.Instant           // time of the last failure
	failures      int                      // consecutive
	noHelpUntil   decide.Instant           // it is not asked to prefill for other engines until then
	// helpRefusals counts consecutive refusals to prefill for other engines.
	helpRefusals int
	fullUntil    decide.Instant // it reported that it has no capacity and is not used until then
	limit        *limit         // nil: no rate limit
	// lastUnreachable holds, by failure domain, the last failed connection of an instance there that isn't cut off.
	lastUnreachable map[fleet.DomainID]pathFailure
	speed           speed.Estimate
	placedMs        float64 // sum of all prefill that was ever placed on it
}

// process returns the process of the upstream that the engine stands for.
func (e *engine) process() fleet.Process { return fleet.Process{ID: e.ID, StartTime: e.StartTime} }

// addPrefill adds the prefill of a run, in even parts, to the pending time of its engines.
func (s *State) addPrefill(r *run) {
	s.prefilling[r], r.delayedBy = true, nil
	r.partMs = s.model.prefillMs(r.job.PromptTokens) / float64(len(r.helpers)+1)
	s.placePrefill(r.engine, r.partMs)
	for _, h := range r.helpers {
		s.placePrefill(h, r.partMs)
	}
}

// placePrefill adds a part of a prefill to an engine.
func (s *State) placePrefill(e *engine, ms float64) {
	e.placedMs += ms
	s.addPendingMs(e, ms)
}

// recordFailure records that the engine failed a run. It starts a holdoff, during which the engine receives no new jobs.
func (e *engine) recordFailure(now decide.Instant) {
	e.lastFailure = now
	e.failures++
}

// inHoldoff reports whether the upstream receives no new jobs because of recent failures.
func (e *engine) inHoldoff(now decide.Instant) bool {
	if e.seemsDead(now) {
		return true
	}
	if e.failures == 0 {
		return false
	}
	return e.holdoffLeft(now) > 0
}

// holdoffLeft returns how long the holdoff after the engine's last failure goes on, 0 or less if it is over.
func (e *engine) holdoffLeft(now decide.Instant) time.Duration {
	holdoff := min(failureHoldoff<<min(e.failures-1, 8), maxFailureHoldoff)
	return holdoff - now.Sub(e.lastFailure)
}

// recordHelpRefusal records that the engine refused to prefill for another one, and extends the time in which it is
// not asked to.
func (e *engine) recordHelpRefusal(now decide.Instant) {
	holdoff := helpHoldoff << min(e.helpRefusals, 8)
	e.noHelpUntil = now.Add(min(holdoff, maxHelpHoldoff))
	e.helpRefusals++
}

// startRun adds a run of the job to the answering engine e, its helpers and its reservations.
func (s *State) startRun(now decide.Instant, j *Job, e *engine, helpers []*engine, reservations []reservation) *run {
	r := &run{job: j, engine: e, helpers: helpers, reservations: reservations, startedAt: now, contextTokens: j.PromptTokens + j.MaxOutputTokens}
	if s.model != nil {
		s.planFirstEvent(now, r)
	}
	for _, h := range reservations {
		r.contextTokens -= h.tokens
		h.engine.contextTokens += h.tokens
	}
	s.runs[j.ID] = r
	s.startShare(now, placedAt(now, j), r)
	if len(e.runs) == 0 {
		s.quarantine.AddBusy(1)
	}
	e.runs[j.ID] = r
	s.quarantine.Start(now, j.ID, j.quarantineRequest())
	s.recordStart(now, j)
	if j.alone {
		e.suspect = r
	}
	s.clearProbes(j.Domain, e)
	e.contextTokens += r.contextTokens
	if s.model != nil {
		s.addPrefill(r)
	}
	r.placedBefore = e.placedMs
	if e.isCold(now) {
		e.coldStarts = append(e.coldStarts, now)
	}
	e.updateShortestGap()
	s.countStart(now, r)
	return r
}

// planFirstEvent computes the planned time to the first event of a run that is not yet added to its engines.
func (s *State) planFirstEvent(now decide.Instant, r *run) {
	queuedMs := r.engine.pendingMs
	r.slowdown = r.engine.slowdown(now)
	for _, h := range r.helpers {
		queuedMs = max(queuedMs, h.pendingMs)
		r.slowdown = max(r.slowdown, h.slowdown(now))
	}
	partMs := s.model.prefillMs(r.job.PromptTokens) / float64(len(r.helpers)+1)
	r.plannedMs = queuedMs + partMs + passesToFirstEvent*s.model.passMs(len(r.engine.runs)+1, r.engine.contextTokens+r.contextTokens) + roundTripMs
}

// addPendingMs changes the pending prefill of an engine, and the count of engines that have any.
func (s *State) addPendingMs(e *engine, ms float64) {
	wasPrefilling := e.pendingMs >= idleBelowMs
	e.pendingMs = max(0, e.pendingMs+ms)
	if isPrefilling := e.pendingMs >= idleBelowMs; isPrefilling != wasPrefilling && s.engines[e.ID] == e {
		if isPrefilling {
			s.prefillingEngines++
		} else {
			s.prefillingEngines--
		}
	}
}

// removePrefill removes the prefill of a run from the pending time of its engines. Further calls for the same run have
// no effect.
func (s *State) removePrefill(r *run) {
	if !s.prefilling[r] {
		return
	}
	delete(s.prefilling, r)
	if r.delayedBy != nil {
		s.addPendingMs(r.delayedBy, -r.partMs)
		return
	}
	s.addPendingMs(r.engine, -r.partMs)
	for _, h := range r.helpers {
		s.addPendingMs(h, -r.partMs)
	}
}

// release ends a run and removes it from its engines. A closed engine is removed together with its last run.
func (s *State) release(r *run) {
	s.removePrefill(r)
	s.countRelease(r)
	s.endShare(r)
	s.quarantine.Done(r.job.ID)
	delete(s.runs, r.job.ID)
	delete(r.engine.runs, r.job.ID)
	if len(r.engine.runs) == 0 {
		s.quarantine.AddBusy(-1)
	}
	if r.engine.suspect == r {
		r.engine.suspect = nil
	}
	r.engine.contextTokens -= r.contextTokens
	for _, h := range r.reservations {
		h.engine.contextTokens -= h.tokens
	}
	r.engine.updateShortestGap()
	if r.engine.closed && len(r.engine.runs) == 0 && s.engines[r.engine.ID] == r.engine {
		if r.engine.pendingMs >= idleBelowMs {
			s.prefillingEngines--
		}
		delete(s.engines, r.engine.ID)
		s.orderedEngines = slices.DeleteFunc(s.orderedEngines, func(e *engine) bool { return e == r.engine })
	}
}

// updateShortestGap recomputes the shortest MaxGap of the engine's runs.
func (e *engine) updateShortestGap() {
	e.shortestGap = 0
	for _, r := range e.runs {
		if g := r.job.MaxGap; g > 0 && (e.shortestGap == 0 || g < e.shortestGap) {
			e.shortestGap = g
		}
	}
}

// tighterGap returns the shorter of maxGap and the event gaps of the engine's runs, 0 if there is no bound.
func (e *engine) tighterGap(maxGap time.Duration) time.Duration {
	if e.shortestGap > 0 && (maxGap == 0 || e.shortestGap < maxGap) {
		return e.shortestGap
	}
	return maxGap
}

// engines returns the engines that prefill parts of the run, the answering one first.
func (r *run) engines() []*engine { return append([]*engine{r.engine}, r.helpers...) }

func (e *engine) isCold(now decide.Instant) bool { return now.Before(e.ColdUntil) }
