// Package plan works out how a fleet of engines gets from what it has loaded to what an intent wants: a
// target placement with the least movement, and ordered stages of steps that keep every served model at
// its floor on the way.
//
// Promise: no step of a plan takes a served model below its floor, or out of its second failure domain.
// Carried by a rule that holds locally in the plan: the steps of a stage may run in any order, and each
// stage is checked as if all its unloads had happened and none of its loads.
package plan

import (
	"maps"
	"slices"
	"strings"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// Reasons of a plan.
const (
	NothingToDo      decide.Reason = "nothing_to_do"
	Planned          decide.Reason = "planned"
	ReplicasDoNotFit decide.Reason = "replicas_do_not_fit"  // fewer replicas than wanted, floors kept
	BelowFloor       decide.Reason = "below_floor"          // the target or the change itself breaks a floor
	NoSafeOrder      decide.Reason = "no_order_keeps_floor" // every order of steps breaks a floor
	ForcedBelowFloor decide.Reason = "forced_below_floor"   // one of the last two, accepted by the operator
)

// Reasons lists every reason that Make returns.
var Reasons = []decide.Reason{NothingToDo, Planned, ReplicasDoNotFit, BelowFloor, NoSafeOrder, ForcedBelowFloor}

// Engine is one engine as the planner sees it.
type Engine struct {
	ID              string
	Domain          string
	Memory          int64 // tokens; 0: not known, taken as enough
	Loaded          []api.Loaded
	AvailableBefore bool // takes new work before the change
	AvailableAfter  bool // takes new work after the change; others get no steps
}

// Input is what a plan is made from.
type Input struct {
	Before     api.Intent // in force; sizes of versions that go
	After      api.Intent
	Engines    []Engine // any order
	WeightRate int64    // weight store's, in gigabytes an hour; 0: not known
	Force      bool     // give steps even where they break a floor
}

// Result is a plan's part that concerns engines. A rejected one has a Rejected line and no steps.
type Result struct {
	Reason   decide.Reason
	Rejected string // why, in words
	Steps    []api.Step
	Target   []api.Placement
	Floors   map[string]int // by model: engines that serve at every step
	Cost     api.Cost
	Summary  []string
	Impact   []string
}

// Make plans. It gives the same result for the same engines and models in any order.
func Make(in Input) Result {
	p := newPlanner(in)
	target := p.settleTarget()
	r := Result{Target: p.placements(target), Floors: p.floors}
	short := p.shortages(target)
	broken := p.brokenFloors(target)
	staged := p.stage(target)
	r.Steps, r.Cost = staged.steps, cost(staged.steps, in.WeightRate)
	r.Summary = p.summary(staged.steps)
	r.Impact = append(append(slices.Clone(broken), staged.broken...), short...)
	r.Impact = append(r.Impact, p.losses(staged.lowest)...)
	switch {
	case (len(broken) > 0 || len(staged.broken) > 0) && in.Force:
		r.Reason = ForcedBelowFloor
	case len(broken) > 0:
		return reject(BelowFloor, broken)
	case len(staged.broken) > 0:
		return reject(NoSafeOrder, staged.broken)
	case len(short) > 0:
		r.Reason = ReplicasDoNotFit
	case len(r.Steps) == 0:
		r.Reason = NothingToDo
	default:
		r.Reason = Planned
	}
	return r
}

func reject(reason decide.Reason, lines []string) Result {
	return Result{Reason: reason, Rejected: strings.Join(lines, "; ")}
}

const secondsPerHour = 3600

func cost(steps []api.Step, rate int64) api.Cost {
	var c api.Cost
	for _, s := range steps {
		if s.Kind == api.StepLoad {
			c.Loads++
			c.Gigabytes += s.Gigabyte
		} else {
			c.Unloads++
		}
	}
	if rate > 0 {
		c.MinSeconds = (c.Gigabytes*secondsPerHour + rate - 1) / rate
	}
	return c
}

// ref names one model version.
type ref struct{ model, version string }

// loads is what one engine has loaded: the version of each model. An engine has one version of a model;
// loading another replaces it (docs/UPSTREAMS.md).
type loads map[string]string

// size is what one model version takes.
type size struct {
	memory   int64
	gigabyte int64
}

// planner holds the sorted input and what is derived from it.
type planner struct {
	engines []Engine    // sorted by id
	models  []api.Model // largest first, then by name
	wanted  map[string]*api.Model
	sizes   map[ref]size
	floors  map[string]int // by model: replicas that every step keeps
	spread  map[string]int // by model: failure domains that every step keeps
}

// placement is what every engine has loaded, by its index in planner.engines.
type placement []loads

func newPlanner(in Input) *planner {
	p := &planner{
		engines: slices.Clone(in.Engines), models: slices.Clone(in.After.Models),
		wanted: map[string]*api.Model{}, sizes: map[ref]size{},
		floors: map[string]int{}, spread: map[string]int{},
	}
	slices.SortFunc(p.engines, func(a, b Engine) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(p.models, func(a, b api.Model) int {
		if a.Memory != b.Memory {
			return int(min(max(b.Memory-a.Memory, -1), 1))
		}
		return strings.Compare(a.Name, b.Name)
	})
	for _, m := range append(slices.Clone(in.Before.Models), in.After.Models...) {
		p.sizes[ref{m.Name, m.Version}] = size{memory: m.Memory, gigabyte: m.Gigabyte}
	}
	for i := range p.models {
		m := &p.models[i]
		p.wanted[m.Name] = m
		before, domains := p.servedBefore(m.Name)
		p.floors[m.Name] = min(m.MinServing(), before)
		p.spread[m.Name] = min(wantedDomains, m.MinServing(), domains)
	}
	return p
}

// wantedDomains is in how many failure domains a model with enough replicas is kept.
const wantedDomains = 2

// servedBefore counts the engines, and their failure domains, that serve a model before the change. A
// floor that is broken already is kept at what is left, so that a plan can mend it.
func (p *planner) servedBefore(model string) (engines, domains int) {
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

func hasModel(loaded []api.Loaded, model string) bool {
	return slices.ContainsFunc(loaded, func(l api.Loaded) bool { return l.Model == model })
}

// current is what the engines have loaded now.
func (p *planner) current() placement {
	at := make(placement, len(p.engines))
	for i := range p.engines {
		at[i] = loads{}
		for _, l := range p.engines[i].Loaded {
			at[i][l.Model] = l.Version
		}
	}
	return at
}

func (l loads) has(model string) bool {
	_, ok := l[model]
	return ok
}

// fits tells whether engine i with loaded has memory for r, in place of any other version of the model.
func (p *planner) fits(i int, loaded loads, r ref) bool {
	if p.engines[i].Memory == 0 {
		return true
	}
	return p.used(loaded, r.model)+p.sizes[r].memory <= p.engines[i].Memory
}

// used is the memory that an engine's models take, but for one.
func (p *planner) used(loaded loads, but string) int64 {
	total := int64(0)
	for model, version := range loaded {
		if model != but {
			total += p.sizes[ref{model, version}].memory
		}
	}
	return total
}

// placements gives a target in the form that a plan keeps.
func (p *planner) placements(target placement) []api.Placement {
	var all []api.Placement
	for i := range p.engines {
		if !p.engines[i].AvailableAfter {
			continue
		}
		row := api.Placement{Upstream: p.engines[i].ID}
		for _, model := range slices.Sorted(maps.Keys(target[i])) {
			r := ref{model, target[i][model]}
			row.Loaded = append(row.Loaded, api.Loaded{Model: r.model, Version: r.version, Adapters: p.adapters(r)})
		}
		all = append(all, row)
	}
	return all
}

// adapters lists the adapters wanted with a model version, sorted.
func (p *planner) adapters(r ref) []string {
	m := p.wanted[r.model]
	if m == nil || m.Version != r.version {
		return nil
	}
	return slices.Sorted(slices.Values(m.Adapters))
}
