package pick

import (
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// Reasons for a Choice.
const (
	BestPredicted  decide.Reason = "best_predicted" // the lowest score of the engines scored
	CachedPrefix   decide.Reason = "cached_prefix"  // as BestPredicted, and a part of the prompt is cached there
	OnlyCandidate  decide.Reason = "only_candidate"
	NoEngine       decide.Reason = "no_engine"         // the pool is empty, or the request has tried all engines
	NoMemory       decide.Reason = "no_memory"         // no engine has enough free memory
	StaleReports   decide.Reason = "reports_stale"     // chosen with a stale report: no scored engine has a recent one
	RejectedByGate decide.Reason = "taken_out_by_gate" // the caller's gates removed all engines
)

// Reasons lists all reasons for a Choice.
var Reasons = []decide.Reason{BestPredicted, CachedPrefix, OnlyCandidate, NoEngine, NoMemory, StaleReports, RejectedByGate}

// Filter removes engines from a choice. If no engine is left and this filter removed one, Reason is the reason for that.
type Filter struct {
	Reason decide.Reason
	Keep   func(q *Query, c *Candidate) bool
}

// Scorer computes a part of an engine's score. The engine with the lowest sum is chosen.
type Scorer struct {
	Name  string
	Score func(q *Query, c *Candidate) time.Duration
}

// Picker appends the indexes of the engines to score to indexes and returns it.
type Picker func(q *Query, pool []Candidate, indexes []int) []int

// Pipeline is a routing policy composed of filters, scorers and a picker.
type Pipeline struct {
	Gates   []Filter // the caller's filters; they apply to plans for long prompts as well
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
}

// Choice is the result of a pipeline.
type Choice struct {
	Engine   *Engine // nil if no engine can take the prompt
	Estimate Estimate
	Score    time.Duration
	Scored   int // number of engines scored
	Reason   decide.Reason
}

// maxScored is the largest number of engines that a picker may return.
const maxScored = 32

// Pick chooses an engine of the pool. If the filters remove all engines that the picker selected, Pick goes through the
// pool from a random position and chooses the first engine that passes the filters.
func (p *Pipeline) Pick(q *Query, pool []Candidate) Choice {
	if len(pool) == 0 {
		return Choice{Reason: NoEngine}
	}
	best := Choice{Reason: NoEngine}
	for _, i := range p.Picker(q, pool, q.indexBuf[:0]) {
		p.consider(q, &pool[i], &best)
	}
	if best.Engine == nil {
		p.considerUntilFirstPasses(q, pool, &best)
	}
	best.setReason(q, pool)
	return best
}

// considerUntilFirstPasses considers the engines of the pool in turn until one passes the filters, and stores that one
// in best. It starts at a random position, so that no engine is preferred.
func (p *Pipeline) considerUntilFirstPasses(q *Query, pool []Candidate, best *Choice) {
	from := decide.IntN(q.Rand, len(pool))
	for i := range pool {
		p.consider(q, &pool[(from+i)%len(pool)], best)
		if best.Engine != nil {
			return
		}
	}
}

// consider scores the candidate if it passes the filters, and stores it in best if its score is lower than that of best.
// If a filter removes the candidate, best gets the reason of that filter, unless it already has one other than NoEngine.
func (p *Pipeline) consider(q *Query, c *Candidate, best *Choice) {
	for _, filters := range [...][]Filter{p.Gates, p.Filters} {
		if reason, ok := passes(filters, q, c); !ok {
			if best.Reason == NoEngine {
				best.Reason = reason // any other reason is more specific than NoEngine
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

// passes reports whether the candidate passes all filters. If not, reason is that of the first filter that removes it.
func passes(filters []Filter, q *Query, c *Candidate) (reason decide.Reason, ok bool) {
	for i := range filters {
		if !filters[i].Keep(q, c) {
			return filters[i].Reason, false
		}
	}
	return "", true
}

// setReason sets the reason for the choice if an engine was chosen.
func (b *Choice) setReason(q *Query, pool []Candidate) {
	switch {
	case b.Engine == nil: // the reason is already set
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

// Sample is a Picker that returns up to Profile.RandomChoices random engines and up to Profile.PrefixChoices engines
// selected by a hash of the prompt's prefix. Prompts with a common prefix share the latter, where the prefix is likely
// to be cached.
func Sample(q *Query, pool []Candidate, indexes []int) []int {
	n := len(pool)
	choices := min(q.Profile.RandomChoices, maxScored-q.Profile.PrefixChoices)
	if n <= choices {
		return All(q, pool, indexes)
	}
	for tries := 0; len(indexes) < choices && tries < 4*choices; tries++ {
		indexes = appendUnique(indexes, decide.IntN(q.Rand, n))
	}
	if len(q.Prompt.Blocks) == 0 {
		return indexes
	}
	prefix := q.Prompt.Blocks[min(prefixBlock, len(q.Prompt.Blocks)-1)]
	for i := range uint64(q.Profile.PrefixChoices) {
		indexes = appendUnique(indexes, int(((prefix>>32)+i)%uint64(n)))
	}
	return indexes
}

// prefixBlock is the index of the prefix block whose hash Sample uses. It is the second block, because the first one is
// often the same in all prompts of a workspace.
const prefixBlock = 1

// appendUnique appends i unless indexes contains it.
func appendUnique(indexes []int, i int) []int {
	if slices.Contains(indexes, i) {
		return indexes
	}
	return append(indexes, i)
}

// All is a Picker that returns all engines from a random position on, at most maxScored.
func All(q *Query, pool []Candidate, indexes []int) []int {
	from := decide.IntN(q.Rand, len(pool))
	for i := range min(len(pool), maxScored) {
		indexes = append(indexes, (from+i)%len(pool))
	}
	return indexes
}

// NotExcluded removes engines that have failed or refused the request.
var NotExcluded = Filter{NoEngine, func(q *Query, c *Candidate) bool {
	return !slices.Contains(q.Exclude, c.ID)
}}

// HasMemory removes engines without enough free memory for the prompt. It keeps an engine without a load report, whose
// free memory is unknown.
var HasMemory = Filter{NoMemory, func(q *Query, c *Candidate) bool {
	return c.Report() == nil || c.FreeMemory(q) >= q.Prompt.MemoryTokens()
}}

// FirstToken scores an engine by its predicted first-token time.
var FirstToken = Scorer{"first_token", func(q *Query, c *Candidate) time.Duration {
	return q.Estimate.FirstToken
}}

// LanePenalty keeps prompts that are not long off the lanes, unless a lane is faster by Profile.LanePenalty.
var LanePenalty = Scorer{"spill", func(q *Query, c *Candidate) time.Duration {
	if c.Lane && !q.Class.UsesLanes() {
		return q.Profile.LanePenalty
	}
	return 0
}}

// staleReportPenalty exceeds any predicted first-token time.
const staleReportPenalty = time.Hour

// StalePenalty ranks engines without a recent load report behind all others.
//
// It guards against an engine that stops, or whose reports can't be read any more, after a report that showed it idle:
// all instances would send their prompts there. The penalty of one hour lets the engine be chosen only if no scored
// engine has a recent report.
var StalePenalty = Scorer{"silent", func(q *Query, c *Candidate) time.Duration {
	if c.HasFreshReport(q.Now) {
		return 0
	}
	return staleReportPenalty
}}

// Default returns the daemon's pipeline. gates are the caller's filters, for example cold-start limits and connections
// that must not be used.
func Default(gates ...Filter) *Pipeline {
	return &Pipeline{
		Gates:   gates,
		Filters: []Filter{NotExcluded, HasMemory},
		Scorers: []Scorer{FirstToken, LanePenalty, StalePenalty},
		Picker:  Sample,
	}
}
