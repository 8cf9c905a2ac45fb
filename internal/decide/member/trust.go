package member

import (
	"math"
	"slices"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// never is an instant that no clock reaches.
const never = decide.Instant(math.MaxInt64)

// RecordContact records an exchange with a peer that began at sent and after which the peer's state is fully known
// here. trusted is whether the peer reports that it is itself trusted.
//
// The bound on trust guards against an instance that is cut off and goes on sending work to an upstream that left
// or to a drained failure domain. It shows as work there long after the other instances have stopped. Trust ends
// TrustDuration after the beginning of the last exchange that counts, on this instance's monotonic clock, and
// every sender of work compares that instant with its own current time.
//
// Two kinds of exchange don't extend trust. A peer in the same failure domain doesn't count while there are peers
// in other domains: in a domain that is cut off as a whole, the instances would keep each other trusted forever. A
// peer that isn't trusted itself doesn't count either: two instances that return at the same time would make each
// other trusted before either has received the changes that it missed.
func (m *Members) RecordContact(sent decide.Instant, id fleet.InstanceID, trusted bool) {
	p := findPeer(m.peers, id)
	if p == nil {
		return
	}
	p.lastContact = max(p.lastContact, sent)
	if trusted && m.isOutside(p) {
		m.extendTrust(sent)
	}
}

// isOutside reports whether the peer is in another failure domain. Without any such peer, every peer counts as
// outside.
func (m *Members) isOutside(p *Peer) bool {
	return !m.hasOutsidePeer || p.Domain != m.params.Self.Domain
}

// RecordStoreRead records a read of the store that began at sent and whose result is fully known here. It extends
// trust.
func (m *Members) RecordStoreRead(sent decide.Instant) { m.extendTrust(sent) }

// RegainByQuorum restores the trust of a fleet that lost it everywhere during an outage of the store. If the
// network fails for longer than the trust duration, no instance stays trusted that could extend the trust of
// others. Trust returns once more than half of the peers, at least one of them outside this failure domain, have
// been in contact for a whole trust duration.
func (m *Members) RegainByQuorum(now decide.Instant, storeLost bool) {
	if !storeLost {
		m.quorumSince = never
		return
	}
	sent, ok := m.majorityContact()
	if !ok || now.Sub(sent) > m.params.TrustDuration {
		m.quorumSince = never
		return
	}
	m.quorumSince = min(m.quorumSince, now)
	if now.Sub(m.quorumSince) >= m.params.TrustDuration {
		m.extendTrust(sent)
	}
}

// majorityContact returns the latest instant such that more than half of the peers, at least one of them outside
// this failure domain, have been in contact at or after it. It reports false if there is none.
func (m *Members) majorityContact() (decide.Instant, bool) {
	if len(m.peers) == 0 {
		return 0, false
	}
	contacts := make([]decide.Instant, 0, len(m.peers))
	outside := decide.Instant(0)
	for _, p := range m.peers {
		contacts = append(contacts, p.lastContact)
		if m.isOutside(p) {
			outside = max(outside, p.lastContact)
		}
	}
	slices.Sort(contacts)
	sent := min(outside, contacts[(len(contacts)-1)/2])
	return sent, sent > 0
}

// extendTrust extends trust to TrustDuration after sent, if that is later than its current end.
func (m *Members) extendTrust(sent decide.Instant) {
	m.trustedUntil = max(m.trustedUntil, sent.Add(m.params.TrustDuration))
}

// ClearTrust ends trust and discards the recorded contacts, for example after a pause. Trust returns with the next
// exchange that counts.
func (m *Members) ClearTrust() {
	m.trustedUntil = 0
	m.quorumSince = never
	for _, p := range m.peers {
		p.lastContact = 0
	}
}

// TrustedUntil returns the instant after which this instance sends no new work. Trust doesn't end if the list
// contains no instance that could be a peer: no exchange could extend it, and reads of the store keep the state
// current only as far as they succeed.
func (m *Members) TrustedUntil() decide.Instant {
	if m.listVersion > 0 && m.noPeers {
		return never
	}
	return m.trustedUntil
}

// Trusted reports whether this instance may send new work now.
func (m *Members) Trusted(now decide.Instant) bool { return !m.TrustedUntil().Before(now) }

// TrustEndsSoon reports whether trust ends within half the trust duration unless an exchange succeeds. It is then
// time to read the store.
func (m *Members) TrustEndsSoon(now decide.Instant) bool {
	return m.TrustedUntil().Sub(now) < m.params.TrustDuration/2
}
