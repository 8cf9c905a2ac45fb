package callerconn_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/entry/callerconn"
)

// pipeListener accepts one end of a pipe. A write to a pipe ends only when the other end has read it.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.conns) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

const answerBytes = 20_000

// answerKinds are the ways in which a handler writes an answer of answerBytes.
var answerKinds = map[string]fasthttp.RequestHandler{
	"plain": func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(strings.Repeat("x", answerBytes)) },
	"stream": func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyStream(strings.NewReader(strings.Repeat("x", answerBytes)), -1)
	},
	"closing": func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyString(strings.Repeat("x", answerBytes))
		ctx.SetConnectionClose()
	},
	"hijacked": func(ctx *fasthttp.RequestCtx) {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", answerBytes))
		})
	},
}

// serveOne serves a connection with a handler that begins an answer, and returns the caller's end of it.
func serveOne(t *testing.T, handler fasthttp.RequestHandler, onWritten func()) (net.Conn, *callerconn.Listener) {
	t.Helper()
	pipes := &pipeListener{conns: make(chan net.Conn, 1)}
	l := &callerconn.Listener{Listener: pipes}
	var idle callerconn.IdleConns
	server := &fasthttp.Server{ConnState: idle.OnStateChange, Handler: func(ctx *fasthttp.RequestCtx) {
		callerconn.Begin(ctx.Conn(), "r1", onWritten)
		callerconn.SetBodyLength(ctx.Conn(), answerBytes)
		handler(ctx)
	}}
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	near, far := net.Pipe()
	pipes.conns <- far
	t.Cleanup(func() {
		_ = near.Close()
		_ = pipes.Close()
		<-done
	})
	if _, err := io.WriteString(near, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return near, l
}

// Guards against a planned stop that cuts an answer which its caller reads slowly: the answer counts as written although
// its last bytes aren't.
func TestAnswerIsWrittenOnlyWithItsLastByte(t *testing.T) {
	for name, handler := range answerKinds {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			written := make(chan struct{})
			var calls atomic.Int32
			conn, l := serveOne(t, handler, func() {
				calls.Add(1)
				close(written)
			})
			var received bytes.Buffer
			for !strings.Contains(received.String(), "x") { // some of the body
				_, err := io.CopyN(&received, conn, 1)
				is.NoErr(err)
			}
			time.Sleep(50 * time.Millisecond)
			select {
			case <-written:
				t.Fatalf("written after %d bytes of the answer were read", received.Len())
			default:
			}
			pending := l.Unwritten()
			is.Equal(len(pending), 1)
			is.Equal(pending[0].Request, "r1")
			is.Equal(pending[0].BodyBytes, answerBytes)
			is.True(pending[0].WrittenBytes < answerBytes)

			r := io.MultiReader(&received, conn)
			resp := fasthttp.Response{}
			is.NoErr(resp.Read(bufio.NewReader(r)))
			is.Equal(len(resp.Body()), answerBytes)
			<-written
			is.Equal(len(l.Unwritten()), 0)
			is.Equal(calls.Load(), int32(1))
		})
	}
}

// Guards against a planned stop that waits for callers that are gone.
func TestAnswerEndsWithItsConnection(t *testing.T) {
	for name, handler := range answerKinds {
		t.Run(name, func(t *testing.T) {
			written := make(chan struct{})
			conn, _ := serveOne(t, handler, func() { close(written) })
			_, err := io.CopyN(io.Discard, conn, 10)
			if err = errors.Join(err, conn.Close()); err != nil {
				t.Fatal(err)
			}
			select {
			case <-written:
			case <-time.After(10 * time.Second):
				t.Fatal("the answer has not ended")
			}
		})
	}
}

// Guards against an instance whose callers keep so many idle connections that nobody else gets one.
func TestIdleConnectionsMakeRoomForOthers(t *testing.T) {
	is := is.New(t)
	const most = 3
	pipes := &pipeListener{conns: make(chan net.Conn, 1)}
	var idle callerconn.IdleConns
	var refused atomic.Int32
	l := &callerconn.Listener{Listener: pipes, MaxOpen: most, CloseIdle: idle.CloseOldest, OnRefused: func() { refused.Add(1) }}
	release, working, isIdle := make(chan struct{}), make(chan struct{}, most), make(chan struct{}, 4*most)
	server := &fasthttp.Server{
		ConnState: func(c net.Conn, s fasthttp.ConnState) {
			idle.OnStateChange(c, s)
			if s == fasthttp.StateIdle {
				isIdle <- struct{}{}
			}
		},
		Handler: func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) == "/slow" {
				working <- struct{}{}
				<-release
			}
		},
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	defer func() {
		_ = pipes.Close()
		<-done
	}()
	open := func(path string) net.Conn {
		near, far := net.Pipe()
		pipes.conns <- far
		_ = near.SetDeadline(time.Now().Add(10 * time.Second))
		_, _ = io.WriteString(near, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		return near
	}
	answered := func(c net.Conn) bool {
		resp := fasthttp.Response{}
		return resp.Read(bufio.NewReader(c)) == nil
	}
	var busy []net.Conn
	openSlow := func() {
		busy = append(busy, open("/slow"))
		<-working
	}
	openSlow()
	openSlow()
	for range 2 * most { // each takes the place of the idle one before
		is.True(answered(open("/")))
		<-isIdle
	}
	is.Equal(refused.Load(), int32(0))
	openSlow() // takes the last place
	is.True(!answered(open("/")))
	is.Equal(refused.Load(), int32(1))
	close(release)
	for _, c := range busy {
		is.True(answered(c)) // none was closed for another
	}
}

// Guards against a request that is passed on although its connection was closed to make room: its answer reaches nobody.
func TestRequestOnClosedConnectionIsNotBegun(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	pipes := &pipeListener{conns: make(chan net.Conn, 1)}
	pipes.conns <- far
	conn, err := (&callerconn.Listener{Listener: pipes}).Accept()
	is.NoErr(err)
	var idle callerconn.IdleConns
	idle.OnStateChange(conn, fasthttp.StateNew)
	is.True(!idle.CloseOldest()) // its caller has only just connected
	idle.OnStateChange(conn, fasthttp.StateIdle)
	is.True(idle.CloseOldest())
	idle.OnStateChange(conn, fasthttp.StateActive) // a request was read in the same moment
	calls := 0
	is.True(!callerconn.Begin(conn, "r1", func() { calls++ }))
	is.Equal(calls, 1)
}
