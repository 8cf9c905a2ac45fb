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

// TestMain checks for leaked goroutines. fasthttp keeps one running for its Date header.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

const testTimeout = 10 * time.Second

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

// readTimesOut reads for 200 ms and reports whether neither data nor the connection's end arrived.
func readTimesOut(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	n, err := conn.Read(make([]byte, 1))
	return n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
}

func handleHello(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("hello") }

var get = rawhttp.Call{Method: fasthttp.MethodGet, Path: "/"}

// On a silent connection neither data nor the connection's end arrives, as if a middlebox had lost its state. A new
// connection works at once.
func TestSilentConnectionStaysSilentWhileNewOnesWork(t *testing.T) {
	is := is.New(t)
	s := start(t, handleHello)
	old := dial(t, s)
	is.Equal(string(get.DoConn(old).Body), "hello")

	s.SilenceConns()
	is.Equal(string(get.Do(s.Addr()).Body), "hello")
	_, err := old.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	is.NoErr(err)
	is.True(readTimesOut(old)) // no end either
}

// A connection turns silent while a response is being written. The rest of the response is discarded, and the handler's
// write returns no error.
func TestSilentConnectionDropsTheRestOfAResponse(t *testing.T) {
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
	time.Sleep(50 * time.Millisecond) // lets the request reach its handler before the connection turns silent
	s.SilenceConns()
	close(proceed)
	is.NoErr(<-wrote)
	is.True(readTimesOut(conn))
}

// A caller closes its connection while its request is being handled. The handler can detect that at once by ConnDone.
func TestConnDoneClosesWhenTheCallerDisconnects(t *testing.T) {
	is := is.New(t)
	handling, disconnected := make(chan struct{}), make(chan struct{})
	s := start(t, func(ctx *fasthttp.RequestCtx) {
		close(handling)
		<-serve.ConnDone(ctx)
		close(disconnected)
	})
	conn := dial(t, s)
	_, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	is.NoErr(err)
	<-handling
	is.NoErr(conn.Close())
	select {
	case <-disconnected:
	case <-time.After(testTimeout):
		t.Fatal("ConnDone was not closed after the caller disconnected")
	}
}

// Kill ends open connections and refuses new ones. After Restart the server listens on the same address.
func TestKillAndRestart(t *testing.T) {
	is := is.New(t)
	s := start(t, handleHello)
	addr := s.Addr()
	old := dial(t, s)
	is.Equal(get.DoConn(old).Status, fasthttp.StatusOK)

	s.Kill()
	_ = old.SetReadDeadline(time.Now().Add(testTimeout))
	_, err := old.Read(make([]byte, 1))
	is.True(err != nil)
	is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // the connection ended
	is.Equal(get.Do(addr).Status, 0)

	is.NoErr(s.Restart())
	is.Equal(s.Addr(), addr)
	is.Equal(get.Do(addr).Status, fasthttp.StatusOK)
}

func TestCloseConnsSparesNewConnections(t *testing.T) {
	is := is.New(t)
	s := start(t, handleHello)
	old := dial(t, s)
	is.Equal(get.DoConn(old).Status, fasthttp.StatusOK)
	s.CloseConns()
	is.Equal(get.DoConn(old).Status, 0)
	is.Equal(get.Do(s.Addr()).Status, fasthttp.StatusOK)
}

// A body much larger than the read-ahead buffer arrives complete.
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
