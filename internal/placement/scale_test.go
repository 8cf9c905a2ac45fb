package placement

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/peer"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
)

// rawInstance is an attached instance of which only the stream exists.
type rawInstance struct {
	id     fleet.InstanceID
	stream pb.DRPCPlacement_AttachClient
}

// attachRaw attaches an instance to p and returns it once the dispatcher has accepted it.
func attachRaw(t *testing.T, p *testClient, id fleet.InstanceID) (*rawInstance, error) {
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
	if err := stream.Send(&pb.FromEntry{Entry: string(id), Domain: "d"}); err != nil {
		return nil, err
	}
	_, err = stream.Recv()
	return &rawInstance{id: id, stream: stream}, err
}

// Guards against a fleet that splits into several dispatchers, each of which places without knowing the others' work,
// because the first one accepts connections of only some of the instances.
func TestDispatcherAcceptsHundredsOfInstances(t *testing.T) {
	const instances = 400
	p := newTestClient(t, "i1", "d")
	p.setMembers(t, 1, map[fleet.InstanceID]string{"i1": p.addr})
	waitUntil(t, "the instance dispatches for itself", func() bool { return p.Dispatcher() == "i1" })
	for n := range instances {
		if _, err := attachRaw(t, p, fleet.InstanceID(fmt.Sprintf("raw-%d", n))); err != nil {
			t.Fatalf("instance %d was not accepted: %v", n, err)
		}
	}
}

// Guards against placements that wait for a timer of up to 100 ms whenever the steps before them were long, as they are
// with thousands of engines: the step that wake schedules must begin at once.
func TestScheduledStepBeginsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHub(newTestFollower(), hclog.NewNullLogger())
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
