package placement

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/decide/readers"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

const (
	// tick is how often waiting jobs are looked at without an event: a job is refused when its time is over.
	tick = 10 * time.Millisecond
	// beat is the longest silence towards an attached instance.
	beat = 100 * time.Millisecond
	// longStep is a step's time from which the next one is put off.
	longStep = time.Millisecond
	// settleTime is how long a dispatcher that has just been attached to waits for the other instances' work:
	// what it doesn't know of yet it would place beside. Those that live miss the old dispatcher within a beat
	// of each other, and attach within another. A member that died with it never attaches.
	settleTime = 2 * beat
)

// sink takes what is due to one attached instance.
type sink interface{ send(*pb.ToEntry) }

// hub is the dispatcher's side: it holds a dispatch.State for each service, for all attached instances.
type hub struct {
	follower *watch.Follower
	snapshot func() *catalog.Snapshot
	log      hclog.Logger
	start    time.Time

	mu               sync.Mutex
	services         map[catalog.ServiceName]*dispatch.State // guarded by mu
	entries          map[fleet.InstanceID]sink               // guarded by mu
	domains          map[fleet.InstanceID]fleet.DomainID     // guarded by mu: of the attached instances
	seen             *catalog.Snapshot                       // guarded by mu: that the states go by
	missed           map[fleet.InstanceID]decide.Instant     // guarded by mu: since when members have had no session
	stepTook         time.Duration                           // guarded by mu: by the last step
	dirty            chan struct{}                           // holds a token while something has changed since the last step
	wholes           wholes                                  // guarded by mu
	opened           decide.Instant                          // guarded by mu: when the first instance attached
	readers          readers.State                           // guarded by mu
	duties           map[fleet.InstanceID]pb.ToEntry_Duty    // guarded by mu: as last told
	spreadDepartures map[fleet.Process]bool                  // guarded by mu: that all were told
	limits           *limitTable                             // what upstreams say that they take; the services' states go by it
	ordered          ordering
	// stallLogged is when a stall was last logged.
	stallLogged decide.Instant // guarded by mu
}

func newHub(f *watch.Follower, log hclog.Logger) *hub {
	return &hub{
		follower: f, snapshot: f.Snapshot, log: log.Named("dispatcher"), start: time.Now(),
		services: map[catalog.ServiceName]*dispatch.State{}, entries: map[fleet.InstanceID]sink{}, missed: map[fleet.InstanceID]decide.Instant{},
		spreadDepartures: map[fleet.Process]bool{},
		wholes:           wholes{}, limits: newLimitTable(log.Named("dispatcher")),
		domains: map[fleet.InstanceID]fleet.DomainID{}, duties: map[fleet.InstanceID]pb.ToEntry_Duty{},
	}
}

// order gives the members in the order in which they are dispatchers.
func (h *hub) order() []*catalog.Member { return h.ordered.of(h.snapshot().Members) }

func (h *hub) now() decide.Instant { return decide.Instant(time.Since(h.start)) }

// attach opens the session of an instance; an older one of it ends.
func (h *hub) attach(entry fleet.InstanceID, s sink, first *pb.FromEntry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if len(h.entries) == 0 {
		h.opened = now
	}
	h.entries[entry] = s
	h.domains[entry] = fleet.DomainID(first.Domain)
	h.log.Info("instance attached", "entry", entry, "attached", len(h.entries), "running", len(first.Running), "waiting", len(first.Asks))
	for _, st := range h.services {
		st.Forget(entry)
	}
	h.catchUp(s, first.Proofs)
	s.send(&pb.ToEntry{
		Proofs: proofMessages(h.follower.Proofs()), Limits: h.limits.messages(h.snapshot()),
		Departures: departureMessages(h.follower.Departures()),
	})
	delete(h.duties, entry)
	h.chooseReaders()
	h.refresh(now)
	h.setLimits(now) // its part of them has grown
	h.take(now, entry, first)
}

// detach ends the session s of an instance, with its work: what it still does is told when it attaches anew.
func (h *hub) detach(entry fleet.InstanceID, s sink) {
	h.detachBehind(s)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.entries[entry] != s {
		return
	}
	delete(h.entries, entry)
	delete(h.domains, entry)
	h.log.Info("instance detached", "entry", entry, "attached", len(h.entries))
	h.chooseReaders()
	for _, st := range h.services {
		st.Forget(entry)
	}
	h.setLimits(h.now())
	h.wake()
}

// tell takes what an attached instance says.
func (h *hub) tell(entry fleet.InstanceID, s sink, m *pb.FromEntry) {
	h.passed(s, m.Passed)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.entries[entry] != s {
		return
	}
	now := h.now()
	h.takeReads(entry, m.Reads)
	h.catchUp(s, m.Proofs)
	h.refresh(now)
	h.take(now, entry, m)
}

// catchUp sends an instance what it lacks of the copies here.
func (h *hub) catchUp(s sink, theirs []*pb.Proof) {
	if len(theirs) == 0 {
		return
	}
	changes, err := newer(h.follower, h.wholes, theirs)
	if err != nil {
		h.log.Error("state can't be sent", "error", err)
	}
	if len(changes) > 0 {
		s.send(&pb.ToEntry{Changes: changes})
	}
}

// spread sends every attached instance the same.
func (h *hub) spread(m *pb.ToEntry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tellAll(m)
}

// tellAll is spread where mu is held.
func (h *hub) tellAll(m *pb.ToEntry) {
	for _, s := range h.entries {
		s.send(m)
	}
}

// hear takes what an instance that reads the store has seen. It is called without mu: decoding a long copy
// must not hold up who asks for places.
func (h *hub) hear(m *pb.FromEntry) {
	if len(m.Changes) == 0 {
		return
	}
	// What is missing here is read from the store, or told whole by the instance when it sees that it is lacked.
	if _, err := takeState(h.follower, m.Changes, nil); err != nil {
		h.log.Error("state of another instance can't be read", "error", err)
	}
}

// take carries a message out; mu is held.
func (h *hub) take(now decide.Instant, entry fleet.InstanceID, m *pb.FromEntry) {
	h.takeDepartures(now, m.Departures)
	for _, r := range m.Running {
		h.of(r.Ask.Service).Adopt(now, h.job(r.Ask, entry, now), fleet.UpstreamID(r.Upstream), upstreamIDs(r.Helpers), holdingsOf(r.Holders), r.Writing)
	}
	for _, id := range m.Began {
		h.each(func(st *dispatch.State) { st.Began(now, fleet.RequestID(id)) })
	}
	for _, e := range m.Ended {
		h.each(func(st *dispatch.State) {
			st.Done(now, fleet.RequestID(e.Id), ends[e.How], fleet.UpstreamID(e.AtFault))
		})
	}
	for _, id := range m.Withdrawn {
		h.each(func(st *dispatch.State) { st.Withdraw(fleet.RequestID(id)) })
	}
	for _, a := range m.Asks {
		h.of(a.Service).Ask(h.job(a, entry, now))
	}
	h.takeLimits(now, m.Limits)
	if h.stepTook > longStep {
		h.wake() // one step for all messages that come meanwhile
		return
	}
	h.step(now)
}

// wake has waiting jobs looked at soon.
func (h *hub) wake() {
	select {
	case h.dirty <- struct{}{}:
	default:
	}
}

// absent gives the members without a session for so long, as far as this instance has looked.
func (h *hub) absent(members []*catalog.Member, long time.Duration) []*catalog.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	missed := make(map[fleet.InstanceID]decide.Instant, len(members))
	var out []*catalog.Member
	for _, m := range members {
		if h.entries[m.ID] != nil {
			continue
		}
		since, ok := h.missed[m.ID]
		if !ok {
			since = now
		}
		missed[m.ID] = since
		if now.Sub(since) > long {
			out = append(out, m)
		}
	}
	h.missed = missed
	return out
}

// job gives an ask of an attached instance; mu is held.
func (h *hub) job(a *pb.Ask, entry fleet.InstanceID, now decide.Instant) *dispatch.Job {
	j := job(a, entry, now)
	j.From = h.domains[entry]
	return j
}

var ends = map[pb.Ended_How]dispatch.End{
	pb.Ended_WHOLE: dispatch.Whole, pb.Ended_FAILED: dispatch.Failed,
	pb.Ended_UNREACHABLE: dispatch.Unreachable, pb.Ended_FULL: dispatch.Full,
}

func (h *hub) each(f func(*dispatch.State)) {
	for _, st := range h.services {
		f(st)
	}
}

// of gives the state of a service; mu is held.
func (h *hub) of(service string) *dispatch.State {
	name := catalog.ServiceName(service)
	st := h.services[name]
	if st == nil {
		st = dispatch.New(nil, dispatch.DefaultParams())
		h.services[name] = st
		h.load(h.now(), name, st)
	}
	return st
}

// refresh takes what is newly known of the fleet; mu is held.
func (h *hub) refresh(now decide.Instant) {
	snap := h.snapshot()
	if snap == h.seen {
		return
	}
	h.seen = snap
	for name, st := range h.services {
		h.load(now, name, st)
	}
}

// load gives a state its service's figures and upstreams.
func (h *hub) load(now decide.Instant, name catalog.ServiceName, st *dispatch.State) {
	snap := h.seen
	if snap == nil || snap.Config == nil {
		return
	}
	p := dispatch.DefaultParams()
	if s := snap.Config.Service(name); s != nil {
		p.ColdPerS = s.ColdPerSecond * coldShare
		st.SetModel(model(s), p)
	}
	var open []dispatch.Upstream
	wall := time.Now()
	for _, u := range snap.Upstreams(name) {
		if snap.Open(u) {
			open = append(open, dispatch.Upstream{
				ID: u.ID, Domain: u.Domain, Slots: u.Slots, Born: u.Born, ColdUntil: now.Add(u.ColdUntil.Sub(wall)),
			})
		}
	}
	st.SetUpstreams(open)
	st.SetLimits(now, h.rates(name))
}

// coldShare is the part of a cold upstream's limit that one dispatcher gives out. Two may do so at once
// while one takes over from the other, and together they stay under the limit with its allowance of a half.
const coldShare = 0.7
