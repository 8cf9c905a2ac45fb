package dispatch

import (
	"cmp"
	"slices"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// survey looks at the upstreams once for a step: the mean pass of busy engines, links that are cut, and limits.
func (s *State) survey(now decide.Instant) {
	s.cuts, s.limits = map[link]int{}, limitSurvey{}
	total, busy := 0.0, 0
	for _, e := range s.order {
		e.refillLimit(now)
		if !e.gone {
			s.limits.take(e)
		}
		for from, at := range e.unreached {
			switch way := (link{from, e.Domain}); {
			case now.Sub(at) >= unreachedTime:
				delete(e.unreached, from)
			case at > s.heard[way]:
				s.cuts[way]++
			}
		}
		if s.model != nil && len(e.runs) > 0 {
			total += s.model.pass(len(e.runs), e.context)
			busy++
		}
	}
	s.tried, s.unpacked, s.longs = 0, map[fleet.DomainID]packing{}, 0
	if s.model != nil {
		for _, j := range s.queue {
			if s.isLong(j) && !s.oversized(j) {
				s.longs++
			}
		}
	}
	s.meanPass = 0
	if busy > 0 {
		s.meanPass = total / float64(busy)
	}
}

// link is the way from one failure domain to another.
type link struct{ from, to fleet.DomainID }

// reaches tells whether instances of a domain can connect to the upstream, as far as is known. A link is taken for cut
// by what has failed since an answer last came over it: upstreams that end together are out of reach as well, from
// everywhere, and to take the links to the others of their domains for cut leaves the fleet without a place.
func (s *State) reaches(from fleet.DomainID, e *engine) bool {
	if _, unreached := e.unreached[from]; unreached && e != s.retrying {
		return false
	}
	way := link{from, e.Domain}
	return s.cuts[way] < cutFrom || s.probing[way]
}

// sort puts the jobs in the order in which they get places: streams that go on first, since what their
// callers have is lost without the rest; by priority; those that can still be in time before those that are
// late anyway, and of those what is over its workspace's share last; the least reading first, as that serves most
// callers soonest.
func (s *State) sort(now decide.Instant) {
	slices.SortStableFunc(s.queue, func(a, b *Job) int {
		if a.Resumed != b.Resumed {
			if b.Resumed {
				return 1
			}
			return -1
		}
		if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
			return c
		}
		lateA, lateB := s.late(now, a), s.late(now, b)
		if lateA != lateB {
			if lateA {
				return 1
			}
			return -1
		}
		if a.excess != b.excess {
			if a.excess {
				return 1
			}
			return -1
		}
		if c := cmp.Compare(s.cost(now, a), s.cost(now, b)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
}
