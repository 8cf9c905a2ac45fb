package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/stream"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rawServer is a TCP server that passes each connection to a handler, with the connection's number, from 0.
type rawServer struct {
	listener net.Listener
	conns    atomic.Int32
	wg       sync.WaitGroup
	mu       sync.Mutex
	open     []net.Conn // guarded by mu
}

// startServer starts a rawServer, which is closed at the end of the test.
func startServer(t *testing.T, handle func(n int, c net.Conn, r *bufio.Reader)) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &rawServer{listener: l}
	e.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(e.conns.Add(1)) - 1
			e.mu.Lock()
			e.open = append(e.open, c)
			e.mu.Unlock()
			e.wg.Go(func() { handle(n, c, bufio.NewReader(c)) })
		}
	})
	t.Cleanup(e.close)
	return e
}

func (e *rawServer) addr() string { return e.listener.Addr().String() }

// close closes the listener and all connections, and waits for the handlers to return.
func (e *rawServer) close() {
	_ = e.listener.Close()
	e.mu.Lock()
	for _, c := range e.open {
		_ = c.Close()
	}
	e.mu.Unlock()
	e.wg.Wait()
}

// readRequest reads one request from the connection and returns its path, or "" at the end of the connection.
func readRequest(r *bufio.Reader) string {
	var req fasthttp.Request
	if err := req.Read(r); err != nil {
		return ""
	}
	return string(req.URI().Path())
}

// streamHead is the head of a completion stream.
const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Boot-Id: b1\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunk returns text as one chunk of a chunked body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// partChunk returns an event with one part of a completion as a chunk.
func partChunk(offset int, finish string) string {
	return chunk(fmt.Sprintf("data: {\"id\":\"r\",\"offset\":%d,\"tokens\":1,\"text\":\"x\",\"finish_reason\":%q}\n\n", offset, finish))
}

// answerPing answers a ping.
func answerPing(c net.Conn) {
	_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
}

// maxSilence is the longest silence that startCompletion allows.
const maxSilence = 200 * time.Millisecond

// startCompletion sends a prompt and appends the reason of each step of the silence guard to notes, if notes isn't
// nil.
func startCompletion(t *testing.T, c *upstream.Client, addr string, notes *[]decide.Reason) (*upstream.Stream, error) {
	t.Helper()
	var mu sync.Mutex
	return c.Complete(t.Context(), addr, upstream.Completion{RequestID: "r", Attempt: 1, Body: []byte("{}")}, upstream.SilenceLimits{
		Params: stream.NewParams(maxSilence), Deadline: time.Now().Add(20 * time.Second),
		OnStep: func(r decide.Reason) {
			mu.Lock()
			defer mu.Unlock()
			if notes != nil {
				*notes = append(*notes, r)
			}
		},
	})
}

// requireCallError returns err as a *CallError, and fails the test if it is none.
func requireCallError(t *testing.T, err error) *upstream.CallError {
	t.Helper()
	var ce *upstream.CallError
	if !errors.As(err, &ce) {
		t.Fatalf("%v is not a CallError", err)
	}
	return ce
}

// Guards against a stream that hangs on a dead connection. A router between instance and engine loses the state of
// one open connection: the stream stops, while new connections work. The silence is detected, the upstream is probed
// on a new connection, and the old connection is closed.
func TestSilentConnectionIsProbedAndInvalidated(t *testing.T) {
	is := is.New(t)
	e := startServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		for path := readRequest(r); path != ""; path = readRequest(r) {
			if path == wire.PathPing {
				answerPing(c)
				continue
			}
			_, _ = io.WriteString(c, streamHead+partChunk(0, "")) // nothing follows
		}
	})
	c := upstream.New()
	defer c.Close()
	var notes []decide.Reason
	s, err := startCompletion(t, c, e.addr(), &notes)
	is.NoErr(err)
	_, err = s.Next()
	is.NoErr(err)
	_, err = s.Next()
	ce := requireCallError(t, err)
	is.True(ce.Timeout && !ce.UpstreamDead && ce.Sent)
	is.Equal(notes, []decide.Reason{stream.ReasonProbe, stream.ReasonConnectionDead})
	is.Equal(e.conns.Load(), int32(2)) // one for the stream and one for the probe
}

// If the network between both ends is partitioned, neither the stream nor a probe is answered. The error reports the
// upstream as dead, so that the request goes to another one.
func TestUnreachableUpstreamIsReportedDead(t *testing.T) {
	is := is.New(t)
	e := startServer(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		for readRequest(r) != "" {
			continue
		}
	})
	c := upstream.New()
	defer c.Close()
	_, err := startCompletion(t, c, e.addr(), nil)
	ce := requireCallError(t, err)
	is.True(ce.Timeout && ce.UpstreamDead && ce.Sent)
}

// Guards against giving up an engine that computes for a long time. Its comment lines count as activity, although no
// part arrives.
func TestCommentLinesKeepStreamAlive(t *testing.T) {
	is := is.New(t)
	e := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, streamHead)
		for range 10 {
			time.Sleep(maxSilence / 2)
			_, _ = io.WriteString(c, chunk(": working\n"))
		}
		_, _ = io.WriteString(c, partChunk(0, "stop")+chunk("data: [DONE]\n\n")+"0\r\n\r\n")
	})
	c := upstream.New()
	defer c.Close()
	s, err := startCompletion(t, c, e.addr(), nil)
	is.NoErr(err)
	p, err := s.Next()
	is.NoErr(err)
	is.Equal(p.FinishReason, "stop")
	is.Equal(s.Finish(), 0)
}

// Guards against a failed dispatch for each idle connection to an engine that restarted. The first request finds its
// connection closed, and the other idle connections are then not used again.
func TestClosedIdleConnectionInvalidatesTheOthers(t *testing.T) {
	is := is.New(t)
	var restarted atomic.Bool
	e := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		defer func() { _ = c.Close() }()
		for readRequest(r) != "" && !restarted.Load() {
			_, _ = io.WriteString(c, streamHead+partChunk(0, "stop")+chunk("data: [DONE]\n\n")+"0\r\n\r\n")
		}
	})
	c := upstream.New()
	defer c.Close()
	var all []*upstream.Stream
	for range 5 {
		s, err := startCompletion(t, c, e.addr(), nil)
		is.NoErr(err)
		all = append(all, s)
	}
	for _, s := range all {
		_, err := s.Next()
		is.NoErr(err)
		is.Equal(s.Finish(), 0)
	}
	is.Equal(e.conns.Load(), int32(5))
	restarted.Store(true)
	_, err := startCompletion(t, c, e.addr(), nil)
	is.True(requireCallError(t, err).Sent)
	restarted.Store(false)
	s, err := startCompletion(t, c, e.addr(), nil)
	is.NoErr(err) // on a new connection
	is.Equal(e.conns.Load(), int32(6))
	s.Close()
}

// If the connection can't be opened, no byte of the request was sent, and the request has not run.
func TestRefusedConnectionMeansNotRun(t *testing.T) {
	is := is.New(t)
	e := startServer(t, func(int, net.Conn, *bufio.Reader) {})
	addr := e.addr()
	e.close()
	c := upstream.New()
	defer c.Close()
	_, err := startCompletion(t, c, addr, nil)
	is.True(!requireCallError(t, err).MayHaveRun())
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + addr + "/bookings")
	_, err = c.CallNewConnection(t.Context(), addr, req, time.Second)
	is.True(!requireCallError(t, err).MayHaveRun())
}

// If the caller goes away while its stream is silent, the wait ends at once and no goroutine is left.
func TestCancelEndsSilentStream(t *testing.T) {
	is := is.New(t)
	e := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, streamHead+partChunk(0, ""))
		readRequest(r)
	})
	c := upstream.New()
	defer c.Close()
	ctx, cancel := context.WithCancelCause(t.Context())
	s, err := c.Complete(ctx, e.addr(), upstream.Completion{RequestID: "r", Body: []byte("{}")}, upstream.SilenceLimits{
		Params: stream.NewParams(time.Hour), Deadline: time.Now().Add(time.Hour),
	})
	is.NoErr(err)
	_, err = s.Next()
	is.NoErr(err)
	gone := errors.New("gone")
	time.AfterFunc(20*time.Millisecond, func() { cancel(gone) })
	_, err = s.Next()
	is.True(errors.Is(err, gone))
}

// FuzzStream checks that reading a stream ends, returns only parts that are JSON, and reports a complete stream only
// after the last event, whatever an engine sends.
func FuzzStream(f *testing.F) {
	f.Add("data: {\"id\":\"r\",\"offset\":0,\"tokens\":1,\"text\":\"x\"}\n\ndata: [DONE]\n\n")
	f.Add(": working\n\nevent: x\ndata:{}\ndata: [DONE]")
	f.Add("data: {\"id\":1}\n")
	f.Add("data: [DONE]\ndata: {\"offset\":9}\n")
	f.Add(strings.Repeat("data:", 1000))
	f.Fuzz(func(t *testing.T, body string) {
		complete, parts := upstream.ReadParts(strings.NewReader(body))
		if complete && !strings.Contains(body, wire.DoneMark) {
			t.Fatalf("stream is complete without its last event: %q", body)
		}
		if parts > strings.Count(body, "data:") {
			t.Fatalf("%d parts out of %q", parts, body)
		}
	})
}

// Guards against a resumed stream that breaks off. A stream goes silent and resumes on the same engine. The cancel
// of its old dispatch arrives after the new dispatch has begun, and must not end that too. It therefore states the
// attempts that it applies to.
func TestCancelSendsItsAttempt(t *testing.T) {
	is := is.New(t)
	attempts := make(chan string, 1)
	e := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		var req fasthttp.Request
		if req.Read(r) == nil {
			attempts <- string(req.URI().Path()) + " " + string(req.Header.Peek(wire.HeaderAttempt))
			answerPing(c)
		}
	})
	c := upstream.New()
	defer c.Close()
	is.NoErr(c.Cancel(t.Context(), e.addr(), "r", 2))
	is.Equal(<-attempts, "/v1/cancel/r 2")
}
