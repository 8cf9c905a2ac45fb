package placement

import (
	"cmp"
	"slices"
	"strings"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/rendezvous"
)

// strong is the part of the strongest member's power from which a member counts as strong.
const strong = 0.7

// power is what an instance can bear as a dispatcher: its processor, or its link where that is narrow. A
// dispatcher sends each instance a few KB a second; 200 Mbit/s bear as much as a core does.
func power(m *catalog.Member) float64 {
	if m.LinkMbps <= 0 {
		return m.CPUShare
	}
	return min(m.CPUShare, m.LinkMbps/200)
}

// Order gives the members in the order in which they are dispatchers: the strong ones first, each group by
// rendezvous hashing. All that know the same members agree on it.
func Order(all []*catalog.Member) []*catalog.Member {
	members := slices.Clone(all)
	most := 0.0
	for _, m := range members {
		most = max(most, power(m))
	}
	weak := func(m *catalog.Member) int {
		if power(m) < strong*most {
			return 1
		}
		return 0
	}
	slices.SortFunc(members, func(a, b *catalog.Member) int {
		return cmp.Or(
			cmp.Compare(weak(a), weak(b)),
			cmp.Compare(rendezvous.Score(rendezvousKey, string(b.ID)), rendezvous.Score(rendezvousKey, string(a.ID))),
			strings.Compare(string(a.ID), string(b.ID)),
		)
	})
	return members
}

func (c *Client) candidates() []*catalog.Member { return Order(c.snapshot().Members) }
