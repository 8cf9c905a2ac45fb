package placement

import (
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/quarantine"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
)

// An instance keeps the ends of upstreams late in the answers of its own requests for a while, and states them when a session
// begins. What a dispatcher has counted ends with it, and an end while there is no session would be told to nobody. Other ends
// aren't stated: a new dispatcher doesn't know yet whose requests are answered, and would hold back what all of them bear.

const (
	// pastEndRetention is how long an end is stated to the next dispatcher.
	pastEndRetention = 30 * time.Second
	// maxPastEnds bounds the requests that are kept.
	maxPastEnds = 128
)

// pastEnd is a request of this instance whose upstream ended late in its answer.
type pastEnd struct {
	grant *dispatchedGrant
	at    time.Time
}

// recordPastEnd keeps the end of a grant's upstream; c.mu is held.
func (c *Client) recordPastEnd(g *dispatchedGrant, now time.Time) {
	if len(c.pastEnds) >= maxPastEnds {
		c.pastEnds = slices.Delete(c.pastEnds, 0, 1)
	}
	c.pastEnds = append(c.pastEnds, pastEnd{g, now})
}

// pastEndMessages returns the messages for the ends that are still stated; c.mu is held.
func (c *Client) pastEndMessages(now time.Time) []*pb.PastEnd {
	c.pastEnds = slices.DeleteFunc(c.pastEnds, func(e pastEnd) bool { return now.Sub(e.at) > pastEndRetention })
	out := make([]*pb.PastEnd, len(c.pastEnds))
	for i, e := range c.pastEnds {
		out[i] = &pb.PastEnd{
			Run: e.grant.message(now), Born: e.grant.upstream.StartTime, AgoMs: now.Sub(e.at).Milliseconds(),
			SentMs: e.at.Sub(e.grant.grantedAt).Milliseconds(), AnsweredMs: e.at.Sub(e.grant.firstEventAt).Milliseconds(),
		}
	}
	return out
}

// applyPastEnds records the ends that an instance states; mu is held.
func (h *hub) applyPastEnds(now decide.Instant, instance fleet.InstanceID, all []*pb.PastEnd) {
	for _, m := range all {
		if m.Run == nil || m.Run.Ask == nil {
			h.log.Error("past end can't be counted: its message lacks the field run or run.ask", "entry", instance)
			continue
		}
		at := now.Add(-max(0, ms(m.AgoMs)))
		h.quarantine.Recall(quarantine.PastEnd{
			Request: quarantine.Request{
				Keys: decodeKeys(m.Run.Ask.Keys), Workspace: fleet.WorkspaceID(m.Run.Ask.Workspace), Resumed: m.Run.Ask.Resumed,
			},
			Upstream: fleet.Process{ID: fleet.UpstreamID(m.Run.Upstream), StartTime: m.Born}, At: at,
			SentAt: at.Add(-max(0, ms(m.SentMs))), FirstEventAt: at.Add(-max(0, ms(m.AnsweredMs))),
		})
	}
}
