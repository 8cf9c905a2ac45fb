package plan

import (
	"fmt"
	"slices"
	"strings"

	"github.com/damaskshelf/damaskshelf/api"
)

// shownEngines bounds the engines that one line names.
const shownEngines = 4

// shortages tells which models get fewer replicas than wanted but keep their floor.
func (p *planner) shortages(target placement) []string {
	var lines []string
	for _, m := range p.byName() {
		if n := p.serving(target, m.Name); n < m.Replicas {
			lines = append(lines, fmt.Sprintf("model %s: only %d of %d replicas fit the engines that remain", m.Name, n, m.Replicas))
		}
	}
	return lines
}

// brokenFloors tells which models the target, or the change itself before any step, takes below their
// floor.
func (p *planner) brokenFloors(target placement) []string {
	var lines []string
	start := p.current()
	for _, m := range p.byName() {
		floor := p.floors[m.Name]
		if n := p.serving(start, m.Name); n < floor {
			lines = append(lines, fmt.Sprintf("model %s: %d engines are left at once, its floor is %d%s", m.Name, n, floor, withoutEngine(n)))
			continue
		}
		if n := p.serving(target, m.Name); n < floor {
			lines = append(lines, fmt.Sprintf("model %s: %d engines are left at the end, its floor is %d%s", m.Name, n, floor, withoutEngine(n)))
		}
	}
	return lines
}

func withoutEngine(n int) string {
	if n == 0 {
		return "; every request for it would be refused"
	}
	return ""
}

// losses tells what callers notice on the way.
func (p *planner) losses(lowest map[string]int) []string {
	var lines []string
	start := p.current()
	for _, m := range p.byName() {
		before := p.serving(start, m.Name)
		if low, ok := lowest[m.Name]; ok && low < min(before, m.Replicas) {
			lines = append(lines, fmt.Sprintf("model %s: down to %d of %d engines on the way, its floor is %d; cached prefixes of the others are lost",
				m.Name, low, before, p.floors[m.Name]))
		}
	}
	for _, name := range p.dropped(start) {
		lines = append(lines, fmt.Sprintf("model %s: no longer served, every request for it will be refused", name))
	}
	return lines
}

// dropped lists the models that are loaded and not wanted any more.
func (p *planner) dropped(start placement) []string {
	var names []string
	for i := range p.engines {
		if !p.engines[i].AvailableAfter {
			continue
		}
		for model := range start[i] {
			if m := p.wanted[model]; m == nil || m.Replicas == 0 {
				names = append(names, model)
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (p *planner) byName() []api.Model {
	models := slices.Clone(p.models)
	slices.SortFunc(models, func(a, b api.Model) int { return strings.Compare(a.Name, b.Name) })
	return models
}

// summary tells per model version which engines load and unload it.
func (p *planner) summary(steps []api.Step) []string {
	type group struct {
		kind string
		what ref
	}
	engines := map[group][]string{}
	var order []group
	for _, s := range steps {
		if s.Adapter != "" {
			continue
		}
		g := group{s.Kind, ref{s.Model, s.Version}}
		if engines[g] == nil {
			order = append(order, g)
		}
		engines[g] = append(engines[g], s.Upstream)
	}
	var lines []string
	for _, g := range order {
		lines = append(lines, fmt.Sprintf("%s %s@%s on %s", g.kind, g.what.model, g.what.version, some(engines[g])))
	}
	return lines
}

// some names the first few engines and counts the rest.
func some(engines []string) string {
	if len(engines) <= shownEngines {
		return strings.Join(engines, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(engines[:shownEngines], ", "), len(engines)-shownEngines)
}
