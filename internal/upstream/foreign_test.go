package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/upstream"
)

// numbered returns an answer with a number in its head.
func numbered(n int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Number: %d\r\nContent-Length: 2\r\n\r\nok", n)
}

// forwardNumbered forwards a request and returns the number in the head of its answer, which must be want.
func forwardNumbered(t *testing.T, c *upstream.Client, addr string, want int) error {
	t.Helper()
	head := &fasthttp.RequestHeader{}
	head.SetRequestURI("/x")
	head.SetHost("h")
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	x, err := c.Forward(ctx, upstream.ForwardRequest{Addr: addr, Head: head, Match: func(h *fasthttp.ResponseHeader) upstream.Match {
		switch got := string(h.Peek("X-Number")); got {
		case fmt.Sprint(want):
			return upstream.ThisRequest
		case "":
			return upstream.NoRequest
		default:
			return upstream.OtherRequest
		}
	}})
	if err != nil {
		return err
	}
	defer x.Close()
	_, err = io.ReadAll(x)
	return err
}

// Guards against a connection on which answers lag behind: after one that belongs to another request, each further request on
// it would find the answer to an earlier one where its own is due. It serves no further request.
func TestConnectionWithForeignAnswerIsClosed(t *testing.T) {
	for name, foreign := range map[string]string{"another request's": numbered(99), "nobody's": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for n := 1; readRequest(r) != ""; n++ {
					if n == 2 {
						_, _ = io.WriteString(c, foreign)
					}
					_, _ = io.WriteString(c, numbered(n))
				}
			})
			c := upstream.New()
			defer c.Close()
			is.NoErr(forwardNumbered(t, c, e.addr(), 1))
			is.NoErr(forwardNumbered(t, c, e.addr(), 2))
			is.Equal(e.conns.Load(), int32(1))
			is.NoErr(forwardNumbered(t, c, e.addr(), 1))
			is.Equal(e.conns.Load(), int32(2))
		})
	}
}
