// Package again executes the decisions of decide/retry: it holds the retry budgets and waits for the backoff.
package again

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/retry"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/wait"
)

// Retrier holds the retry budgets of one instance. It is safe for concurrent use.
type Retrier struct {
	params        retry.Params
	start         time.Time
	instanceCount func() int
	overall       *retry.Budget // of all requests of the instance
	workspaces    sync.Map      // fleet.WorkspaceID to *retry.Budget
	upstreams     sync.Map      // fleet.UpstreamID to *retry.Budget

	mu     sync.Mutex
	listed retry.Peak // guarded by mu: number of instances in the last window
}

// New returns a Retrier. instanceCount returns the number of instances of the fleet.
func New(p retry.Params, instanceCount func() int) *Retrier {
	return &Retrier{
		params: p, start: time.Now(), instanceCount: instanceCount,
		overall: retry.NewBudget(retry.InstancePercent, retry.InstanceMinRetries(1)),
	}
}

// jitterSource is the random source of jitter. It is safe for concurrent use.
type jitterSource struct{}

// Uint64 returns 64 random bits.
func (jitterSource) Uint64() uint64 { return rand.Uint64() }

// now returns the monotonic time since the Retrier was made.
func (r *Retrier) now() decide.Instant { return decide.Instant(time.Since(r.start)) }

// mostInstances returns the largest number of instances of the last window: what those that are gone have spent still counts.
func (r *Retrier) mostInstances() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed.Observe(r.now(), r.instanceCount())
}

// budgets returns the budgets that a retry consumes for a workspace after a failure of an upstream.
func (r *Retrier) budgets(w fleet.WorkspaceID, u fleet.UpstreamID) retry.Budgets {
	return retry.Budgets{
		r.overall,
		budget(&r.upstreams, u, retry.UpstreamPercent, retry.UpstreamMinRetries),
		budget(&r.workspaces, w, retry.WorkspacePercent, retry.WorkspaceMinRetries),
	}
}

// budget returns the budget stored in m under key. If there is none, it stores a new one with the given parameters.
func budget(m *sync.Map, key any, percent, minRetries int64) *retry.Budget {
	if b, ok := m.Load(key); ok {
		return b.(*retry.Budget)
	}
	b, _ := m.LoadOrStore(key, retry.NewBudget(percent, minRetries))
	return b.(*retry.Budget)
}

// RecordRequest counts a request in its budgets, at its first dispatch.
func (r *Retrier) RecordRequest(w fleet.WorkspaceID, u fleet.UpstreamID) {
	r.budgets(w, u).RecordRequest(r.now())
}

// AwaitRetry waits until a request may be dispatched again after a failed dispatch to u, and returns true. If the request
// must not be retried, it returns false as soon as that is known. It also returns the reason for that decision.
func (r *Retrier) AwaitRetry(ctx context.Context, f retry.Failure, w fleet.WorkspaceID, u fleet.UpstreamID) (bool, decide.Reason) {
	r.overall.SetMinRetries(retry.InstanceMinRetries(r.mostInstances()))
	b := r.budgets(w, u)
	for {
		verdict := r.params.Decide(f, b, jitterSource{}, r.now())
		if !verdict.Retry && !verdict.WaitForBudget {
			return false, verdict.Reason
		}
		if !wait.For(ctx, verdict.Wait) {
			return false, retry.ReasonNoTime
		}
		if verdict.Retry {
			return true, verdict.Reason
		}
		f.BudgetWait += verdict.Wait
		f.TimeLeft -= verdict.Wait
	}
}
