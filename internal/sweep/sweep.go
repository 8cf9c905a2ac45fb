// Package sweep executes the decisions of reserve.Sweeper: it lists the reservations on the engines that this instance
// owns, and releases those that no holder will release. Ownership only saves calls. If two instances both own an engine
// for a while, they release by the same ids, and the second release has no effect.
package sweep

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/reserve"
	"github.com/damaskshelf/damaskshelf/internal/explain"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	"github.com/damaskshelf/damaskshelf/internal/rendezvous"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

const (
	// Interval is the time between two sweeps; several fit in reserve.MinAbsence.
	Interval = 3 * time.Second
	// callTimeout limits each call to an engine. The lists of all engines are read concurrently.
	callTimeout = 2 * time.Second
)

// Engines makes a sweeper's calls to engines. upstream.Client implements it.
type Engines interface {
	Reservations(ctx context.Context, addr string) (wire.Reservations, error)
	Release(ctx context.Context, addr, id string) error
}

// Deps are the parts of the instance that a Sweeper uses.
type Deps struct {
	Self        reserve.Holder
	View        func() *fleet.View
	CheckUsable func() error // returns nil if this instance's view is recent enough to decide that another is gone
	Engines     Engines
	Explain     *explain.Recorder
	Metrics     *metrics.Registry
	Log         hclog.Logger
}

// Sweeper sweeps the engines that its instance owns.
type Sweeper struct {
	deps   Deps
	finder reserve.Sweeper
	start  time.Time // zero of decide.Instant
}

// New returns a Sweeper. It starts to sweep with Run.
func New(d Deps) *Sweeper { return &Sweeper{deps: d, start: time.Now()} }

// Run sweeps once every Interval until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.sweepOnce(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// engineReservations holds the reservations on one engine, or the error of the call that lists them.
type engineReservations struct {
	engine       *fleet.Upstream
	reservations wire.Reservations
	err          error
}

// sweepOnce lists the reservations on all owned engines and releases the orphans among them.
func (s *Sweeper) sweepOnce(ctx context.Context) {
	v := s.deps.View()
	results := s.listReservations(ctx, s.ownedEngines(v))
	now := decide.Instant(time.Since(s.start))
	presence := s.presence(v)
	for i := range results {
		result := &results[i]
		if result.err != nil {
			s.deps.Log.Debug("reservations not listed", "upstream", result.engine.ID, "error", result.err)
			continue
		}
		for _, orphan := range s.finder.FindOrphans(&result.reservations, presence, now) {
			s.release(ctx, result.engine, orphan)
		}
	}
	s.finder.Prune(now)
}

// ownedEngines returns the engines that this instance owns among the instances that are not leaving.
func (s *Sweeper) ownedEngines(v *fleet.View) []*fleet.Upstream {
	var members []string
	for _, i := range v.Instances {
		if !i.Leaving {
			members = append(members, string(i.ID))
		}
	}
	var engines []*fleet.Upstream
	for _, u := range v.Upstreams {
		if u.Kind == fleet.Engine && rendezvous.Owner(string(u.ID), members) == string(s.deps.Self.Instance) {
			engines = append(engines, u)
		}
	}
	return engines
}

// listReservations lists the reservations on the engines concurrently.
func (s *Sweeper) listReservations(ctx context.Context, engines []*fleet.Upstream) []engineReservations {
	results := make([]engineReservations, len(engines))
	var group sync.WaitGroup
	for i, u := range engines {
		group.Go(func() {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			r, err := s.deps.Engines.Reservations(call, u.Addr)
			results[i] = engineReservations{u, r, err}
		})
	}
	group.Wait()
	return results
}

// presence returns a function that decides by the instance list whether a holder is present. The list doesn't show
// incarnations, so a holder whose instance has restarted counts as present, and its reservations are released only
// after their deadline. Only this instance's own earlier incarnations are recognized as missing in that case, whatever
// the list is.
func (s *Sweeper) presence(v *fleet.View) func(reserve.Holder) reserve.Presence {
	undetermined := v.ListVersion == 0 || s.deps.CheckUsable() != nil
	return func(h reserve.Holder) reserve.Presence {
		switch {
		case h.Instance == s.deps.Self.Instance && h.Incarnation != s.deps.Self.Incarnation:
			return reserve.Missing
		case undetermined:
			return reserve.Undetermined
		}
		for _, i := range v.Instances {
			if i.ID == h.Instance {
				return reserve.Present
			}
		}
		return reserve.Missing
	}
}

// release releases one orphan and records the result. If the call fails, a later sweep finds the orphan again.
func (s *Sweeper) release(ctx context.Context, u *fleet.Upstream, orphan reserve.Orphan) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.deps.Engines.Release(call, u.Addr, orphan.ID)
	s.deps.Explain.Record("sweep", orphan.ID, orphan.Reason, "upstream", u.ID,
		"holder", orphan.Holder.Instance, "incarnation", orphan.Holder.Incarnation, "error", err)
	s.deps.Metrics.Counter("reservations_swept", "reason", string(orphan.Reason)).Inc(1)
}
