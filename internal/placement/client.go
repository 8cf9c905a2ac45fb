package placement

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/peer"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
	"github.com/damaskshelf/damaskshelf/internal/wait"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

const (
	// rendezvousKey orders the instances as dispatchers.
	rendezvousKey = "dispatcher"
	// lookEvery is how often the order of dispatchers is looked at while a session lasts.
	lookEvery = 200 * time.Millisecond
	// seekEvery is how often an instance that is its own dispatcher looks for a way to one before it, and
	// seekMost how many others it asks then.
	seekEvery = time.Second
	seekMost  = 3
	// askAgain is how long a copy that was asked for may take to come.
	askAgain = time.Second
	// sessionWait is how long a request waits while its instance has no session: usually it has the next one within
	// some ms, and a place given without the dispatcher is given beside what all others have.
	sessionWait = 100 * time.Millisecond
	// handoverPause is how long an instance waits before it follows one that gave its session up right away:
	// the two learn of a change of the members some ms apart.
	handoverPause = 10 * time.Millisecond
)

// errSilent: nothing came from the dispatcher for too long, or it closed the session.
var errSilent = errors.New("dispatcher fell silent or closed the session")

// Client places requests through the dispatcher: the instance that rendezvous hashing names among those
// that can be reached. When it falls silent the next one takes over, and rebuilds its state from what the
// instances tell of their work under way. Two dispatchers at once place worse and break nothing: every rule
// is checked where a request is sent.
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
	news     *outbox[news]

	mu      sync.Mutex
	session *session                         // guarded by mu; nil: none
	waiting map[fleet.RequestID]*waiting     // guarded by mu
	running map[fleet.RequestID]*dispatched  // guarded by mu
	rests   map[fleet.InstanceID]rest        // guarded by mu
	behind  map[fleet.InstanceID]*remoteSink // guarded by mu: instances whose messages are passed on
	sought  time.Time                        // guarded by mu: when a way to a dispatcher before this one was last sought
	lacked  map[string]time.Time             // guarded by mu: when a kind was last asked for
	lacks   map[string]time.Time             // guarded by mu: since when the dispatcher lacks something of a kind
	inviter atomic.Pointer[catalog.Member]   // the dispatcher that invited this instance when it knew nobody
	look    chan struct{}                    // holds a token while the order of dispatchers should be looked at
}

// NewClient gives a Client of instance self.
func NewClient(self fleet.InstanceID, domain fleet.DomainID, f *watch.Follower, log hclog.Logger) *Client {
	c := &Client{
		self: self, domain: domain, follower: f, snapshot: f.Snapshot, log: log.Named("placement"), hub: newHub(f, log),
		limits: newLimitTable(log.Named("placement")), holdoffs: newHoldoffs(log.Named("placement")),
		waiting: map[fleet.RequestID]*waiting{}, running: map[fleet.RequestID]*dispatched{},
		rests: map[fleet.InstanceID]rest{}, behind: map[fleet.InstanceID]*remoteSink{}, lacked: map[string]time.Time{}, news: newOutbox[news](),
		look: make(chan struct{}, 1),
	}
	c.local = NewLocalPlacer(f.Snapshot, c.limits.limited)
	f.Share(c.stateChanged)
	return c
}

// Serve answers other instances as a dispatcher until ctx ends, then closes l.
func (c *Client) Serve(ctx context.Context, l net.Listener) error {
	mux := drpcmux.New()
	if err := pb.DRPCRegisterPlacement(mux, service{c: c}); err != nil {
		return err
	}
	options := drpcserver.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: peer.MaxMessage}, InactivityTimeout: time.Minute,
	}}
	return drpcserver.NewWithOptions(mux, options).Serve(ctx, peer.Bounded(l))
}

// Run keeps a session with the dispatcher until ctx ends.
func (c *Client) Run(ctx context.Context) {
	var all sync.WaitGroup
	all.Go(func() { c.hub.run(ctx, c.beat) })
	all.Go(func() { c.tellNews(ctx) })
	all.Go(func() { c.inviteMembers(ctx) })
	for ctx.Err() == nil {
		c.follow(ctx)
		c.mu.Lock()
		s := c.session
		c.mu.Unlock()
		if s == nil {
			c.freeWaiting()
			select {
			case <-c.look:
			case <-time.After(lookEvery / 4):
			case <-ctx.Done():
			}
			continue
		}
		select {
		case <-s.done:
			c.over(ctx, s)
		case <-c.look:
		case <-time.After(lookEvery):
		case <-ctx.Done():
		}
	}
	all.Wait()
}

// follow attaches to the first dispatcher that can be reached, if it isn't the one attached to.
func (c *Client) follow(ctx context.Context) {
	members := c.candidates()
	if inviter := c.inviter.Load(); len(members) == 0 && inviter != nil {
		members = []*catalog.Member{inviter}
	}
	for i, m := range members {
		resting := c.resting(m, time.Now())
		c.mu.Lock()
		current := c.session
		c.mu.Unlock()
		if m.ID == c.self && i > 0 {
			if s := c.seek(ctx, members[i+1:]); s != nil {
				c.moved(s)
				return
			}
		}
		if current != nil && current.with == m.ID {
			return
		}
		if resting || ctx.Err() != nil {
			continue
		}
		s, err := c.open(ctx, m)
		if drpcerr.Code(err) == codeKnowsLess {
			c.startsYet(m.ID)
			continue
		}
		if err != nil {
			c.rested(m.ID, err)
			continue
		}
		c.moved(s)
		return
	}
}

// open attaches to a dispatcher, which may be this instance itself.
func (c *Client) open(ctx context.Context, m *catalog.Member) (*session, error) {
	if m.ID == c.self {
		return c.openSelf(ctx), nil
	}
	return c.dialSession(ctx, m, c.first)
}

// selfSink passes on what the own hub decides. The hub must not be called back under its lock.
type selfSink struct{ out *outbox[*pb.ToEntry] }

func (s selfSink) send(m *pb.ToEntry) { s.out.put(m) }

func (c *Client) openSelf(ctx context.Context) *session {
	life, cancel := context.WithCancel(ctx)
	to := selfSink{out: newOutbox[*pb.ToEntry]()}
	from := newOutbox[*pb.FromEntry]()
	first := c.first()
	s := &session{with: c.self, first: first, tell: func(m *pb.FromEntry) { from.put(m) }, end: cancel, done: life.Done()}
	go func() {
		for items := to.out.take(life); items != nil; items = to.out.take(life) {
			c.gotOver(s, merge(items))
		}
	}()
	go c.sayAlive(life, s)
	go func() {
		c.hub.attach(c.self, to, first)
		defer c.hub.detach(c.self, to)
		for items := from.take(life); items != nil; items = from.take(life) {
			c.hub.tell(c.self, to, mergeFrom(items))
		}
	}()
	return s
}

// first is the first message of a session: all work under way, and all that waits.
func (c *Client) first() *pb.FromEntry {
	proofs := c.follower.Proofs()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	m := &pb.FromEntry{
		Entry: string(c.self), Domain: string(c.domain), Proofs: proofMessages(proofs), Limits: c.limits.messages(c.snapshot()),
		Departures: departureMessages(c.follower.Departures()),
	}
	for _, r := range c.running {
		m.Running = append(m.Running, r.message(now))
	}
	for _, w := range c.waiting {
		m.Asks = append(m.Asks, message(&w.ask, w.asked, now))
	}
	return m
}

// moved makes s the session, and tells it what has changed since its first message: that was told to the old one.
// A run whose end the new dispatcher never heard of kept its engines' places and reading in the dispatcher's book
// until the next change of dispatcher, and those engines got no short prompts.
func (c *Client) moved(s *session) {
	c.mu.Lock()
	old := c.session
	c.session = s
	delete(c.rests, s.with)
	s.tell(c.since(s.first)) // under the lock: what follows must come after it
	c.takeDuty()
	c.mu.Unlock()
	c.log.Info("dispatcher", "instance", s.with)
	if old != nil {
		old.end()
	}
}

// since is what has become of the requests and what was heard of upstreams that leave since a session's first message; mu
// is held. Limits are told again each second.
func (c *Client) since(first *pb.FromEntry) *pb.FromEntry {
	now := time.Now()
	m := &pb.FromEntry{Departures: c.departuresSince(first)}
	told := map[fleet.RequestID]*pb.Running{}
	for _, r := range first.GetRunning() {
		id := fleet.RequestID(r.Ask.Id)
		told[id] = r
		if c.running[id] == nil {
			m.Ended = append(m.Ended, &pb.Ended{Id: r.Ask.Id, How: pb.Ended_WHOLE})
		}
	}
	for id, g := range c.running {
		was := told[id]
		switch {
		case was == nil || was.Upstream != string(g.upstream.ID):
			m.Running = append(m.Running, g.message(now))
		case g.writing && !was.Writing:
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
		m.Asks = append(m.Asks, message(&w.ask, w.asked, now))
	}
	return m
}

// over ends a session. One that the other side gave up in order, or that was reset, is followed by another at
// once, with the same instance if that still answers. Resting it as if it were lost made this one a dispatcher
// of its own for half a second at each planned stop of the dispatcher, or left a dispatcher alone with its own
// requests when its connections were reset, and short prompts on all engines were late.
func (c *Client) over(ctx context.Context, s *session) {
	c.mu.Lock()
	if c.session == s {
		c.session = nil
		c.takeDuty()
	}
	c.mu.Unlock()
	brief := time.Since(s.opened) < beat
	switch {
	case s.handedOver.Load() && brief:
		wait.For(ctx, handoverPause)
	case s.handedOver.Load():
	case s.silent.Load() || brief:
		c.rested(s.with, errSilent)
	default:
		c.log.Warn("session with the dispatcher was reset", "instance", s.with)
	}
}

// Dispatcher is the instance whose session this one has now; empty: none.
func (c *Client) Dispatcher() fleet.InstanceID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == nil {
		return ""
	}
	return c.session.with
}

// Absent gives the members of which this instance, as the dispatcher, has had no session for so long; none
// while it is not the dispatcher.
func (c *Client) AbsentMembers(long time.Duration) []*catalog.Member {
	if c.Dispatcher() != c.self {
		return nil
	}
	return c.hub.absent(c.snapshot().Members, long)
}
