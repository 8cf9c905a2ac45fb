package routed

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/retry"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

// allocatedShare is the part of the fleet's retry limit that the shares of all instances add up to. The rest covers
// differences between the instances: a request is counted only by the instance that received it, and while an instance
// joins or leaves, the others divide the limit by different numbers of members.
const allocatedShare = 0.7

// startingShare is the part of the fleet's slack that instances add up to in their first Window, in which retries of the process
// before may still count. With allocatedShare it stays within the limit if each instance is killed any number of times in a
// Window, or stopped and started twice.
const startingShare = 0.15

// budgets holds this instance's shares of the fleet's retry limits, by service. It is safe for concurrent use.
type budgets struct {
	members func() int // number of instances that are listed now
	start   time.Time
	log     hclog.Logger
	metrics *metrics.Registry

	mu        sync.Mutex
	rules     api.Retries                          // guarded by mu
	shares    map[catalog.ServiceName]*retry.Share // guarded by mu
	noneLost  bool                                 // guarded by mu: no process before this one was killed lately
	listed    retry.Peak                           // guarded by mu: number of instances listed in the last window
	dividedBy int                                  // guarded by mu: number of instances that the limits were last divided by
}

// newBudgets returns budgets under the rules of the settings. It divides the limits by the number of instances that f
// lists.
func newBudgets(s api.Settings, f *watch.Follower, m *metrics.Registry, log hclog.Logger) *budgets {
	b := newBudgetsWithRules(s.Routed.Retries, func() int { return len(f.Snapshot().Members) })
	b.metrics, b.log = m, log
	return b
}

// newBudgetsWithRules returns budgets under the given rules.
func newBudgetsWithRules(rules api.Retries, members func() int) *budgets {
	return &budgets{
		rules: rules, members: members, start: time.Now(), log: hclog.NewNullLogger(), metrics: metrics.New(),
		shares: map[catalog.ServiceName]*retry.Share{},
	}
}

// setRules changes the rules for all services.
func (b *budgets) setRules(r api.Retries) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rules = r
}

// now returns the time since the budgets were created.
func (b *budgets) now() decide.Instant { return decide.Instant(time.Since(b.start)) }

// shareOf returns a service's share under the current rules. The caller holds mu.
func (b *budgets) shareOf(s catalog.ServiceName) *retry.Share {
	share := b.shares[s]
	if share == nil {
		share = &retry.Share{}
		b.shares[s] = share
	}
	slack := 0.0
	if n := b.divisor(); n > 0 {
		slack = *b.rules.Slack * b.slackShare() / float64(n)
	}
	share.SetLimits(*b.rules.Ratio*allocatedShare, slack)
	return share
}

// joined records whether the process before this one ended without a planned stop, so that it was in the middle of something.
func (b *budgets) joined(formerKilled bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noneLost = !formerKilled
}

// slackShare returns the part of the fleet's slack that all instances would add up to if they were like this one. While it isn't
// known that no process was killed, it grows from zero, so that it is the same in however many lives it is spent.
func (b *budgets) slackShare() float64 {
	switch age := time.Duration(b.now()); {
	case age >= retry.Window:
		return allocatedShare
	case b.noneLost:
		return startingShare
	default:
		return startingShare * age.Seconds() / retry.Window.Seconds()
	}
}

// divisor returns the number of instances that the slack is divided by, and logs its changes; 0: no instance is known. What an
// instance that isn't listed any more has spent counts for a Window more, and it may still run. The caller holds mu.
func (b *budgets) divisor() int {
	n := b.listed.Observe(b.now(), b.members())
	if n != b.dividedBy {
		b.log.Info("retry limit is divided", "instances", n, "before", b.dividedBy)
		b.dividedBy = n
		b.metrics.Gauge("retry_limit_instances").Update(int64(n))
	}
	return n
}

// RecordRequest implements gateway.RetryBudget.
func (b *budgets) RecordRequest(s catalog.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shareOf(s).RecordRequest(b.now())
}

// Allows implements gateway.RetryBudget.
func (b *budgets) Allows(s catalog.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok := b.shareOf(s).Allows(b.now())
	b.countRefused(ok)
	return ok
}

// Take implements gateway.RetryBudget.
func (b *budgets) Take(s catalog.ServiceName) (giveBack func(), ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	share, now := b.shareOf(s), b.now()
	ok = share.Take(now)
	b.countRefused(ok)
	if ok {
		b.metrics.Counter("retries").Inc(1)
	}
	return func() { share.Return(now) }, ok
}

// countRefused counts a retry that the budget refuses.
func (b *budgets) countRefused(ok bool) {
	if !ok {
		b.metrics.Counter("retries_refused").Inc(1)
	}
}
