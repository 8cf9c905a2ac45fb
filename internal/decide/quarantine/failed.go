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

// failedRun is a request whose answer broke off before it was proven.
type failedRun struct {
	*run
	upstream fleet.Process
	at       decide.Instant
}

// Failed records that a request failed on an upstream that isn't known to have ended.
func (t *Table) Failed(now decide.Instant, id fleet.RequestID, upstream fleet.Process) {
	r := t.runs[id]
	if r == nil {
		return
	}
	t.Done(id)
	if e := t.ended.find(upstream); e != nil {
		t.blame(now, r, e)
		return
	}
	if len(t.failed) >= maxFailed {
		t.failed = slices.Delete(t.failed, 0, 1)
	}
	t.failed = append(t.failed, failedRun{r, upstream, now})
}

// Gone records that an upstream refuses connections. Requests that failed on it a moment ago may have ended it.
func (t *Table) Gone(now decide.Instant, upstream fleet.Process) {
	if slices.ContainsFunc(t.failed, func(f failedRun) bool { return f.upstream == upstream && now.Sub(f.at) <= failedRetention }) {
		t.blameFailed(now, upstream, t.ended.record(now, upstream))
	}
}

// blameFailed records that the requests which failed on an upstream a moment ago may be the cause of its end.
func (t *Table) blameFailed(now decide.Instant, upstream fleet.Process, e *end) {
	for _, f := range t.failed {
		if f.upstream == upstream && now.Sub(f.at) <= failedRetention {
			t.blame(now, f.run, e)
		}
	}
	t.failed = slices.DeleteFunc(t.failed, func(f failedRun) bool { return f.upstream == upstream })
}
