package placement

import (
	"context"
	"fmt"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/gateway"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
)

// waitingRequest is a request that waits for a place.
type waitingRequest struct {
	ask     gateway.PlacementRequest
	askedAt time.Time
	asked   bool       // guarded by Client.mu: a dispatcher was asked, and has let the request wait
	reply   chan reply // buffered, with room for one
}

// reply is the dispatcher's answer to a placement request. If neither field is set, there is no dispatcher.
type reply struct {
	place   *pb.Place
	refusal *pb.Refusal
}

// releaseWaiting places all waiting requests locally. It is called while no dispatcher is reachable, when nothing
// else would answer them.
func (c *Client) releaseWaiting() {
	c.mu.Lock()
	released := c.waiting
	c.waiting = map[fleet.RequestID]*waitingRequest{}
	c.mu.Unlock()
	for _, w := range released {
		w.reply <- reply{}
	}
}

// receive handles a message from the dispatcher.
func (c *Client) receive(m *pb.ToEntry) {
	c.deliverRelayed(m.Back)
	for _, d := range m.Departures {
		c.follower.MarkLeaving(departedProcess(d), d.Sign, fleet.InstanceID(d.By))
	}
	for _, l := range m.Limits {
		c.limits.record(c.limits.decode(l))
	}
	c.heldBack.apply(m.HeldBack)
	c.relayAnnouncements(m)
	if len(m.Changes)+len(m.Proofs) > 0 {
		c.applyDispatcherState(m)
	}
	for _, p := range m.Places {
		c.deliverReply(fleet.RequestID(p.Id), reply{place: p})
	}
	for _, r := range m.Refusals {
		c.deliverReply(fleet.RequestID(r.Id), reply{refusal: r})
	}
}

// deliverReply delivers a reply to the request that waits for it. A place is returned to the dispatcher if its
// request neither waits nor runs.
func (c *Client) deliverReply(id fleet.RequestID, r reply) {
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
		c.sendToDispatcher(&pb.FromEntry{Withdrawn: []string{string(id)}})
	}
}

// sendToDispatcher sends a message on the current session. Without a session it drops the message.
func (c *Client) sendToDispatcher(m *pb.FromEntry) {
	c.mu.Lock()
	s := c.session
	c.mu.Unlock()
	if s != nil {
		s.send(m)
	}
}

// Place implements gateway.Placer. It waits for the dispatcher's reply, and places the request locally while no
// dispatcher is reachable.
func (c *Client) Place(ctx context.Context, q gateway.PlacementRequest) (gateway.Grant, error) {
	if left, _ := c.heldBack.check(q.Keys, q.Workspace); left > 0 {
		return nil, heldBackFault(left)
	}
	q.Avoid = c.holdoffs.addTo(q.Avoid)
	c.mu.Lock()
	q.ID = c.unusedID(q.ID)
	s := c.session
	w := &waitingRequest{ask: q, askedAt: time.Now(), asked: s != nil, reply: make(chan reply, 1)}
	c.waiting[q.ID] = w
	c.mu.Unlock()
	if s != nil {
		s.send(&pb.FromEntry{Asks: []*pb.Ask{askMessage(&q, w.askedAt, w.askedAt)}})
	}
	sessionTimer := time.NewTimer(sessionWait)
	defer sessionTimer.Stop()
	for {
		select {
		case r := <-w.reply:
			return c.grantFromReply(ctx, w, r)
		case <-sessionTimer.C:
			if c.withdrawIfNoSession(w) {
				return c.placeWithoutDispatcher(ctx, w)
			}
		case <-ctx.Done():
			c.withdrawRequest(q.ID)
			return nil, fault.New(fault.Infeasible, "waited until its time was over")
		}
	}
}

// placeWithoutDispatcher places a request that no dispatcher will answer.
func (c *Client) placeWithoutDispatcher(ctx context.Context, w *waitingRequest) (gateway.Grant, error) {
	if c.stopsWithoutDispatcher(w) {
		return nil, fault.New(fault.Stopping, "no dispatcher while this instance is stopping")
	}
	return c.placeLocally(ctx, w.ask)
}

// placeLocally places a request by this instance's view alone. A request that only one of all instances may try is not sent.
func (c *Client) placeLocally(ctx context.Context, q gateway.PlacementRequest) (gateway.Grant, error) {
	if left, listed := c.heldBack.check(q.Keys, q.Workspace); listed {
		return nil, heldBackFault(max(left, tryDelay))
	}
	if c.endsTooSoon(&q, time.Now()) {
		return nil, fault.New(fault.Stopping, "this instance ends before the first event")
	}
	return c.local.Place(ctx, q)
}

// unusedID returns id, or id with a number if another request of this instance has it now; mu is held. Callers choose the ids,
// and two may choose the same one.
func (c *Client) unusedID(id fleet.RequestID) fleet.RequestID {
	unused := id
	for n := 2; c.waiting[unused] != nil || c.running[unused] != nil; n++ {
		unused = fleet.RequestID(fmt.Sprintf("%s#%d", id, n))
	}
	return unused
}

// withdrawIfNoSession removes a waiting request if there is no session, and reports whether it did.
func (c *Client) withdrawIfNoSession(w *waitingRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil || c.waiting[w.ask.ID] != w {
		return false
	}
	delete(c.waiting, w.ask.ID)
	return true
}

// withdrawRequest removes a waiting request, and reports to the dispatcher that it needs no place any more.
func (c *Client) withdrawRequest(id fleet.RequestID) {
	c.mu.Lock()
	delete(c.waiting, id)
	c.mu.Unlock()
	c.sendToDispatcher(&pb.FromEntry{Withdrawn: []string{string(id)}})
}

// faultKinds maps the reasons of refusals that don't come from the request itself to kinds of faults.
var faultKinds = map[decide.Reason]fault.Kind{
	dispatch.InstanceEnds: fault.Stopping,
	dispatch.NoUpstream:   fault.NoUpstream, dispatch.RateLimited: fault.UpstreamLimit, dispatch.HeldBack: fault.HeldBack,
}

// grantFromReply returns the grant or error that the dispatcher's reply stands for. It places the request locally if
// there is no dispatcher, or if the upstream is unknown here.
func (c *Client) grantFromReply(ctx context.Context, w *waitingRequest, r reply) (gateway.Grant, error) {
	if r.refusal != nil {
		f := fault.New(fault.Infeasible, "%s", r.refusal.Reason)
		if kind, ok := faultKinds[decide.Reason(r.refusal.Reason)]; ok {
			f.Kind = kind
		}
		f.RetryAfter = ms(r.refusal.RetryAfterMs)
		return nil, f
	}
	if r.place == nil {
		return c.placeWithoutDispatcher(ctx, w)
	}
	snap := c.snapshot()
	u := snap.Upstream(fleet.UpstreamID(r.place.Upstream))
	if u == nil || ctx.Err() != nil {
		// The dispatcher knows an upstream that this instance doesn't know yet, or no longer knows.
		c.sendToDispatcher(&pb.FromEntry{Withdrawn: []string{string(w.ask.ID)}})
		return c.placeLocally(ctx, w.ask)
	}
	g := &dispatchedGrant{c: c, ask: w.ask, askedAt: w.askedAt, grantedAt: time.Now(), upstream: u, reason: r.place.Reason, answerTimeout: max(0, ms(r.place.OverdueMs))}
	for _, id := range r.place.Helpers {
		if h := snap.Upstream(fleet.UpstreamID(id)); h != nil && snap.AcceptsWork(h) {
			g.helpers = append(g.helpers, h.ID)
			g.helperAddrs = append(g.helperAddrs, h.Addr)
		}
	}
	for _, m := range r.place.Holders {
		h := snap.Upstream(fleet.UpstreamID(m.Upstream))
		if h == nil || !snap.AcceptsWork(h) {
			// The prompt can't be processed without all of its memory, so it needs another place.
			c.sendToDispatcher(&pb.FromEntry{Withdrawn: []string{string(w.ask.ID)}})
			return nil, fault.New(fault.NoUpstream, "holder %s is not open here", m.Upstream)
		}
		g.reservations = append(g.reservations, gateway.Reservation{Upstream: h, Tokens: int(m.Tokens)})
	}
	c.mu.Lock()
	c.running[w.ask.ID] = g
	c.mu.Unlock()
	return g, nil
}
