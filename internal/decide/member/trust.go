package member

import (
	"math"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// never is an instant that no clock reaches.
const never = decide.Instant(math.MaxInt64)

// Contact notes that a peer's state, as of an exchange that began at sent, is known here in full.
//
// An instance that was cut off goes on sending work to an upstream that left or to a failure domain that
// was taken out: it shows as work there long after the rest has stopped. So trust ends Bound after the
// beginning of the last exchange that counts, on this instance's monotonic clock, and whoever sends work
// compares with its own now. A peer in the same failure domain counts only while the list shows nobody
// elsewhere: a domain that is cut off as a whole would vouch for itself for ever.
func (m *Members) Contact(sent decide.Instant, with fleet.InstanceID) {
	p := find(m.peers, with)
	if p == nil || (m.foreign && p.Domain == m.params.Self.Domain) {
		return
	}
	m.trust(sent)
}

// StoreContact notes a read of the store that began at sent and whose answer is known here in full.
func (m *Members) StoreContact(sent decide.Instant) { m.trust(sent) }

func (m *Members) trust(sent decide.Instant) {
	m.freshUntil = max(m.freshUntil, sent.Add(m.params.Bound))
}

// Forget ends the trust in all that is known, as after a pause.
func (m *Members) Forget() { m.freshUntil = 0 }

// FreshUntil is the instant after which this instance sends no new work. An instance that the list shows
// alone has nobody to ask, and is held by the store's reads only as far as they succeed.
func (m *Members) FreshUntil() decide.Instant {
	if m.version > 0 && m.alone {
		return never
	}
	return m.freshUntil
}

// Lonely tells whether trust will end within half the bound unless somebody answers: time to ask the
// store itself.
func (m *Members) Lonely(now decide.Instant) bool {
	return m.FreshUntil() < now.Add(m.params.Bound/2)
}
