package node

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/explain"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/follow"
	"github.com/damaskshelf/damaskshelf/internal/httplog"
	"github.com/damaskshelf/damaskshelf/internal/keeper"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/operate"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
)

// Limits of the operators' listener.
const (
	operatorsBody    = 1 << 20
	operatorsHeaders = 16 << 10
	operatorsConns   = 64
	operatorsRead    = 10 * time.Second
	operatorsWrite   = 30 * time.Second
)

// operators is the operators' listener.
type operators struct {
	http     *fasthttp.Server
	listener net.Listener
	served   chan error
}

func newOperators(s api.Settings, p objects.Store, f *follow.Follower, c *upstream.Client, k *keeper.Keeper, rec *explain.Recorder,
	m *metrics.Registry, log hclog.Logger, id idSource) *operators {
	r := router.New()
	operate.Register(r, operate.Deps{
		Instance:     fleet.InstanceID(s.Instance),
		Store:        follow.Announce(p, f),
		View:         k.View,
		Log:          log.Named("operate"),
		NewID:        id,
		Token:        s.OperatorToken,
		Upstreams:    c,
		Explain:      explainer(rec),
		CountInForce: f.CountInForce,
	})
	r.GET("/metrics", func(ctx *fasthttp.RequestCtx) { ctx.SetBody(m.Text()) })
	return &operators{
		served: make(chan error, 1),
		http: &fasthttp.Server{
			Handler:               r.Handler,
			ReadTimeout:           operatorsRead,
			WriteTimeout:          operatorsWrite,
			ReadBufferSize:        operatorsHeaders,
			MaxRequestBodySize:    operatorsBody,
			Concurrency:           operatorsConns,
			NoDefaultServerHeader: true,
			CloseOnShutdown:       true,
			Logger:                httplog.Logger{Log: log.Named("operate")},
		},
	}
}

// explainer gives the decisions kept for a request, a line each.
func explainer(rec *explain.Recorder) func(id fleet.RequestID) ([]string, bool) {
	return func(id fleet.RequestID) ([]string, bool) {
		var lines []string
		for _, d := range rec.About(string(id)) {
			lines = append(lines, fmt.Sprintf("%s reason=%s %s", d.Kind, d.Reason, d.Fields()))
		}
		return lines, len(lines) > 0
	}
}

func (o *operators) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	o.listener = l
	return nil
}

func (o *operators) addr() string { return o.listener.Addr().String() }

func (o *operators) serve() { o.served <- o.http.Serve(o.listener) }

func (o *operators) shutdown(ctx context.Context) error {
	if err := o.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut operators' listener down: %w", err)
	}
	return <-o.served
}
