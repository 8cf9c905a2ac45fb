package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/quarantine"
)

const (
	// failureHoldoff is how long an upstream receives no new jobs after its first failure. The time doubles with each
	// consecutive failure, up to maxFailureHoldoff.
	failureHoldoff    = 200 * time.Millisecond
	maxFailureHoldoff = 3 * time.Second
	// helpHoldoff is how long an engine that refused to prefill for another one is not asked again. The time doubles
	// with each consecutive refusal, up to maxHelpHoldoff. A leaving engine refuses until it exits, but still answers
	// prompts of its own. While the store is down, refusals are the only sign that an engine is leaving, and each
	// refusal costs a prompt one attempt.
	helpHoldoff    = 2 * time.Second
	maxHelpHoldoff = 16 * time.Second
	// fullHoldoff is how long an upstream that reported no capacity is not used. It has work that the dispatcher does
	// not know of, and completes a pass or two of it in that time.
	fullHoldoff = 150 * time.Millisecond
	// unreachableHoldoff is how long an upstream is not used for instances of a failure domain after one of them could
	// not connect to it. The next request then tries it again and may lose the time of a connection attempt.
	unreachableHoldoff = 2 * time.Second
	// partitionThreshold is the number of upstreams of one failure domain that must be unreachable from another domain
	// for the link between the two to count as partitioned.
	partitionThreshold = 2
	// passesToFirstEvent is the number of passes until the first event of a request on a busy engine: half of the
	// current pass on average, and the request's own.
	passesToFirstEvent = 1.5
	// maxUnplacedLong bounds the failed attempts to place long prompts in one step. Prompts further back in the queue
	// are usually longer and even less likely to be placed.
	maxUnplacedLong = 16
	// idleBelowMs is the pending prefill below which an engine counts as having none: sums of parts leave fractions.
	idleBelowMs = 1.0
	// minFreeToReserve is the least free KV cache, in tokens, for which a reservation on an engine is worthwhile.
	minFreeToReserve = 20_000
	// minRetryAfter and maxRetryAfter bound the RetryAfter of refusals; that of RateLimited has no upper bound.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// coldWindow is the time over which the starts on a cold upstream are counted.
	coldWindow = time.Second
)

// Step returns the decisions that can be made now: placements, in the order of the sorted queue, and refusals of jobs
// that can no longer be served in time. All other jobs stay queued.
func (s *State) Step(now decide.Instant) []Decision {
	s.now = now
	s.quarantine.Advance(now)
	s.updateSpeeds(now)
	s.returns.Advance(now)
	if s.Waiting() == 0 {
		s.lastProgress = now
		return nil
	}
	s.dropOverduePrefills(now)
	s.survey(now)
	s.updateShares(now)
	s.sortQueue(now)
	s.probe(now)
	var out []Decision
	waiting := s.queue[:0]
	for _, j := range s.queue {
		s.jobsAhead = len(waiting)
		d, settled := s.decide(now, j)
		if settled {
			if d.Upstream != "" {
				s.lastProgress = now
			}
			s.settleShare(now, d)
			out = append(out, d)
			if s.byForecast() && j.kind == longPrompt && !j.late {
				s.longWaiting--
			}
		} else {
			waiting = append(waiting, j)
		}
	}
	clear(s.queue[len(waiting):])
	s.queue = waiting
	out = append(out, s.decideEarly(now)...)
	if s.firstWaiting() == nil {
		s.lastProgress = now
	}
	return out
}

// missesTarget reports whether the job is late even if as many engines as possible prefill its prompt from now on. The
// estimate includes the usual passes of a busy engine after the prefill. Resumed jobs and jobs without a target are
// never late.
func (s *State) missesTarget(now decide.Instant, j *Job) bool {
	return !j.Resumed && j.FirstEventTarget != 0 && now.Add(s.minPrefill(j)+fromMs(passesToFirstEvent*s.meanPassMs)) > j.FirstEventTarget
}

// targetUnattainable reports whether the job could not meet its FirstEventTarget even when it arrived.
func (s *State) targetUnattainable(j *Job) bool { return s.missesTarget(j.Arrived, j) }

// minPrefill returns the shortest time in which the fleet can prefill the prompt. Under ByPatience it is that of a prompt
// that is spread, for short prompts too.
func (s *State) minPrefill(j *Job) time.Duration {
	if s.model == nil {
		return 0
	}
	if s.byForecast() && !s.isLong(j) {
		return fromMs(s.model.prefillMs(j.PromptTokens))
	}
	return fromMs(s.model.prefillMs(j.PromptTokens) / float64(min(s.params.MaxHelpers+1, max(1, len(s.orderedEngines)))))
}

// prefillCost returns the job's rank among jobs of the same urgency: its prefill time in ms, reduced as it waits, so
// that smaller prompts do not overtake a large one forever. For a plain service it is the arrival time.
func (s *State) prefillCost(now decide.Instant, j *Job) float64 {
	if s.model == nil {
		return float64(j.Arrived)
	}
	waited, allowed := toMs(now.Sub(j.Arrived)), toMs(j.FirstEventDeadline.Sub(j.Arrived))
	left := 1.0
	if allowed > 0 {
		left = max(0.05, 1-waited/allowed)
	}
	return s.model.prefillMs(j.PromptTokens) * left
}

// decide places or refuses the job. It returns false if the job has to wait.
func (s *State) decide(now decide.Instant, j *Job) (Decision, bool) {
	status, heldFor := s.quarantine.Check(now, j.quarantineRequest())
	if status == quarantine.Held {
		return holdBack(j, heldFor), true
	}
	if now.Add(s.minPrefill(j)+s.params.Margin) > j.FirstEventDeadline {
		return s.refuse(j, TooLate), true
	}
	if s.endsTooSoon(now, j, 0) {
		return refuseAtEnd(j), true
	}
	if !s.hasCandidate(j) {
		return s.refuse(j, NoUpstream), true
	}
	if j.awaiting = status == quarantine.Wait; j.awaiting {
		if now.Add(heldFor) > j.FirstEventDeadline {
			return holdBack(j, heldFor), true
		}
		return Decision{}, false
	}
	j.setAlone(now, status == quarantine.Alone)
	if s.model != nil && float64(j.PromptTokens+j.MaxOutputTokens) > float64(s.model.KVCacheTokens)*s.params.MemoryShare*float64(min(s.params.MaxHelpers+1, len(s.orderedEngines))) {
		return s.refuse(j, TooLarge), true
	}
	if s.model != nil && !s.byForecast() && !j.Resumed && s.oversized(j) && s.missesTarget(now, j) && !s.targetUnattainable(j) {
		return s.refuse(j, NoSlack), true
	}
	if d, settled := s.place(now, j); settled {
		return d, true
	}
	if j.early {
		return s.refuse(j, TooEarly), true
	}
	if now.Add(s.minLimitWait(s.jobsAhead)) > j.FirstEventDeadline {
		return s.refuse(j, RateLimited), true
	}
	if s.model == nil {
		return Decision{}, false
	}
	if s.byForecast() {
		return s.admit(now, j)
	}
	if s.waitedTooLong(now, j) {
		return s.refuse(j, TooLate), true
	}
	if len(s.queue) > s.params.MaxQueue {
		return s.refuse(j, QueueFull), true
	}
	return Decision{}, false
}

// place places the job if it can start now.
func (s *State) place(now decide.Instant, j *Job) (Decision, bool) {
	s.updateReserved(now, j)
	if s.model == nil {
		return s.placePlain(now, j)
	}
	if !s.isLong(j) {
		return s.pack(now, j)
	}
	return s.spread(now, j)
}

// hasCandidate reports whether any upstream may receive the job, now or later.
func (s *State) hasCandidate(j *Job) bool {
	for _, e := range s.orderedEngines {
		if !e.closed && !slices.Contains(j.Avoid, e.ID) {
			return true
		}
	}
	return false
}

// placement returns the decision that places the run, and counts the request against the rate limit of its upstream.
func (s *State) placement(r *run, reason decide.Reason) Decision {
	r.engine.consumeLimit()
	return Decision{Job: r.job, Upstream: r.engine.ID, Reason: reason, OverdueAfter: s.overdueAfter(r), ForecastStart: r.job.forecastStart}
}

// refuse returns the decision that refuses the job, with the delay after which the caller may retry.
func (s *State) refuse(j *Job, reason decide.Reason) Decision {
	if s.byForecast() {
		return Decision{Job: j, Reason: reason, RetryAfter: s.promiseReturn(j, reason)}
	}
	switch reason {
	case RateLimited:
		// Queued jobs are placed before a caller that retries.
		return Decision{Job: j, Reason: reason, RetryAfter: max(minRetryAfter, s.minLimitWait(s.jobsAhead))}
	case NoSlack:
		// Only a change of the load brings slack, and that takes a while.
		return Decision{Job: j, Reason: reason, RetryAfter: maxRetryAfter}
	}
	return Decision{Job: j, Reason: reason, RetryAfter: s.retryAfter()}
}

// refuseAtEnd returns the decision that refuses a job whose instance ends too soon. Its caller may ask another instance at once.
func refuseAtEnd(j *Job) Decision { return Decision{Job: j, Reason: InstanceEnds} }

// retryAfter returns the time in which the engines complete the prefill of all queued and placed jobs, bounded by
// minRetryAfter and maxRetryAfter.
func (s *State) retryAfter() time.Duration {
	if s.model == nil || len(s.orderedEngines) == 0 {
		return minRetryAfter
	}
	totalMs := 0.0
	for _, e := range s.orderedEngines {
		totalMs += e.pendingMs
	}
	for _, j := range s.queue {
		totalMs += s.model.prefillMs(j.PromptTokens)
	}
	return min(maxRetryAfter, max(minRetryAfter, fromMs(totalMs/float64(len(s.orderedEngines)))))
}

// accepts reports whether the upstream may receive the job now, apart from memory and pending prefill.
func (s *State) accepts(now decide.Instant, e *engine, j *Job) bool {
	return !e.closed && len(e.runs) < s.slotsFor(e, j) && !slices.Contains(j.Avoid, e.ID) &&
		!e.inHoldoff(now) && now >= e.fullUntil && e.bearsSuspect(now, j) && s.underColdLimit(now, e) && s.reaches(now, j, e) && e.underLimit() &&
		s.mayTry(now, e)
}

// slots returns the number of requests that the engine processes at once: its own figure, else the model's, else 1.
func (e *engine) slots(m *Model) int {
	switch {
	case e.Slots > 0:
		return e.Slots
	case m != nil:
		return m.Slots
	default:
		return 1
	}
}

// underColdLimit reports whether a cold upstream may start another run within its rate. Warm upstreams always may.
func (s *State) underColdLimit(now decide.Instant, e *engine) bool {
	if !e.isCold(now) || s.params.ColdRequestsPerSecond <= 0 {
		return true
	}
	e.coldStarts = slices.DeleteFunc(e.coldStarts, func(t decide.Instant) bool { return now.Sub(t) > coldWindow })
	return float64(len(e.coldStarts)) < s.params.ColdRequestsPerSecond
}

// placePlain places a job of a plain service on the upstream with the fewest runs per slot.
func (s *State) placePlain(now decide.Instant, j *Job) (Decision, bool) {
	var best *engine
	for _, e := range s.orderedEngines {
		if s.accepts(now, e, j) && (best == nil || e.load(s.model) < best.load(s.model)) {
			best = e
		}
	}
	if best == nil {
		return Decision{}, false
	}
	return s.placement(s.startRun(now, j, best, nil, nil), LeastWork), true
}

// load returns the engine's runs per slot.
func (e *engine) load(m *Model) float64 { return float64(len(e.runs)) / float64(e.slots(m)) }

// prefillRoomMs returns how much more prefill, in ms, the engine can do in its next pass without exceeding the event
// gaps of its streams and maxGap. A maxGap of 0 sets no bound. The result is infinite for an engine without streams,
// and if no gap bounds it.
func (s *State) prefillRoomMs(e *engine, maxGap time.Duration) float64 {
	slowdown := e.slowdown(s.now)
	maxGap = e.tighterGap(maxGap)
	if len(e.runs) == 0 || maxGap == 0 {
		return math.Inf(1)
	}
	return toMs(maxGap)*s.params.GapShare/slowdown - s.model.passMs(len(e.runs), e.contextTokens) - e.pendingMs
}

// fits reports whether the engine has enough free KV cache for the job.
func (s *State) fits(e *engine, j *Job) bool {
	return j.PromptTokens+j.MaxOutputTokens <= s.freeTokens(e)
}
