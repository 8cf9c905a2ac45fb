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

// Prober reads which models an engine has loaded and how much of its capacity is in use.
type Prober interface {
	State(ctx context.Context, addr string) (wire.EngineState, error)
	Load(ctx context.Context, addr string) (wire.LoadReport, error)
}

// surveyConcurrency is the largest number of engines that are queried at the same time.
const surveyConcurrency = 32

// probeResult is the state of one upstream. For an engine that did not answer, loaded holds the models that the view
// shows.
type probeResult struct {
	upstream    *fleet.Upstream
	loaded      []api.LoadedModel
	unreachable bool    // the engine did not answer
	utilization float64 // share of the capacity in use; below zero: unknown
}

// survey queries all engines in view. The results are in the view's order and include the upstreams that run no model,
// which are not queried.
func (s *Service) survey(ctx context.Context, view *fleet.View, current api.Intent) []probeResult {
	probes := make([]probeResult, len(view.Upstreams))
	var group errgroup.Group
	group.SetLimit(surveyConcurrency)
	for i, u := range view.Upstreams {
		probes[i] = probeResult{upstream: u, utilization: -1}
		if u.Kind == fleet.Engine {
			group.Go(func() error {
				s.queryEngine(ctx, &probes[i], current)
				return nil
			})
		}
	}
	_ = group.Wait() // no query returns an error: an unreachable engine is a result
	return probes
}

// queryEngine fills in p for one engine. current is the intent in force, for an engine that is unreachable.
func (s *Service) queryEngine(ctx context.Context, p *probeResult, current api.Intent) {
	if s.Upstreams == nil {
		p.loaded = modelsInView(p.upstream, current)
		return
	}
	state, err := s.Upstreams.State(ctx, p.upstream.Addr)
	if err != nil {
		p.unreachable = true
		p.loaded = modelsInView(p.upstream, current)
		return
	}
	for _, l := range state.Loaded {
		p.loaded = append(p.loaded, api.LoadedModel{Model: l.Model, Version: l.Version, Adapters: l.Adapters})
	}
	if load, err := s.Upstreams.Load(ctx, p.upstream.Addr); err == nil {
		p.utilization = utilization(load)
	}
}

// utilization estimates the share of an engine's capacity that is in use. It is the greater of the share of its memory
// and the prefill time of the queued prompts in seconds, at most 1: prompts for one second count as full use.
func utilization(l wire.LoadReport) float64 {
	share := 0.0
	if l.MemoryTotal > 0 {
		share = float64(l.MemoryUsed) / float64(l.MemoryTotal)
	}
	if l.PrefillRate > 0 {
		share = max(share, min(1, float64(l.QueuedTokens)/float64(l.PrefillRate)))
	}
	return share
}

// modelsInView returns the models that the view shows for an upstream, in the versions of the intent in force.
func modelsInView(u *fleet.Upstream, current api.Intent) []api.LoadedModel {
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

// planEngines returns the engines of a survey in the form that the planner needs.
func planEngines(probes []probeResult, after api.Config) []plan.Engine {
	var all []plan.Engine
	for _, p := range probes {
		u := p.upstream
		if u.Kind != fleet.Engine {
			continue
		}
		all = append(all, plan.Engine{
			ID: string(u.ID), Domain: string(u.Domain), Memory: u.KVCacheTokens, Loaded: p.loaded,
			AvailableBefore: u.AcceptsWork(), AvailableAfter: acceptsWorkAfter(u, after),
		})
	}
	return all
}

// acceptsWorkAfter reports whether an upstream accepts new work once the configuration after is in force.
func acceptsWorkAfter(u *fleet.Upstream, after api.Config) bool {
	return !u.Leaving && !slices.Contains(after.DomainsOut, string(u.Domain))
}

// drainGroups sums up a survey for each model and each service. The utilization of a model is the mean of the engines
// that accept work and whose utilization is known.
func drainGroups(probes []probeResult, after api.Config) []drain.Group {
	var all []drain.Group
	utilizationSum := map[string]float64{}
	utilizationCount := map[string]int{}
	groupIndex := func(kind, name string) int {
		i := slices.IndexFunc(all, func(g drain.Group) bool { return g.Kind == kind && g.Name == name })
		if i < 0 {
			all = append(all, drain.Group{Kind: kind, Name: name, Utilization: -1})
			i = len(all) - 1
		}
		return i
	}
	for _, p := range probes {
		if p.upstream.Kind == fleet.Service {
			addToGroup(&all[groupIndex("service", p.upstream.Service)], p.upstream, after)
			continue
		}
		for _, l := range p.loaded {
			addToGroup(&all[groupIndex("model", l.Model)], p.upstream, after)
			if p.utilization >= 0 && p.upstream.AcceptsWork() {
				utilizationSum[l.Model] += p.utilization
				utilizationCount[l.Model]++
			}
		}
	}
	for i := range all {
		if g := &all[i]; g.Kind == "model" && utilizationCount[g.Name] > 0 {
			g.Utilization = utilizationSum[g.Name] / float64(utilizationCount[g.Name])
		}
	}
	return all
}

// addToGroup counts an upstream and its memory in a group, as far as it accepts work now and once after is in force.
func addToGroup(g *drain.Group, u *fleet.Upstream, after api.Config) {
	if u.AcceptsWork() {
		g.UpstreamsBefore++
		g.MemoryBefore += u.KVCacheTokens
	}
	if acceptsWorkAfter(u, after) {
		g.UpstreamsAfter++
		g.MemoryAfter += u.KVCacheTokens
	}
}
