package capacity_test

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/damaskshelf/damaskshelf/internal/standin/engine"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
)

// counting passes bytes on to target and counts them.
type counting struct {
	net.Listener
	target string
	bytes  atomic.Int64
	all    sync.WaitGroup
}

func newCounting(tb testing.TB, target string) *counting {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	c := &counting{Listener: l, target: target}
	c.all.Go(c.serve)
	tb.Cleanup(func() {
		_ = l.Close()
		c.all.Wait()
	})
	return c
}

func (c *counting) serve() {
	for {
		in, err := c.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", c.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		c.all.Go(func() { c.pass(out, in) })
		c.all.Go(func() { c.pass(in, out) })
	}
}

func (c *counting) pass(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	_, _ = io.Copy(to, io.TeeReader(from, c))
}

// Write counts.
func (c *counting) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return len(p), nil
}

func startEngine(tb testing.TB) *engine.Engine {
	e, err := engine.Start("127.0.0.1:0", engine.Config{ID: "engine-00000", TimeScale: 1})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(e.Close)
	return e
}

// The calls of a reader of an engine: the load report at each renewal, the cache events when the report tells
// of new ones, the state at every tenth report.
var calls = []struct {
	name  string
	bound int64 // bytes both ways
	call  func(c *upstream.Client, addr string) error
}{
	{"load report", 520, func(c *upstream.Client, addr string) error {
		_, err := c.Load(context.Background(), addr)
		return err
	}},
	{"cache events, none", 400, func(c *upstream.Client, addr string) error {
		_, err := c.CacheEvents(context.Background(), addr, 0)
		return err
	}},
	{"state", 420, func(c *upstream.Client, addr string) error {
		_, err := c.State(context.Background(), addr)
		return err
	}},
}

// poll is what a reader of an idle engine does after each renewal of its report.
func poll(tb testing.TB, c *upstream.Client, addr string) {
	if err := calls[0].call(c, addr); err != nil {
		tb.Fatal(err)
	}
}

// TestBytesOfALoadPoll prints the bytes of each call to an idle engine, headers included.
func TestBytesOfALoadPoll(t *testing.T) {
	e := startEngine(t)
	for _, q := range calls {
		l := newCounting(t, e.Addr())
		c := upstream.New()
		const polls = 20
		for range polls {
			if err := q.call(c, l.Addr().String()); err != nil {
				t.Fatal(err)
			}
		}
		c.Close()
		size := l.bytes.Load() / polls
		t.Logf("%s of an idle engine: %d bytes both ways", q.name, size)
		if size > q.bound {
			t.Errorf("%s is over its bound of %d", q.name, q.bound)
		}
	}
}

// BenchmarkLoadPoll takes the client's and the stand-in's processor time together.
func BenchmarkLoadPoll(b *testing.B) {
	e := startEngine(b)
	c := upstream.New()
	defer c.Close()
	b.ReportAllocs()
	defer processorTime(b)()
	for b.Loop() {
		poll(b, c, e.Addr())
	}
}
