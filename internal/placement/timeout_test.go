package placement

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/peer"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
)

// attachSilentInstance attaches an instance with a prompt in prefill to p. It sends nothing more, and its connection
// stays open.
func attachSilentInstance(t *testing.T, p *testClient, id fleet.InstanceID) {
	t.Helper()
	attachInstance(t, p, id)
}

// attachInstance attaches an instance with a prompt in prefill to p.
func attachInstance(t *testing.T, p *testClient, id fleet.InstanceID) (*drpcconn.Conn, pb.DRPCPlacement_AttachClient) {
	t.Helper()
	conn, err := peer.Dial(t.Context(), p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	stream, err := pb.NewDRPCPlacementClient(conn).Attach(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	work := &pb.Running{Ask: &pb.Ask{Id: "long", Service: "s", Prompt: 100_000, DeadlineMs: 60_000}, Upstream: "u"}
	if err := stream.Send(&pb.FromEntry{Entry: string(id), Running: []*pb.Running{work}}); err != nil {
		t.Fatal(err)
	}
	return conn, stream
}

// Guards against logs in which an instance whose process ended can't be told from one that is silent.
func TestEndOfSessionIsLoggedWithCause(t *testing.T) {
	is := is.New(t)
	file, err := os.Create(filepath.Join(t.TempDir(), "log"))
	is.NoErr(err)
	defer func() { _ = file.Close() }()
	p := newLoggingClient(t, "i1", "d", hclog.New(&hclog.LoggerOptions{Output: file}))
	p.setMembers(t, 1, map[fleet.InstanceID]string{"i1": p.addr})
	waitUntil(t, "the instance dispatches for itself", func() bool { return p.Dispatcher() == "i1" })
	for _, c := range []struct {
		id    fleet.InstanceID
		end   func(*drpcconn.Conn, pb.DRPCPlacement_AttachClient)
		cause string
	}{
		{"silent", func(*drpcconn.Conn, pb.DRPCPlacement_AttachClient) {}, causeTimedOut},
		{"closed", func(_ *drpcconn.Conn, s pb.DRPCPlacement_AttachClient) { _ = s.Close() }, causeInOrder},
		{"ended", func(c *drpcconn.Conn, _ pb.DRPCPlacement_AttachClient) { _ = c.Transport().Close() }, causeConnEnded},
	} {
		conn, stream := attachInstance(t, p, c.id)
		waitUntil(t, "attached", func() bool { return p.attached(c.id) })
		c.end(conn, stream)
		waitUntil(t, "detached", func() bool { return !p.attached(c.id) })
		raw, err := os.ReadFile(file.Name())
		is.NoErr(err)
		if want := fmt.Sprintf("instance detached: entry=%s cause=\"%s", c.id, c.cause); !strings.Contains(string(raw), want) {
			t.Errorf("no line %q in\n%s", want, raw)
		}
	}
}

// runningRequests returns the number of a service's requests that the dispatcher holds as running.
func (p *testClient) runningRequests(service string) int {
	p.hub.mu.Lock()
	defer p.hub.mu.Unlock()
	return p.hub.serviceState(service).Running()
}

// Guards against short prompts that are late for half a minute although most engines are idle. An instance loses power
// while fifteen engines process its prompts, and its connection to the dispatcher never closes. If the dispatcher keeps
// the prefill work in its records, these engines have seconds of pending prefill and get no short prompts.
func TestSilentInstanceIsDetached(t *testing.T) {
	p := newTestClient(t, "i1", "d")
	p.setMembers(t, 1, map[fleet.InstanceID]string{"i1": p.addr})
	waitUntil(t, "the instance dispatches for itself", func() bool { return p.Dispatcher() == "i1" })
	attachSilentInstance(t, p, "i2")
	waitUntil(t, "attached", func() bool { return p.attached("i2") && p.runningRequests("s") == 1 })
	waitUntil(t, "detached", func() bool { return !p.attached("i2") })
	is.New(t).Equal(p.runningRequests("s"), 0)
}

// Guards against the loss of an instance's session while the instance has no requests.
func TestIdleInstanceStaysAttached(t *testing.T) {
	first, second, third, _ := newConnectedClients(t)
	for _, p := range []*testClient{second, third} {
		waitUntil(t, "attached", func() bool { return p.Dispatcher() == first.self && first.attached(p.self) })
	}
	first.Client.mu.Lock()
	before := first.Client.session
	first.Client.mu.Unlock()
	sessions := func() (a, b *session) {
		for _, p := range []*testClient{second, third} {
			p.Client.mu.Lock()
			a, b = b, p.Client.session
			p.Client.mu.Unlock()
		}
		return a, b
	}
	a, b := sessions()
	time.Sleep(4 * sessionTimeout)
	x, y := sessions()
	is := is.New(t)
	is.True(before != nil)
	is.True(a == x && b == y)
}

// Guards against requests that are placed locally after a stop of all instances, while those that start first try a
// first dispatcher that has no power yet and refuses no connection. They must reach the next dispatcher before their
// requests stop waiting.
func TestConnectTimeoutIsShorterThanSessionWait(t *testing.T) {
	is := is.New(t)
	is.True(connectTimeout < sessionWait)
	is.True(connectTimeout < attachTimeout)
}

// Guards against half of the fleet ending its sessions while a new configuration of a thousand routes fills the
// dispatcher's link for a third of a second and heartbeats wait behind it: placement requests are sent again, and
// prompts are late. Parts of a message that arrive in time show that the dispatcher is alive.
func TestPartialMessagesKeepSessionAlive(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	s := &session{openedAt: time.Now(), done: make(chan struct{})}
	s.recordReceived()
	s.endOnTimeout(attachTimeout, func() { close(ended) })
	for range 10 {
		time.Sleep(sessionTimeout / 3)
		s.recordReceived()
	}
	select {
	case <-ended:
		t.Fatal("the session ended while parts of a message arrived")
	default:
	}
	began := time.Now()
	<-ended
	is.True(s.timedOut.Load())
	is.True(time.Since(began) < 2*sessionTimeout)
}

// silentDispatcher accepts every instance that attaches, and sends nothing more.
type silentDispatcher struct{ received atomic.Int64 }

// Attach implements placementpb.DRPCPlacementServer. It counts the messages after the first one.
func (d *silentDispatcher) Attach(s pb.DRPCPlacement_AttachStream) error {
	if _, err := s.Recv(); err != nil {
		return err
	}
	if err := s.Send(&pb.ToEntry{}); err != nil {
		return err
	}
	for {
		if _, err := s.Recv(); err != nil {
			return err
		}
		d.received.Add(1)
	}
}

// Guards against a dispatcher that drops an instance's work because the instance only answers heartbeats, which may
// wait behind a long copy. Instances send heartbeats by themselves.
func TestInstanceSendsHeartbeatsUnprompted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d, mux := &silentDispatcher{}, drpcmux.New()
	if err := pb.DRPCRegisterPlacement(mux, d); err != nil {
		t.Fatal(err)
	}
	go func() { _ = drpcserver.New(mux).Serve(t.Context(), l) }()
	p := newTestClient(t, "i1", "d")
	s, err := p.dialSession(t.Context(), &catalog.Member{ID: "quiet", Addr: l.Addr().String()}, p.firstMessage)
	if err != nil {
		t.Fatal(err)
	}
	defer s.end()
	time.Sleep(sessionTimeout - heartbeatInterval/2)
	is.New(t).True(d.received.Load() >= 2) // one for each heartbeat that the dispatcher would have sent
}

// Guards against requests that wait for a dispatcher whose connection never closes, because something between the two
// ends has lost its state. The session must time out.
func TestSilentDispatcherTimesOut(t *testing.T) {
	is := is.New(t)
	life, cancel := context.WithCancel(context.Background())
	s := &session{peerID: "silent", openedAt: time.Now(), end: cancel, done: life.Done()}
	s.recordReceived()
	s.endOnTimeout(sessionTimeout, cancel)
	select {
	case <-s.done:
		is.True(s.timedOut.Load())
	case <-time.After(10 * sessionTimeout):
		t.Fatal("the session did not time out")
	}
}

// Guards against places on upstreams that are leaving or whose failure domain is out. An instance would have to
// return such a place, or would send the request there if it doesn't know better.
func TestDispatcherSkipsLeavingUpstreams(t *testing.T) {
	is := is.New(t)
	p := newTestClient(t, "i0", "d")
	h := newHub("self", p.follower, hclog.NewNullLogger())
	all := []*catalog.Upstream{
		{ID: "leaving", Service: "s", Domain: "north", Slots: 4, Leaving: true},
		{ID: "out", Service: "s", Domain: "south", Slots: 4},
		{ID: "sound", Service: "s", Domain: "north", Slots: 4},
	}
	snap := catalog.NewSnapshot(&catalog.Config{}, all, map[fleet.DomainID]bool{"south": true}, nil, 1)
	h.snapshot = func() *catalog.Snapshot { return snap }
	out := localSink{out: newOutbox[*pb.ToEntry]()}
	h.attach("e", out, &pb.FromEntry{Domain: "north"})
	for i := range 6 {
		h.receive("e", out, &pb.FromEntry{Asks: []*pb.Ask{{Id: fmt.Sprint("r", i), Service: "s", PatienceMs: 5000, DeadlineMs: 5000}}})
	}
	h.mu.Lock()
	h.step(h.now()) // receive leaves it to run if the step before took long, as beside load
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var placed []string
	for _, m := range out.out.takeAll(ctx) {
		for _, place := range m.Places {
			placed = append(placed, place.Upstream)
		}
	}
	is.Equal(placed, []string{"sound", "sound", "sound", "sound"})
}

// Guards against a dispatcher whose process ends at a message of an instance that reports a running request without saying
// what it asked for, as another build may.
func TestRunningRequestWithoutAskLeavesDispatcherServing(t *testing.T) {
	p := newTestClient(t, "i1", "d")
	p.setMembers(t, 1, map[fleet.InstanceID]string{"i1": p.addr})
	waitUntil(t, "the instance dispatches for itself", func() bool { return p.Dispatcher() == "i1" })
	conn, err := peer.Dial(t.Context(), p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	stream, err := pb.NewDRPCPlacementClient(conn).Attach(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	running := []*pb.Running{{Upstream: "u"}, {Ask: &pb.Ask{Id: "r", Service: "s"}, Upstream: "u"}}
	if err := stream.Send(&pb.FromEntry{Entry: "i2", Running: running}); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the other request is known", func() bool { return p.attached("i2") && p.runningRequests("s") == 1 })
}
