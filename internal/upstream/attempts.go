package upstream

import (
	"context"
	"net"

	"github.com/damaskshelf/damaskshelf/internal/crash"
)

// attempt is the result of one way to connect.
type attempt struct {
	conn     net.Conn
	err      error
	bypassed bool
}

// attempts are the attempts of one dial, at most one for each way. Only the goroutine that dials uses its fields, and
// finish after it.
type attempts struct {
	p                            *paths
	addr                         string
	results                      chan attempt
	pending                      int
	directStarted, bypassStarted bool
	directErr                    error // of a failed direct attempt
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
		c, err := dial(dialCtx, a.addr)
		a.results <- attempt{c, err, bypassed}
	}()
}

// record records what the result of an attempt shows.
func (a *attempts) record(r attempt) {
	a.pending--
	switch {
	case r.bypassed && r.err == nil:
		a.bypassed = true
	case r.bypassed:
	case r.err != nil:
		a.directErr = r.err
	default:
		a.p.connected(a.addr)
	}
	if a.directErr != nil && a.bypassed {
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
