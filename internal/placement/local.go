// Package placement finds places for requests on upstreams.
package placement

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/gateway"
)

// Local places by what this instance alone knows: the upstream with the least of its own work for its slots.
type LocalPlacer struct {
	snapshot func() *catalog.Snapshot
	limited  func(*catalog.Upstream) bool // it takes only so many requests of all instances

	mu   sync.Mutex
	work map[fleet.UpstreamID]int // guarded by mu: own requests in flight
}

// NewLocal gives a Local.
func NewLocalPlacer(snapshot func() *catalog.Snapshot, limited func(*catalog.Upstream) bool) *LocalPlacer {
	return &LocalPlacer{snapshot: snapshot, limited: limited, work: map[fleet.UpstreamID]int{}}
}

// Place implements gateway.Placer. It never waits. An upstream under a limit gets nothing: what others send there isn't
// known, and each instance's request would be one too many.
func (l *LocalPlacer) Place(_ context.Context, a gateway.Ask) (gateway.Grant, error) {
	snap := l.snapshot()
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *catalog.Upstream
	for _, u := range snap.Upstreams(a.Service) {
		if !snap.Open(u) || slices.Contains(a.Avoid, u.ID) || l.limited(u) {
			continue
		}
		if best == nil || l.load(u) < l.load(best) {
			best = u
		}
	}
	if best == nil {
		return nil, fault.New(fault.NoUpstream, "no upstream of %s may take the request", a.Service)
	}
	l.work[best.ID]++
	return &localGrant{l: l, u: best}, nil
}

// coldLoad puts a cold upstream behind every warm one: alone, an instance doesn't know what others send there.
const coldLoad = 1000

func (l *LocalPlacer) load(u *catalog.Upstream) float64 {
	load := float64(l.work[u.ID]) / float64(max(1, u.Slots))
	if time.Now().Before(u.ColdUntil) {
		load += coldLoad
	}
	return load
}

type localGrant struct {
	l *LocalPlacer
	u *catalog.Upstream
}

func (g *localGrant) Upstream() *catalog.Upstream { return g.u }
func (g *localGrant) Helpers() []string           { return nil }
func (g *localGrant) Holders() []gateway.Holder   { return nil }
func (g *localGrant) Reason() string              { return "least_own_work" }
func (g *localGrant) Overdue() time.Duration      { return 0 }
func (g *localGrant) Began()                      {}

func (g *localGrant) Done(gateway.Outcome, fleet.UpstreamID) {
	g.l.mu.Lock()
	defer g.l.mu.Unlock()
	if g.l.work[g.u.ID]--; g.l.work[g.u.ID] <= 0 {
		delete(g.l.work, g.u.ID)
	}
}
