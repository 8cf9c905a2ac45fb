package pick

import (
	"cmp"
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
)

const (
	// maxParts bounds the engines of a group.
	maxParts = 8
	// minPart is the least memory worth a part, in tokens.
	minPart = 32 * 1024
	// partsOverhead is what a group's engines lose by exchanging KV cache, as a share of their work.
	partsOverhead = 0.25
)

// Part is the memory that a prompt takes on one engine.
type Part struct {
	Engine *Engine
	Tokens int64
}

// Plan is where a long prompt's memory may be reserved: one part, or one for each engine of a group, in
// engine order.
type Plan struct {
	Parts    []Part
	Estimate Estimate
	Reason   decide.Reason // why there is no plan, where Parts is empty
}

// Reasons of a plan for long prompts besides those of a choice.
const (
	OneEngine   decide.Reason = "one_engine"
	EngineGroup decide.Reason = "engine_group" // no engine has room for all of it
	Split       decide.Reason = "split"        // two engines are through so much earlier than one
)

// offer is what one engine can give a long prompt.
type offer struct {
	engine *Engine
	free   int64
	wait   time.Duration
	first  time.Duration
	rate   int64
}

// PlanLong says where a prompt of the lanes may reserve its memory: on the engine with the lowest
// predicted first-token time that has room for all of it, else in parts on the engines with the most
// room. A plan is made from lagging reports; the engines' answers to the reservations decide, so that
// the instances together can't put an engine over its memory.
func PlanLong(q *Query, pool []Candidate, gates []Filter) Plan {
	offers := collect(q, pool, gates)
	need := q.Prompt.MemoryTokens()
	best := -1
	for i, o := range offers {
		if o.free >= need && (best < 0 || o.first < offers[best].first) {
			best = i
		}
	}
	if best < 0 {
		return planGroup(q, offers, need)
	}
	o := offers[best]
	single := Plan{
		Parts:    []Part{{o.engine, need}},
		Estimate: Estimate{q.Prompt.Tokens, o.wait, o.first},
		Reason:   OneEngine,
	}
	if split := planSplit(q, offers, need); split.better(q, &single) {
		return split
	}
	return single
}

// better tells whether the first token comes so much earlier than by the other plan, which needs fewer
// engines, that what engines lose by splitting is worth it.
func (p *Plan) better(q *Query, other *Plan) bool {
	gain := q.Profile.MaxSplitRatio
	return gain > 0 && len(p.Parts) > 0 && float64(p.Estimate.FirstToken) <= gain*float64(other.Estimate.FirstToken)
}

// planSplit cuts a prompt that one engine could hold over the two engines that would be through first.
func planSplit(q *Query, offers []offer, need int64) Plan {
	if q.Profile.MaxSplitRatio <= 0 {
		return Plan{}
	}
	half := (need + 1) / 2
	var pair []offer
	for _, o := range offers {
		if o.free < half {
			continue
		}
		pair = append(pair, o)
	}
	if len(pair) < 2 {
		return Plan{}
	}
	slices.SortStableFunc(pair, func(a, b offer) int { return int(a.wait - b.wait) })
	pair = pair[:2]
	slices.SortStableFunc(pair, func(a, b offer) int { return cmp.Compare(b.free, a.free) })
	parts := split(pair, need)
	return Plan{Parts: parts, Estimate: groupEstimate(q, pair, parts), Reason: Split}
}

func collect(q *Query, pool []Candidate, gates []Filter) []offer {
	offers := make([]offer, 0, len(pool))
	for i := range pool {
		c := &pool[i]
		if _, ok := keep(gates, q, c); !ok || !c.HasFreshReport(q.Now) || !NotExcluded.Keep(q, c) {
			continue
		}
		e := Predict(q, c)
		rate, _ := c.ahead(q)
		offers = append(offers, offer{c.Engine, c.FreeMemory(q), e.Wait, e.FirstToken, rate})
	}
	return offers
}

// planGroup takes the engines with the most room until the prompt fits, and one more while that pays, each with an equal share where
// its room allows that, so that no member computes much longer than the others.
func planGroup(q *Query, offers []offer, need int64) Plan {
	slices.SortStableFunc(offers, func(a, b offer) int { return cmp.Compare(b.free, a.free) })
	best := Plan{Reason: NoMemory}
	for n := 2; n <= min(maxParts, len(offers)); n++ {
		if offers[n-1].free < minPart {
			break
		}
		parts := split(offers[:n], need)
		if parts == nil {
			continue
		}
		plan := Plan{Parts: parts, Estimate: groupEstimate(q, offers[:n], parts), Reason: EngineGroup}
		if len(best.Parts) > 0 && !plan.better(q, &best) {
			break
		}
		best = plan
	}
	return best
}

// split cuts need over the offers, sorted by room, from the smallest; nil where it does not fit.
func split(offers []offer, need int64) []Part {
	parts := make([]Part, 0, len(offers))
	for i := len(offers) - 1; i >= 0; i-- {
		share := (need + int64(i)) / int64(i+1)
		take := min(share, offers[i].free)
		parts = append(parts, Part{offers[i].engine, take})
		need -= take
	}
	if need > 0 {
		return nil
	}
	slices.SortFunc(parts, func(a, b Part) int { return cmp.Compare(a.Engine.ID, b.Engine.ID) })
	return parts
}

func groupEstimate(q *Query, offers []offer, parts []Part) Estimate {
	e := Estimate{Cost: q.Prompt.Tokens}
	for _, o := range offers {
		i := slices.IndexFunc(parts, func(p Part) bool { return p.Engine == o.engine })
		work := float64(parts[i].Tokens) * (1 + partsOverhead)
		e.Wait = max(e.Wait, o.wait)
		e.FirstToken = max(e.FirstToken, o.wait+cost.PrefillTime(int64(work), o.rate))
	}
	return e
}
