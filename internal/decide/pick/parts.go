package pick

import (
	"cmp"
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
)

const (
	// maxParts is the largest number of engines in a group.
	maxParts = 8
	// minPartTokens is the smallest free memory with which an engine may join a group, in tokens.
	minPartTokens = 32 * 1024
	// groupOverhead is the extra work of a group's engines for exchanging KV cache, as a share of their prefill work.
	groupOverhead = 0.25
)

// Part is a prompt's share of memory on one engine, in tokens.
type Part struct {
	Engine *Engine
	Tokens int64
}

// Plan states where a long prompt's memory may be reserved. It has one part for one engine, or one part for each engine
// of a group, sorted by engine ID.
type Plan struct {
	Parts    []Part
	Estimate Estimate
	Reason   decide.Reason // if Parts is empty: why no plan was found
}

// Reasons for a Plan, in addition to the reasons for a Choice.
const (
	OneEngine   decide.Reason = "one_engine"
	EngineGroup decide.Reason = "engine_group" // no single engine has enough memory
	Split       decide.Reason = "split"        // two engines finish the prefill sufficiently earlier than one
)

// offer describes what one engine can provide for a long prompt: free tokens of KV cache, the wait until it starts on
// the prompt, the time until the first token if it computes the whole prompt, and its prefill rate in tokens per
// second.
type offer struct {
	engine      *Engine
	free        int64
	wait        time.Duration
	firstToken  time.Duration
	prefillRate int64
}

// PlanLong returns where a long prompt may reserve its memory. It chooses the engine with the lowest predicted
// first-token time among those with enough free memory for the whole prompt. If there is none, it divides the prompt
// among the engines with the most free memory. If the profile allows splits, a prompt that fits one engine is divided
// between two engines when that is sufficiently faster.
//
// A plan relies on load reports that lag. The engines have the final say when they grant or refuse the reservations, so
// the instances together can't exceed an engine's memory.
func PlanLong(q *Query, pool []Candidate, gates []Filter) Plan {
	offers := collectOffers(q, pool, gates)
	need := q.Prompt.MemoryTokens()
	best := -1
	for i, o := range offers {
		if o.free >= need && (best < 0 || o.firstToken < offers[best].firstToken) {
			best = i
		}
	}
	if best < 0 {
		return planGroup(q, offers, need)
	}
	o := offers[best]
	single := Plan{
		Parts:    []Part{{o.engine, need}},
		Estimate: Estimate{q.Prompt.Tokens, o.wait, o.firstToken},
		Reason:   OneEngine,
	}
	if twoEngines := planSplit(q, offers, need); twoEngines.sufficientlyFaster(q, &single) {
		return twoEngines
	}
	return single
}

// sufficientlyFaster reports whether the plan's first token comes so much earlier than that of the other plan, which
// uses fewer engines, that it outweighs the overhead of splitting.
func (p *Plan) sufficientlyFaster(q *Query, other *Plan) bool {
	ratio := q.Profile.MaxSplitRatio
	return ratio > 0 && len(p.Parts) > 0 && float64(p.Estimate.FirstToken) <= ratio*float64(other.Estimate.FirstToken)
}

// planSplit returns a plan that divides a prompt between two engines, though one could hold it. It uses the two engines
// with the shortest wait among those with enough free memory for half of the prompt. The plan is empty if the profile
// allows no splits or there are no two such engines.
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
	parts := divide(pair, need)
	return Plan{Parts: parts, Estimate: groupEstimate(q, pair, parts), Reason: Split}
}

// collectOffers returns the offers of the engines in the pool. It leaves out engines that a gate removes, that have no
// recent load report, or that were tried for this request.
func collectOffers(q *Query, pool []Candidate, gates []Filter) []offer {
	offers := make([]offer, 0, len(pool))
	for i := range pool {
		c := &pool[i]
		if _, ok := passes(gates, q, c); !ok || !c.HasFreshReport(q.Now) || !NotExcluded.Keep(q, c) {
			continue
		}
		e := Predict(q, c)
		rate, _ := c.workAhead(q)
		offers = append(offers, offer{c.Engine, c.FreeMemory(q), e.Wait, e.FirstToken, rate})
	}
	return offers
}

// planGroup returns a plan that divides the prompt among the engines with the most free memory: as few as can hold it,
// and one more at a time while that is sufficiently faster. Each engine gets an equal share if its memory allows, so
// that no engine computes much longer than the others.
func planGroup(q *Query, offers []offer, need int64) Plan {
	slices.SortStableFunc(offers, func(a, b offer) int { return cmp.Compare(b.free, a.free) })
	best := Plan{Reason: NoMemory}
	for n := 2; n <= min(maxParts, len(offers)); n++ {
		if offers[n-1].free < minPartTokens {
			break
		}
		parts := divide(offers[:n], need)
		if parts == nil {
			continue
		}
		plan := Plan{Parts: parts, Estimate: groupEstimate(q, offers[:n], parts), Reason: EngineGroup}
		if len(best.Parts) > 0 && !plan.sufficientlyFaster(q, &best) {
			break
		}
		best = plan
	}
	return best
}

// divide divides need tokens among the offers, which are sorted by free memory in descending order. It starts with the
// smallest offer, so that the larger ones make up for what it lacks. It returns nil if the offers can't hold the
// prompt.
func divide(offers []offer, need int64) []Part {
	parts := make([]Part, 0, len(offers))
	for i := len(offers) - 1; i >= 0; i-- {
		share := (need + int64(i)) / int64(i+1)
		tokens := min(share, offers[i].free)
		parts = append(parts, Part{offers[i].engine, tokens})
		need -= tokens
	}
	if need > 0 {
		return nil
	}
	slices.SortFunc(parts, func(a, b Part) int { return cmp.Compare(a.Engine.ID, b.Engine.ID) })
	return parts
}

// groupEstimate returns the estimate for a prompt divided into parts among the engines of the offers. The first token
// comes when the slowest engine has computed its part.
func groupEstimate(q *Query, offers []offer, parts []Part) Estimate {
	e := Estimate{Cost: q.Prompt.Tokens}
	for _, o := range offers {
		i := slices.IndexFunc(parts, func(p Part) bool { return p.Engine == o.engine })
		work := float64(parts[i].Tokens) * (1 + groupOverhead)
		e.Wait = max(e.Wait, o.wait)
		e.FirstToken = max(e.FirstToken, o.wait+cost.PrefillTime(int64(work), o.prefillRate))
	}
	return e
}
