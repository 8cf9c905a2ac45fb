package routed

import (
	"bytes"
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fasthttp/router"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

// lateCloseListener delays the error that ends Accept, as for a goroutine that waits for a processor.
type lateCloseListener struct{ net.Listener }

// Accept implements net.Listener.
func (l lateCloseListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		time.Sleep(20 * time.Millisecond)
	}
	return c, err
}

// Guards against a stop that fails on a busy machine because the listeners are closed one after the other.
func TestServersShutDownConcurrently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		listener := func() net.Listener { return lateCloseListener{fasthttputil.NewInmemoryListener()} }
		s := &statusServer{
			readyServer: &fasthttp.Server{}, metricsServer: &fasthttp.Server{},
			readyListener: listener(), metricsListener: listener(), log: hclog.NewNullLogger(),
		}
		callers, callersOn := &fasthttp.Server{}, listener()
		go func() { _ = s.serveReady() }()
		go s.serveMetrics()
		go func() { _ = callers.Serve(callersOn) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), closeMargin/2)
		defer cancel()
		err := shutdownAll(ctx, callers.ShutdownWithContext, s.shutdown)
		time.Sleep(time.Minute) // lets the goroutines of the servers end
		is.NoErr(err)
	})
}

// Guards against a question for readiness or metrics that ends the process, and with it all requests of callers.
func TestPanicInStatusEndsNoRequest(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	r := router.New()
	r.GET("/ready", func(*fasthttp.RequestCtx) { panic("no state") })
	s := newHTTPServer(r, hclog.New(&hclog.LoggerOptions{Output: &out}))
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.SetRequestURI("/ready")
	s.Handler(ctx)
	is.Equal(ctx.Response.StatusCode(), fasthttp.StatusInternalServerError)
	is.True(strings.Contains(out.String(), `panic: path=/ready cause="no state" stack="`))
}

// Guards against a balancer that takes the HTTP library's own success for readiness: a method that nothing answers, or a handler
// that returns without a word.
func TestReadinessIsNeverADefault(t *testing.T) {
	is := is.New(t)
	r := router.New()
	r.GET("/ready", func(*fasthttp.RequestCtx) {})
	s := newHTTPServer(r, hclog.NewNullLogger())
	for _, method := range []string{fasthttp.MethodOptions, fasthttp.MethodHead, fasthttp.MethodPost} {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.Header.SetMethod(method)
		ctx.Request.SetRequestURI("/ready")
		s.Handler(ctx)
		is.Equal(ctx.Response.StatusCode(), fasthttp.StatusMethodNotAllowed)
	}
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.SetRequestURI("/ready")
	s.Handler(ctx)
	is.True(ctx.Hijacked()) // the connection is closed without an answer
}
