package relay

import (
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/member"
	"github.com/damaskshelf/damaskshelf/internal/decide/pause"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Params are the constants of one instance's node.
type Params struct {
	Member             member.Params
	Incarnation        uint64        // grows with each start of the instance
	PauseThreshold     time.Duration // a longer time between two ticks is a pause
	WatchersPerDomain  int           // in each failure domain
	WatchWait          time.Duration // of one watch
	ReadInterval       time.Duration // between a watcher's reads of a small configuration
	ReadBytesPerSecond int           // a second, that a watcher spends on those reads
	Rand               decide.Rand
}

// Defaults of Params.
const (
	// TickEvery is how often the driver ticks a node at least.
	TickInterval     = 100 * time.Millisecond
	defaultPause     = time.Second
	defaultWatchers  = 2
	defaultWatchWait = 5 * time.Second
	// A watch may lag or hang for good. A watcher therefore also reads, as often as its bytes allow. One
	// second and the bound on trust are below the three seconds in which a domain has to be out.
	defaultReadEvery = time.Second
	defaultReadBytes = 4096
)

// NewParams gives the defaults around a heartbeat interval.
func NewParams(self fleet.Instance, incarnation uint64, interval time.Duration, r decide.Rand) Params {
	return Params{
		Member: member.NewParams(self, interval), Incarnation: incarnation, PauseThreshold: defaultPause,
		WatchersPerDomain: defaultWatchers, WatchWait: defaultWatchWait,
		ReadInterval: defaultReadEvery, ReadBytesPerSecond: defaultReadBytes, Rand: r,
	}
}

// Node is what one instance knows of the fleet and does about it: membership, configuration, signs, and
// how far its knowledge may be trusted. It is not safe for concurrent use.
type Node struct {
	params  Params
	members *member.Members
	news    SharedState
	guard   *pause.Guard
	store   storeSide
	pull    pullSide
	boot    bootstrap
	trusted bool     // as of the last event
	out     []Effect // of the event being handled
}

// NewNode gives a node that knows nothing. Its first Tick starts it.
func NewNode(now decide.Instant, p Params) *Node {
	return &Node{params: p, members: member.New(p.Member), guard: pause.New(now, p.PauseThreshold)}
}

// Ready tells whether the node has started up: it has a configuration, from the store or, in an outage,
// the highest of several peers. Callers also compare their now with TrustedUntil.
func (n *Node) Ready() bool { return n.boot.done }

// TrustedUntil is the instant after which the instance may send no new work, until it hears again.
func (n *Node) TrustedUntil() decide.Instant { return n.members.TrustedUntil() }

// Guard tells pauses at the moment of use.
func (n *Node) Guard() *pause.Guard { return n.guard }

// Config is the configuration in force; version 0: none yet.
func (n *Node) Config() Config { return n.news.Config() }

// Members is the node's membership, to be read between events.
func (n *Node) Members() *member.Members { return n.members }

func (n *Node) do(e Effect) { n.out = append(n.out, e) }

// finish ends an event: transitions of trust are told once, whatever caused them.
func (n *Node) finish(now decide.Instant) []Effect {
	if trusted := n.members.Trusted(now); trusted != n.trusted {
		n.trusted = trusted
		reason := TrustEnded
		if trusted {
			reason = TrustRegained
		}
		n.do(Event{Reason: reason, Version: n.news.Config().Version})
	}
	out := n.out
	n.out = nil
	return out
}

// Tick lets time pass. The driver calls it at least every TickEvery.
func (n *Node) Tick(now decide.Instant) []Effect {
	if gap, reason := n.guard.Ask(now); reason == pause.Paused {
		// What was known before the pause is not acted on: trust comes back with the first exchange that
		// begins after it.
		n.members.ClearTrust()
		n.members.MakeAllDue(now)
		n.do(Event{Reason: pause.Paused, Gap: gap, Version: n.news.Config().Version})
	}
	n.guard.Mark(now)
	if n.news.ExpireSigns(now) {
		n.do(Event{Reason: SignExpired})
		n.do(SetLeaving{Signs: n.news.Signs(now)})
	}
	n.tickStore(now)
	n.tickBootstrap(now)
	n.startPull(now)
	n.members.RegainByQuorum(now, n.store.failures > 0)
	n.heartbeats(now)
	return n.finish(now)
}

// List takes the instance list.
func (n *Node) UpdateInstances(now decide.Instant, version uint64, instances []fleet.Instance) []Effect {
	if n.members.UpdateInstances(now, version, instances) == member.ListApplied {
		n.pull.forget(n.members)
		n.watchOrNot(now)
		n.heartbeats(now)
	}
	return n.finish(now)
}

// heartbeats sends those that are due: in their time, or at once to peers that have not heard the newest.
func (n *Node) heartbeats(now decide.Instant) {
	for _, p := range n.members.Due(now, n.news.Config().Version) {
		n.do(SendHeartbeat{To: p.Instance, Sent: now, Digest: n.digest(now, p.SignsHash)})
	}
}

// digest is for a receiver whose signs have that hash, as far as is known here.
func (n *Node) digest(now decide.Instant, theirs uint64) Digest {
	d := Digest{
		Instance: n.params.Member.Self.ID, Incarnation: n.params.Incarnation,
		ConfigVersion: n.news.Config().Version, ListVersion: n.members.ListVersion(), SignsHash: n.news.SignsHash(),
		Trusted: n.members.Trusted(now),
	}
	if d.SignsHash != theirs {
		d.Leaving = n.news.Signs(now)
	}
	return d
}

// Heartbeat takes a peer's heartbeat and gives the answer to it.
func (n *Node) HeartbeatReceived(now decide.Instant, d Digest) (Digest, []Effect) {
	n.members.HeartbeatReceived(now, member.Status{
		From: d.Instance, Incarnation: d.Incarnation, ConfigVersion: d.ConfigVersion, SignsHash: d.SignsHash,
	})
	n.learn(now, d.Leaving)
	if from, ok := n.members.Find(d.Instance); ok {
		n.behind(now, from, d.ConfigVersion)
	}
	answer := n.digest(now, d.SignsHash)
	n.heartbeats(now)
	return answer, n.finish(now)
}

// HeartbeatDone takes the outcome of a SendHeartbeat.
func (n *Node) HeartbeatDone(now decide.Instant, sent SendHeartbeat, d Digest, ok bool) []Effect {
	if !ok {
		n.note(n.members.HeartbeatFailed(now, sent.To.ID), sent.To.ID)
		n.heartbeats(now)
		return n.finish(now)
	}
	reason, counts := n.members.ReplyReceived(now, member.Reply{
		Status: member.Status{
			From: d.Instance, Incarnation: d.Incarnation, ConfigVersion: d.ConfigVersion, SignsHash: d.SignsHash,
		},
		To: sent.To.ID, SentVersion: sent.Digest.ConfigVersion,
	})
	n.note(reason, sent.To.ID)
	if counts {
		n.learn(now, d.Leaving)
		n.behind(now, sent.To, d.ConfigVersion)
		// With a peer that is ahead, its state is known here in full only after the pull. One that has
		// just started and knows nothing vouches for nothing.
		if n.caughtUp() && d.ConfigVersion > 0 {
			n.members.RecordContact(sent.Sent, sent.To.ID, d.Trusted)
		}
	}
	n.heartbeats(now)
	return n.finish(now)
}

func (n *Node) note(r decide.Reason, peer fleet.InstanceID) {
	if r != member.Unchanged {
		n.do(Event{Reason: r, Peer: peer})
	}
}

// UpstreamLeaving takes the upstream's own answer that it is leaving.
func (n *Node) UpstreamLeaving(now decide.Instant, upstream fleet.UpstreamID, boot string) []Effect {
	before := n.news.Signs(now)
	if n.news.ObserveLeaving(now, upstream, boot) {
		n.spread(now, before)
	}
	n.heartbeats(now)
	return n.finish(now)
}

// learn takes a peer's signs.
func (n *Node) learn(now decide.Instant, signs []LeavingSign) {
	if len(signs) == 0 {
		return
	}
	before := n.news.Signs(now)
	if n.news.MergeSigns(now, signs) {
		n.spread(now, before)
	}
}

// spread tells of the signs that are not among those before, to every peer at once.
func (n *Node) spread(now decide.Instant, before []LeavingSign) {
	after := n.news.Signs(now)
	for _, s := range after {
		known := func(b LeavingSign) bool { return b.Upstream == s.Upstream && b.Boot == s.Boot }
		if !slices.ContainsFunc(before, known) {
			n.do(Event{Reason: SignReceived, Sign: s})
		}
	}
	n.do(SetLeaving{Signs: after})
	n.members.MakeAllDue(now)
}

// Accepted takes a configuration whose write by this instance is known to have taken effect. It does not
// wait for the store's watch, which may lag.
func (n *Node) ConfigAccepted(now decide.Instant, c Config) []Effect {
	n.take(now, c)
	n.heartbeats(now)
	return n.finish(now)
}

// take puts a higher configuration in force.
func (n *Node) take(now decide.Instant, c Config) bool {
	if !n.news.Apply(c) {
		if c.Version != 0 && c.Version < n.news.Config().Version {
			n.do(Event{Reason: ConfigStale, Version: c.Version})
		}
		return false
	}
	n.do(Event{Reason: ConfigApplied, Version: c.Version})
	n.do(ApplyConfig{Config: c})
	if n.store.answered {
		n.started(BootstrappedFromStore)
	}
	return true
}
