// Package plan computes how a fleet of engines gets from what it has loaded to what an intent asks for: a target
// placement with few changes, and the loads and unloads that lead to it, ordered in stages.
//
// A model's floor is the minimum number of engines that serve it at any time.
//
// Guarantee: unless the operator forces a plan, none of its steps takes a served model below its floor or out of its
// second failure domain. The steps of a stage may run in any order on different engines. Each stage is therefore
// checked as if all of its unloads had happened and none of its loads.
package plan

import (
	"maps"
	"slices"
	"strings"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// The reasons of a plan.
const (
	NothingToDo      decide.Reason = "nothing_to_do"
	Planned          decide.Reason = "planned"
	ReplicasDoNotFit decide.Reason = "replicas_do_not_fit"  // fewer replicas than wanted, but all floors are kept
	BelowFloor       decide.Reason = "below_floor"          // the target, or the change itself before any step, breaks a floor
	NoSafeOrder      decide.Reason = "no_order_keeps_floor" // no order of steps that the planner found keeps all floors
	ForcedBelowFloor decide.Reason = "forced_below_floor"   // BelowFloor or NoSafeOrder, but forced by the operator
)

// Reasons lists every reason that Make returns.
var Reasons = []decide.Reason{NothingToDo, Planned, ReplicasDoNotFit, BelowFloor, NoSafeOrder, ForcedBelowFloor}

// Engine is the planner's input about one engine.
type Engine struct {
	ID              string
	Domain          string
	Memory          int64 // tokens; 0: not known, assumed to be enough
	Loaded          []api.LoadedModel
	AvailableBefore bool // takes new work before the change
	AvailableAfter  bool // takes new work after the change; otherwise it gets no steps
}

// Input is the input of Make.
type Input struct {
	Before     api.Intent // the intent in force, with the sizes of the versions that are replaced
	After      api.Intent
	Engines    []Engine // in any order
	WeightRate int64    // rate of the weight store in gigabytes per hour; 0: not known
	Force      bool     // return steps even if they break a floor
}

// Result is the part of a plan that concerns engines. A rejected plan has no steps.
type Result struct {
	Reason   decide.Reason
	Rejected string // why the plan is rejected; empty if it isn't
	Steps    []api.Step
	Target   []api.Placement
	Floors   map[string]int // by model: minimum number of engines that serve it at every step
	Cost     api.Cost
	Summary  []string
	Impact   []string // what callers lose, one sentence an item
}

// Make computes a plan. The result doesn't depend on the order of engines and models in the input.
func Make(in Input) Result {
	p := newPlanner(in)
	target := p.stableTarget()
	r := Result{Target: p.apiPlacements(target), Floors: p.floors}
	shortages := p.describeShortages(target)
	broken := p.describeBrokenFloors(target)
	scheduled := p.schedule(target)
	r.Steps, r.Cost = scheduled.steps, cost(scheduled.steps, in.WeightRate)
	r.Summary = p.summarize(scheduled.steps)
	r.Impact = append(append(slices.Clone(broken), scheduled.brokenFloors...), shortages...)
	r.Impact = append(r.Impact, p.describeLosses(scheduled.minServing)...)
	switch {
	case (len(broken) > 0 || len(scheduled.brokenFloors) > 0) && in.Force:
		r.Reason = ForcedBelowFloor
	case len(broken) > 0:
		return reject(BelowFloor, broken)
	case len(scheduled.brokenFloors) > 0:
		return reject(NoSafeOrder, scheduled.brokenFloors)
	case len(shortages) > 0:
		r.Reason = ReplicasDoNotFit
	case len(r.Steps) == 0:
		r.Reason = NothingToDo
	default:
		r.Reason = Planned
	}
	return r
}

// reject returns the result of a plan that breaks floors.
func reject(reason decide.Reason, lines []string) Result {
	return Result{Reason: reason, Rejected: strings.Join(lines, "; ")}
}

const secondsPerHour = 3600

// cost sums up the steps. MinSeconds is the time that the weight store needs for the loads at rate, in gigabytes per
// hour, rounded up.
func cost(steps []api.Step, rate int64) api.Cost {
	var c api.Cost
	for _, s := range steps {
		if s.Kind == api.StepLoad {
			c.Loads++
			c.WeightStoreGB += s.WeightGB
		} else {
			c.Unloads++
		}
	}
	if rate > 0 {
		c.MinSeconds = (c.WeightStoreGB*secondsPerHour + rate - 1) / rate
	}
	return c
}

// modelVersion identifies one version of a model.
type modelVersion struct{ model, version string }

// loadedModels is what one engine has loaded: the version by model. An engine holds at most one version of a
// model; loading another one replaces it (docs/UPSTREAMS.md).
type loadedModels map[string]string

// size is the size of one model version.
type size struct {
	memory    int64 // that it takes on an engine, in tokens
	gigabytes int64 // of weights to load
}

// planner holds the sorted input and the data derived from it.
type planner struct {
	engines    []Engine              // sorted by id
	models     []api.Model           // largest first, then by name
	wanted     map[string]*api.Model // by name
	sizes      map[modelVersion]size
	floors     map[string]int // by model: engines that every step keeps serving
	minDomains map[string]int // by model: failure domains that every step keeps served
}

// placement is what each engine has loaded, indexed like planner.engines.
type placement []loadedModels

// newPlanner returns a planner for the input.
func newPlanner(in Input) *planner {
	p := &planner{
		engines: slices.Clone(in.Engines), models: slices.Clone(in.After.Models),
		wanted: map[string]*api.Model{}, sizes: map[modelVersion]size{},
		floors: map[string]int{}, minDomains: map[string]int{},
	}
	slices.SortFunc(p.engines, func(a, b Engine) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(p.models, func(a, b api.Model) int {
		if a.MemoryTokens != b.MemoryTokens {
			return int(min(max(b.MemoryTokens-a.MemoryTokens, -1), 1))
		}
		return strings.Compare(a.Name, b.Name)
	})
	for _, m := range append(slices.Clone(in.Before.Models), in.After.Models...) {
		p.sizes[modelVersion{m.Name, m.Version}] = size{memory: m.MemoryTokens, gigabytes: m.WeightGB}
	}
	for i := range p.models {
		m := &p.models[i]
		p.wanted[m.Name] = m
		before, domains := p.countBefore(m.Name)
		p.floors[m.Name] = min(m.MinServing(), before)
		p.minDomains[m.Name] = min(targetDomains, m.MinServing(), domains)
	}
	return p
}

// targetDomains is the number of failure domains over which a model with enough replicas is spread.
const targetDomains = 2

// countBefore returns the number of engines that serve a model before the change, and of their failure domains.
// If a floor is broken before the change, the plan keeps only what is left, so that it can repair the floor.
func (p *planner) countBefore(model string) (engines, domains int) {
	seen := map[string]bool{}
	for i := range p.engines {
		e := &p.engines[i]
		if e.AvailableBefore && hasModel(e.Loaded, model) {
			engines++
			seen[e.Domain] = true
		}
	}
	return engines, len(seen)
}

// hasModel reports whether a version of model is loaded.
func hasModel(loaded []api.LoadedModel, model string) bool {
	return slices.ContainsFunc(loaded, func(l api.LoadedModel) bool { return l.Model == model })
}

// currentPlacement returns what the engines have loaded before the change.
func (p *planner) currentPlacement() placement {
	current := make(placement, len(p.engines))
	for i := range p.engines {
		current[i] = loadedModels{}
		for _, l := range p.engines[i].Loaded {
			current[i][l.Model] = l.Version
		}
	}
	return current
}

// has reports whether a version of model is loaded.
func (l loadedModels) has(model string) bool {
	_, ok := l[model]
	return ok
}

// fits reports whether engine i, with the given models loaded, has memory for v in place of any other version of
// its model.
func (p *planner) fits(i int, loaded loadedModels, v modelVersion) bool {
	if p.engines[i].Memory == 0 {
		return true
	}
	return p.usedMemory(loaded, v.model)+p.sizes[v].memory <= p.engines[i].Memory
}

// usedMemory returns the memory that the loaded models take, except for one model, in tokens.
func (p *planner) usedMemory(loaded loadedModels, except string) int64 {
	total := int64(0)
	for model, version := range loaded {
		if model != except {
			total += p.sizes[modelVersion{model, version}].memory
		}
	}
	return total
}

// apiPlacements returns the target of the available engines in the form that a plan stores.
func (p *planner) apiPlacements(target placement) []api.Placement {
	var all []api.Placement
	for i := range p.engines {
		if !p.engines[i].AvailableAfter {
			continue
		}
		row := api.Placement{Upstream: p.engines[i].ID}
		for _, model := range slices.Sorted(maps.Keys(target[i])) {
			v := modelVersion{model, target[i][model]}
			row.Loaded = append(row.Loaded, api.LoadedModel{Model: v.model, Version: v.version, Adapters: p.wantedAdapters(v)})
		}
		all = append(all, row)
	}
	return all
}

// wantedAdapters returns the adapters that the intent wants with a model version, sorted.
func (p *planner) wantedAdapters(v modelVersion) []string {
	m := p.wanted[v.model]
	if m == nil || m.Version != v.version {
		return nil
	}
	return slices.Sorted(slices.Values(m.Adapters))
}
