package serve_test

import (
	"bytes"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/damaskshelf/damaskshelf/internal/standin/rawhttp"
	"github.com/damaskshelf/damaskshelf/internal/standin/serve"
)

// The library keeps one goroutine for its Date header.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

const guard = 10 * time.Second

func start(t *testing.T, handler fasthttp.RequestHandler) *serve.Server {
	t.Helper()
	s, err := serve.Start("127.0.0.1:0", handler)
	is.New(t).NoErr(err)
	t.Cleanup(s.Close)
	return s
}

func dial(t *testing.T, s *serve.Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Addr())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// timesOut reads for a moment and tells whether nothing came, not even an end.
func timesOut(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	n, err := conn.Read(make([]byte, 1))
	return n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
}

func hello(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("hello") }

var get = rawhttp.Call{Method: fasthttp.MethodGet, Path: "/"}

// A caller waits on a connection that something between the ends has lost track of. Nothing arrives on it
// any more, neither data nor an end, while a new connection works at once.
func TestSilentConnectionStaysSilentWhileNewOnesWork(t *testing.T) {
	is := is.New(t)
	s := start(t, hello)
	old := dial(t, s)
	is.Equal(string(get.DoConn(old).Body), "hello")

	s.SilenceConns()
	is.Equal(string(get.Do(s.Addr()).Body), "hello")
	_, err := old.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	is.NoErr(err)
	is.True(timesOut(old)) // silence, not an end
}

// An answer is under way when the connection turns silent: its rest is swallowed, and the handler that
// writes it sees no error.
func TestSilenceSwallowsTheRestOfAnAnswer(t *testing.T) {
	is := is.New(t)
	proceed, wrote := make(chan struct{}), make(chan error, 1)
	s := start(t, func(ctx *fasthttp.RequestCtx) {
		conn := ctx.Conn()
		<-proceed
		_, err := conn.Write([]byte("swallowed"))
		wrote <- err
	})
	conn := dial(t, s)
	_, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // lets the request reach its handler before the silence
	s.SilenceConns()
	close(proceed)
	is.NoErr(<-wrote)
	is.True(timesOut(conn))
}

// A caller closes its connection while its request is being handled; the handler learns of it at once.
func TestHandlerLearnsThatTheCallerIsGone(t *testing.T) {
	is := is.New(t)
	handling, gone := make(chan struct{}), make(chan struct{})
	s := start(t, func(ctx *fasthttp.RequestCtx) {
		close(handling)
		<-serve.ConnDone(ctx)
		close(gone)
	})
	conn := dial(t, s)
	_, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	is.NoErr(err)
	<-handling
	is.NoErr(conn.Close())
	select {
	case <-gone:
	case <-time.After(guard):
		t.Fatal("the handler was not told")
	}
}

// A process dies: open connections end, new ones are refused. Started again, it listens where it did.
func TestKillAndRestart(t *testing.T) {
	is := is.New(t)
	s := start(t, hello)
	addr := s.Addr()
	old := dial(t, s)
	is.Equal(get.DoConn(old).Status, fasthttp.StatusOK)

	s.Kill()
	_ = old.SetReadDeadline(time.Now().Add(guard))
	_, err := old.Read(make([]byte, 1))
	is.True(err != nil)
	is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // ended, not silent
	is.Equal(get.Do(addr).Status, 0)

	is.NoErr(s.Restart())
	is.Equal(s.Addr(), addr)
	is.Equal(get.Do(addr).Status, fasthttp.StatusOK)
}

func TestCutEndsOpenConnectionsOnly(t *testing.T) {
	is := is.New(t)
	s := start(t, hello)
	old := dial(t, s)
	is.Equal(get.DoConn(old).Status, fasthttp.StatusOK)
	s.CloseConns()
	is.Equal(get.DoConn(old).Status, 0)
	is.Equal(get.Do(s.Addr()).Status, fasthttp.StatusOK)
}

// A body far larger than what is read ahead arrives whole.
func TestLargeBody(t *testing.T) {
	is := is.New(t)
	s := start(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBody(ctx.PostBody()) })
	body := make([]byte, 4<<20)
	for n := range body {
		body[n] = byte(n % 251)
	}
	r := rawhttp.Call{Path: "/", Body: body}.Do(s.Addr())
	is.NoErr(r.Err)
	is.True(bytes.Equal(r.Body, body))
}
