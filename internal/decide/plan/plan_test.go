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

// One verdict on every run: the seed is fixed.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// drawInput makes a fleet of a few engines with something loaded, and an intent that wants something else.
func drawInput(t *rapid.T) plan.Input {
	var before, after api.Intent
	for i := range rapid.IntRange(1, 4).Draw(t, "models") {
		m := api.Model{
			Name: fmt.Sprintf("m%d", i), Version: "1",
			Memory: rapid.Int64Range(1, 6).Draw(t, "memory"), Gigabyte: rapid.Int64Range(0, 30).Draw(t, "gb"),
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
			if used+m.Memory <= e.Memory && rapid.Bool().Draw(t, "loaded") {
				used += m.Memory
				e.Loaded = append(e.Loaded, api.Loaded{Model: m.Name, Version: m.Version})
			}
		}
		e.AvailableAfter = rapid.IntRange(0, 5).Draw(t, "usable") > 0
		in.Engines = append(in.Engines, e)
	}
	return in
}

// world replays steps on the engines, apart from the planner's own bookkeeping.
type world map[string]map[string]string // engine -> model -> version

func newWorld(in plan.Input) world {
	w := world{}
	for _, e := range in.Engines {
		if !e.AvailableAfter {
			continue
		}
		w[e.ID] = map[string]string{}
		for _, l := range e.Loaded {
			w[e.ID][l.Model] = l.Version
		}
	}
	return w
}

func (w world) serving(model string) int {
	n := 0
	for _, loaded := range w {
		if _, ok := loaded[model]; ok {
			n++
		}
	}
	return n
}

func (w world) domains(in plan.Input, model string) int {
	seen := map[string]bool{}
	for _, e := range in.Engines {
		if _, ok := w[e.ID][model]; ok {
			seen[e.Domain] = true
		}
	}
	return len(seen)
}

func (w world) apply(s api.Step) {
	if s.Kind == api.StepLoad {
		w[s.Upstream][s.Model] = s.Version
	} else if w[s.Upstream][s.Model] == s.Version {
		delete(w[s.Upstream], s.Model)
	}
}

func served(in plan.Input, model string) int {
	n := 0
	for _, e := range in.Engines {
		if e.AvailableBefore && slices.ContainsFunc(e.Loaded, func(l api.Loaded) bool { return l.Model == model }) {
			n++
		}
	}
	return n
}

// worst checks every model at the worst moment of a stage: all unloads have happened, no load
// has, and an engine whose version is being replaced serves neither.
func worst(t *rapid.T, in plan.Input, w, end world, stage []api.Step) {
	left := world{}
	for e, loaded := range w {
		left[e] = map[string]string{}
		for m, v := range loaded {
			left[e][m] = v
		}
	}
	for _, s := range stage {
		if s.Adapter == "" {
			delete(left[s.Upstream], s.Model) // unloaded, or perhaps not served while it is replaced
		}
	}
	for _, m := range in.After.Models {
		floor := min(m.MinServing(), served(in, m.Name))
		if n := left.serving(m.Name); n < floor {
			t.Fatalf("stage %d leaves model %s on %d engines, its floor is %d", stage[0].Stage, m.Name, n, floor)
		}
		kept := min(2, floor, w.domains(in, m.Name), end.domains(in, m.Name))
		if n := left.domains(in, m.Name); n < kept {
			t.Fatalf("stage %d leaves model %s in %d failure domains of %d", stage[0].Stage, m.Name, n, kept)
		}
	}
}

func memoryHolds(t *rapid.T, in plan.Input, w world) {
	size := map[string]int64{}
	for _, m := range append(slices.Clone(in.Before.Models), in.After.Models...) {
		size[m.Name+"@"+m.Version] = m.Memory
	}
	for _, e := range in.Engines {
		used := int64(0)
		for m, v := range w[e.ID] {
			used += size[m+"@"+v]
		}
		if used > e.Memory {
			t.Fatalf("engine %s holds %d of %d", e.ID, used, e.Memory)
		}
	}
}

func stages(steps []api.Step) [][]api.Step {
	var all [][]api.Step
	for _, s := range steps {
		if len(all) == 0 || all[len(all)-1][0].Stage != s.Stage {
			all = append(all, nil)
		}
		all[len(all)-1] = append(all[len(all)-1], s)
	}
	return all
}

// A caller's model vanishes in the middle of a version change: all its engines unload before one of them
// has the new version. Each stage is judged at its worst moment, by bookkeeping apart from the planner's.
func TestStepsKeepEveryServedModelAtItsFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		r := plan.Make(in)
		if r.Rejected != "" {
			if len(r.Steps) > 0 || in.Force {
				t.Fatalf("a rejected plan has steps, or was forced: %+v", r)
			}
			return
		}
		w, end := newWorld(in), newWorld(in)
		for _, s := range r.Steps {
			end.apply(s)
		}
		for _, stage := range stages(r.Steps) {
			if r.Reason != plan.ForcedBelowFloor {
				worst(t, in, w, end, stage)
			}
			for _, s := range stage {
				if _, usable := w[s.Upstream]; !usable {
					t.Fatalf("step for an engine that is out: %+v", s)
				}
				w.apply(s)
				memoryHolds(t, in, w)
			}
		}
		for _, p := range r.Target {
			if len(p.Loaded) != len(w[p.Upstream]) {
				t.Fatalf("engine %s ends with %v, its target is %v", p.Upstream, w[p.Upstream], p.Loaded)
			}
			for _, l := range p.Loaded {
				if w[p.Upstream][l.Model] != l.Version {
					t.Fatalf("engine %s ends without %v", p.Upstream, l)
				}
			}
		}
	})
}

func TestSecondRunPlansNothing(t *testing.T) {
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
			t.Fatalf("a second run plans %+v", second.Steps)
		}
	})
}

func TestOrderOfInputDoesNotMatter(t *testing.T) {
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

func TestEveryReasonIsListed(t *testing.T) {
	seen := map[string]bool{}
	rapid.Check(t, func(t *rapid.T) {
		r := plan.Make(drawInput(t))
		if !slices.Contains(plan.Reasons, r.Reason) {
			t.Fatalf("reason %q is not listed", r.Reason)
		}
		seen[string(r.Reason)] = true
	})
	is.New(t).True(len(seen) >= 4) // the inputs drawn reach most reasons
}
