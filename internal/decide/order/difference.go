package order

import (
	"slices"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// nextDifference returns the next step that the engine's state does not show as done, and whether it is a repair, which
// restores something that was in place before.
func nextDifference(in Input) (step api.Step, repair, found bool) {
	if in.Verify {
		step, found = deviation(in)
		return step, true, found
	}
	for i, s := range in.Steps {
		if superseded(in.Steps[i+1:], s) || satisfied(in.State, s) {
			continue
		}
		if s.Stage <= in.Stage {
			return s, false, true
		}
		break
	}
	step, found = lostModel(in)
	return step, true, found
}

// lostModel returns the load of a model that the engine should serve in some version and does not, because it rebooted
// or a late order unloaded the model. The load is not delayed to a later stage: it takes no model out of service, and
// steps on other engines may be blocked by the model's floor until it is done.
func lostModel(in Input) (api.Step, bool) {
	for _, want := range in.Target.Loaded {
		if findLoaded(in.State, want.Model) == nil && !waitsForUnload(in, want.Model) {
			return api.Step{Upstream: in.Target.Upstream, Kind: api.StepLoad, Model: want.Model, Version: want.Version}, true
		}
	}
	return api.Step{}, false
}

// waitsForUnload reports whether the model's load follows an unload that makes room for it and is not done yet.
func waitsForUnload(in Input, model string) bool {
	unloadPending := false
	for _, s := range in.Steps {
		if s.Kind == api.StepLoad && s.Model == model {
			return unloadPending
		}
		unloadPending = unloadPending || (s.Kind == api.StepUnload && s.Adapter == "" && !satisfied(in.State, s))
	}
	return false
}

// superseded reports whether a later step is about the same model and adapter.
func superseded(later []api.Step, s api.Step) bool {
	return slices.ContainsFunc(later, func(l api.Step) bool { return l.Model == s.Model && l.Adapter == s.Adapter })
}

// satisfied reports whether an engine's state shows a step as done.
func satisfied(state wire.EngineState, s api.Step) bool {
	l := findLoaded(state, s.Model)
	switch {
	case s.Kind == api.StepUnload && s.Adapter == "":
		return l == nil || (s.Version != "" && l.Version != s.Version)
	case s.Kind == api.StepUnload:
		return l == nil || !slices.Contains(l.Adapters, s.Adapter)
	case l == nil || l.Version != s.Version:
		return false
	default:
		return s.Adapter == "" || slices.Contains(l.Adapters, s.Adapter)
	}
}

// findLoaded returns the loaded version of a model, or nil if the engine has none.
func findLoaded(state wire.EngineState, model string) *wire.LoadedModel {
	i := slices.IndexFunc(state.Loaded, func(l wire.LoadedModel) bool { return l.Model == model })
	if i < 0 {
		return nil
	}
	return &state.Loaded[i]
}

// deviation returns the next step that repairs a state that differs from the target. Unloads come first, since they
// may free the memory that loads need. Steps that a floor blocks are skipped unless all are blocked.
func deviation(in Input) (api.Step, bool) {
	var steps []api.Step
	for _, l := range in.State.Loaded {
		steps = append(steps, extraSteps(in.Target, l)...)
	}
	for _, want := range in.Target.Loaded {
		steps = append(steps, missingSteps(want, in.State)...)
	}
	for i := range steps {
		steps[i].Upstream = in.Target.Upstream
	}
	if len(steps) == 0 {
		return api.Step{}, false
	}
	i := slices.IndexFunc(steps, func(s api.Step) bool { return !in.blockedByFloor(s) })
	return steps[max(i, 0)], true
}

// missingSteps returns the steps that load what the state lacks of a wanted model: the version, or else adapters.
func missingSteps(want api.LoadedModel, state wire.EngineState) []api.Step {
	s := api.Step{Kind: api.StepLoad, Model: want.Model, Version: want.Version}
	if !satisfied(state, s) {
		return []api.Step{s}
	}
	var steps []api.Step
	for _, a := range want.Adapters {
		s.Adapter = a
		if !satisfied(state, s) {
			steps = append(steps, s)
		}
	}
	return steps
}

// extraSteps returns the unload of a loaded model that the target doesn't contain. For a model that it contains in the
// loaded version, extraSteps returns the unloads of the extra adapters.
func extraSteps(want api.Placement, l wire.LoadedModel) []api.Step {
	s := api.Step{Kind: api.StepUnload, Model: l.Model, Version: l.Version}
	i := slices.IndexFunc(want.Loaded, func(w api.LoadedModel) bool { return w.Model == l.Model })
	if i < 0 {
		return []api.Step{s}
	}
	if want.Loaded[i].Version != l.Version {
		return nil // the load of the wanted version replaces it together with its adapters
	}
	var steps []api.Step
	for _, a := range l.Adapters {
		if !slices.Contains(want.Loaded[i].Adapters, a) {
			s.Adapter = a
			steps = append(steps, s)
		}
	}
	return steps
}

// MatchesPlacement reports whether an engine has loaded exactly what its placement contains.
func MatchesPlacement(want api.Placement, loaded []wire.LoadedModel) bool {
	in := Input{Target: want, State: wire.EngineState{Loaded: loaded}}
	_, differs := deviation(in)
	return !differs
}

// IsBehind reports whether an engine's loaded models differ from what they should be in a stage: a step of that stage
// or an earlier one is not done, or the engine lacks a model that it should serve all the time.
func IsBehind(want api.Placement, steps []api.Step, stage int, loaded []wire.LoadedModel) bool {
	in := Input{Target: want, Steps: steps, Stage: stage, State: wire.EngineState{Loaded: loaded}}
	_, _, differs := nextDifference(in)
	return differs
}
