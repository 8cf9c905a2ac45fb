// Package again is the shell of decide/retry: it keeps the budgets and waits out the backoff.
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

// Retrier holds one instance's budgets. It is safe for concurrent use.
type Retrier struct {
	params     retry.Params
	start      time.Time
	instances  func() int
	all        *retry.Budget
	workspaces sync.Map // fleet.WorkspaceID to *retry.Budget
	upstreams  sync.Map // fleet.UpstreamID to *retry.Budget
}

// New gives a Retrier. instances tells how many entry instances there are.
func New(p retry.Params, instances func() int) *Retrier {
	return &Retrier{
		params: p, start: time.Now(), instances: instances,
		all: retry.NewBudget(retry.InstancePercent, retry.InstanceMinRetries(1)),
	}
}

// random is the source of jitter; the generator behind it is safe for concurrent use.
type random struct{}

func (random) Uint64() uint64 { return rand.Uint64() }

func (r *Retrier) now() decide.Instant { return decide.Instant(time.Since(r.start)) }

func (r *Retrier) budgets(w fleet.WorkspaceID, u fleet.UpstreamID) retry.Budgets {
	return retry.Budgets{
		r.all,
		budget(&r.upstreams, u, retry.UpstreamPercent, retry.UpstreamMinRetries),
		budget(&r.workspaces, w, retry.WorkspacePercent, retry.WorkspaceMinRetries),
	}
}

func budget(m *sync.Map, key any, percent, least int64) *retry.Budget {
	if b, ok := m.Load(key); ok {
		return b.(*retry.Budget)
	}
	b, _ := m.LoadOrStore(key, retry.NewBudget(percent, least))
	return b.(*retry.Budget)
}

// First counts a request's first dispatch.
func (r *Retrier) RecordRequest(w fleet.WorkspaceID, u fleet.UpstreamID) {
	r.budgets(w, u).RecordRequest(r.now())
}

// After waits until the request may be dispatched again after the failure of a dispatch to u, and gives
// true; or it gives false as soon as that is known never to be, with the reason.
func (r *Retrier) AwaitRetry(ctx context.Context, f retry.Failure, w fleet.WorkspaceID, u fleet.UpstreamID) (bool, decide.Reason) {
	r.all.SetMinRetries(retry.InstanceMinRetries(r.instances()))
	b := r.budgets(w, u)
	for {
		v := r.params.Decide(f, b, random{}, r.now())
		if !v.Retry && !v.WaitForBudget {
			return false, v.Reason
		}
		if !wait.For(ctx, v.Wait) {
			return false, retry.ReasonNoTime
		}
		if v.Retry {
			return true, v.Reason
		}
		f.BudgetWait += v.Wait
		f.TimeLeft -= v.Wait
	}
}
