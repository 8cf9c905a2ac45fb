package placement

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/gateway"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
)

// dispatchedGrant is a gateway.Grant for a place that the dispatcher assigned.
type dispatchedGrant struct {
	c             *Client
	ask           gateway.PlacementRequest
	askedAt       time.Time
	upstream      *catalog.Upstream
	helpers       []fleet.UpstreamID // engines that prefill parts of the prompt, without those of reservations
	helperAddrs   []string           // addresses of helpers, in the same order
	reservations  []gateway.Reservation
	reason        string
	answerTimeout time.Duration
	grantedAt     time.Time
	decoding      bool      // guarded by c.mu: the first event has arrived
	firstEventAt  time.Time // guarded by c.mu; valid if decoding is set
}

func (g *dispatchedGrant) Upstream() *catalog.Upstream         { return g.upstream }
func (g *dispatchedGrant) Helpers() []string                   { return g.helperAddrs }
func (g *dispatchedGrant) Reservations() []gateway.Reservation { return g.reservations }
func (g *dispatchedGrant) Reason() string                      { return g.reason }

func (g *dispatchedGrant) AnswerTimeout() time.Duration { return g.answerTimeout }

// RecordFirstEvent implements gateway.Grant. It reports the first event to the dispatcher.
func (g *dispatchedGrant) RecordFirstEvent() {
	g.c.mu.Lock()
	g.decoding, g.firstEventAt = true, time.Now()
	g.c.mu.Unlock()
	g.c.sendToDispatcher(&pb.FromEntry{Began: []string{string(g.ask.ID)}})
}

// RecordIndirect implements gateway.Grant. It reports to the dispatcher that this instance's own path to the upstream has
// failed.
func (g *dispatchedGrant) RecordIndirect() {
	g.c.sendToDispatcher(&pb.FromEntry{Indirect: []string{string(g.ask.ID)}})
}

// Release implements gateway.Grant. It reports the outcome to the dispatcher.
func (g *dispatchedGrant) Release(o gateway.Outcome, atFault fleet.UpstreamID) {
	g.c.mu.Lock()
	if g.c.running[g.ask.ID] == g {
		delete(g.c.running, g.ask.ID)
	}
	if o == gateway.UpstreamEndedLate {
		g.c.recordPastEnd(g, time.Now())
	}
	g.c.mu.Unlock()
	g.c.sendToDispatcher(&pb.FromEntry{Ended: []*pb.Ended{{
		Id: string(g.ask.ID), How: wireOutcomes[o], AtFault: string(atFault), Served: o == gateway.Served, UpstreamEnded: o == gateway.UpstreamEnded || o == gateway.Refused,
		UpstreamEndedLate: o == gateway.UpstreamEndedLate,
	}}})
}

// message returns the grant as it is reported to a dispatcher; c.mu is held.
func (g *dispatchedGrant) message(now time.Time) *pb.Running {
	return &pb.Running{
		Ask: askMessage(&g.ask, g.askedAt, now), Upstream: string(g.upstream.ID), Helpers: idStrings(g.helpers), Writing: g.decoding,
		Holders: holdingMessages(g.reservations),
	}
}

// holdingMessages returns the messages for reservations.
func holdingMessages(all []gateway.Reservation) []*pb.Holding {
	out := make([]*pb.Holding, len(all))
	for i, h := range all {
		out[i] = &pb.Holding{Upstream: string(h.Upstream.ID), Tokens: int32(h.Tokens)}
	}
	return out
}

// wireOutcomes maps outcomes to their wire values. All outcomes that it lacks are reported as pb.Ended_WHOLE.
var wireOutcomes = map[gateway.Outcome]pb.Ended_How{
	gateway.Failed: pb.Ended_FAILED, gateway.Unreachable: pb.Ended_UNREACHABLE, gateway.Rejected: pb.Ended_FULL,
	gateway.PathLost: pb.Ended_PATH_LOST, gateway.UpstreamEnded: pb.Ended_FAILED, gateway.UpstreamEndedLate: pb.Ended_FAILED, gateway.Refused: pb.Ended_UNREACHABLE,
}
