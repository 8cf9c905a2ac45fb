package placement

import (
	"slices"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
)

// An upstream's answer can show one instance that the upstream is leaving before the store says so. That instance
// sends it no more requests and reports the departure to the dispatcher, which broadcasts it. Otherwise every
// instance would detect it only by a request of its own. Both sides send all departures that they know when an
// instance attaches, so that the next dispatcher knows them.

// maxAnnounced bounds the departures that are remembered as broadcast. When it is reached, all of them are dropped, and
// those that are reported again are broadcast again.
const maxAnnounced = 10_000

// MarkLeaving records that an upstream is leaving, by a sign that this instance saw, and reports it to the
// dispatcher.
func (c *Client) MarkLeaving(u *catalog.Upstream, sign string) {
	p := u.Process()
	if now := c.snapshot().UpstreamByProcess(p); now != nil && now.Leaving {
		return
	}
	if c.follower.MarkLeaving(p, sign, c.self) {
		c.sendToDispatcher(&pb.FromEntry{Departures: []*pb.Departure{departureMessage(p, sign, c.self)}})
	}
}

// departureMessage returns the message for a process that is leaving. sign is what showed this, and by is the instance
// that saw it.
func departureMessage(p fleet.Process, sign string, by fleet.InstanceID) *pb.Departure {
	return &pb.Departure{Upstream: string(p.ID), Born: p.StartTime, Sign: sign, By: string(by)}
}

// departureMessages returns the messages for known departures, whose signs are not repeated.
func departureMessages(all []fleet.Process) []*pb.Departure {
	var out []*pb.Departure
	for _, p := range all {
		out = append(out, departureMessage(p, "known before", ""))
	}
	return out
}

// departuresSince returns the known departures that a session's first message lacks.
func (c *Client) departuresSince(first *pb.FromEntry) []*pb.Departure {
	sent := map[fleet.Process]bool{}
	for _, m := range first.GetDepartures() {
		sent[departedProcess(m)] = true
	}
	unsent := slices.DeleteFunc(c.follower.Departures(), func(p fleet.Process) bool { return sent[p] })
	return departureMessages(unsent)
}

// departedProcess returns the process that a departure message names.
func departedProcess(m *pb.Departure) fleet.Process {
	return fleet.Process{ID: fleet.UpstreamID(m.Upstream), StartTime: m.Born}
}

// applyDepartures records the departures that an instance reports, and broadcasts the new ones; mu is held.
func (h *hub) applyDepartures(now decide.Instant, all []*pb.Departure) {
	var added []*pb.Departure
	for _, m := range all {
		p := departedProcess(m)
		h.follower.MarkLeaving(p, m.Sign, fleet.InstanceID(m.By))
		if h.announcedDepartures[p] {
			continue
		}
		if len(h.announcedDepartures) >= maxAnnounced {
			clear(h.announcedDepartures)
		}
		h.announcedDepartures[p] = true
		added = append(added, m)
	}
	if len(added) == 0 {
		return
	}
	h.broadcastLocked(&pb.ToEntry{Departures: added})
	h.refresh(now)
}
