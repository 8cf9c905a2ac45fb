package placement

import (
	"context"
	"fmt"
	"testing"

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
