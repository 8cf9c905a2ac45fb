package execute

import (
	"slices"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide/order"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	upstream "github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// job is a confirmed plan, divided into shards.
type job struct {
	plan        api.Plan
	stages      int
	steps       map[string][]api.Step // by engine, in order
	targets     map[string]*api.Placement
	shardStages map[int]map[int]bool // by shard with steps: the stages in which it has steps
}

// newJob returns the job of a plan.
func newJob(p api.Plan) *job {
	j := &job{
		plan: p, stages: p.LastStage(), steps: map[string][]api.Step{},
		targets: map[string]*api.Placement{}, shardStages: map[int]map[int]bool{},
	}
	for _, s := range p.Steps {
		j.steps[s.Upstream] = append(j.steps[s.Upstream], s)
		shard := ShardOf(s.Upstream)
		if j.shardStages[shard] == nil {
			j.shardStages[shard] = map[int]bool{}
		}
		j.shardStages[shard][s.Stage] = true
	}
	for i := range p.Target {
		j.targets[p.Target[i].Upstream] = &p.Target[i]
	}
	return j
}

// verifyStage returns the number of the stage after the last one. In it, all steps are done, and each engine is
// compared with its whole target. The number after it stands for a plan that is done.
func (j *job) verifyStage() int { return j.stages + 1 }

// needsReading reports whether an engine has to be read in a stage: it has steps in the stage, it is to be verified, or
// the models in seen, which it reported last, differ from those that it should have.
func (j *job) needsReading(engine string, stage int, seen []upstream.LoadedModel) bool {
	target := j.targets[engine]
	switch {
	case target == nil:
		return false // it was added after the plan was made; the plan doesn't change it
	case stage == j.verifyStage():
		return true
	case stage > j.verifyStage():
		return !order.MatchesPlacement(*target, seen)
	}
	if slices.ContainsFunc(j.steps[engine], func(s api.Step) bool { return s.Stage == stage }) {
		return true
	}
	return order.IsBehind(*target, j.steps[engine], stage, seen)
}

// currentStage returns the stage to execute: the first one that not every shard with steps has recorded as done. It
// returns verifyStage()+1 if the plan is done.
func (j *job) currentStage(r records) int {
	lowest := j.verifyStage() + 1
	for shard, stages := range j.shardStages {
		done := 0
		if rec := r.shards[shard]; rec.PlanID == j.plan.ID {
			done = rec.DoneStage
		}
		// A shard records only the stages in which it has steps, and the verification. The others count as done.
		for done < j.stages && !stages[done+1] {
			done++
		}
		lowest = min(lowest, done+1)
	}
	return lowest
}

// mustRecord reports whether a shard has to record a stage as done.
func (j *job) mustRecord(shard, stage int) bool {
	stages, found := j.shardStages[shard]
	return found && (stages[stage] || stage == j.verifyStage())
}

// loadedFunc returns the versions of the models that an engine reported last, by model.
type loadedFunc func(u *fleet.Upstream) map[string]string

// services returns, by model, how the model is served now, and the lowest id of the engines that deviate in it. It
// counts engines that accept new work.
func (j *job) services(v *fleet.View, loaded loadedFunc, stage int) (map[string]order.ModelService, map[string]string) {
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
			case roleStable:
				m.Stable++
			case roleDeviating:
				if first[model] == "" || id < first[model] {
					first[model] = id
				}
			}
			models[model] = m
		}
	}
	return models, first
}

// role describes how a stage affects the serving of a model by an engine.
type role uint8

const (
	roleStable    role = iota // the engine continues to serve the model as it does now
	rolePending               // the engine has a step for the model in this stage that is not done
	roleDeviating             // the model or its version differs from the result of earlier stages or from the target
)

// role returns the role of an engine that has a version of a model, in a stage.
func (j *job) role(engine, model, version string, stage int) role {
	if stage > j.stages {
		t := j.targets[engine]
		wanted := t != nil && slices.ContainsFunc(t.Loaded, func(l api.LoadedModel) bool { return l.Model == model && l.Version == version })
		if wanted {
			return roleStable
		}
		return roleDeviating
	}
	i := slices.IndexFunc(j.steps[engine], func(s api.Step) bool {
		return s.Stage <= stage && s.Model == model && s.Adapter == ""
	})
	if i < 0 {
		return roleStable
	}
	s := j.steps[engine][i]
	done := s.Kind == api.StepLoad && s.Version == version
	switch {
	case done:
		return roleStable
	case s.Stage == stage:
		return rolePending
	default:
		return roleDeviating
	}
}

// weightGB returns the size in GB of a model version's weights according to the plan's intent, or 0 if it isn't in the
// intent.
func (j *job) weightGB(model, version string) int64 {
	for _, m := range j.plan.After.Intent.Models {
		if m.Name == model && m.Version == version {
			return m.WeightGB
		}
	}
	return 0
}

// hasStepsIn reports whether the plan has steps in one of the shards.
func (j *job) hasStepsIn(shards []int) bool {
	return slices.ContainsFunc(shards, func(n int) bool {
		return j.shardStages[n] != nil
	})
}

// Progress returns the progress of a plan, from a list of all objects of ObjectKind.
func Progress(p api.Plan, l wire.List) (*api.Progress, error) {
	r, err := decodeRecords(l)
	if err != nil {
		return nil, err
	}
	return newJob(p).progress(r), nil
}

// progress returns the progress of the plan according to the shards' records.
func (j *job) progress(r records) *api.Progress {
	stage := j.currentStage(r)
	p := &api.Progress{Steps: len(j.plan.Steps), Stage: min(stage, j.stages), Stages: j.stages}
	for _, s := range j.plan.Steps {
		rec := r.shards[ShardOf(s.Upstream)]
		if rec.PlanID == j.plan.ID && rec.DoneStage >= s.Stage {
			p.StepsDone++
		}
	}
	return p
}
