package placement

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/rendezvous"
)

// strongShare is the fraction of the highest dispatch capacity from which a member counts as strong. Smaller differences
// don't affect the order, which then depends on the IDs alone.
const strongShare = 0.7

// dispatchCapacity returns an instance's capacity as a dispatcher, in cores: its CPU share, or the capacity of its link
// if that is less. A link of 200 Mbit/s counts as one core. A dispatcher sends each instance a few KB a second.
func dispatchCapacity(m *catalog.Member) float64 {
	if m.LinkMbps <= 0 {
		return m.CPUShare
	}
	return min(m.CPUShare, m.LinkMbps/200)
}

// DispatcherOrder returns the members in the order in which they become the dispatcher: strong members first, and
// each group by rendezvous hashing. Instances that know the same members compute the same order.
func DispatcherOrder(all []*catalog.Member) []*catalog.Member {
	order, _ := rankMembers(all)
	return order
}

// rankMembers returns the members in dispatcher order, and the number of strong ones, which come first.
func rankMembers(all []*catalog.Member) (order []*catalog.Member, strong int) {
	highest := 0.0
	for _, m := range all {
		highest = max(highest, dispatchCapacity(m))
	}
	type ranked struct {
		*catalog.Member
		weak  bool
		score uint64
	}
	members := make([]ranked, len(all))
	for i, m := range all {
		members[i] = ranked{m, dispatchCapacity(m) < strongShare*highest, rendezvous.Score(rendezvousKey, string(m.ID))}
	}
	slices.SortFunc(members, func(a, b ranked) int {
		if a.weak != b.weak {
			if a.weak {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(string(a.ID), string(b.ID)))
	})
	order = make([]*catalog.Member, len(members))
	for i, m := range members {
		order[i] = m.Member
		if !m.weak {
			strong++
		}
	}
	return order, strong
}

// orderCache keeps the order of the last members, which is read far more often than they change. It is safe for
// concurrent use.
type orderCache struct{ last atomic.Pointer[cachedOrder] }

// cachedOrder is the dispatcher order of a list of members, and those that are relays. It must not be modified.
type cachedOrder struct{ members, order, relays []*catalog.Member }

// get returns the dispatcher order of a snapshot's members.
func (o *orderCache) get(members []*catalog.Member) *cachedOrder {
	last := o.last.Load()
	if last == nil || !sameMembers(last.members, members) {
		order, strong := rankMembers(members)
		last = &cachedOrder{members: members, order: order, relays: order[:min(strong, relayCount(len(order)))]}
		o.last.Store(last)
	}
	return last
}

// sameMembers reports whether two snapshots share their list of members; a list that has not changed is not rebuilt.
func sameMembers(a, b []*catalog.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// dispatcherOrder returns the members in dispatcher order. The result must not be modified.
func (c *Client) dispatcherOrder() []*catalog.Member { return c.memberOrder().order }

// memberOrder returns the order of the members. The result must not be modified.
func (c *Client) memberOrder() *cachedOrder { return c.hub.orderCache.get(c.snapshot().Members) }
