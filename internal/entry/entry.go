// Package entry is the HTTP server for callers: its listener, routes and limits.
package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/accept"
	"github.com/damaskshelf/damaskshelf/internal/crash"
	"github.com/damaskshelf/damaskshelf/internal/entry/callerconn"
	"github.com/damaskshelf/damaskshelf/internal/entry/command"
	"github.com/damaskshelf/damaskshelf/internal/entry/gate"
	"github.com/damaskshelf/damaskshelf/internal/entry/intake"
	"github.com/damaskshelf/damaskshelf/internal/entry/query"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/httpanswer"
	"github.com/damaskshelf/damaskshelf/internal/httplog"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

const (
	writeTimeout = 10 * time.Second // a write that takes longer fails the connection
	idleTimeout  = 30 * time.Second // longest time between two requests of a connection
)

// Paths of the callers' API, besides that of completions.
const (
	pathService = "/services/{service}/{path:*}"
	pathHealth  = "/healthz"
	pathReady   = "/readyz"
	pathMetrics = "/metrics"
)

// Server is the HTTP server for callers.
type Server struct {
	http      *fasthttp.Server
	limits    api.Limits
	metrics   *metrics.Registry
	log       hclog.Logger
	listener  net.Listener
	idleConns callerconn.IdleConns
	serveErr  chan error // result of Serve
}

// Deps are the dependencies of a Server.
type Deps struct {
	Queries  *query.Handler
	Commands *command.Handler
	Gate     *gate.Gate
	Ready    func() error // returns nil, or the reason why the instance can't serve yet
	Metrics  *metrics.Registry
	Limits   api.Limits
	Log      hclog.Logger
	NewID    func() string
}

// New returns a Server that is not listening yet.
func New(d Deps) *Server {
	s := &Server{limits: d.Limits, metrics: d.Metrics, log: d.Log.Named("entry"), serveErr: make(chan error, 1)}
	s.http = &fasthttp.Server{
		Name:                  "damaskshelf",
		Handler:               httpanswer.Explicit(countRequests(d.Gate, closeWhenStopping(d.Gate, routes(d).Handler)), s.onUnanswered),
		ErrorHandler:          s.errorHandler(d.Gate, d.NewID),
		ReadTimeout:           time.Duration(d.Limits.HeaderTimeout),
		IdleTimeout:           idleTimeout,
		ReadBufferSize:        d.Limits.MaxHeaderBytes,
		MaxRequestBodySize:    d.Limits.MaxBodyBytes,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ConnState:             s.idleConns.OnStateChange,
		Logger:                httplog.Logger{Log: s.log},
		SecureErrorLogMessage: true, // else its errors quote heads
		// The library would read a form of known length by itself and pass on one that it wrote anew, or none.
		DisablePreParseMultipartForm: true,
	}
	return s
}

// routes returns the router of the callers' API.
func routes(d Deps) *router.Router {
	r := router.New()
	r.POST(wire.PathCompletions, d.Queries.Completions)
	r.GET(pathService, d.Queries.Read)
	r.HEAD(pathService, d.Queries.Read)
	for _, method := range []string{fasthttp.MethodPost, fasthttp.MethodPut, fasthttp.MethodPatch, fasthttp.MethodDelete} {
		r.Handle(method, pathService, d.Commands.Call)
	}
	r.GET(pathHealth, func(ctx *fasthttp.RequestCtx) { httpanswer.OK(ctx, []byte("ok\n")) })
	r.GET(pathReady, readiness(d))
	r.GET(pathMetrics, func(ctx *fasthttp.RequestCtx) { httpanswer.OK(ctx, d.Metrics.Text()) })
	r.GlobalOPTIONS = httpanswer.NoContent
	r.NotFound = func(ctx *fasthttp.RequestCtx) {
		intake.Refuse(ctx, requestID(ctx, d.NewID), fault.New(fault.NotFound, "no path %s", ctx.Path()))
	}
	r.MethodNotAllowed = func(ctx *fasthttp.RequestCtx) {
		intake.Refuse(ctx, requestID(ctx, d.NewID), fault.New(fault.BadRequest, "method %s is not allowed on %s", ctx.Method(), ctx.Path()))
	}
	// A panic in one request must not end the process and with it all other requests.
	r.PanicHandler = func(ctx *fasthttp.RequestCtx, cause any) {
		d.Log.Error("panic", "path", string(ctx.Path()), "cause", cause, "stack", crash.Stack())
		intake.Refuse(ctx, requestID(ctx, d.NewID), fault.NewWithRun(fault.Internal, fault.RunUnknown, "defect; see the log"))
	}
	return r
}

// countRequests wraps next so that each request is in flight until its answer has left the instance.
func countRequests(g *gate.Gate, next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if !g.CountUntilAnswered(ctx.Conn(), "") {
			httpanswer.Cut(ctx) // nobody receives an answer
			return
		}
		httpanswer.FlushWhenComplete(ctx)
		next(ctx)
	}
}

// onUnanswered reports a request that its handler has left without an answer, which is a defect.
func (s *Server) onUnanswered(ctx *fasthttp.RequestCtx) {
	s.metrics.Counter("requests_unanswered").Inc(1)
	s.log.Error("request has no answer: its connection is closed", "method", string(ctx.Method()), "path", string(ctx.Path()))
}

// closeWhenStopping wraps next so that answers close their connection while the instance is stopping. Callers and the
// balancer then use another connection. Without that, a request that arrives on a kept-alive connection at the moment
// of the shutdown would be cut off without an answer.
func closeWhenStopping(g *gate.Gate, next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		next(ctx)
		if !g.Ready() {
			ctx.SetConnectionClose()
		}
	}
}

// readiness returns the handler of readiness checks. It refuses them while the instance is stopping and until it can
// serve.
func readiness(d Deps) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if !d.Gate.Ready() {
			intake.Refuse(ctx, "", fault.New(fault.Stopping, "this instance is stopping"))
			return
		}
		if err := d.Ready(); err != nil {
			intake.Refuse(ctx, "", err)
			return
		}
		httpanswer.OK(ctx, []byte("ready\n"))
	}
}

// Listen binds the listener to addr.
func (s *Server) Listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	s.listener = l
	return nil
}

// CloseListener closes the listener of a Server on which Serve was not called.
func (s *Server) CloseListener() error { return s.listener.Close() }

// Addr returns the address at which callers connect.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve accepts connections until Shutdown, and returns what ended it.
func (s *Server) Serve() error {
	listener := &callerconn.Listener{
		Listener:     accept.Retrying(s.listener, "callers", s.log),
		WriteTimeout: writeTimeout,
		MaxOpen:      int64(s.limits.MaxConnections),
		CloseIdle:    s.idleConns.CloseOldest,
		OnRefused:    func() { s.metrics.Counter("connections_refused").Inc(1) },
	}
	err := s.http.Serve(listener)
	s.serveErr <- err
	return err
}

// CloseIdle closes the connections without a request in flight and returns their number.
func (s *Server) CloseIdle() int { return s.idleConns.CloseAll() }

// Shutdown stops listening and waits until open connections are idle and closed, or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut callers' listener down: %w", err)
	}
	return <-s.serveErr
}

// errorHandler returns the handler for requests that the HTTP library rejects before a route handler runs. Nothing of
// such a request is dispatched.
func (s *Server) errorHandler(g *gate.Gate, newID func() string) func(*fasthttp.RequestCtx, error) {
	return func(ctx *fasthttp.RequestCtx, err error) {
		var smallBuffer *fasthttp.ErrSmallBuffer
		var netErr net.Error
		f := fault.New(fault.BadRequest, "request: %v", err)
		switch {
		case errors.Is(err, fasthttp.ErrBodyTooLarge):
			f = fault.New(fault.BodyTooLarge, "body: allowed: at most %d bytes", s.limits.MaxBodyBytes)
		case errors.As(err, &smallBuffer):
			f = fault.New(fault.BadRequest, "headers: allowed: at most %d bytes", s.limits.MaxHeaderBytes)
		case errors.As(err, &netErr) && netErr.Timeout():
			f = fault.New(fault.SlowCaller, "request: not whole after %s", time.Duration(s.limits.HeaderTimeout))
		}
		s.metrics.Counter("refused", "kind", f.Kind.String()).Inc(1)
		g.CountUntilAnswered(ctx.Conn(), "")
		intake.Refuse(ctx, requestID(ctx, newID), f)
	}
}

// requestID returns the request id that the caller set, or a new one if it set none or any of its headers is invalid.
func requestID(ctx *fasthttp.RequestCtx, newID func() string) fleet.RequestID {
	m, err := intake.Parse(&ctx.Request.Header, time.Now(), intake.Bounds{}, newID)
	if err != nil {
		return fleet.RequestID(newID())
	}
	return m.ID
}
