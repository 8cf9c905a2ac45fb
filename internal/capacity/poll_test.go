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

// countingProxy forwards connections to target and counts the bytes in both directions.
type countingProxy struct {
	net.Listener
	target string
	bytes  atomic.Int64
	wg     sync.WaitGroup
}

// newCountingProxy starts a proxy on a loopback listener until the test ends.
func newCountingProxy(tb testing.TB, target string) *countingProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	c := &countingProxy{Listener: l, target: target}
	c.wg.Go(c.serve)
	tb.Cleanup(func() {
		_ = l.Close()
		c.wg.Wait()
	})
	return c
}

// serve accepts connections and forwards each to target, until the listener is closed.
func (c *countingProxy) serve() {
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
		c.wg.Go(func() { c.copyBytes(out, in) })
		c.wg.Go(func() { c.copyBytes(in, out) })
	}
}

// copyBytes forwards and counts one direction of a connection until it ends.
func (c *countingProxy) copyBytes(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	_, _ = io.Copy(to, io.TeeReader(from, c))
}

// Write counts the bytes that copyBytes forwards.
func (c *countingProxy) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return len(p), nil
}

// startEngine starts a stand-in engine, which stays idle until the test ends.
func startEngine(tb testing.TB) *engine.Engine {
	e, err := engine.Start("127.0.0.1:0", engine.Config{ID: "engine-00000", TimeScale: 1})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(e.Close)
	return e
}

// pollCalls are the calls of an instance that polls an engine: the load report at each renewal, the cache events when
// the report shows new ones, and the state at every tenth report.
var pollCalls = []struct {
	name  string
	bound int64 // bytes in both directions
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

// pollLoad makes the one call that an instance makes to an idle engine at each renewal of its load report.
func pollLoad(tb testing.TB, c *upstream.Client, addr string) {
	if err := pollCalls[0].call(c, addr); err != nil {
		tb.Fatal(err)
	}
}

// The bytes of each call to an idle engine, headers included, must not exceed its bound. The test also prints them.
func TestLoadPollBytes(t *testing.T) {
	e := startEngine(t)
	for _, call := range pollCalls {
		proxy := newCountingProxy(t, e.Addr())
		c := upstream.New()
		const polls = 20
		for range polls {
			if err := call.call(c, proxy.Addr().String()); err != nil {
				t.Fatal(err)
			}
		}
		c.Close()
		size := proxy.bytes.Load() / polls
		t.Logf("%s of an idle engine: %d bytes both ways", call.name, size)
		if size > call.bound {
			t.Errorf("%s is over its bound of %d", call.name, call.bound)
		}
	}
}

// BenchmarkLoadPoll measures one poll of a load report, with the CPU time of both the client and the stand-in engine.
func BenchmarkLoadPoll(b *testing.B) {
	e := startEngine(b)
	c := upstream.New()
	defer c.Close()
	b.ReportAllocs()
	defer measureCPUTime(b)()
	for b.Loop() {
		pollLoad(b, c, e.Addr())
	}
}
