// Package entry is the callers' side of an instance: its listener, routes and limits.
package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"time"

	"github.com/fasthttp/router"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/entry/callerconn"
	"github.com/damaskshelf/damaskshelf/internal/entry/command"
	"github.com/damaskshelf/damaskshelf/internal/entry/gate"
	"github.com/damaskshelf/damaskshelf/internal/entry/intake"
	"github.com/damaskshelf/damaskshelf/internal/entry/query"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/httplog"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

const (
	writeStall  = 10 * time.Second // a caller that takes nothing for so long is gone
	idleTimeout = 30 * time.Second // between two requests of a connection
)

// Paths of the callers' API.
const (
	pathService = "/services/{service}/{path:*}"
	pathHealth  = "/healthz"
	pathReady   = "/readyz"
	pathMetrics = "/metrics"
)

// Server serves callers.
type Server struct {
	http     *fasthttp.Server
	limits   api.Limits
	metrics  *metrics.Registry
	log      hclog.Logger
	listener net.Listener
	idle     callerconn.IdleConns
	served   chan error
}

// Deps are what a Server works with.
type Deps struct {
	Queries  *query.Handler
	Commands *command.Handler
	Gate     *gate.Gate
	Ready    func() error // nil, or why the instance can't serve yet
	Metrics  *metrics.Registry
	Limits   api.Limits
	Log      hclog.Logger
	NewID    func() string
}

// New gives a Server that is not listening yet.
func New(d Deps) *Server {
	s := &Server{limits: d.Limits, metrics: d.Metrics, log: d.Log.Named("entry"), served: make(chan error, 1)}
	s.http = &fasthttp.Server{
		Name:                  "damaskshelf",
		Handler:               closing(d.Gate, routes(d).Handler),
		ErrorHandler:          s.badRequest(d.NewID),
		ReadTimeout:           time.Duration(d.Limits.HeaderTimeout),
		IdleTimeout:           idleTimeout,
		ReadBufferSize:        d.Limits.MaxHeaderBytes,
		MaxRequestBodySize:    d.Limits.MaxBodyBytes,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ConnState:             s.idle.OnStateChange,
		Logger:                httplog.Logger{Log: s.log},
	}
	return s
}

func routes(d Deps) *router.Router {
	r := router.New()
	r.POST(wire.PathCompletions, d.Queries.Completions)
	r.GET(pathService, d.Queries.Read)
	r.HEAD(pathService, d.Queries.Read)
	for _, method := range []string{fasthttp.MethodPost, fasthttp.MethodPut, fasthttp.MethodPatch, fasthttp.MethodDelete} {
		r.Handle(method, pathService, d.Commands.Call)
	}
	r.GET(pathHealth, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET(pathReady, ready(d))
	r.GET(pathMetrics, func(ctx *fasthttp.RequestCtx) { ctx.SetBody(d.Metrics.Text()) })
	r.NotFound = func(ctx *fasthttp.RequestCtx) {
		intake.Refuse(ctx, requestID(ctx, d.NewID), fault.New(fault.NotFound, "no path %s", ctx.Path()))
	}
	r.MethodNotAllowed = func(ctx *fasthttp.RequestCtx) {
		intake.Refuse(ctx, requestID(ctx, d.NewID), fault.New(fault.BadRequest, "method %s is not allowed on %s", ctx.Method(), ctx.Path()))
	}
	// A defect that one request meets must not end the requests of all others.
	r.PanicHandler = func(ctx *fasthttp.RequestCtx, cause any) {
		d.Log.Error("panic", "path", string(ctx.Path()), "cause", cause, "stack", string(debug.Stack()))
		intake.Refuse(ctx, requestID(ctx, d.NewID), fault.NewWithRun(fault.Internal, fault.RunUnknown, "defect; see the log"))
	}
	return r
}

// closing tells callers of a stopping instance, the balancer first, to use another connection. Otherwise a
// request that comes on a kept connection just when the listener shuts down is cut off without an answer.
func closing(g *gate.Gate, next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		next(ctx)
		if !g.Ready() {
			ctx.SetConnectionClose()
		}
	}
}

func ready(d Deps) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if !d.Gate.Ready() {
			intake.Refuse(ctx, "", fault.New(fault.Stopping, "this instance is stopping"))
			return
		}
		if err := d.Ready(); err != nil {
			intake.Refuse(ctx, "", err)
			return
		}
		ctx.SetBodyString("ready\n")
	}
}

// Listen binds addr.
func (s *Server) Listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	s.listener = l
	return nil
}

// Unlisten gives the address back before Serve was called.
func (s *Server) CloseListener() error { return s.listener.Close() }

// Addr is where callers connect.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve accepts callers until Shutdown.
func (s *Server) Serve() {
	watched := &callerconn.Listener{
		Listener:     s.listener,
		WriteTimeout: writeStall,
		MaxOpen:      int64(s.limits.MaxConnections),
		OnRefused:    func() { s.metrics.Counter("connections_refused").Inc(1) },
	}
	s.served <- s.http.Serve(watched)
}

// CloseIdle closes the connections on which no caller waits, and gives how many.
func (s *Server) CloseIdle() int { return s.idle.CloseAll() }

// Shutdown stops listening and waits until open connections are idle and closed, or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut callers' listener down: %w", err)
	}
	return <-s.served
}

// badRequest answers what the library refuses before a handler runs: nothing of it went anywhere.
func (s *Server) badRequest(newID func() string) func(*fasthttp.RequestCtx, error) {
	return func(ctx *fasthttp.RequestCtx, err error) {
		var small *fasthttp.ErrSmallBuffer
		var ne net.Error
		f := fault.New(fault.BadRequest, "request: %v", err)
		switch {
		case errors.Is(err, fasthttp.ErrBodyTooLarge):
			f = fault.New(fault.BodyTooLarge, "body: allowed: at most %d bytes", s.limits.MaxBodyBytes)
		case errors.As(err, &small):
			f = fault.New(fault.BadRequest, "headers: allowed: at most %d bytes", s.limits.MaxHeaderBytes)
		case errors.As(err, &ne) && ne.Timeout():
			f = fault.New(fault.SlowCaller, "request: not whole after %s", time.Duration(s.limits.HeaderTimeout))
		}
		s.metrics.Counter("refused", "kind", f.Kind.String()).Inc(1)
		intake.Refuse(ctx, requestID(ctx, newID), f)
	}
}

// requestID is the caller's request id where it gave a good one, or a new one.
func requestID(ctx *fasthttp.RequestCtx, newID func() string) fleet.RequestID {
	m, err := intake.Parse(&ctx.Request.Header, time.Now(), intake.Bounds{}, newID)
	if err != nil {
		return fleet.RequestID(newID())
	}
	return m.ID
}
