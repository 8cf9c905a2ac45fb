// Package member decides whom an instance exchanges heartbeats with, who is reachable, and until when the
// instance may trust what it knows.
//
// The platform's instance list lags, and is the authority on who exists; heartbeats tell who is reachable
// now. An instance in the list that does not answer keeps existing here, and one that answers without
// being in the list is not made a peer.
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
	PeerReplaced    decide.Reason = "peer_replaced"  // another instance answers at its address
	LateReply       decide.Reason = "late_answer"    // of an earlier incarnation, or of no peer any more
	Unchanged       decide.Reason = "unchanged"
	ListApplied     decide.Reason = "list_taken"
	ListStale       decide.Reason = "list_older" // a lagging replica of the list
)

// Reasons lists every reason of this package.
var Reasons = []decide.Reason{
	PeerReachable, PeerUnreachable, PeerRestarted, PeerReplaced, LateReply, Unchanged, ListApplied, ListStale,
}

// Params are the constants of one instance's membership.
type Params struct {
	Self          fleet.Instance
	Fanout        int           // rings, and so peers
	Interval      time.Duration // between heartbeats to one peer
	TrustDuration time.Duration // how long knowledge is trusted after it was asked for
	MaxInterval   time.Duration // longest interval to a peer that does not answer
}

// Defaults of Params.
const (
	DefaultFanout = 6
	// DefaultBound keeps the promise that a leaving upstream gets no new work after two seconds, with half
	// a second left for the news to reach the instances that this one heard last.
	DefaultTrustDuration = 1500 * time.Millisecond
	// intervalsPerBound heartbeats to each peer fit in the bound at least: with six peers, all of them have
	// to be lost before a reachable instance thinks that it was cut off.
	intervalsPerBound = 3
	slowestPerBound   = 2
	// missesAllowed heartbeats in a row may be lost before a peer counts as unreachable.
	missesAllowed = 1
)

// NewParams gives the defaults around a heartbeat interval, which is shortened to fit the bound.
func NewParams(self fleet.Instance, interval time.Duration) Params {
	return Params{
		Self: self, Fanout: DefaultFanout, Interval: min(interval, DefaultTrustDuration/intervalsPerBound),
		TrustDuration: DefaultTrustDuration, MaxInterval: slowestPerBound * DefaultTrustDuration,
	}
}

// Peer is the state of one peer.
type Peer struct {
	fleet.Instance
	Incarnation   uint64 // 0: never heard
	Reachable     bool
	ConfigVersion uint64 // of the configuration that it had when it was last heard
	SignsHash     uint64 // of the leaving signs that it held then

	told     uint64         // highest version that it has heard of from here
	misses   int            // heartbeats in a row without an answer
	vouched  decide.Instant // beginning of the last exchange after which its state was known here in full
	next     decide.Instant // of the next heartbeat
	interval time.Duration
	phase    time.Duration // of its heartbeats within the interval
	inFlight bool
	again    bool // send once more after the one in flight: there is news for it
}

// caller is an instance that sends heartbeats here and is no peer.
type caller struct {
	id      fleet.InstanceID
	version uint64 // of its configuration
	heard   decide.Instant
}

// Members is one instance's membership. It is not safe for concurrent use.
type Members struct {
	params      Params
	version     uint64
	all         []fleet.Instance // of the list, without self, sorted by id
	peers       []*Peer
	callers     []caller
	alone       bool // the list shows nobody else
	foreign     bool // some peer is in another failure domain
	freshUntil  decide.Instant
	quorumSince decide.Instant // since when a majority has been in contact; never: it has not
}

// New gives a membership that knows nobody yet and trusts nothing.
func New(p Params) *Members { return &Members{params: p, quorumSince: never} }

// List takes the instance list. A lower version than the last is a lagging read and changes nothing.
func (m *Members) UpdateInstances(now decide.Instant, version uint64, instances []fleet.Instance) decide.Reason {
	if version <= m.version {
		return ListStale
	}
	m.version = version
	m.all = m.all[:0]
	for _, i := range instances {
		if i.ID != m.params.Self.ID {
			m.all = append(m.all, i)
		}
	}
	slices.SortFunc(m.all, func(a, b fleet.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	m.choose(now)
	return ListApplied
}

// choose takes the peers anew and keeps the state of those that stay.
func (m *Members) choose(now decide.Instant) {
	before := m.peers
	m.peers, m.foreign = nil, false
	for i, c := range ChoosePeers(m.params.Self, m.all, m.params.Fanout) {
		p := find(before, c.ID)
		if p == nil || p.PeerAddr != c.PeerAddr {
			p = &Peer{next: now, interval: m.params.Interval}
		}
		p.Instance = c
		p.phase = m.params.Interval * time.Duration(i) / time.Duration(m.params.Fanout)
		m.peers = append(m.peers, p)
		m.foreign = m.foreign || c.Domain != m.params.Self.Domain
	}
	m.alone = len(m.peers) == 0
}

func find(peers []*Peer, id fleet.InstanceID) *Peer {
	for _, p := range peers {
		if p.ID == id {
			return p
		}
	}
	return nil
}

// ListVersion is the version of the list that was taken last; 0: none yet.
func (m *Members) ListVersion() uint64 { return m.version }

// Peers are the chosen peers; shared, not to be changed.
func (m *Members) Peers() []*Peer { return m.peers }

// Find gives the instance with that id in the list, whether it is a peer or not.
func (m *Members) Find(id fleet.InstanceID) (fleet.Instance, bool) {
	i, found := slices.BinarySearchFunc(m.all, id, func(c fleet.Instance, id fleet.InstanceID) int {
		return strings.Compare(string(c.ID), string(id))
	})
	if !found {
		return fleet.Instance{}, false
	}
	return m.all[i], true
}

// Others gives the instances of the list but self; shared, not to be changed.
func (m *Members) Others() []fleet.Instance { return m.all }

// Due gives the peers to send a heartbeat to now and counts them as sent. Reachable peers that have not
// heard of the version news get theirs at once.
func (m *Members) Due(now decide.Instant, news uint64) []*Peer {
	var due []*Peer
	for _, p := range m.peers {
		late := !now.Before(p.next)
		behind := p.Reachable && max(p.ConfigVersion, p.told) < news
		switch {
		case p.inFlight:
			p.again = p.again || behind
		case late || behind:
			p.inFlight, p.again = true, false
			p.next = m.after(now, p)
			due = append(due, p)
		}
	}
	return due
}

// after gives the time of the heartbeat after one sent now: the peer's phase, half an interval or more
// away. The phases spread the heartbeats over the interval, also after news made all of them due at once.
func (m *Members) after(now decide.Instant, p *Peer) decide.Instant {
	if p.interval != m.params.Interval {
		return now.Add(p.interval)
	}
	i := decide.Instant(p.interval)
	earliest := now + i/2 - decide.Instant(p.phase)
	return (earliest/i+1)*i + decide.Instant(p.phase)
}

// Hurry makes every peer due now, as after a pause or with a sign to spread.
func (m *Members) MakeAllDue(now decide.Instant) {
	for _, p := range m.peers {
		p.next = now
		p.again = p.inFlight
	}
}

// Heard is what an instance says of itself.
type Status struct {
	From          fleet.InstanceID
	Incarnation   uint64
	ConfigVersion uint64 // of its configuration
	SignsHash     uint64 // of the leaving signs that it holds
}

// Reply is a peer's answer to a heartbeat.
type Reply struct {
	Status
	To          fleet.InstanceID // whom the heartbeat was sent to
	SentVersion uint64           // version that the heartbeat carried
}

// Answer takes a reply. It tells whether the reply counts: one of another instance, of an earlier
// incarnation or of no peer any more does not.
func (m *Members) ReplyReceived(now decide.Instant, r Reply) (decide.Reason, bool) {
	p := find(m.peers, r.To)
	if p == nil {
		return LateReply, false
	}
	if r.From != r.To {
		m.failed(now, p)
		return PeerReplaced, false
	}
	m.landed(now, p)
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
		p.ConfigVersion, p.told = 0, 0
	}
	p.Incarnation, p.Reachable, p.misses, p.interval = r.Incarnation, true, 0, m.params.Interval
	p.ConfigVersion, p.told, p.SignsHash = max(p.ConfigVersion, r.ConfigVersion), max(p.told, r.SentVersion), r.SignsHash
	return reason, true
}

// Failed takes that the peer did not answer.
func (m *Members) HeartbeatFailed(now decide.Instant, to fleet.InstanceID) decide.Reason {
	p := find(m.peers, to)
	if p == nil {
		return LateReply
	}
	was := p.Reachable
	m.failed(now, p)
	if was && !p.Reachable {
		return PeerUnreachable
	}
	return Unchanged
}

func (m *Members) failed(now decide.Instant, p *Peer) {
	m.landed(now, p)
	p.misses++
	if p.misses <= missesAllowed {
		return
	}
	p.Reachable = false
	p.interval = min(2*p.interval, m.params.MaxInterval)
}

// landed ends the heartbeat in flight; with news since it was sent, the next one is due at once.
func (m *Members) landed(now decide.Instant, p *Peer) {
	p.inFlight = false
	if p.again {
		p.next, p.again = now, false
	}
}

// Heard notes what a peer's own heartbeat says. It does not extend the trust in what is known here: the
// message may have been long on its way.
func (m *Members) HeartbeatReceived(now decide.Instant, h Status) {
	p := find(m.peers, h.From)
	if p == nil {
		m.called(now, h)
		return
	}
	if h.Incarnation < p.Incarnation {
		return
	}
	p.ConfigVersion, p.SignsHash = max(p.ConfigVersion, h.ConfigVersion), h.SignsHash
	if !p.Reachable {
		p.next = now // it is back: no need to wait out the long interval
	}
}

// called notes the version of an instance that is no peer.
func (m *Members) called(now decide.Instant, h Status) {
	if _, listed := m.Find(h.From); !listed {
		return
	}
	c := caller{id: h.From, version: h.ConfigVersion, heard: now}
	m.callers = slices.DeleteFunc(m.callers, func(o caller) bool {
		return o.id == c.id || now.Sub(o.heard) > m.params.MaxInterval
	})
	m.callers = append(m.callers, c)
}

// InForce tells how many of the instances that are heard here, this one aside, have a configuration
// version in force: peers, whether they answer now or not, and instances that have lately sent a heartbeat.
func (m *Members) CountInForce(now decide.Instant, version uint64) (have, of int) {
	count := func(v uint64) {
		of++
		if v >= version {
			have++
		}
	}
	for _, p := range m.peers {
		count(p.ConfigVersion)
	}
	for _, c := range m.callers {
		if find(m.peers, c.id) == nil && now.Sub(c.heard) <= m.params.MaxInterval {
			count(c.version)
		}
	}
	return have, of
}
