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
	Attempts  int           // dispatches of one request at most
	Base      time.Duration // of the backoff
	Cap       time.Duration // longest backoff
	LeastTime time.Duration // a request with less time left is not dispatched again
	MaxWait   time.Duration // longest wait for a budget
}

// DefaultParams are those of the daemon.
func DefaultParams() Params {
	return Params{
		Attempts: 4, Base: 20 * time.Millisecond, Cap: time.Second,
		LeastTime: 50 * time.Millisecond, MaxWait: 4 * time.Second,
	}
}

// Percents and least numbers of the budgets. The instance's bounds the amplification; the others keep one
// upstream or one workspace from spending all of it.
const (
	InstancePercent                  = 9
	UpstreamPercent, UpstreamLeast   = 50, 20
	WorkspacePercent, WorkspaceLeast = 50, 20

	fleetLeast = 10
)

// InstanceLeast is the number of retries that one of so many instances may always make in a Window. All of
// them together make ten, which is one in ten of a fleet's requests from one request a second on; a fleet
// with less load has no storm to fear.
func InstanceLeast(instances int) int64 { return int64(max(1, fleetLeast/max(instances, 1))) }

// Budgets are those that one retry is paid out of: the instance's, its workspace's, and that of the
// upstream whose failure it follows.
type Budgets [3]*Budget

// Request counts a request's first dispatch in each.
func (b Budgets) Request(now decide.Instant) {
	for _, one := range b {
		one.Request(now)
	}
}

// take counts a retry in each if all allow it. Two requests that ask at once may both take the last one;
// the bound's margin covers that.
func (b Budgets) take(now decide.Instant) bool {
	for _, one := range b {
		if one.Left(now) <= 0 {
			return false
		}
	}
	for _, one := range b {
		one.Retry(now)
	}
	return true
}

// Reasons of the decision.
const (
	ReasonNotStarted decide.Reason = "retry_not_started"
	ReasonIdempotent decide.Reason = "retry_idempotent"
	ReasonBudgetWait decide.Reason = "retry_waits_for_budget"
	ReasonMayHaveRun decide.Reason = "no_retry_may_have_run"
	ReasonAttempts   decide.Reason = "no_retry_attempts_spent"
	ReasonNoTime     decide.Reason = "no_retry_no_time"
	ReasonBudget     decide.Reason = "no_retry_budget_spent"
)

// Reasons lists every reason of this package.
var Reasons = []decide.Reason{
	ReasonNotStarted, ReasonIdempotent, ReasonBudgetWait, ReasonMayHaveRun, ReasonAttempts, ReasonNoTime, ReasonBudget,
}

// Failure is a dispatch that failed.
type Failure struct {
	Started    bool          // it may have run
	Idempotent bool          // the request may run more than once
	Attempts   int           // dispatches so far
	Left       time.Duration // time left for the request
	RetryAfter time.Duration // that the upstream asked for; 0: none
	Waited     time.Duration // for a budget so far, in this failure
	Elsewhere  bool          // another upstream can take it
}

// Verdict is what follows a failure.
type Verdict struct {
	Again  bool          // dispatch again after Wait
	Ask    bool          // ask again after Wait: the budget is spent, but not the time
	Wait   time.Duration // from now
	Reason decide.Reason
}

// After decides what follows f. When neither Again nor Ask is set the request's failure is final and is
// told at once.
func (p Params) After(f Failure, b Budgets, r decide.Rand, now decide.Instant) Verdict {
	if f.Started && !f.Idempotent {
		return Verdict{Reason: ReasonMayHaveRun}
	}
	if f.Attempts >= p.Attempts {
		return Verdict{Reason: ReasonAttempts}
	}
	wait := p.wait(f, r)
	if f.Left < wait+p.LeastTime {
		return Verdict{Reason: ReasonNoTime}
	}
	if !f.Started {
		return Verdict{Again: true, Wait: wait, Reason: ReasonNotStarted}
	}
	if b.take(now) {
		return Verdict{Again: true, Wait: wait, Reason: ReasonIdempotent}
	}
	return p.budgetSpent(f, r)
}

func (p Params) budgetSpent(f Failure, r decide.Rand) Verdict {
	wait := p.Cap/4 + jitter(p.Cap/4, r)
	if f.Waited+wait > p.MaxWait || f.Left < wait+p.LeastTime {
		return Verdict{Reason: ReasonBudget}
	}
	return Verdict{Ask: true, Wait: wait, Reason: ReasonBudgetWait}
}

// wait is the backoff. The first dispatch to another upstream goes at once: the one that failed is not
// asked again, so there is nothing to wait for.
func (p Params) wait(f Failure, r decide.Rand) time.Duration {
	if f.Attempts == 1 && f.Elsewhere {
		return 0
	}
	longest := min(p.Cap, p.Base<<min(f.Attempts, 16))
	wait := jitter(longest, r)
	if !f.Elsewhere {
		wait = max(wait, f.RetryAfter)
	}
	return wait
}

// jitter draws a time from 0 to longest, so that requests that failed together don't come back together.
func jitter(longest time.Duration, r decide.Rand) time.Duration {
	return time.Duration(decide.Float(r) * float64(longest))
}
