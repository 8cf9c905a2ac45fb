package member

import (
	"math"
	"slices"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// never is an instant that no clock reaches.
const never = decide.Instant(math.MaxInt64)

// Contact notes that a peer's state, as of an exchange that began at sent, is known here in full. trusted
// is what the peer says of itself.
//
// An instance that was cut off goes on sending work to an upstream that left or to a failure domain that
// was taken out: it shows as work there long after the rest has stopped. So trust ends Bound after the
// beginning of the last exchange that counts, on this instance's monotonic clock, and whoever sends work
// compares with its own now. What does not count: a peer in the same failure domain, while the list shows
// others elsewhere, for a domain that is cut off as a whole would vouch for itself for ever; and a peer
// that is not trusted itself, for two that come back at the same time would vouch for each other before
// either has heard what happened.
func (m *Members) RecordContact(sent decide.Instant, with fleet.InstanceID, trusted bool) {
	p := find(m.peers, with)
	if p == nil {
		return
	}
	p.vouched = max(p.vouched, sent)
	if trusted && m.elsewhere(p) {
		m.trust(sent)
	}
}

// elsewhere tells whether the peer is outside this failure domain, or the list shows nobody who is.
func (m *Members) elsewhere(p *Peer) bool { return !m.foreign || p.Domain != m.params.Self.Domain }

// StoreContact notes a read of the store that began at sent and whose answer is known here in full.
func (m *Members) RecordStoreRead(sent decide.Instant) { m.trust(sent) }

// Quorum lets a fleet that lost trust as a whole begin again while the store is lost: when the network
// failed everywhere for longer than the bound, nobody is left who is trusted. Trust comes back when more
// than half of the peers, one elsewhere among them, have been in contact for a whole bound.
func (m *Members) RegainByQuorum(now decide.Instant, storeLost bool) {
	if !storeLost {
		m.quorumSince = never
		return
	}
	sent, ok := m.majority()
	if !ok || now.Sub(sent) > m.params.TrustDuration {
		m.quorumSince = never
		return
	}
	m.quorumSince = min(m.quorumSince, now)
	if now.Sub(m.quorumSince) >= m.params.TrustDuration {
		m.trust(sent)
	}
}

// majority gives the instant since which more than half of the peers, one elsewhere among them, were in
// contact last.
func (m *Members) majority() (decide.Instant, bool) {
	if len(m.peers) == 0 {
		return 0, false
	}
	all := make([]decide.Instant, 0, len(m.peers))
	elsewhere := decide.Instant(0)
	for _, p := range m.peers {
		all = append(all, p.vouched)
		if m.elsewhere(p) {
			elsewhere = max(elsewhere, p.vouched)
		}
	}
	slices.Sort(all)
	sent := min(elsewhere, all[(len(all)-1)/2])
	return sent, sent > 0
}

func (m *Members) trust(sent decide.Instant) {
	m.freshUntil = max(m.freshUntil, sent.Add(m.params.TrustDuration))
}

// Forget ends the trust in all that is known, as after a pause.
func (m *Members) ClearTrust() {
	m.freshUntil = 0
	m.quorumSince = never
	for _, p := range m.peers {
		p.vouched = 0
	}
}

// FreshUntil is the instant after which this instance sends no new work. An instance that the list shows
// alone has nobody to ask, and is held by the store's reads only as far as they succeed.
func (m *Members) TrustedUntil() decide.Instant {
	if m.version > 0 && m.alone {
		return never
	}
	return m.freshUntil
}

// Trusted tells whether this instance may send new work now.
func (m *Members) Trusted(now decide.Instant) bool { return !m.TrustedUntil().Before(now) }

// Lonely tells whether trust will end within half the bound unless somebody answers: time to ask the
// store itself.
func (m *Members) TrustEndsSoon(now decide.Instant) bool {
	return m.TrustedUntil().Sub(now) < m.params.TrustDuration/2
}
