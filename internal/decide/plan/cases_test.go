package plan_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide/plan"
)

func engines(n int, memory int64, loaded ...api.Loaded) []plan.Engine {
	var all []plan.Engine
	for i := range n {
		all = append(all, plan.Engine{
			ID: fmt.Sprintf("e%d", i), Domain: fmt.Sprintf("d%d", i%3), Memory: memory,
			Loaded: loaded, AvailableBefore: true, AvailableAfter: true,
		})
	}
	return all
}

func model(version string, replicas, floor int) api.Model {
	return api.Model{Name: "m", Version: version, Replicas: replicas, Floor: floor, Memory: 10, Gigabyte: 40}
}

// A version is replaced in place with one load, an engine at a time where the floor needs the rest, and
// the cost is shown.
func TestVersionChangeInPlace(t *testing.T) {
	is := is.New(t)
	in := plan.Input{
		Before: api.Intent{Models: []api.Model{model("1", 3, 2)}}, After: api.Intent{Models: []api.Model{model("2", 3, 2)}},
		Engines: engines(3, 10, api.Loaded{Model: "m", Version: "1"}), WeightRate: 3600,
	}
	r := plan.Make(in)
	is.Equal(r.Reason, plan.Planned)
	is.Equal(r.Cost, api.Cost{Loads: 3, Gigabytes: 120, MinSeconds: 120})
	is.Equal(len(stages(r.Steps)), 3)
}

// Where all replicas are needed, a spare engine takes the new version first and the others follow one by
// one; a fleet without a spare is rejected in words, and forced only on demand.
func TestVersionChangeWithAllReplicasNeeded(t *testing.T) {
	is := is.New(t)
	in := plan.Input{
		Before: api.Intent{Models: []api.Model{model("1", 3, 3)}}, After: api.Intent{Models: []api.Model{model("2", 3, 3)}},
		Engines: engines(4, 10, api.Loaded{Model: "m", Version: "1"}),
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
	is.Equal(len(stages(r.Steps)), 3) // one engine at a time
}

// A floor of one does not let a version change take a whole model but one engine out at once.
func TestSwapsAreBoundedPerStage(t *testing.T) {
	is := is.New(t)
	in := plan.Input{
		Before: api.Intent{Models: []api.Model{model("1", 12, 1)}}, After: api.Intent{Models: []api.Model{model("2", 12, 1)}},
		Engines: engines(12, 10, api.Loaded{Model: "m", Version: "1"}),
	}
	r := plan.Make(in)
	is.Equal(r.Reason, plan.Planned)
	is.Equal(len(stages(r.Steps)), 4) // a quarter each
	is.Equal(r.Impact, []string{"model m: down to 9 of 12 engines on the way, its floor is 1; cached prefixes of the others are lost"})
}

// Replicas stand in distinct failure domains, and one that stood alone is moved.
func TestReplicasSpreadOverFailureDomains(t *testing.T) {
	is := is.New(t)
	in := plan.Input{After: api.Intent{Models: []api.Model{model("1", 3, 2)}}, Engines: engines(9, 10)}
	r := plan.Make(in)
	is.Equal(domains(in, r), 3)
	in.After.Models[0].Replicas = 2
	for _, i := range []int{0, 3} { // both in d0
		in.Engines[i].Loaded = []api.Loaded{{Model: "m", Version: "1"}}
	}
	r = plan.Make(in)
	is.Equal(domains(in, r), 2)
	is.Equal(len(r.Steps), 2) // one load, one unload
}

func domains(in plan.Input, r plan.Result) int {
	seen := map[string]bool{}
	for i, p := range r.Target {
		if len(p.Loaded) > 0 {
			seen[in.Engines[i].Domain] = true
		}
	}
	return len(seen)
}

func TestAdaptersFollowTheirModel(t *testing.T) {
	is := is.New(t)
	m := model("1", 1, 1)
	m.Adapters = []string{"b", "a"}
	in := plan.Input{After: api.Intent{Models: []api.Model{m}}, Engines: engines(1, 10, api.Loaded{Model: "m", Version: "1", Adapters: []string{"a", "old"}})}
	r := plan.Make(in)
	is.Equal(r.Steps, []api.Step{
		{Stage: 1, Upstream: "e0", Kind: api.StepLoad, Model: "m", Version: "1", Adapter: "b"},
		{Stage: 1, Upstream: "e0", Kind: api.StepUnload, Model: "m", Version: "1", Adapter: "old"},
	})
	is.Equal(r.Target[0].Loaded[0].Adapters, []string{"a", "b"})
}
