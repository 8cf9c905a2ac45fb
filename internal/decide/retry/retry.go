// Package retry decides whether a failed dispatch is retried, and when.
//
// A request is retried only if it is idempotent or certainly did not start. A retry after a dispatch that may have
// started work consumes retry budgets, so that the loss of a failure domain does not cause a retry storm on the
// remaining ones. A dispatch that did not start costs the upstreams nothing; its retries are limited only by the
// number of attempts.
package retry

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// Params are the parameters of the retry policy.
type Params struct {
	MaxAttempts   int           // maximum number of dispatches of one request
	BackoffBase   time.Duration // base of the exponential backoff
	BackoffCap    time.Duration // upper bound of the backoff
	MinTimeLeft   time.Duration // a request with less time left is not retried
	MaxBudgetWait time.Duration // longest time that one failure may wait for a budget
}

// DefaultParams returns the parameters that the daemon uses.
func DefaultParams() Params {
	return Params{
		MaxAttempts: 4, BackoffBase: 20 * time.Millisecond, BackoffCap: time.Second,
		MinTimeLeft: 50 * time.Millisecond, MaxBudgetWait: 4 * time.Second,
	}
}

// Parameters of the budgets: retries permitted per hundred requests, and retries permitted in a Window at any
// number of requests. The instance's budget keeps the dispatches within 1.1 per request, with a margin for
// concurrent calls. The others prevent one upstream or one workspace from consuming all of it.
const (
	InstancePercent                       = 9
	UpstreamPercent, UpstreamMinRetries   = 50, 20
	WorkspacePercent, WorkspaceMinRetries = 50, 20

	totalMinRetries = 10 // of all instances together
)

// InstanceMinRetries returns the number of retries that each of the given number of instances may always make in a
// Window. Up to ten instances may make at most ten together, more instances one each. With ten instances that receive
// one request per second each, that is one retry per ten requests; at less load a retry storm is no risk.
func InstanceMinRetries(instances int) int64 { return int64(max(1, totalMinRetries/max(instances, 1))) }

// Budgets are the budgets that one retry consumes: those of the instance, of the workspace, and of the upstream
// whose failure is followed by the retry.
type Budgets [3]*Budget

// RecordRequest counts a request at its first dispatch in each budget.
func (b Budgets) RecordRequest(now decide.Instant) {
	for _, budget := range b {
		budget.RecordRequest(now)
	}
}

// take counts a retry in each budget if all of them permit it, and reports whether they do. Two concurrent calls
// may both take the last retry of a budget; the margin of the bound covers that.
func (b Budgets) take(now decide.Instant) bool {
	for _, budget := range b {
		if budget.Remaining(now) <= 0 {
			return false
		}
	}
	for _, budget := range b {
		budget.RecordRetry(now)
	}
	return true
}

// Reasons of a decision.
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
	ReasonNotStarted, ReasonIdempotent, ReasonBudgetWait, ReasonMayHaveRun,
	ReasonAttemptsSpent, ReasonNoTime, ReasonBudgetSpent,
}

// Failure describes a failed dispatch and its request.
type Failure struct {
	Started       bool          // the dispatch may have started work
	Idempotent    bool          // the request may be executed more than once
	Attempts      int           // dispatches so far, the failed one included
	TimeLeft      time.Duration // time left for the request
	RetryAfter    time.Duration // delay that the upstream asked for; 0: none
	BudgetWait    time.Duration // time spent waiting for a budget since this failure
	OtherUpstream bool          // another upstream can execute the request
}

// Verdict is the decision after a failure.
type Verdict struct {
	Retry         bool          // dispatch the request again after Wait
	WaitForBudget bool          // a budget is exhausted, but time is left: call Decide again after Wait
	Wait          time.Duration // delay from now
	Reason        decide.Reason
}

// Decide decides what follows f. If neither Retry nor WaitForBudget is set, the failure is final and the caller is
// answered at once.
func (p Params) Decide(f Failure, b Budgets, r decide.Rand, now decide.Instant) Verdict {
	if f.Started && !f.Idempotent {
		return Verdict{Reason: ReasonMayHaveRun}
	}
	if f.Attempts >= p.MaxAttempts {
		return Verdict{Reason: ReasonAttemptsSpent}
	}
	wait := p.backoff(f, r)
	if f.TimeLeft < wait+p.MinTimeLeft {
		return Verdict{Reason: ReasonNoTime}
	}
	if !f.Started {
		return Verdict{Retry: true, Wait: wait, Reason: ReasonNotStarted}
	}
	if b.take(now) {
		return Verdict{Retry: true, Wait: wait, Reason: ReasonIdempotent}
	}
	return p.waitForBudget(f, r)
}

// waitForBudget returns the verdict while a budget is exhausted: to wait, if the failure's wait and the request's
// time permit it.
func (p Params) waitForBudget(f Failure, r decide.Rand) Verdict {
	wait := p.BackoffCap/4 + jitter(p.BackoffCap/4, r)
	if f.BudgetWait+wait > p.MaxBudgetWait || f.TimeLeft < wait+p.MinTimeLeft {
		return Verdict{Reason: ReasonBudgetSpent}
	}
	return Verdict{WaitForBudget: true, Wait: wait, Reason: ReasonBudgetWait}
}

// backoff returns the delay before the next dispatch. The first retry on another upstream has no delay: the
// failed upstream does not receive it, so there is nothing to wait for.
func (p Params) backoff(f Failure, r decide.Rand) time.Duration {
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

// jitter returns a random delay from 0 to longest, so that requests that failed together are not retried together.
func jitter(longest time.Duration, r decide.Rand) time.Duration {
	return time.Duration(decide.Float(r) * float64(longest))
}
