package placement

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

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
