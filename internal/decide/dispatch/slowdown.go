package dispatch

import (
	"math"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/speed"
)

// The speed of engines is learned from the time to first events. Under ByForecast it is also learned from runs that are
// late before their first event, and from runs with helpers. Short prompts then avoid slow engines as long as others have
// room, and one run at a time shows whether an engine is still slow.

const (
	// roundTripMs is the time of a request from the dispatcher over its instance to the engine, and of the report
	// back.
	roundTripMs = 10.0
	// patienceWeight and forecastWeight are the weights of the newest run in an engine's ratio of actual to planned time
	// under ByPatience and ByForecast. Under ByForecast the planned time also includes what was placed after the run,
	// so a single ratio varies less.
	patienceWeight = 0.3
	forecastWeight = 0.5
	// lateRatio is the ratio of actual to planned time from which a run without a first event counts as late.
	lateRatio = 2.0
	// usualPartMs is a usual part of a long prompt, by which engines are ranked before the number of parts is known.
	usualPartMs = 200.0
	// doubtTime is how long after an engine was found slow others count as doubtful that have not worked as planned since.
	// Engines often become slow together, as of one rack or one release.
	doubtTime = 2 * time.Second
)

// doubt is a time in which engines were found slow.
type doubt struct {
	since decide.Instant // the first of them was found
	until decide.Instant // doubtTime after the last one was found
}

// extend records that an engine is slow.
func (d *doubt) extend(now decide.Instant) {
	if now >= d.until {
		d.since = now
	}
	d.until = now.Add(doubtTime)
}

// extendDoubt records that an engine was measured that is late. A ratio near the threshold may not make it slow.
func (s *State) extendDoubt(now decide.Instant, e *engine) {
	if e.slowdown(now) > 1 {
		s.doubt.extend(now)
	}
}

// slowdown returns the factor by which plans lengthen the engine's work, 1 unless the engine counts as slow.
func (e *engine) slowdown(now decide.Instant) float64 { return e.speed.Slowdown(now) }

// learnFirstEvent learns the speed of the run's engines at its first event.
func (s *State) learnFirstEvent(now decide.Instant, r *run) {
	switch {
	case s.model == nil || r.plannedMs <= 0:
	case s.byForecast():
		s.learnPrefill(now, r)
	case len(r.helpers) == 0: // the slowest engine determines the time, and it is not known which one that is
		r.engine.speed.Observe(now, toMs(now.Sub(r.startedAt))/r.plannedMs, patienceWeight)
	}
}

// learnPrefill learns from a first event under ByForecast.
func (s *State) learnPrefill(now decide.Instant, r *run) {
	ratio := s.timeRatio(now, r)
	if ratio >= lateRatio {
		if e := s.culprit(now, r); e != nil {
			e.speed.Observe(now, ratio, forecastWeight)
			s.extendDoubt(now, e)
		}
		return
	}
	if len(r.helpers) == 0 {
		if ratio < speed.SlowFrom {
			r.engine.speed.Prove(now)
		}
		r.engine.speed.Observe(now, ratio, forecastWeight)
		return
	}
	elapsedMs := toMs(now.Sub(r.startedAt))
	for _, e := range r.engines() {
		if elapsedMs < r.partMs*lateRatio { // a slow engine would have taken longer
			e.speed.Prove(now)
		}
	}
}

// updateSpeeds learns from the runs whose first event is late.
func (s *State) updateSpeeds(now decide.Instant) {
	if !s.byForecast() {
		return
	}
	var shared []*run
	for r := range s.prefilling {
		switch ratio := s.timeRatio(now, r); {
		case ratio < lateRatio, r.plannedMs <= 0: // not planned: adopted while the model was unknown
		case s.engines[r.engine.ID] != r.engine || now.Sub(r.startedAt) >= s.overdueAfter(r): // its process or its answer was lost
		case len(r.helpers) > 0:
			shared = append(shared, r)
		case !r.engine.speed.ProvenSince(s.lateSince(r)): // otherwise the run lost its answer
			r.engine.speed.ObserveAtLeast(now, ratio)
			s.extendDoubt(now, r.engine)
		}
	}
	s.learnShared(now, shared)
}

// learnShared learns from late runs that several engines prefill. All culprits are determined before any is recorded,
// so that the result does not depend on the order of the runs.
func (s *State) learnShared(now decide.Instant, late []*run) {
	culprits := make([]*engine, len(late))
	for i, r := range late {
		culprits[i] = s.culprit(now, r)
	}
	for i, r := range late {
		if e := culprits[i]; e != nil {
			e.speed.ObserveAtLeast(now, s.timeRatio(now, r))
			s.doubt.extend(now)
			s.keepLatePart(r, e)
		}
	}
}

// culprit returns the engine that makes the run late, nil if it isn't known.
func (s *State) culprit(now decide.Instant, r *run) *engine {
	if len(r.helpers) == 0 {
		return r.engine
	}
	engines := r.engines()
	estimates := make([]*speed.Estimate, len(engines))
	for i, e := range engines {
		estimates[i] = &e.speed
	}
	if i, ok := speed.Culprit(now, s.lateSince(r), estimates); ok {
		return engines[i]
	}
	return nil
}

// keepLatePart removes the parts of a run whose first event is late from the pending prefill of all its engines except
// the slow one, whose part is still due.
func (s *State) keepLatePart(r *run, slow *engine) {
	if r.delayedBy != nil {
		return
	}
	for _, e := range r.engines() {
		if e != slow {
			s.addPendingMs(e, -r.partMs)
		}
	}
	r.delayedBy = slow
}

// expectedMs returns the time from a run's start to its first event, in ms, at the planned speed. It includes the
// prefill that was placed on the answering engine after the run, because one pass may prefill both.
func (s *State) expectedMs(r *run) float64 {
	return r.plannedMs + r.engine.placedMs - r.placedBefore
}

// timeRatio returns the ratio of the time since the run's start to the expected time to its first event.
func (s *State) timeRatio(now decide.Instant, r *run) float64 {
	return toMs(now.Sub(r.startedAt)) / max(1, s.expectedMs(r))
}

// lateSince returns the time since which a run without a first event is late.
func (s *State) lateSince(r *run) decide.Instant { return r.startedAt.Add(fromMs(s.expectedMs(r))) }

// decodeMs returns the time of the longest answer to the job, in ms, on an engine with this many streams and tokens of
// their contexts. Each step of a pass decodes a token.
func (s *State) decodeMs(j *Job, streams, contextTokens int) float64 {
	return boundedMs(math.Ceil(s.model.passes(j.MaxOutputTokens)) * s.model.passMs(streams, contextTokens))
}

// mayTry reports whether the engine may receive another run as far as its speed is concerned: one that was slow, or is
// doubtful, gets one run at a time until it works as planned.
func (s *State) mayTry(now decide.Instant, e *engine) bool {
	return !e.speed.Unproven() && !s.doubtful(now, e) || !s.byForecast() || e.pendingMs < idleBelowMs
}

// doubtful reports whether other engines were found slow a short while ago, and this one has not worked as planned since.
func (s *State) doubtful(now decide.Instant, e *engine) bool {
	return now < s.doubt.until && !e.speed.ProvenSince(s.doubt.since)
}

// avoidsSlow reports whether short prompts avoid the engine as long as others have room.
func (s *State) avoidsSlow(now decide.Instant, e *engine) bool {
	return s.byForecast() && (e.slowdown(now) > 1 || s.doubtful(now, e))
}

// slowPartMs returns how much longer than planned the engine works on a usual part of a long prompt, in ms. A doubtful
// one may take twice as long.
func (s *State) slowPartMs(e *engine) float64 {
	if !s.byForecast() {
		return 0
	}
	slowdown := e.slowdown(s.now)
	if s.doubtful(s.now, e) {
		slowdown = max(slowdown, lateRatio)
	}
	return usualPartMs * (slowdown - 1)
}
