package dispatch

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/quarantine"
)

// A job that may end its upstream gets one of its own for as long as that isn't known. Other jobs would end with it, and
// which of them was the cause would stay open.

// maxAloneWait is how long a job waits for an upstream of its own. Under load there may be none.
const maxAloneWait = quarantine.ProvenAfter

// quarantineRequest returns what decides whether the job is held back.
func (j *Job) quarantineRequest() quarantine.Request {
	return quarantine.Request{Keys: j.Keys, Workspace: j.Workspace, Resumed: j.Resumed}
}

// holdBack returns the decision that refuses the job because upstreams end when they answer such jobs. Nothing more is known for
// some time.
func holdBack(j *Job, left time.Duration) Decision {
	return Decision{Job: j, Reason: HeldBack, RetryAfter: max(minRetryAfter, left)}
}

// setAlone records whether the job needs an upstream of its own now.
func (j *Job) setAlone(now decide.Instant, needed bool) {
	if needed && j.aloneSince == 0 {
		j.aloneSince = now
	}
	j.alone = needed && now.Sub(j.aloneSince) <= maxAloneWait
}

// proven reports whether it is known that the engine survives the run.
func (r *run) proven(now decide.Instant) bool {
	return r.decoding && now.Sub(r.decodingSince) >= quarantine.ProvenAfter
}

// bearsSuspect reports whether the engine may receive the job beside its runs: neither the job nor one of the runs needs it for
// itself.
func (e *engine) bearsSuspect(now decide.Instant, j *Job) bool {
	if e.suspect != nil && !e.suspect.proven(now) {
		return false
	}
	if !j.alone {
		return true
	}
	for _, r := range e.runs {
		if !r.proven(now) || r.job.alone { // the end of an upstream with two suspects doesn't tell them apart
			return false
		}
	}
	return true
}
