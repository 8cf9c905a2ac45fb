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

// errCallerGone is the cause of a context that ended because the caller closed its connection.
var errCallerGone = errors.New("caller closed its connection")

// answer pulls one prompt's answer, part by part in order, through as many dispatches as it takes. It is
// the shell of decide/stream and, through again.Retrier, of decide/retry.
type answer struct {
	h       *Handler
	ctx     context.Context // ends at the deadline or when the caller goes away
	prompt  *prompt
	parts   *stream.Assembly
	ready   []wire.Part // in order, not yet given to the caller
	attempt int
	tried   []fleet.UpstreamID
	grant   *route.Grant
	sentAt  time.Time // of the current dispatch
	until   time.Time // when its time ends; before the request's where the upstream is cold
	began   bool      // its first part came
	vain    int       // dispatches in a row without a part
	stream  *upstream.Stream
	run     fault.Run // what is known about the request as a whole
}

// next gives the next part in order; io.EOF after the part with the end mark. Any other error is a
// *fault.Error and final.
func (a *answer) next() (wire.Part, error) {
	for len(a.ready) == 0 {
		if a.parts.Complete() {
			return wire.Part{}, io.EOF
		}
		if err := a.pull(); err != nil {
			return wire.Part{}, err
		}
	}
	p := a.ready[0]
	a.ready = a.ready[1:]
	return p, nil
}

// pull takes one step: a dispatch, or one part of the current one.
func (a *answer) pull() error {
	if a.stream == nil {
		return a.dispatch()
	}
	p, err := a.stream.Next()
	if errors.Is(err, io.EOF) { // the stream's last event came without an end mark
		err = &upstream.CallError{Sent: true, Cause: io.ErrUnexpectedEOF}
	}
	if err != nil {
		return a.failed(err)
	}
	return a.accept(p)
}

// accept puts a part into the answer. Parts of another answer, late or doubled ones are dropped and
// counted; those ahead of their turn are held.
func (a *answer) accept(p wire.Part) error {
	if p.ID == string(a.prompt.meta.ID) && p.FinishReason == stream.FinishError {
		return a.failed(&upstream.CallError{Sent: true, Cause: errors.New(p.Error)})
	}
	ready, drop := a.parts.Add(a.attempt, p)
	switch drop {
	case stream.Delivered:
		a.run = fault.RunYes
		a.begin()
		a.ready = append(a.ready, ready...)
	case stream.Ahead:
	case stream.Overflow:
		return a.failed(&upstream.CallError{Sent: true, Cause: errMissing})
	default:
		a.h.count("parts_dropped", "why", drop.String())
	}
	if a.parts.Complete() {
		a.finish()
	}
	return nil
}

// errMissing: too many parts came behind one that did not.
var errMissing = errors.New("a part of the answer is missing")

// begin notes the first part of a dispatch.
func (a *answer) begin() {
	if a.began {
		return
	}
	a.began = true
	a.grant.FirstToken()
	a.h.limits.OnFirstByte(a.grant.Upstream, time.Since(a.sentAt), 0)
}

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
		if ended := a.overdue(); ended != nil {
			return ended
		}
		return a.refused(err)
	}
	a.grant, a.began, a.sentAt = grant, false, time.Now()
	a.parts.BeginAttempt(a.attempt)
	if a.attempt == 1 {
		a.h.retrier.RecordRequest(p.meta.Workspace, grant.Upstream.ID)
	}
	silence := a.bounds()
	s, err := a.h.client.Complete(a.ctx, grant.Upstream.Addr, upstream.Completion{
		RequestID: string(p.meta.ID), Workspace: string(p.meta.Workspace), Priority: grant.Priority,
		Attempt: a.attempt, Remaining: time.Until(a.until), Reservation: grant.Reservation, Group: grant.Group,
		ResumeOffset: a.parts.NextToken(), Body: p.raw,
	}, silence)
	if err != nil {
		return a.failed(err)
	}
	a.sent()
	a.h.limits.OnBoot(grant.Upstream, s.BootID())
	a.stream = s
	return nil
}

// bounds sets the current dispatch's time and says how its connection is watched. A dispatch to a cold
// upstream ends before its slot can be another instance's; the answer goes on in another dispatch.
func (a *answer) bounds() upstream.SilenceLimits {
	a.until = a.prompt.meta.Deadline
	if bound, cold := a.h.limits.MaxDispatch(a.grant.Upstream); cold && a.left() > bound {
		a.until = a.sentAt.Add(bound)
	}
	u := a.grant.Upstream
	return upstream.SilenceLimits{
		Params: stream.NewParams(a.h.streamGap), Deadline: a.until,
		OnStep: func(r decide.Reason) {
			a.h.explain.Record("silence", string(a.prompt.meta.ID), r, "upstream", u.ID)
		},
	}
}

// sliced tells whether a dispatch ended because of its own time and not the request's, and got on.
func (a *answer) sliced() bool {
	const early = 100 * time.Millisecond // the engine may count from a moment before
	return a.began && a.until.Before(a.prompt.meta.Deadline) && time.Until(a.until) < early
}

// refused keeps what is known of earlier dispatches: a request that may have run is never "not run".
func (a *answer) refused(err error) error {
	e := *fault.From(err)
	if a.run == fault.RunNo {
		return &e
	}
	return fault.NewWithRun(fault.UpstreamFailed, a.run, "%s after %d dispatches: %s", e.Kind, a.attempt-1, e.Detail)
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
		return fault.NewWithRun(fault.CallerGone, a.run, "the caller closed its connection")
	}
	if errors.Is(context.Cause(a.ctx), errStopped) {
		return fault.NewWithRun(fault.Cancelled, a.run, "the instance's planned stop reached its limit")
	}
	return fault.NewWithRun(fault.DeadlineExceeded, a.run, "%d tokens came in time", a.parts.NextToken())
}

// failed ends the current dispatch and gives nil when another may follow, or the final error.
func (a *answer) failed(err error) error {
	var ce *upstream.CallError
	if !errors.As(err, &ce) {
		ce = &upstream.CallError{Sent: true, Cause: err}
	}
	if ce.MayHaveRun() {
		a.sent()
	}
	u, sliced := a.grant.Upstream, a.sliced()
	a.vain++
	if a.began {
		a.vain = 1
	}
	a.witness(ce)
	if a.ctx.Err() != nil || ce.Timeout || ce.DeadlinePassed || sliced {
		a.cancel(a.outcome(ce, sliced))
	} else {
		a.close(a.outcome(ce, sliced))
	}
	if err := a.overdue(); err != nil {
		return err
	}
	if sliced {
		return nil
	}
	if !ce.Timeout || ce.UpstreamDead {
		a.tried = append(a.tried, u.ID)
	}
	return a.again(u, ce)
}

// again waits until the request may be dispatched again, or gives the final error.
func (a *answer) again(u *fleet.Upstream, ce *upstream.CallError) error {
	again, reason := a.h.retrier.AwaitRetry(a.ctx, retry.Failure{
		Started: ce.MayHaveRun(), Idempotent: true, Attempts: a.vain, TimeLeft: a.left(),
		RetryAfter: ce.RetryAfter, OtherUpstream: true,
	}, a.prompt.meta.Workspace, u.ID)
	a.h.explain.Record("retry", string(a.prompt.meta.ID), reason,
		"upstream", u.ID, "again", again, "attempt", a.attempt, "offset", a.parts.NextToken(), "error", ce)
	if again {
		return nil
	}
	if err := a.overdue(); err != nil {
		return err
	}
	return a.exhausted(ce)
}

// witness passes on what the failure says about the upstream's health beyond the outcome.
func (a *answer) witness(ce *upstream.CallError) {
	if a.ctx.Err() != nil {
		return
	}
	a.h.limits.OnBoot(a.grant.Upstream, ce.BootID)
	switch {
	case ce.UpstreamDead:
		a.h.limits.RecordEvidence(a.grant.Upstream, health.NoReply)
	case !ce.Sent:
		a.h.limits.RecordEvidence(a.grant.Upstream, health.ConnReset)
	}
}

func (a *answer) outcome(ce *upstream.CallError, sliced bool) route.Outcome {
	if sliced {
		return route.Cancelled
	}
	return dispatchOutcome(a.ctx, ce)
}

func (a *answer) exhausted(ce *upstream.CallError) error {
	kind := fault.UpstreamFailed
	switch {
	case a.run == fault.RunNo:
		kind = fault.UpstreamBusy
	case errors.Is(ce, io.ErrUnexpectedEOF):
		kind = fault.IncompleteAnswer
	}
	e := fault.NewWithRun(kind, a.run, "%d dispatches, the last: %v", a.attempt, ce)
	e.RetryAfter = ce.RetryAfter
	return e
}

// finish reads the rest of a whole stream, so that its connection can be used again.
func (a *answer) finish() {
	if extra := a.stream.Finish(); extra > 0 {
		a.h.metrics.Counter("parts_dropped", "why", stream.AfterEnd.String()).Inc(int64(extra))
	}
	a.close(route.OK)
}

// close ends the current dispatch, if any.
func (a *answer) close(o route.Outcome) {
	if g := a.detach(); g != nil {
		g.Done(o)
	}
}

// detach closes the current dispatch's stream and gives its grant, which its caller ends.
func (a *answer) detach() *route.Grant {
	if a.stream != nil {
		a.stream.Close()
		a.stream = nil
	}
	g := a.grant
	if g != nil && a.began {
		a.h.limits.OnLastByte(g.Upstream)
	}
	a.grant, a.began = nil, false
	return g
}

// abandon frees everything when the answer is not read to its end.
func (a *answer) abandon() { a.cancel(route.Cancelled) }

// cancel ends the current dispatch, if any, and tells the engine that nobody waits any more. Closing the
// connection says so too, but a connection that something in between has lost track of doesn't carry the
// close. The grant ends only then: until the engine knows, it works on, and a cold one could get more than
// it bears in the place of this one.
func (a *answer) cancel(o route.Outcome) {
	g := a.detach()
	if g == nil {
		return
	}
	id, attempt := a.prompt.meta.ID, a.attempt
	a.h.background(func(ctx context.Context) {
		defer g.Done(o)
		if err := a.h.client.Cancel(ctx, g.Upstream.Addr, string(id), attempt); err != nil {
			a.h.log.Warn("cancel failed", "request", id, "upstream", g.Upstream.ID, "error", err)
		}
	})
}
