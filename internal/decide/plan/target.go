package plan

import (
	"maps"
	"slices"
)

// maxRounds bounds the search for a target that a further round would not change.
const maxRounds = 8

// stableTarget returns a target from which a second plan would have no steps. One round can free memory that a
// model placed earlier in that round could have used, so rounds are repeated until nothing changes, at most maxRounds
// times.
func (p *planner) stableTarget() placement {
	current := p.currentPlacement()
	for range maxRounds {
		next := p.chooseTarget(current)
		if slices.EqualFunc(current, next, maps.Equal) {
			break
		}
		current = next
	}
	return current
}

// chooseTarget chooses the engines of every model, starting from the current placement. It places the replicas
// that stay before it adds any, so that an added replica doesn't displace one that could have stayed.
func (p *planner) chooseTarget(current placement) placement {
	target := make(placement, len(p.engines))
	for i := range target {
		target[i] = loadedModels{}
	}
	for i := range p.engines {
		if !p.engines[i].AvailableAfter {
			target[i] = current[i]
		}
	}
	for i := range p.models {
		p.keepReplicas(current, target, i)
	}
	for i := range p.models {
		p.addReplicas(current, target, i)
	}
	return target
}

// candidate is an engine on which a model may be placed.
type candidate struct {
	engine            int   // index in planner.engines
	hasVersion        bool  // has the wanted version loaded
	fitsWithoutUnload bool  // has no version of the model, and memory for it beside what is loaded
	freeMemory        int64 // tokens
}

// keepReplicas places a model on engines that have it in any version, spread over failure domains. It places no more
// than the wanted replicas, and limits those that change their version by maxInPlace.
func (p *planner) keepReplicas(current, target placement, model int) {
	m := &p.models[model]
	want := modelVersion{m.Name, m.Version}
	var holders []candidate
	for i := range p.engines {
		if p.allowed(i, m.Domains) && current[i].has(m.Name) && p.fits(i, target[i], want) {
			holders = append(holders, candidate{engine: i, hasVersion: current[i][m.Name] == m.Version})
		}
	}
	inPlace := 0
	counts := p.countByDomain(target, m.Name)
	for count := counts.total(); count < m.Replicas; count++ {
		best := p.best(counts, holders, func(c candidate) bool {
			return c.hasVersion || inPlace < p.maxInPlace(m.Replicas, m.MinServing())
		})
		if best < 0 {
			return
		}
		if !holders[best].hasVersion {
			inPlace++
		}
		target[holders[best].engine][m.Name] = m.Version
		counts[p.engines[holders[best].engine].Domain]++
		holders = slices.Delete(holders, best, best+1)
	}
}

// maxInPlace returns how many engines may replace the old version of a model by the new one. If the floor needs all
// replicas, one new replica has to be loaded on another engine first.
func (p *planner) maxInPlace(replicas, floor int) int {
	if replicas > floor {
		return replicas
	}
	return replicas - 1
}

// addReplicas places the replicas that are still missing. If all replicas are in one failure domain and another one
// has room, it then moves a replica there.
func (p *planner) addReplicas(current, target placement, model int) {
	m := &p.models[model]
	want := modelVersion{m.Name, m.Version}
	var free []candidate
	for i := range p.engines {
		if p.allowed(i, m.Domains) && !target[i].has(m.Name) && p.fits(i, target[i], want) {
			free = append(free, candidate{
				engine: i, hasVersion: current[i][m.Name] == m.Version,
				fitsWithoutUnload: !current[i].has(m.Name) && p.fits(i, current[i], want),
				freeMemory:        p.engines[i].Memory - p.usedMemory(target[i], ""),
			})
		}
	}
	counts := p.countByDomain(target, m.Name)
	for count := counts.total(); count < m.Replicas; count++ {
		best := -1
		if count+1 > p.maxInPlace(m.Replicas, m.MinServing()) {
			best = p.best(counts, free, func(c candidate) bool { return c.hasVersion || c.fitsWithoutUnload })
		}
		if best < 0 {
			best = p.best(counts, free, nil)
		}
		if best < 0 {
			return
		}
		target[free[best].engine][m.Name] = m.Version
		counts[p.engines[free[best].engine].Domain]++
		free = slices.Delete(free, best, best+1)
	}
	p.spreadDomains(target, want, min(targetDomains, m.Replicas), free)
}

// spreadDomains moves one replica to another failure domain if the replicas are in fewer domains than wanted.
func (p *planner) spreadDomains(target placement, want modelVersion, domains int, free []candidate) {
	byDomain := p.countByDomain(target, want.model)
	if len(byDomain) >= domains || len(byDomain) == 0 {
		return
	}
	best := p.best(byDomain, free, func(c candidate) bool { return byDomain[p.engines[c.engine].Domain] == 0 })
	if best < 0 {
		return
	}
	for i := len(p.engines) - 1; i >= 0; i-- {
		if p.engines[i].AvailableAfter && target[i].has(want.model) {
			delete(target[i], want.model)
			break
		}
	}
	target[free[best].engine][want.model] = want.version
}

// best returns the index of the best candidate that allow accepts (nil: all), or -1 if there is none. It prefers the
// failure domain with the fewest replicas, then an engine that has the wanted version, then one that needs no
// unload first, then the most free memory, then the lowest id.
func (p *planner) best(byDomain domainCounts, candidates []candidate, allow func(candidate) bool) int {
	best := -1
	for i, c := range candidates {
		if allow != nil && !allow(c) {
			continue
		}
		if best < 0 || p.better(byDomain, c, candidates[best]) {
			best = i
		}
	}
	return best
}

// better reports whether best prefers candidate a to b.
func (p *planner) better(byDomain domainCounts, a, b candidate) bool {
	da, db := byDomain[p.engines[a.engine].Domain], byDomain[p.engines[b.engine].Domain]
	switch {
	case da != db:
		return da < db
	case a.hasVersion != b.hasVersion:
		return a.hasVersion
	case a.fitsWithoutUnload != b.fitsWithoutUnload:
		return a.fitsWithoutUnload
	case a.freeMemory != b.freeMemory:
		return a.freeMemory > b.freeMemory
	default:
		return a.engine < b.engine
	}
}

// allowed reports whether engine i is available after the change and in one of the failure domains, if any are given.
func (p *planner) allowed(i int, domains []string) bool {
	e := &p.engines[i]
	return e.AvailableAfter && (len(domains) == 0 || slices.Contains(domains, e.Domain))
}

// domainCounts is the number of available engines that have a model, by failure domain; domains without one are
// absent. An engine is available if it takes new work after the change.
type domainCounts map[string]int

// total returns the number of engines in all failure domains.
func (d domainCounts) total() int {
	n := 0
	for _, c := range d {
		n += c
	}
	return n
}

// remove subtracts one engine of a failure domain.
func (d domainCounts) remove(domain string) {
	d[domain]--
	if d[domain] == 0 {
		delete(d, domain)
	}
}

// countByDomain counts the available engines that have a model, by failure domain.
func (p *planner) countByDomain(loaded placement, model string) domainCounts {
	counts := domainCounts{}
	for i := range p.engines {
		if p.engines[i].AvailableAfter && loaded[i].has(model) {
			counts[p.engines[i].Domain]++
		}
	}
	return counts
}

// countAllByDomain returns countByDomain for every model.
func (p *planner) countAllByDomain(loaded placement) map[string]domainCounts {
	all := map[string]domainCounts{}
	for i := range p.engines {
		if !p.engines[i].AvailableAfter {
			continue
		}
		for model := range loaded[i] {
			if all[model] == nil {
				all[model] = domainCounts{}
			}
			all[model][p.engines[i].Domain]++
		}
	}
	return all
}

// countServing returns the number of available engines that have a model.
func (p *planner) countServing(loaded placement, model string) int {
	return p.countByDomain(loaded, model).total()
}
