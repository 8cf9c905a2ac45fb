package httpanswer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/damaskshelf/damaskshelf/internal/httpanswer"
)

// exchange sends two requests to a handler on one connection and returns what it answers until the connection ends.
func exchange(t *testing.T, handler fasthttp.RequestHandler) (answers string, missing int32) {
	t.Helper()
	l := fasthttputil.NewInmemoryListener()
	var calls atomic.Int32
	server := &fasthttp.Server{Handler: httpanswer.Explicit(handler, func(*fasthttp.RequestCtx) { calls.Add(1) })}
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	c, err := l.Dial()
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nxPOST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	all, err := io.ReadAll(c)
	if err != nil {
		t.Error(err)
	}
	_ = l.Close()
	<-done
	return string(all), calls.Load()
}

// Guards against the HTTP library's empty 200 for a request that its handler has left without an answer.
func TestHandlerWithoutAnswerSendsNothing(t *testing.T) {
	for name, handler := range map[string]fasthttp.RequestHandler{
		"returns":   func(*fasthttp.RequestCtx) {},
		"body only": func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answers, missing := exchange(t, handler)
			is.Equal(answers, "")
			is.Equal(missing, int32(1)) // the second request isn't served
		})
	}
	t.Run("cuts", func(t *testing.T) {
		is := is.New(t)
		answers, missing := exchange(t, httpanswer.Cut)
		is.Equal(answers, "")
		is.Equal(missing, int32(0))
	})
}

// Guards against an answer that is withheld although its handler gave it.
func TestChosenAnswersAreSent(t *testing.T) {
	for name, handler := range map[string]fasthttp.RequestHandler{
		"200 OK":  func(ctx *fasthttp.RequestCtx) { httpanswer.OK(ctx, []byte("body")) },
		"404 Not": func(ctx *fasthttp.RequestCtx) { ctx.Error("body", fasthttp.StatusNotFound) },
		"200 Stream": func(ctx *fasthttp.RequestCtx) {
			ctx.SetStatusCode(200)
			ctx.SetBodyStream(strings.NewReader("body"), 4)
		},
		"207 Hijack": func(ctx *fasthttp.RequestCtx) {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(c net.Conn) {
				_, _ = io.WriteString(c, "HTTP/1.1 207 X\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody")
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answers, missing := exchange(t, handler)
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(answers)), nil)
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(body), "body")
			is.True(strings.HasPrefix(resp.Status, name[:3]))
			is.Equal(missing, int32(0))
		})
	}
}
