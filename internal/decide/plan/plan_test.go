package plan_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide/plan"
)

// TestMain fixes the seed, so that every run checks the same inputs.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// drawInput draws a fleet of a few engines with some models loaded, and an intent that wants other models.
func drawInput(t *rapid.T) plan.Input {
	var before, after api.Intent
	for i := range rapid.IntRange(1, 4).Draw(t, "models") {
		m := api.Model{
			Name: fmt.Sprintf("m%d", i), Version: "1",
			MemoryTokens: rapid.Int64Range(1, 6).Draw(t, "memory"), WeightGB: rapid.Int64Range(0, 30).Draw(t, "gb"),
		}
		before.Models = append(before.Models, m)
		m.Version = rapid.SampledFrom([]string{"1", "1", "2"}).Draw(t, "version")
		m.Replicas = rapid.IntRange(0, 6).Draw(t, "replicas")
		m.Floor = rapid.IntRange(0, m.Replicas).Draw(t, "floor")
		if rapid.IntRange(0, 4).Draw(t, "pinned") == 0 {
			m.Domains = []string{"d0", "d1"}
		}
		after.Models = append(after.Models, m)
	}
	in := plan.Input{Before: before, After: after, Force: rapid.Bool().Draw(t, "force")}
	for i := range rapid.IntRange(1, 9).Draw(t, "engines") {
		e := plan.Engine{
			ID: fmt.Sprintf("e%d", i), Domain: fmt.Sprintf("d%d", rapid.IntRange(0, 2).Draw(t, "domain")),
			Memory: rapid.Int64Range(6, 12).Draw(t, "capacity"), AvailableBefore: true, AvailableAfter: true,
		}
		used := int64(0)
		for _, m := range before.Models {
			if used+m.MemoryTokens <= e.Memory && rapid.Bool().Draw(t, "loaded") {
				used += m.MemoryTokens
				e.Loaded = append(e.Loaded, api.LoadedModel{Model: m.Name, Version: m.Version})
			}
		}
		e.AvailableAfter = rapid.IntRange(0, 5).Draw(t, "usable") > 0
		in.Engines = append(in.Engines, e)
	}
	return in
}

// fleetState is what each engine has loaded: the version by model, by engine id. The tests apply steps to it, so
// that they don't depend on the planner's own state.
type fleetState map[string]map[string]string

// newFleetState returns the state before the plan of the engines that are available after the change.
func newFleetState(in plan.Input) fleetState {
	f := fleetState{}
	for _, e := range in.Engines {
		if !e.AvailableAfter {
			continue
		}
		f[e.ID] = map[string]string{}
		for _, l := range e.Loaded {
			f[e.ID][l.Model] = l.Version
		}
	}
	return f
}

// countServing returns the number of engines that have a model.
func (f fleetState) countServing(model string) int {
	n := 0
	for _, loaded := range f {
		if _, ok := loaded[model]; ok {
			n++
		}
	}
	return n
}

// countDomains returns the number of failure domains with an engine that has a model.
func (f fleetState) countDomains(in plan.Input, model string) int {
	seen := map[string]bool{}
	for _, e := range in.Engines {
		if _, ok := f[e.ID][model]; ok {
			seen[e.Domain] = true
		}
	}
	return len(seen)
}

// apply changes the state by a step.
func (f fleetState) apply(s api.Step) {
	if s.Kind == api.StepLoad {
		f[s.Upstream][s.Model] = s.Version
	} else if f[s.Upstream][s.Model] == s.Version {
		delete(f[s.Upstream], s.Model)
	}
}

// countServedBefore returns the number of engines that serve a model before the change.
func countServedBefore(in plan.Input, model string) int {
	n := 0
	for _, e := range in.Engines {
		if e.AvailableBefore && slices.ContainsFunc(e.Loaded, func(l api.LoadedModel) bool { return l.Model == model }) {
			n++
		}
	}
	return n
}

// checkWorstCase checks floors and failure domains of every model at the worst moment of a stage: all unloads have
// happened, no load has, and an engine whose version is being replaced serves neither version.
func checkWorstCase(t *rapid.T, in plan.Input, f, end fleetState, stage []api.Step) {
	remaining := fleetState{}
	for e, loaded := range f {
		remaining[e] = map[string]string{}
		for m, v := range loaded {
			remaining[e][m] = v
		}
	}
	for _, s := range stage {
		if s.Adapter == "" {
			delete(remaining[s.Upstream], s.Model) // unloaded, or possibly not served while it is replaced
		}
	}
	for _, m := range in.After.Models {
		floor := min(m.MinServing(), countServedBefore(in, m.Name))
		if n := remaining.countServing(m.Name); n < floor {
			t.Fatalf("stage %d leaves model %s on %d engines, its floor is %d", stage[0].Stage, m.Name, n, floor)
		}
		kept := min(2, floor, f.countDomains(in, m.Name), end.countDomains(in, m.Name))
		if n := remaining.countDomains(in, m.Name); n < kept {
			t.Fatalf("stage %d leaves model %s in %d failure domains of %d", stage[0].Stage, m.Name, n, kept)
		}
	}
}

// checkMemory fails the test if an engine's models need more memory than it has.
func checkMemory(t *rapid.T, in plan.Input, f fleetState) {
	size := map[string]int64{}
	for _, m := range append(slices.Clone(in.Before.Models), in.After.Models...) {
		size[m.Name+"@"+m.Version] = m.MemoryTokens
	}
	for _, e := range in.Engines {
		used := int64(0)
		for m, v := range f[e.ID] {
			used += size[m+"@"+v]
		}
		if used > e.Memory {
			t.Fatalf("engine %s uses %d of %d tokens of memory", e.ID, used, e.Memory)
		}
	}
}

// groupByStage splits steps into their stages.
func groupByStage(steps []api.Step) [][]api.Step {
	var all [][]api.Step
	for _, s := range steps {
		if len(all) == 0 || all[len(all)-1][0].Stage != s.Stage {
			all = append(all, nil)
		}
		all[len(all)-1] = append(all[len(all)-1], s)
	}
	return all
}

// Guards against a model that becomes unavailable during a version change, because all its engines unload it before
// one of them has loaded the new version. Checks each stage at its worst moment, independently of the planner's state.
func TestStepsKeepEveryServedModelAtItsFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		r := plan.Make(in)
		if r.Rejected != "" {
			if len(r.Steps) > 0 || in.Force {
				t.Fatalf("a rejected plan has steps, or a forced plan was rejected: %+v", r)
			}
			return
		}
		f, end := newFleetState(in), newFleetState(in)
		for _, s := range r.Steps {
			end.apply(s)
		}
		for _, stage := range groupByStage(r.Steps) {
			if r.Reason != plan.ForcedBelowFloor {
				checkWorstCase(t, in, f, end, stage)
			}
			for _, s := range stage {
				if _, available := f[s.Upstream]; !available {
					t.Fatalf("step for an engine that is not available: %+v", s)
				}
				f.apply(s)
				checkMemory(t, in, f)
			}
		}
		for _, p := range r.Target {
			if len(p.Loaded) != len(f[p.Upstream]) {
				t.Fatalf("engine %s ends with %v, its target is %v", p.Upstream, f[p.Upstream], p.Loaded)
			}
			for _, l := range p.Loaded {
				if f[p.Upstream][l.Model] != l.Version {
					t.Fatalf("engine %s ends without %v", p.Upstream, l)
				}
			}
		}
	})
}

// Checks that a plan made after a plan was carried out has no steps.
func TestSecondPlanHasNoSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		r := plan.Make(in)
		if r.Rejected != "" {
			return
		}
		again := plan.Input{Before: in.After, After: in.After, Force: in.Force}
		for _, e := range in.Engines {
			if i := slices.IndexFunc(r.Target, func(p api.Placement) bool { return p.Upstream == e.ID }); i >= 0 {
				e.Loaded = r.Target[i].Loaded
			}
			e.AvailableBefore = e.AvailableAfter
			again.Engines = append(again.Engines, e)
		}
		if second := plan.Make(again); len(second.Steps) > 0 {
			t.Fatalf("a second plan has steps %+v", second.Steps)
		}
	})
}

// Checks that the order of engines and models in the input doesn't change the plan.
func TestPlanIsIndependentOfInputOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		shuffled := in
		shuffled.Engines = rapid.Permutation(in.Engines).Draw(t, "engines")
		shuffled.After.Models = rapid.Permutation(in.After.Models).Draw(t, "models")
		if a, b := fmt.Sprint(plan.Make(in)), fmt.Sprint(plan.Make(shuffled)); a != b {
			t.Fatalf("the same fleet gives\n%s\nand\n%s", a, b)
		}
	})
}

// Checks that every returned reason is in Reasons.
func TestEveryReasonIsListed(t *testing.T) {
	seen := map[string]bool{}
	rapid.Check(t, func(t *rapid.T) {
		r := plan.Make(drawInput(t))
		if !slices.Contains(plan.Reasons, r.Reason) {
			t.Fatalf("reason %q is not listed", r.Reason)
		}
		seen[string(r.Reason)] = true
	})
	is.New(t).True(len(seen) >= 4) // the drawn inputs lead to most reasons
}
