package order

import (
	"slices"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// difference gives the next step that the engine's state does not show, and whether it mends something
// that was in place before.
func difference(in Input) (step api.Step, repair, found bool) {
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
	step, found = lost(in)
	return step, true, found
}

// lost gives a model that the engine should serve in some version and does not: it rebooted, or a late
// order took the model away. Mending that early takes nothing from anybody, and other engines' steps may
// wait for it at their floors.
func lost(in Input) (api.Step, bool) {
	for _, w := range in.Target.Loaded {
		if loadedAs(in.State, w.Model) == nil && !waitsForRoom(in, w.Model) {
			return api.Step{Upstream: in.Target.Upstream, Kind: api.StepLoad, Model: w.Model, Version: w.Version}, true
		}
	}
	return api.Step{}, false
}

// waitsForRoom tells whether a model's load comes after an unload that is still to be done, which makes
// room for it.
func waitsForRoom(in Input, model string) bool {
	room := false
	for _, s := range in.Steps {
		if s.Kind == api.StepLoad && s.Model == model {
			return room
		}
		room = room || (s.Kind == api.StepUnload && s.Adapter == "" && !satisfied(in.State, s))
	}
	return false
}

// superseded tells whether a later step is about the same model or adapter.
func superseded(later []api.Step, s api.Step) bool {
	return slices.ContainsFunc(later, func(l api.Step) bool { return l.Model == s.Model && l.Adapter == s.Adapter })
}

// satisfied tells whether an engine's state shows a step as done.
func satisfied(state wire.EngineState, s api.Step) bool {
	l := loadedAs(state, s.Model)
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

func loadedAs(state wire.EngineState, model string) *wire.Loaded {
	i := slices.IndexFunc(state.Loaded, func(l wire.Loaded) bool { return l.Model == model })
	if i < 0 {
		return nil
	}
	return &state.Loaded[i]
}

// deviation gives the next thing to mend in a state that is not just the placement. What is too much goes
// first, since it may hold the memory for what is missing, unless a floor needs it as yet.
func deviation(in Input) (api.Step, bool) {
	var steps []api.Step
	for _, l := range in.State.Loaded {
		steps = append(steps, tooMuch(in.Target, l)...)
	}
	for _, w := range in.Target.Loaded {
		steps = append(steps, missing(w, in.State)...)
	}
	for i := range steps {
		steps[i].Upstream = in.Target.Upstream
	}
	if len(steps) == 0 {
		return api.Step{}, false
	}
	i := slices.IndexFunc(steps, func(s api.Step) bool { return !in.blocked(s) })
	return steps[max(i, 0)], true
}

func missing(w api.Loaded, state wire.EngineState) []api.Step {
	s := api.Step{Kind: api.StepLoad, Model: w.Model, Version: w.Version}
	if !satisfied(state, s) {
		return []api.Step{s}
	}
	var steps []api.Step
	for _, a := range w.Adapters {
		s.Adapter = a
		if !satisfied(state, s) {
			steps = append(steps, s)
		}
	}
	return steps
}

func tooMuch(want api.Placement, l wire.Loaded) []api.Step {
	s := api.Step{Kind: api.StepUnload, Model: l.Model, Version: l.Version}
	i := slices.IndexFunc(want.Loaded, func(w api.Loaded) bool { return w.Model == l.Model })
	if i < 0 {
		return []api.Step{s}
	}
	if want.Loaded[i].Version != l.Version {
		return nil // the load of the wanted version replaces it, adapters and all
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

// Is tells whether what an engine has is just its placement.
func MatchesPlacement(want api.Placement, loaded []wire.Loaded) bool {
	in := Input{Target: want, State: wire.EngineState{Loaded: loaded}}
	_, differs := deviation(in)
	return !differs
}

// Behind tells whether an engine lacks something that it should have in a stage: a step of an earlier
// stage that is undone, or a model that it should serve all the time.
func IsBehind(want api.Placement, steps []api.Step, stage int, loaded []wire.Loaded) bool {
	in := Input{Target: want, Steps: steps, Stage: stage, State: wire.EngineState{Loaded: loaded}}
	_, _, differs := difference(in)
	return differs
}
