package query

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/entry/forward"
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
	a, err := h.read(timed, m, forward.TargetOf(ctx))
	if err != nil {
		h.refuse(ctx, m, err)
		return
	}
	h.count("answered", "mode", "read")
	forward.Respond(ctx, m, a)
}

func (h *Handler) read(ctx context.Context, m intake.Meta, t forward.Target) (upstream.Answer, error) {
	run := fault.RunNo
	var tried []fleet.UpstreamID
	var last error
	for attempt := 1; attempt <= maxAttempts && ctx.Err() == nil; attempt++ {
		g, err := h.router.Acquire(ctx, route.Request{
			ID: m.ID, Workspace: m.Workspace, Service: t.Service, Priority: m.Priority,
			Deadline: m.Deadline, Attempt: attempt, Exclude: tried,
		})
		if err != nil {
			return upstream.Answer{}, err
		}
		a, err := h.readOnce(ctx, g, m, t, attempt)
		if err == nil {
			return a, nil
		}
		var ce *upstream.CallError
		if errors.As(err, &ce) && ce.Ran() {
			run = fault.RunUnknown
		}
		tried = append(tried, g.Upstream.ID)
		last = err
	}
	if ctx.Err() != nil {
		return upstream.Answer{}, fault.Ran(fault.DeadlineExceeded, run, "no answer in time")
	}
	if run == fault.RunNo {
		return upstream.Answer{}, fault.New(fault.UpstreamBusy, "%v", last)
	}
	return upstream.Answer{}, fault.Ran(fault.UpstreamFailed, run, "%v", last)
}

// readOnce tries one instance of the service, and leaves time for the others.
func (h *Handler) readOnce(ctx context.Context, g *route.Grant, m intake.Meta, t forward.Target, attempt int) (upstream.Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	remaining := time.Until(m.Deadline)
	t.Fill(req, g.Upstream.Addr, m, attempt, remaining)
	a, err := h.client.Call(ctx, g.Upstream.Addr, req, remaining/time.Duration(maxAttempts-attempt+1))
	if err != nil {
		h.client.Condemn(g.Upstream.Addr)
		g.Done(route.Failed)
		return upstream.Answer{}, err
	}
	g.Done(route.OK)
	return a, nil
}
