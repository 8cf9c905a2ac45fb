package upstream

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide/reach"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// testNet is an instance's network: its own paths, which all work or all fail in one way, and another instance that
// connects to everything.
type testNet struct {
	fails    atomic.Pointer[error] // of direct connections; nil: they open. errHang: they hang
	bypasses atomic.Int64          // connections through the other instance
	slow     bool                  // the other instance takes longer than callers wait
	pause    time.Duration         // for which the process doesn't run after a direct connection that hangs has timed out
}

// errHang makes direct connections hang.
var errHang error = context.DeadlineExceeded

// dial is a Dialer.
func (n *testNet) dial(ctx context.Context, _ string) (net.Conn, error) {
	switch fails := n.fails.Load(); {
	case fails == nil:
		near, _ := net.Pipe()
		return near, nil
	case *fails == errHang:
		<-ctx.Done()
		time.Sleep(n.pause)
		return nil, ctx.Err()
	default:
		return nil, *fails
	}
}

// Dial implements Bypass.
func (n *testNet) Dial(ctx context.Context, _ string) (net.Conn, error) {
	n.bypasses.Add(1)
	if n.slow {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, _ := net.Pipe()
	return tunneledPipe{near}, nil
}

// tunneledPipe is a Tunneled.
type tunneledPipe struct{ net.Conn }

// Via implements Tunneled.
func (tunneledPipe) Via() fleet.InstanceID { return "other" }

// cut makes all direct connections fail with err.
func (n *testNet) cut(err error) { n.fails.Store(&err) }

// newTestPaths returns a client over a testNet.
func newTestPaths() (*testNet, *Client) {
	n := &testNet{}
	return n, NewWithOptions(Options{Dial: n.dial, Bypass: n})
}

// dialVia connects to addr and returns the instance that the connection goes through.
func dialVia(t *testing.T, c *Client, addr string) fleet.InstanceID {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), connectTimeout)
	defer cancel()
	conn, err := c.pool.dial(ctx, addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn.via
}

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for: " + what)
		}
	}
}

// A working path is used alone; one that hangs or is refused costs a request no more than bypassDelay, and once it is
// known to have failed nothing.
func TestFailedPathIsBypassed(t *testing.T) {
	for name, err := range map[string]error{"hangs": errHang, "refused": syscall.ECONNREFUSED} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n, c := newTestPaths()
			is.Equal(dialVia(t, c, "a"), fleet.InstanceID(""))
			is.Equal(n.bypasses.Load(), int64(0))
			n.cut(err)
			began := time.Now()
			is.Equal(dialVia(t, c, "a"), fleet.InstanceID("other"))
			is.True(time.Since(began) < connectTimeout)
			eventually(t, "the path counts as failed", func() bool { return c.pool.paths.order("a") == reach.ThroughOther })
			is.True(c.PathLost(t.Context(), "a"))
		})
	}
}

// Guards against requests that each lose the time of an overdue answer on idle connections over a path that hangs. Where
// only new connections are refused, the idle ones still work.
func TestIdleConnectionsOverHangingPathAreDropped(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		kept bool
	}{"hangs": {errHang, false}, "refused": {syscall.ECONNREFUSED, true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n, client := newTestPaths()
			for _, addr := range []string{"a", "b", "idle"} {
				conn, _ := net.Pipe()
				client.pool.putNew(addr, conn)
			}
			n.cut(c.err)
			dialVia(t, client, "a")
			eventually(t, "one path has failed", func() bool { return client.pool.paths.order("a") == reach.ThroughOther })
			is.Equal(client.pool.takeIdle("a") != nil, c.kept)
			is.True(client.pool.takeIdle("b") != nil)
			dialVia(t, client, "b")
			eventually(t, "the instance counts as cut off", func() bool { return client.pool.paths.order("c") == reach.Both })
			is.Equal(client.pool.takeIdle("idle") != nil, c.kept)
		})
	}
}

// Guards against work that goes through other instances until requests happen to try the own paths again.
func TestFailedPathsAreProbed(t *testing.T) {
	is := is.New(t)
	n, c := newTestPaths()
	go c.ProbePaths(t.Context(), func(addr string) bool { return addr != "gone" })
	n.cut(syscall.ECONNREFUSED)
	for _, addr := range []string{"a", "b", "gone"} {
		is.Equal(dialVia(t, c, addr), fleet.InstanceID("other"))
	}
	eventually(t, "the path to an upstream that is gone is forgotten", func() bool { return c.pool.paths.order("gone") != reach.ThroughOther })
	n.fails.Store(nil)
	eventually(t, "all paths count as working", func() bool {
		return c.pool.paths.order("a") == reach.DirectFirst && c.pool.paths.order("b") == reach.DirectFirst
	})
}

// Guards against an instance that counts as cut off because it did not run for a while itself: the time of its own connections
// was over when it went on, and another instance, which ran, had connected.
func TestOwnPauseIsNoFailedPath(t *testing.T) {
	is := is.New(t)
	n, c := newTestPaths()
	n.pause = 2 * connectTimeout
	n.cut(errHang)
	for _, addr := range []string{"a", "b"} {
		is.Equal(dialVia(t, c, addr), fleet.InstanceID("other"))
	}
	time.Sleep(n.pause + 2*connectTimeout) // the direct connections have ended
	for _, addr := range []string{"a", "b", "c"} {
		is.Equal(c.pool.paths.order(addr), reach.DirectFirst)
	}
}

// An upstream that neither this instance nor another one reaches is no sign of a failed path.
func TestDeadUpstreamIsNoFailedPath(t *testing.T) {
	is := is.New(t)
	n := &testNet{}
	n.cut(syscall.ECONNREFUSED)
	c := NewWithOptions(Options{Dial: n.dial, Bypass: deadBypass{}})
	_, err := c.pool.dial(t.Context(), "a")
	is.True(err != nil)
	is.True(!c.PathLost(t.Context(), "a"))
	is.Equal(c.pool.paths.order("a"), reach.DirectFirst)
}

// deadBypass is a Bypass through which no connection opens.
type deadBypass struct{}

// Dial implements Bypass.
func (deadBypass) Dial(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }

// Guards against a machine short of processor time, on which all connections take long, that opens a second one for each.
func TestSlowConnectionsHaveFewHedges(t *testing.T) {
	is := is.New(t)
	n, c := newTestPaths()
	n.slow = true
	n.cut(errHang)
	var dials sync.WaitGroup
	for i := range 4 * maxHedges {
		dials.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 2*bypassDelay)
			defer cancel()
			_, _ = c.pool.dial(ctx, fmt.Sprint(i))
		})
	}
	dials.Wait()
	is.True(n.bypasses.Load() > 0)
	is.True(n.bypasses.Load() <= maxHedges)
}
