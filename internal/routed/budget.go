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

// shareUsed is the part of the fleet's retries that its instances give out together. The rest covers what they
// count differently: a request is counted where it came from, and instances that come or go change the cut
// before all know of it.
const shareUsed = 0.7

// budgets are an instance's shares of the retries that the fleet may make, by service.
type budgets struct {
	members func() int
	start   time.Time

	mu    sync.Mutex
	rules api.Retries                          // guarded by mu
	all   map[catalog.ServiceName]*retry.Share // guarded by mu
}

func newBudgets(s api.Settings, f *watch.Follower) *budgets {
	return budgetsOf(s.Routed.Retries, func() int { return len(f.Snapshot().Members) })
}

func budgetsOf(rules api.Retries, members func() int) *budgets {
	return &budgets{rules: rules, members: members, start: time.Now(), all: map[catalog.ServiceName]*retry.Share{}}
}

// setRules puts other rules in force, for all services.
func (b *budgets) setRules(r api.Retries) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rules = r
}

func (b *budgets) now() decide.Instant { return decide.Instant(time.Since(b.start)) }

// of gives a service's share under the rules in force; mu is held.
func (b *budgets) of(s catalog.ServiceName) *retry.Share {
	share := b.all[s]
	if share == nil {
		share = &retry.Share{}
		b.all[s] = share
	}
	share.SetLimits(*b.rules.Ratio*shareUsed, *b.rules.Slack*shareUsed/float64(max(1, b.members())))
	return share
}

// Request implements gateway.Budget.
func (b *budgets) RecordRequest(s catalog.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(s).RecordRequest(b.now())
}

// Has implements gateway.Budget.
func (b *budgets) Allows(s catalog.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(s).Allows(b.now())
}

// Allow implements gateway.Budget.
func (b *budgets) Take(s catalog.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(s).Take(b.now())
}
