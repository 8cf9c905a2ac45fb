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
	final  map[string]perDomain // of target
	number int                  // of the stage being filled
	out    staged

	// Of the stage being filled. left is what is surely served while it runs: what is loaded at its start
	// and not unloaded in it.
	left   placement
	counts map[string]perDomain // of left
	lost   map[string]int       // by model: replicas given up in this stage
}

// stage orders the steps. Each stage first loads whatever fits without unloading, and unloads models
// whose replicas are all in place; only when nothing of that is left it swaps on full engines.
func (p *planner) stage(target placement) staged {
	s := &stager{planner: p, now: clonePlacement(p.current()), target: target, final: p.countAll(target)}
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
	s.counts = s.countAll(s.left)
	s.lost = map[string]int{}
}

// end notes how many engines were surely serving while the stage ran.
func (s *stager) end() {
	for _, m := range s.models {
		n := s.counts[m.Name].total()
		if low, seen := s.out.lowest[m.Name]; !seen || n < low {
			s.out.lowest[m.Name] = n
		}
	}
}

// missing lists the model versions that engine i still has to load; extra the models that it has to
// unload.
func (s *stager) missing(i int) []ref {
	var refs []ref
	for _, model := range slices.Sorted(maps.Keys(s.target[i])) {
		if version := s.target[i][model]; s.now[i][model] != version {
			refs = append(refs, ref{model, version})
		}
	}
	return refs
}

func (s *stager) extra(i int) []ref {
	var refs []ref
	for _, model := range slices.Sorted(maps.Keys(s.now[i])) {
		if !s.target[i].has(model) {
			refs = append(refs, ref{model, s.now[i][model]})
		}
	}
	return refs
}

// easy fills the stage with loads that fit beside what is there, and with unloads that nobody waits for.
func (s *stager) easy() bool {
	pending := s.pending()
	any := false
	for i := range s.engines {
		if !s.engines[i].AvailableAfter {
			continue
		}
		for _, r := range s.missing(i) {
			if !s.now[i].has(r.model) && s.fits(i, s.now[i], r) {
				s.load(i, r)
				any = true
			}
		}
		for _, r := range s.extra(i) {
			if !pending[r.model] && s.keeps(i, r.model) {
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
		if !s.engines[i].AvailableAfter {
			continue
		}
		for _, r := range s.missing(i) {
			models[r.model] = true
		}
	}
	return models
}

// swap replaces versions in place, and makes room on engines whose loads don't fit, as far as floors
// allow. What was made room for is loaded in the same stage; an engine works its steps off in order.
func (s *stager) swap(floors bool) bool {
	any := false
	for i := range s.engines {
		if !s.engines[i].AvailableAfter || len(s.missing(i)) == 0 {
			continue
		}
		moved := s.makeRoom(i, floors)
		moved = s.loadAll(i, floors) || moved
		any = any || moved
		if moved && !floors {
			return true // one engine at a time where floors are broken
		}
	}
	return any
}

// makeRoom unloads what has to go from an engine on which a load does not fit.
func (s *stager) makeRoom(i int, floors bool) bool {
	any := false
	for _, r := range s.extra(i) {
		if s.fitsAll(i) || !s.mayLose(i, r, floors) {
			continue
		}
		s.unload(i, r)
		any = true
	}
	return any
}

func (s *stager) fitsAll(i int) bool {
	for _, r := range s.missing(i) {
		if !s.fits(i, s.now[i], r) {
			return false
		}
	}
	return true
}

// loadAll loads what is missing on an engine and fits. In place of another version it costs the engine
// for the time of the stage: what it serves while the version is replaced is not promised.
func (s *stager) loadAll(i int, floors bool) bool {
	any := false
	for _, r := range s.missing(i) {
		if !s.fits(i, s.now[i], r) || (s.left[i].has(r.model) && !s.mayLose(i, r, floors)) {
			continue
		}
		s.load(i, r)
		any = true
	}
	return any
}

// mayLose tells whether engine i may go without the model for this stage, and notes a broken floor where
// floors don't count.
func (s *stager) mayLose(i int, r ref, floors bool) bool {
	if floors {
		return s.keeps(i, r.model) && s.underShare(r.model)
	}
	s.noteBroken(i, r.model)
	return true
}

// forced goes on without floors where no order keeps them; the words say which were broken.
func (s *stager) forced() bool {
	if s.swap(false) {
		return true
	}
	for i := range s.engines {
		if !s.engines[i].AvailableAfter {
			continue
		}
		if extra := s.extra(i); len(extra) > 0 {
			s.noteBroken(i, extra[0].model)
			s.unload(i, extra[0])
			return true
		}
	}
	return false
}

func (s *stager) noteBroken(i int, model string) {
	if s.keeps(i, model) {
		return
	}
	line := fmt.Sprintf("no order of steps keeps model %s at its floor of %d while %s changes it; add an engine or lower the floor",
		model, s.floors[model], s.engines[i].ID)
	if !slices.Contains(s.out.broken, line) {
		s.out.broken = append(s.out.broken, line)
	}
}

// keeps tells whether a model stays at its floor and in its failure domains if engine i goes without it
// in this stage.
func (s *stager) keeps(i int, model string) bool {
	counts := s.counts[model]
	engines, domains := counts.total(), len(counts)
	if s.left[i].has(model) {
		engines--
		if counts[s.engines[i].Domain] == 1 {
			domains--
		}
	}
	return engines >= s.floors[model] && domains >= s.keptDomains(model)
}

// keptDomains is in how many failure domains a model stays on the way: where it began, but no more than
// where it ends.
func (s *stager) keptDomains(model string) int {
	return min(s.spread[model], len(s.final[model]))
}

func (s *stager) underShare(model string) bool {
	m := s.wanted[model]
	return m == nil || s.lost[model] < max(1, m.Replicas/shareAtOnce)
}

func (s *stager) load(i int, r ref) {
	if s.left[i].has(r.model) {
		s.lose(i, r.model)
	}
	s.now[i][r.model] = r.version
	s.step(i, api.StepLoad, r, s.sizes[r].gigabyte)
}

func (s *stager) unload(i int, r ref) {
	s.lose(i, r.model)
	delete(s.now[i], r.model)
	s.step(i, api.StepUnload, r, 0)
}

func (s *stager) lose(i int, model string) {
	if s.left[i].has(model) {
		s.counts[model].drop(s.engines[i].Domain)
		delete(s.left[i], model)
	}
	s.lost[model]++
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
		if !s.engines[i].AvailableAfter {
			continue
		}
		for _, model := range slices.Sorted(maps.Keys(s.target[i])) {
			s.adapterSteps(i, ref{model, s.target[i][model]})
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
