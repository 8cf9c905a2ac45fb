package plan

import (
	"fmt"
	"maps"
	"slices"

	"github.com/damaskshelf/damaskshelf/api"
)

// shareAtOnce is the part of a model's replicas that may be swapped in one stage: a quarter. A floor of
// one would otherwise let a version change take all replicas but one out of service at a time.
const shareAtOnce = 4

// staged is the outcome of ordering steps.
type staged struct {
	steps  []api.Step
	lowest map[string]int // by model: least engines serving at any moment
	broken []string       // floors that no order keeps, in words
}

// stager orders the steps from now to target.
type stager struct {
	*planner
	now    placement
	target placement
	number int // of the stage being filled
	out    staged

	// Of the stage being filled. left is what is surely served while it runs: what is loaded at its start
	// and not unloaded in it.
	left    placement
	touched map[int]bool   // engines with steps in this stage
	swapped map[string]int // by model: replicas lost in this stage
}

// stage orders the steps. Each stage first loads whatever fits without unloading, and unloads models
// whose replicas are all in place; only when nothing of that is left it swaps on full engines.
func (p *planner) stage(target placement) staged {
	s := &stager{planner: p, now: clonePlacement(p.current()), target: target}
	s.out.lowest = map[string]int{}
	for {
		s.begin()
		ok := s.easy() || s.swap(true) || s.forced()
		if !ok {
			break
		}
		s.end()
	}
	s.adapters()
	return s.out
}

func clonePlacement(at placement) placement {
	c := make(placement, len(at))
	for i := range at {
		c[i] = maps.Clone(at[i])
	}
	return c
}

func (s *stager) begin() {
	s.number++
	s.left = clonePlacement(s.now)
	s.touched = map[int]bool{}
	s.swapped = map[string]int{}
}

// end notes how many engines were surely serving while the stage ran.
func (s *stager) end() {
	for _, m := range s.models {
		n := s.serving(s.left, m.Name)
		if low, seen := s.out.lowest[m.Name]; !seen || n < low {
			s.out.lowest[m.Name] = n
		}
	}
}

// missing lists what engine i still has to load; extra what it has to unload.
func (s *stager) missing(i int) []ref { return difference(s.target[i], s.now[i]) }
func (s *stager) extra(i int) []ref   { return difference(s.now[i], s.target[i]) }

func difference(a, b map[ref]bool) []ref {
	d := map[ref]bool{}
	for r := range a {
		if !b[r] {
			d[r] = true
		}
	}
	return sorted(d)
}

// easy fills the stage with loads that fit and with unloads that nobody waits for.
func (s *stager) easy() bool {
	pending := s.pending()
	any := false
	for i := range s.engines {
		if !s.engines[i].Usable {
			continue
		}
		for _, r := range s.missing(i) {
			if s.fits(i, s.now[i], r) {
				s.load(i, r)
				any = true
			}
		}
		for _, r := range s.extra(i) {
			if !pending[r.model] && s.keeps(i, r) {
				s.unload(i, r)
				any = true
			}
		}
	}
	return any
}

// pending lists the models with a load still to come, at the start of the stage.
func (s *stager) pending() map[string]bool {
	models := map[string]bool{}
	for i := range s.engines {
		if !s.engines[i].Usable {
			continue
		}
		for _, r := range s.missing(i) {
			models[r.model] = true
		}
	}
	return models
}

// swap makes room on engines whose loads don't fit, as far as floors allow, and loads there in the same
// stage; an engine works its steps off in order.
func (s *stager) swap(floors bool) bool {
	any := false
	for i := range s.engines {
		if !s.engines[i].Usable || len(s.missing(i)) == 0 {
			continue
		}
		for _, r := range s.extra(i) {
			if floors && !(s.keeps(i, r) && s.underShare(i, r)) {
				continue
			}
			if !floors {
				s.noteBroken(i, r)
			}
			s.unload(i, r)
			any = true
		}
		for _, r := range s.missing(i) {
			if s.touched[i] && s.fits(i, s.now[i], r) {
				s.load(i, r)
			}
		}
		if any && !floors {
			return true // one engine at a time where floors are broken
		}
	}
	return any
}

// forced goes on without floors where no order keeps them; the words say which were broken.
func (s *stager) forced() bool {
	if s.swap(false) {
		return true
	}
	for i := range s.engines {
		if !s.engines[i].Usable {
			continue
		}
		if extra := s.extra(i); len(extra) > 0 {
			s.noteBroken(i, extra[0])
			s.unload(i, extra[0])
			return true
		}
	}
	return false
}

func (s *stager) noteBroken(i int, r ref) {
	if s.keeps(i, r) {
		return
	}
	line := fmt.Sprintf("no order of steps keeps model %s at its floor of %d while %s gives up version %s; add an engine or lower the floor",
		r.model, s.floors[r.model], s.engines[i].ID, r.version)
	if !slices.Contains(s.out.broken, line) {
		s.out.broken = append(s.out.broken, line)
	}
}

// keeps tells whether a model stays at its floor and in its failure domains if engine i gives up r in
// this stage.
func (s *stager) keeps(i int, r ref) bool {
	delete(s.left[i], r)
	defer func() { s.left[i][r] = true }()
	if s.left.has(i, r.model) {
		return true // the engine goes on serving the model with another version
	}
	byDomain := s.byDomain(s.left, r.model)
	engines := 0
	for _, n := range byDomain {
		engines += n
	}
	return engines >= s.floors[r.model] && len(byDomain) >= s.keptDomains(r.model)
}

// keptDomains is in how many failure domains a model stays on the way: where it began, but no more than
// where it ends.
func (s *stager) keptDomains(model string) int {
	return min(s.spread[model], len(s.byDomain(s.target, model)))
}

func (s *stager) underShare(i int, r ref) bool {
	m := s.wanted[r.model]
	if m == nil {
		return true
	}
	return s.swapped[r.model] < max(1, m.Replicas/shareAtOnce)
}

func (s *stager) load(i int, r ref) {
	s.now[i][r] = true
	s.touched[i] = true
	s.step(i, api.StepLoad, r, s.sizes[r].gigabyte)
}

func (s *stager) unload(i int, r ref) {
	delete(s.now[i], r)
	delete(s.left[i], r)
	s.touched[i] = true
	s.swapped[r.model]++
	s.step(i, api.StepUnload, r, 0)
}

func (s *stager) step(i int, kind string, r ref, gigabyte int64) {
	s.out.steps = append(s.out.steps, api.Step{
		Stage: s.number, Upstream: s.engines[i].ID, Kind: kind,
		Model: r.model, Version: r.version, Gigabyte: gigabyte,
	})
}

// adapters adds a last stage that brings every engine's adapters to what is wanted. Adapters take a
// model out of service nowhere.
func (s *stager) adapters() {
	for i := range s.engines {
		if !s.engines[i].Usable {
			continue
		}
		for _, r := range sorted(s.target[i]) {
			s.adapterSteps(i, r)
		}
	}
}

func (s *stager) adapterSteps(i int, r ref) {
	var has []string
	for _, l := range s.engines[i].Loaded {
		if l.Model == r.model && l.Version == r.version {
			has = l.Adapters
		}
	}
	wanted := s.planner.adapters(r)
	for _, a := range wanted {
		if !slices.Contains(has, a) {
			s.adapterStep(i, api.StepLoad, r, a)
		}
	}
	for _, a := range slices.Sorted(slices.Values(has)) {
		if !slices.Contains(wanted, a) {
			s.adapterStep(i, api.StepUnload, r, a)
		}
	}
}

func (s *stager) adapterStep(i int, kind string, r ref, adapter string) {
	s.out.steps = append(s.out.steps, api.Step{
		Stage: s.number, Upstream: s.engines[i].ID, Kind: kind, Model: r.model, Version: r.version, Adapter: adapter,
	})
}
