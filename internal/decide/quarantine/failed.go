package quarantine

import (
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// A process may close a connection some time before it ends. The request then failed on an upstream that still accepted
// connections, and the end is known only from others.

const (
	// failedRetention is how long before the end of its upstream a request may have failed to count as a cause.
	failedRetention = 2 * time.Second
	// maxFailed bounds the failed requests that are remembered.
	maxFailed = 256
)

// failedRun is a request whose answer broke off.
type failedRun struct {
	*run
	upstream fleet.Process
}

// Failed records that a request failed on an upstream that isn't known to have ended.
func (t *Table) Failed(now decide.Instant, id fleet.RequestID, upstream fleet.Process) {
	r := t.runs[id]
	if r == nil {
		return
	}
	t.finish(now, id)
	if e := t.ended.find(upstream); e != nil {
		t.blameAny(now, r, e)
		return
	}
	if len(t.failed) >= maxFailed {
		t.failed = slices.Delete(t.failed, 0, 1)
	}
	t.failed = append(t.failed, failedRun{r, upstream})
}

// Gone records that an upstream refuses connections. Requests that failed on it a moment ago may have ended it.
func (t *Table) Gone(now decide.Instant, upstream fleet.Process) {
	if slices.ContainsFunc(t.failed, func(f failedRun) bool { return f.upstream == upstream && now.Sub(f.endedAt) <= failedRetention }) {
		t.blameFailed(now, upstream, t.ended.record(now, upstream))
	}
}

// blameFailed records that the requests which failed on an upstream a moment ago may be the cause of its end.
func (t *Table) blameFailed(now decide.Instant, upstream fleet.Process, e *end) {
	for _, f := range t.failed {
		if f.upstream == upstream && now.Sub(f.endedAt) <= failedRetention {
			t.blameAny(now, f.run, e)
		}
	}
	t.failed = slices.DeleteFunc(t.failed, func(f failedRun) bool { return f.upstream == upstream })
}

// blameAny records that a request that failed may be the cause of an upstream's end.
func (t *Table) blameAny(now decide.Instant, r *run, e *end) {
	if r.proven || r.answeredFor() >= ProvenAfter {
		t.blameLate(now, r, e)
	} else {
		t.blame(now, r, e)
	}
}
