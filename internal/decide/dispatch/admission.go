package dispatch

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// lateMarginShare is the share of a caller's patience that must be left at the forecast first event of a late job. The
// caller can then still return to another instance if the forecast was wrong.
const lateMarginShare = 0.2

// admit refuses a job that can't be placed now, or lets it wait. A job waits if it can start in its time, or if late work
// has room for it clearly before its caller gives up. A stream that is resumed always waits: what its caller has received
// is worthless without the rest.
func (s *State) admit(now decide.Instant, j *Job) (Decision, bool) {
	s.forecastSlots(now, j)
	need := s.amountsFor(j)
	startMs := s.startMs(now, j.kind, need, false)
	if startMs < maxMs && s.endsTooSoon(now, j, startMs) {
		return refuseAtEnd(j), true
	}
	if !j.Resumed && (j.late || s.lateAt(now, j, startMs)) {
		startMs = s.startMs(now, j.kind, need, true)
		if s.tooLateAt(now, j, startMs) {
			return s.refuse(j, tooLateReason(j)), true
		}
	}
	if len(s.queue) > s.params.MaxQueue {
		return s.refuse(j, QueueFull), true
	}
	s.forecast.add(need)
	if j.forecastStart == 0 && startMs < maxMs {
		j.forecastStart = now.Add(fromMs(startMs))
	}
	return Decision{}, false
}

// tooLateReason returns the reason for which a late job is refused.
func tooLateReason(j *Job) decide.Reason {
	if j.kind == oversizedPrompt {
		return NoSlack
	}
	return TooLate
}

// lateAt reports whether a job that starts in startMs misses its target, or, without a target, the first event that its
// caller waits for.
func (s *State) lateAt(now decide.Instant, j *Job, startMs float64) bool {
	if j.FirstEventTarget == 0 {
		return s.tooLateAt(now, j, startMs)
	}
	return s.missesTarget(now.Add(fromMs(startMs)), j)
}

// tooLateAt reports whether the first event of a job that starts in startMs comes so late that its caller may have given
// up.
func (s *State) tooLateAt(now decide.Instant, j *Job, startMs float64) bool {
	first := now.Add(fromMs(startMs) + s.minPrefill(j) + fromMs(passesToFirstEvent*s.meanPassMs))
	return first.Add(s.params.Margin+lateMargin(j)) > j.FirstEventDeadline
}

// lateMargin returns how long before its caller gives up a late job is to have its first event.
func lateMargin(j *Job) time.Duration {
	return max(0, time.Duration(lateMarginShare*float64(j.FirstEventDeadline.Sub(j.Arrived))))
}

// roomFor returns the time from the current step until there is room for the job as a late one, behind all jobs that wait
// ahead of the one that is being decided. The time is that of maxMs if there is no room in sight.
func (s *State) roomFor(j *Job) time.Duration {
	j.kind = s.kindOf(j) // a job that returned early is not surveyed
	s.forecastSlots(s.now, j)
	return fromMs(s.startMs(s.now, j.kind, s.amountsFor(j), true))
}

// waitedTooLong reports whether a job that misses its target has waited for more than LateWaitShare of the time from
// its arrival to its FirstEventDeadline. It is then refused, so that the caller can retry.
func (s *State) waitedTooLong(now decide.Instant, j *Job) bool {
	allowed := j.FirstEventDeadline.Sub(j.Arrived)
	return s.missesTarget(now, j) && toMs(now.Sub(j.Arrived)) > s.params.LateWaitShare*toMs(allowed)
}
