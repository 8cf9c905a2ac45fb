package placement

import (
	"slices"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
)

// An upstream's leaving can be known from its answer, to one instance, before the store says so. That instance sends it
// nothing more, and tells the dispatcher, which tells all: each would learn it by a request of its own otherwise. Both tell
// all that they know when they attach, for whoever dispatches next.

// maxSpread bounds the departures that are remembered as told to all; beyond it some are told again.
const maxSpread = 10_000

// Left takes that an upstream leaves, by a sign that this instance saw.
func (c *Client) MarkLeaving(u *catalog.Upstream, sign string) {
	p := u.Process()
	if now := c.snapshot().Running(p); now != nil && now.Leaving {
		return
	}
	if c.follower.Left(p, sign, c.self) {
		c.tell(&pb.FromEntry{Departures: []*pb.Departure{departureMessage(p, sign, c.self)}})
	}
}

func departureMessage(p fleet.Process, sign string, by fleet.InstanceID) *pb.Departure {
	return &pb.Departure{Upstream: string(p.ID), Born: p.Born, Sign: sign, By: string(by)}
}

func departureMessages(all []fleet.Process) []*pb.Departure {
	var out []*pb.Departure
	for _, p := range all {
		out = append(out, departureMessage(p, "known before", ""))
	}
	return out
}

// departuresSince gives those that a session's first message doesn't have.
func (c *Client) departuresSince(first *pb.FromEntry) []*pb.Departure {
	told := map[fleet.Process]bool{}
	for _, m := range first.GetDepartures() {
		told[departed(m)] = true
	}
	news := slices.DeleteFunc(c.follower.Departures(), func(p fleet.Process) bool { return told[p] })
	return departureMessages(news)
}

func departed(m *pb.Departure) fleet.Process {
	return fleet.Process{ID: fleet.UpstreamID(m.Upstream), Born: m.Born}
}

// takeDepartures takes what instances saw, and tells all of them; mu is held.
func (h *hub) takeDepartures(now decide.Instant, all []*pb.Departure) {
	var news []*pb.Departure
	for _, m := range all {
		p := departed(m)
		h.follower.Left(p, m.Sign, fleet.InstanceID(m.By))
		if h.spreadDepartures[p] {
			continue
		}
		if len(h.spreadDepartures) >= maxSpread {
			clear(h.spreadDepartures)
		}
		h.spreadDepartures[p] = true
		news = append(news, m)
	}
	if len(news) == 0 {
		return
	}
	h.tellAll(&pb.ToEntry{Departures: news})
	h.refresh(now)
}
