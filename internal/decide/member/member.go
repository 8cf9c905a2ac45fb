// Package member decides which instances an instance exchanges heartbeats with, which of them are reachable, and
// until when the instance may trust its state.
//
// The platform's instance list determines which instances exist, but it lags. Heartbeats determine which are
// reachable now. An instance in the list that does not reply remains a member, and one that replies without being
// in the list does not become a peer.
package member

import (
	"slices"
	"strings"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Reasons of this package.
const (
	PeerReachable   decide.Reason = "peer_reachable"
	PeerUnreachable decide.Reason = "peer_unreachable"
	PeerRestarted   decide.Reason = "peer_restarted" // same id, higher incarnation
	PeerReplaced    decide.Reason = "peer_replaced"  // another instance replies at the peer's address
	LateReply       decide.Reason = "late_answer"    // from an earlier incarnation or a former peer
	Unchanged       decide.Reason = "unchanged"
	ListApplied     decide.Reason = "list_taken"
	ListStale       decide.Reason = "list_older" // from a lagging replica of the list
)

// Reasons lists every reason of this package.
var Reasons = []decide.Reason{
	PeerReachable, PeerUnreachable, PeerRestarted, PeerReplaced, LateReply, Unchanged, ListApplied, ListStale,
}

// Params holds the constants of one Members.
type Params struct {
	Self          fleet.Instance
	Fanout        int           // number of rings, and thus of peers
	Interval      time.Duration // between heartbeats to one peer
	TrustDuration time.Duration // how long an instance may act on its state after an exchange began
	MaxInterval   time.Duration // longest interval to a peer that does not reply
}

// Defaults of Params.
const (
	DefaultFanout = 6
	// DefaultTrustDuration keeps the guarantee that a leaving upstream gets no new work after two seconds. The
	// remaining half second is for the leaving sign to reach the instances that this one last exchanged heartbeats
	// with.
	DefaultTrustDuration = 1500 * time.Millisecond
	// intervalsPerTrustDuration is how many heartbeats to each peer fit in the trust duration at least. With six
	// peers, all of these have to be lost before a reachable instance loses its trust.
	intervalsPerTrustDuration = 3
	// maxIntervalRatio is the ratio of MaxInterval to the trust duration.
	maxIntervalRatio = 2
	// maxMisses is how many consecutive heartbeats may be lost before a peer counts as unreachable.
	maxMisses = 1
)

// NewParams returns the default parameters for a heartbeat interval, which is shortened to fit the trust duration.
func NewParams(self fleet.Instance, interval time.Duration) Params {
	return Params{
		Self: self, Fanout: DefaultFanout, Interval: min(interval, DefaultTrustDuration/intervalsPerTrustDuration),
		TrustDuration: DefaultTrustDuration, MaxInterval: maxIntervalRatio * DefaultTrustDuration,
	}
}

// Peer is the state of one peer.
type Peer struct {
	fleet.Instance
	Incarnation   uint64 // 0: no message received yet
	Reachable     bool
	ConfigVersion uint64 // as of its last message
	SignsHash     uint64 // of its leaving signs, as of its last message

	sentVersion uint64         // highest configuration version that a heartbeat from here has reported to it
	misses      int            // consecutive heartbeats without a reply
	lastContact decide.Instant // start of the last exchange after which its state was fully known here
	nextAt      decide.Instant // when the next heartbeat is due
	interval    time.Duration
	phase       time.Duration // offset of its heartbeats within the interval
	inFlight    bool          // a heartbeat awaits its reply
	resend      bool          // send another one after the one in flight, which lacks the newest state
}

// caller is an instance that sends heartbeats here and is not a peer.
type caller struct {
	id            fleet.InstanceID
	configVersion uint64 // as of its last heartbeat
	lastHeartbeat decide.Instant
}

// Members is the membership as one instance sees it. It is not safe for concurrent use.
type Members struct {
	params         Params
	listVersion    uint64
	others         []fleet.Instance // the instance list without self, sorted by id
	peers          []*Peer
	callers        []caller
	noPeers        bool // the list contains no other instance, or only leaving ones
	hasOutsidePeer bool // at least one peer is in another failure domain
	trustedUntil   decide.Instant
	quorumSince    decide.Instant // since when a majority of peers has been in contact; never: not at present
}

// New returns a membership without any instance, which trusts nothing yet.
func New(p Params) *Members { return &Members{params: p, quorumSince: never} }

// UpdateInstances replaces the instance list. A version that is not above the current one comes from a lagging
// replica and is ignored.
func (m *Members) UpdateInstances(now decide.Instant, version uint64, instances []fleet.Instance) decide.Reason {
	if version <= m.listVersion {
		return ListStale
	}
	m.listVersion = version
	m.others = m.others[:0]
	for _, i := range instances {
		if i.ID != m.params.Self.ID {
			m.others = append(m.others, i)
		}
	}
	slices.SortFunc(m.others, func(a, b fleet.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	m.updatePeers(now)
	return ListApplied
}

// updatePeers chooses the peers from the list again and keeps the state of those that remain.
func (m *Members) updatePeers(now decide.Instant) {
	before := m.peers
	m.peers, m.hasOutsidePeer = nil, false
	for i, c := range ChoosePeers(m.params.Self, m.others, m.params.Fanout) {
		p := findPeer(before, c.ID)
		if p == nil || p.PeerAddr != c.PeerAddr {
			p = &Peer{nextAt: now, interval: m.params.Interval}
		}
		p.Instance = c
		p.phase = m.params.Interval * time.Duration(i) / time.Duration(m.params.Fanout)
		m.peers = append(m.peers, p)
		m.hasOutsidePeer = m.hasOutsidePeer || c.Domain != m.params.Self.Domain
	}
	m.noPeers = len(m.peers) == 0
}

// findPeer returns the peer with that id, or nil.
func findPeer(peers []*Peer, id fleet.InstanceID) *Peer {
	for _, p := range peers {
		if p.ID == id {
			return p
		}
	}
	return nil
}

// ListVersion returns the version of the current instance list; 0 means that there is none yet.
func (m *Members) ListVersion() uint64 { return m.listVersion }

// Peers returns the chosen peers. The caller must not modify the slice.
func (m *Members) Peers() []*Peer { return m.peers }

// Find returns the instance with that id from the list, whether it is a peer or not.
func (m *Members) Find(id fleet.InstanceID) (fleet.Instance, bool) {
	i, found := slices.BinarySearchFunc(m.others, id, func(c fleet.Instance, id fleet.InstanceID) int {
		return strings.Compare(string(c.ID), string(id))
	})
	if !found {
		return fleet.Instance{}, false
	}
	return m.others[i], true
}

// Others returns the instances of the list without self. The caller must not modify the slice.
func (m *Members) Others() []fleet.Instance { return m.others }

// Due returns the peers to send a heartbeat to now, and marks these heartbeats as in flight. A reachable peer that
// lacks the given configuration version is due at once.
func (m *Members) Due(now decide.Instant, version uint64) []*Peer {
	var due []*Peer
	for _, p := range m.peers {
		overdue := !now.Before(p.nextAt)
		behind := p.Reachable && max(p.ConfigVersion, p.sentVersion) < version
		switch {
		case p.inFlight:
			p.resend = p.resend || behind
		case overdue || behind:
			p.inFlight, p.resend = true, false
			p.nextAt = m.nextHeartbeat(now, p)
			due = append(due, p)
		}
	}
	return due
}

// nextHeartbeat returns when the heartbeat after one sent now is due: at the peer's phase, at least half an
// interval away. The phases keep the heartbeats spread over the interval, also after a change made all of them due
// at once. A peer with a longer interval, because it does not reply, has no phase.
func (m *Members) nextHeartbeat(now decide.Instant, p *Peer) decide.Instant {
	if p.interval != m.params.Interval {
		return now.Add(p.interval)
	}
	i := decide.Instant(p.interval)
	earliest := now + i/2 - decide.Instant(p.phase)
	return (earliest/i+1)*i + decide.Instant(p.phase)
}

// MakeAllDue makes a heartbeat to every peer due now, for example after a pause or to send a new leaving sign.
func (m *Members) MakeAllDue(now decide.Instant) {
	for _, p := range m.peers {
		p.nextAt = now
		p.resend = p.inFlight
	}
}

// Status is what an instance reports about itself in a heartbeat or a reply.
type Status struct {
	From          fleet.InstanceID
	Incarnation   uint64
	ConfigVersion uint64 // 0: none yet
	SignsHash     uint64 // of its leaving signs
}

// Reply is a reply to a heartbeat.
type Reply struct {
	Status
	To          fleet.InstanceID // the peer that the heartbeat was sent to
	SentVersion uint64           // configuration version that the heartbeat reported
}

// ReplyReceived records a reply and reports whether it counts. A reply of another instance, of an earlier
// incarnation or of a former peer does not count.
func (m *Members) ReplyReceived(now decide.Instant, r Reply) (decide.Reason, bool) {
	p := findPeer(m.peers, r.To)
	if p == nil {
		return LateReply, false
	}
	if r.From != r.To {
		m.recordMiss(now, p)
		return PeerReplaced, false
	}
	m.heartbeatEnded(now, p)
	if r.Incarnation < p.Incarnation {
		return LateReply, false
	}
	reason := Unchanged
	switch {
	case p.Incarnation != 0 && r.Incarnation > p.Incarnation:
		reason = PeerRestarted
	case !p.Reachable:
		reason = PeerReachable
	}
	if r.Incarnation > p.Incarnation {
		p.ConfigVersion, p.sentVersion = 0, 0
	}
	p.Incarnation, p.Reachable, p.misses, p.interval = r.Incarnation, true, 0, m.params.Interval
	p.ConfigVersion, p.sentVersion, p.SignsHash = max(p.ConfigVersion, r.ConfigVersion), max(p.sentVersion, r.SentVersion), r.SignsHash
	return reason, true
}

// HeartbeatFailed records that a peer did not reply. It returns PeerUnreachable if this failure made a
// reachable peer unreachable.
func (m *Members) HeartbeatFailed(now decide.Instant, to fleet.InstanceID) decide.Reason {
	p := findPeer(m.peers, to)
	if p == nil {
		return LateReply
	}
	wasReachable := p.Reachable
	m.recordMiss(now, p)
	if wasReachable && !p.Reachable {
		return PeerUnreachable
	}
	return Unchanged
}

// recordMiss counts a heartbeat without a valid reply. Above maxMisses the peer is unreachable and its interval
// doubles, up to MaxInterval.
func (m *Members) recordMiss(now decide.Instant, p *Peer) {
	m.heartbeatEnded(now, p)
	p.misses++
	if p.misses <= maxMisses {
		return
	}
	p.Reachable = false
	p.interval = min(2*p.interval, m.params.MaxInterval)
}

// heartbeatEnded records that no heartbeat is in flight any more. If there is newer state to send, the next one is
// due at once.
func (m *Members) heartbeatEnded(now decide.Instant, p *Peer) {
	p.inFlight = false
	if p.resend {
		p.nextAt, p.resend = now, false
	}
}

// HeartbeatReceived records the status in another instance's own heartbeat. It does not extend trust, because the
// message may have been in transit for long.
func (m *Members) HeartbeatReceived(now decide.Instant, h Status) {
	p := findPeer(m.peers, h.From)
	if p == nil {
		m.recordCaller(now, h)
		return
	}
	if h.Incarnation < p.Incarnation {
		return
	}
	p.ConfigVersion, p.SignsHash = max(p.ConfigVersion, h.ConfigVersion), h.SignsHash
	if !p.Reachable {
		p.nextAt = now // the peer is back: do not wait for the end of the long interval
	}
}

// recordCaller records the configuration version of an instance that is in the list but not a peer. It removes
// callers without a heartbeat for longer than MaxInterval.
func (m *Members) recordCaller(now decide.Instant, h Status) {
	if _, listed := m.Find(h.From); !listed {
		return
	}
	c := caller{id: h.From, configVersion: h.ConfigVersion, lastHeartbeat: now}
	m.callers = slices.DeleteFunc(m.callers, func(o caller) bool {
		return o.id == c.id || now.Sub(o.lastHeartbeat) > m.params.MaxInterval
	})
	m.callers = append(m.callers, c)
}

// CountInForce returns how many of the instances known from heartbeats, without this one, have at least that
// configuration version in force, and their total number. They are the peers, reachable or not, and the instances
// that have recently sent a heartbeat.
func (m *Members) CountInForce(now decide.Instant, version uint64) (inForce, total int) {
	count := func(v uint64) {
		total++
		if v >= version {
			inForce++
		}
	}
	for _, p := range m.peers {
		count(p.ConfigVersion)
	}
	for _, c := range m.callers {
		if findPeer(m.peers, c.id) == nil && now.Sub(c.lastHeartbeat) <= m.params.MaxInterval {
			count(c.configVersion)
		}
	}
	return inForce, total
}
