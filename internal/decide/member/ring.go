package member

import (
	"slices"
	"strconv"
	"strings"

	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/rendezvous"
)

// Choose gives the instances that self exchanges heartbeats with: its successors in n rings. Each ring
// orders the instances by a hash of its own, so that with equal lists every instance is the successor
// of about n others, whatever the fleet's size. Every second ring takes the next successor in another
// failure domain. The cost is one pass over the list for each ring.
func ChoosePeers(self fleet.Instance, all []fleet.Instance, n int) []fleet.Instance {
	var chosen []fleet.Instance
	for ring := range n {
		other := ring%2 == 1
		if next, ok := successor(self, all, chosen, strconv.Itoa(ring), other); ok {
			chosen = append(chosen, next)
			continue
		}
		if next, ok := successor(self, all, chosen, strconv.Itoa(ring), !other); ok {
			chosen = append(chosen, next)
		}
	}
	return chosen
}

// position is an instance's place in a ring; equal hashes go by id.
type position struct {
	hash uint64
	id   fleet.InstanceID
}

func (p position) less(q position) bool {
	if p.hash != q.hash {
		return p.hash < q.hash
	}
	return p.id < q.id
}

// successor gives the first instance after self in the ring that was not chosen yet.
func successor(self fleet.Instance, all, chosen []fleet.Instance, ring string, otherDomain bool) (fleet.Instance, bool) {
	at := place(ring, self.ID)
	var after, first fleet.Instance
	var afterAt, firstAt position
	for i := range all {
		c := &all[i]
		if c.ID == self.ID || c.Leaving || (otherDomain && c.Domain == self.Domain) || contains(chosen, c.ID) {
			continue
		}
		p := place(ring, c.ID)
		if at.less(p) && (after.ID == "" || p.less(afterAt)) {
			after, afterAt = *c, p
		}
		if first.ID == "" || p.less(firstAt) {
			first, firstAt = *c, p
		}
	}
	if after.ID != "" {
		return after, true
	}
	return first, first.ID != ""
}

func place(ring string, id fleet.InstanceID) position {
	return position{hash: rendezvous.Score(ring, string(id)), id: id}
}

func contains(chosen []fleet.Instance, id fleet.InstanceID) bool {
	return slices.ContainsFunc(chosen, func(c fleet.Instance) bool { return c.ID == id })
}

// Watches tells whether self is one of the n instances of its failure domain that watch the store for
// key. Two instances with different lists may both think so: that costs calls and breaks nothing.
func IsWatcher(key string, self fleet.Instance, all []fleet.Instance, n int) bool {
	mine := rendezvous.Score(key, string(self.ID))
	ahead := 0
	for i := range all {
		c := &all[i]
		if c.ID == self.ID || c.Leaving || c.Domain != self.Domain {
			continue
		}
		s := rendezvous.Score(key, string(c.ID))
		if s > mine || (s == mine && strings.Compare(string(c.ID), string(self.ID)) < 0) {
			ahead++
		}
	}
	return ahead < n
}
