package command

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide/drain"
	"github.com/damaskshelf/damaskshelf/internal/decide/plan"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Prober asks engines what they have loaded and how busy they are.
type Prober interface {
	State(ctx context.Context, addr string) (wire.EngineState, error)
	Load(ctx context.Context, addr string) (wire.LoadReport, error)
}

// surveyAtOnce bounds the engines asked at the same time.
const surveyAtOnce = 32

// probe is what one upstream said. Engines that did not answer are taken as the view last saw them.
type probe struct {
	upstream *fleet.Upstream
	loaded   []api.LoadedModel
	silent   bool
	busy     float64 // below zero: not known
}

// survey asks every engine in view; the result is in the view's order.
func (s *Service) survey(ctx context.Context, view *fleet.View, current api.Intent) []probe {
	probes := make([]probe, len(view.Upstreams))
	var group errgroup.Group
	group.SetLimit(surveyAtOnce)
	for i, u := range view.Upstreams {
		probes[i] = probe{upstream: u, busy: -1}
		if u.Kind == fleet.Engine {
			group.Go(func() error {
				s.ask(ctx, &probes[i], current)
				return nil
			})
		}
	}
	_ = group.Wait() // asking can't fail: silence is a result
	return probes
}

func (s *Service) ask(ctx context.Context, p *probe, current api.Intent) {
	if s.Upstreams == nil {
		p.loaded = lastSeen(p.upstream, current)
		return
	}
	state, err := s.Upstreams.State(ctx, p.upstream.Addr)
	if err != nil {
		p.silent = true
		p.loaded = lastSeen(p.upstream, current)
		return
	}
	for _, l := range state.Loaded {
		p.loaded = append(p.loaded, api.LoadedModel{Model: l.Model, Version: l.Version, Adapters: l.Adapters})
	}
	if load, err := s.Upstreams.Load(ctx, p.upstream.Addr); err == nil {
		p.busy = busy(load)
	}
}

// busy estimates the share of an engine's capacity in use: of its memory, or of its time where prompts
// wait. A second's worth of waiting prompts counts as fully busy.
func busy(l wire.LoadReport) float64 {
	share := 0.0
	if l.MemoryTotal > 0 {
		share = float64(l.MemoryUsed) / float64(l.MemoryTotal)
	}
	if l.PrefillRate > 0 {
		share = max(share, min(1, float64(l.QueuedTokens)/float64(l.PrefillRate)))
	}
	return share
}

// lastSeen takes the models that the view shows, in the versions of the intent in force.
func lastSeen(u *fleet.Upstream, current api.Intent) []api.LoadedModel {
	var all []api.LoadedModel
	for _, name := range u.Models {
		l := api.LoadedModel{Model: name}
		if i := slices.IndexFunc(current.Models, func(m api.Model) bool { return m.Name == name }); i >= 0 {
			l.Version = current.Models[i].Version
		}
		all = append(all, l)
	}
	return all
}

// engines gives the planner's picture of a survey.
func engines(probes []probe, after api.Config) []plan.Engine {
	var all []plan.Engine
	for _, p := range probes {
		u := p.upstream
		if u.Kind != fleet.Engine {
			continue
		}
		all = append(all, plan.Engine{
			ID: string(u.ID), Domain: string(u.Domain), Memory: u.KVCacheTokens, Loaded: p.loaded,
			AvailableBefore: u.AcceptsWork(), AvailableAfter: usable(u, after),
		})
	}
	return all
}

// usable tells whether an upstream takes new work once a configuration is in force.
func usable(u *fleet.Upstream, after api.Config) bool {
	return !u.Leaving && !slices.Contains(after.DomainsOut, string(u.Domain))
}

// groups sums a survey up by model and plain service.
func groups(probes []probe, after api.Config) []drain.Group {
	var all []drain.Group
	sum := map[string]float64{}
	known := map[string]int{}
	at := func(kind, name string) int {
		i := slices.IndexFunc(all, func(g drain.Group) bool { return g.Kind == kind && g.Name == name })
		if i < 0 {
			all = append(all, drain.Group{Kind: kind, Name: name, Utilization: -1})
			i = len(all) - 1
		}
		return i
	}
	for _, p := range probes {
		if p.upstream.Kind == fleet.Service {
			count(&all[at("service", p.upstream.Service)], p.upstream, after)
			continue
		}
		for _, l := range p.loaded {
			count(&all[at("model", l.Model)], p.upstream, after)
			if p.busy >= 0 && p.upstream.AcceptsWork() {
				sum[l.Model] += p.busy
				known[l.Model]++
			}
		}
	}
	for i := range all {
		if g := &all[i]; g.Kind == "model" && known[g.Name] > 0 {
			g.Utilization = sum[g.Name] / float64(known[g.Name])
		}
	}
	return all
}

func count(g *drain.Group, u *fleet.Upstream, after api.Config) {
	if u.AcceptsWork() {
		g.UpstreamsBefore++
		g.MemoryBefore += u.KVCacheTokens
	}
	if usable(u, after) {
		g.UpstreamsAfter++
		g.MemoryAfter += u.KVCacheTokens
	}
}
