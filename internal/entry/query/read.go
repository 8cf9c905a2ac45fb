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

// Read serves GET and HEAD calls of plain services, which may be repeated.
func (h *Handler) Read(ctx *fasthttp.RequestCtx) {
	m, err := intake.Parse(&ctx.Request.Header, time.Now(), h.bounds, h.newID)
	if err != nil {
		h.refuse(ctx, m, err)
		return
	}
	if err := h.gate.Admit(); err != nil {
		h.refuse(ctx, m, err)
		return
	}
	readCtx, cancel := context.WithDeadline(h.base, m.Deadline)
	defer cancel()
	a, err := h.read(readCtx, m, intake.ReadCall(ctx))
	if err != nil {
		h.refuse(ctx, m, err)
		return
	}
	h.count("answered", "mode", "read")
	intake.Respond(ctx, m, a)
}

// readTimeShares is the number of dispatches among which the time of one read is divided. It matches MaxAttempts of
// retry.DefaultParams, which bounds the dispatches.
const readTimeShares = 4

// serviceRead is the state of one read over all its dispatches.
type serviceRead struct {
	h           *Handler
	ctx         context.Context
	meta        intake.Meta
	serviceCall intake.Call
	run         fault.Run // whether it ran, as far as is known from all dispatches
	tried       []fleet.UpstreamID
	attempt     int
}

// read dispatches the call until it succeeds or must not be retried.
func (h *Handler) read(ctx context.Context, m intake.Meta, call intake.Call) (upstream.Answer, error) {
	r := &serviceRead{h: h, ctx: ctx, meta: m, serviceCall: call, run: fault.RunNo}
	for {
		a, retrying, err := r.dispatch()
		if !retrying {
			return a, err
		}
	}
}

// dispatch makes one dispatch and waits for the backoff after a failure. The bool reports whether another dispatch may
// follow; otherwise the answer or error is final.
func (r *serviceRead) dispatch() (upstream.Answer, bool, error) {
	r.attempt++
	g, err := r.h.router.Acquire(r.ctx, route.Request{
		ID: r.meta.ID, Workspace: r.meta.Workspace, Service: r.serviceCall.Service, Priority: r.meta.Priority,
		Deadline: r.meta.Deadline, Attempt: r.attempt, Exclude: r.tried,
	})
	if err != nil {
		return upstream.Answer{}, false, r.refusal(err)
	}
	if r.attempt == 1 {
		r.h.retrier.RecordRequest(r.meta.Workspace, g.Upstream.ID)
	}
	a, callErr := r.call(g)
	if callErr == nil {
		return a, false, nil
	}
	if callErr.MayHaveRun() {
		r.run = fault.RunUnknown
	}
	r.tried = append(r.tried, g.Upstream.ID)
	retrying, reason := r.h.retrier.AwaitRetry(r.ctx, retry.Failure{
		Started: callErr.MayHaveRun(), Idempotent: true, Attempts: r.attempt, TimeLeft: time.Until(r.meta.Deadline),
		RetryAfter: callErr.RetryAfter, OtherUpstream: true,
	}, r.meta.Workspace, g.Upstream.ID)
	r.h.explain.Record("retry", string(r.meta.ID), reason,
		"upstream", g.Upstream.ID, "again", retrying, "attempt", r.attempt, "error", callErr)
	return upstream.Answer{}, retrying, r.finalError(callErr)
}

// refusal returns the final error after the router refused a dispatch with err. A read that may have run in an earlier
// dispatch is never reported as not run.
func (r *serviceRead) refusal(err error) error {
	e := fault.From(err)
	if r.run == fault.RunNo {
		return e
	}
	return fault.NewWithRun(fault.UpstreamFailed, r.run, "%s after %d dispatches: %s", e.Kind, r.attempt-1, e.Detail)
}

// finalError returns the error for a read whose last dispatch failed with callErr.
func (r *serviceRead) finalError(callErr *upstream.CallError) error {
	switch {
	case r.ctx.Err() != nil:
		return fault.NewWithRun(fault.DeadlineExceeded, r.run, "no answer in time")
	case r.run == fault.RunNo:
		e := fault.New(fault.UpstreamBusy, "%v", callErr)
		e.RetryAfter = callErr.RetryAfter
		return e
	default:
		return fault.NewWithRun(fault.UpstreamFailed, r.run, "%v", callErr)
	}
}

// call sends the call to the upstream of the grant and ends the grant. Its timeout is a share of the time left, so that
// time remains for other instances of the service.
func (r *serviceRead) call(g *route.Grant) (upstream.Answer, *upstream.CallError) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	remaining := time.Until(r.meta.Deadline)
	r.serviceCall.Fill(req, g.Upstream.Addr, r.meta, r.attempt, remaining)
	share := remaining / time.Duration(max(readTimeShares-r.attempt+1, 1))
	a, err := r.h.client.Call(r.ctx, g.Upstream.Addr, req, share)
	if err == nil {
		g.Release(route.OK)
		return a, nil
	}
	var callErr *upstream.CallError
	if !errors.As(err, &callErr) {
		callErr = &upstream.CallError{Sent: true, Cause: err}
	}
	g.Release(dispatchOutcome(r.ctx, callErr))
	return upstream.Answer{}, callErr
}

// dispatchOutcome returns the outcome of a failed dispatch that is recorded for its upstream.
func dispatchOutcome(ctx context.Context, callErr *upstream.CallError) route.Outcome {
	switch {
	case ctx.Err() != nil || callErr.DeadlinePassed:
		return route.Cancelled
	case !callErr.MayHaveRun():
		return route.NotStarted
	case callErr.Timeout:
		return route.Silent
	default:
		return route.Failed
	}
}
