package plan

import (
	"fmt"
	"slices"
	"strings"

	"github.com/damaskshelf/damaskshelf/api"
)

// maxListedEngines is the largest number of engines that one line lists.
const maxListedEngines = 4

// describeShortages returns a line for each model that gets fewer replicas than the intent wants.
func (p *planner) describeShortages(target placement) []string {
	var lines []string
	for _, m := range p.modelsByName() {
		if n := p.countServing(target, m.Name); n < m.Replicas {
			lines = append(lines, fmt.Sprintf("model %s: only %d of %d replicas fit the engines that remain", m.Name, n, m.Replicas))
		}
	}
	return lines
}

// describeBrokenFloors returns a line for each model that is below its floor with the target, or with the change
// itself before any step.
func (p *planner) describeBrokenFloors(target placement) []string {
	var lines []string
	start := p.currentPlacement()
	for _, m := range p.modelsByName() {
		floor := p.floors[m.Name]
		if n := p.countServing(start, m.Name); n < floor {
			lines = append(lines, fmt.Sprintf("model %s: %d engines are left at once, its floor is %d%s", m.Name, n, floor, refusalNote(n)))
			continue
		}
		if n := p.countServing(target, m.Name); n < floor {
			lines = append(lines, fmt.Sprintf("model %s: %d engines are left at the end, its floor is %d%s", m.Name, n, floor, refusalNote(n)))
		}
	}
	return lines
}

// refusalNote returns what to append to a line about a model that n engines serve.
func refusalNote(n int) string {
	if n == 0 {
		return "; every request for it would be refused"
	}
	return ""
}

// describeLosses returns lines on what callers notice of the change: models with fewer engines during the steps, and
// models that are no longer served.
func (p *planner) describeLosses(minServing map[string]int) []string {
	var lines []string
	start := p.currentPlacement()
	for _, m := range p.modelsByName() {
		before := p.countServing(start, m.Name)
		if lowest, ok := minServing[m.Name]; ok && lowest < min(before, m.Replicas) {
			lines = append(lines, fmt.Sprintf("model %s: down to %d of %d engines on the way, its floor is %d; cached prefixes of the others are lost",
				m.Name, lowest, before, p.floors[m.Name]))
		}
	}
	for _, name := range p.droppedModels(start) {
		lines = append(lines, fmt.Sprintf("model %s: no longer served, every request for it will be refused", name))
	}
	return lines
}

// droppedModels returns the models that are loaded but no longer wanted, sorted.
func (p *planner) droppedModels(start placement) []string {
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

// modelsByName returns the models of the new intent, sorted by name.
func (p *planner) modelsByName() []api.Model {
	models := slices.Clone(p.models)
	slices.SortFunc(models, func(a, b api.Model) int { return strings.Compare(a.Name, b.Name) })
	return models
}

// summarize returns a line for each model version and kind of step, with the engines that load or unload it.
func (p *planner) summarize(steps []api.Step) []string {
	type group struct {
		kind    string
		version modelVersion
	}
	engines := map[group][]string{}
	var order []group
	for _, s := range steps {
		if s.Adapter != "" {
			continue
		}
		g := group{s.Kind, modelVersion{s.Model, s.Version}}
		if engines[g] == nil {
			order = append(order, g)
		}
		engines[g] = append(engines[g], s.Upstream)
	}
	var lines []string
	for _, g := range order {
		lines = append(lines, fmt.Sprintf("%s %s@%s on %s", g.kind, g.version.model, g.version.version, listEngines(engines[g])))
	}
	return lines
}

// listEngines lists the first maxListedEngines engines and the number of the others.
func listEngines(engines []string) string {
	if len(engines) <= maxListedEngines {
		return strings.Join(engines, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(engines[:maxListedEngines], ", "), len(engines)-maxListedEngines)
}
