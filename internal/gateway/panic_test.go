package gateway

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/entry/gate"
	"github.com/damaskshelf/damaskshelf/internal/explain"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
)

// Guards against a malformed request that ends the process, and with it all other requests: the HTTP library calls the
// refusal of what it can't read outside the handler that recovers from panics.
func TestPanicInRefusalEndsNoOtherRequest(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := hclog.New(&hclog.LoggerOptions{Output: &out})
	g := New(Deps{Log: log, Gate: &gate.Gate{}, Metrics: metrics.New(), Explain: explain.New(log)}) // without a Dialect a refusal panics
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.SetRequestURI("/x")
	g.refuseUnread(ctx, errors.New("malformed"))
	is.Equal(ctx.Response.StatusCode(), fasthttp.StatusInternalServerError)
	is.True(ctx.Response.ConnectionClose())
	is.True(strings.Contains(out.String(), "gateway: panic: path=/x cause=\"runtime error: invalid memory address"))
	is.True(strings.Contains(out.String(), "gateway.(*Gateway).refuse server.go:"))
}
