package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/entry/callerconn"
	"github.com/damaskshelf/damaskshelf/internal/entry/gate"
	"github.com/damaskshelf/damaskshelf/internal/explain"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/httplog"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
	"github.com/damaskshelf/damaskshelf/internal/wait"
)

var (
	errCallerGone = errors.New("caller closed its connection")
	errBudget     = errors.New("retry budget is spent")
)

// Budget is the instance's share of the retries that the fleet may make.
type RetryBudget interface {
	// Request counts a caller's request for the service.
	RecordRequest(catalog.ServiceName)
	// Has tells whether a retry would be allowed.
	Allows(catalog.ServiceName) bool
	// Allow takes one retry.
	Take(catalog.ServiceName) bool
}

// Deps are what a Gateway works with.
type Deps struct {
	Snapshot      func() *catalog.Snapshot
	Untrusted     func() bool // the process was paused, and what it knows may be over
	Dialect       Dialect
	Placer        Placer
	RetryBudget   RetryBudget
	Client        *upstream.Client
	Memory        Memory
	Gate          *gate.Gate
	MarkLeaving   func(u *catalog.Upstream, sign string) // an upstream said that it leaves
	HeldOff       func(u *catalog.Upstream) bool         // an upstream wants nothing from here now
	ObserveAnswer AnswerObserver
	Explain       *explain.Recorder
	Metrics       *metrics.Registry
	Log           hclog.Logger
	Limits        Limits
}

// Limits bound what callers may send, until a configuration says otherwise.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	MaxConnections int
	ReadTimeout    time.Duration // of a whole request
	IdleTimeout    time.Duration // between two requests of a connection
	WriteStall     time.Duration // a caller that takes nothing for so long is gone
}

// Gateway serves callers' routed requests.
type Gateway struct {
	deps     Deps
	http     *fasthttp.Server
	listener net.Listener
	idle     callerconn.Idle
	served   chan error
	began    time.Time // when callers could first connect
	log      hclog.Logger
	work     context.Context // of every request
	abort    context.CancelFunc
}

// New gives a Gateway that is not listening yet.
func New(d Deps) *Gateway {
	g := &Gateway{deps: d, log: d.Log.Named("gateway"), served: make(chan error, 1)}
	g.work, g.abort = context.WithCancel(context.Background())
	g.http = &fasthttp.Server{
		Handler:               g.serve,
		ErrorHandler:          g.badRequest,
		ReadTimeout:           d.Limits.ReadTimeout,
		IdleTimeout:           d.Limits.IdleTimeout,
		ReadBufferSize:        d.Limits.MaxHeaderBytes,
		MaxRequestBodySize:    d.Limits.MaxBodyBytes,
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		ConnState:             g.idle.Note,
		Logger:                httplog.Logger{Log: g.log},
	}
	return g
}

// Listen binds addr.
func (g *Gateway) Listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	g.listener = l
	g.began = time.Now()
	return nil
}

// Addr is where callers connect.
func (g *Gateway) Addr() string { return g.listener.Addr().String() }

// Serve accepts callers until Shutdown.
func (g *Gateway) Serve() {
	watched := &callerconn.Listener{
		Listener: g.listener, WriteStall: g.deps.Limits.WriteStall, MaxOpen: int64(g.deps.Limits.MaxConnections),
		Refused: func() { g.deps.Metrics.Counter("connections_refused").Inc(1) },
	}
	g.served <- g.http.Serve(watched)
}

// CloseIdle closes the connections on which no caller waits, and gives how many.
func (g *Gateway) CloseIdle() int { return g.idle.Close() }

// Shutdown stops listening and waits until open connections are idle and closed, or ctx ends.
func (g *Gateway) Shutdown(ctx context.Context) error {
	if err := g.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut callers' listener down: %w", err)
	}
	return <-g.served
}

// Abort ends every request in flight with an explicit error.
func (g *Gateway) Abort() { g.abort() }

// serve handles one request. A stream goes on after it returns, read by the server until Close.
func (g *Gateway) serve(ctx *fasthttp.RequestCtx) {
	defer g.recovered(ctx)
	arrived := time.Now()
	if !g.deps.Gate.Ready() {
		// Callers of a stopping instance, the balancer first, use another connection next.
		ctx.SetConnectionClose()
	}
	r, f := g.intake(ctx, g.known(), arrived)
	if f == nil {
		if err := g.deps.Gate.Enter(); err != nil {
			f = fault.From(err)
		}
	}
	if f != nil {
		g.refuse(ctx, r, f)
		return
	}
	g.deps.RetryBudget.RecordRequest(r.service)
	g.run(ctx, r)
}

// startTime is how long after its start an instance has requests wait for a configuration and upstreams instead of
// refusing them: it knows both in less, even where it tries a dead instance first, and callers come back once only.
const (
	startTime = 600 * time.Millisecond
	startPoll = 5 * time.Millisecond
)

// known gives what is known of the fleet; an instance that has just started waits for it.
func (g *Gateway) known() *catalog.Snapshot {
	for {
		snap := g.deps.Snapshot()
		if snap.Config != nil && snap.FleetVersion > 0 || time.Since(g.began) > startTime {
			return snap
		}
		if !wait.For(g.work, startPoll) {
			return snap
		}
	}
}

// run answers an admitted request. A stream that was handed over ends with its body; anything else ends here,
// also when it meets a defect: a request that is never counted out would hold up the planned stop.
func (g *Gateway) run(ctx *fasthttp.RequestCtx, r *request) {
	life, end := g.begin(ctx, r)
	handed := false
	defer func() {
		if !handed {
			end()
		}
	}()
	var f *fault.Error
	if r.streams() {
		handed, f = life.stream(ctx, end)
	} else {
		f = life.plain(ctx)
	}
	if handed {
		return
	}
	if f != nil {
		g.refuse(ctx, r, f)
	}
	g.observe(r, time.Since(r.arrived))
}

func (r *request) streams() bool { return r.route.Kind == catalog.Stream }

// begin opens a request's life; end must be called once.
func (g *Gateway) begin(ctx *fasthttp.RequestCtx, r *request) (_ *life, end func()) {
	timed, stop := context.WithDeadline(g.work, r.deadline)
	work, cancel := context.WithCancelCause(timed)
	unwatch := func() {}
	if c, ok := ctx.Conn().(*callerconn.Conn); ok {
		unwatch = c.Watch(func() { cancel(errCallerGone) })
	}
	return &life{g: g, r: r, ctx: work}, func() {
		unwatch()
		cancel(nil)
		stop()
		g.deps.Gate.Leave()
	}
}

// observe counts an answered request.
func (g *Gateway) observe(r *request, took time.Duration) {
	g.deps.Metrics.Histogram("answer_ms", "kind", r.route.Kind.String()).Update(took.Milliseconds())
}

// observeWait counts the time until a request is sent to its first upstream.
func (g *Gateway) observeWait(r *request, waited time.Duration) {
	g.deps.Metrics.Histogram("waited_ms", "kind", r.route.Kind.String()).Update(waited.Milliseconds())
}

// Bounds of the classes of prompts, in tokens, by which first events are measured.
const (
	shortPrompt  = 16_000
	mediumPrompt = 128_000
)

// class names what callers may expect of a request: a stream by its prompt's size, a plain call by its kind.
func (r *request) class() string {
	switch tokens := r.PromptTokens; {
	case !r.streams():
		return r.route.Kind.String()
	case tokens < shortPrompt:
		return "short"
	case tokens < mediumPrompt:
		return "medium"
	default:
		return "long"
	}
}

// observeFirst counts the time to a stream's first event.
func (g *Gateway) observeFirst(r *request) {
	g.deps.Metrics.Histogram("first_event_ms", "class", r.class()).Update(time.Since(r.arrived).Milliseconds())
}

// refusalBody is the body of an answer of the system's own.
type refusalBody struct {
	Error  string `json:"error"`
	Run    string `json:"run"`
	Detail string `json:"detail,omitempty"`
}

// refuse answers with a fault.
func (g *Gateway) refuse(ctx *fasthttp.RequestCtx, r *request, f *fault.Error) {
	g.deps.Metrics.Counter("refused", "kind", f.Kind.String()).Inc(1)
	g.deps.Explain.Record("answer", r.ID, reasonRefused, append([]any{
		"fault", f.Kind, "run", f.Run, "detail", f.Detail, "config", r.version,
		"took_ms", time.Since(r.arrived).Milliseconds(), "retry_after_ms", f.RetryDelay().Milliseconds()}, r.terms()...)...)
	if f.Kind == fault.CallerGone {
		ctx.SetConnectionClose()
		return
	}
	ctx.Response.Reset()
	status := f.Kind.Rule().Status
	ctx.SetStatusCode(status)
	if w := f.RetryDelay(); w > 0 && f.Run == fault.RunNo {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter(w))
	}
	g.deps.Dialect.WriteRefusal(&ctx.Response.Header, r.ID)
	body, err := json.Marshal(refusalBody{Error: f.Kind.String(), Run: f.Run.String(), Detail: f.Detail})
	if err != nil {
		g.log.Error("refusal can't be encoded", "error", err)
	}
	ctx.SetContentType("application/json")
	ctx.Response.SetBodyRaw(body)
	if !g.deps.Gate.Ready() {
		ctx.SetConnectionClose()
	}
}

// recovered answers a request that met a defect; the requests of others go on.
func (g *Gateway) recovered(ctx *fasthttp.RequestCtx) {
	cause := recover()
	if cause == nil {
		return
	}
	g.log.Error("panic", "path", string(ctx.Path()), "cause", cause, "stack", string(debug.Stack()))
	ctx.Response.Reset()
	ctx.SetStatusCode(fault.Internal.Rule().Status)
	ctx.SetConnectionClose()
}

// badRequest answers what the library refuses before a handler runs: nothing of it went anywhere.
func (g *Gateway) badRequest(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var ne net.Error
	f := fault.New(fault.BadRequest, "request: %v", err)
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		f = fault.New(fault.BodyTooLarge, "body: allowed: at most %d bytes", g.deps.Limits.MaxBodyBytes)
	case errors.As(err, &small):
		f = fault.New(fault.BadRequest, "headers: allowed: at most %d bytes", g.deps.Limits.MaxHeaderBytes)
	case errors.As(err, &ne) && ne.Timeout():
		f = fault.New(fault.SlowCaller, "request: not whole after %s", g.deps.Limits.ReadTimeout)
	}
	g.refuse(ctx, &request{arrived: time.Now()}, f)
}
