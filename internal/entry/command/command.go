// Package command serves requests of callers that change something: calls of plain services that may not be repeated,
// such as a booking confirmation.
//
// A call without an idempotency key runs at most once. It is sent to another instance of the service only if it
// certainly did not start on the ones before. If it may have started, as its first byte was sent, a failure is
// "run: unknown" and final. A call with a key is claimed first, through Claims.
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

// Dispatch runs a call at most once and returns the service's answer or a *fault.Error.
type Dispatch func(ctx context.Context) (upstream.Answer, error)

// Claims ensures that a keyed call runs at most once over all instances.
type Claims interface {
	// Run claims the key and dispatches the call, or returns the recorded outcome of an earlier run.
	Run(ctx context.Context, m intake.Meta, call intake.Call, dispatch Dispatch) (a upstream.Answer, replayed bool, err error)
}

// Deps are the dependencies of a Handler.
type Deps struct {
	Router  *route.Router
	Client  *upstream.Client
	Claims  Claims // nil: keyed calls are refused as not run
	Metrics *metrics.Registry
	Gate    *gate.Gate
	Log     hclog.Logger
	Bounds  intake.Bounds
	NewID   func() string
	Retrier *again.Retrier // counts calls in the retry budgets
}

// Handler serves commands: calls that change something.
type Handler struct {
	deps Deps
	base context.Context // parent of the contexts of all calls; canceled by Abort
	stop context.CancelFunc
}

// New returns a Handler.
func New(d Deps) *Handler {
	d.Log = d.Log.Named("command")
	base, stop := context.WithCancel(context.Background())
	return &Handler{deps: d, base: base, stop: stop}
}

// Abort cancels every call in flight, when a planned stop has reached its limit.
func (h *Handler) Abort() { h.stop() }

// Call serves one command.
func (h *Handler) Call(ctx *fasthttp.RequestCtx) {
	m, err := intake.Parse(&ctx.Request.Header, time.Now(), h.deps.Bounds, h.deps.NewID)
	if err != nil {
		h.refuse(ctx, m, err)
		return
	}
	if err := h.deps.Gate.Admit(); err != nil {
		h.refuse(ctx, m, err)
		return
	}
	callCtx, cancel := context.WithDeadline(h.base, m.Deadline)
	defer cancel()
	a, replayed, err := h.run(callCtx, m, intake.ReadCall(ctx))
	if err != nil {
		h.refuse(ctx, m, err)
		return
	}
	h.deps.Metrics.Counter("answered", "mode", "command").Inc(1)
	intake.Respond(ctx, m, a)
	if replayed {
		intake.MarkReplayed(ctx)
	}
}

// refuse answers with err, logs it and counts it.
func (h *Handler) refuse(ctx *fasthttp.RequestCtx, m intake.Meta, err error) {
	e := fault.From(err)
	h.deps.Metrics.Counter("refused", "kind", e.Kind.String()).Inc(1)
	h.deps.Log.Info("refused", "request", m.ID, "workspace", m.Workspace, "kind", e.Kind, "run", e.Run, "detail", e.Detail)
	intake.Refuse(ctx, m.ID, e)
}

// run dispatches the call, under a claim if it has an idempotency key. The bool reports whether the answer is the
// recorded outcome of an earlier run.
func (h *Handler) run(ctx context.Context, m intake.Meta, call intake.Call) (upstream.Answer, bool, error) {
	dispatch := func(ctx context.Context) (upstream.Answer, error) { return h.dispatch(ctx, m, call) }
	if m.IdempotencyKey == "" {
		a, err := dispatch(ctx)
		return a, false, err
	}
	if h.deps.Claims == nil {
		return upstream.Answer{}, false, fault.New(fault.StoreUnavailable, "claims are not set up")
	}
	return h.deps.Claims.Run(ctx, m, call, dispatch)
}

// maxAttempts is the maximum number of dispatches of one call, of which all but the last certainly did not start.
const maxAttempts = 3

// dispatch runs the call on one instance of the service. It tries another instance only if the call certainly did not
// start.
func (h *Handler) dispatch(ctx context.Context, m intake.Meta, call intake.Call) (upstream.Answer, error) {
	var tried []fleet.UpstreamID
	var lastErr *upstream.CallError
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		if ctx.Err() != nil {
			return upstream.Answer{}, fault.New(fault.DeadlineExceeded, "the time ran out before a dispatch")
		}
		g, err := h.deps.Router.Acquire(ctx, route.Request{
			ID: m.ID, Workspace: m.Workspace, Service: call.Service, Priority: m.Priority,
			Deadline: m.Deadline, Attempt: attempt, Exclude: tried,
		})
		if err != nil {
			return upstream.Answer{}, err
		}
		if attempt == 1 {
			h.deps.Retrier.RecordRequest(m.Workspace, g.Upstream.ID)
		}
		a, callErr := h.call(ctx, g, m, call, attempt)
		if callErr == nil {
			return a, nil
		}
		if callErr.MayHaveRun() {
			return upstream.Answer{}, unknownOutcome(ctx, callErr)
		}
		lastErr = callErr
		tried = append(tried, g.Upstream.ID)
	}
	e := fault.New(fault.UpstreamBusy, "%d dispatches did not start, the last: %v", maxAttempts, lastErr)
	e.RetryAfter = lastErr.RetryAfter
	return upstream.Answer{}, e
}

// unknownOutcome returns the final error of a call that may have run.
func unknownOutcome(ctx context.Context, callErr *upstream.CallError) error {
	if ctx.Err() != nil || callErr.Timeout {
		return fault.NewWithRun(fault.DeadlineExceeded, fault.RunUnknown, "no answer in time: %v", callErr)
	}
	return fault.NewWithRun(fault.UpstreamFailed, fault.RunUnknown, "%v", callErr)
}

// call sends the call once, to the upstream of the grant, and ends the grant. It uses a new connection, since a pooled
// one that is dead could leave the outcome unknown; see upstream.Client.CallNewConnection.
func (h *Handler) call(ctx context.Context, g *route.Grant, m intake.Meta, call intake.Call, attempt int) (upstream.Answer, *upstream.CallError) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	remaining := time.Until(m.Deadline)
	call.Fill(req, g.Upstream.Addr, m, attempt, remaining)
	a, err := h.deps.Client.CallNewConnection(ctx, g.Upstream.Addr, req, remaining)
	if err == nil {
		g.Release(route.OK)
		return a, nil
	}
	var callErr *upstream.CallError
	if !errors.As(err, &callErr) {
		callErr = &upstream.CallError{Sent: true, Cause: err}
	}
	switch {
	case !callErr.MayHaveRun():
		g.Release(route.NotStarted)
	case callErr.Timeout:
		h.deps.Client.InvalidateConnections(g.Upstream.Addr)
		g.Release(route.Silent)
	default:
		g.Release(route.Failed)
	}
	return upstream.Answer{}, callErr
}
