package query

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/decide/retry"
	"github.com/damaskshelf/damaskshelf/internal/entry/intake"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/route"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
)

// Read serves GET and HEAD calls of plain services; they may be repeated.
func (h *Handler) Read(ctx *fasthttp.RequestCtx) {
	m, err := intake.Parse(&ctx.Request.Header, time.Now(), h.bounds, h.newID)
	if err != nil {
		h.refuse(ctx, m, err)
		return
	}
	if err := h.gate.Enter(); err != nil {
		h.refuse(ctx, m, err)
		return
	}
	defer h.gate.Leave()
	timed, cancel := context.WithDeadline(h.base, m.Deadline)
	defer cancel()
	a, err := h.read(timed, m, intake.ReadCall(ctx))
	if err != nil {
		h.refuse(ctx, m, err)
		return
	}
	h.count("answered", "mode", "read")
	intake.Respond(ctx, m, a)
}

// maxReads bounds the dispatches of one read; its time is shared out among them.
const maxReads = 4

// reading is one read through as many dispatches as it takes.
type reading struct {
	h       *Handler
	ctx     context.Context
	meta    intake.Meta
	target  intake.Call
	run     fault.Run // what is known about the read as a whole
	tried   []fleet.UpstreamID
	attempt int
}

func (h *Handler) read(ctx context.Context, m intake.Meta, t intake.Call) (upstream.Answer, error) {
	r := &reading{h: h, ctx: ctx, meta: m, target: t, run: fault.RunNo}
	for {
		a, again, err := r.once()
		if !again {
			return a, err
		}
	}
}

// once makes one dispatch and tells whether another may follow.
func (r *reading) once() (upstream.Answer, bool, error) {
	r.attempt++
	g, err := r.h.router.Acquire(r.ctx, route.Request{
		ID: r.meta.ID, Workspace: r.meta.Workspace, Service: r.target.Service, Priority: r.meta.Priority,
		Deadline: r.meta.Deadline, Attempt: r.attempt, Exclude: r.tried,
	})
	if err != nil {
		return upstream.Answer{}, false, r.refused(err)
	}
	if r.attempt == 1 {
		r.h.retrier.RecordRequest(r.meta.Workspace, g.Upstream.ID)
	}
	a, failed := r.call(g)
	if failed == nil {
		return a, false, nil
	}
	if failed.MayHaveRun() {
		r.run = fault.RunUnknown
	}
	r.tried = append(r.tried, g.Upstream.ID)
	again, reason := r.h.retrier.AwaitRetry(r.ctx, retry.Failure{
		Started: failed.MayHaveRun(), Idempotent: true, Attempts: r.attempt, TimeLeft: time.Until(r.meta.Deadline),
		RetryAfter: failed.RetryAfter, OtherUpstream: true,
	}, r.meta.Workspace, g.Upstream.ID)
	r.h.explain.Record("retry", string(r.meta.ID), reason,
		"upstream", g.Upstream.ID, "again", again, "attempt", r.attempt, "error", failed)
	return upstream.Answer{}, again, r.final(failed)
}

// refused keeps what is known of earlier dispatches: a read that may have run is never "not run".
func (r *reading) refused(err error) error {
	e := fault.From(err)
	if r.run == fault.RunNo {
		return e
	}
	return fault.NewWithRun(fault.UpstreamFailed, r.run, "%s after %d dispatches: %s", e.Kind, r.attempt-1, e.Detail)
}

func (r *reading) final(failed *upstream.CallError) error {
	switch {
	case r.ctx.Err() != nil:
		return fault.NewWithRun(fault.DeadlineExceeded, r.run, "no answer in time")
	case r.run == fault.RunNo:
		e := fault.New(fault.UpstreamBusy, "%v", failed)
		e.RetryAfter = failed.RetryAfter
		return e
	default:
		return fault.NewWithRun(fault.UpstreamFailed, r.run, "%v", failed)
	}
}

// call tries one instance of the service, and leaves time for the others.
func (r *reading) call(g *route.Grant) (upstream.Answer, *upstream.CallError) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	remaining := time.Until(r.meta.Deadline)
	r.target.Fill(req, g.Upstream.Addr, r.meta, r.attempt, remaining)
	share := remaining / time.Duration(max(maxReads-r.attempt+1, 1))
	a, err := r.h.client.Call(r.ctx, g.Upstream.Addr, req, share)
	if err == nil {
		g.Done(route.OK)
		return a, nil
	}
	var ce *upstream.CallError
	if !errors.As(err, &ce) {
		ce = &upstream.CallError{Sent: true, Cause: err}
	}
	g.Done(dispatchOutcome(r.ctx, ce))
	return upstream.Answer{}, ce
}

// dispatchOutcome is how a failed dispatch counts for its upstream.
func dispatchOutcome(ctx context.Context, ce *upstream.CallError) route.Outcome {
	switch {
	case ctx.Err() != nil || ce.DeadlinePassed:
		return route.Cancelled
	case !ce.MayHaveRun():
		return route.NotStarted
	case ce.Timeout:
		return route.Silent
	default:
		return route.Failed
	}
}
