package placement

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/gateway"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
)

// dispatched is a place that the dispatcher gave.
type dispatched struct {
	c        *Client
	ask      gateway.Ask
	asked    time.Time
	upstream *catalog.Upstream
	helpers  []fleet.UpstreamID
	addrs    []string
	holders  []gateway.Holder
	reason   string
	overdue  time.Duration
	writing  bool // guarded by c.mu
}

func (g *dispatched) Upstream() *catalog.Upstream { return g.upstream }
func (g *dispatched) Helpers() []string           { return g.addrs }
func (g *dispatched) Holders() []gateway.Holder   { return g.holders }
func (g *dispatched) Reason() string              { return g.reason }

func (g *dispatched) Overdue() time.Duration { return g.overdue }

func (g *dispatched) Began() {
	g.c.mu.Lock()
	g.writing = true
	g.c.mu.Unlock()
	g.c.tell(&pb.FromEntry{Began: []string{string(g.ask.ID)}})
}

func (g *dispatched) Done(o gateway.Outcome, atFault fleet.UpstreamID) {
	g.c.mu.Lock()
	if g.c.running[g.ask.ID] == g {
		delete(g.c.running, g.ask.ID)
	}
	g.c.mu.Unlock()
	g.c.tell(&pb.FromEntry{Ended: []*pb.Ended{{Id: string(g.ask.ID), How: hows[o], AtFault: string(atFault)}}})
}

// message is what a dispatcher is told of the grant; c.mu is held.
func (g *dispatched) message(now time.Time) *pb.Running {
	return &pb.Running{
		Ask: message(&g.ask, g.asked, now), Upstream: string(g.upstream.ID), Helpers: names(g.helpers), Writing: g.writing,
		Holders: holdings(g.holders),
	}
}

func holdings(all []gateway.Holder) []*pb.Holding {
	out := make([]*pb.Holding, len(all))
	for i, h := range all {
		out[i] = &pb.Holding{Upstream: string(h.Upstream.ID), Tokens: int32(h.Tokens)}
	}
	return out
}

var hows = map[gateway.Outcome]pb.Ended_How{
	gateway.Failed: pb.Ended_FAILED, gateway.Unreachable: pb.Ended_UNREACHABLE, gateway.Rejected: pb.Ended_FULL,
}
