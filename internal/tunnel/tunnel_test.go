package tunnel_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/entry/gate"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	"github.com/damaskshelf/damaskshelf/internal/peer"
	"github.com/damaskshelf/damaskshelf/internal/tunnel"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
)

// world is an upstream, an instance "other" that serves tunnels, and the client of an instance "self".
type world struct {
	t         *testing.T
	upstream  net.Listener
	snapshot  atomic.Pointer[catalog.Snapshot]
	entry     *catalog.Upstream
	gate      gate.Gate
	untrusted atomic.Bool
	heldOff   atomic.Bool
	max       int64
	client    *tunnel.Client
	stop      context.CancelFunc // ends the other instance's server and its connections
}

// newWorld starts a world whose upstream serves each connection with serve.
func newWorld(t *testing.T, serve func(net.Conn)) *world {
	t.Helper()
	w := &world{t: t, max: 10, upstream: listen(t)}
	go func() {
		for {
			c, err := w.upstream.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	peers := listen(t)
	w.entry = &catalog.Upstream{ID: "u", Addr: w.upstream.Addr().String(), Domain: "a"}
	w.publish(&catalog.Member{ID: "other", Addr: peers.Addr().String(), Domain: "a"}, &catalog.Member{ID: "self", Domain: "a"})
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	t.Cleanup(stop)
	server := tunnel.NewServer(tunnel.ServerDeps{
		Snapshot: w.snapshot.Load, Untrusted: w.untrusted.Load, HeldOff: func(*catalog.Upstream) bool { return w.heldOff.Load() },
		Client: upstream.New(), Gate: &w.gate, Max: w.max, Metrics: metrics.New(),
		CallerStall: time.Minute,
	})
	mux := drpcmux.New()
	if err := server.Register(mux); err != nil {
		t.Fatal(err)
	}
	go func() { _ = drpcserver.New(mux).Serve(ctx, peer.LimitListener(peers, 100)) }()
	w.client = tunnel.NewClient(tunnel.ClientDeps{Self: "self", Domain: "a", Snapshot: w.snapshot.Load, Metrics: metrics.New()})
	return w
}

// publish sets the members and the upstream of the snapshot.
func (w *world) publish(members ...*catalog.Member) {
	w.snapshot.Store((&catalog.Snapshot{}).WithMembers(members).WithUpstreams([]*catalog.Upstream{w.entry}, 1))
}

// listen returns a listener that is closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// dial opens a tunnel to the upstream.
func (w *world) dial() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return w.client.Dial(ctx, w.entry.Addr)
}

// mustDial opens a tunnel to the upstream, which is closed at the end of the test.
func (w *world) mustDial() net.Conn {
	w.t.Helper()
	c, err := w.dial()
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return c
}

// Guards against an answer without a length that counts as complete although its end was lost: only an upstream that
// closes in order ends it.
func TestOnlyOrderlyEndIsEOF(t *testing.T) {
	const half = "half of it"
	for name, c := range map[string]struct {
		end  func(w *world, c net.Conn)
		want error
	}{
		"closed": {func(_ *world, c net.Conn) { _ = c.Close() }, nil},
		"reset": {func(_ *world, c net.Conn) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}, syscall.ECONNRESET},
		"other instance lost": {func(w *world, _ net.Conn) { w.stop() }, tunnel.ErrLost},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conns := make(chan net.Conn, 1)
			w := newWorld(t, func(c net.Conn) {
				_, _ = c.Read(make([]byte, 3))
				_, _ = io.WriteString(c, half)
				conns <- c
			})
			tunneled := w.mustDial()
			is.Equal(tunneled.(upstream.Tunneled).Via(), fleet.InstanceID("other"))
			_, err := io.WriteString(tunneled, "ask")
			is.NoErr(err)
			got := make([]byte, len(half))
			_, err = io.ReadFull(tunneled, got)
			is.NoErr(err)
			is.Equal(string(got), half)
			c.end(w, <-conns)
			_, err = io.ReadAll(tunneled)
			is.True(errors.Is(err, c.want))
		})
	}
}

// An upstream stops the work on a request when its connection closes, so that the end of a tunnel must reach it.
func TestClosedTunnelClosesUpstreamConnection(t *testing.T) {
	closed := make(chan struct{})
	w := newWorld(t, func(c net.Conn) {
		_, _ = io.ReadAll(c)
		close(closed)
	})
	_ = w.mustDial().Close()
	select {
	case <-closed:
	case <-time.After(400 * time.Millisecond):
		t.Fatal("the upstream's connection is still open")
	}
}

// Guards against an instance that buffers an answer without bound because the caller reads slowly.
func TestSlowReaderStopsUpstream(t *testing.T) {
	const bound = 32 << 20
	var written atomic.Int64
	w := newWorld(t, func(c net.Conn) {
		chunk := make([]byte, 64<<10)
		for written.Load() < 2*bound {
			n, err := c.Write(chunk)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	_, _ = io.ReadFull(w.mustDial(), make([]byte, 1000))
	time.Sleep(500 * time.Millisecond)
	if got := written.Load(); got > bound {
		t.Fatalf("%d bytes were taken from the upstream", got)
	}
}

// Guards against an answer that is cut because its caller reads nothing for a while: the instance that asked stops reading too,
// and the other one takes that for its loss after its own, shorter time.
func TestSlowReaderLosesNoTunnel(t *testing.T) {
	is := is.New(t)
	const size = 48 << 20 // more than all buffers on the way hold
	const stall = 6 * time.Second
	w := newWorld(t, func(c net.Conn) {
		_, _ = c.Write(make([]byte, size))
		_ = c.Close()
	})
	tunneled := w.mustDial()
	_ = tunneled.SetDeadline(time.Now().Add(stall + 30*time.Second))
	_, err := io.ReadFull(tunneled, make([]byte, 1000))
	is.NoErr(err)
	time.Sleep(stall)
	n, err := io.Copy(io.Discard, tunneled)
	is.NoErr(err)
	is.Equal(n, int64(size-1000))
}

// An instance opens no tunnel to an upstream that it would send nothing to itself, and none while it is stopping or
// serves as many as it may.
func TestTunnelIsRefused(t *testing.T) {
	for name, prepare := range map[string]func(w *world){
		"leaving": func(w *world) {
			u := *w.entry
			u.Leaving = true
			w.entry = &u
			w.publish(w.snapshot.Load().Members...)
		},
		"domain out": func(w *world) {
			w.snapshot.Store(w.snapshot.Load().WithDomainsOut(map[fleet.DomainID]bool{"a": true}))
		},
		"unknown": func(w *world) {
			w.snapshot.Store(w.snapshot.Load().WithUpstreams(nil, 2))
		},
		"held off":  func(w *world) { w.heldOff.Store(true) },
		"paused":    func(w *world) { w.untrusted.Store(true) },
		"not ready": func(w *world) { w.gate.MarkUnready() },
		"stopping":  func(w *world) { w.gate.RefuseNew() },
		"dead":      func(w *world) { _ = w.upstream.Close() },
		"busy": func(w *world) {
			for range w.max {
				w.mustDial()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, func(c net.Conn) { _, _ = io.ReadAll(c) })
			prepare(w)
			if _, err := w.dial(); !errors.Is(err, tunnel.ErrNoInstance) {
				t.Fatalf("error %v", err)
			}
		})
	}
}

// A planned stop waits until the tunnels have ended.
func TestStopWaitsForTunnels(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, func(c net.Conn) { _, _ = io.ReadAll(c) })
	c := w.mustDial()
	w.gate.RefuseNew()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	is.True(w.gate.AwaitIdle(ctx) != nil)
	_ = c.Close()
	ctx, cancel = context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	is.NoErr(w.gate.AwaitIdle(ctx))
}

// A request that must stay in certain regions doesn't pass through an instance in another one.
func TestTunnelStaysInUpstreamsRegion(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, func(c net.Conn) { _, _ = io.ReadAll(c) })
	members := w.snapshot.Load().Members
	client := func(otherRegion fleet.RegionID) *tunnel.Client {
		return tunnel.NewClient(tunnel.ClientDeps{
			Self: "self", Domain: "b", Snapshot: w.snapshot.Load, Metrics: metrics.New(),
			Regions: map[fleet.DomainID]fleet.RegionID{"a": "north", "b": otherRegion},
		})
	}
	other := *members[0]
	other.Domain = "b"
	w.publish(&other)
	_, err := client("south").Dial(t.Context(), w.entry.Addr)
	is.True(errors.Is(err, tunnel.ErrNoInstance))
	c, err := client("north").Dial(t.Context(), w.entry.Addr)
	is.NoErr(err)
	_ = c.Close()
}

// Guards against requests that each wait for an instance without power before another one is asked.
func TestSilentInstanceIsAskedLast(t *testing.T) {
	w := newWorld(t, func(c net.Conn) { _, _ = io.ReadAll(c) })
	members := w.snapshot.Load().Members
	w.publish(append(members, &catalog.Member{ID: "silent", Addr: listen(t).Addr().String(), Domain: "a"})...)
	slow := 0
	for range 16 {
		began := time.Now()
		_ = w.mustDial().Close()
		if time.Since(began) > 40*time.Millisecond {
			slow++
		}
	}
	if slow > 1 {
		t.Fatalf("%d of 16 connections waited for the silent instance", slow)
	}
}
