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

// newBudgets returns budgets with the default parameters in which the given number of requests are counted at now.
func newBudgets(requests int, now decide.Instant) retry.Budgets {
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

// Checks the verdict for each kind of failure, with and without an exhausted budget.
func TestAfter(t *testing.T) {
	const now = decide.Instant(100 * time.Second)
	retryable := retry.Failure{Started: true, Idempotent: true, Attempts: 1, TimeLeft: time.Minute, OtherUpstream: true}
	modified := func(change func(*retry.Failure)) retry.Failure {
		f := retryable
		change(&f)
		return f
	}
	rows := []struct {
		name      string
		f         retry.Failure
		exhausted bool
		reason    decide.Reason
	}{
		{"idempotent", retryable, false, retry.ReasonIdempotent},
		{"not idempotent, may have run", modified(func(f *retry.Failure) { f.Idempotent = false }), false, retry.ReasonMayHaveRun},
		{"not idempotent, did not start", modified(func(f *retry.Failure) { f.Idempotent, f.Started = false, false }), false, retry.ReasonNotStarted},
		{"did not start, budget exhausted", modified(func(f *retry.Failure) { f.Started = false }), true, retry.ReasonNotStarted},
		{"attempts exhausted", modified(func(f *retry.Failure) { f.Attempts = 4 }), false, retry.ReasonAttemptsSpent},
		{"no time", modified(func(f *retry.Failure) { f.TimeLeft = 40 * time.Millisecond }), false, retry.ReasonNoTime},
		{"no time for the upstream's Retry-After", modified(func(f *retry.Failure) { f.TimeLeft, f.RetryAfter, f.OtherUpstream = time.Second, 2*time.Second, false }), false, retry.ReasonNoTime},
		{"budget exhausted", retryable, true, retry.ReasonBudgetWait},
		{"budget exhausted for long", modified(func(f *retry.Failure) { f.BudgetWait = 3900 * time.Millisecond }), true, retry.ReasonBudgetSpent},
		{"budget exhausted and little time", modified(func(f *retry.Failure) { f.TimeLeft = 200 * time.Millisecond }), true, retry.ReasonBudgetSpent},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			b := newBudgets(100, now)
			for row.exhausted && b[0].Remaining(now) > 0 {
				b[0].RecordRetry(now)
			}
			v := retry.DefaultParams().Decide(row.f, b, rand.New(rand.NewPCG(1, 1)), now)
			is.Equal(v.Reason, row.reason)
			is.True(!v.Retry || v.Wait+retry.DefaultParams().MinTimeLeft <= row.f.TimeLeft) // the wait fits in the time left
			is.True(!(v.Retry && v.WaitForBudget))
		})
	}
}

// Guards against synchronized retries: if thousands of streams that break together were retried together, the
// remaining engines would receive the same burst after each backoff.
func TestBackoffIsSpread(t *testing.T) {
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

// A workspace with many failures exhausts its own budget and leaves the instance's budget to the others.
func TestOneWorkspaceDoesNotExhaustTheInstanceBudget(t *testing.T) {
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

// Requests and retries older than the window no longer count.
func TestBudgetForgetsOldRequestsAndRetries(t *testing.T) {
	is := is.New(t)
	b := retry.NewBudget(10, 0)
	is.Equal(b.Remaining(decide.Instant(time.Second)), int64(0))
	for i := range 100 {
		b.RecordRequest(decide.Instant(time.Duration(i) * 50 * time.Millisecond))
	}
	is.Equal(b.Remaining(decide.Instant(5*time.Second)), int64(10))
	b.RecordRetry(decide.Instant(5 * time.Second))
	is.Equal(b.Remaining(decide.Instant(5*time.Second)), int64(9))
	is.Equal(b.Remaining(decide.Instant(15*time.Second)), int64(-1)) // requests leave the count before retries do
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
