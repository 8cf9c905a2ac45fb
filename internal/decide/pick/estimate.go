package pick

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Query is one prompt's question for an engine.
type Query struct {
	Prompt    *cost.Prompt
	Class     cost.Class
	Now       decide.Instant
	Rand      decide.Rand
	Instances int                // instances that send to the same engines, this one included
	Exclude   []fleet.UpstreamID // engines that failed or refused this request before
	Profile   *Profile
	Estimate  Estimate // of the candidate looked at last

	space [lookMax]int // for the picker's answer, so that a decision allocates nothing
}

// Estimate is what a prompt may expect on one engine.
type Estimate struct {
	Cost       int           // prompt tokens that the engine has to compute
	Wait       time.Duration // until it starts on them
	FirstToken time.Duration // until the first token of the answer
}

const (
	// defaultRate is taken for an engine that has not reported yet, in prompt tokens a second.
	defaultRate = 20_000
	// decay bounds for how long an engine is believed to have worked on since its report; an engine
	// that fell silent would else look idle.
	decay = time.Second
	// stepTime is about one batch step: a prompt that arrives at a busy engine waits for its end.
	stepTime = 20 * time.Millisecond
)

// Predict estimates the prompt's first token on the engine.
func Predict(q *Query, c *Candidate) Estimate {
	tokens := q.Prompt.UncachedTokens(c.Cache, q.Now)
	rate, ahead := c.ahead(q)
	wait := cost.PrefillTime(ahead, rate)
	if ahead > 0 {
		wait += stepTime
	}
	return Estimate{Cost: tokens, Wait: wait, FirstToken: wait + cost.PrefillTime(int64(tokens), rate)}
}

// ahead is the work, in prompt tokens, that the engine does before a prompt of the query's class.
//
// A report gives one figure for all classes. On a lane most of that is long prompts, which the engine
// puts behind prompts of higher priority; for those no more counts there than the own dispatches that
// wait suggest, which are a sample of everybody's.
func (c *Candidate) ahead(q *Query) (rate, tokens int64) {
	r, rate := c.report.Load(), c.PrefillRate()
	if r == nil {
		return rate, q.scale(c.own(q, q.Now.Add(-StaleAfter)))
	}
	reported := r.QueuedTokens
	if c.Lane && q.Profile.Priority[q.Class] > q.Profile.Priority[cost.Long] {
		reported = min(reported, c.unbegun(q.Class)*int64(q.Instances))
	}
	age := min(q.Now.Sub(r.At), decay)
	done := int64(float64(rate) * age.Seconds())
	return rate, max(reported+q.scale(c.own(q, r.At))-done, 0)
}

// own is the work of own dispatches since at that stands before the query's prompt. What has its first
// token by now is done, whether a report has said so or not.
func (c *Candidate) own(q *Query, at decide.Instant) int64 {
	sent := c.sent.since(at, q.Now)
	last := q.Class
	if last.UsesLanes() {
		last = cost.Group
	}
	return min(sent.upTo(last), c.unbegun(last))
}

// Rate is the engine's prompt tokens a second, by its report.
func (e *Engine) PrefillRate() int64 {
	if r := e.report.Load(); r != nil && r.PrefillRate > 0 {
		return r.PrefillRate
	}
	return defaultRate
}

// upTo sums the tokens of the classes up to class.
func (s *DispatchedWork) upTo(class cost.Class) int64 {
	var sum int64
	for c := range class + 1 {
		sum += s.Tokens[c]
	}
	return sum
}

// scale counts own dispatches up for those of the other instances, which see the same report and choose
// alike, but not in step.
func (q *Query) scale(own int64) int64 {
	return int64(float64(own) * (1 + float64(q.Instances-1)*q.Profile.PeerWeight))
}

// Free is the KV cache that the engine has left for this instance, in tokens, by its report and the
// dispatches since; negative where it is over.
func (c *Candidate) FreeMemory(q *Query) int64 {
	r := c.report.Load()
	if r == nil {
		return 0
	}
	own := min(c.sent.since(r.At, q.Now).Memory, c.holds.Load())
	return r.MemoryTotal - r.MemoryUsed - q.scale(own)
}

// Fresh tells whether the engine's report is recent enough to go by.
func (c *Candidate) HasFreshReport(now decide.Instant) bool {
	r := c.report.Load()
	return r != nil && now.Sub(r.At) <= StaleAfter
}
