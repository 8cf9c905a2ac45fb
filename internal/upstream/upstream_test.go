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

// engine is a raw server: each connection is handled by serve, which gets the connection's number from 0.
type engine struct {
	l     net.Listener
	conns atomic.Int32
	wg    sync.WaitGroup
	mu    sync.Mutex
	open  []net.Conn // guarded by mu
}

func serve(t *testing.T, handle func(n int, c net.Conn, r *bufio.Reader)) *engine {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &engine{l: l}
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

func (e *engine) addr() string { return e.l.Addr().String() }

func (e *engine) close() {
	_ = e.l.Close()
	e.mu.Lock()
	for _, c := range e.open {
		_ = c.Close()
	}
	e.mu.Unlock()
	e.wg.Wait()
}

// request reads one request off the connection, and gives its path; empty at the connection's end.
func request(r *bufio.Reader) string {
	var req fasthttp.Request
	if err := req.Read(r); err != nil {
		return ""
	}
	return string(req.URI().Path())
}

const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Boot-Id: b1\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func event(offset int, finish string) string {
	return chunk(fmt.Sprintf("data: {\"id\":\"r\",\"offset\":%d,\"tokens\":1,\"text\":\"x\",\"finish_reason\":%q}\n\n", offset, finish))
}

// answerPing answers a probe.
func answerPing(c net.Conn) {
	_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
}

const gap = 200 * time.Millisecond

// complete sends a prompt whose silences are noted in notes.
func complete(t *testing.T, c *upstream.Client, addr string, notes *[]decide.Reason) (*upstream.Stream, error) {
	t.Helper()
	var mu sync.Mutex
	return c.Complete(t.Context(), addr, upstream.Completion{RequestID: "r", Attempt: 1, Body: []byte("{}")}, upstream.SilenceLimits{
		Params: stream.NewParams(gap), Deadline: time.Now().Add(20 * time.Second),
		OnStep: func(r decide.Reason) {
			mu.Lock()
			defer mu.Unlock()
			if notes != nil {
				*notes = append(*notes, r)
			}
		},
	})
}

func callError(t *testing.T, err error) *upstream.CallError {
	t.Helper()
	var ce *upstream.CallError
	if !errors.As(err, &ce) {
		t.Fatalf("%v is no CallError", err)
	}
	return ce
}

// A router between entry and engine forgets one open connection. The stream stops, new connections work.
// The silence is found, the upstream is probed over a new connection, and the old one is given up.
func TestSilentConnectionIsProbedAndCondemned(t *testing.T) {
	is := is.New(t)
	e := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		for path := request(r); path != ""; path = request(r) {
			if path == wire.PathPing {
				answerPing(c)
				continue
			}
			_, _ = io.WriteString(c, head+event(0, "")) // and then nothing more
		}
	})
	c := upstream.New()
	defer c.Close()
	var notes []decide.Reason
	s, err := complete(t, c, e.addr(), &notes)
	is.NoErr(err)
	_, err = s.Next()
	is.NoErr(err)
	_, err = s.Next()
	ce := callError(t, err)
	is.True(ce.Timeout && !ce.UpstreamDead && ce.Sent)
	is.Equal(notes, []decide.Reason{stream.ReasonProbe, stream.ReasonConnectionDead})
	is.Equal(e.conns.Load(), int32(2)) // the stream's and the probe's
}

// Both ends are cut off from each other: neither the stream nor a probe is answered, so the request goes
// to another upstream.
func TestDeadUpstreamIsLeft(t *testing.T) {
	is := is.New(t)
	e := serve(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		for request(r) != "" {
			continue
		}
	})
	c := upstream.New()
	defer c.Close()
	_, err := complete(t, c, e.addr(), nil)
	ce := callError(t, err)
	is.True(ce.Timeout && ce.UpstreamDead && ce.Sent)
}

// An engine computes for long and says so: comment lines are signs of life, though no part comes.
func TestWorkingEngineIsNotSilent(t *testing.T) {
	is := is.New(t)
	e := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		request(r)
		_, _ = io.WriteString(c, head)
		for range 10 {
			time.Sleep(gap / 2)
			_, _ = io.WriteString(c, chunk(": working\n"))
		}
		_, _ = io.WriteString(c, event(0, "stop")+chunk("data: [DONE]\n\n")+"0\r\n\r\n")
	})
	c := upstream.New()
	defer c.Close()
	s, err := complete(t, c, e.addr(), nil)
	is.NoErr(err)
	p, err := s.Next()
	is.NoErr(err)
	is.Equal(p.FinishReason, "stop")
	is.Equal(s.Finish(), 0)
}

// An engine restarts while connections to it are idle. The first request finds its connection cut; the
// others' connections must not each cost a request too.
func TestOneCutIdleConnectionCondemnsTheOthers(t *testing.T) {
	is := is.New(t)
	var restarted atomic.Bool
	e := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		defer func() { _ = c.Close() }()
		for request(r) != "" && !restarted.Load() {
			_, _ = io.WriteString(c, head+event(0, "stop")+chunk("data: [DONE]\n\n")+"0\r\n\r\n")
		}
	})
	c := upstream.New()
	defer c.Close()
	var all []*upstream.Stream
	for range 5 {
		s, err := complete(t, c, e.addr(), nil)
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
	_, err := complete(t, c, e.addr(), nil)
	is.True(callError(t, err).Sent)
	restarted.Store(false)
	s, err := complete(t, c, e.addr(), nil)
	is.NoErr(err) // over a new connection
	is.Equal(e.conns.Load(), int32(6))
	s.Close()
}

// Nothing of a request was sent when its connection could not be opened: it is "not run".
func TestRefusedConnectionHasNotRun(t *testing.T) {
	is := is.New(t)
	e := serve(t, func(int, net.Conn, *bufio.Reader) {})
	addr := e.addr()
	e.close()
	c := upstream.New()
	defer c.Close()
	_, err := complete(t, c, addr, nil)
	is.True(!callError(t, err).MayHaveRun())
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + addr + "/bookings")
	_, err = c.CallNewConnection(t.Context(), addr, req, time.Second)
	is.True(!callError(t, err).MayHaveRun())
}

// A caller goes away while its stream is silent: the wait ends at once, and nothing is left behind.
func TestCancelWakesASilentStream(t *testing.T) {
	is := is.New(t)
	e := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		request(r)
		_, _ = io.WriteString(c, head+event(0, ""))
		request(r)
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

// Whatever an engine writes on a stream, reading it ends, gives no part that isn't JSON, and says
// "whole" only after the last event.
func FuzzStream(f *testing.F) {
	f.Add("data: {\"id\":\"r\",\"offset\":0,\"tokens\":1,\"text\":\"x\"}\n\ndata: [DONE]\n\n")
	f.Add(": working\n\nevent: x\ndata:{}\ndata: [DONE]")
	f.Add("data: {\"id\":1}\n")
	f.Add("data: [DONE]\ndata: {\"offset\":9}\n")
	f.Add(strings.Repeat("data:", 1000))
	f.Fuzz(func(t *testing.T, body string) {
		whole, parts := upstream.ReadEvents(strings.NewReader(body))
		if whole && !strings.Contains(body, wire.DoneMark) {
			t.Fatalf("whole without the last event: %q", body)
		}
		if parts > strings.Count(body, "data:") {
			t.Fatalf("%d parts out of %q", parts, body)
		}
	})
}

// A stream goes silent and is resumed on the same engine. The cancel of its old dispatch comes after the
// new one has begun, and ended that too: the caller saw its answer break off. It names the attempts it means.
func TestCancelNamesItsAttempt(t *testing.T) {
	is := is.New(t)
	attempts := make(chan string, 1)
	e := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
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
