package plan_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide/plan"
)

// engines returns n engines in three failure domains, all with the same memory and loaded models.
func engines(n int, memory int64, loaded ...api.LoadedModel) []plan.Engine {
	var all []plan.Engine
	for i := range n {
		all = append(all, plan.Engine{
			ID: fmt.Sprintf("e%d", i), Domain: fmt.Sprintf("d%d", i%3), Memory: memory,
			Loaded: loaded, AvailableBefore: true, AvailableAfter: true,
		})
	}
	return all
}

// model returns the intent for model m.
func model(version string, replicas, floor int) api.Model {
	return api.Model{Name: "m", Version: version, Replicas: replicas, Floor: floor, MemoryTokens: 10, WeightGB: 40}
}

// Checks that a version is replaced in place with one load per engine, one engine at a time if the floor needs the
// others, and that the plan contains the cost.
func TestVersionChangeInPlace(t *testing.T) {
	is := is.New(t)
	in := plan.Input{
		Before: api.Intent{Models: []api.Model{model("1", 3, 2)}}, After: api.Intent{Models: []api.Model{model("2", 3, 2)}},
		Engines: engines(3, 10, api.LoadedModel{Model: "m", Version: "1"}), WeightRate: 3600,
	}
	r := plan.Make(in)
	is.Equal(r.Reason, plan.Planned)
	is.Equal(r.Cost, api.Cost{Loads: 3, WeightStoreGB: 120, MinSeconds: 120})
	is.Equal(len(groupByStage(r.Steps)), 3)
}

// Checks that, if the floor needs all replicas, a spare engine loads the new version first. Without a spare engine
// the plan is rejected, unless it is forced.
func TestVersionChangeWithAllReplicasNeeded(t *testing.T) {
	is := is.New(t)
	in := plan.Input{
		Before: api.Intent{Models: []api.Model{model("1", 3, 3)}}, After: api.Intent{Models: []api.Model{model("2", 3, 3)}},
		Engines: engines(4, 10, api.LoadedModel{Model: "m", Version: "1"}),
	}
	in.Engines[3].Loaded = nil
	r := plan.Make(in)
	is.Equal(r.Reason, plan.Planned)
	is.Equal(r.Steps[0].Upstream, "e3")

	in.Engines = in.Engines[:3]
	r = plan.Make(in)
	is.Equal(r.Reason, plan.NoSafeOrder)
	is.Equal(len(r.Steps), 0)
	in.Force = true
	r = plan.Make(in)
	is.Equal(r.Reason, plan.ForcedBelowFloor)
	is.Equal(len(groupByStage(r.Steps)), 3) // one engine at a time
}

// Checks that a version change with a floor of one doesn't take all engines but one out of service at once.
func TestSwapsPerStageAreLimited(t *testing.T) {
	is := is.New(t)
	in := plan.Input{
		Before: api.Intent{Models: []api.Model{model("1", 12, 1)}}, After: api.Intent{Models: []api.Model{model("2", 12, 1)}},
		Engines: engines(12, 10, api.LoadedModel{Model: "m", Version: "1"}),
	}
	r := plan.Make(in)
	is.Equal(r.Reason, plan.Planned)
	is.Equal(len(groupByStage(r.Steps)), 4) // a quarter of the replicas in each
	is.Equal(r.Impact, []string{"model m: down to 9 of 12 engines on the way, its floor is 1; cached prefixes of the others are lost"})
}

// Checks that replicas are placed in different failure domains, and that one of two replicas in the same failure
// domain is moved to another.
func TestReplicasSpreadOverFailureDomains(t *testing.T) {
	is := is.New(t)
	in := plan.Input{After: api.Intent{Models: []api.Model{model("1", 3, 2)}}, Engines: engines(9, 10)}
	r := plan.Make(in)
	is.Equal(countTargetDomains(in, r), 3)
	in.After.Models[0].Replicas = 2
	for _, i := range []int{0, 3} { // both in d0
		in.Engines[i].Loaded = []api.LoadedModel{{Model: "m", Version: "1"}}
	}
	r = plan.Make(in)
	is.Equal(countTargetDomains(in, r), 2)
	is.Equal(len(r.Steps), 2) // one load, one unload
}

// countTargetDomains returns the number of failure domains in which the target places models.
func countTargetDomains(in plan.Input, r plan.Result) int {
	seen := map[string]bool{}
	for i, p := range r.Target {
		if len(p.Loaded) > 0 {
			seen[in.Engines[i].Domain] = true
		}
	}
	return len(seen)
}

// Checks that the adapters of a loaded model are changed to those of the intent.
func TestAdaptersAreLoadedAndUnloaded(t *testing.T) {
	is := is.New(t)
	m := model("1", 1, 1)
	m.Adapters = []string{"b", "a"}
	in := plan.Input{After: api.Intent{Models: []api.Model{m}}, Engines: engines(1, 10, api.LoadedModel{Model: "m", Version: "1", Adapters: []string{"a", "old"}})}
	r := plan.Make(in)
	is.Equal(r.Steps, []api.Step{
		{Stage: 1, Upstream: "e0", Kind: api.StepLoad, Model: "m", Version: "1", Adapter: "b"},
		{Stage: 1, Upstream: "e0", Kind: api.StepUnload, Model: "m", Version: "1", Adapter: "old"},
	})
	is.Equal(r.Target[0].Loaded[0].Adapters, []string{"a", "b"})
}
