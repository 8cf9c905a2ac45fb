package member

import (
	"slices"
	"strconv"
	"strings"

	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/rendezvous"
)

// ChoosePeers returns the instances that self exchanges heartbeats with: its successors in n rings. Each ring
// orders the instances by a different hash, so that with equal lists every instance is the successor of about n
// others, whatever the size of the fleet. Every second ring prefers a successor in another failure domain. The
// cost is one or two passes over the list per ring.
func ChoosePeers(self fleet.Instance, all []fleet.Instance, n int) []fleet.Instance {
	var chosen []fleet.Instance
	for ring := range n {
		otherDomain := ring%2 == 1
		if next, ok := successor(self, all, chosen, strconv.Itoa(ring), otherDomain); ok {
			chosen = append(chosen, next)
			continue
		}
		if next, ok := successor(self, all, chosen, strconv.Itoa(ring), !otherDomain); ok {
			chosen = append(chosen, next)
		}
	}
	return chosen
}

// position is an instance's place in a ring. Equal hashes are ordered by id.
type position struct {
	hash uint64
	id   fleet.InstanceID
}

// less reports whether p precedes q in the ring.
func (p position) less(q position) bool {
	if p.hash != q.hash {
		return p.hash < q.hash
	}
	return p.id < q.id
}

// successor returns the first instance after self in the ring that was not chosen yet, and whether there is one.
// Leaving instances are skipped, and with otherDomain those in self's failure domain.
func successor(self fleet.Instance, all, chosen []fleet.Instance, ring string, otherDomain bool) (fleet.Instance, bool) {
	selfPos := positionOf(ring, self.ID)
	var after, first fleet.Instance
	var afterPos, firstPos position
	for i := range all {
		c := &all[i]
		if c.ID == self.ID || c.Leaving || (otherDomain && c.Domain == self.Domain) || contains(chosen, c.ID) {
			continue
		}
		p := positionOf(ring, c.ID)
		if selfPos.less(p) && (after.ID == "" || p.less(afterPos)) {
			after, afterPos = *c, p
		}
		if first.ID == "" || p.less(firstPos) {
			first, firstPos = *c, p
		}
	}
	if after.ID != "" {
		return after, true
	}
	return first, first.ID != ""
}

// positionOf returns an instance's position in a ring.
func positionOf(ring string, id fleet.InstanceID) position {
	return position{hash: rendezvous.Score(ring, string(id)), id: id}
}

// contains reports whether the instance with that id is among the chosen ones.
func contains(chosen []fleet.Instance, id fleet.InstanceID) bool {
	return slices.ContainsFunc(chosen, func(c fleet.Instance) bool { return c.ID == id })
}

// IsWatcher reports whether self is one of the n instances of its failure domain that watch the store for key.
// Instances with different lists may disagree: that adds calls to the store, without affecting correctness.
func IsWatcher(key string, self fleet.Instance, all []fleet.Instance, n int) bool {
	selfScore := rendezvous.Score(key, string(self.ID))
	ahead := 0
	for i := range all {
		c := &all[i]
		if c.ID == self.ID || c.Leaving || c.Domain != self.Domain {
			continue
		}
		s := rendezvous.Score(key, string(c.ID))
		if s > selfScore || (s == selfScore && strings.Compare(string(c.ID), string(self.ID)) < 0) {
			ahead++
		}
	}
	return ahead < n
}
