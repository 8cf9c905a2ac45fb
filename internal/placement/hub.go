package placement

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/decide/quarantine"
	"github.com/damaskshelf/damaskshelf/internal/decide/readers"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

const (
	// stepInterval is the time between steps while jobs wait and no message arrives. Steps are needed even then, because
	// a job is refused when its time is over.
	stepInterval = 10 * time.Millisecond
	// heartbeatInterval is the longest time for which no message is sent on a session.
	heartbeatInterval = 100 * time.Millisecond
	// longStepTime is the duration of a step above which the next one is delayed.
	longStepTime = time.Millisecond
	// settleTime is how long a dispatcher waits, after the first instance attached, until the others have reported their
	// in-flight work. Placing without knowing that work would overload engines. Live instances detect the loss of the
	// previous dispatcher within one heartbeat of each other, and attach within another. A member that failed together
	// with the previous dispatcher never attaches.
	settleTime = 2 * heartbeatInterval
)

// sink sends messages to one attached instance.
type sink interface{ send(*pb.ToEntry) }

// hub is the dispatcher's side of the sessions. It holds a dispatch.State for each service, shared by all attached
// instances.
type hub struct {
	self     fleet.InstanceID
	follower *watch.Follower
	snapshot func() *catalog.Snapshot
	log      hclog.Logger
	start    time.Time

	mu                  sync.Mutex
	services            map[catalog.ServiceName]*dispatch.State // guarded by mu
	sinks               map[fleet.InstanceID]sink               // guarded by mu
	sessions            map[fleet.InstanceID]sessionNumber      // guarded by mu: of the attached instances
	domains             map[fleet.InstanceID]fleet.DomainID     // guarded by mu: of the attached instances
	lastSnapshot        *catalog.Snapshot                       // guarded by mu: the snapshot that the states reflect
	absentSince         map[fleet.InstanceID]decide.Instant     // guarded by mu: since when members have had no session
	lastStepTime        time.Duration                           // guarded by mu: duration of the last step
	stepRequests        chan struct{}                           // holds a token while something has changed since the last step
	fullCopies          *fullCopyCache
	firstAttached       decide.Instant                          // guarded by mu: when the first instance attached
	readers             readers.Selector                        // guarded by mu
	duties              map[fleet.InstanceID]pb.ToEntry_Duty    // guarded by mu: as last sent
	ends                map[fleet.InstanceID]decide.Instant     // guarded by mu: of the instances that are stopping
	announcedDepartures map[fleet.Process]bool                  // guarded by mu: departures already broadcast
	overload            overload                                // guarded by mu
	overloadReports     map[catalog.ServiceName]*overloadReport // guarded by mu
	metrics             *metrics.Registry
	limits              *limitTable       // limits that upstreams advertise, which the services' states apply
	quarantine          *quarantine.Table // guarded by mu: shared by the services' states
	orderCache          orderCache
	// stallLogged is when a stall was last logged.
	stallLogged decide.Instant // guarded by mu
}

// newHub returns the hub of the instance self without sessions, which reads the state of the store from f.
func newHub(self fleet.InstanceID, f *watch.Follower, log hclog.Logger) *hub {
	return &hub{
		self: self, follower: f, snapshot: f.Snapshot, log: log.Named("dispatcher"), start: time.Now(),
		services: map[catalog.ServiceName]*dispatch.State{}, sinks: map[fleet.InstanceID]sink{}, absentSince: map[fleet.InstanceID]decide.Instant{},
		ends: map[fleet.InstanceID]decide.Instant{}, announcedDepartures: map[fleet.Process]bool{}, stepRequests: make(chan struct{}, 1),
		fullCopies: newFullCopyCache(), limits: newLimitTable(log.Named("dispatcher")),
		quarantine: quarantine.New(), overloadReports: map[catalog.ServiceName]*overloadReport{}, metrics: metrics.New(),
		sessions: map[fleet.InstanceID]sessionNumber{}, domains: map[fleet.InstanceID]fleet.DomainID{}, duties: map[fleet.InstanceID]pb.ToEntry_Duty{},
	}
}

// order returns the members in dispatcher order.
func (h *hub) order() []*catalog.Member { return h.orderCache.get(h.snapshot().Members).order }

// now returns the time since the hub was created.
func (h *hub) now() decide.Instant { return decide.Instant(time.Since(h.start)) }

// sessionNumber identifies a session of an instance.
type sessionNumber struct{ process, session uint64 }

// precedes reports whether n is an earlier session than o of the same process. Sessions of two processes, and those of an
// instance that doesn't number them, have no order.
func (n sessionNumber) precedes(o sessionNumber) bool {
	return n.process == o.process && n.session < o.session
}

// attach opens a session of an instance, and replaces an earlier one. It ignores a session that is older than the present
// one: the relays of both may be heard in any order, and the end of the older one would detach the instance for good.
func (h *hub) attach(instance fleet.InstanceID, s sink, first *pb.FromEntry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	number := sessionNumber{first.Process, first.Session}
	if number.precedes(h.sessions[instance]) {
		h.log.Info("session is older than the instance's present one", "entry", instance)
		return
	}
	now := h.now()
	if len(h.sinks) == 0 {
		h.firstAttached = now
	}
	h.sinks[instance], h.sessions[instance] = s, number
	h.domains[instance] = fleet.DomainID(first.Domain)
	h.log.Info("instance attached", "entry", instance, "attached", len(h.sinks), "running", len(first.Running), "waiting", len(first.Asks))
	for _, st := range h.services {
		st.RemoveInstance(instance)
	}
	h.catchUp(s, first.Proofs)
	s.send(&pb.ToEntry{
		Proofs: proofMessages(h.follower.Proofs()), Limits: h.limits.messages(h.snapshot()),
		Departures: departureMessages(h.follower.Departures()), HeldBack: heldBackMessages(h.quarantine, now),
	})
	delete(h.duties, instance)
	delete(h.ends, instance)
	h.chooseReaders()
	h.refresh(now)
	h.setLimits(now) // this dispatcher's share of the limits has grown
	h.apply(now, instance, first)
}

// detach ends the session s of an instance and drops its work. The instance reports work that is still running when
// it attaches again. cause is how the session ended, for the log.
func (h *hub) detach(instance fleet.InstanceID, s sink, cause string) {
	h.detachRelayed(s)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sinks[instance] != s {
		return
	}
	delete(h.sinks, instance)
	delete(h.sessions, instance)
	delete(h.domains, instance)
	delete(h.ends, instance)
	h.log.Info("instance detached", "entry", instance, "cause", cause, "attached", len(h.sinks))
	h.chooseReaders()
	for _, st := range h.services {
		st.RemoveInstance(instance)
	}
	h.setLimits(h.now())
	h.wake()
}

// receive handles a message on the session s of an attached instance. Messages that it relays are always handled; the
// rest is ignored if the session has been replaced.
func (h *hub) receive(instance fleet.InstanceID, s sink, m *pb.FromEntry) {
	h.receiveRelayed(s, m.Passed)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sinks[instance] != s {
		return
	}
	now := h.now()
	h.recordReads(instance, m.Reads)
	h.catchUp(s, m.Proofs)
	h.refresh(now)
	h.apply(now, instance, m)
}

// attached reports whether an instance has a session with this hub.
func (h *hub) attached(id fleet.InstanceID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sinks[id] != nil
}

// attachedCount returns the number of instances that have a session with this hub.
func (h *hub) attachedCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.sinks)
}

// catchUp sends full copies of the kinds of which an instance lacks changes that are held here; mu is held.
func (h *hub) catchUp(s sink, theirs []*pb.Proof) {
	if len(theirs) == 0 {
		return
	}
	changes, err := newerCopies(h.follower, h.fullCopies, theirs)
	if err != nil {
		h.log.Error("state can't be sent", "error", err)
	}
	if len(changes) > 0 {
		s.send(&pb.ToEntry{Changes: changes})
	}
}

// broadcast sends a message to all attached instances, except those whose relays send it from what they receive
// themselves.
func (h *hub) broadcast(m *pb.ToEntry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.broadcastLocked(m)
}

// broadcastLocked is broadcast for callers that hold mu.
func (h *hub) broadcastLocked(m *pb.ToEntry) {
	for _, s := range h.sinks {
		if relayed, ok := s.(*relayedSink); !ok || !relayed.relaysState {
			s.send(m)
		}
	}
}

// applyChanges applies the state changes that an instance has read from the store. It is called without mu, because
// decoding a long copy must not delay placement requests.
func (h *hub) applyChanges(m *pb.FromEntry) {
	if len(m.Changes) == 0 {
		return
	}
	// The kinds that are needed in full are not requested: they are read from the store, or the instance sends a full
	// copy when it sees in the proofs that changes are missing here.
	if _, err := applyState(h.follower, m.Changes, nil); err != nil {
		h.log.Error("failed to decode state from an instance", "error", err)
	}
}

// apply applies the parts of a message, then runs a step or schedules one; mu is held.
func (h *hub) apply(now decide.Instant, instance fleet.InstanceID, m *pb.FromEntry) {
	h.applyEnd(now, instance, m.EndsMs)
	h.applyDepartures(now, m.Departures)
	h.applyHeldBack(now, m.HeldBack)
	h.applyPastEnds(now, instance, m.PastEnds)
	for _, r := range m.Running {
		if r.Ask == nil {
			h.log.Error("running request can't be taken over: its message lacks the field ask", "entry", instance, "upstream", r.Upstream)
			continue
		}
		h.serviceState(r.Ask.Service).Adopt(now, h.newJob(r.Ask, instance, now), fleet.UpstreamID(r.Upstream), upstreamIDs(r.Helpers), decodeHoldings(r.Holders), r.Writing)
	}
	for _, id := range m.Indirect {
		h.forEachState(func(st *dispatch.State) { st.WentIndirect(now, jobID(instance, id)) })
	}
	for _, id := range m.Began {
		h.forEachState(func(st *dispatch.State) { st.Began(now, jobID(instance, id)) })
	}
	for _, e := range m.Ended {
		h.logPathFailure(instance, e)
		h.forEachState(func(st *dispatch.State) {
			st.Done(now, jobID(instance, e.Id), dispatchOutcome(e), fleet.UpstreamID(e.AtFault))
		})
	}
	for _, id := range m.Withdrawn {
		h.forEachState(func(st *dispatch.State) { st.Cancel(jobID(instance, id)) })
	}
	for _, a := range m.Asks {
		h.serviceState(a.Service).Ask(h.newJob(a, instance, now))
	}
	h.applyLimits(now, m.Limits)
	h.announceHeldBack(now)
	if !changesStates(m) {
		return
	}
	if h.lastStepTime > longStepTime {
		h.wake() // one step then serves all messages that arrive meanwhile
		return
	}
	h.step(now)
}

// changesStates reports whether a message changes what can be placed. Heartbeats don't, and a step for each of them
// would examine all engines ten times a second for each instance while any request waits.
func changesStates(m *pb.FromEntry) bool {
	return m.EndsMs > 0 || len(m.Running)+len(m.Indirect)+len(m.Began)+len(m.Ended)+len(m.Withdrawn)+len(m.Asks)+len(m.Limits)+len(m.Departures) > 0
}

// wake schedules a step.
func (h *hub) wake() {
	select {
	case h.stepRequests <- struct{}{}:
	default:
	}
}

// absentMembers returns the members that have had no session for longer than minAbsence. A member's absence counts
// from the first call that finds it without a session.
func (h *hub) absentMembers(members []*catalog.Member, minAbsence time.Duration) []*catalog.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	absent := make(map[fleet.InstanceID]decide.Instant, len(members))
	var out []*catalog.Member
	for _, m := range members {
		if h.sinks[m.ID] != nil {
			continue
		}
		since, ok := h.absentSince[m.ID]
		if !ok {
			since = now
		}
		absent[m.ID] = since
		if now.Sub(since) > minAbsence {
			out = append(out, m)
		}
	}
	h.absentSince = absent
	return out
}

// newJob converts a placement request of an attached instance and adds the instance's failure domain; mu is held.
func (h *hub) newJob(a *pb.Ask, instance fleet.InstanceID, now decide.Instant) *dispatch.Job {
	j := newJob(a, instance, now)
	j.Domain = h.domains[instance]
	return j
}

// dispatchOutcome converts how a request's use of its place ended.
func dispatchOutcome(e *pb.Ended) dispatch.Outcome {
	switch {
	case e.UpstreamEnded && e.How == pb.Ended_UNREACHABLE:
		return dispatch.Refused
	case e.UpstreamEnded:
		return dispatch.UpstreamEnded
	case e.UpstreamEndedLate:
		return dispatch.UpstreamEndedLate
	case e.Served:
		return dispatch.Served
	default:
		return dispatchOutcomes[e.How]
	}
}

// dispatchOutcomes maps wire values to outcomes.
var dispatchOutcomes = map[pb.Ended_How]dispatch.Outcome{
	pb.Ended_WHOLE: dispatch.Completed, pb.Ended_FAILED: dispatch.Failed,
	pb.Ended_UNREACHABLE: dispatch.Unreachable, pb.Ended_FULL: dispatch.Full,
	pb.Ended_PATH_LOST: dispatch.PathLost,
}
