package placement

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/gateway"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
)

// HoldOffCount returns the number of holdoffs that this instance keeps, including ones that are over but not yet
// removed.
func (c *Client) HoldOffCount() int { return int(c.holdoffs.count.Load()) }

// HeldOff reports whether an upstream has asked this instance to hold off and that period isn't over.
func (c *Client) HeldOff(u *catalog.Upstream) bool { return c.holdoffs.active(u) }

// ObserveAnswer implements gateway.Answered. It records the holdoff, departure or limit that an answer names, and
// reports departures and limits to the dispatcher.
func (c *Client) ObserveAnswer(u *catalog.Upstream, a gateway.Answer, sent time.Time) {
	if a.HoldOff > 0 {
		c.holdoffs.set(u, time.Now().Add(a.HoldOff))
	}
	if a.Leaving {
		c.MarkLeaving(u, "its answer says so")
	}
	if limit := c.limits.recordAnswer(u, a, sent, c.self); limit != nil {
		c.sendToDispatcher(&pb.FromEntry{Limits: []*pb.Limit{limit}})
	}
}
