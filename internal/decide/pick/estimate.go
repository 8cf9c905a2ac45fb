package pick

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Query describes a prompt for which an engine is to be chosen.
type Query struct {
	Prompt    *cost.Prompt
	Class     cost.Class
	Now       decide.Instant
	Rand      decide.Rand
	Instances int                // number of instances that send to the same engines, including this one
	Exclude   []fleet.UpstreamID // engines that have failed or refused this request
	Profile   *Profile
	Estimate  Estimate // for the candidate scored last

	indexBuf [maxScored]int // buffer for the picker's result, so that a decision allocates nothing
}

// Estimate is the predicted work and latency of a prompt on one engine.
type Estimate struct {
	Cost       int           // prompt tokens that the engine must compute
	Wait       time.Duration // until the engine starts on the prompt
	FirstToken time.Duration // until the first token of the answer
}

const (
	// defaultPrefillRate is assumed for an engine without a load report, in prompt tokens per second.
	defaultPrefillRate = 20_000
	// maxProgressTime limits how much time since the last report counts as work done. Without the limit an engine
	// that stops reporting would look idle.
	maxProgressTime = time.Second
	// batchStepTime is the approximate length of a batch step. A prompt that arrives at a busy engine waits for the
	// current step to end.
	batchStepTime = 20 * time.Millisecond
)

// Predict returns the estimate for the query's prompt on the engine.
func Predict(q *Query, c *Candidate) Estimate {
	tokens := q.Prompt.UncachedTokens(c.Cache, q.Now)
	rate, queued := c.workAhead(q)
	wait := cost.PrefillTime(queued, rate)
	if queued > 0 {
		wait += batchStepTime
	}
	return Estimate{Cost: tokens, Wait: wait, FirstToken: wait + cost.PrefillTime(int64(tokens), rate)}
}

// workAhead returns the engine's prefill rate, and the prompt tokens that it computes before a prompt of the query's
// class.
//
// A load report has one queue length for all classes. On a lane most of that queue is long prompts, which the engine
// schedules after prompts of higher priority. For a prompt of higher priority the reported queue is therefore limited
// to what this instance's pending dispatches suggest, taken as a sample of all instances' dispatches.
func (c *Candidate) workAhead(q *Query) (rate, tokens int64) {
	r, rate := c.report.Load(), c.PrefillRate()
	if r == nil {
		return rate, q.scaleToFleet(c.ownWorkAhead(q, q.Now.Add(-StaleAfter)))
	}
	reported := r.QueuedTokens
	if c.Lane && q.Profile.Priority[q.Class] > q.Profile.Priority[cost.Long] {
		reported = min(reported, c.pendingPrefill(q.Class)*int64(q.Instances))
	}
	age := min(q.Now.Sub(r.At), maxProgressTime)
	done := int64(float64(rate) * age.Seconds())
	return rate, max(reported+q.scaleToFleet(c.ownWorkAhead(q, r.At))-done, 0)
}

// ownWorkAhead returns the prompt tokens of this instance's dispatches since reportedAt that the engine computes before
// the query's prompt. Dispatches that already have their first token don't count, even if no report shows that yet.
func (c *Candidate) ownWorkAhead(q *Query, reportedAt decide.Instant) int64 {
	sent := c.recent.since(reportedAt, q.Now)
	lastClass := q.Class
	if lastClass.UsesLanes() {
		lastClass = cost.Group
	}
	return min(sent.tokensUpTo(lastClass), c.pendingPrefill(lastClass))
}

// PrefillRate returns the engine's reported prompt tokens per second, or a default if it has reported none.
func (e *Engine) PrefillRate() int64 {
	if r := e.report.Load(); r != nil && r.PrefillRate > 0 {
		return r.PrefillRate
	}
	return defaultPrefillRate
}

// tokensUpTo returns the total prompt tokens of the classes up to class.
func (s *DispatchedWork) tokensUpTo(class cost.Class) int64 {
	var sum int64
	for c := range class + 1 {
		sum += s.Tokens[c]
	}
	return sum
}

// scaleToFleet scales a figure of this instance's dispatches up to the dispatches of all instances. The other instances
// see the same load reports and choose alike, but not at the same moments, so each counts with weight PeerWeight.
func (q *Query) scaleToFleet(own int64) int64 {
	return int64(float64(own) * (1 + float64(q.Instances-1)*q.Profile.PeerWeight))
}

// FreeMemory returns the engine's estimated free KV cache in tokens: by its report, less the dispatches since. It is
// negative if the engine is overcommitted, and 0 if there is no report.
func (c *Candidate) FreeMemory(q *Query) int64 {
	r := c.report.Load()
	if r == nil {
		return 0
	}
	own := min(c.recent.since(r.At, q.Now).Memory, c.heldMemory.Load())
	return r.MemoryTotal - r.MemoryUsed - q.scaleToFleet(own)
}

// HasFreshReport reports whether the engine has a load report no older than StaleAfter.
func (c *Candidate) HasFreshReport(now decide.Instant) bool {
	r := c.report.Load()
	return r != nil && now.Sub(r.At) <= StaleAfter
}
