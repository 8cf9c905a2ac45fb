// Package sweep is the shell of the sweeper: it lists the reservations of the engines that this instance is
// home to, and releases those that nobody is left to release. Being home is an optimisation: two instances
// that both think so release by the same ids, and the second finds nothing.
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
	// Interval is the time between two rounds; several fit in reserve.GoneFor.
	Interval = 3 * time.Second
	// callWait bounds one call; all engines of a round are asked side by side.
	callWait = 2 * time.Second
)

// Engines is what a sweeper asks of engines; upstream.Client does it.
type Engines interface {
	Reservations(ctx context.Context, addr string) (wire.Reservations, error)
	Release(ctx context.Context, addr, id string) error
}

// Deps are what a Sweeper needs.
type Deps struct {
	Self        reserve.Holder
	View        func() *fleet.View
	CheckUsable func() error // nil where this instance's view is good enough to judge others by
	Engines     Engines
	Explain     *explain.Recorder
	Metrics     *metrics.Registry
	Log         hclog.Logger
}

// Sweeper runs rounds until its context ends.
type Sweeper struct {
	d     Deps
	state reserve.Sweeper
	start time.Time
}

// New gives a Sweeper.
func New(d Deps) *Sweeper { return &Sweeper{d: d, start: time.Now()} }

// Run sweeps in rounds until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.round(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// listed is what one engine holds.
type listed struct {
	engine       *fleet.Upstream
	reservations wire.Reservations
	err          error
}

func (s *Sweeper) round(ctx context.Context) {
	v := s.d.View()
	lists := s.list(ctx, s.home(v))
	now := decide.Instant(time.Since(s.start))
	presence := s.presence(v)
	for i := range lists {
		l := &lists[i]
		if l.err != nil {
			s.d.Log.Debug("reservations not listed", "upstream", l.engine.ID, "error", l.err)
			continue
		}
		for _, swept := range s.state.FindOrphans(&l.reservations, presence, now) {
			s.release(ctx, l.engine, swept)
		}
	}
	s.state.Prune(now)
}

// home gives the engines whose home this instance is.
func (s *Sweeper) home(v *fleet.View) []*fleet.Upstream {
	var members []string
	for _, i := range v.Instances {
		if !i.Leaving {
			members = append(members, string(i.ID))
		}
	}
	var engines []*fleet.Upstream
	for _, u := range v.Upstreams {
		if u.Kind == fleet.Engine && rendezvous.Owner(string(u.ID), members) == string(s.d.Self.Instance) {
			engines = append(engines, u)
		}
	}
	return engines
}

func (s *Sweeper) list(ctx context.Context, engines []*fleet.Upstream) []listed {
	lists := make([]listed, len(engines))
	var group sync.WaitGroup
	for i, u := range engines {
		group.Go(func() {
			call, cancel := context.WithTimeout(ctx, callWait)
			defer cancel()
			r, err := s.d.Engines.Reservations(call, u.Addr)
			lists[i] = listed{u, r, err}
		})
	}
	group.Wait()
	return lists
}

// presence judges holders by the instance list. An instance that is listed may be a later life of the
// holder; only our own lives can be told apart here, others' reservations then end by their deadline.
func (s *Sweeper) presence(v *fleet.View) func(reserve.Holder) reserve.Presence {
	unsure := v.ListVersion == 0 || s.d.CheckUsable() != nil
	return func(h reserve.Holder) reserve.Presence {
		switch {
		case h.Instance == s.d.Self.Instance && h.Incarnation != s.d.Self.Incarnation:
			return reserve.Missing
		case unsure:
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

func (s *Sweeper) release(ctx context.Context, u *fleet.Upstream, swept reserve.Orphan) {
	call, cancel := context.WithTimeout(ctx, callWait)
	defer cancel()
	err := s.d.Engines.Release(call, u.Addr, swept.ID)
	s.d.Explain.Record("sweep", swept.ID, swept.Reason, "upstream", u.ID,
		"holder", swept.Holder.Instance, "incarnation", swept.Holder.Incarnation, "error", err)
	s.d.Metrics.Counter("reservations_swept", "reason", string(swept.Reason)).Inc(1)
}
