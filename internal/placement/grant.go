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
	c        *Client
	ask      gateway.PlacementRequest
	askedAt  time.Time
	upstream *catalog.Upstream
	helpers  []fleet.UpstreamID
	addrs    []string
	holders  []gateway.Reservation
	reason   string
	overdue  time.Duration
	writing  bool // guarded by c.mu
}

func (g *dispatchedGrant) Upstream() *catalog.Upstream         { return g.upstream }
func (g *dispatchedGrant) Helpers() []string                   { return g.addrs }
func (g *dispatchedGrant) Reservations() []gateway.Reservation { return g.holders }
func (g *dispatchedGrant) Reason() string                      { return g.reason }

func (g *dispatchedGrant) AnswerTimeout() time.Duration { return g.overdue }

func (g *dispatchedGrant) RecordFirstEvent() {
	g.c.mu.Lock()
	g.writing = true
	g.c.mu.Unlock()
	g.c.sendToDispatcher(&pb.FromEntry{Began: []string{string(g.ask.ID)}})
}

func (g *dispatchedGrant) Release(o gateway.Outcome, atFault fleet.UpstreamID) {
	g.c.mu.Lock()
	if g.c.running[g.ask.ID] == g {
		delete(g.c.running, g.ask.ID)
	}
	g.c.mu.Unlock()
	g.c.sendToDispatcher(&pb.FromEntry{Ended: []*pb.Ended{{Id: string(g.ask.ID), How: wireOutcomes[o], AtFault: string(atFault)}}})
}

// message returns the grant as it is reported to a dispatcher; c.mu is held.
func (g *dispatchedGrant) message(now time.Time) *pb.Running {
	return &pb.Running{
		Ask: askMessage(&g.ask, g.askedAt, now), Upstream: string(g.upstream.ID), Helpers: idStrings(g.helpers), Writing: g.writing,
		Holders: holdings(g.holders),
	}
}

func holdings(all []gateway.Reservation) []*pb.Holding {
	out := make([]*pb.Holding, len(all))
	for i, h := range all {
		out[i] = &pb.Holding{Upstream: string(h.Upstream.ID), Tokens: int32(h.Tokens)}
	}
	return out
}

var wireOutcomes = map[gateway.Outcome]pb.Ended_How{
	gateway.Failed: pb.Ended_FAILED, gateway.Unreachable: pb.Ended_UNREACHABLE, gateway.Rejected: pb.Ended_FULL,
}
