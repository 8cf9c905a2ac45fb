package bench

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/decide/pick"
)

// direct is a baseline policy. It sends every prompt at once to the engine that the pipeline chooses, all with the
// same priority, and the prompt waits there. It refuses no request. A prompt for a group of engines reserves memory on
// several engines, chosen one after the other, and tries again until its deadline.
type direct struct {
	instance *instance
	profile  pick.Profile
	pipeline pick.Pipeline
	pool     *pick.Pool
}

// newDirect returns a direct policy for an instance. It considers every engine of the fleet.
func newDirect(inst *instance, pipeline pick.Pipeline) *direct {
	return &direct{instance: inst, pipeline: pipeline, pool: pick.NewPool(inst.views, nil, inst.sim.model().KVCacheTokens), profile: pick.Profile{RandomChoices: len(inst.views)}}
}

// RoundRobin returns a pipeline that chooses the engines in turn.
func RoundRobin() pick.Pipeline {
	next := -1
	return pick.Pipeline{Picker: func(_ *pick.Query, pool []pick.Candidate, at []int) []int {
		next = (next + 1) % len(pool)
		return append(at, next)
	}}
}

// LeastLoaded returns a pipeline that chooses the engine with the fewest requests in its last report.
func LeastLoaded() pick.Pipeline {
	return pick.Pipeline{
		Picker: pick.All,
		Scorers: []pick.Scorer{{Name: "requests", Score: func(_ *pick.Query, c *pick.Candidate) time.Duration {
			if r := c.Report(); r != nil {
				return time.Duration(r.Running + r.Queued)
			}
			return 0
		}}},
	}
}

// query returns the pipeline's input for a request.
func (d *direct) query(r *request) *pick.Query {
	return &pick.Query{
		Prompt: &r.prompt, Class: r.class, Now: d.instance.sim.clock.Now(), Rand: d.instance.rng,
		Instances: d.instance.sim.config.Instances, Profile: &d.profile,
	}
}

// submit implements policy. It dispatches the request, or starts its reservations if it needs a group of engines.
func (d *direct) submit(r *request) {
	if r.class == cost.Group {
		d.reserveGroup(r)
		return
	}
	choice := d.pipeline.Pick(d.query(r), d.pool.All)
	r.dispatch(d.instance.byView[choice.Engine], false)
}

// reserveGroup reserves equal parts on as many engines as the prompt needs if it uses at most maxFill of each engine's
// memory. The rest is left to short prompts.
func (d *direct) reserveGroup(r *request) {
	const maxFill = 0.8
	q := d.query(r)
	n := 1 + int(float64(r.prompt.MemoryTokens())/(maxFill*float64(d.pool.EngineMemory)))
	var parts []pick.Part
	for len(parts) < n {
		choice := d.pipeline.Pick(q, d.withoutParts(parts))
		parts = append(parts, pick.Part{Engine: choice.Engine, Tokens: r.prompt.MemoryTokens()/int64(n) + 1})
	}
	r.reserve(parts)
}

// withoutParts returns the candidates whose engines have none of the parts.
func (d *direct) withoutParts(parts []pick.Part) []pick.Candidate {
	var rest []pick.Candidate
	for _, c := range d.pool.All {
		used := false
		for _, p := range parts {
			used = used || p.Engine == c.Engine
		}
		if !used {
			rest = append(rest, c)
		}
	}
	return rest
}

// reservationResult implements policy. After a refusal it tries other reservations, half of reserveTimeout later.
func (d *direct) reservationResult(r *request, granted bool) {
	if granted {
		r.dispatchGroup()
		return
	}
	d.instance.sim.clock.After(reserveTimeout/2, func() {
		if !r.done() {
			d.reserveGroup(r)
		}
	})
}

func (d *direct) requestEnded(*request) {}
func (d *direct) processQueues()        {}
