// Package route gives a request its upstream: the shell of admission and choice. The path of a request
// reads the published view and atomic counters only.
package route

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/explain"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Request is what routing needs to know of a prompt or plain-service call.
type Request struct {
	ID        fleet.RequestID
	Workspace fleet.WorkspaceID
	Model     string // of a prompt
	Service   string // of a plain-service call
	Tokens    int    // of the prompt
	MaxTokens int    // of the answer
	Blocks    []uint64
	Priority  int
	Deadline  time.Time
	Attempt   int                // from 1
	Exclude   []fleet.UpstreamID // tried before
}

// Outcome is how a dispatch ended.
type Outcome uint8

// The outcomes of a dispatch.
const (
	OK         Outcome = iota
	NotStarted         // the upstream said that it did not start, or no byte of the request was sent
	Failed             // error or reset after it may have started
	Silent             // a connection to it went silent
	Cancelled          // the caller went away or the time ran out
)

// String gives the outcome as it stands in logs.
func (o Outcome) String() string {
	return [...]string{"ok", "not_started", "failed", "silent", "cancelled"}[o]
}

// Reasons of the choice.
const (
	ReasonLeastLoaded decide.Reason = "least_loaded_of_two"
	ReasonOnly        decide.Reason = "only_candidate"
)

// Grant is the right to dispatch one request to one upstream. Done must be called once.
type Grant struct {
	Upstream    *fleet.Upstream
	Reason      decide.Reason
	Reservation string // memory held for it; empty: none

	router *Router
	load   *load
	once   sync.Once
}

// Done ends the dispatch and frees what was held for it.
func (g *Grant) Done(o Outcome) {
	g.once.Do(func() {
		g.load.own.Add(-1)
		g.router.explain.Record("done", string(g.Upstream.ID), decide.Reason(o.String()))
	})
}

// load is what is known of one upstream's load.
type load struct {
	own      atomic.Int64 // dispatches of this instance in flight
	reported atomic.Int64 // running and queued by its last report
}

// Router chooses upstreams.
type Router struct {
	// Usable gives nil, or why this instance may not send new work now; nil: it always may. It is asked
	// last, right before the grant: a request may have waited.
	Usable func() error

	view    func() *fleet.View
	explain *explain.Recorder
	loads   sync.Map // fleet.UpstreamID to *load
}

// New gives a Router over the published view.
func New(view func() *fleet.View, rec *explain.Recorder) *Router {
	return &Router{view: view, explain: rec}
}

func (r *Router) load(id fleet.UpstreamID) *load {
	if l, ok := r.loads.Load(id); ok {
		return l.(*load)
	}
	l, _ := r.loads.LoadOrStore(id, &load{})
	return l.(*load)
}

// OnLoad takes an engine's load report.
func (r *Router) OnLoad(u *fleet.Upstream, l wire.Load, _ time.Time) {
	r.load(u.ID).reported.Store(int64(l.Running + l.Queued))
}

// OnCache takes an engine's cache events.
func (r *Router) OnCache(*fleet.Upstream, wire.CacheEvents) {}

// OnSilent takes note that an upstream did not report.
func (r *Router) OnSilent(*fleet.Upstream, error) {}

// Acquire gives the upstream for q, or a *fault.Error at once when there is none.
func (r *Router) Acquire(_ context.Context, q Request) (*Grant, error) {
	all, err := r.candidates(q)
	if err != nil {
		return nil, err
	}
	u, reason := r.choose(all)
	if r.Usable != nil {
		if err := r.Usable(); err != nil {
			return nil, err
		}
	}
	l := r.load(u.ID)
	l.own.Add(1)
	r.explain.Record("route", string(q.ID), reason,
		"upstream", u.ID, "failure_domain", u.Domain, "workspace", q.Workspace, "attempt", q.Attempt, "tokens", q.Tokens)
	return &Grant{Upstream: u, Reason: reason, router: r, load: l}, nil
}

// candidates gives the upstreams that may take q; those tried before only when there is no other.
func (r *Router) candidates(q Request) ([]*fleet.Upstream, error) {
	v := r.view()
	if v.ConfigVersion == 0 {
		return nil, fault.New(fault.NotReady, "no configuration yet")
	}
	all, unknown := v.Engines(q.Model), fault.New(fault.UnknownModel, "model %q is not served", q.Model)
	if q.Service != "" {
		all, unknown = v.Services(q.Service), fault.New(fault.UnknownService, "service %q is not known", q.Service)
	}
	if len(all) == 0 {
		if slices.ContainsFunc(v.Config.Intent.Models, func(m api.Model) bool { return m.Name == q.Model }) {
			return nil, fault.New(fault.NoUpstream, "no engine serves %q now", q.Model)
		}
		return nil, unknown
	}
	var fresh, tried []*fleet.Upstream
	for _, u := range all {
		switch {
		case !u.Takes():
		case slices.Contains(q.Exclude, u.ID):
			tried = append(tried, u)
		default:
			fresh = append(fresh, u)
		}
	}
	if len(fresh) == 0 {
		fresh = tried
	}
	if len(fresh) == 0 {
		return nil, fault.New(fault.NoUpstream, "all upstreams are leaving or out")
	}
	return fresh, nil
}

func (r *Router) choose(all []*fleet.Upstream) (*fleet.Upstream, decide.Reason) {
	if len(all) == 1 {
		return all[0], ReasonOnly
	}
	i := rand.IntN(len(all))
	j := rand.IntN(len(all) - 1)
	if j >= i {
		j++
	}
	if r.weight(all[j]) < r.weight(all[i]) {
		i = j
	}
	return all[i], ReasonLeastLoaded
}

func (r *Router) weight(u *fleet.Upstream) int64 {
	l := r.load(u.ID)
	return max(l.own.Load(), l.reported.Load())
}
