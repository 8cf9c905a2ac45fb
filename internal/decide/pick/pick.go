package pick

import (
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// Reasons of a choice.
const (
	BestPredicted  decide.Reason = "best_predicted" // lowest predicted first-token time of those looked at
	CachedPrefix   decide.Reason = "cached_prefix"  // the best, and a cached prefix is part of why
	OnlyCandidate  decide.Reason = "only_candidate"
	NoEngine       decide.Reason = "no_engine"         // the pool is empty, or all were tried before
	NoMemory       decide.Reason = "no_memory"         // no engine has the memory now
	StaleReports   decide.Reason = "reports_stale"     // chosen though its report is stale: none is fresh
	RejectedByGate decide.Reason = "taken_out_by_gate" // the caller's own filters took all out
)

// Reasons lists all of them.
var Reasons = []decide.Reason{BestPredicted, CachedPrefix, OnlyCandidate, NoEngine, NoMemory, StaleReports, RejectedByGate}

// Filter takes engines out. Reason stands for a choice that failed because of this filter.
type Filter struct {
	Reason decide.Reason
	Keep   func(q *Query, c *Candidate) bool
}

// Scorer adds to an engine's score; the lowest sum is chosen.
type Scorer struct {
	Name  string
	Score func(q *Query, c *Candidate) time.Duration
}

// Picker gives the indexes of the engines to look at, appended to at.
type Picker func(q *Query, pool []Candidate, at []int) []int

// Pipeline is a routing policy made of small parts.
type Pipeline struct {
	Gates   []Filter // the caller's own; they hold for plans of long prompts too
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
}

// Choice is the outcome of a pipeline.
type Choice struct {
	Engine   *Engine // nil where none can take the prompt
	Estimate Estimate
	Score    time.Duration
	Scored   int // engines that were scored
	Reason   decide.Reason
}

// lookMax bounds the engines that a picker may name.
const lookMax = 32

// Pick chooses an engine of the pool. Where all that the picker named are taken out, the rest is gone
// through from a random place, and the first one kept is taken.
func (p *Pipeline) Pick(q *Query, pool []Candidate) Choice {
	if len(pool) == 0 {
		return Choice{Reason: NoEngine}
	}
	best := Choice{Reason: NoEngine}
	for _, i := range p.Picker(q, pool, q.space[:0]) {
		p.look(q, &pool[i], &best)
	}
	if best.Engine == nil {
		p.scan(q, pool, &best)
	}
	best.explain(q, pool)
	return best
}

func (p *Pipeline) scan(q *Query, pool []Candidate, best *Choice) {
	from := decide.IntN(q.Rand, len(pool))
	for i := range pool {
		p.look(q, &pool[(from+i)%len(pool)], best)
		if best.Engine != nil {
			return
		}
	}
}

// look scores the candidate and keeps it where it is better than best.
func (p *Pipeline) look(q *Query, c *Candidate, best *Choice) {
	for _, filters := range [...][]Filter{p.Gates, p.Filters} {
		if why, ok := keep(filters, q, c); !ok {
			if best.Reason == NoEngine {
				best.Reason = why // an engine that may have room later tells more than one tried before
			}
			return
		}
	}
	q.Estimate = Predict(q, c)
	var score time.Duration
	for i := range p.Scorers {
		score += p.Scorers[i].Score(q, c)
	}
	best.Scored++
	if best.Engine == nil || score < best.Score {
		best.Engine, best.Score, best.Estimate = c.Engine, score, q.Estimate
	}
}

// keep tells whether all filters keep the candidate, or why the first that does not.
func keep(filters []Filter, q *Query, c *Candidate) (why decide.Reason, ok bool) {
	for i := range filters {
		if !filters[i].Keep(q, c) {
			return filters[i].Reason, false
		}
	}
	return "", true
}

func (b *Choice) explain(q *Query, pool []Candidate) {
	switch {
	case b.Engine == nil:
	case len(pool) == 1:
		b.Reason = OnlyCandidate
	case !(&Candidate{Engine: b.Engine}).HasFreshReport(q.Now):
		b.Reason = StaleReports
	case b.Estimate.Cost < q.Prompt.Tokens:
		b.Reason = CachedPrefix
	default:
		b.Reason = BestPredicted
	}
}

// Sample looks at Profile.Choices random engines, and at Profile.Affine ones that the prompt's prefix
// names: prompts that begin alike meet there, and find the prefix cached.
func Sample(q *Query, pool []Candidate, at []int) []int {
	n := len(pool)
	choices := min(q.Profile.RandomChoices, lookMax-q.Profile.PrefixChoices)
	if n <= choices {
		return All(q, pool, at)
	}
	for tries := 0; len(at) < choices && tries < 4*choices; tries++ {
		at = addNew(at, decide.IntN(q.Rand, n))
	}
	if len(q.Prompt.Blocks) == 0 {
		return at
	}
	prefix := q.Prompt.Blocks[min(affineBlock, len(q.Prompt.Blocks)-1)]
	for i := range uint64(q.Profile.PrefixChoices) {
		at = addNew(at, int(((prefix>>32)+i)%uint64(n)))
	}
	return at
}

// affineBlock is the block by which Sample finds a prompt's like: the second one tells more than a
// workspace's common head.
const affineBlock = 1

func addNew(at []int, i int) []int {
	if slices.Contains(at, i) {
		return at
	}
	return append(at, i)
}

// All looks at every engine, up to the bound, from a random place.
func All(q *Query, pool []Candidate, at []int) []int {
	from := decide.IntN(q.Rand, len(pool))
	for i := range min(len(pool), lookMax) {
		at = append(at, (from+i)%len(pool))
	}
	return at
}

// Untried takes out engines that the request was at before.
var NotExcluded = Filter{NoEngine, func(q *Query, c *Candidate) bool {
	return !slices.Contains(q.Exclude, c.ID)
}}

// Room takes out engines without memory for the prompt. An engine that has not reported has unknown
// room, and is kept.
var HasMemory = Filter{NoMemory, func(q *Query, c *Candidate) bool {
	return c.Report() == nil || c.FreeMemory(q) >= q.Prompt.MemoryTokens()
}}

// FirstToken scores by the predicted first-token time.
var FirstToken = Scorer{"first_token", func(q *Query, c *Candidate) time.Duration {
	return q.Estimate.FirstToken
}}

// Spill keeps prompts that are not long off the lanes until a lane saves them enough.
var LanePenalty = Scorer{"spill", func(q *Query, c *Candidate) time.Duration {
	if c.Lane && !q.Class.UsesLanes() {
		return q.Profile.LanePenalty
	}
	return 0
}}

// stalePenalty puts engines that fell silent behind all others.
const stalePenalty = time.Hour

// Silent scores engines whose report is stale behind all others.
//
// Failure guarded against: an engine, or the reading of its reports, stops; its last report praised it.
// It shows as all instances sending their prompts there. Its prediction grows by an hour, so that it is
// taken only where no other engine can be.
var StalePenalty = Scorer{"silent", func(q *Query, c *Candidate) time.Duration {
	if c.HasFreshReport(q.Now) {
		return 0
	}
	return stalePenalty
}}

// Default is the pipeline of the daemon. Gates are the caller's own filters: cold limits, condemned
// connections.
func Default(gates ...Filter) *Pipeline {
	return &Pipeline{
		Gates:   gates,
		Filters: []Filter{NotExcluded, HasMemory},
		Scorers: []Scorer{FirstToken, LanePenalty, StalePenalty},
		Picker:  Sample,
	}
}
