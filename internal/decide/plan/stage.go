package plan

import (
	"fmt"
	"maps"
	"slices"

	"github.com/damaskshelf/damaskshelf/api"
)

// swapDivisor limits the replicas of a model that are swapped in one stage to a quarter. With a floor of one, a
// version change would otherwise take all replicas but one out of service at the same time.
const swapDivisor = 4

// schedule is the ordered steps of a plan and their effect on the floors.
type schedule struct {
	steps        []api.Step
	minServing   map[string]int // by model: lowest number of engines that serve it during a stage
	brokenFloors []string       // a sentence for each floor that no order keeps
}

// scheduler orders the steps that lead from the loaded models to the target.
type scheduler struct {
	*planner
	loaded      placement // after the steps so far
	target      placement
	finalCounts map[string]domainCounts // of target
	stage       int                     // number of the current stage
	result      schedule

	// State of the current stage. guaranteed is what the engines serve for certain while it runs: what is
	// loaded at its start and is neither unloaded nor replaced in it.
	guaranteed       placement
	guaranteedCounts map[string]domainCounts // of guaranteed
	lostReplicas     map[string]int          // by model: replicas unloaded or replaced in this stage
}

// schedule orders the steps in stages. A stage loads what fits without an unload, and unloads models whose replicas
// are all in place. If there are no such steps, it swaps models on full engines. If the floors allow no swap either,
// it breaks a floor.
func (p *planner) schedule(target placement) schedule {
	s := &scheduler{planner: p, loaded: clonePlacement(p.currentPlacement()), target: target, finalCounts: p.countAllByDomain(target)}
	s.result.minServing = map[string]int{}
	for {
		s.beginStage()
		ok := s.addUnblockedSteps() || s.addSwaps(true) || s.addForcedStep()
		if !ok {
			break
		}
		s.endStage()
	}
	s.addAdapterSteps()
	return s.result
}

// clonePlacement returns a deep copy.
func clonePlacement(p placement) placement {
	c := make(placement, len(p))
	for i := range p {
		c[i] = maps.Clone(p[i])
	}
	return c
}

// beginStage starts the next stage.
func (s *scheduler) beginStage() {
	s.stage++
	s.guaranteed = clonePlacement(s.loaded)
	s.guaranteedCounts = s.countAllByDomain(s.guaranteed)
	s.lostReplicas = map[string]int{}
}

// endStage updates minServing with the engines that serve each model for certain during the stage.
func (s *scheduler) endStage() {
	for _, m := range s.models {
		n := s.guaranteedCounts[m.Name].total()
		if lowest, known := s.result.minServing[m.Name]; !known || n < lowest {
			s.result.minServing[m.Name] = n
		}
	}
}

// missingModels returns the model versions that engine i still has to load, sorted by model.
func (s *scheduler) missingModels(i int) []modelVersion {
	var versions []modelVersion
	for _, model := range slices.Sorted(maps.Keys(s.target[i])) {
		if version := s.target[i][model]; s.loaded[i][model] != version {
			versions = append(versions, modelVersion{model, version})
		}
	}
	return versions
}

// extraModels returns the model versions that engine i still has to unload, sorted by model.
func (s *scheduler) extraModels(i int) []modelVersion {
	var versions []modelVersion
	for _, model := range slices.Sorted(maps.Keys(s.loaded[i])) {
		if !s.target[i].has(model) {
			versions = append(versions, modelVersion{model, s.loaded[i][model]})
		}
	}
	return versions
}

// addUnblockedSteps adds the loads that fit beside the loaded models, and the unloads of models that have no pending
// load and stay at their floor. It reports whether it added a step.
func (s *scheduler) addUnblockedSteps() bool {
	pending := s.pendingModels()
	added := false
	for i := range s.engines {
		if !s.engines[i].AvailableAfter {
			continue
		}
		for _, v := range s.missingModels(i) {
			if !s.loaded[i].has(v.model) && s.fits(i, s.loaded[i], v) {
				s.addLoad(i, v)
				added = true
			}
		}
		for _, v := range s.extraModels(i) {
			if !pending[v.model] && s.keepsFloor(i, v.model) {
				s.addUnload(i, v)
				added = true
			}
		}
	}
	return added
}

// pendingModels returns the models that an available engine still has to load.
func (s *scheduler) pendingModels() map[string]bool {
	models := map[string]bool{}
	for i := range s.engines {
		if !s.engines[i].AvailableAfter {
			continue
		}
		for _, v := range s.missingModels(i) {
			models[v.model] = true
		}
	}
	return models
}

// addSwaps adds replacements of versions in place, and unloads on engines where a missing model doesn't fit. The
// model that an unload makes room for is loaded in the same stage, as an engine runs its steps in order. With
// keepFloors, the steps are limited to those that floors allow. It reports whether it added a step.
func (s *scheduler) addSwaps(keepFloors bool) bool {
	added := false
	for i := range s.engines {
		if !s.engines[i].AvailableAfter || len(s.missingModels(i)) == 0 {
			continue
		}
		changed := s.addUnloads(i, keepFloors)
		changed = s.addLoads(i, keepFloors) || changed
		added = added || changed
		if changed && !keepFloors {
			return true // one engine at a time if floors are broken
		}
	}
	return added
}

// addUnloads adds unloads of extra models from engine i until the missing models fit. It reports whether it added one.
func (s *scheduler) addUnloads(i int, keepFloors bool) bool {
	added := false
	for _, v := range s.extraModels(i) {
		if s.allMissingFit(i) || !s.mayTakeDown(i, v, keepFloors) {
			continue
		}
		s.addUnload(i, v)
		added = true
	}
	return added
}

// allMissingFit reports whether engine i has memory for each of its missing models.
func (s *scheduler) allMissingFit(i int) bool {
	for _, v := range s.missingModels(i) {
		if !s.fits(i, s.loaded[i], v) {
			return false
		}
	}
	return true
}

// addLoads adds loads of the missing models that fit engine i, and reports whether it added one. A load that replaces
// another version takes the model out of service on the engine for the stage, since neither version is guaranteed
// to be served during the replacement.
func (s *scheduler) addLoads(i int, keepFloors bool) bool {
	added := false
	for _, v := range s.missingModels(i) {
		if !s.fits(i, s.loaded[i], v) || (s.guaranteed[i].has(v.model) && !s.mayTakeDown(i, v, keepFloors)) {
			continue
		}
		s.addLoad(i, v)
		added = true
	}
	return added
}

// mayTakeDown reports whether the model may be out of service on engine i during this stage. Without keepFloors it
// always may; if that breaks a floor, mayTakeDown records it.
func (s *scheduler) mayTakeDown(i int, v modelVersion, keepFloors bool) bool {
	if keepFloors {
		return s.keepsFloor(i, v.model) && s.withinSwapLimit(v.model)
	}
	s.recordBrokenFloor(i, v.model)
	return true
}

// addForcedStep adds steps of one engine that break floors, and records which. It reports whether any step was left.
func (s *scheduler) addForcedStep() bool {
	if s.addSwaps(false) {
		return true
	}
	for i := range s.engines {
		if !s.engines[i].AvailableAfter {
			continue
		}
		if extra := s.extraModels(i); len(extra) > 0 {
			s.recordBrokenFloor(i, extra[0].model)
			s.addUnload(i, extra[0])
			return true
		}
	}
	return false
}

// recordBrokenFloor records that the steps of engine i break the model's floor, if they do.
func (s *scheduler) recordBrokenFloor(i int, model string) {
	if s.keepsFloor(i, model) {
		return
	}
	line := fmt.Sprintf("no order of steps keeps model %s at its floor of %d while %s changes it; add an engine or lower the floor",
		model, s.floors[model], s.engines[i].ID)
	if !slices.Contains(s.result.brokenFloors, line) {
		s.result.brokenFloors = append(s.result.brokenFloors, line)
	}
}

// keepsFloor reports whether a model stays at its floor and in its required failure domains if it is out of service
// on engine i during this stage.
func (s *scheduler) keepsFloor(i int, model string) bool {
	counts := s.guaranteedCounts[model]
	engines, domains := counts.total(), len(counts)
	if s.guaranteed[i].has(model) {
		engines--
		if counts[s.engines[i].Domain] == 1 {
			domains--
		}
	}
	return engines >= s.floors[model] && domains >= s.requiredDomains(model)
}

// requiredDomains returns the number of failure domains in which a model must be served at every step: as many as
// before the change, but no more than at its end.
func (s *scheduler) requiredDomains(model string) int {
	return min(s.minDomains[model], len(s.finalCounts[model]))
}

// withinSwapLimit reports whether another replica of a model may be swapped in this stage.
func (s *scheduler) withinSwapLimit(model string) bool {
	m := s.wanted[model]
	return m == nil || s.lostReplicas[model] < max(1, m.Replicas/swapDivisor)
}

// addLoad adds a load of a model version on engine i.
func (s *scheduler) addLoad(i int, v modelVersion) {
	if s.guaranteed[i].has(v.model) {
		s.takeDown(i, v.model)
	}
	s.loaded[i][v.model] = v.version
	s.addStep(i, api.StepLoad, v, s.sizes[v].gigabytes)
}

// addUnload adds an unload of a model version on engine i.
func (s *scheduler) addUnload(i int, v modelVersion) {
	s.takeDown(i, v.model)
	delete(s.loaded[i], v.model)
	s.addStep(i, api.StepUnload, v, 0)
}

// takeDown records that a model is out of service on engine i during this stage.
func (s *scheduler) takeDown(i int, model string) {
	if s.guaranteed[i].has(model) {
		s.guaranteedCounts[model].remove(s.engines[i].Domain)
		delete(s.guaranteed[i], model)
	}
	s.lostReplicas[model]++
}

// addStep appends a step of engine i to the current stage.
func (s *scheduler) addStep(i int, kind string, v modelVersion, gigabytes int64) {
	s.result.steps = append(s.result.steps, api.Step{
		Stage: s.stage, Upstream: s.engines[i].ID, Kind: kind,
		Model: v.model, Version: v.version, WeightGB: gigabytes,
	})
}

// addAdapterSteps adds the steps that change the adapters of all available engines, in one last stage. Loading or
// unloading an adapter takes no model out of service.
func (s *scheduler) addAdapterSteps() {
	for i := range s.engines {
		if !s.engines[i].AvailableAfter {
			continue
		}
		for _, model := range slices.Sorted(maps.Keys(s.target[i])) {
			s.addEngineAdapterSteps(i, modelVersion{model, s.target[i][model]})
		}
	}
}

// addEngineAdapterSteps adds the steps that change the adapters of a model version on engine i.
func (s *scheduler) addEngineAdapterSteps(i int, v modelVersion) {
	var loaded []string
	for _, l := range s.engines[i].Loaded {
		if l.Model == v.model && l.Version == v.version {
			loaded = l.Adapters
		}
	}
	wanted := s.planner.wantedAdapters(v)
	for _, a := range wanted {
		if !slices.Contains(loaded, a) {
			s.addAdapterStep(i, api.StepLoad, v, a)
		}
	}
	for _, a := range slices.Sorted(slices.Values(loaded)) {
		if !slices.Contains(wanted, a) {
			s.addAdapterStep(i, api.StepUnload, v, a)
		}
	}
}

// addAdapterStep appends a step for one adapter of a model version on engine i.
func (s *scheduler) addAdapterStep(i int, kind string, v modelVersion, adapter string) {
	s.result.steps = append(s.result.steps, api.Step{
		Stage: s.stage, Upstream: s.engines[i].ID, Kind: kind, Model: v.model, Version: v.version, Adapter: adapter,
	})
}
