package route

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Reasons for the choice of an upstream of a plain service.
const (
	ReasonLeastLoaded   decide.Reason = "least_loaded_of_two"
	ReasonOnlyCandidate decide.Reason = "only_candidate"
)

// load counts the dispatches of this instance to one upstream that are in flight.
type load struct {
	inFlight atomic.Int64
}

// acquireService chooses an upstream of a plain service: of two random candidates, the one with fewer calls from this
// instance. The view is read after checkUsable. In the other order, an instance that is paused in between could choose
// from its old view, because another goroutine has updated the view and made the instance usable again by then.
func (r *Router) acquireService(q *Request) (*Grant, error) {
	if err := r.checkUsable(); err != nil {
		return nil, err
	}
	all := r.view().Services(q.Service)
	if len(all) == 0 {
		return nil, fault.New(fault.UnknownService, "service %q is not known", q.Service)
	}
	candidates := r.candidates(all, q)
	for len(candidates) > 0 {
		u, reason := r.leastLoadedOfTwo(candidates)
		if r.gate.Acquire(u) {
			l := r.load(u.ID)
			l.inFlight.Add(1)
			r.recordDecision("route", q, reason, "upstream", u.ID, "failure_domain", u.Domain, "attempt", q.Attempt)
			return &Grant{Upstream: u, Reason: reason, router: r, load: l}, nil
		}
		// Another request took the last slot of u.
		candidates = slices.DeleteFunc(candidates, func(o *fleet.Upstream) bool { return o == u })
	}
	return nil, fault.New(fault.NoUpstream, "all instances of %q are leaving, out or at their limit",
		q.Service)
}

// candidates returns the upstreams that accept work and have capacity. It includes those that q excludes only if there
// are no others.
func (r *Router) candidates(all []*fleet.Upstream, q *Request) []*fleet.Upstream {
	var untried, tried []*fleet.Upstream
	for _, u := range all {
		switch {
		case !u.AcceptsWork() || !r.gate.HasCapacity(u):
		case slices.Contains(q.Exclude, u.ID):
			tried = append(tried, u)
		default:
			untried = append(untried, u)
		}
	}
	if len(untried) == 0 {
		return tried
	}
	return untried
}

// leastLoadedOfTwo picks two random upstreams and returns the one with fewer dispatches of this instance in flight.
func (r *Router) leastLoadedOfTwo(all []*fleet.Upstream) (*fleet.Upstream, decide.Reason) {
	if len(all) == 1 {
		return all[0], ReasonOnlyCandidate
	}
	i := rand.IntN(len(all))
	j := rand.IntN(len(all) - 1)
	if j >= i {
		j++
	}
	if r.load(all[j].ID).inFlight.Load() < r.load(all[i].ID).inFlight.Load() {
		i = j
	}
	return all[i], ReasonLeastLoaded
}
