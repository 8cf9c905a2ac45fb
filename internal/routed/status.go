package routed

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
	"github.com/damaskshelf/damaskshelf/internal/entry/gate"
	"github.com/damaskshelf/damaskshelf/internal/gateway"
	"github.com/damaskshelf/damaskshelf/internal/httpanswer"
	"github.com/damaskshelf/damaskshelf/internal/httplog"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	"github.com/damaskshelf/damaskshelf/internal/placement"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

const (
	statusReadTimeout = 5 * time.Second // for a complete request to the status server
	statusHeaderBytes = 4 << 10         // largest head of such a request
	metricsPath       = "/metrics"
)

// statusServer serves the readiness probes of the load balancer and the metrics, each on its own listener.
type statusServer struct {
	readyServer, metricsServer *fasthttp.Server
	readyListener              net.Listener
	metricsListener            net.Listener // nil: the metrics are not served
	log                        hclog.Logger
}

// newStatusServer returns a statusServer that is not bound to its addresses yet.
func newStatusServer(s api.Settings, o Options, f *watch.Follower, p *placement.Client, callers *gateway.Gateway, g *gate.Gate,
	m *metrics.Registry, log hclog.Logger) *statusServer {
	readyRouter := router.New()
	readyRouter.GET(s.Routed.ReadyPath, func(ctx *fasthttp.RequestCtx) {
		if reason := notReadyReason(f, callers, g); reason != "" {
			ctx.Error(reason, fasthttp.StatusServiceUnavailable)
			return
		}
		httpanswer.OK(ctx, []byte("ready\n"))
	})
	metricsRouter := router.New()
	metricsRouter.GET(metricsPath, func(ctx *fasthttp.RequestCtx) {
		if o.DroppedLines != nil {
			m.Gauge("log_dropped").Update(int64(o.DroppedLines()))
		}
		m.Gauge("upstreams_held_off").Update(int64(p.HoldOffCount()))
		m.Gauge("upstreams_limited").Update(int64(p.LimitsInForce()))
		m.Gauge("verdicts_held_back").Update(int64(p.VerdictsInForce()))
		httpanswer.OK(ctx, m.Text())
	})
	return &statusServer{
		readyServer: newHTTPServer(readyRouter, log), metricsServer: newHTTPServer(metricsRouter, log),
		log: log,
	}
}

// notReadyReason returns why the load balancer should send no callers to this instance now, or "" if it should.
func notReadyReason(f *watch.Follower, callers *gateway.Gateway, g *gate.Gate) string {
	switch {
	case !g.Ready():
		return "this instance is stopping"
	case f.Snapshot().Config == nil:
		return "no configuration is known yet"
	case !callers.Accepting():
		return "callers' connections can't be accepted"
	default:
		return ""
	}
}

// newHTTPServer returns a server for small requests, with the limits of the status server.
func newHTTPServer(r *router.Router, log hclog.Logger) *fasthttp.Server {
	// A panic in one request must not end the process and with it callers' requests.
	r.PanicHandler = func(ctx *fasthttp.RequestCtx, cause any) {
		log.Error("panic", "path", string(ctx.Path()), "cause", cause, "stack", crash.Stack())
		ctx.Error("defect; see the log", fasthttp.StatusInternalServerError)
	}
	r.HandleOPTIONS = false // the router would answer with success, also while the instance isn't ready
	onUnanswered := func(ctx *fasthttp.RequestCtx) {
		log.Error("request has no answer: its connection is closed", "path", string(ctx.Path()))
	}
	return &fasthttp.Server{
		Handler: httpanswer.Explicit(r.Handler, onUnanswered), ReadTimeout: statusReadTimeout, ReadBufferSize: statusHeaderBytes,
		NoDefaultServerHeader: true, Logger: httplog.Logger{Log: log}, SecureErrorLogMessage: true,
	}
}

// listen binds both addresses. It returns no error if only the metrics address can't be bound: its port is the same on
// every instance, and another listener may use it.
func (s *statusServer) listen(l api.RoutedListen, log hclog.Logger) error {
	var err error
	if s.readyListener, err = net.Listen("tcp", l.Ready); err != nil {
		return fmt.Errorf("listen on %s: %w", l.Ready, err)
	}
	if s.metricsListener, err = net.Listen("tcp", l.Metrics); err != nil {
		log.Error("metrics are not served", "addr", l.Metrics, "error", err)
	}
	return nil
}

// serveReady answers readiness probes until shutdown is called, and returns what ended it.
func (s *statusServer) serveReady() error {
	return s.readyServer.Serve(accept.Retrying(s.readyListener, "balancer", s.log))
}

// serveMetrics serves the metrics until shutdown is called. An instance serves its callers without them.
func (s *statusServer) serveMetrics() {
	if s.metricsListener == nil {
		return
	}
	if err := s.metricsServer.Serve(accept.Retrying(s.metricsListener, "metrics", s.log)); err != nil {
		s.log.Error("metrics are served no longer", "error", err)
	}
}

// shutdown shuts both servers down.
func (s *statusServer) shutdown(ctx context.Context) error {
	return shutdownAll(ctx, s.readyServer.ShutdownWithContext, s.metricsServer.ShutdownWithContext)
}

// shutdownAll shuts servers down concurrently and joins their errors. On a busy machine each server checks a second
// time, 100 ms later, whether it is done. One after the other, the servers would take longer than a stop reserves for
// them.
func shutdownAll(ctx context.Context, all ...func(context.Context) error) error {
	errs := make(chan error, len(all))
	for _, shutdown := range all {
		go func() { errs <- shutdown(ctx) }()
	}
	var err error
	for range all {
		err = errors.Join(err, <-errs)
	}
	return err
}
