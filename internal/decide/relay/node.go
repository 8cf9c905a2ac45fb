package relay

import (
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/member"
	"github.com/damaskshelf/damaskshelf/internal/decide/pause"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Params holds the constants of one Node.
type Params struct {
	Member             member.Params
	Incarnation        uint64        // grows with each start of the instance
	PauseThreshold     time.Duration // a longer time between two ticks counts as a pause of the process
	WatchersPerDomain  int           // instances of each failure domain that watch the store
	WatchWait          time.Duration // longest duration of one watch
	ReadInterval       time.Duration // between a watcher's reads of a small configuration
	ReadBytesPerSecond int           // limit on a watcher's reads; a large configuration is read less often
	Rand               decide.Rand
}

// Defaults of Params.
const (
	// TickInterval is the longest time between two ticks that the driver sends to a Node.
	TickInterval             = 100 * time.Millisecond
	defaultPauseThreshold    = time.Second
	defaultWatchersPerDomain = 2
	defaultWatchWait         = 5 * time.Second
	// A watch may lag or hang forever, so a watcher also reads, as often as ReadBytesPerSecond allows. One second
	// plus the trust duration stays below the three seconds within which a failure domain has to be drained.
	defaultReadInterval       = time.Second
	defaultReadBytesPerSecond = 4096
)

// NewParams returns the default parameters for a heartbeat interval.
func NewParams(self fleet.Instance, incarnation uint64, interval time.Duration, r decide.Rand) Params {
	return Params{
		Member: member.NewParams(self, interval), Incarnation: incarnation, PauseThreshold: defaultPauseThreshold,
		WatchersPerDomain: defaultWatchersPerDomain, WatchWait: defaultWatchWait,
		ReadInterval: defaultReadInterval, ReadBytesPerSecond: defaultReadBytesPerSecond, Rand: r,
	}
}

// Node is the state machine of one instance for what it shares with the fleet: membership, configuration, leaving
// signs, and how long the instance may trust them. It is not safe for concurrent use.
type Node struct {
	params     Params
	members    *member.Members
	shared     SharedState
	pauseGuard *pause.Guard
	store      storeState
	pull       pullState
	bootstrap  bootstrap
	trusted    bool     // as of the last event
	effects    []Effect // of the event that is being handled
}

// NewNode returns a Node without any state. Its first Tick starts it.
func NewNode(now decide.Instant, p Params) *Node {
	return &Node{params: p, members: member.New(p.Member), pauseGuard: pause.New(now, p.PauseThreshold)}
}

// Ready reports whether the node has finished its start-up: it has a configuration, read from the store or, during
// an outage of the store, the highest version that several peers hold. Before sending work, callers also compare
// the current time with TrustedUntil.
func (n *Node) Ready() bool { return n.bootstrap.done }

// TrustedUntil returns the instant after which the instance may send no new work until another exchange with a
// peer or the store succeeds.
func (n *Node) TrustedUntil() decide.Instant { return n.members.TrustedUntil() }

// Guard returns the guard with which callers detect a pause of the process at the moment of use.
func (n *Node) Guard() *pause.Guard { return n.pauseGuard }

// Config returns the configuration in force; version 0 means that there is none yet.
func (n *Node) Config() Config { return n.shared.Config() }

// Members returns the node's membership. It may be read between events only.
func (n *Node) Members() *member.Members { return n.members }

// emit adds an effect to those of the current event.
func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

// finish ends an event and returns its effects. If the event started or ended the trust in the node's state, it
// adds one Event for that.
func (n *Node) finish(now decide.Instant) []Effect {
	if trusted := n.members.Trusted(now); trusted != n.trusted {
		n.trusted = trusted
		reason := TrustEnded
		if trusted {
			reason = TrustRegained
		}
		n.emit(Event{Reason: reason, Version: n.shared.Config().Version})
	}
	out := n.effects
	n.effects = nil
	return out
}

// Tick handles the passing of time: pauses, expired signs, and calls that are due. The driver calls it at least
// every TickInterval.
func (n *Node) Tick(now decide.Instant) []Effect {
	if gap, reason := n.pauseGuard.Check(now); reason == pause.Paused {
		// State from before the pause is not acted on. Trust returns with the next exchange that counts.
		n.members.ClearTrust()
		n.members.MakeAllDue(now)
		n.emit(Event{Reason: pause.Paused, Gap: gap, Version: n.shared.Config().Version})
	}
	n.pauseGuard.Tick(now)
	if n.shared.ExpireSigns(now) {
		n.emit(Event{Reason: SignExpired})
		n.emit(SetLeaving{Signs: n.shared.Signs(now)})
	}
	n.startStoreCalls(now)
	n.startBootstrapRound(now)
	n.startPull(now)
	n.members.RegainByQuorum(now, n.store.failures > 0)
	n.sendDueHeartbeats(now)
	return n.finish(now)
}

// UpdateInstances handles a new version of the platform's instance list.
func (n *Node) UpdateInstances(now decide.Instant, version uint64, instances []fleet.Instance) []Effect {
	if n.members.UpdateInstances(now, version, instances) == member.ListApplied {
		n.pull.dropUnlisted(n.members)
		n.updateWatcherRole(now)
		n.sendDueHeartbeats(now)
	}
	return n.finish(now)
}

// sendDueHeartbeats sends the heartbeats that are due: periodic ones, and immediate ones to peers that lack the
// newest configuration.
func (n *Node) sendDueHeartbeats(now decide.Instant) {
	for _, p := range n.members.Due(now, n.shared.Config().Version) {
		n.emit(SendHeartbeat{To: p.Instance, Sent: now, Digest: n.digest(now, p.SignsHash)})
	}
}

// digest returns this instance's digest for a receiver whose signs have receiverHash as far as is known here. The
// digest contains the signs only if the hashes differ.
func (n *Node) digest(now decide.Instant, receiverHash uint64) Digest {
	d := Digest{
		Instance: n.params.Member.Self.ID, Incarnation: n.params.Incarnation,
		ConfigVersion: n.shared.Config().Version, ListVersion: n.members.ListVersion(), SignsHash: n.shared.SignsHash(),
		Trusted: n.members.Trusted(now),
	}
	if d.SignsHash != receiverHash {
		d.Leaving = n.shared.Signs(now)
	}
	return d
}

// HeartbeatReceived handles a heartbeat of another instance and returns the digest to reply with.
func (n *Node) HeartbeatReceived(now decide.Instant, d Digest) (Digest, []Effect) {
	n.members.HeartbeatReceived(now, member.Status{
		From: d.Instance, Incarnation: d.Incarnation, ConfigVersion: d.ConfigVersion, SignsHash: d.SignsHash,
	})
	n.mergeSigns(now, d.Leaving)
	if from, ok := n.members.Find(d.Instance); ok {
		n.recordPeerVersion(now, from, d.ConfigVersion)
	}
	answer := n.digest(now, d.SignsHash)
	n.sendDueHeartbeats(now)
	return answer, n.finish(now)
}

// HeartbeatDone handles the outcome of a SendHeartbeat.
func (n *Node) HeartbeatDone(now decide.Instant, sent SendHeartbeat, d Digest, ok bool) []Effect {
	if !ok {
		n.emitPeerChange(n.members.HeartbeatFailed(now, sent.To.ID), sent.To.ID)
		n.sendDueHeartbeats(now)
		return n.finish(now)
	}
	reason, counts := n.members.ReplyReceived(now, member.Reply{
		Status: member.Status{
			From: d.Instance, Incarnation: d.Incarnation, ConfigVersion: d.ConfigVersion, SignsHash: d.SignsHash,
		},
		To: sent.To.ID, SentVersion: sent.Digest.ConfigVersion,
	})
	n.emitPeerChange(reason, sent.To.ID)
	if counts {
		n.mergeSigns(now, d.Leaving)
		n.recordPeerVersion(now, sent.To, d.ConfigVersion)
		// The exchange extends trust only if this instance has the newest configuration announced to it. With a
		// peer that is ahead, that holds only after the pull. A peer without a configuration has just started and
		// can't confirm anything.
		if n.caughtUp() && d.ConfigVersion > 0 {
			n.members.RecordContact(sent.Sent, sent.To.ID, d.Trusted)
		}
	}
	n.sendDueHeartbeats(now)
	return n.finish(now)
}

// emitPeerChange emits an Event for a change in the state of a peer, if there was one.
func (n *Node) emitPeerChange(r decide.Reason, peer fleet.InstanceID) {
	if r != member.Unchanged {
		n.emit(Event{Reason: r, Peer: peer})
	}
}

// UpstreamLeaving handles an upstream's own answer that it is leaving.
func (n *Node) UpstreamLeaving(now decide.Instant, upstream fleet.UpstreamID, boot string) []Effect {
	before := n.shared.Signs(now)
	if n.shared.ObserveLeaving(now, upstream, boot) {
		n.announceSigns(now, before)
	}
	n.sendDueHeartbeats(now)
	return n.finish(now)
}

// mergeSigns merges the signs of a peer into those of this instance and announces what changed.
func (n *Node) mergeSigns(now decide.Instant, signs []LeavingSign) {
	if len(signs) == 0 {
		return
	}
	before := n.shared.Signs(now)
	if n.shared.MergeSigns(now, signs) {
		n.announceSigns(now, before)
	}
}

// announceSigns hands the changed signs to the view and makes a heartbeat to every peer due at once. It logs each
// sign that is not in before.
func (n *Node) announceSigns(now decide.Instant, before []LeavingSign) {
	after := n.shared.Signs(now)
	for _, s := range after {
		known := func(b LeavingSign) bool { return b.Upstream == s.Upstream && b.Boot == s.Boot }
		if !slices.ContainsFunc(before, known) {
			n.emit(Event{Reason: SignReceived, Sign: s})
		}
	}
	n.emit(SetLeaving{Signs: after})
	n.members.MakeAllDue(now)
}

// ConfigAccepted handles a configuration whose write by this instance is known to have taken effect. It applies
// the configuration without waiting for the store's watch, which may lag.
func (n *Node) ConfigAccepted(now decide.Instant, c Config) []Effect {
	n.applyConfig(now, c)
	n.sendDueHeartbeats(now)
	return n.finish(now)
}

// applyConfig puts a configuration in force if its version is higher than the current one, and reports whether it
// did. After a successful read of the store this also completes the start-up.
func (n *Node) applyConfig(now decide.Instant, c Config) bool {
	if !n.shared.Apply(c) {
		if c.Version != 0 && c.Version < n.shared.Config().Version {
			n.emit(Event{Reason: ConfigStale, Version: c.Version})
		}
		return false
	}
	n.emit(Event{Reason: ConfigApplied, Version: c.Version})
	n.emit(ApplyConfig{Config: c})
	if n.store.readSucceeded {
		n.finishBootstrap(BootstrappedFromStore)
	}
	return true
}
