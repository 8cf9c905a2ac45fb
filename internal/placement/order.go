package placement

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"

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
func DispatcherOrder(all []*catalog.Member) []*catalog.Member {
	most := 0.0
	for _, m := range all {
		most = max(most, power(m))
	}
	type ranked struct {
		*catalog.Member
		weak  bool
		score uint64
	}
	members := make([]ranked, len(all))
	for i, m := range all {
		members[i] = ranked{m, power(m) < strong*most, rendezvous.Score(rendezvousKey, string(m.ID))}
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
	order := make([]*catalog.Member, len(members))
	for i, m := range members {
		order[i] = m.Member
	}
	return order
}

// ordering keeps the order of the last members, which is asked for far more often than they change. It is safe for
// concurrent use.
type ordering struct{ last atomic.Pointer[ordered] }

type ordered struct{ members, order []*catalog.Member }

// of gives the order of a snapshot's members; it is not to be changed.
func (o *ordering) of(members []*catalog.Member) []*catalog.Member {
	if len(members) == 0 {
		return nil
	}
	last := o.last.Load()
	if last == nil || !sameMembers(last.members, members) {
		last = &ordered{members: members, order: DispatcherOrder(members)}
		o.last.Store(last)
	}
	return last.order
}

// sameMembers tells whether two snapshots share their members: those that have not changed are not built anew.
func sameMembers(a, b []*catalog.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (c *Client) candidates() []*catalog.Member { return c.hub.ordered.of(c.snapshot().Members) }
