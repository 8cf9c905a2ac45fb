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
	"github.com/damaskshelf/damaskshelf/internal/httpanswer"
	"github.com/damaskshelf/damaskshelf/internal/httplog"
	"github.com/damaskshelf/damaskshelf/internal/keeper"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/operate"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
)

// Limits of the operators' listener: bytes, connections and times.
const (
	operatorsMaxBodyBytes   = 1 << 20 // as much as the object API accepts for one value
	operatorsMaxHeaderBytes = 16 << 10
	operatorsMaxConns       = 64
	operatorsReadTimeout    = 10 * time.Second
	operatorsWriteTimeout   = 30 * time.Second
)

// operators is the operators' HTTP server with its listener.
type operators struct {
	http     *fasthttp.Server
	listener net.Listener
	serveErr chan error // result of serve
}

// newOperators returns the server of the operators' API and of the metrics. It is not bound to an address yet.
func newOperators(s api.Settings, p objects.Store, f *follow.Follower, c *upstream.Client, k *keeper.Keeper, rec *explain.Recorder,
	m *metrics.Registry, log hclog.Logger, id idFunc) *operators {
	r := router.New()
	operate.Register(r, operate.Deps{
		Instance:     fleet.InstanceID(s.Instance),
		Store:        follow.Announce(p, f),
		View:         k.View,
		Log:          log.Named("operate"),
		NewID:        id,
		Token:        s.OperatorToken,
		Upstreams:    c,
		Explain:      decisionLines(rec),
		CountInForce: f.CountInForce,
	})
	r.GET("/metrics", func(ctx *fasthttp.RequestCtx) { httpanswer.OK(ctx, m.Text()) })
	r.GlobalOPTIONS = httpanswer.NoContent
	onUnanswered := func(ctx *fasthttp.RequestCtx) {
		log.Error("operators' call has no answer: its connection is closed", "path", string(ctx.Path()))
	}
	return &operators{
		serveErr: make(chan error, 1),
		http: &fasthttp.Server{
			Handler:               httpanswer.Explicit(r.Handler, onUnanswered),
			ReadTimeout:           operatorsReadTimeout,
			WriteTimeout:          operatorsWriteTimeout,
			ReadBufferSize:        operatorsMaxHeaderBytes,
			MaxRequestBodySize:    operatorsMaxBodyBytes,
			Concurrency:           operatorsMaxConns,
			NoDefaultServerHeader: true,
			CloseOnShutdown:       true,
			Logger:                httplog.Logger{Log: log.Named("operate")},
			SecureErrorLogMessage: true, // else its errors quote heads, with operators' tokens
		},
	}
}

// decisionLines returns a function that returns the decisions kept for a request, one a line, and whether there are any.
func decisionLines(rec *explain.Recorder) func(id fleet.RequestID) ([]string, bool) {
	return func(id fleet.RequestID) ([]string, bool) {
		var lines []string
		for _, d := range rec.ForSubject(string(id)) {
			lines = append(lines, fmt.Sprintf("%s reason=%s %s", d.Kind, d.Reason, d.Fields()))
		}
		return lines, len(lines) > 0
	}
}

// listen binds the listener to addr.
func (o *operators) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	o.listener = l
	return nil
}

func (o *operators) addr() string { return o.listener.Addr().String() }

// serve serves until shutdown, which waits for it.
func (o *operators) serve() { o.serveErr <- o.http.Serve(o.listener) }

// shutdown closes the listener, waits for the calls in flight until ctx ends, and returns the error of serve.
func (o *operators) shutdown(ctx context.Context) error {
	if err := o.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut down the operators' listener: %w", err)
	}
	return <-o.serveErr
}
