package placement

import (
	"context"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/gateway"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
)

// waiting is a request that waits for a place.
type waiting struct {
	ask   gateway.Ask
	asked time.Time
	reply chan reply // holds one
}

// reply is the dispatcher's answer; neither part: there is no dispatcher.
type reply struct {
	place   *pb.Place
	refused *pb.Refusal
}

// freeWaiting has the requests that wait for a dispatcher placed by this instance's own view: there is none
// that it can reach, and nobody would ever answer them.
func (c *Client) freeWaiting() {
	c.mu.Lock()
	free := c.waiting
	c.waiting = map[fleet.RequestID]*waiting{}
	c.mu.Unlock()
	for _, w := range free {
		w.reply <- reply{}
	}
}

// got takes a message of the dispatcher.
func (c *Client) got(m *pb.ToEntry) {
	c.gotBack(m.Back)
	for _, d := range m.Departures {
		c.follower.Left(departed(d), d.Sign, fleet.InstanceID(d.By))
	}
	for _, l := range m.Limits {
		c.limits.take(c.limits.statement(l))
	}
	if len(m.Changes)+len(m.Proofs) > 0 {
		c.gotState(m)
	}
	for _, p := range m.Places {
		c.settle(fleet.RequestID(p.Id), reply{place: p})
	}
	for _, r := range m.Refusals {
		c.settle(fleet.RequestID(r.Id), reply{refused: r})
	}
}

// settle hands a reply to the request that waits for it. A place that nobody waits for is given back.
func (c *Client) settle(id fleet.RequestID, r reply) {
	c.mu.Lock()
	w := c.waiting[id]
	delete(c.waiting, id)
	_, runs := c.running[id]
	c.mu.Unlock()
	if w != nil {
		w.reply <- r
		return
	}
	if r.place != nil && !runs {
		c.tell(&pb.FromEntry{Withdrawn: []string{string(id)}})
	}
}

func (c *Client) tell(m *pb.FromEntry) {
	c.mu.Lock()
	s := c.session
	c.mu.Unlock()
	if s != nil {
		s.tell(m)
	}
}

// Place implements gateway.Placer.
func (c *Client) Place(ctx context.Context, a gateway.Ask) (gateway.Grant, error) {
	a.Avoid = c.holdoffs.added(a.Avoid)
	w := &waiting{ask: a, asked: time.Now(), reply: make(chan reply, 1)}
	c.mu.Lock()
	s := c.session
	c.waiting[a.ID] = w
	c.mu.Unlock()
	if s != nil {
		s.tell(&pb.FromEntry{Asks: []*pb.Ask{message(&a, w.asked, w.asked)}})
	}
	alone := time.NewTimer(sessionWait)
	defer alone.Stop()
	for {
		select {
		case r := <-w.reply:
			return c.answer(ctx, w, r)
		case <-alone.C:
			if c.withdrawAlone(w) {
				return c.local.Place(ctx, a)
			}
		case <-ctx.Done():
			c.withdraw(a.ID)
			return nil, fault.New(fault.Infeasible, "waited until its time was over")
		}
	}
}

// withdrawAlone takes a request back that no dispatcher can have been asked for; false: one was.
func (c *Client) withdrawAlone(w *waiting) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil || c.waiting[w.ask.ID] != w {
		return false
	}
	delete(c.waiting, w.ask.ID)
	return true
}

func (c *Client) withdraw(id fleet.RequestID) {
	c.mu.Lock()
	delete(c.waiting, id)
	c.mu.Unlock()
	c.tell(&pb.FromEntry{Withdrawn: []string{string(id)}})
}

// refusalKinds are the kinds of refusals that don't come from the request itself.
var refusalKinds = map[decide.Reason]fault.Kind{
	dispatch.NoUpstream: fault.NoUpstream, dispatch.RateLimited: fault.UpstreamLimit,
}

// answer turns the dispatcher's reply into a grant or a refusal.
func (c *Client) answer(ctx context.Context, w *waiting, r reply) (gateway.Grant, error) {
	if r.refused != nil {
		f := fault.New(fault.Infeasible, "%s", r.refused.Reason)
		if kind, ok := refusalKinds[decide.Reason(r.refused.Reason)]; ok {
			f.Kind = kind
		}
		f.RetryAfter = ms(r.refused.RetryAfterMs)
		return nil, f
	}
	if r.place == nil {
		return c.local.Place(ctx, w.ask)
	}
	snap := c.snapshot()
	u := snap.Upstream(fleet.UpstreamID(r.place.Upstream))
	if u == nil || ctx.Err() != nil {
		// The dispatcher knows of an upstream that this instance doesn't know yet, or any more.
		c.tell(&pb.FromEntry{Withdrawn: []string{string(w.ask.ID)}})
		return c.local.Place(ctx, w.ask)
	}
	g := &dispatched{c: c, ask: w.ask, asked: w.asked, upstream: u, reason: r.place.Reason, overdue: ms(r.place.OverdueMs)}
	for _, id := range r.place.Helpers {
		if h := snap.Upstream(fleet.UpstreamID(id)); h != nil && snap.Open(h) {
			g.helpers = append(g.helpers, h.ID)
			g.addrs = append(g.addrs, h.Addr)
		}
	}
	for _, m := range r.place.Holders {
		h := snap.Upstream(fleet.UpstreamID(m.Upstream))
		if h == nil || !snap.Open(h) {
			// Without all of its memory the prompt can't be read: another place is needed.
			c.tell(&pb.FromEntry{Withdrawn: []string{string(w.ask.ID)}})
			return nil, fault.New(fault.NoUpstream, "holder %s is not open here", m.Upstream)
		}
		g.holders = append(g.holders, gateway.Holder{Upstream: h, Tokens: int(m.Tokens)})
	}
	c.mu.Lock()
	c.running[w.ask.ID] = g
	c.mu.Unlock()
	return g, nil
}
