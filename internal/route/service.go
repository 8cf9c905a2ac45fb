package route

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Reasons of the choice of a plain service's instance.
const (
	ReasonLeastLoaded   decide.Reason = "least_loaded_of_two"
	ReasonOnlyCandidate decide.Reason = "only_candidate"
)

// load counts this instance's dispatches to one upstream that are in flight.
type load struct {
	own atomic.Int64
}

// service gives an instance of a plain service: the one of two random ones with fewer of our calls. The view
// is read after usable was asked: an instance that was paused in between would otherwise choose from what it
// knew before, though others of its goroutines have caught up meanwhile.
func (r *Router) service(q *Request) (*Grant, error) {
	if err := r.usable(); err != nil {
		return nil, err
	}
	all := r.view().Services(q.Service)
	if len(all) == 0 {
		return nil, fault.New(fault.UnknownService, "service %q is not known", q.Service)
	}
	open := r.untried(all, q)
	for len(open) > 0 {
		u, reason := r.lessLoaded(open)
		if r.gate.Acquire(u) {
			l := r.load(u.ID)
			l.own.Add(1)
			r.record("route", q, reason, "upstream", u.ID, "failure_domain", u.Domain, "attempt", q.Attempt)
			return &Grant{Upstream: u, Reason: reason, router: r, load: l}, nil
		}
		open = slices.DeleteFunc(open, func(o *fleet.Upstream) bool { return o == u }) // its place was taken meanwhile
	}
	return nil, fault.New(fault.NoUpstream, "all instances of %q are leaving, out or at their limit", q.Service)
}

// untried gives the upstreams that may take q; those tried before only when there is no other.
func (r *Router) untried(all []*fleet.Upstream, q *Request) []*fleet.Upstream {
	var fresh, tried []*fleet.Upstream
	for _, u := range all {
		switch {
		case !u.Takes() || !r.gate.HasCapacity(u):
		case slices.Contains(q.Exclude, u.ID):
			tried = append(tried, u)
		default:
			fresh = append(fresh, u)
		}
	}
	if len(fresh) == 0 {
		return tried
	}
	return fresh
}

func (r *Router) lessLoaded(all []*fleet.Upstream) (*fleet.Upstream, decide.Reason) {
	if len(all) == 1 {
		return all[0], ReasonOnlyCandidate
	}
	i := rand.IntN(len(all))
	j := rand.IntN(len(all) - 1)
	if j >= i {
		j++
	}
	if r.load(all[j].ID).own.Load() < r.load(all[i].ID).own.Load() {
		i = j
	}
	return all[i], ReasonLeastLoaded
}
