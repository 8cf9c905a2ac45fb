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

// party is a Client that serves on loopback. Each has a copy of the members of its own, so that what one
// can't reach the others can.
type party struct {
	*Client
	addr     string
	listener *cutter
}

// cutter is a listener that can close all connections that it accepted.
type cutter struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn // guarded by mu
}

func (l *cutter) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
	}
	return c, err
}

func (l *cutter) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

const deadAddr = "127.0.0.1:1"

func newParty(t *testing.T, id fleet.InstanceID, domain fleet.DomainID) *party {
	t.Helper()
	bound, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &cutter{Listener: bound}
	f := watch.New(watch.Deps{Kinds: watch.Kinds{Config: "c", Upstreams: "u", Out: "o"}, Log: hclog.NewNullLogger()})
	p := &party{Client: NewClient(id, domain, f, hclog.NewNullLogger()), addr: l.Addr().String(), listener: l}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- p.Serve(ctx, l) }()
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

// members tells a party of instances at addresses.
func (p *party) members(t *testing.T, revision uint64, addrs map[fleet.InstanceID]string) {
	t.Helper()
	p.membersOf(t, revision, 0, addrs)
}

// membersOf tells a party of instances that started as an incarnation.
func (p *party) membersOf(t *testing.T, revision, incarnation uint64, addrs map[fleet.InstanceID]string) {
	t.Helper()
	c := watch.Change{Kind: watch.KindMembers, Whole: true, To: revision}
	for id, addr := range addrs {
		raw, err := json.Marshal(map[string]any{"peer_addr": addr, "cpu_share": 1, "incarnation": incarnation, "failure_domain": "d-" + string(id)})
		if err != nil {
			t.Fatal(err)
		}
		c.Objects = append(c.Objects, wire.Object{Kind: watch.KindMembers, Name: string(id), Version: revision, Value: raw})
	}
	p.follower.Offer(c)
}

func (p *party) attached(id fleet.InstanceID) bool { return p.hub.attached(id) }

func soon(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// three gives parties in the order in which they are dispatchers.
func three(t *testing.T) (first, second, third *party) {
	t.Helper()
	all := map[fleet.InstanceID]*party{}
	addrs := map[fleet.InstanceID]string{}
	for _, id := range []fleet.InstanceID{"i1", "i2", "i3"} {
		all[id] = newParty(t, id, "d-"+fleet.DomainID(id))
		addrs[id] = all[id].addr
	}
	// One that only knows the others and is no member tells the order.
	f := watch.New(watch.Deps{Kinds: watch.Kinds{Config: "c", Upstreams: "u", Out: "o"}, Log: hclog.NewNullLogger()})
	probe := &party{Client: NewClient("probe", "d", f, hclog.NewNullLogger())}
	probe.members(t, 1, addrs)
	var order []*party
	for _, m := range probe.candidates() {
		order = append(order, all[m.ID])
	}
	return order[0], order[1], order[2]
}

// threeTogether gives parties that know each other.
func threeTogether(t *testing.T) (first, second, third *party, addrs map[fleet.InstanceID]string) {
	t.Helper()
	first, second, third = three(t)
	addrs = map[fleet.InstanceID]string{first.self: first.addr, second.self: second.addr, third.self: third.addr}
	for _, p := range []*party{first, second, third} {
		p.members(t, 2, addrs)
	}
	return first, second, third, addrs
}

// Streams pause while two failure domains are cut apart and a third reaches both: the instances of one side
// take the next dispatcher, and both place on the same engines. An instance that can't reach the first
// dispatcher finds it through one that does, even if it is itself the next in the order.
func TestADispatcherIsReachedThroughAThird(t *testing.T) {
	is := is.New(t)
	first, second, third := three(t)
	addrs := map[fleet.InstanceID]string{first.self: first.addr, second.self: second.addr, third.self: third.addr}
	for _, p := range []*party{first, third} {
		p.members(t, 2, addrs)
	}
	soon(t, "the third is attached", func() bool { return first.attached(third.self) })
	addrs[first.self] = deadAddr
	second.members(t, 2, addrs)
	soon(t, "the second is attached through the third", func() bool {
		return second.Dispatcher() == third.self && first.attached(second.self)
	})
	is.True(!second.attached(second.self))
	// The way is open again: it goes there by itself.
	addrs[first.self] = first.addr
	second.members(t, 3, addrs)
	soon(t, "the second attaches to the first", func() bool { return second.Dispatcher() == first.self })
}

// All wait for a dispatcher that is dead, each pointing to another one. Whoever can't reach it must not be
// sent in a circle: the next in the order takes over.
func TestADeadDispatcherIsFollowedByTheNext(t *testing.T) {
	first, second, third := three(t)
	addrs := map[fleet.InstanceID]string{first.self: deadAddr, second.self: second.addr, third.self: third.addr}
	second.members(t, 2, addrs)
	third.members(t, 2, addrs)
	soon(t, "the second takes over", func() bool {
		return second.Dispatcher() == second.self && third.Dispatcher() == second.self
	})
}

// Requests wait until their time is over, and nobody answers them. Their instance's session with the
// dispatcher ended, and it can reach no other; it must place them by what it knows itself.
func TestWithoutAnyDispatcherRequestsArePlaced(t *testing.T) {
	is := is.New(t)
	f := watch.New(watch.Deps{Kinds: watch.Kinds{Config: "c", Upstreams: "u", Out: "o"}, Log: hclog.NewNullLogger()})
	c := NewClient("i1", "d", f, hclog.NewNullLogger())
	told := make(chan struct{}, 1)
	over := make(chan struct{})
	c.session = &session{with: "gone", done: over, end: func() {}, tell: func(*pb.FromEntry) { told <- struct{}{} }}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answered := make(chan error, 1)
	go func() {
		_, err := c.Place(ctx, gateway.Ask{ID: "r1", Service: "s"})
		answered <- err
	}()
	<-told
	close(over) // nobody is left: the copies name no instance at all
	go c.Run(ctx)
	select {
	case err := <-answered:
		is.True(fault.Is(err, fault.NoUpstream)) // by its own view: the service has no upstreams
	case <-time.After(5 * time.Second):
		t.Fatal("the request still waits")
	}
}

// Entries of instances that were replaced for good pile up in the store, and each takes a share of the
// fleet's limits. The dispatcher names those that it has had no session of for long, and nobody else does.
func TestTheDispatcherNamesAbsentMembers(t *testing.T) {
	is := is.New(t)
	first, second, third := three(t)
	addrs := map[fleet.InstanceID]string{first.self: first.addr, second.self: second.addr, third.self: deadAddr}
	first.members(t, 2, addrs)
	second.members(t, 2, addrs)
	soon(t, "the second is attached", func() bool { return first.attached(second.self) && first.attached(first.self) })
	is.Equal(len(first.AbsentMembers(50*time.Millisecond)), 0)
	soon(t, "the third is named", func() bool {
		absent := first.AbsentMembers(50 * time.Millisecond)
		return len(absent) == 1 && absent[0].ID == third.self
	})
	is.Equal(len(second.AbsentMembers(0)), 0)
}

// Short prompts are late for half a second at each planned stop of the dispatcher's instance. Instances learn
// of its leaving one after the other; whoever is first attaches to the next dispatcher, which doesn't know yet
// and passes on to the old one. When it takes over, it ends that session, and the instance took it for lost
// and became a dispatcher of its own, beside the one of all others.
func TestAHandoverLeavesNobodyAlone(t *testing.T) {
	is := is.New(t)
	first, second, third, addrs := threeTogether(t)
	soon(t, "all are attached to the first", func() bool {
		return first.attached(first.self) && first.attached(second.self) && first.attached(third.self)
	})
	delete(addrs, first.self)
	third.members(t, 3, addrs)
	soon(t, "the third goes through the second", func() bool { return third.Dispatcher() == second.self })
	var alone atomic.Bool
	watched, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		for watched.Err() == nil {
			if third.Dispatcher() == third.self {
				alone.Store(true)
			}
			time.Sleep(time.Millisecond)
		}
	}()
	second.members(t, 3, addrs)
	first.members(t, 3, addrs)
	soon(t, "the third is the second's own", func() bool { return second.direct(third.self) && second.direct(second.self) })
	is.True(!alone.Load())
}

// direct tells whether an instance has a session of its own with this one as the dispatcher.
func (p *party) direct(id fleet.InstanceID) bool {
	p.hub.mu.Lock()
	defer p.hub.mu.Unlock()
	s := p.hub.entries[id]
	_, passed := s.(*passedSink)
	return s != nil && !passed
}

// All requests of the fleet wait for more than half a second after the dispatcher's machine has lost power:
// its entry still stands in the store, and the next dispatcher waits for it to attach. Whoever lives attaches
// within a beat of the others.
func TestADeadMemberDoesNotHoldUpTheNextDispatcher(t *testing.T) {
	is := is.New(t)
	f := watch.New(watch.Deps{Kinds: watch.Kinds{Config: "c", Upstreams: "u", Out: "o"}, Log: hclog.NewNullLogger()})
	h := newHub(f, hclog.NewNullLogger())
	p := &party{Client: &Client{follower: f, hub: h}}
	p.members(t, 2, map[fleet.InstanceID]string{"dead": deadAddr, "i1": deadAddr, "i2": deadAddr})
	h.start = time.Now().Add(-time.Minute)
	for _, id := range []fleet.InstanceID{"i1", "i2"} {
		h.attach(id, selfSink{out: newOutbox[*pb.ToEntry]()}, &pb.FromEntry{Entry: string(id), Domain: "d"})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	is.True(!h.settled(h.opened.Add(beat))) // the others' work isn't known yet
	is.True(h.settled(h.opened.Add(2*beat + beat/2)))
}

// Every request is refused, or placed beside work that was forgotten, when the first dispatcher's instance
// is back after a restart: it comes first in the order as soon as it has joined, and knows no upstream yet.
func TestAnInstanceThatKnowsLessDoesNotDispatch(t *testing.T) {
	is := is.New(t)
	first, second, third := three(t)
	addrs := map[fleet.InstanceID]string{first.self: first.addr, second.self: second.addr, third.self: third.addr}
	for _, p := range []*party{second, third} {
		p.knowsUpstreams()
	}
	for _, p := range []*party{first, second, third} {
		p.members(t, 2, addrs)
	}
	soon(t, "the second dispatches", func() bool { return second.direct(second.self) && second.direct(third.self) })
	is.True(!first.attached(second.self) && !first.attached(third.self))
	first.knowsUpstreams()
	soon(t, "the first dispatches", func() bool { return first.direct(second.self) && first.direct(third.self) })
}

// knowsUpstreams gives a party a copy of the upstreams: there are none.
func (p *party) knowsUpstreams() {
	p.follower.Offer(watch.Change{Kind: "u", Whole: true, To: 1})
}

// Short prompts are late for half a second after connections were reset: all instances but the dispatcher take
// the next one, it stays its own, and both place on the same engines. Instances whose session was reset try
// the same dispatcher again first.
func TestAResetSessionIsOpenedAgain(t *testing.T) {
	is := is.New(t)
	first, second, third, _ := threeTogether(t)
	both := func() bool { return first.direct(second.self) && first.direct(third.self) }
	soon(t, "all are attached to the first", both)
	time.Sleep(2 * beat) // sessions that end right away are taken for lost
	current := func(p *party) *session {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.session
	}
	was := [2]*session{current(second), current(third)}
	first.listener.cut()
	soon(t, "both have other sessions", func() bool {
		now := [2]*session{current(second), current(third)}
		return now[0] != nil && now[1] != nil && now[0] != was[0] && now[1] != was[1]
	})
	is.Equal(second.Dispatcher(), first.self)
	is.Equal(third.Dispatcher(), first.self)
}

// Engines get more than they bear each time the dispatcher changes: for some ms its entries have no session, and
// each places what comes by its own work alone. Requests wait for the next session, which is told of them.
func TestRequestsWaitForTheNextSession(t *testing.T) {
	is := is.New(t)
	f := watch.New(watch.Deps{Kinds: watch.Kinds{Config: "c", Upstreams: "u", Out: "o"}, Log: hclog.NewNullLogger()})
	c := NewClient("i1", "d", f, hclog.NewNullLogger())
	answered := make(chan error, 1)
	go func() {
		_, err := c.Place(context.Background(), gateway.Ask{ID: "r1", Service: "s"})
		answered <- err
	}()
	soon(t, "the request waits, or is answered", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.waiting) == 1 || len(answered) == 1
	})
	told := make(chan *pb.FromEntry, 1)
	c.moved(&session{with: "next", end: func() {}, tell: func(m *pb.FromEntry) { told <- m }})
	select {
	case m := <-told:
		is.Equal(m.Asks[0].Id, "r1")
	case err := <-answered:
		t.Fatalf("placed without a dispatcher: %v", err)
	}
	c.settle("r1", reply{refused: &pb.Refusal{Reason: "too_late"}})
	is.True(<-answered != nil)
}

// Two dispatchers stand side by side for half a second or more after a machine that lost power is back: those
// that could not reach it leave it alone yet, and it is the first in the order for all others. One that has
// started anew is asked at once.
func TestAnInstanceThatStartedAnewIsAsked(t *testing.T) {
	is := is.New(t)
	f := watch.New(watch.Deps{Kinds: watch.Kinds{Config: "c", Upstreams: "u", Out: "o"}, Log: hclog.NewNullLogger()})
	p := &party{Client: NewClient("i1", "d", f, hclog.NewNullLogger())}
	addrs := map[fleet.InstanceID]string{"i1": deadAddr, "i2": deadAddr}
	resting := func() bool {
		for _, m := range p.candidates() {
			if m.ID == "i2" {
				return p.resting(m, time.Now())
			}
		}
		return false
	}
	p.membersOf(t, 2, 7, addrs)
	p.rested("i2", errSilent)
	is.True(resting())
	p.membersOf(t, 3, 8, addrs)
	is.True(!resting())
}

// Ten of 21 engines get no short prompts for nine seconds after the dispatcher changed. An entry tells the new one
// of a long read, the read ends before the session is in use, and its end is told to the old one only: for the
// new one it goes on for good. All that happens between the two is told again.
func TestWhatHappensDuringAHandoverIsTold(t *testing.T) {
	is := is.New(t)
	f := watch.New(watch.Deps{Kinds: watch.Kinds{Config: "c", Upstreams: "u", Out: "o"}, Log: hclog.NewNullLogger()})
	c := NewClient("i1", "d", f, hclog.NewNullLogger())
	c.session = &session{with: "old", end: func() {}, tell: func(*pb.FromEntry) {}}
	run := func(id fleet.RequestID, on fleet.UpstreamID) *dispatched {
		g := &dispatched{c: c, ask: gateway.Ask{ID: id, Service: "s"}, upstream: &catalog.Upstream{ID: on}}
		c.running[id] = g
		return g
	}
	ends, begins, again := run("ends", "u1"), run("begins", "u1"), run("again", "u1")
	c.waiting["left"] = &waiting{ask: gateway.Ask{ID: "left", Service: "s"}}
	c.waiting["waits"] = &waiting{ask: gateway.Ask{ID: "waits", Service: "s"}}
	first := c.first()

	ends.Done(gateway.Served, "")
	begins.Began()
	again.Done(gateway.Failed, "")
	run("again", "u2")
	run("new", "u2")
	c.withdraw("left")
	var told []*pb.FromEntry
	c.moved(&session{with: "next", first: first, end: func() {}, tell: func(m *pb.FromEntry) { told = append(told, m) }})

	// What the new dispatcher believes then, by its own book.
	h := newHub(f, hclog.NewNullLogger())
	to := selfSink{out: newOutbox[*pb.ToEntry]()}
	h.attach("i1", to, first)
	for _, m := range told {
		h.tell("i1", to, m)
	}
	is.Equal(h.of("s").Running(), 3) // begins, again, new
	is.Equal(len(told[0].Ended), 1)
	is.Equal(told[0].Ended[0].Id, "ends")
	is.Equal(told[0].Began, []string{"begins"})
	is.Equal(told[0].Withdrawn, []string{"left"})
	is.Equal(len(told[0].Asks), 1)
	is.Equal(told[0].Asks[0].Id, "waits")
}

// A leaving upstream gets work for seconds. The dispatcher can't read the store and has missed a change; an instance
// that reads it tells the next one, which the dispatcher doesn't take, since the one before is missing. It is told
// all of the kind then.
func TestADispatcherThatMissedAChangeIsToldAll(t *testing.T) {
	first, second, _, _ := threeTogether(t)
	for _, p := range []*party{first, second} {
		p.follower.Offer(watch.Change{Kind: "o", Whole: true, To: 1})
	}
	soon(t, "the second is attached", func() bool { return first.direct(second.self) })
	out := func(from, to uint64) watch.Change {
		return watch.Change{Kind: "o", From: from, To: to, Objects: []wire.Object{{Kind: "o", Name: "north", Version: to, Value: []byte("{}")}}}
	}
	second.follower.Offer(out(1, 5))
	second.follower.Offer(out(5, 7))
	second.stateChanged(out(5, 7), true) // as a reader of the store tells it
	soon(t, "the first knows the domain is out", func() bool {
		c, _ := first.follower.Whole("o")
		return len(c.Objects) == 1 && c.Objects[0].Version == 7
	})
}
