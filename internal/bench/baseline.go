package bench

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/decide/pick"
)

// direct is a baseline: every prompt is sent at once to the engine that the pipeline names, all with the
// same priority, and waits there. Nothing is refused. Prompts for a group of engines reserve on the
// engines named one after the other, and try again until their time is over.
type direct struct {
	e        *entry
	profile  pick.Profile
	pipeline pick.Pipeline
	pool     *pick.Pool
}

func newDirect(e *entry, pipeline pick.Pipeline) *direct {
	return &direct{e: e, pipeline: pipeline, pool: pick.NewPool(e.views, nil, e.sim.model().KVCacheTokens), profile: pick.Profile{RandomChoices: len(e.views)}}
}

// RoundRobin takes the engines in turn.
func RoundRobin() pick.Pipeline {
	next := -1
	return pick.Pipeline{Picker: func(_ *pick.Query, pool []pick.Candidate, at []int) []int {
		next = (next + 1) % len(pool)
		return append(at, next)
	}}
}

// LeastLoaded takes the engine with the fewest requests by its last report.
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

func (d *direct) query(r *request) *pick.Query {
	return &pick.Query{
		Prompt: &r.prompt, Class: r.class, Now: d.e.sim.clock.Now(), Rand: d.e.rng,
		Instances: d.e.sim.config.Instances, Profile: &d.profile,
	}
}

func (d *direct) offer(r *request) {
	if r.class == cost.Group {
		d.group(r)
		return
	}
	choice := d.pipeline.Pick(d.query(r), d.pool.All)
	r.dispatch(d.e.byView[choice.Engine], false)
}

// group reserves equal parts on as many engines as the prompt needs, with room to spare for short ones.
func (d *direct) group(r *request) {
	const room = 0.8
	q := d.query(r)
	n := 1 + int(float64(r.prompt.MemoryTokens())/(room*float64(d.pool.EngineMemory)))
	var parts []pick.Part
	for len(parts) < n {
		choice := d.pipeline.Pick(q, d.others(parts))
		parts = append(parts, pick.Part{Engine: choice.Engine, Tokens: r.prompt.MemoryTokens()/int64(n) + 1})
	}
	r.reserve(parts)
}

func (d *direct) others(parts []pick.Part) []pick.Candidate {
	var rest []pick.Candidate
	for _, c := range d.pool.All {
		taken := false
		for _, p := range parts {
			taken = taken || p.Engine == c.Engine
		}
		if !taken {
			rest = append(rest, c)
		}
	}
	return rest
}

func (d *direct) reserved(r *request, granted bool) {
	if granted {
		r.dispatchGroup()
		return
	}
	d.e.sim.clock.After(reserveWait/2, func() {
		if !r.over() {
			d.group(r)
		}
	})
}

func (d *direct) ended(*request) {}
func (d *direct) wake()          {}
