// Package retry decides whether a failed dispatch is followed by another one, and when.
//
// A request is dispatched again only if it is idempotent or truly did not start. Dispatches that may have
// started work are paid for out of budgets, so that a failure domain that goes doesn't turn into a storm
// on the rest; those that did not start cost the upstreams nothing and are bounded by attempts alone.
package retry

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// Params are the constants of retries.
type Params struct {
	MaxAttempts   int           // dispatches of one request at most
	BackoffBase   time.Duration // of the backoff
	BackoffCap    time.Duration // longest backoff
	MinTimeLeft   time.Duration // a request with less time left is not dispatched again
	MaxBudgetWait time.Duration // longest wait for a budget
}

// DefaultParams are those of the daemon.
func DefaultParams() Params {
	return Params{
		MaxAttempts: 4, BackoffBase: 20 * time.Millisecond, BackoffCap: time.Second,
		MinTimeLeft: 50 * time.Millisecond, MaxBudgetWait: 4 * time.Second,
	}
}

// Percents and least numbers of the budgets. The instance's bounds the amplification; the others keep one
// upstream or one workspace from spending all of it.
const (
	InstancePercent                       = 9
	UpstreamPercent, UpstreamMinRetries   = 50, 20
	WorkspacePercent, WorkspaceMinRetries = 50, 20

	fleetLeast = 10
)

// InstanceLeast is the number of retries that one of so many instances may always make in a Window. All of
// them together make ten, which is one in ten of a fleet's requests from one request a second on; a fleet
// with less load has no storm to fear.
func InstanceMinRetries(instances int) int64 { return int64(max(1, fleetLeast/max(instances, 1))) }

// Budgets are those that one retry is paid out of: the instance's, its workspace's, and that of the
// upstream whose failure it follows.
type Budgets [3]*Budget

// Request counts a request's first dispatch in each.
func (b Budgets) RecordRequest(now decide.Instant) {
	for _, one := range b {
		one.RecordRequest(now)
	}
}

// take counts a retry in each if all allow it. Two requests that ask at once may both take the last one;
// the bound's margin covers that.
func (b Budgets) take(now decide.Instant) bool {
	for _, one := range b {
		if one.Remaining(now) <= 0 {
			return false
		}
	}
	for _, one := range b {
		one.RecordRetry(now)
	}
	return true
}

// Reasons of the decision.
const (
	ReasonNotStarted    decide.Reason = "retry_not_started"
	ReasonIdempotent    decide.Reason = "retry_idempotent"
	ReasonBudgetWait    decide.Reason = "retry_waits_for_budget"
	ReasonMayHaveRun    decide.Reason = "no_retry_may_have_run"
	ReasonAttemptsSpent decide.Reason = "no_retry_attempts_spent"
	ReasonNoTime        decide.Reason = "no_retry_no_time"
	ReasonBudgetSpent   decide.Reason = "no_retry_budget_spent"
)

// Reasons lists every reason of this package.
var Reasons = []decide.Reason{
	ReasonNotStarted, ReasonIdempotent, ReasonBudgetWait, ReasonMayHaveRun, ReasonAttemptsSpent, ReasonNoTime, ReasonBudgetSpent,
}

// Failure is a dispatch that failed.
type Failure struct {
	Started       bool          // it may have run
	Idempotent    bool          // the request may run more than once
	Attempts      int           // dispatches so far
	TimeLeft      time.Duration // time left for the request
	RetryAfter    time.Duration // that the upstream asked for; 0: none
	BudgetWait    time.Duration // for a budget so far, in this failure
	OtherUpstream bool          // another upstream can take it
}

// Verdict is what follows a failure.
type Verdict struct {
	Retry         bool          // dispatch again after Wait
	WaitForBudget bool          // ask again after Wait: the budget is spent, but not the time
	Wait          time.Duration // from now
	Reason        decide.Reason
}

// After decides what follows f. When neither Again nor Ask is set the request's failure is final and is
// told at once.
func (p Params) Decide(f Failure, b Budgets, r decide.Rand, now decide.Instant) Verdict {
	if f.Started && !f.Idempotent {
		return Verdict{Reason: ReasonMayHaveRun}
	}
	if f.Attempts >= p.MaxAttempts {
		return Verdict{Reason: ReasonAttemptsSpent}
	}
	wait := p.wait(f, r)
	if f.TimeLeft < wait+p.MinTimeLeft {
		return Verdict{Reason: ReasonNoTime}
	}
	if !f.Started {
		return Verdict{Retry: true, Wait: wait, Reason: ReasonNotStarted}
	}
	if b.take(now) {
		return Verdict{Retry: true, Wait: wait, Reason: ReasonIdempotent}
	}
	return p.budgetSpent(f, r)
}

func (p Params) budgetSpent(f Failure, r decide.Rand) Verdict {
	wait := p.BackoffCap/4 + jitter(p.BackoffCap/4, r)
	if f.BudgetWait+wait > p.MaxBudgetWait || f.TimeLeft < wait+p.MinTimeLeft {
		return Verdict{Reason: ReasonBudgetSpent}
	}
	return Verdict{WaitForBudget: true, Wait: wait, Reason: ReasonBudgetWait}
}

// wait is the backoff. The first dispatch to another upstream goes at once: the one that failed is not
// asked again, so there is nothing to wait for.
func (p Params) wait(f Failure, r decide.Rand) time.Duration {
	if f.Attempts == 1 && f.OtherUpstream {
		return 0
	}
	longest := min(p.BackoffCap, p.BackoffBase<<min(f.Attempts, 16))
	wait := jitter(longest, r)
	if !f.OtherUpstream {
		wait = max(wait, f.RetryAfter)
	}
	return wait
}

// jitter draws a time from 0 to longest, so that requests that failed together don't come back together.
func jitter(longest time.Duration, r decide.Rand) time.Duration {
	return time.Duration(decide.Float(r) * float64(longest))
}
