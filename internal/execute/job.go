package execute

import (
	"slices"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide/order"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	upstream "github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// job is a confirmed plan, cut into shards.
type job struct {
	plan   api.Plan
	stages int
	steps  map[string][]api.Step // by engine, in order
	target map[string]*api.Placement
	shards map[int]map[int]bool // by shard with steps: the stages that it has steps in
}

func newJob(p api.Plan) *job {
	j := &job{
		plan: p, stages: p.LastStage(), steps: map[string][]api.Step{},
		target: map[string]*api.Placement{}, shards: map[int]map[int]bool{},
	}
	for _, s := range p.Steps {
		j.steps[s.Upstream] = append(j.steps[s.Upstream], s)
		shard := ShardOf(s.Upstream)
		if j.shards[shard] == nil {
			j.shards[shard] = map[int]bool{}
		}
		j.shards[shard][s.Stage] = true
	}
	for i := range p.Target {
		j.target[p.Target[i].Upstream] = &p.Target[i]
	}
	return j
}

// verify is the stage after the last: all steps are done, and every engine of a shard is compared with
// the whole target.
func (j *job) verify() int { return j.stages + 1 }

// concerns tells whether an engine has to be read in a stage: it has steps in it, it is to be verified, or
// by what it was last seen to have it is not as it should be.
func (j *job) concerns(engine string, stage int, seen []upstream.LoadedModel) bool {
	target := j.target[engine]
	switch {
	case target == nil:
		return false // it came after the plan was made, and is left as it is
	case stage == j.verify():
		return true
	case stage > j.verify():
		return !order.MatchesPlacement(*target, seen)
	}
	if slices.ContainsFunc(j.steps[engine], func(s api.Step) bool { return s.Stage == stage }) {
		return true
	}
	return order.IsBehind(*target, j.steps[engine], stage, seen)
}

// stage gives the stage to work on: the first that not every shard with steps has recorded as done.
// verify()+1: the plan is done.
func (j *job) stage(r records) int {
	lowest := j.verify() + 1
	for shard, stages := range j.shards {
		done := 0
		if rec := r.shards[shard]; rec.PlanID == j.plan.ID {
			done = rec.DoneStage
		}
		// A shard records only the stages in which it has steps, and the verification.
		for done < j.stages && !stages[done+1] {
			done++
		}
		lowest = min(lowest, done+1)
	}
	return lowest
}

// records tells whether a shard has to record a stage.
func (j *job) records(shard, stage int) bool {
	stages, has := j.shards[shard]
	return has && (stages[stage] || stage == j.verify())
}

// loadedOf gives what an engine was last seen to have, by model its version.
type loadedOf func(u *fleet.Upstream) map[string]string

// services tells for each model how it is served now, and which is the first engine that deviates in it.
func (j *job) services(v *fleet.View, loaded loadedOf, stage int) (map[string]order.ModelService, map[string]string) {
	models, first := map[string]order.ModelService{}, map[string]string{}
	for _, u := range v.Upstreams {
		if u.Kind != fleet.Engine || !u.AcceptsWork() {
			continue
		}
		id := string(u.ID)
		for model, version := range loaded(u) {
			m := models[model]
			m.Serving++
			switch j.role(id, model, version, stage) {
			case stays:
				m.Stable++
			case deviates:
				if first[model] == "" || id < first[model] {
					first[model] = id
				}
			}
			models[model] = m
		}
	}
	return models, first
}

// role is an engine's part in the serving of a model during a stage.
type role uint8

const (
	stays    role = iota // goes on serving it as it does now
	changes              // has a step on it in this stage that is not done
	deviates             // has another version, or has it at all, against what earlier stages or the target say
)

func (j *job) role(engine, model, version string, stage int) role {
	if stage > j.stages {
		t := j.target[engine]
		wanted := t != nil && slices.ContainsFunc(t.Loaded, func(l api.LoadedModel) bool { return l.Model == model && l.Version == version })
		if wanted {
			return stays
		}
		return deviates
	}
	last := slices.IndexFunc(j.steps[engine], func(s api.Step) bool {
		return s.Stage <= stage && s.Model == model && s.Adapter == ""
	})
	if last < 0 {
		return stays
	}
	s := j.steps[engine][last]
	done := s.Kind == api.StepLoad && s.Version == version
	switch {
	case done:
		return stays
	case s.Stage == stage:
		return changes
	default:
		return deviates
	}
}

// gigabytes is the size of a model version's weights by the plan's intent.
func (j *job) gigabytes(model, version string) int64 {
	for _, m := range j.plan.After.Intent.Models {
		if m.Name == model && m.Version == version {
			return m.WeightGB
		}
	}
	return 0
}

// touches tells whether the plan has steps in one of the shards.
func (j *job) touches(shards []int) bool {
	return slices.ContainsFunc(shards, func(n int) bool {
		return j.shards[n] != nil
	})
}

// Progress sums up how far a plan is, by a list of the objects of Kind.
func Progress(p api.Plan, l wire.List) (*api.Progress, error) {
	r, err := decodeRecords(l)
	if err != nil {
		return nil, err
	}
	return newJob(p).progress(r), nil
}

// progress sums up how far the plan is, by what the shards have recorded.
func (j *job) progress(r records) *api.Progress {
	stage := j.stage(r)
	p := &api.Progress{Steps: len(j.plan.Steps), Stage: min(stage, j.stages), Stages: j.stages}
	for _, s := range j.plan.Steps {
		rec := r.shards[ShardOf(s.Upstream)]
		if rec.PlanID == j.plan.ID && rec.DoneStage >= s.Stage {
			p.StepsDone++
		}
	}
	return p
}
