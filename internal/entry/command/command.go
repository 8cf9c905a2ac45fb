// Package command serves callers' requests that change something: calls of plain services that may not
// be repeated, such as a booking confirmation.
//
// A call without a key is dispatched once. It may go to another instance of the service only while it is
// certain that none started it; after the first byte was sent a failure is "run: unknown" and final. A
// call with a key goes through Claims first.
package command

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/entry/again"
	"github.com/damaskshelf/damaskshelf/internal/entry/gate"
	"github.com/damaskshelf/damaskshelf/internal/entry/intake"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	"github.com/damaskshelf/damaskshelf/internal/route"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
)

// Dispatch runs a call once and gives the service's answer or a *fault.Error.
type Dispatch func(ctx context.Context) (upstream.Answer, error)

// Claims makes a keyed call run at most once over all instances.
type Claims interface {
	// Run dispatches under a claim on the key, or gives the recorded outcome of an earlier run.
	Run(ctx context.Context, m intake.Meta, t intake.Call, d Dispatch) (a upstream.Answer, replayed bool, err error)
}

// Deps are what a Handler works with.
type Deps struct {
	Router  *route.Router
	Client  *upstream.Client
	Claims  Claims // nil: keyed calls are refused "not run"
	Metrics *metrics.Registry
	Gate    *gate.Gate
	Log     hclog.Logger
	Bounds  intake.Bounds
	NewID   func() string
	Retrier *again.Retrier // counts calls into the budgets of retries
}

// Handler serves commands.
type Handler struct {
	d    Deps
	base context.Context // of all calls; ended by Abort
	stop context.CancelFunc
}

// New gives a Handler.
func New(d Deps) *Handler {
	d.Log = d.Log.Named("command")
	base, stop := context.WithCancel(context.Background())
	return &Handler{d: d, base: base, stop: stop}
}

// Abort ends every call in flight; a planned stop that reached its limit.
func (h *Handler) Abort() { h.stop() }

// Call serves one call that changes something.
func (h *Handler) Call(ctx *fasthttp.RequestCtx) {
	m, err := intake.Parse(&ctx.Request.Header, time.Now(), h.d.Bounds, h.d.NewID)
	if err != nil {
		h.refuse(ctx, m, err)
		return
	}
	if err := h.d.Gate.Enter(); err != nil {
		h.refuse(ctx, m, err)
		return
	}
	defer h.d.Gate.Leave()
	timed, cancel := context.WithDeadline(h.base, m.Deadline)
	defer cancel()
	a, replayed, err := h.run(timed, m, intake.ReadCall(ctx))
	if err != nil {
		h.refuse(ctx, m, err)
		return
	}
	h.d.Metrics.Counter("answered", "mode", "command").Inc(1)
	intake.Respond(ctx, m, a)
	if replayed {
		intake.MarkReplayed(ctx)
	}
}

func (h *Handler) refuse(ctx *fasthttp.RequestCtx, m intake.Meta, err error) {
	e := fault.From(err)
	h.d.Metrics.Counter("refused", "kind", e.Kind.String()).Inc(1)
	h.d.Log.Info("refused", "request", m.ID, "workspace", m.Workspace, "kind", e.Kind, "run", e.Run, "detail", e.Detail)
	intake.Refuse(ctx, m.ID, e)
}

func (h *Handler) run(ctx context.Context, m intake.Meta, t intake.Call) (upstream.Answer, bool, error) {
	dispatch := func(ctx context.Context) (upstream.Answer, error) { return h.dispatch(ctx, m, t) }
	if m.IdempotencyKey == "" {
		a, err := dispatch(ctx)
		return a, false, err
	}
	if h.d.Claims == nil {
		return upstream.Answer{}, false, fault.New(fault.StoreUnavailable, "claims are not set up")
	}
	return h.d.Claims.Run(ctx, m, t, dispatch)
}

// maxAttempts bounds dispatches that certainly did not start.
const maxAttempts = 3

// dispatch runs the call on one instance of the service.
func (h *Handler) dispatch(ctx context.Context, m intake.Meta, t intake.Call) (upstream.Answer, error) {
	var tried []fleet.UpstreamID
	var last *upstream.CallError
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		if ctx.Err() != nil {
			return upstream.Answer{}, fault.New(fault.DeadlineExceeded, "the time ran out before a dispatch")
		}
		g, err := h.d.Router.Acquire(ctx, route.Request{
			ID: m.ID, Workspace: m.Workspace, Service: t.Service, Priority: m.Priority,
			Deadline: m.Deadline, Attempt: attempt, Exclude: tried,
		})
		if err != nil {
			return upstream.Answer{}, err
		}
		if attempt == 1 {
			h.d.Retrier.RecordRequest(m.Workspace, g.Upstream.ID)
		}
		a, failed := h.call(ctx, g, m, t, attempt)
		if failed == nil {
			return a, nil
		}
		if failed.MayHaveRun() {
			return upstream.Answer{}, unknown(ctx, failed)
		}
		last = failed
		tried = append(tried, g.Upstream.ID)
	}
	e := fault.New(fault.UpstreamBusy, "%d dispatches did not start, the last: %v", maxAttempts, last)
	e.RetryAfter = last.RetryAfter
	return upstream.Answer{}, e
}

// unknown is the final error of a call that may have run.
func unknown(ctx context.Context, ce *upstream.CallError) error {
	if ctx.Err() != nil || ce.Timeout {
		return fault.NewWithRun(fault.DeadlineExceeded, fault.RunUnknown, "no answer in time: %v", ce)
	}
	return fault.NewWithRun(fault.UpstreamFailed, fault.RunUnknown, "%v", ce)
}

// call sends the call once. Its connection is always a new one where a dead pooled connection could leave
// the outcome unknown; see upstream.Client.CallFresh.
func (h *Handler) call(ctx context.Context, g *route.Grant, m intake.Meta, t intake.Call, attempt int) (upstream.Answer, *upstream.CallError) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	remaining := time.Until(m.Deadline)
	t.Fill(req, g.Upstream.Addr, m, attempt, remaining)
	a, err := h.d.Client.CallNewConnection(ctx, g.Upstream.Addr, req, remaining)
	if err == nil {
		g.Done(route.OK)
		return a, nil
	}
	var ce *upstream.CallError
	if !errors.As(err, &ce) {
		ce = &upstream.CallError{Sent: true, Cause: err}
	}
	switch {
	case !ce.MayHaveRun():
		g.Done(route.NotStarted)
	case ce.Timeout:
		h.d.Client.InvalidateConnections(g.Upstream.Addr)
		g.Done(route.Silent)
	default:
		g.Done(route.Failed)
	}
	return upstream.Answer{}, ce
}
