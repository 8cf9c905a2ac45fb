package placement

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/crash"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/peer"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
	"github.com/damaskshelf/damaskshelf/internal/wait"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

const (
	// rendezvousKey is the key under which rendezvous hashing ranks instances as dispatchers.
	rendezvousKey = "dispatcher"
	// orderCheckInterval is how often an instance with a session checks the dispatcher order.
	orderCheckInterval = 200 * time.Millisecond
	// relaySearchInterval is how often an instance that is its own dispatcher searches for a relay to a preceding
	// dispatcher, and maxRelayAttempts is how many instances it tries in one search.
	relaySearchInterval = time.Second
	maxRelayAttempts    = 3
	// fullCopyTimeout is how long after requesting a full copy an instance may request it again.
	fullCopyTimeout = time.Second
	// sessionWait is how long a request waits for a session before it is placed locally. The next session usually
	// opens within some ms, and a local placement ignores the work of all other instances.
	sessionWait = 100 * time.Millisecond
	// handoverPause is the delay before the next attach when a session is handed over right after it opened: the two
	// instances see a membership change some ms apart.
	handoverPause = 10 * time.Millisecond
)

// Errors of a session that has ended.
var (
	errSessionSilent = errors.New("session timed out: nothing was received")
	errSessionShort  = errors.New("session ended right after it was opened")
)

// Client places requests through the dispatcher, which is the first reachable member in dispatcher order. When the
// dispatcher times out, the next member takes over and rebuilds its state from the in-flight work that the instances
// report. Two dispatchers at one time place requests less well, but break no rule: every rule is checked where a
// request is sent.
type Client struct {
	self     fleet.InstanceID
	domain   fleet.DomainID
	follower *watch.Follower
	snapshot func() *catalog.Snapshot
	log      hclog.Logger
	hub      *hub
	local    *LocalPlacer
	limits   *limitTable
	holdoffs *holdoffs
	heldBack *heldBackTable
	updates  *outbox[update]

	mu                    sync.Mutex
	session               *session                             // guarded by mu; nil: none
	waiting               map[fleet.RequestID]*waitingRequest  // guarded by mu
	running               map[fleet.RequestID]*dispatchedGrant // guarded by mu
	pastEnds              []pastEnd                            // guarded by mu: the latest last
	backoffs              map[fleet.InstanceID]backoff         // guarded by mu
	relayed               map[fleet.InstanceID]*remoteSink     // guarded by mu: instances that this one relays for
	endsAt                time.Time                            // guarded by mu: when this instance's stop ends; zero: it isn't stopping
	demoted               chan struct{}                        // guarded by mu: closed, and replaced, when this instance attaches to another one
	lastRelaySearch       time.Time                            // guarded by mu: when a relay to a preceding dispatcher was last searched for
	requestedAt           map[string]time.Time                 // guarded by mu: when each kind was last requested
	dispatcherBehindSince map[string]time.Time                 // guarded by mu: since when the dispatcher has lacked changes, by kind
	process               uint64                               // random number of this process
	sessionCount          uint64                               // guarded by mu: sessions that were begun
	inviter               atomic.Pointer[catalog.Member]       // dispatcher that invited this instance while it knew no members
	rankedOrder           *cachedOrder                         // used by Run only: the order that ranked was made from
	ranked                []peerCandidate                      // used by Run only: the candidates
	orderCheck            chan struct{}                        // holds a token while the dispatcher order should be checked
}

// NewClient returns a Client for the instance self.
func NewClient(self fleet.InstanceID, domain fleet.DomainID, f *watch.Follower, log hclog.Logger) *Client {
	c := &Client{
		self: self, domain: domain, follower: f, snapshot: f.Snapshot, log: log.Named("placement"), hub: newHub(self, f, log),
		limits: newLimitTable(log.Named("placement")), holdoffs: newHoldoffs(log.Named("placement")), heldBack: newHeldBackTable(),
		waiting: map[fleet.RequestID]*waitingRequest{}, running: map[fleet.RequestID]*dispatchedGrant{},
		backoffs: map[fleet.InstanceID]backoff{}, relayed: map[fleet.InstanceID]*remoteSink{}, requestedAt: map[string]time.Time{}, updates: newOutbox[update](),
		orderCheck: make(chan struct{}, 1), demoted: make(chan struct{}),
	}
	c.process = rand.Uint64()
	c.local = NewLocalPlacer(f.Snapshot, c.limits.isLimited)
	f.ShareReads(c.queueChange)
	return c
}

// Serve serves the sessions of other instances, as a dispatcher or a relay, until ctx ends. It then closes l. It has at
// most maxConns connections open: every other instance may attach to a dispatcher, and may open a second connection
// before its first one is known to be dead.
//
// The functions in register add further services to the same listener.
func (c *Client) Serve(ctx context.Context, l net.Listener, maxConns int64, register ...func(drpc.Mux) error) error {
	mux := drpcmux.New()
	for _, add := range append(register, func(m drpc.Mux) error { return pb.DRPCRegisterPlacement(m, rpcServer{c: c}) }) {
		if err := add(mux); err != nil {
			return err
		}
	}
	options := drpcserver.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: peer.MaxMessageBytes}, InactivityTimeout: time.Minute,
	}}
	return drpcserver.NewWithOptions(mux, options).Serve(ctx, peer.LimitListener(l, maxConns))
}

// Run keeps a session with the dispatcher and does this instance's own work as a dispatcher until ctx ends.
func (c *Client) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.hub.run(ctx, c.queueProofs) })
	wg.Go(func() { c.sendUpdates(ctx) })
	wg.Go(func() { c.inviteMembers(ctx) })
	for ctx.Err() == nil {
		c.selectDispatcher(ctx)
		c.mu.Lock()
		s := c.session
		c.mu.Unlock()
		if s == nil {
			c.releaseWaiting()
			select {
			case <-c.orderCheck:
			case <-time.After(orderCheckInterval / 4):
			case <-ctx.Done():
			}
			continue
		}
		select {
		case <-s.done:
			c.handleSessionEnd(ctx, s)
		case <-c.orderCheck:
		case <-time.After(orderCheckInterval):
		case <-ctx.Done():
		}
	}
	wg.Wait()
}

// candidates returns the members that this instance may attach to, in order of preference. It is called by Run only,
// several times a second, and ranks the members only after they have changed.
func (c *Client) candidates() []peerCandidate {
	if order := c.memberOrder(); order != c.rankedOrder {
		c.rankedOrder, c.ranked = order, order.candidates(c.self, c.domain)
	}
	if inviter := c.inviter.Load(); len(c.ranked) == 0 && inviter != nil {
		return []peerCandidate{{Member: inviter, asRelay: true}}
	}
	return c.ranked
}

// selectDispatcher attaches to the first reachable candidate, unless the current session is with it.
func (c *Client) selectDispatcher(ctx context.Context) {
	candidates := c.candidates()
	for i, m := range candidates {
		backingOff := c.inBackoff(m.Member, time.Now())
		c.mu.Lock()
		current := c.session
		c.mu.Unlock()
		if m.ID == c.self && i > 0 {
			if s := c.findRelay(ctx, candidates[i+1:]); s != nil {
				c.switchSession(s)
				return
			}
		}
		if current != nil && current.peerID == m.ID {
			return
		}
		if backingOff || ctx.Err() != nil {
			continue
		}
		s, err := c.openSession(ctx, m)
		if isTransient(err) {
			c.deferStarting(m.ID)
			continue
		}
		if err != nil {
			c.recordFailure(m.ID, err)
			continue
		}
		c.switchSession(s)
		return
	}
}

// openSession attaches to a candidate, which may be this instance itself.
func (c *Client) openSession(ctx context.Context, m peerCandidate) (*session, error) {
	if m.ID == c.self {
		return c.openLocalSession(ctx), nil
	}
	return c.dialSession(ctx, m.Member, func() *pb.FromEntry {
		first := c.firstMessage()
		first.ViaRelay = m.asRelay
		return first
	})
}

// localSink queues the messages of this instance's own hub. Handling them directly would call back into the hub while
// its lock is held.
type localSink struct{ out *outbox[*pb.ToEntry] }

// send implements sink.
func (s localSink) send(m *pb.ToEntry) { s.out.put(m) }

// openLocalSession attaches this instance to its own hub. Messages in both directions go through outboxes instead of a
// connection.
func (c *Client) openLocalSession(ctx context.Context) *session {
	sessionCtx, cancel := context.WithCancel(ctx)
	to := localSink{out: newOutbox[*pb.ToEntry]()}
	from := newOutbox[*pb.FromEntry]()
	first := c.firstMessage()
	s := &session{peerID: c.self, firstMessage: first, send: func(m *pb.FromEntry) { from.put(m) }, end: cancel, done: sessionCtx.Done()}
	go func() {
		defer crash.Report("local session, from dispatcher")
		for items := to.out.takeAll(sessionCtx); items != nil; items = to.out.takeAll(sessionCtx) {
			c.receiveFrom(s, mergeToEntry(items))
		}
	}()
	go c.sendHeartbeats(sessionCtx, s)
	go func() {
		defer crash.Report("local session, to dispatcher")
		c.hub.attach(c.self, to, first)
		defer c.hub.detach(c.self, to, causeReplaced)
		for items := from.takeAll(sessionCtx); items != nil; items = from.takeAll(sessionCtx) {
			c.hub.receive(c.self, to, mergeFromEntry(items))
		}
	}()
	return s
}

// firstMessage returns the first message of a session, which holds all requests in flight and all waiting ones.
func (c *Client) firstMessage() *pb.FromEntry {
	proofs := c.follower.Proofs()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.sessionCount++
	m := &pb.FromEntry{
		Entry: string(c.self), Domain: string(c.domain), Process: c.process, Session: c.sessionCount, Proofs: proofMessages(proofs), Limits: c.limits.messages(c.snapshot()),
		Departures: departureMessages(c.follower.Departures()), HeldBack: c.heldBack.messages(),
		PastEnds: c.pastEndMessages(now), EndsMs: c.endsMs(now),
	}
	for _, r := range c.running {
		m.Running = append(m.Running, r.message(now))
	}
	for _, w := range c.waiting {
		w.asked = true
		m.Asks = append(m.Asks, askMessage(&w.ask, w.askedAt, now))
	}
	return m
}

// switchSession makes s the current session and reports what has changed since its first message, because those
// changes went to the previous session only. Without the report, the new dispatcher would keep a finished run, with
// its engines' slots and prefill, in its records until the next change of dispatcher, and those engines would get no
// short prompts. Instances for which this one is the dispatcher attach again if it has another one now: two dispatchers
// would place on the same engines.
func (c *Client) switchSession(s *session) {
	c.mu.Lock()
	old := c.session
	c.session = s
	delete(c.backoffs, s.peerID)
	s.send(c.changesSince(s.firstMessage)) // under the lock, so that later messages follow it
	c.applyDuty()
	if s.peerID != c.self {
		close(c.demoted)
		c.demoted = make(chan struct{})
	}
	c.mu.Unlock()
	c.log.Info("dispatcher", "instance", s.peerID)
	if old != nil {
		old.end()
	}
}

// changesSince returns the changes to requests, and the departures, since a session's first message, and when this instance's
// stop ends; mu is held. Limits are not included, because they are reported again each second.
func (c *Client) changesSince(first *pb.FromEntry) *pb.FromEntry {
	now := time.Now()
	m := &pb.FromEntry{Departures: c.departuresSince(first), EndsMs: c.endsMs(now)}
	reported := map[fleet.RequestID]*pb.Running{}
	for _, r := range first.GetRunning() {
		id := fleet.RequestID(r.Ask.Id)
		reported[id] = r
		if c.running[id] == nil {
			m.Ended = append(m.Ended, &pb.Ended{Id: r.Ask.Id, How: pb.Ended_WHOLE})
		}
	}
	for id, g := range c.running {
		sent := reported[id]
		switch {
		case sent == nil || sent.Upstream != string(g.upstream.ID):
			m.Running = append(m.Running, g.message(now))
		case g.decoding && !sent.Writing:
			m.Began = append(m.Began, string(id))
		}
	}
	for _, a := range first.GetAsks() {
		id := fleet.RequestID(a.Id)
		if c.waiting[id] == nil && c.running[id] == nil {
			m.Withdrawn = append(m.Withdrawn, a.Id)
		}
	}
	for _, w := range c.waiting {
		w.asked = true
		m.Asks = append(m.Asks, askMessage(&w.ask, w.askedAt, now))
	}
	return m
}

// handleSessionEnd clears an ended session. It backs off from the peer if the session timed out, or was short-lived and
// not handed over. After an orderly handover, or the reset of a longer session, the instance attaches again, to the same
// peer if that still answers: at once, or after handoverPause if a short-lived session was handed over. A backoff in
// these cases would make this instance its own dispatcher for half a second at each planned stop of the dispatcher, or
// would leave the dispatcher with only its own requests after its connections were reset. In both cases two dispatchers
// would place on the same engines, and short prompts would be late.
func (c *Client) handleSessionEnd(ctx context.Context, s *session) {
	c.mu.Lock()
	if c.session == s {
		c.session = nil
		c.applyDuty()
	}
	c.mu.Unlock()
	shortLived := time.Since(s.openedAt) < heartbeatInterval
	switch {
	case s.handedOver.Load() && shortLived:
		wait.For(ctx, handoverPause)
	case s.handedOver.Load():
	case s.timedOut.Load():
		c.recordFailure(s.peerID, errSessionSilent)
	case shortLived:
		c.recordFailure(s.peerID, fmt.Errorf("%w: %s", errSessionShort, s.endCause()))
	default:
		c.log.Warn("session with the dispatcher was reset", "instance", s.peerID, "cause", s.endCause(),
			"silent_ms", s.idleTime().Milliseconds())
	}
}

// Dispatcher returns the instance that this one is attached to, which is the dispatcher or a relay to it, or "" if
// there is no session.
func (c *Client) Dispatcher() fleet.InstanceID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == nil {
		return ""
	}
	return c.session.peerID
}

// AbsentMembers returns the members that have had no session with this instance for longer than minAbsence. It
// returns nil while this instance is not the dispatcher.
func (c *Client) AbsentMembers(minAbsence time.Duration) []*catalog.Member {
	if c.Dispatcher() != c.self {
		return nil
	}
	return c.hub.absentMembers(c.snapshot().Members, minAbsence)
}
