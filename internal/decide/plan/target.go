package plan

import (
	"maps"
	"slices"
)

// maxRounds bounds the search for a target that planning again would leave alone.
const maxRounds = 8

// settleTarget gives a target from which planning again plans nothing. One round can free memory that a
// model placed earlier in the round would have taken, so rounds go on until nothing moves.
func (p *planner) settleTarget() placement {
	now := p.current()
	for range maxRounds {
		next := p.target(now)
		if slices.EqualFunc(now, next, maps.Equal) {
			break
		}
		now = next
	}
	return now
}

// target chooses the engines of every model, starting from what is loaded at now. What is kept is placed
// before anything is added, so that no addition pushes out what could have stayed.
func (p *planner) target(now placement) placement {
	target := make(placement, len(p.engines))
	for i := range target {
		target[i] = loads{}
	}
	for i := range p.engines {
		if !p.engines[i].AvailableAfter {
			target[i] = now[i]
		}
	}
	for i := range p.models {
		p.keep(now, target, i)
	}
	for i := range p.models {
		p.add(now, target, i)
	}
	return target
}

// candidate is an engine that may serve a model.
type candidate struct {
	engine int
	exact  bool // has the wanted version
	fresh  bool // has no version of the model, and memory for it beside what it has now
	free   int64
}

// keep places a model on engines that have it, spread over failure domains.
func (p *planner) keep(now, target placement, model int) {
	m := &p.models[model]
	want := ref{m.Name, m.Version}
	var holders []candidate
	for i := range p.engines {
		if p.allowed(i, m.Domains) && now[i].has(m.Name) && p.fits(i, target[i], want) {
			holders = append(holders, candidate{engine: i, exact: now[i][m.Name] == m.Version})
		}
	}
	inPlace := 0
	standing := p.byDomain(target, m.Name)
	for count := standing.total(); count < m.Replicas; count++ {
		best := p.best(standing, holders, func(c candidate) bool {
			return c.exact || inPlace < p.inPlaceLimit(m.Replicas, m.MinServing())
		})
		if best < 0 {
			return
		}
		if !holders[best].exact {
			inPlace++
		}
		target[holders[best].engine][m.Name] = m.Version
		standing[p.engines[holders[best].engine].Domain]++
		holders = slices.Delete(holders, best, best+1)
	}
}

// inPlaceLimit is how many engines may take the new version in place of the old one. Where all replicas are needed at every step, one has to come up elsewhere first.
func (p *planner) inPlaceLimit(replicas, floor int) int {
	if replicas > floor {
		return replicas
	}
	return replicas - 1
}

// add places the replicas that are still missing, and moves one where all stand in a single failure
// domain and another has room.
func (p *planner) add(now, target placement, model int) {
	m := &p.models[model]
	want := ref{m.Name, m.Version}
	var free []candidate
	for i := range p.engines {
		if p.allowed(i, m.Domains) && !target[i].has(m.Name) && p.fits(i, target[i], want) {
			free = append(free, candidate{
				engine: i, exact: now[i][m.Name] == m.Version,
				fresh: !now[i].has(m.Name) && p.fits(i, now[i], want),
				free:  p.engines[i].Memory - p.used(target[i], ""),
			})
		}
	}
	standing := p.byDomain(target, m.Name)
	for count := standing.total(); count < m.Replicas; count++ {
		best := -1
		if count+1 > p.inPlaceLimit(m.Replicas, m.MinServing()) {
			best = p.best(standing, free, func(c candidate) bool { return c.exact || c.fresh })
		}
		if best < 0 {
			best = p.best(standing, free, nil)
		}
		if best < 0 {
			return
		}
		target[free[best].engine][m.Name] = m.Version
		standing[p.engines[free[best].engine].Domain]++
		free = slices.Delete(free, best, best+1)
	}
	p.spreadOut(target, want, min(wantedDomains, m.Replicas), free)
}

// spreadOut moves one replica to another failure domain if all of them stand in fewer than wanted.
func (p *planner) spreadOut(target placement, want ref, domains int, free []candidate) {
	byDomain := p.byDomain(target, want.model)
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

// best gives the index of the candidate to take next: in the failure domain with the fewest replicas,
// then with the wanted version, then without having to unload anything first, then with the most free memory, then
// by id. -1: none is allowed.
func (p *planner) best(byDomain perDomain, candidates []candidate, allow func(candidate) bool) int {
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

func (p *planner) better(byDomain perDomain, a, b candidate) bool {
	da, db := byDomain[p.engines[a.engine].Domain], byDomain[p.engines[b.engine].Domain]
	switch {
	case da != db:
		return da < db
	case a.exact != b.exact:
		return a.exact
	case a.fresh != b.fresh:
		return a.fresh
	case a.free != b.free:
		return a.free > b.free
	default:
		return a.engine < b.engine
	}
}

func (p *planner) allowed(i int, domains []string) bool {
	e := &p.engines[i]
	return e.AvailableAfter && (len(domains) == 0 || slices.Contains(domains, e.Domain))
}

// perDomain counts a model's usable engines in each failure domain that has any.
type perDomain map[string]int

func (d perDomain) total() int {
	n := 0
	for _, c := range d {
		n += c
	}
	return n
}

// drop counts one engine less.
func (d perDomain) drop(domain string) {
	d[domain]--
	if d[domain] == 0 {
		delete(d, domain)
	}
}

// byDomain counts a model's usable engines.
func (p *planner) byDomain(at placement, model string) perDomain {
	counts := perDomain{}
	for i := range p.engines {
		if p.engines[i].AvailableAfter && at[i].has(model) {
			counts[p.engines[i].Domain]++
		}
	}
	return counts
}

// countAll counts every model's usable engines.
func (p *planner) countAll(at placement) map[string]perDomain {
	all := map[string]perDomain{}
	for i := range p.engines {
		if !p.engines[i].AvailableAfter {
			continue
		}
		for model := range at[i] {
			if all[model] == nil {
				all[model] = perDomain{}
			}
			all[model][p.engines[i].Domain]++
		}
	}
	return all
}

// serving counts a model's usable engines.
func (p *planner) serving(at placement, model string) int { return p.byDomain(at, model).total() }
