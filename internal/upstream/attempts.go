package upstream

import (
	"context"
	"net"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/crash"
)

// attempt is the result of one way to connect.
type attempt struct {
	conn     net.Conn
	err      error
	bypassed bool
	own      bool // this process is the cause of err: it lacked a descriptor, or ended the attempt so late that it can't have run all the while
}

// maxTimeoutDelay is how much later than its timeout an attempt ends in a process that runs.
const maxTimeoutDelay = connectTimeout / 2

// attempts are the attempts of one dial, at most one for each way. Only the goroutine that dials uses its fields, and
// finish after it.
type attempts struct {
	p                            *paths
	addr                         string
	results                      chan attempt
	pending                      int
	directStarted, bypassStarted bool
	directErr                    error // of a failed direct attempt
	directOwn                    bool  // directErr shows nothing of the path
	bypassed                     bool  // another instance connected
}

// startDirect starts the direct attempt unless it was started before.
func (a *attempts) startDirect(ctx context.Context) {
	if !a.directStarted {
		a.directStarted = true
		a.start(ctx, a.p.direct, false)
	}
}

// startBypass starts the attempt through another instance unless it was started before.
func (a *attempts) startBypass(ctx context.Context) {
	if !a.bypassStarted {
		a.bypassStarted = true
		a.start(ctx, a.p.bypass.Dial, true)
	}
}

// start starts an attempt that goes on for connectTimeout even if ctx ends before: its result shows whether the path
// works.
func (a *attempts) start(ctx context.Context, dial Dialer, bypassed bool) {
	a.pending++
	go func() {
		defer crash.Report("connecting to upstream")
		dialCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), connectTimeout)
		defer cancel()
		began := time.Now()
		c, err := dial(dialCtx, a.addr)
		late := err != nil && isTimeout(err) && time.Since(began) > connectTimeout+maxTimeoutDelay
		a.results <- attempt{c, err, bypassed, late || IsShortage(err)}
	}()
}

// record records what the result of an attempt shows. A process that did not run finds an attempt's time over, whether the
// path works or not.
func (a *attempts) record(r attempt) {
	a.pending--
	switch {
	case r.bypassed && r.err == nil:
		a.bypassed = true
	case r.bypassed:
	case r.err != nil:
		a.directErr, a.directOwn = r.err, r.own
	default:
		a.p.connected(a.addr)
	}
	if a.directErr != nil && !a.directOwn && a.bypassed {
		a.p.pathFailed(a.addr, a.directErr)
	}
}

// finish awaits the attempts that are still under way, and closes their connections.
func (a *attempts) finish() {
	for a.pending > 0 {
		r := <-a.results
		a.record(r)
		if r.err == nil {
			_ = r.conn.Close()
		}
	}
}
