package routed

import (
	"sync"
	"time"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/retry"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

const (
	// shareUsed is the part of the fleet's retries that its instances give out together, in percent. The rest
	// covers what they count differently: a request is counted where it came from, and instances that come or
	// go change the cut before all know of it.
	shareUsed = 70
	percent   = 100
)

// budgets are an instance's shares of the retries that the fleet may make, by service.
type budgets struct {
	members func() int
	start   time.Time

	mu    sync.Mutex
	rules api.Retries                           // guarded by mu
	all   map[catalog.ServiceName]*retry.Budget // guarded by mu
}

func newBudgets(s api.Settings, f *watch.Follower) *budgets {
	members := func() int { return len(f.Snapshot().Members) }
	return &budgets{rules: s.Routed.Retries, members: members, start: time.Now(), all: map[catalog.ServiceName]*retry.Budget{}}
}

// setRules puts other rules in force, for all services.
func (b *budgets) setRules(r api.Retries) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rules = r
}

func (b *budgets) now() decide.Instant { return decide.Instant(time.Since(b.start)) }

func (b *budgets) of(s catalog.ServiceName) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.all[s]
	if budget == nil {
		budget = retry.NewBudget(0, 0)
		b.all[s] = budget
	}
	budget.SetPercent(int64(b.rules.Ratio * shareUsed))
	budget.SetLeast(int64(b.rules.Slack * shareUsed / percent / max(1, b.members())))
	return budget
}

// Request implements gateway.Budget.
func (b *budgets) Request(s catalog.ServiceName) { b.of(s).Request(b.now()) }

// Has implements gateway.Budget.
func (b *budgets) Has(s catalog.ServiceName) bool { return b.of(s).Left(b.now()) > 0 }

// Allow implements gateway.Budget.
func (b *budgets) Allow(s catalog.ServiceName) bool {
	budget, now := b.of(s), b.now()
	if budget.Left(now) <= 0 {
		return false
	}
	budget.Retry(now)
	return true
}
