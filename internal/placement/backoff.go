package placement

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

const (
	// minBackoff and maxBackoff bound how long an instance is not contacted after it could not be reached.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// startupBackoff is how long an instance that has just started is not contacted. It receives the store's state
	// within that time, and is only its own dispatcher until others attach.
	startupBackoff = 50 * time.Millisecond
)

// backoff is a period during which an instance is not contacted.
type backoff struct {
	incarnation uint64 // the incarnation that could not be reached
	until       time.Time
	delay       time.Duration
}

// recordFailure starts a backoff for an instance that could not be reached. Each backoff is twice as long as the one
// before, within minBackoff and maxBackoff, until a session with the instance opens or it has a new incarnation.
func (c *Client) recordFailure(id fleet.InstanceID, err error) {
	incarnation := c.incarnation(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.backoffs[id]
	if b.delay == 0 || b.incarnation != incarnation {
		c.log.Warn("dispatcher lost", "instance", id, "error", err)
		b = backoff{incarnation: incarnation}
	}
	b.delay = min(maxBackoff, max(minBackoff, 2*b.delay))
	b.until = time.Now().Add(b.delay)
	c.backoffs[id] = b
}

// incarnation returns an instance's incarnation as listed in the store, or 0 if it isn't listed.
func (c *Client) incarnation(id fleet.InstanceID) uint64 {
	if m := c.member(id); m != nil {
		return m.Incarnation
	}
	return 0
}

// member returns an instance as listed in the store, or nil.
func (c *Client) member(id fleet.InstanceID) *catalog.Member {
	for _, m := range c.snapshot().Members {
		if m.ID == id {
			return m
		}
	}
	return nil
}

// inBackoff reports whether an instance must not be contacted now. One that has restarted may be contacted: its new
// incarnation has not been tried yet, and if it is the first in dispatcher order, it dispatches for all instances
// that know of it.
func (c *Client) inBackoff(m *catalog.Member, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.backoffs[m.ID]
	return b.incarnation == m.Incarnation && now.Before(b.until)
}

// deferStarting starts a short backoff for an instance that can't be a dispatcher until it has read the store.
func (c *Client) deferStarting(id fleet.InstanceID) {
	c.log.Info("instance has just started and isn't asked yet", "instance", id)
	incarnation := c.incarnation(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoffs[id] = backoff{until: time.Now().Add(startupBackoff), incarnation: incarnation}
	time.AfterFunc(startupBackoff, c.checkOrderNow)
}

// checkOrderNow triggers a check of the dispatcher order.
func (c *Client) checkOrderNow() {
	select {
	case c.orderCheck <- struct{}{}:
	default:
	}
}
