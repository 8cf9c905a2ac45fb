package retry_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/retry"
)

func budgets(requests int, now decide.Instant) retry.Budgets {
	b := retry.Budgets{
		retry.NewBudget(retry.InstancePercent, retry.InstanceMinRetries(9)),
		retry.NewBudget(retry.UpstreamPercent, retry.UpstreamMinRetries),
		retry.NewBudget(retry.WorkspacePercent, retry.WorkspaceMinRetries),
	}
	for range requests {
		b.RecordRequest(now)
	}
	return b
}

func TestAfter(t *testing.T) {
	const now = decide.Instant(100 * time.Second)
	ok := retry.Failure{Started: true, Idempotent: true, Attempts: 1, TimeLeft: time.Minute, OtherUpstream: true}
	with := func(change func(*retry.Failure)) retry.Failure {
		f := ok
		change(&f)
		return f
	}
	rows := []struct {
		name   string
		f      retry.Failure
		spent  bool
		reason decide.Reason
	}{
		{"idempotent", ok, false, retry.ReasonIdempotent},
		{"booking that may have run", with(func(f *retry.Failure) { f.Idempotent = false }), false, retry.ReasonMayHaveRun},
		{"booking that did not start", with(func(f *retry.Failure) { f.Idempotent, f.Started = false, false }), false, retry.ReasonNotStarted},
		{"did not start, budget spent", with(func(f *retry.Failure) { f.Started = false }), true, retry.ReasonNotStarted},
		{"attempts spent", with(func(f *retry.Failure) { f.Attempts = 4 }), false, retry.ReasonAttemptsSpent},
		{"no time", with(func(f *retry.Failure) { f.TimeLeft = 40 * time.Millisecond }), false, retry.ReasonNoTime},
		{"no time for what the upstream asks", with(func(f *retry.Failure) { f.TimeLeft, f.RetryAfter, f.OtherUpstream = time.Second, 2*time.Second, false }), false, retry.ReasonNoTime},
		{"budget spent", ok, true, retry.ReasonBudgetWait},
		{"budget spent for long", with(func(f *retry.Failure) { f.BudgetWait = 3900 * time.Millisecond }), true, retry.ReasonBudgetSpent},
		{"budget spent and little time", with(func(f *retry.Failure) { f.TimeLeft = 200 * time.Millisecond }), true, retry.ReasonBudgetSpent},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			b := budgets(100, now)
			for row.spent && b[0].Remaining(now) > 0 {
				b[0].RecordRetry(now)
			}
			v := retry.DefaultParams().Decide(row.f, b, rand.New(rand.NewPCG(1, 1)), now)
			is.Equal(v.Reason, row.reason)
			is.True(!v.Retry || v.Wait+retry.DefaultParams().MinTimeLeft <= row.f.TimeLeft) // the wait fits in the time left
			is.True(!(v.Retry && v.WaitForBudget))
		})
	}
}

// Thousands of streams break at one moment. If all came back at one moment, the engines that are left
// would see the same burst again after each backoff.
func TestBackoffSpreads(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	f := retry.Failure{Idempotent: true, Attempts: 3, TimeLeft: time.Minute}
	buckets := map[time.Duration]int{}
	const n, width = 1000, 16 * time.Millisecond
	for range n {
		v := retry.DefaultParams().Decide(f, retry.Budgets{}, r, 0)
		is.True(v.Retry)
		buckets[v.Wait/width]++
	}
	is.Equal(len(buckets), 10) // 160 ms: 20 ms doubled three times
	for _, c := range buckets {
		is.True(c < n/5)
	}
}

// One noisy workspace spends its own part and leaves the rest to the others.
func TestOneWorkspaceDoesNotSpendAll(t *testing.T) {
	is := is.New(t)
	const now = decide.Instant(100 * time.Second)
	instance, up := retry.NewBudget(9, 1), retry.NewBudget(100, 1)
	noisy, quiet := retry.NewBudget(30, 1), retry.NewBudget(30, 1)
	for i := range 1000 {
		b := retry.Budgets{instance, up, quiet}
		if i%20 == 0 {
			b[2] = noisy
		}
		b.RecordRequest(now)
	}
	f := retry.Failure{Started: true, Idempotent: true, Attempts: 1, TimeLeft: time.Minute, OtherUpstream: true}
	r := rand.New(rand.NewPCG(1, 3))
	taken := 0
	for retry.DefaultParams().Decide(f, retry.Budgets{instance, up, noisy}, r, now).Retry {
		taken++
	}
	is.Equal(taken, 15)
	is.True(retry.DefaultParams().Decide(f, retry.Budgets{instance, up, quiet}, r, now).Retry)
}

func TestBudgetForgets(t *testing.T) {
	is := is.New(t)
	b := retry.NewBudget(10, 0)
	is.Equal(b.Remaining(decide.Instant(time.Second)), int64(0))
	for i := range 100 {
		b.RecordRequest(decide.Instant(time.Duration(i) * 50 * time.Millisecond))
	}
	is.Equal(b.Remaining(decide.Instant(5*time.Second)), int64(10))
	b.RecordRetry(decide.Instant(5 * time.Second))
	is.Equal(b.Remaining(decide.Instant(5*time.Second)), int64(9))
	is.Equal(b.Remaining(decide.Instant(15*time.Second)), int64(-1)) // the requests are forgotten before the retries
	is.Equal(b.Remaining(decide.Instant(16*time.Second)), int64(0))
}

func TestBudgetIsSafeForConcurrentUse(t *testing.T) {
	is := is.New(t)
	b := retry.NewBudget(100, 0)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				b.RecordRequest(decide.Instant(time.Second))
			}
		})
	}
	wg.Wait()
	is.Equal(b.Remaining(decide.Instant(time.Second)), int64(8000))
}
