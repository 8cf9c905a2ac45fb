package placement

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/gateway"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
)

// SetEnd tells the dispatcher that this instance is stopping and serves nobody after the time at. Requests that can't be
// answered by then are refused, those that wait already as soon as that is known.
func (c *Client) SetEnd(at time.Time) {
	c.mu.Lock()
	c.endsAt = at
	m := &pb.FromEntry{EndsMs: c.endsMs(time.Now())}
	s := c.session
	c.mu.Unlock()
	if s != nil { // else the next session's first message has it
		s.send(m)
	}
}

// stopsWithoutDispatcher reports whether a request that has lost its dispatcher is refused because this instance is stopping.
// No upstream had room for it: instances that each place what waits by their own views fill engines that have none, and their
// process ends before such an engine begins.
func (c *Client) stopsWithoutDispatcher(w *waitingRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.endsAt.IsZero() && w.asked
}

// endsMs returns the time until this instance's stop ends, as sent to the dispatcher; c.mu is held.
func (c *Client) endsMs(now time.Time) int64 {
	if c.endsAt.IsZero() {
		return 0
	}
	return max(1, c.endsAt.Sub(now).Milliseconds())
}

// endsTooSoon reports whether this instance ends before a request that it places by its own view can have its first event.
func (c *Client) endsTooSoon(q *gateway.PlacementRequest, now time.Time) bool {
	c.mu.Lock()
	end := c.endsAt
	c.mu.Unlock()
	if end.IsZero() || q.Resumed {
		return false
	}
	return now.Add(c.idleFirstEventTime(q)).After(end)
}

// idleFirstEventTime returns the time from the start of a request to its first event on an idle engine, 0 if its service has no
// engines.
func (c *Client) idleFirstEventTime(q *gateway.PlacementRequest) time.Duration {
	config := c.snapshot().Config
	if config == nil || config.Service(q.Service) == nil {
		return 0
	}
	model := dispatchModel(config.Service(q.Service))
	if model == nil {
		return 0
	}
	return model.IdleFirstEvent(q.PromptTokens)
}

// applyEnd records when an instance that is stopping ends; mu is held. endsMs is 0 if its message says nothing of it.
func (h *hub) applyEnd(now decide.Instant, instance fleet.InstanceID, endsMs int64) {
	if endsMs <= 0 {
		return
	}
	at := now.Add(ms(endsMs))
	h.ends[instance] = at
	h.forEachState(func(st *dispatch.State) { st.SetInstanceEnd(instance, at) })
}
