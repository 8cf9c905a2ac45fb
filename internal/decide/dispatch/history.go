package dispatch

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/forecast"
)

const (
	// arrivalWindow is the time constant of the arrival rate of slots that are asked for.
	arrivalWindow = time.Second
	// prefillWindow is the same for prefill time and KV cache. Only a few long prompts arrive per second, and each asks for
	// engine seconds.
	prefillWindow = 4 * time.Second
	// endWindow is the time constant of the learned hazard rate and prefill speed: about two runs of a short prompt.
	endWindow = 6 * time.Second
	// maxArrivalAge is the age up to which a job that is queued counts as a new arrival: some round trips.
	maxArrivalAge = 200 * time.Millisecond
	// minModelRuns is the least weight of the model's figures beside learned ones, in runs of the model's duration.
	minModelRuns = 4
)

// history is what the forecast learns from events. Runs are counted under any Admission, so that a change of the
// setting finds them; arrivals only under ByForecast.
type history struct {
	// By kind, short or long.
	running     [2]int            // runs in flight
	ends        [2]forecast.Ratio // runs that ended per ms of running
	plannedRuns [2]forecast.Ratio // planned duration of started runs, in ms per run

	exposedAt decide.Instant // time up to which the running time is included in ends
	prefill   forecast.Ratio // planned ms to the first event of long prompts, per actual ms

	// Demand of jobs that arrived in time.
	slots    forecast.Rate // requests
	prefills forecast.Rate // ms of prefill
	tokens   forecast.Rate // KV cache of long prompts
}

// countArrival adds a new job to the demand of jobs in time. A caller that returns after a refusal counts only if it can
// still meet the target that counts from its first arrival: refusals would otherwise lead to more refusals. Jobs that have
// waited elsewhere don't count: a new dispatcher receives them all at once, and an instance asks again for all that wait.
func (s *State) countArrival(j *Job) {
	if s.now == 0 || s.now.Sub(j.Arrived) > maxArrivalAge || s.missesTarget(j.Arrived, j) { // before its first step, a dispatcher is new
		return
	}
	h := &s.history
	h.slots.Add(j.Arrived, 1, arrivalWindow)
	h.prefills.Add(j.Arrived, s.model.prefillMs(j.PromptTokens), prefillWindow)
	if s.kindOf(j) != shortPrompt {
		h.tokens.Add(j.Arrived, float64(j.PromptTokens+j.MaxOutputTokens), prefillWindow)
	}
}

// countStart adds a run that was added to its engines. Its planned duration assumes the longest answer.
func (s *State) countStart(now decide.Instant, r *run) {
	if s.model == nil {
		return
	}
	s.expose(now)
	r.kind, r.counted = min(s.kindOf(r.job), longPrompt), true // few runs are oversized: they count as long
	planned := boundedMs(r.plannedMs + s.model.passes(r.job.MaxOutputTokens)*s.model.passMs(len(r.engine.runs), r.engine.contextTokens))
	s.history.plannedRuns[r.kind].Add(now, planned, 1, endWindow)
	s.history.running[r.kind]++
	r.engine.addLong(r, 1)
}

// countRelease removes a run that countStart added.
func (s *State) countRelease(r *run) {
	if !r.counted {
		return
	}
	s.history.running[r.kind]--
	r.engine.addLong(r, -1)
}

// addLong adds a run, or removes it for a sign of -1, from the long runs of its engines.
func (e *engine) addLong(r *run, sign int) {
	if r.kind == shortPrompt {
		return
	}
	e.longRuns += sign
	e.longTokens += sign * r.contextTokens
	for _, h := range r.reservations {
		h.engine.longTokens += sign * h.tokens
	}
}

// countEnd counts the end of a run towards the hazard rate if its answer was complete. A run that failed or was lost with
// its engine says nothing about how long answers take.
func (s *State) countEnd(now decide.Instant, r *run, outcome Outcome) {
	if s.model == nil || !r.counted {
		return
	}
	s.expose(now)
	if outcome == Completed || outcome == Served {
		s.history.ends[r.kind].Add(now, 1, 0, endWindow)
	}
}

// countFirstEvent compares the time to the first event of a long prompt with its plan.
func (s *State) countFirstEvent(now decide.Instant, r *run) {
	if s.model == nil || !r.counted || r.adopted || r.kind == shortPrompt {
		return
	}
	s.history.prefill.Add(now, r.plannedMs, toMs(now.Sub(r.startedAt)), endWindow)
}

// expose adds the time since the last call as running time of the runs in flight.
func (s *State) expose(now decide.Instant) {
	h := &s.history
	elapsedMs := toMs(now.Sub(h.exposedAt))
	if elapsedMs <= 0 {
		return
	}
	for k, n := range h.running {
		if n > 0 {
			h.ends[k].Add(now, 0, float64(n)*elapsedMs, endWindow)
		}
	}
	h.exposedAt = now
}

// hazardPerMs returns the share of the runs of a kind that end per ms. The model's figure counts as much as one run of its
// duration for each run in flight: after an outage all runs start at once, and none ends for some seconds.
func (h *history) hazardPerMs(k promptKind) float64 {
	plannedMs := h.plannedRuns[k].Value(0, 0)
	if plannedMs <= 0 {
		return 0
	}
	return h.ends[k].Value(1/plannedMs, max(minModelRuns, float64(h.running[k]))*plannedMs)
}

// prefillSpeed returns the speed at which long prompts are prefilled, relative to their plans.
func (h *history) prefillSpeed() float64 { return h.prefill.Value(1, minModelRuns*thousand) }
