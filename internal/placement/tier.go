package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/rendezvous"
)

// In a large fleet the dispatcher has sessions with some strong members only, the relays. Every other instance attaches
// to a relay of its own failure domain. The relay passes its requests on, and sends it the state of the store from its
// own copies. Otherwise the dispatcher's heartbeats and the bytes of its copies would grow with the fleet.

const (
	// minTieredFleet is the number of members from which a fleet has relays. In a smaller one the dispatcher's machine
	// has the power for all sessions, and one hop less is faster.
	minTieredFleet = 256
	// relayKey is the key under which rendezvous hashing ranks the relays of an instance.
	relayKey = "relay/"
	// maxForeignRelays is how many relays of other failure domains an instance tries if it reaches none of its own.
	maxForeignRelays = 2
)

// relayCount returns how many relays a fleet should have. With the square root, the dispatcher's sessions and those of a
// relay grow alike.
func relayCount(members int) int {
	if members < minTieredFleet {
		return 0
	}
	return int(math.Ceil(math.Sqrt(float64(members))))
}

// peerCandidate is a member that an instance may attach to.
type peerCandidate struct {
	*catalog.Member
	asRelay bool // attach only if it is the dispatcher or has a session with it
}

// candidates returns the members that the instance attaches to, in order of preference: in a tiered fleet, unless it is
// a relay itself, the relays of its failure domain and a few others; then the members in dispatcher order.
func (o *cachedOrder) candidates(instance fleet.InstanceID, domain fleet.DomainID) []peerCandidate {
	relays := o.relaysFor(instance, domain)
	all := make([]peerCandidate, 0, len(relays)+len(o.order))
	for _, m := range relays {
		all = append(all, peerCandidate{Member: m, asRelay: true})
	}
	for _, m := range o.order {
		all = append(all, peerCandidate{Member: m})
	}
	return all
}

// relaysFor returns the relays of an instance, in order of preference. It returns none for a relay, and in a fleet
// without relays.
func (o *cachedOrder) relaysFor(instance fleet.InstanceID, domain fleet.DomainID) []*catalog.Member {
	if slices.ContainsFunc(o.relays, func(m *catalog.Member) bool { return m.ID == instance }) {
		return nil
	}
	var own, foreign []*catalog.Member
	for _, m := range o.relays {
		if m.Domain == domain {
			own = append(own, m)
		} else {
			foreign = append(foreign, m)
		}
	}
	byScore := func(a, b *catalog.Member) int {
		key := relayKey + string(instance)
		return cmp.Compare(rendezvous.Score(key, string(b.ID)), rendezvous.Score(key, string(a.ID)))
	}
	slices.SortFunc(own, byScore)
	slices.SortFunc(foreign, byScore)
	return append(own, foreign[:min(maxForeignRelays, len(foreign))]...)
}
