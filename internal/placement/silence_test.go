package placement

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/peer"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
)

// attachMute attaches to a party an instance that has a prompt being read and then says nothing more. Its
// connection stays open.
func attachMute(t *testing.T, p *party, id fleet.InstanceID) {
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
}

// running is the number of requests of a service in the dispatcher's book.
func (p *party) running(service string) int {
	p.hub.mu.Lock()
	defer p.hub.mu.Unlock()
	return p.hub.of(service).Running()
}

// Short prompts are late for half a minute although most engines are idle. An instance lost power while its
// prompts were being read by fifteen engines, its connection to the dispatcher never ended, and the dispatcher
// kept those reads in its book: no engine that is about to read for seconds takes a short prompt.
func TestASilentInstancesWorkIsForgotten(t *testing.T) {
	p := newParty(t, "i1", "d")
	p.members(t, 1, map[fleet.InstanceID]string{"i1": p.addr})
	soon(t, "dispatcher of its own", func() bool { return p.Dispatcher() == "i1" })
	attachMute(t, p, "i2")
	soon(t, "attached", func() bool { return p.attached("i2") && p.running("s") == 1 })
	soon(t, "detached", func() bool { return !p.attached("i2") })
	is.New(t).Equal(p.running("s"), 0)
}

// An instance without requests has nothing to say and is no less alive: its session lasts.
func TestAnIdleInstanceStaysAttached(t *testing.T) {
	first, second, third, _ := threeTogether(t)
	for _, p := range []*party{second, third} {
		soon(t, "attached", func() bool { return p.Dispatcher() == first.self && first.attached(p.self) })
	}
	first.Client.mu.Lock()
	before := first.Client.session
	first.Client.mu.Unlock()
	sessions := func() (a, b *session) {
		for _, p := range []*party{second, third} {
			p.Client.mu.Lock()
			a, b = b, p.Client.session
			p.Client.mu.Unlock()
		}
		return a, b
	}
	a, b := sessions()
	time.Sleep(4 * silence)
	x, y := sessions()
	is := is.New(t)
	is.True(before != nil)
	is.True(a == x && b == y)
}

// After a stop of all instances those that are up first try the first dispatcher, which has no power yet and refuses
// nothing. While they wait for it their requests have no dispatcher; they must have the next one before their
// requests are placed without any.
func TestConnectingTakesLessThanRequestsWait(t *testing.T) {
	is := is.New(t)
	is.True(connectTimeout < sessionWait)
	is.True(connectTimeout < attachTimeout)
}

// A new configuration of a thousand routes fills the dispatcher's link for a third of a second, beats wait behind it, and
// half of the fleet gives its session up: prompts are asked for anew, and are late. Who gets a part of a message in time
// knows that the dispatcher lives.
func TestASessionLastsWhilePartsOfAMessageCome(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	s := &session{opened: time.Now(), done: make(chan struct{})}
	s.hears()
	s.endSilent(attachTimeout, func() { close(ended) })
	for range 10 {
		time.Sleep(silence / 3)
		s.hears()
	}
	select {
	case <-ended:
		t.Fatal("ended while parts came")
	default:
	}
	began := time.Now()
	<-ended
	is.True(s.silent.Load())
	is.True(time.Since(began) < 2*silence)
}

// quietDispatcher takes whoever attaches, and sends nothing more.
type quietDispatcher struct{ heard atomic.Int64 }

func (d *quietDispatcher) Attach(s pb.DRPCPlacement_AttachStream) error {
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
		d.heard.Add(1)
	}
}

// The same on the other side: an instance that only answers beats is quiet while they wait behind a long copy, and the
// dispatcher forgets its work.
func TestAnInstanceSaysThatItLivesWithoutBeats(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d, mux := &quietDispatcher{}, drpcmux.New()
	if err := pb.DRPCRegisterPlacement(mux, d); err != nil {
		t.Fatal(err)
	}
	go func() { _ = drpcserver.New(mux).Serve(t.Context(), l) }()
	p := newParty(t, "i1", "d")
	s, err := p.dialSession(t.Context(), &catalog.Member{ID: "quiet", Addr: l.Addr().String()}, p.first)
	if err != nil {
		t.Fatal(err)
	}
	defer s.end()
	time.Sleep(silence - beat/2)
	is.New(t).True(d.heard.Load() >= 2) // one for each beat that the dispatcher would have sent
}

// Requests wait for a dispatcher that something between the two ends has lost track of: it never closes its connection. Its
// silence ends the session.
func TestASilentDispatchersSessionEnds(t *testing.T) {
	is := is.New(t)
	life, cancel := context.WithCancel(context.Background())
	s := &session{with: "silent", opened: time.Now(), end: cancel, done: life.Done()}
	s.hears()
	s.endSilent(silence, cancel)
	select {
	case <-s.done:
		is.True(s.silent.Load())
	case <-time.After(10 * silence):
		t.Fatal("the session goes on")
	}
}

// An upstream that leaves, or whose failure domain is out, gets a place from the dispatcher: each instance would have to
// give it back, and one that knows no better sends there.
func TestTheDispatcherPlacesOnNoLeavingUpstream(t *testing.T) {
	is := is.New(t)
	p := newParty(t, "i0", "d")
	h := newHub(p.follower, hclog.NewNullLogger())
	all := []*catalog.Upstream{
		{ID: "leaving", Service: "s", Domain: "north", Slots: 4, Leaving: true},
		{ID: "out", Service: "s", Domain: "south", Slots: 4},
		{ID: "sound", Service: "s", Domain: "north", Slots: 4},
	}
	snap := catalog.NewSnapshot(&catalog.Config{}, all, map[fleet.DomainID]bool{"south": true}, nil, 1)
	h.snapshot = func() *catalog.Snapshot { return snap }
	out := selfSink{out: newOutbox[*pb.ToEntry]()}
	h.attach("e", out, &pb.FromEntry{Domain: "north"})
	for i := range 6 {
		h.tell("e", out, &pb.FromEntry{Asks: []*pb.Ask{{Id: fmt.Sprint("r", i), Service: "s", PatienceMs: 5000, DeadlineMs: 5000}}})
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var placed []string
	for _, m := range out.out.take(ctx) {
		for _, place := range m.Places {
			placed = append(placed, place.Upstream)
		}
	}
	is.Equal(placed, []string{"sound", "sound", "sound", "sound"})
}
