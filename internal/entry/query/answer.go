package query

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/health"
	"github.com/damaskshelf/damaskshelf/internal/decide/retry"
	"github.com/damaskshelf/damaskshelf/internal/decide/stream"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/route"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// errCallerGone is the cause of contexts that are canceled because the caller closed its connection.
var errCallerGone = errors.New("caller closed its connection, or its sending half")

// answer reads the answer to one prompt, part by part and in order, over one or more dispatches. It executes the decisions
// of decide/stream and, through again.Retrier, of decide/retry.
type answer struct {
	h                   *Handler
	ctx                 context.Context // ends at the deadline, when the caller closes its connection, or by Abort
	prompt              *prompt
	parts               *stream.Assembly
	ready               []wire.Part // in order, not yet returned by next
	attempt             int
	tried               []fleet.UpstreamID
	grant               *route.Grant
	dispatchedAt        time.Time // start of the current dispatch
	dispatchDeadline    time.Time // deadline of the current dispatch; earlier than the request's if the upstream is cold
	gotPart             bool      // the first part of the current dispatch has arrived
	consecutiveFailures int       // failed dispatches in a row; one that delivered a part restarts the count at 1
	stream              *upstream.Stream
	run                 fault.Run // whether it ran, as far as is known from all dispatches
}

// next returns the next part in order, and io.EOF after the part with the end mark. Any other error is a *fault.Error and
// final.
func (a *answer) next() (wire.Part, error) {
	for len(a.ready) == 0 {
		if a.parts.Complete() {
			return wire.Part{}, io.EOF
		}
		if err := a.step(); err != nil {
			return wire.Part{}, err
		}
	}
	p := a.ready[0]
	a.ready = a.ready[1:]
	return p, nil
}

// step makes a dispatch if there is none, or else reads one part of the current one.
func (a *answer) step() error {
	if a.stream == nil {
		return a.dispatch()
	}
	p, err := a.stream.Next()
	if errors.Is(err, io.EOF) { // the stream ended without an end mark
		err = &upstream.CallError{Sent: true, Cause: io.ErrUnexpectedEOF}
	}
	if err != nil {
		return a.handleFailure(err)
	}
	return a.addPart(p)
}

// addPart adds a part to the answer. Parts of another answer, stale and duplicate ones are dropped and counted; parts that
// arrive ahead of missing ones are held.
func (a *answer) addPart(p wire.Part) error {
	if p.ID == string(a.prompt.meta.ID) && p.FinishReason == stream.FinishError {
		return a.handleFailure(&upstream.CallError{Sent: true, Cause: errors.New(p.Error)})
	}
	ready, drop := a.parts.Add(a.attempt, p)
	switch drop {
	case stream.Delivered:
		a.run = fault.RunYes
		a.recordFirstPart()
		a.ready = append(a.ready, ready...)
	case stream.Ahead:
	case stream.Overflow:
		return a.handleFailure(&upstream.CallError{Sent: true, Cause: errMissingParts})
	default:
		a.h.count("parts_dropped", "why", drop.String())
	}
	if a.parts.Complete() {
		a.finishStream()
	}
	return nil
}

// errMissingParts is the error of a stream on which too many parts arrived ahead of missing ones.
var errMissingParts = errors.New("a part of the answer is missing")

// recordFirstPart records the arrival of the first part of the current dispatch.
func (a *answer) recordFirstPart() {
	if a.gotPart {
		return
	}
	a.gotPart = true
	a.grant.RecordFirstToken()
	a.h.limits.OnFirstByte(a.grant.Upstream, time.Since(a.dispatchedAt), 0)
}

// timeLeft returns the time until the request's deadline.
func (a *answer) timeLeft() time.Duration { return time.Until(a.prompt.meta.Deadline) }

// dispatch opens a stream on an upstream, which begins at the next token that the caller needs.
func (a *answer) dispatch() error {
	a.attempt++
	if err := a.contextFault(); err != nil {
		return err
	}
	p := a.prompt
	grant, err := a.h.router.Acquire(a.ctx, route.Request{
		ID: p.meta.ID, Workspace: p.meta.Workspace, Model: p.body.Model,
		PromptTokens: p.promptTokens, MaxOutputTokens: p.body.MaxTokens, Blocks: p.blockHashes,
		Priority: p.meta.Priority, Deadline: p.meta.Deadline, Attempt: a.attempt, Exclude: a.tried,
	})
	if err != nil {
		if ctxFault := a.contextFault(); ctxFault != nil {
			return ctxFault
		}
		return a.refusal(err)
	}
	a.grant, a.gotPart, a.dispatchedAt = grant, false, time.Now()
	a.parts.BeginAttempt(a.attempt)
	if a.attempt == 1 {
		a.h.retrier.RecordRequest(p.meta.Workspace, grant.Upstream.ID)
	}
	silence := a.dispatchLimits()
	s, err := a.h.client.Complete(a.ctx, grant.Upstream.Addr, upstream.Completion{
		RequestID: string(p.meta.ID), Workspace: string(p.meta.Workspace), Priority: grant.Priority,
		Attempt: a.attempt, Remaining: time.Until(a.dispatchDeadline), Reservation: grant.Reservation, Group: grant.Group,
		ResumeOffset: a.parts.NextToken(), Body: p.engineBody,
	}, silence)
	if err != nil {
		return a.handleFailure(err)
	}
	a.markSent()
	a.h.limits.OnBoot(grant.Upstream, s.BootID())
	a.stream = s
	return nil
}

// dispatchLimits sets the deadline of the current dispatch and returns the limits of silence on its connection. A dispatch
// to a cold upstream ends before the slot that it uses can pass to another instance; another dispatch then continues the
// answer.
func (a *answer) dispatchLimits() upstream.SilenceLimits {
	a.dispatchDeadline = a.prompt.meta.Deadline
	if limit, cold := a.h.limits.MaxDispatch(a.grant.Upstream); cold && a.timeLeft() > limit {
		a.dispatchDeadline = a.dispatchedAt.Add(limit)
	}
	u := a.grant.Upstream
	return upstream.SilenceLimits{
		Params: stream.NewParams(a.h.streamGap), Deadline: a.dispatchDeadline,
		OnStep: func(r decide.Reason) {
			a.h.explain.Record("silence", string(a.prompt.meta.ID), r, "upstream", u.ID)
		},
	}
}

// dispatchTimedOut reports whether the current dispatch has a deadline of its own, earlier than the request's, and reached
// it after it had delivered a part.
func (a *answer) dispatchTimedOut() bool {
	const clockTolerance = 100 * time.Millisecond // the engine may end the dispatch slightly earlier than this instance
	return a.gotPart && a.dispatchDeadline.Before(a.prompt.meta.Deadline) && time.Until(a.dispatchDeadline) < clockTolerance
}

// refusal returns the final error after the router refused a dispatch with err. A request that may have run in an earlier
// dispatch is never reported as not run.
func (a *answer) refusal(err error) error {
	e := *fault.From(err)
	if a.run == fault.RunNo {
		return &e
	}
	return fault.NewWithRun(fault.UpstreamFailed, a.run, "%s after %d dispatches: %s", e.Kind, a.attempt-1, e.Detail)
}

// markSent records that the request may have run.
func (a *answer) markSent() {
	if a.run == fault.RunNo {
		a.run = fault.RunUnknown
	}
}

// contextFault returns the final error if the request's context has ended, and nil otherwise.
func (a *answer) contextFault() error {
	if a.ctx.Err() == nil {
		return nil
	}
	if errors.Is(context.Cause(a.ctx), errCallerGone) {
		return fault.NewWithRun(fault.CallerGone, a.run, "%v", errCallerGone)
	}
	if errors.Is(context.Cause(a.ctx), errStopped) {
		return fault.NewWithRun(fault.Cancelled, a.run, "the instance's planned stop reached its limit")
	}
	return fault.NewWithRun(fault.DeadlineExceeded, a.run, "%d tokens came in time", a.parts.NextToken())
}

// handleFailure ends the current dispatch, which failed with err. It returns nil if another dispatch may follow, possibly
// after a backoff, or the final error.
func (a *answer) handleFailure(err error) error {
	var callErr *upstream.CallError
	if !errors.As(err, &callErr) {
		callErr = &upstream.CallError{Sent: true, Cause: err}
	}
	if callErr.MayHaveRun() {
		a.markSent()
	}
	u, timedOut := a.grant.Upstream, a.dispatchTimedOut()
	a.consecutiveFailures++
	if a.gotPart {
		a.consecutiveFailures = 1
	}
	a.reportHealth(callErr)
	if a.ctx.Err() != nil || callErr.Timeout || callErr.DeadlinePassed || timedOut {
		a.cancelDispatch(a.outcome(callErr, timedOut))
	} else {
		a.endDispatch(a.outcome(callErr, timedOut))
	}
	if err := a.contextFault(); err != nil {
		return err
	}
	if timedOut {
		return nil
	}
	if !callErr.Timeout || callErr.UpstreamDead {
		a.tried = append(a.tried, u.ID)
	}
	return a.awaitRetry(u, callErr)
}

// awaitRetry waits until the request may be dispatched again after the failure callErr on u. It returns the final error if
// the request must not be retried.
func (a *answer) awaitRetry(u *fleet.Upstream, callErr *upstream.CallError) error {
	retrying, reason := a.h.retrier.AwaitRetry(a.ctx, retry.Failure{
		Started: callErr.MayHaveRun(), Idempotent: true, Attempts: a.consecutiveFailures, TimeLeft: a.timeLeft(),
		RetryAfter: callErr.RetryAfter, OtherUpstream: true,
	}, a.prompt.meta.Workspace, u.ID)
	a.h.explain.Record("retry", string(a.prompt.meta.ID), reason,
		"upstream", u.ID, "again", retrying, "attempt", a.attempt, "offset", a.parts.NextToken(), "error", callErr)
	if retrying {
		return nil
	}
	if err := a.contextFault(); err != nil {
		return err
	}
	return a.finalError(callErr)
}

// reportHealth reports what the failure shows about the upstream's health beyond the outcome of the dispatch.
func (a *answer) reportHealth(callErr *upstream.CallError) {
	if a.ctx.Err() != nil {
		return
	}
	a.h.limits.OnBoot(a.grant.Upstream, callErr.BootID)
	switch {
	case callErr.UpstreamDead:
		a.h.limits.RecordEvidence(a.grant.Upstream, health.NoReply)
	case !callErr.Sent:
		a.h.limits.RecordEvidence(a.grant.Upstream, health.ConnReset)
	}
}

// outcome returns the outcome that is recorded for the upstream. A dispatch that reached its own deadline counts as
// canceled.
func (a *answer) outcome(callErr *upstream.CallError, timedOut bool) route.Outcome {
	if timedOut {
		return route.Cancelled
	}
	return dispatchOutcome(a.ctx, callErr)
}

// finalError returns the error of a request that is not retried after the failure callErr.
func (a *answer) finalError(callErr *upstream.CallError) error {
	kind := fault.UpstreamFailed
	switch {
	case a.run == fault.RunNo:
		kind = fault.UpstreamBusy
	case errors.Is(callErr, io.ErrUnexpectedEOF):
		kind = fault.IncompleteAnswer
	}
	e := fault.NewWithRun(kind, a.run, "%d dispatches, the last: %v", a.attempt, callErr)
	e.RetryAfter = callErr.RetryAfter
	return e
}

// finishStream reads the rest of the stream of a complete answer, so that its connection can be reused.
func (a *answer) finishStream() {
	if extra := a.stream.Finish(); extra > 0 {
		a.h.metrics.Counter("parts_dropped", "why", stream.AfterEnd.String()).Inc(int64(extra))
	}
	a.endDispatch(route.OK)
}

// endDispatch ends the current dispatch, if any, with the given outcome.
func (a *answer) endDispatch(o route.Outcome) {
	if g := a.detach(); g != nil {
		g.Release(o)
	}
}

// detach closes the stream of the current dispatch and returns its grant, which the calling method must end. It returns
// nil if there is no dispatch.
func (a *answer) detach() *route.Grant {
	if a.stream != nil {
		a.stream.Close()
		a.stream = nil
	}
	g := a.grant
	if g != nil && a.gotPart {
		a.h.limits.OnLastByte(g.Upstream)
	}
	a.grant, a.gotPart = nil, false
	return g
}

// abandon cancels the current dispatch, if any, when the answer is not read to its end.
func (a *answer) abandon() { a.cancelDispatch(route.Cancelled) }

// cancelDispatch ends the current dispatch, if any, and cancels it on the engine in the background. Closing the connection
// is not enough: if a device on the path has lost the connection's state, the engine does not see the close. The grant
// ends only after the cancellation, since the engine works on the request until then. If the grant ended earlier, a cold
// engine could receive another request in its place and be overloaded.
func (a *answer) cancelDispatch(o route.Outcome) {
	g := a.detach()
	if g == nil {
		return
	}
	id, attempt := a.prompt.meta.ID, a.attempt
	a.h.background(func(ctx context.Context) {
		defer g.Release(o)
		if err := a.h.client.Cancel(ctx, g.Upstream.Addr, string(id), attempt); err != nil {
			a.h.log.Warn("cancel failed", "request", id, "upstream", g.Upstream.ID, "error", err)
		}
	})
}
