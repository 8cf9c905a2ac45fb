package placement

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"storj.io/drpc/drpcerr"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
)

// Two failure domains can be partitioned from each other while a third reaches both. An instance that can't reach the
// dispatcher then attaches to another instance that can, which relays its messages. Otherwise two dispatchers would
// place on the same engines, each without knowing half of the work, and every stream on them would pause.

// errNoRelay rejects an instance that asked for a relay to a dispatcher preceding it, if this instance can't relay to
// one.
var errNoRelay = errors.New("no dispatcher before the instance is reached through this one")

// errStateIncomplete rejects an instance that holds parts of the store's state that this one has not read yet. The
// instance recognizes it by its code.
var errStateIncomplete = drpcerr.WithCode(errors.New("this instance has just started and knows less than the one that asks"), codeStateIncomplete)

// codeStateIncomplete is the code of errStateIncomplete on the wire.
const codeStateIncomplete = 1

// admit decides how to serve an instance that attaches: as its dispatcher (via is nil), as a relay over the session
// via, or not at all.
func (c *Client) admit(instance fleet.InstanceID, first *pb.FromEntry) (via *session, _ error) {
	c.mu.Lock()
	s := c.session
	c.mu.Unlock()
	if s == nil || s.peerID == c.self || s.peerID == instance {
		return nil, c.checkDispatchFor(instance, first)
	}
	if first.OnlyToPass && !(s.isLive() && c.precedes(s.peerID, instance)) {
		return nil, errNoRelay
	}
	return s, nil
}

// checkDispatchFor returns an error if this instance must not be the dispatcher of one that attaches. An instance
// that has just started must not: it would refuse every request until it knows the upstreams, and it may be first in
// dispatcher order as soon as it has joined.
func (c *Client) checkDispatchFor(instance fleet.InstanceID, first *pb.FromEntry) error {
	if first.OnlyToPass {
		return errNoRelay
	}
	if instance != c.self && !hasAllKinds(c.follower.Proofs(), first.Proofs) {
		return errStateIncomplete
	}
	return nil
}

// precedes reports whether a comes before b in dispatcher order.
func (c *Client) precedes(a, b fleet.InstanceID) bool {
	members := c.dispatcherOrder()
	at := func(id fleet.InstanceID) int {
		return slices.IndexFunc(members, func(m *catalog.Member) bool { return m.ID == id })
	}
	return at(a) >= 0 && at(a) < at(b)
}

// relay forwards an attached instance's messages until either session ends. When this instance's own session ends, it
// closes the attached instance's session in order, so that the instance attaches again.
func (c *Client) relay(stream pb.DRPCPlacement_AttachStream, instance fleet.InstanceID, to *remoteSink, via *session, first *pb.FromEntry) error {
	c.mu.Lock()
	c.relayed[instance] = to
	c.mu.Unlock()
	c.log.Info("passing on for an instance that can't reach the dispatcher", "entry", instance, "dispatcher", via.peerID)
	defer func() {
		c.mu.Lock()
		if c.relayed[instance] == to {
			delete(c.relayed, instance)
		}
		c.mu.Unlock()
		via.send(&pb.FromEntry{Passed: []*pb.Passed{{Entry: string(instance), Ended: true}}})
	}()
	streamErr := make(chan error, 1)
	go func() { streamErr <- forwardMessages(stream, instance, via, first) }()
	select {
	case <-via.done:
		return nil
	case err := <-streamErr:
		return err
	}
}

// forwardMessages forwards messages until the attached instance's session ends.
func forwardMessages(stream pb.DRPCPlacement_AttachStream, instance fleet.InstanceID, via *session, first *pb.FromEntry) error {
	for m := first; ; {
		via.send(&pb.FromEntry{Passed: []*pb.Passed{{Entry: string(instance), Message: m}}})
		var err error
		if m, err = stream.Recv(); err != nil {
			return err
		}
	}
}

// deliverRelayed delivers messages to the instances that this one relays for.
func (c *Client) deliverRelayed(all []*pb.Back) {
	for _, b := range all {
		c.mu.Lock()
		to := c.relayed[fleet.InstanceID(b.Entry)]
		c.mu.Unlock()
		if to != nil {
			to.send(b.Message)
		}
	}
}

// relayedSink sends to an instance through its relay.
type relayedSink struct {
	via      sink
	instance fleet.InstanceID
}

// send implements sink.
func (s *relayedSink) send(m *pb.ToEntry) {
	s.via.send(&pb.ToEntry{Back: []*pb.Back{{Entry: string(s.instance), Message: m}}})
}

// receiveRelayed handles the messages that an attached instance relays.
func (h *hub) receiveRelayed(via sink, all []*pb.Passed) {
	for _, p := range all {
		instance := fleet.InstanceID(p.Entry)
		h.mu.Lock()
		s, _ := h.sinks[instance].(*relayedSink)
		h.mu.Unlock()
		known := s != nil && s.via == via
		switch {
		case p.Ended && known:
			h.detach(instance, s)
		case p.Ended || p.Message == nil:
		case p.Message.Entry != "":
			h.applyChanges(p.Message)
			h.attach(instance, &relayedSink{via: via, instance: instance}, p.Message)
		case known:
			h.applyChanges(p.Message)
			h.receive(instance, s, p.Message)
		}
	}
}

// detachRelayed ends the sessions of all instances that were attached through via.
func (h *hub) detachRelayed(via sink) {
	h.mu.Lock()
	relayed := map[fleet.InstanceID]sink{}
	for instance, s := range h.sinks {
		if p, ok := s.(*relayedSink); ok && p.via == via {
			relayed[instance] = s
		}
	}
	h.mu.Unlock()
	for instance, s := range relayed {
		h.detach(instance, s)
	}
}

// findRelay attaches to an instance that reaches a dispatcher preceding this one. It returns nil if it finds none, or
// if the last search was too recent. Instances of other failure domains are tried first, because those of this
// domain are usually partitioned from the dispatcher as well.
func (c *Client) findRelay(ctx context.Context, others []*catalog.Member) *session {
	c.mu.Lock()
	due := time.Since(c.lastRelaySearch) > relaySearchInterval
	if due {
		c.lastRelaySearch = time.Now()
	}
	c.mu.Unlock()
	if !due {
		return nil
	}
	relays := slices.Clone(others)
	slices.SortStableFunc(relays, func(a, b *catalog.Member) int {
		return cmp.Compare(sameDomainRank(a, c.domain), sameDomainRank(b, c.domain))
	})
	first := func() *pb.FromEntry {
		m := c.firstMessage()
		m.OnlyToPass = true
		return m
	}
	for _, m := range relays[:min(maxRelayAttempts, len(relays))] {
		if s, err := c.dialSession(ctx, m, first); err == nil {
			return s
		}
	}
	return nil
}

// sameDomainRank returns 1 for a member of the domain, and 0 for all others, which sort before it.
func sameDomainRank(m *catalog.Member, domain fleet.DomainID) int {
	if m.Domain == domain {
		return 1
	}
	return 0
}
