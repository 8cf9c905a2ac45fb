// Package placement assigns requests to upstreams. One instance, the dispatcher, does so for all; an instance without
// a session places its requests by its own view.
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

// LocalPlacer places requests by this instance's view alone, on the upstream with the fewest of its own requests per
// slot.
type LocalPlacer struct {
	snapshot  func() *catalog.Snapshot
	isLimited func(*catalog.Upstream) bool // reports whether a limit on the requests of all instances applies

	mu       sync.Mutex
	inFlight map[fleet.UpstreamID]int // guarded by mu: number of this instance's requests in flight
}

// NewLocalPlacer returns a LocalPlacer.
func NewLocalPlacer(snapshot func() *catalog.Snapshot, isLimited func(*catalog.Upstream) bool) *LocalPlacer {
	return &LocalPlacer{snapshot: snapshot, isLimited: isLimited, inFlight: map[fleet.UpstreamID]int{}}
}

// Place implements gateway.Placer. It never waits. It skips upstreams under a limit: the requests of other instances
// are unknown here, and one more from each instance would exceed the limit.
func (l *LocalPlacer) Place(_ context.Context, q gateway.PlacementRequest) (gateway.Grant, error) {
	snap := l.snapshot()
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *catalog.Upstream
	for _, u := range snap.Upstreams(q.Service) {
		if !snap.AcceptsWork(u) || slices.Contains(q.Avoid, u.ID) || l.isLimited(u) {
			continue
		}
		if best == nil || l.loadPerSlot(u) < l.loadPerSlot(best) {
			best = u
		}
	}
	if best == nil {
		return nil, fault.New(fault.NoUpstream, "no upstream of %s may take the request", q.Service)
	}
	l.inFlight[best.ID]++
	return &localGrant{placer: l, upstream: best}, nil
}

// coldLoad is the load per slot that is added for a cold upstream. It exceeds the load of any warm one, so that a cold
// upstream is the last choice, because an instance alone doesn't know what others send there.
const coldLoad = 1000

// loadPerSlot returns the number of this instance's requests in flight per slot of the upstream; mu is held.
func (l *LocalPlacer) loadPerSlot(u *catalog.Upstream) float64 {
	load := float64(l.inFlight[u.ID]) / float64(max(1, u.Slots))
	if time.Now().Before(u.ColdUntil) {
		load += coldLoad
	}
	return load
}

// localGrant is a gateway.Grant for a place that a LocalPlacer assigned.
type localGrant struct {
	placer   *LocalPlacer
	upstream *catalog.Upstream
}

func (g *localGrant) Upstream() *catalog.Upstream         { return g.upstream }
func (g *localGrant) Helpers() []string                   { return nil }
func (g *localGrant) Reservations() []gateway.Reservation { return nil }
func (g *localGrant) Reason() string                      { return "least_own_work" }
func (g *localGrant) AnswerTimeout() time.Duration        { return 0 }
func (g *localGrant) RecordFirstEvent()                   {}
func (g *localGrant) RecordIndirect()                     {}

// Release implements gateway.Grant.
func (g *localGrant) Release(gateway.Outcome, fleet.UpstreamID) {
	g.placer.mu.Lock()
	defer g.placer.mu.Unlock()
	if g.placer.inFlight[g.upstream.ID]--; g.placer.inFlight[g.upstream.ID] <= 0 {
		delete(g.placer.inFlight, g.upstream.ID)
	}
}
