package placement

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/gateway"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

// testClient is a Client that serves on loopback. Each has members of its own, so that a dispatcher that is
// unreachable for one is reachable for others.
type testClient struct {
	*Client
	addr     string
	listener *resettableListener
}

// resettableListener is a listener that can close all connections that it has accepted.
type resettableListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn // guarded by mu
}

// Accept implements net.Listener.
func (l *resettableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
	}
	return c, err
}

// resetAll closes all accepted connections.
func (l *resettableListener) resetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

// maxTestConns is the number of connections that a testClient accepts.
const maxTestConns = 4096

// deadAddr is an address that refuses connections.
const deadAddr = "127.0.0.1:1"

// newTestFollower returns a Follower without a store, whose copies a test sets.
func newTestFollower() *watch.Follower {
	return watch.New(watch.Deps{Kinds: watch.Kinds{Config: "c", Upstreams: "u", DomainsOut: "o"}, Log: hclog.NewNullLogger()})
}

// newTestClient starts a client without members, which runs until the test ends.
func newTestClient(t *testing.T, id fleet.InstanceID, domain fleet.DomainID) *testClient {
	t.Helper()
	return startTestClient(t, id, domain, newTestFollower(), hclog.NewNullLogger())
}

// newLoggingClient is newTestClient for a client that logs to log.
func newLoggingClient(t *testing.T, id fleet.InstanceID, domain fleet.DomainID, log hclog.Logger) *testClient {
	t.Helper()
	return startTestClient(t, id, domain, newTestFollower(), log)
}

// newTestClientOf is newTestClient for a client with the given copies of the store.
func newTestClientOf(t *testing.T, id fleet.InstanceID, domain fleet.DomainID, f *watch.Follower) *testClient {
	t.Helper()
	return startTestClient(t, id, domain, f, hclog.NewNullLogger())
}

// startTestClient starts a client that runs until the test ends.
func startTestClient(t *testing.T, id fleet.InstanceID, domain fleet.DomainID, f *watch.Follower, log hclog.Logger) *testClient {
	t.Helper()
	bound, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &resettableListener{Listener: bound}
	p := &testClient{Client: NewClient(id, domain, f, log), addr: l.Addr().String(), listener: l}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- p.Serve(ctx, l, maxTestConns) }()
	go func() {
		p.Run(ctx)
		done <- nil
	}()
	t.Cleanup(func() {
		cancel()
		for range 2 {
			if err := <-done; err != nil {
				t.Errorf("serve: %v", err)
			}
		}
	})
	return p
}

// setMembers sets the members that the client knows, with their addresses.
func (p *testClient) setMembers(t *testing.T, revision uint64, addrs map[fleet.InstanceID]string) {
	t.Helper()
	p.setMembersOf(t, revision, 0, addrs)
}

// setMembersOf sets the members that the client knows, with their addresses, all of the same incarnation.
func (p *testClient) setMembersOf(t *testing.T, revision, incarnation uint64, addrs map[fleet.InstanceID]string) {
	t.Helper()
	c := watch.Change{Kind: watch.KindMembers, Full: true, To: revision}
	for id, addr := range addrs {
		raw, err := json.Marshal(map[string]any{"peer_addr": addr, "cpu_share": 1, "incarnation": incarnation, "failure_domain": "d-" + string(id)})
		if err != nil {
			t.Fatal(err)
		}
		c.Objects = append(c.Objects, wire.Object{Kind: watch.KindMembers, Name: string(id), Version: revision, Value: raw})
	}
	p.follower.ApplyChange(c)
}

// attached reports whether an instance has a session with this one as the dispatcher.
func (p *testClient) attached(id fleet.InstanceID) bool { return p.hub.attached(id) }

// waitUntil waits until ok returns true, and fails the test after 10 s. what describes the condition.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting: %s", what)
		}
	}
}

// newTestClients returns clients in dispatcher order.
func newTestClients(t *testing.T) (first, second, third *testClient) {
	t.Helper()
	all := map[fleet.InstanceID]*testClient{}
	addrs := map[fleet.InstanceID]string{}
	for _, id := range []fleet.InstanceID{"i1", "i2", "i3"} {
		all[id] = newTestClient(t, id, "d-"+fleet.DomainID(id))
		addrs[id] = all[id].addr
	}
	// A client that is not a member itself computes the order.
	f := newTestFollower()
	probe := &testClient{Client: NewClient("probe", "d", f, hclog.NewNullLogger())}
	probe.setMembers(t, 1, addrs)
	var order []*testClient
	for _, m := range probe.dispatcherOrder() {
		order = append(order, all[m.ID])
	}
	return order[0], order[1], order[2]
}

// newConnectedClients returns clients in dispatcher order that know each other as members.
func newConnectedClients(t *testing.T) (first, second, third *testClient, addrs map[fleet.InstanceID]string) {
	t.Helper()
	first, second, third = newTestClients(t)
	addrs = map[fleet.InstanceID]string{first.self: first.addr, second.self: second.addr, third.self: third.addr}
	for _, p := range []*testClient{first, second, third} {
		p.setMembers(t, 2, addrs)
	}
	return first, second, third, addrs
}

// Guards against two dispatchers on the same engines while two failure domains are partitioned and a third reaches
// both, which makes streams pause. An instance that can't reach the first dispatcher attaches through one that can,
// even if it is itself the next in dispatcher order.
func TestUnreachableDispatcherIsReachedThroughRelay(t *testing.T) {
	is := is.New(t)
	first, second, third := newTestClients(t)
	addrs := map[fleet.InstanceID]string{first.self: first.addr, second.self: second.addr, third.self: third.addr}
	for _, p := range []*testClient{first, third} {
		p.setMembers(t, 2, addrs)
	}
	waitUntil(t, "the third is attached", func() bool { return first.attached(third.self) })
	addrs[first.self] = deadAddr
	second.setMembers(t, 2, addrs)
	waitUntil(t, "the second is attached through the third", func() bool {
		return second.Dispatcher() == third.self && first.attached(second.self)
	})
	is.True(!second.attached(second.self))
	// The path is open again, and the instance returns to the first dispatcher by itself.
	addrs[first.self] = first.addr
	second.setMembers(t, 3, addrs)
	waitUntil(t, "the second attaches to the first", func() bool { return second.Dispatcher() == first.self })
}

// Guards against instances that wait for a dead dispatcher because each attaches to another instance that should relay
// to it. If no member reaches the dispatcher, the next one in dispatcher order takes over.
func TestNextDispatcherTakesOverFromDeadOne(t *testing.T) {
	first, second, third := newTestClients(t)
	addrs := map[fleet.InstanceID]string{first.self: deadAddr, second.self: second.addr, third.self: third.addr}
	second.setMembers(t, 2, addrs)
	third.setMembers(t, 2, addrs)
	waitUntil(t, "the second takes over", func() bool {
		return second.Dispatcher() == second.self && third.Dispatcher() == second.self
	})
}

// Guards against requests that wait until they time out after the session ended and no other dispatcher is reachable.
// The instance must place them by its own view.
func TestRequestsArePlacedLocallyWithoutDispatcher(t *testing.T) {
	is := is.New(t)
	f := newTestFollower()
	c := NewClient("i1", "d", f, hclog.NewNullLogger())
	asked := make(chan struct{}, 1)
	ended := make(chan struct{})
	c.session = &session{peerID: "gone", done: ended, end: func() {}, send: func(*pb.FromEntry) { asked <- struct{}{} }}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answered := make(chan error, 1)
	go func() {
		_, err := c.Place(ctx, gateway.PlacementRequest{ID: "r1", Service: "s"})
		answered <- err
	}()
	<-asked
	close(ended) // the copies name no members, so that no dispatcher is left
	go c.Run(ctx)
	select {
	case err := <-answered:
		is.True(fault.Is(err, fault.NoUpstream)) // placed locally: the service has no upstreams
	case <-time.After(5 * time.Second):
		t.Fatal("the request is still waiting")
	}
}

// Guards against store entries of replaced instances that accumulate and each reduce the other instances' shares of
// limits. Only the dispatcher reports members that have had no session for long.
func TestDispatcherReportsAbsentMembers(t *testing.T) {
	is := is.New(t)
	first, second, third := newTestClients(t)
	addrs := map[fleet.InstanceID]string{first.self: first.addr, second.self: second.addr, third.self: deadAddr}
	first.setMembers(t, 2, addrs)
	second.setMembers(t, 2, addrs)
	waitUntil(t, "the second is attached", func() bool { return first.attached(second.self) && first.attached(first.self) })
	is.Equal(len(first.AbsentMembers(50*time.Millisecond)), 0)
	waitUntil(t, "the third is named", func() bool {
		absent := first.AbsentMembers(50 * time.Millisecond)
		return len(absent) == 1 && absent[0].ID == third.self
	})
	is.Equal(len(second.AbsentMembers(0)), 0)
}

// Guards against an instance that dispatches for itself for half a second at each planned stop of the dispatcher,
// which makes short prompts late. Instances see the stop at different times. The first one attaches to the next
// dispatcher while that one still relays to the old one, and the relay ends the session when it takes over. The
// instance must not count that as a lost dispatcher.
func TestHandoverDoesNotIsolateInstance(t *testing.T) {
	is := is.New(t)
	first, second, third, addrs := newConnectedClients(t)
	waitUntil(t, "all are attached to the first", func() bool {
		return first.attached(first.self) && first.attached(second.self) && first.attached(third.self)
	})
	delete(addrs, first.self)
	third.setMembers(t, 3, addrs)
	waitUntil(t, "the third goes through the second", func() bool { return third.Dispatcher() == second.self })
	var selfDispatched atomic.Bool
	watched, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		for watched.Err() == nil {
			if third.Dispatcher() == third.self {
				selfDispatched.Store(true)
			}
			time.Sleep(time.Millisecond)
		}
	}()
	second.setMembers(t, 3, addrs)
	first.setMembers(t, 3, addrs)
	waitUntil(t, "the third is attached to the second directly", func() bool { return second.directlyAttached(third.self) && second.directlyAttached(second.self) })
	is.True(!selfDispatched.Load())
}

// directlyAttached reports whether an instance has a session with this one as the dispatcher that is not relayed.
func (p *testClient) directlyAttached(id fleet.InstanceID) bool {
	p.hub.mu.Lock()
	defer p.hub.mu.Unlock()
	s := p.hub.sinks[id]
	_, relayed := s.(*relayedSink)
	return s != nil && !relayed
}

// Guards against all requests waiting for more than half a second after the dispatcher's machine lost power: its
// store entry remains, and the next dispatcher would wait for it to attach. Live instances attach within one
// heartbeat of each other.
func TestDeadMemberDoesNotDelayNextDispatcher(t *testing.T) {
	is := is.New(t)
	f := newTestFollower()
	h := newHub("self", f, hclog.NewNullLogger())
	p := &testClient{Client: &Client{follower: f, hub: h}}
	p.setMembers(t, 2, map[fleet.InstanceID]string{"dead": deadAddr, "i1": deadAddr, "i2": deadAddr})
	h.start = time.Now().Add(-time.Minute)
	for _, id := range []fleet.InstanceID{"i1", "i2"} {
		h.attach(id, localSink{out: newOutbox[*pb.ToEntry]()}, &pb.FromEntry{Entry: string(id), Domain: "d"})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	is.True(!h.settled(h.firstAttached.Add(heartbeatInterval))) // the others' work isn't known yet
	is.True(h.settled(h.firstAttached.Add(2*heartbeatInterval + heartbeatInterval/2)))
}

// Guards against requests being refused, or placed without regard to work in flight, when the first dispatcher's
// instance restarts: it is first in dispatcher order as soon as it has joined, and knows no upstream yet.
func TestInstanceWithIncompleteStateDoesNotDispatch(t *testing.T) {
	is := is.New(t)
	first, second, third := newTestClients(t)
	addrs := map[fleet.InstanceID]string{first.self: first.addr, second.self: second.addr, third.self: third.addr}
	for _, p := range []*testClient{second, third} {
		p.loadUpstreams()
	}
	for _, p := range []*testClient{first, second, third} {
		p.setMembers(t, 2, addrs)
	}
	waitUntil(t, "the second dispatches", func() bool { return second.directlyAttached(second.self) && second.directlyAttached(third.self) })
	is.True(!first.attached(second.self) && !first.attached(third.self))
	first.loadUpstreams()
	waitUntil(t, "the first dispatches", func() bool { return first.directlyAttached(second.self) && first.directlyAttached(third.self) })
}

// loadUpstreams applies a full copy of the upstreams, which is empty, so that the client's state is complete.
func (p *testClient) loadUpstreams() {
	p.follower.ApplyChange(watch.Change{Kind: "u", Full: true, To: 1})
}

// Guards against short prompts that are late for half a second after connections were reset. If all other instances
// took the next dispatcher while the first one remained its own, both would place on the same engines. Instances
// whose session was reset try the same dispatcher first.
func TestResetSessionIsReopened(t *testing.T) {
	is := is.New(t)
	first, second, third, _ := newConnectedClients(t)
	both := func() bool { return first.directlyAttached(second.self) && first.directlyAttached(third.self) }
	waitUntil(t, "all are attached to the first", both)
	time.Sleep(2 * heartbeatInterval) // sessions that end right after they opened count as lost
	current := func(p *testClient) *session {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.session
	}
	was := [2]*session{current(second), current(third)}
	first.listener.resetAll()
	waitUntil(t, "both have other sessions", func() bool {
		now := [2]*session{current(second), current(third)}
		return now[0] != nil && now[1] != nil && now[0] != was[0] && now[1] != was[1]
	})
	is.Equal(second.Dispatcher(), first.self)
	is.Equal(third.Dispatcher(), first.self)
}

// Guards against engines that are overloaded at each change of dispatcher, when instances have no session for some ms
// and place by their own work alone. Requests wait for the next session, which receives them.
func TestRequestsWaitForNextSession(t *testing.T) {
	is := is.New(t)
	f := newTestFollower()
	c := NewClient("i1", "d", f, hclog.NewNullLogger())
	answered := make(chan error, 1)
	go func() {
		_, err := c.Place(context.Background(), gateway.PlacementRequest{ID: "r1", Service: "s"})
		answered <- err
	}()
	waitUntil(t, "the request waits, or is answered", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.waiting) == 1 || len(answered) == 1
	})
	sent := make(chan *pb.FromEntry, 1)
	c.switchSession(&session{peerID: "next", end: func() {}, send: func(m *pb.FromEntry) { sent <- m }})
	select {
	case m := <-sent:
		is.Equal(m.Asks[0].Id, "r1")
	case err := <-answered:
		t.Fatalf("placed without a dispatcher: %v", err)
	}
	c.deliverReply("r1", reply{refusal: &pb.Refusal{Reason: "too_late"}})
	is.True(<-answered != nil)
}

// Guards against two dispatchers for half a second or more after a machine that lost power has restarted: instances
// that failed to reach it still back off, while it is the first in dispatcher order for all others. An instance with
// a new incarnation is contacted at once.
func TestRestartedInstanceLeavesBackoff(t *testing.T) {
	is := is.New(t)
	f := newTestFollower()
	p := &testClient{Client: NewClient("i1", "d", f, hclog.NewNullLogger())}
	addrs := map[fleet.InstanceID]string{"i1": deadAddr, "i2": deadAddr}
	inBackoff := func() bool {
		for _, m := range p.dispatcherOrder() {
			if m.ID == "i2" {
				return p.inBackoff(m, time.Now())
			}
		}
		return false
	}
	p.setMembersOf(t, 2, 7, addrs)
	p.recordFailure("i2", errSessionSilent)
	is.True(inBackoff())
	p.setMembersOf(t, 3, 8, addrs)
	is.True(!inBackoff())
}

// Guards against a finished run that a new dispatcher keeps in its records, after which ten of 21 engines got no
// short prompts for nine seconds. The run is in the first message to the new dispatcher, but ends before that session
// is in use, so that its end goes to the old dispatcher only. All changes in between are reported again.
func TestChangesDuringSessionSwitchAreReported(t *testing.T) {
	is := is.New(t)
	f := newTestFollower()
	c := NewClient("i1", "d", f, hclog.NewNullLogger())
	c.session = &session{peerID: "old", end: func() {}, send: func(*pb.FromEntry) {}}
	run := func(id fleet.RequestID, on fleet.UpstreamID) *dispatchedGrant {
		g := &dispatchedGrant{c: c, ask: gateway.PlacementRequest{ID: id, Service: "s"}, upstream: &catalog.Upstream{ID: on}}
		c.running[id] = g
		return g
	}
	ends, begins, again := run("ends", "u1"), run("begins", "u1"), run("again", "u1")
	c.waiting["left"] = &waitingRequest{ask: gateway.PlacementRequest{ID: "left", Service: "s"}}
	c.waiting["waits"] = &waitingRequest{ask: gateway.PlacementRequest{ID: "waits", Service: "s"}}
	first := c.firstMessage()

	ends.Release(gateway.Served, "")
	begins.RecordFirstEvent()
	again.Release(gateway.Failed, "")
	run("again", "u2")
	run("new", "u2")
	c.withdrawRequest("left")
	var sent []*pb.FromEntry
	c.switchSession(&session{peerID: "next", firstMessage: first, end: func() {}, send: func(m *pb.FromEntry) { sent = append(sent, m) }})

	// The new dispatcher's records afterwards.
	h := newHub("self", f, hclog.NewNullLogger())
	to := localSink{out: newOutbox[*pb.ToEntry]()}
	h.attach("i1", to, first)
	for _, m := range sent {
		h.receive("i1", to, m)
	}
	is.Equal(h.serviceState("s").Running(), 3) // begins, again, new
	is.Equal(len(sent[0].Ended), 1)
	is.Equal(sent[0].Ended[0].Id, "ends")
	is.Equal(sent[0].Began, []string{"begins"})
	is.Equal(sent[0].Withdrawn, []string{"left"})
	is.Equal(len(sent[0].Asks), 1)
	is.Equal(sent[0].Asks[0].Id, "waits")
}

// Guards against a leaving upstream that gets work for seconds. The dispatcher can't read the store and has missed a
// change, so it can't apply the next one that a reader sends. It receives a full copy instead.
func TestDispatcherThatMissedChangeReceivesFullCopy(t *testing.T) {
	first, second, _, _ := newConnectedClients(t)
	for _, p := range []*testClient{first, second} {
		p.follower.ApplyChange(watch.Change{Kind: "o", Full: true, To: 1})
	}
	waitUntil(t, "the second is attached", func() bool { return first.directlyAttached(second.self) })
	out := func(from, to uint64) watch.Change {
		return watch.Change{Kind: "o", From: from, To: to, Objects: []wire.Object{{Kind: "o", Name: "north", Version: to, Value: []byte("{}")}}}
	}
	second.follower.ApplyChange(out(1, 5))
	second.follower.ApplyChange(out(5, 7))
	second.queueChange(out(5, 7), true) // as a reader of the store reports it
	waitUntil(t, "the first knows the domain is out", func() bool {
		c, _ := first.follower.FullCopy("o")
		return len(c.Objects) == 1 && c.Objects[0].Version == 7
	})
}
