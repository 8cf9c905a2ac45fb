package placement

import (
	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

// An upstream's leaving can be known from its answer, to one instance, before the store says so. That instance sends it
// nothing more, and tells the dispatcher, which tells all: each would learn it by a request of its own otherwise. Both tell
// all that they know when they attach, for whoever dispatches next.

// maxSpread bounds the departures that are remembered as told to all; beyond it some are told again.
const maxSpread = 10_000

// Left takes that an upstream leaves, by a sign that this instance saw.
func (c *Client) Left(u *catalog.Upstream, sign string) {
	if now := c.snapshot().Upstream(u.ID); now != nil && now.Born == u.Born && now.Leaving {
		return
	}
	d := watch.DepartureOf(u)
	if c.follower.Left(d, sign, c.self) {
		c.tell(&pb.FromEntry{Departures: []*pb.Departure{departureMessage(d, sign, c.self)}})
	}
}

func departureMessage(d watch.Departure, sign string, by fleet.InstanceID) *pb.Departure {
	return &pb.Departure{Upstream: string(d.ID), Born: d.Born, Sign: sign, By: string(by)}
}

func departureMessages(all []watch.Departure) []*pb.Departure {
	var out []*pb.Departure
	for _, d := range all {
		out = append(out, departureMessage(d, "known before", ""))
	}
	return out
}

func departure(m *pb.Departure) watch.Departure {
	return watch.Departure{ID: fleet.UpstreamID(m.Upstream), Born: m.Born}
}

// takeDepartures takes what instances saw, and tells all of them; mu is held.
func (h *hub) takeDepartures(now decide.Instant, all []*pb.Departure) {
	var news []*pb.Departure
	for _, m := range all {
		d := departure(m)
		h.follower.Left(d, m.Sign, fleet.InstanceID(m.By))
		if h.spreadDepartures[d] {
			continue
		}
		if len(h.spreadDepartures) >= maxSpread {
			clear(h.spreadDepartures)
		}
		h.spreadDepartures[d] = true
		news = append(news, m)
	}
	if len(news) == 0 {
		return
	}
	h.tellAll(&pb.ToEntry{Departures: news})
	h.refresh(now)
}
