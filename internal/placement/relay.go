package placement

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcerr"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/crash"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
	"github.com/damaskshelf/damaskshelf/internal/wait"
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

// errNoSession rejects an instance that chose this one as its relay while this one has no dispatcher. If this one placed
// for it, the requests of a few dozen instances would be placed without the work of all others.
var errNoSession = drpcerr.WithCode(errors.New("this relay has no dispatcher at the moment"), codeNoSession)

// Codes of errors on the wire after which the instance may be asked again shortly.
const (
	codeStateIncomplete = 1
	codeNoSession       = 2
)

// isTransient reports whether another instance rejected this one only for the moment.
func isTransient(err error) bool {
	code := drpcerr.Code(err)
	return code == codeStateIncomplete || code == codeNoSession
}

const (
	// relaySessionWait is how long a relay that has lost its dispatcher lets an instance wait for its next session. Most
	// instances would otherwise attach to the next dispatcher directly, and change to their relays right after.
	relaySessionWait  = 150 * time.Millisecond
	relayPollInterval = 5 * time.Millisecond
)

// awaitSession waits until this instance has a session, for at most relaySessionWait.
func (c *Client) awaitSession(ctx context.Context) {
	wait.Until(ctx, time.Now().Add(relaySessionWait), relayPollInterval, func() bool { return c.Dispatcher() != "" })
}

// admit decides how to serve an instance that attaches: as its dispatcher (via is nil) until demoted is closed, as a relay
// over the session via, or not at all.
func (c *Client) admit(instance fleet.InstanceID, first *pb.FromEntry) (via *session, demoted <-chan struct{}, _ error) {
	c.mu.Lock()
	s, demoted := c.session, c.demoted
	c.mu.Unlock()
	if first.ViaRelay && (s == nil || s.peerID == instance) {
		return nil, nil, errNoSession
	}
	if s == nil || s.peerID == c.self || s.peerID == instance {
		return nil, demoted, c.checkDispatchFor(instance, first)
	}
	if first.OnlyToPass && !(s.isLive() && c.precedes(s.peerID, instance)) {
		return nil, nil, errNoRelay
	}
	return s, nil, nil
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
func (c *Client) relay(stream timeoutStream, instance fleet.InstanceID, to *remoteSink, via *session, first *pb.FromEntry) error {
	c.mu.Lock()
	c.relayed[instance] = to
	c.mu.Unlock()
	c.log.Info("relaying for an instance", "entry", instance, "dispatcher", via.peerID)
	c.catchUpRelayed(to, first)
	defer c.endRelayed(instance, to, via)
	streamErr := make(chan error, 1)
	go func() { streamErr <- c.forwardMessages(stream, instance, to, via, first) }()
	select {
	case <-via.done:
		return nil
	case err := <-streamErr:
		c.log.Info("relayed instance's session ended", "entry", instance, "cause", stream.endCause(err))
		return err
	}
}

// endRelayed reports to the dispatcher that an instance's session has ended, unless the instance has opened another one
// here meanwhile. The dispatcher couldn't tell the two apart: it would drop the instance, whose requests then get no
// answer although its new session is alive.
func (c *Client) endRelayed(instance fleet.InstanceID, to *remoteSink, via *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.relayed[instance] != to {
		return
	}
	delete(c.relayed, instance)
	via.send(&pb.FromEntry{Passed: []*pb.Passed{{Entry: string(instance), Ended: true}}}) // before that of a next session
}

// forwardMessages forwards messages until the attached instance's session ends. Heartbeats end here: they are for the
// receiver, and the dispatcher has this instance's own.
func (c *Client) forwardMessages(stream pb.DRPCPlacement_AttachStream, instance fleet.InstanceID, to *remoteSink, via *session, first *pb.FromEntry) error {
	defer crash.Report("relay for another instance")
	for m := first; ; {
		if proto.Size(m) > 0 {
			via.send(&pb.FromEntry{Passed: []*pb.Passed{{Entry: string(instance), Message: m, RelaysState: true}}})
		}
		var err error
		if m, err = stream.Recv(); err != nil {
			return err
		}
		c.catchUpRelayed(to, m)
	}
}

// catchUpRelayed sends an instance full copies of the kinds that its message shows it to need, from the copies here, and
// removes that part of the message. The dispatcher's link would carry these copies once for each instance.
func (c *Client) catchUpRelayed(to *remoteSink, m *pb.FromEntry) {
	if len(m.Proofs) == 0 {
		return
	}
	changes, err := newerCopies(c.follower, c.hub.fullCopies, m.Proofs)
	if err != nil {
		c.log.Error("state can't be sent", "error", err)
	}
	if len(changes) > 0 {
		to.send(&pb.ToEntry{Changes: changes})
	}
	m.Proofs = nil
}

// relayedSinks returns the instances that this one relays for.
func (c *Client) relayedSinks() []*remoteSink {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.relayed))
}

// broadcastState sends changes or proofs of the copies here to the instances that get the store's state from this one:
// those attached to it as the dispatcher, and those that it relays for.
func (c *Client) broadcastState(m *pb.ToEntry) {
	c.hub.broadcast(m)
	for _, to := range c.relayedSinks() {
		to.send(m)
	}
}

// relayAnnouncements sends what a dispatcher's message says of limits, departures and requests held back to the instances that
// this one relays for.
func (c *Client) relayAnnouncements(m *pb.ToEntry) {
	if len(m.Limits)+len(m.Departures)+len(m.HeldBack) == 0 {
		return
	}
	for _, to := range c.relayedSinks() {
		to.send(&pb.ToEntry{Limits: m.Limits, Departures: m.Departures, HeldBack: m.HeldBack})
	}
}

// deliverRelayed delivers messages to the instances that this one relays for.
func (c *Client) deliverRelayed(all []*pb.Back) {
	for _, b := range all {
		c.mu.Lock()
		to := c.relayed[fleet.InstanceID(b.Entry)]
		c.mu.Unlock()
		switch {
		case to == nil:
		case b.Message == nil:
			to.disconnect() // the dispatcher doesn't know the session
		default:
			to.send(b.Message)
		}
	}
}

// relayedSink sends to an instance through its relay.
type relayedSink struct {
	via         sink
	instance    fleet.InstanceID
	relaysState bool // the relay sends the instance the store's state, limits and departures itself
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
			h.detach(instance, s, causeAtRelay)
		case p.Ended || p.Message == nil:
		case p.Message.Entry != "":
			h.applyChanges(p.Message)
			h.attach(instance, &relayedSink{via: via, instance: instance, relaysState: p.RelaysState}, p.Message)
		case known:
			h.applyChanges(p.Message)
			h.receive(instance, s, p.Message)
		default:
			// The instance takes this session for live, and its requests would get no answer. It attaches again.
			via.send(&pb.ToEntry{Back: []*pb.Back{{Entry: p.Entry}}})
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
		h.detach(instance, s, causeRelayLost)
	}
}

// findRelay attaches to an instance that reaches a dispatcher preceding this one. It returns nil if it finds none, or
// if the last search was too recent. Instances of other failure domains are tried first, because those of this
// domain are usually partitioned from the dispatcher as well.
func (c *Client) findRelay(ctx context.Context, others []peerCandidate) *session {
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
	slices.SortStableFunc(relays, func(a, b peerCandidate) int {
		return cmp.Compare(sameDomainRank(a.Member, c.domain), sameDomainRank(b.Member, c.domain))
	})
	first := func() *pb.FromEntry {
		m := c.firstMessage()
		m.OnlyToPass = true
		return m
	}
	for _, m := range relays[:min(maxRelayAttempts, len(relays))] {
		if s, err := c.dialSession(ctx, m.Member, first); err == nil {
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
