package query

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/route"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// errCallerGone is the cause of a context that ended because the caller closed its connection.
var errCallerGone = errors.New("caller closed its connection")

const maxAttempts = 4

// answer pulls one prompt's answer, part by part in order, through as many dispatches as it takes.
type answer struct {
	h       *Handler
	ctx     context.Context // ends at the deadline or when the caller goes away
	prompt  *prompt
	offset  int // first token still needed
	attempt int
	tried   []fleet.UpstreamID
	grant   *route.Grant
	stream  *upstream.Stream
	run     fault.Run // what is known about the request as a whole
	ended   bool
}

// next gives the next part in order; io.EOF after the part with the end mark. Any other error is a
// *fault.Error and final.
func (a *answer) next() (wire.Part, error) {
	if a.ended {
		return wire.Part{}, io.EOF
	}
	for {
		if a.stream == nil {
			if err := a.dispatch(); err != nil {
				return wire.Part{}, err
			}
			continue // a dispatch that failed and may be followed by another leaves no stream
		}
		p, err := a.stream.Next(a.gap())
		if err == nil && p.FinishReason == finishError {
			err = &upstream.CallError{Sent: true, Cause: errors.New(p.Error)}
		}
		if errors.Is(err, io.EOF) { // the stream's last event came without an end mark
			err = &upstream.CallError{Sent: true, Cause: io.ErrUnexpectedEOF}
		}
		if err != nil {
			if err := a.failed(err); err != nil {
				return wire.Part{}, err
			}
			continue
		}
		if !a.accept(p) {
			continue
		}
		if p.FinishReason != "" {
			a.finish()
		}
		return p, nil
	}
}

const finishError = "error"

// accept tells whether p is the next part of this answer. Parts of another answer, late, doubled or ahead
// of their turn are dropped and counted; a hole then shows as a missing end mark.
func (a *answer) accept(p wire.Part) bool {
	switch {
	case p.ID != string(a.prompt.meta.ID):
		a.h.count("parts_dropped", "why", "foreign")
		return false
	case p.Offset != a.offset:
		a.h.count("parts_dropped", "why", "out_of_order")
		return false
	}
	a.run = fault.RunYes
	a.offset += p.Tokens
	return true
}

// gap is how long the stream may be silent, the head of the answer included: an engine answers at once
// and shows that it works (docs/UPSTREAMS.md).
func (a *answer) gap() time.Duration { return min(a.left(), a.h.streamGap) }

func (a *answer) left() time.Duration { return time.Until(a.prompt.meta.Deadline) }

// dispatch opens a stream on an upstream, from the first token still needed.
func (a *answer) dispatch() error {
	a.attempt++
	if err := a.overdue(); err != nil {
		return err
	}
	p := a.prompt
	grant, err := a.h.router.Acquire(a.ctx, route.Request{
		ID: p.meta.ID, Workspace: p.meta.Workspace, Model: p.body.Model,
		Tokens: p.tokens, MaxTokens: p.body.MaxTokens, Blocks: p.blocks,
		Priority: p.meta.Priority, Deadline: p.meta.Deadline, Attempt: a.attempt, Exclude: a.tried,
	})
	if err != nil {
		return a.refused(err)
	}
	a.grant = grant
	s, err := a.h.client.Complete(a.ctx, grant.Upstream.Addr, upstream.Completion{
		RequestID: string(p.meta.ID), Workspace: string(p.meta.Workspace), Priority: p.meta.Priority,
		Attempt: a.attempt, Remaining: a.left(), Reservation: grant.Reservation,
		ResumeOffset: a.offset, Body: p.raw,
	}, a.gap())
	if err != nil {
		return a.failed(err)
	}
	a.sent()
	a.stream = s
	return nil
}

// refused keeps what is known of earlier dispatches: a request that may have run is never "not run".
func (a *answer) refused(err error) error {
	e := *fault.From(err)
	if a.run == fault.RunNo {
		return &e
	}
	return fault.Ran(fault.UpstreamFailed, a.run, "%s after %d dispatches: %s", e.Kind, a.attempt-1, e.Detail)
}

func (a *answer) sent() {
	if a.run == fault.RunNo {
		a.run = fault.RunUnknown
	}
}

// overdue gives the final error once the request's context has ended.
func (a *answer) overdue() error {
	if a.ctx.Err() == nil {
		return nil
	}
	if errors.Is(context.Cause(a.ctx), errCallerGone) {
		return fault.Ran(fault.CallerGone, a.run, "the caller closed its connection")
	}
	if errors.Is(context.Cause(a.ctx), errStopped) {
		return fault.Ran(fault.Cancelled, a.run, "the instance's planned stop reached its limit")
	}
	return fault.Ran(fault.DeadlineExceeded, a.run, "%d tokens came in time", a.offset)
}

// failed ends the current dispatch and gives nil when another may follow, or the final error.
func (a *answer) failed(err error) error {
	var ce *upstream.CallError
	if !errors.As(err, &ce) {
		ce = &upstream.CallError{Sent: true, Cause: err}
	}
	if ce.Ran() {
		a.sent()
	}
	u := a.grant.Upstream
	a.close(a.outcome(ce))
	if err := a.overdue(); err != nil {
		a.cancel(u)
		return err
	}
	a.tried = append(a.tried, u.ID)
	if ce.Timeout {
		a.h.client.Condemn(u.Addr)
		a.cancel(u)
	}
	if a.attempt >= maxAttempts {
		return a.exhausted(ce)
	}
	a.h.explain.Record("retry", string(a.prompt.meta.ID), ReasonResume, "upstream", u.ID, "offset", a.offset, "error", ce)
	return nil
}

// ReasonResume: a stream goes on elsewhere from the first token still needed.
const ReasonResume decide.Reason = "resume"

func (a *answer) outcome(ce *upstream.CallError) route.Outcome {
	switch {
	case a.ctx.Err() != nil:
		return route.Cancelled
	case !ce.Ran():
		return route.NotStarted
	case ce.Timeout:
		return route.Silent
	default:
		return route.Failed
	}
}

func (a *answer) exhausted(ce *upstream.CallError) error {
	kind := fault.UpstreamFailed
	switch {
	case a.run == fault.RunNo:
		kind = fault.UpstreamBusy
	case errors.Is(ce, io.ErrUnexpectedEOF):
		kind = fault.IncompleteAnswer
	}
	e := fault.Ran(kind, a.run, "%d dispatches, the last: %v", a.attempt, ce)
	e.RetryAfter = ce.RetryAfter
	return e
}

// finish reads the rest of a whole stream, so that its connection can be used again.
func (a *answer) finish() {
	a.ended = true
	_, err := a.stream.Next(endWait)
	if !errors.Is(err, io.EOF) {
		a.h.count("parts_dropped", "why", "after_end")
	}
	a.close(route.OK)
}

// endWait bounds the wait for the event after the end mark; a connection without it is just not reused.
const endWait = 50 * time.Millisecond

// close ends the current dispatch, if any.
func (a *answer) close(o route.Outcome) {
	if a.stream != nil {
		a.stream.Close()
		a.stream = nil
	}
	if a.grant != nil {
		a.grant.Done(o)
		a.grant = nil
	}
}

// abandon frees everything when the answer is not read to its end.
func (a *answer) abandon() {
	if a.grant == nil {
		return
	}
	u := a.grant.Upstream
	a.close(route.Cancelled)
	a.cancel(u)
}

// cancel tells the engine that nobody waits any more. Closing the connection says so too, but a connection
// that something in between has lost track of doesn't carry the close.
func (a *answer) cancel(u *fleet.Upstream) {
	a.h.background(func(ctx context.Context) {
		if err := a.h.client.Cancel(ctx, u.Addr, string(a.prompt.meta.ID)); err != nil {
			a.h.log.Warn("cancel failed", "request", a.prompt.meta.ID, "upstream", u.ID, "error", err)
		}
	})
}
