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
	"github.com/damaskshelf/damaskshelf/internal/entry/gate"
	"github.com/damaskshelf/damaskshelf/internal/httplog"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	"github.com/damaskshelf/damaskshelf/internal/placement"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

const (
	sideRead    = 5 * time.Second
	sideHeaders = 4 << 10
	pathMetrics = "/metrics"
)

// side serves what is not for callers: the balancer's question and the metrics, each on a listener.
type side struct {
	ready, metrics *fasthttp.Server
	readyOn        net.Listener
	metricsOn      net.Listener // nil: none
	served         chan error
}

func newSide(s api.Settings, o Options, f *watch.Follower, p *placement.Client, g *gate.Gate, m *metrics.Registry, log hclog.Logger) *side {
	ready := router.New()
	ready.GET(s.Routed.ReadyPath, func(ctx *fasthttp.RequestCtx) {
		if why := notReady(f, g); why != "" {
			ctx.Error(why, fasthttp.StatusServiceUnavailable)
			return
		}
		ctx.SetBodyString("ready\n")
	})
	numbers := router.New()
	numbers.GET(pathMetrics, func(ctx *fasthttp.RequestCtx) {
		if o.DroppedLines != nil {
			m.Gauge("log_dropped").Update(int64(o.DroppedLines()))
		}
		m.Gauge("upstreams_held_off").Update(int64(p.HoldOffCount()))
		m.Gauge("upstreams_limited").Update(int64(p.LimitsInForce()))
		ctx.SetBody(m.Text())
	})
	return &side{ready: sideServer(ready, log), metrics: sideServer(numbers, log), served: make(chan error, 2)}
}

// notReady says why the balancer should not send callers here now.
func notReady(f *watch.Follower, g *gate.Gate) string {
	switch {
	case !g.Ready():
		return "this instance is stopping"
	case f.Snapshot().Config == nil:
		return "no configuration is known yet"
	default:
		return ""
	}
}

func sideServer(r *router.Router, log hclog.Logger) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: r.Handler, ReadTimeout: sideRead, ReadBufferSize: sideHeaders,
		NoDefaultServerHeader: true, Logger: httplog.Logger{Log: log},
	}
}

// listen binds the two. Without its metrics an instance still serves: their port is the same on every machine, and
// a deployment may have given it to another listener.
func (s *side) listen(l api.RoutedListen, log hclog.Logger) error {
	var err error
	if s.readyOn, err = net.Listen("tcp", l.Ready); err != nil {
		return fmt.Errorf("listen on %s: %w", l.Ready, err)
	}
	if s.metricsOn, err = net.Listen("tcp", l.Metrics); err != nil {
		log.Error("metrics are not served", "addr", l.Metrics, "error", err)
	}
	return nil
}

func (s *side) serve() {
	if s.metricsOn != nil {
		go func() { s.served <- s.metrics.Serve(s.metricsOn) }()
	}
	s.served <- s.ready.Serve(s.readyOn)
}

func (s *side) shutdown(ctx context.Context) error {
	return shutAll(ctx, s.ready.ShutdownWithContext, s.metrics.ShutdownWithContext)
}

// shutAll shuts servers down at once. On a busy machine each looks a second time, 100 ms later, whether it is done: one
// after the other they take longer than a stop has left for them.
func shutAll(ctx context.Context, all ...func(context.Context) error) error {
	failed := make(chan error, len(all))
	for _, shut := range all {
		go func() { failed <- shut(ctx) }()
	}
	var err error
	for range all {
		err = errors.Join(err, <-failed)
	}
	return err
}
