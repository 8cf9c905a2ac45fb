package placement

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/gateway"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
)

// HoldOffs is the number of upstreams that have asked this instance to stay away.
func (c *Client) HoldOffCount() int { return int(c.holdoffs.count.Load()) }

// HeldOff tells whether an upstream wants nothing from this instance now.
func (c *Client) HeldOff(u *catalog.Upstream) bool { return c.holdoffs.held(u) }

// Answered implements gateway.Answered.
func (c *Client) ObserveAnswer(u *catalog.Upstream, a gateway.Answer, sent time.Time) {
	if a.HoldOff > 0 {
		c.holdoffs.hold(u, time.Now().Add(a.HoldOff))
	}
	if a.Leaving {
		c.MarkLeaving(u, "its answer says so")
	}
	if news := c.limits.answered(u, a, sent, c.self); news != nil {
		c.tell(&pb.FromEntry{Limits: []*pb.Limit{news}})
	}
}
