package dispatch

import (
	"cmp"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/returns"
)

// callOf describes the job as an attempt of its caller.
func (s *State) callOf(j *Job) returns.Call {
	c := returns.Call{
		Workspace: j.Workspace, ID: j.ID, Kind: int(s.kindOf(j)), Arrived: j.Arrived, FirstArrived: j.firstArrived, Deadline: j.Deadline,
	}
	if len(j.Keys) > 0 && !j.Resumed { // the instance resumes a stream, and its caller does not return
		c.Key = j.Keys[0]
	}
	return c
}

// recognizeReturn sets when the caller of a new job first arrived, if it was refused before. The job's target then counts
// from that time.
func (s *State) recognizeReturn(j *Job) {
	status, firstArrived := s.returns.Recognize(s.callOf(j))
	if status == returns.First {
		return
	}
	j.firstArrived = firstArrived
	j.returned, j.early = status == returns.Due, status == returns.Early
	if j.FirstEventTarget != 0 {
		j.FirstEventTarget = j.FirstEventTarget.Add(firstArrived.Sub(j.Arrived))
	}
}

// promiseReturn returns the time after which the caller of a refused job may return.
func (s *State) promiseReturn(j *Job, reason decide.Reason) time.Duration {
	c := s.callOf(j)
	if wait, ok := s.returns.Remaining(s.now, c); ok {
		return wait
	}
	return s.returns.Promise(s.now, c, s.roomAfter(j, reason))
}

// roomAfter returns the time until there is room for the caller of a job that is refused for the given reason.
func (s *State) roomAfter(j *Job, reason decide.Reason) time.Duration {
	switch reason {
	case RateLimited:
		return s.minLimitWait(s.jobsAhead)
	case NoSlack:
		return maxRetryAfter // only a change of the load brings slack
	default:
		return s.roomFor(j)
	}
}

// compareReturns orders two jobs that are both late, or both in time, by what was promised to their callers. Late jobs of
// callers that return when due come first, in the order of their first arrivals.
func (s *State) compareReturns(a, b *Job, late bool) int {
	switch {
	case !late:
		return 0
	case a.returned && b.returned:
		return cmp.Compare(a.firstArrived, b.firstArrived)
	default:
		return boolToInt(b.returned) - boolToInt(a.returned)
	}
}

// recordStart records that the job starts, which ends the promise to its caller.
func (s *State) recordStart(now decide.Instant, j *Job) {
	if s.byForecast() {
		s.returns.Started(now, s.callOf(j))
	}
}

// decideEarly decides about the jobs of callers that returned early. It is called after all other jobs were decided, so
// that these callers get only room that nobody else can use.
func (s *State) decideEarly(now decide.Instant) []Decision {
	var out []Decision
	s.jobsAhead = len(s.queue)
	waiting := s.early[:0]
	for _, j := range s.early {
		if d, settled := s.decide(now, j); settled {
			s.settleShare(now, d)
			out = append(out, d)
		} else {
			waiting = append(waiting, j)
		}
	}
	clear(s.early[len(waiting):])
	s.early = waiting
	return out
}

// Promises returns the number of promises to refused callers, and how many were used since the dispatcher began.
func (s *State) Promises() (promised int, used uint64) { return s.returns.Len(), s.returns.Used() }
