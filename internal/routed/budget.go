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

// allocatedShare is the part of the fleet's retry limit that the shares of all instances add up to once they have run for a
// Window. The rest covers instances that start, and differences between the instances: a request is counted only by the instance
// that received it, and while an instance joins, the others divide the slack by fewer members.
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
	clean     bool                                 // guarded by mu: the process before this one is known not to have been killed
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
	ratio, slack := b.allocation()
	share.SetLimits(*b.rules.Ratio*ratio, *b.rules.Slack*slack)
	return share
}

// joined records whether the process before this one was killed, which is known once this one has joined the fleet.
func (b *budgets) joined(formerKilled bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.clean = !formerKilled
}

// allocation returns the parts of the rule's ratio and slack that this instance may use now. What the processes before it spent
// is taken from the slack alone, as the ratio is of this process's own requests. The starting slack of a process whose predecessor
// may have been killed grows from zero, so that any number of short lives spends it once. The caller holds mu.
func (b *budgets) allocation() (ratio, slack float64) {
	ratio, slack = 1, startingShare
	switch age := time.Duration(b.now()); {
	case age >= retry.Window:
		ratio, slack = allocatedShare, allocatedShare
	case !b.clean:
		slack *= age.Seconds() / retry.Window.Seconds()
	}
	n := b.divisor()
	if n == 0 {
		return ratio, 0
	}
	return ratio, slack / float64(n)
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
