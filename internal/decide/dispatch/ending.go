package dispatch

import (
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// SetInstanceEnd records that an instance is stopping and serves nobody after the time at.
func (s *State) SetInstanceEnd(id fleet.InstanceID, at decide.Instant) { s.instanceEnds[id] = at }

// endsTooSoon reports whether the job's instance is stopping and is expected to end before the answer is complete if the job
// starts in startMs. Its caller is better off at another instance. Of a resumed stream the caller has a part already, so that
// it goes on for as long as it can begin.
func (s *State) endsTooSoon(now decide.Instant, j *Job, startMs float64) bool {
	end, stopping := s.instanceEnds[j.Instance]
	if !stopping {
		return false
	}
	answerMs := toMs(s.minPrefill(j))
	if !j.Resumed {
		answerMs = max(answerMs, s.expectedAnswerMs(j))
	}
	return now.Add(fromMs(startMs+answerMs)+s.params.Margin) > end
}

// expectedAnswerMs returns the time in ms from the start of a job to the end of its answer: the mean of the recent answers to
// its kind of prompt, or of those of a plain service. It is 0 for a plain service that has not answered yet.
func (s *State) expectedAnswerMs(j *Job) float64 {
	if s.model == nil {
		return s.answerLatency.meanMs
	}
	if perMs := s.history.hazardPerMs(min(s.kindOf(j), longPrompt)); perMs > 0 {
		return 1 / perMs
	}
	return s.model.IdleAnswerMs(j.PromptTokens, j.MaxOutputTokens)
}
