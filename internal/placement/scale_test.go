package placement

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/peer"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
	"github.com/damaskshelf/damaskshelf/internal/rendezvous"
)

// rawInstance is an attached instance of which only the stream exists.
type rawInstance struct {
	stream pb.DRPCPlacement_AttachClient
}

// attachRaw attaches an instance to p with its first message, and returns it once p has accepted it.
func attachRaw(t *testing.T, p *testClient, first *pb.FromEntry) (*rawInstance, error) {
	t.Helper()
	conn, err := peer.Dial(t.Context(), p.addr)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = conn.Close() })
	stream, err := pb.NewDRPCPlacementClient(conn).Attach(context.Background())
	if err != nil {
		return nil, err
	}
	if err := stream.Send(first); err != nil {
		return nil, err
	}
	_, err = stream.Recv()
	return &rawInstance{stream: stream}, err
}

// Guards against a fleet that splits into several dispatchers, each of which places without knowing the others' work,
// because the first one accepts connections of only some of the instances.
func TestDispatcherAcceptsHundredsOfInstances(t *testing.T) {
	const instances = 400
	p := newTestClient(t, "i1", "d")
	p.setMembers(t, 1, map[fleet.InstanceID]string{"i1": p.addr})
	waitUntil(t, "the instance dispatches for itself", func() bool { return p.Dispatcher() == "i1" })
	for n := range instances {
		if _, err := attachRaw(t, p, &pb.FromEntry{Entry: fmt.Sprintf("raw-%d", n), Domain: "d"}); err != nil {
			t.Fatalf("instance %d was not accepted: %v", n, err)
		}
	}
}

// Guards against placements that wait for a timer of up to 100 ms whenever the steps before them were long, as they are
// with thousands of engines: the step that wake schedules must begin at once.
func TestScheduledStepBeginsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHub("self", newTestFollower(), hclog.NewNullLogger())
		began := time.Now()
		h.wake()
		h.waitForWork(t.Context())
		is.New(t).Equal(time.Since(began), time.Duration(0))
	})
}

// Guards against a dispatcher that is busy with heartbeats: with a thousand instances, an examination of all engines for
// each of ten thousand heartbeats a second takes half of a processor while any request waits.
func TestHeartbeatCausesNoStep(t *testing.T) {
	is := is.New(t)
	is.True(!changesStates(&pb.FromEntry{}))
	is.True(!changesStates(&pb.FromEntry{Reads: []*pb.Proof{{Kind: "c"}}}))
	for _, m := range []*pb.FromEntry{
		{Running: []*pb.Running{{}}}, {Began: []string{"r"}}, {Ended: []*pb.Ended{{}}}, {Withdrawn: []string{"r"}},
		{Asks: []*pb.Ask{{}}}, {Limits: []*pb.Limit{{}}}, {Departures: []*pb.Departure{{}}},
	} {
		is.True(changesStates(m))
	}
}

// Guards against a start of all instances in which each lists all others: the dispatcher invites a few at a time, waits
// for the slowest of them, and the rest list the members themselves, with bytes that grow with the fleet's square.
func TestInvitationsDontWaitForSlowMembers(t *testing.T) {
	const slow = 200
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	dispatcher, joining := newTestClient(t, "i1", "d"), newTestClient(t, "joining", "d")
	members := map[fleet.InstanceID]string{"i1": dispatcher.addr}
	dispatcher.setMembers(t, 1, members)
	waitUntil(t, "the instance dispatches for itself", func() bool { return dispatcher.Dispatcher() == "i1" })
	for n := 0; len(members) <= slow; n++ {
		id := fmt.Sprintf("slow-%d", n)
		if rendezvous.Score(rendezvousKey, id) < rendezvous.Score(rendezvousKey, "i1") { // not a dispatcher before i1
			members[fleet.InstanceID(id)] = silent.Addr().String()
		}
	}
	dispatcher.setMembers(t, 2, members)
	first, err := silent.Accept() // a round of invitations has begun
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = first.Close() }()
	members["joining"] = joining.addr
	dispatcher.setMembers(t, 3, members)
	var invitedSlow atomic.Int64
	go func() {
		for c, err := silent.Accept(); err == nil; c, err = silent.Accept() {
			invitedSlow.Add(1)
			defer func() { _ = c.Close() }()
		}
	}()
	waitUntil(t, "invited", func() bool { return joining.inviter.Load() != nil })
	is.New(t).True(invitedSlow.Load() < slow-1) // the round with the slow members is still being sent
}

// Guards against a start in which the invitations take longer the larger the fleet is.
func TestInvitationBatchesDontGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	for _, due := range []int{100, 1000, 2000} {
		is.True((due+concurrentInvites(due)-1)/concurrentInvites(due) <= 4)
	}
}
