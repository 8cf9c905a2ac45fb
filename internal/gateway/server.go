package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/accept"
	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/crash"
	"github.com/damaskshelf/damaskshelf/internal/entry/callerconn"
	"github.com/damaskshelf/damaskshelf/internal/entry/gate"
	"github.com/damaskshelf/damaskshelf/internal/explain"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/httpanswer"
	"github.com/damaskshelf/damaskshelf/internal/httplog"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
	"github.com/damaskshelf/damaskshelf/internal/wait"
)

var (
	errCallerGone  = errors.New("caller closed its connection, or its sending half")
	errBudgetSpent = errors.New("retry budget is spent")
	errStopped     = errors.New("the stop of this instance has ended")
)

// RetryBudget is the instance's share of the retries that the fleet may make.
type RetryBudget interface {
	// RecordRequest counts a caller's request for the service.
	RecordRequest(catalog.ServiceName)
	// Allows reports whether a retry would be allowed.
	Allows(catalog.ServiceName) bool
	// Take consumes one retry and reports whether it was allowed. giveBack returns a retry that was never sent.
	Take(catalog.ServiceName) (giveBack func(), ok bool)
}

// Deps are the dependencies of a Gateway.
type Deps struct {
	Snapshot      func() *catalog.Snapshot
	Untrusted     func() bool // reports that the process was paused and its state may be out of date
	Dialect       Dialect
	Placer        Placer
	RetryBudget   RetryBudget
	Client        *upstream.Client
	Memory        Memory
	Gate          *gate.Gate
	MarkLeaving   func(u *catalog.Upstream, sign string) // records that an upstream is leaving; sign is what showed it
	HeldOff       func(u *catalog.Upstream) bool         // reports whether an upstream refuses this instance for now
	ObserveAnswer AnswerObserver
	Explain       *explain.Recorder
	Metrics       *metrics.Registry
	Log           hclog.Logger
	Limits        Limits
}

// Limits bound what callers may send, unless a configuration specifies other limits.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	MaxConnections int
	MaxHeldBytes   int64         // of bodies that are held at one time; 0: no bound
	ReadTimeout    time.Duration // for a complete request
	IdleTimeout    time.Duration // between two requests on a connection
	WriteStall     time.Duration // a caller that reads nothing for that long counts as gone
}

// Gateway serves callers' routed requests.
type Gateway struct {
	deps           Deps
	http           *fasthttp.Server
	accepting      *accept.Listener
	listener       *callerconn.Listener
	idle           callerconn.IdleConns
	serveErr       chan error // result of the HTTP server
	listeningSince time.Time  // zero: not listening yet
	log            hclog.Logger
	held           heldBytes
	requestsCtx    context.Context // parent of every request's context
	cancelRequests context.CancelCauseFunc
}

// New returns a Gateway that is not listening yet.
func New(d Deps) *Gateway {
	g := &Gateway{
		deps: d, log: d.Log.Named("gateway"), serveErr: make(chan error, 1),
		held: heldBytes{limit: d.Limits.MaxHeldBytes, gauge: d.Metrics.Gauge("bytes_held")},
	}
	g.requestsCtx, g.cancelRequests = context.WithCancelCause(context.Background())
	g.http = &fasthttp.Server{
		Handler:               httpanswer.Explicit(g.serve, g.onUnanswered),
		ErrorHandler:          g.refuseUnread,
		ReadTimeout:           d.Limits.ReadTimeout,
		IdleTimeout:           d.Limits.IdleTimeout,
		ReadBufferSize:        d.Limits.MaxHeaderBytes,
		MaxRequestBodySize:    d.Limits.MaxBodyBytes,
		StreamRequestBody:     true, // readBody counts a body before it is read
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		ConnState:             g.idle.OnStateChange,
		Logger:                httplog.Logger{Log: g.log},
		SecureErrorLogMessage: true, // else its errors quote heads, with callers' keys
		// The library would read a form of known length by itself, so that its bytes are neither forwarded nor counted.
		DisablePreParseMultipartForm: true,
	}
	return g
}

// Listen binds addr.
func (g *Gateway) Listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	g.accepting = accept.Retrying(l, "callers", g.log)
	g.listener = &callerconn.Listener{
		Listener: g.accepting, WriteTimeout: g.deps.Limits.WriteStall, MaxOpen: int64(g.deps.Limits.MaxConnections),
		CloseIdle: g.closeIdleConn,
		OnRefused: func() { g.deps.Metrics.Counter("connections_refused").Inc(1) },
	}
	g.listeningSince = time.Now()
	return nil
}

// Addr returns the address on which callers connect.
func (g *Gateway) Addr() string { return g.listener.Addr().String() }

// Serve accepts callers until Shutdown, and returns what ended it.
func (g *Gateway) Serve() error {
	err := g.http.Serve(g.listener)
	g.serveErr <- err
	return err
}

// Accepting reports whether callers' connections can be accepted now.
func (g *Gateway) Accepting() bool { return !g.accepting.Failing() }

// Reading returns the number of requests that callers are still sending.
func (g *Gateway) Reading() int { return g.listener.Reading() }

// closeIdleConn closes a connection without a request to make room for another one, and returns false if there is none.
func (g *Gateway) closeIdleConn() bool {
	closed := g.idle.CloseOldest()
	if closed {
		g.deps.Metrics.Counter("connections_closed_for_others").Inc(1)
	}
	return closed
}

// CloseIdle closes the connections without a request and returns their number.
func (g *Gateway) CloseIdle() int { return g.idle.CloseAll() }

// Shutdown stops listening and waits until open connections are idle and closed, or ctx ends.
func (g *Gateway) Shutdown(ctx context.Context) error {
	if err := g.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut callers' listener down: %w", err)
	}
	return <-g.serveErr
}

// Abort ends every request in flight: with an error answer, or, if a part of a stream is with the caller, by breaking it off.
func (g *Gateway) Abort() { g.cancelRequests(errStopped) }

// serve handles one request. A stream continues after it returns: the HTTP server reads it until Close.
func (g *Gateway) serve(ctx *fasthttp.RequestCtx) {
	defer g.recoverPanic(ctx)
	arrived := time.Now()
	httpanswer.FlushWhenComplete(ctx)
	if !g.deps.Gate.Ready() {
		// Callers of a stopping instance, including the balancer, open a new connection for their next request.
		ctx.SetConnectionClose()
	}
	r, f := g.readRequest(ctx, g.awaitSnapshot(), arrived)
	if !g.deps.Gate.CountUntilAnswered(ctx.Conn(), r.ID) {
		g.deps.Metrics.Counter("requests_on_closed_connections").Inc(1)
		g.log.Warn("request dropped: this instance has closed its connection", "request", r.ID, "ready", g.deps.Gate.Ready(),
			"read_ms", time.Since(arrived).Milliseconds())
		g.releaseHeld(r)
		httpanswer.Cut(ctx) // nobody receives an answer
		return
	}
	if f == nil {
		if err := g.deps.Gate.Admit(); err != nil {
			f = fault.From(err)
		}
	}
	if f != nil {
		g.releaseHeld(r)
		g.refuse(ctx, r, f)
		return
	}
	g.deps.RetryBudget.RecordRequest(r.service)
	g.handle(ctx, r)
}

// startupWait is how long after its start an instance lets requests wait for a configuration and upstreams instead
// of refusing them, because callers retry only once. Both are known within less time, even if the instance tries a
// dead instance first.
const (
	startupWait         = 600 * time.Millisecond
	startupPollInterval = 5 * time.Millisecond
)

// awaitSnapshot returns the newest snapshot of the fleet. An instance that has just started first waits until the
// snapshot has a configuration and upstreams, for at most startupWait.
func (g *Gateway) awaitSnapshot() *catalog.Snapshot {
	var snap *catalog.Snapshot
	wait.Until(g.requestsCtx, g.listeningSince.Add(startupWait), startupPollInterval, func() bool {
		snap = g.deps.Snapshot()
		return snap.Config != nil && snap.FleetVersion > 0
	})
	return snap
}

// handle answers an admitted request. The lifecycle of a stream that was handed over ends with its body. Any other
// lifecycle ends here, also after a panic.
func (g *Gateway) handle(ctx *fasthttp.RequestCtx, r *request) {
	l, end := g.newLifecycle(ctx, r)
	handedOver := false
	defer func() {
		if !handedOver {
			end()
		}
	}()
	var f *fault.Error
	if r.isStream() {
		handedOver, f = l.serveStream(ctx, end)
	} else {
		f = l.servePlain(ctx)
	}
	if handedOver {
		return
	}
	if f != nil {
		g.refuse(ctx, r, f)
	}
	g.observeAnswerTime(r, time.Since(r.arrived))
}

// isStream reports whether the request's answer is a stream of events.
func (r *request) isStream() bool { return r.route.Kind == catalog.Stream }

// newLifecycle starts the lifecycle of a request. The caller must call end once.
func (g *Gateway) newLifecycle(ctx *fasthttp.RequestCtx, r *request) (_ *lifecycle, end func()) {
	deadlineCtx, stop := context.WithDeadline(g.requestsCtx, r.deadline)
	requestCtx, cancel := context.WithCancelCause(deadlineCtx)
	unwatch := func() {}
	if c, ok := ctx.Conn().(*callerconn.Conn); ok {
		unwatch = c.Watch(func() { cancel(errCallerGone) })
	}
	l := &lifecycle{g: g, r: r, ctx: requestCtx, progress: &progress{}}
	l.progress.set(StageWaiting, "", 0)
	callerconn.SetDetail(ctx.Conn(), l.progress)
	return l, func() {
		l.progress.handlerDone()
		l.stopWatchdog() // still running after a panic
		l.returnPrepaid()
		unwatch()
		cancel(nil)
		stop()
		g.releaseHeld(r)
	}
}

// observeAnswerTime records the time to the end of an answered request.
func (g *Gateway) observeAnswerTime(r *request, took time.Duration) {
	g.deps.Metrics.Histogram("answer_ms", "kind", r.route.Kind.String()).Update(took.Milliseconds())
}

// observeWait records the time until a request is sent to its first upstream.
func (g *Gateway) observeWait(r *request, waited time.Duration) {
	g.deps.Metrics.Histogram("waited_ms", "kind", r.route.Kind.String()).Update(waited.Milliseconds())
}

// Upper bounds of the classes of prompts, in tokens, by which the time to first events is measured.
const (
	shortPromptTokens  = 16_000
	mediumPromptTokens = 128_000
)

// class returns the name of the class for which callers expect a certain latency: for a stream the class of its
// prompt's length, for a plain request its kind.
func (r *request) class() string {
	switch tokens := r.PromptTokens; {
	case !r.isStream():
		return r.route.Kind.String()
	case tokens < shortPromptTokens:
		return "short"
	case tokens < mediumPromptTokens:
		return "medium"
	default:
		return "long"
	}
}

// observeFirstEvent records the time to a stream's first event.
func (g *Gateway) observeFirstEvent(r *request) {
	g.deps.Metrics.Histogram("first_event_ms", "class", r.class()).Update(time.Since(r.arrived).Milliseconds())
}

// refusalBody is the body of an answer by the gateway itself.
type refusalBody struct {
	Error  string `json:"error"`
	Run    string `json:"run"`
	Detail string `json:"detail,omitempty"`
}

// onUnanswered reports a request that its handler has left without an answer, which is a defect.
func (g *Gateway) onUnanswered(ctx *fasthttp.RequestCtx) {
	g.deps.Metrics.Counter("requests_unanswered").Inc(1)
	g.log.Error("request has no answer: its connection is closed", "method", string(ctx.Method()), "path", string(ctx.Path()))
}

// refuse answers with a fault. A caller that closed its connection doesn't receive it, and one that closed only its sending
// half does: the two look the same here.
func (g *Gateway) refuse(ctx *fasthttp.RequestCtx, r *request, f *fault.Error) {
	g.deps.Metrics.Counter("refused", "kind", f.Kind.String()).Inc(1)
	g.deps.Explain.Record("answer", r.ID, reasonRefused, append([]any{
		"fault", f.Kind, "run", f.Run, "detail", f.Detail, "config", r.configVersion,
		"took_ms", time.Since(r.arrived).Milliseconds(), "retry_after_ms", f.RetryDelay().Milliseconds()}, r.logFields()...)...)
	closing := ctx.Response.ConnectionClose() || f.Kind == fault.CallerGone
	ctx.Response.Reset()
	status := f.Kind.Rule().Status
	ctx.SetStatusCode(status)
	if w := f.RetryDelay(); w > 0 && f.Run == fault.RunNo {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, formatRetryAfter(w))
	}
	g.deps.Dialect.WriteRefusal(&ctx.Response.Header, r.ID)
	body, err := json.Marshal(refusalBody{Error: f.Kind.String(), Run: f.Run.String(), Detail: f.Detail})
	if err != nil {
		g.log.Error("can't encode refusal", "error", err)
	}
	ctx.SetContentType("application/json")
	ctx.Response.SetBodyRaw(body)
	if closing || !g.deps.Gate.Ready() {
		ctx.SetConnectionClose()
	}
}

// recoverPanic answers a request whose handler panicked. Other requests are not affected.
func (g *Gateway) recoverPanic(ctx *fasthttp.RequestCtx) {
	cause := recover()
	if cause == nil {
		return
	}
	g.log.Error("panic", "path", string(ctx.Path()), "cause", cause, "stack", crash.Stack())
	ctx.Response.Reset()
	ctx.SetStatusCode(fault.Internal.Rule().Status)
	ctx.SetConnectionClose()
}

// refuseUnread answers a request that the HTTP library rejects before a handler runs. No part of it was forwarded.
func (g *Gateway) refuseUnread(ctx *fasthttp.RequestCtx, err error) {
	defer g.recoverPanic(ctx)
	var small *fasthttp.ErrSmallBuffer
	var ne net.Error
	f := fault.New(fault.BadRequest, "request: %v", err)
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		f = g.bodyTooLarge()
	case errors.As(err, &small):
		f = fault.New(fault.BadRequest, "headers: allowed: at most %d bytes", g.deps.Limits.MaxHeaderBytes)
	case errors.As(err, &ne) && ne.Timeout():
		f = g.slowCaller()
	}
	r := &request{arrived: time.Now()}
	g.deps.Gate.CountUntilAnswered(ctx.Conn(), r.ID)
	g.refuse(ctx, r, f)
}
