package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/retry"
	"github.com/damaskshelf/damaskshelf/internal/vtime"
)

// storm is nine instances before twelve engines in three failure domains, in virtual time.
type storm struct {
	loop      vtime.Loop
	random    *rand.Rand
	params    retry.Params
	free      bool // guard off: retries cost no budget
	instances []*instance
	service   time.Duration
	fails     func(domain int, now decide.Instant) failure

	requests, dispatches []decide.Instant
	ok, failed           int
}

type failure uint8

const (
	works      failure = iota
	refuses            // the connection is refused: nothing starts
	errorsLate         // the work starts and fails
)

type instance struct {
	all        *retry.Budget
	workspaces [10]*retry.Budget
	upstreams  [12]*retry.Budget
	suspect    [12]decide.Instant // not chosen until then
}

const domainEngines = 4

func newStorm(service time.Duration, free bool, fails func(int, decide.Instant) failure) *storm {
	s := &storm{
		random: rand.New(rand.NewPCG(9, 9)), params: retry.DefaultParams(), free: free, service: service, fails: fails,
	}
	for range 9 {
		n := &instance{all: retry.NewBudget(retry.InstancePercent, retry.InstanceMinRetries(9))}
		for i := range n.workspaces {
			n.workspaces[i] = retry.NewBudget(retry.WorkspacePercent, retry.WorkspaceMinRetries)
		}
		for i := range n.upstreams {
			n.upstreams[i] = retry.NewBudget(retry.UpstreamPercent, retry.UpstreamMinRetries)
		}
		s.instances = append(s.instances, n)
	}
	return s
}

func (s *storm) arrive(rate float64) {
	s.loop.After(vtime.Exponential(s.random, rate), func() {
		s.arrive(rate)
		s.requests = append(s.requests, s.loop.Now())
		n, w := s.instances[s.random.IntN(9)], s.random.IntN(10)
		s.dispatch(n, w, 1, s.loop.Now().Add(time.Minute))
	})
}

// choose takes any engine that is not suspect, or any.
func (s *storm) choose(n *instance) int {
	e := s.random.IntN(12)
	for range 12 {
		if n.suspect[e] <= s.loop.Now() {
			break
		}
		e = (e + 1) % 12
	}
	return e
}

func (s *storm) dispatch(n *instance, w, attempt int, deadline decide.Instant) {
	now := s.loop.Now()
	e := s.choose(n)
	b := retry.Budgets{n.all, n.upstreams[e], n.workspaces[w]}
	if attempt == 1 {
		b.RecordRequest(now)
	}
	fail := func(started bool) {
		n.suspect[e] = s.loop.Now().Add(time.Second)
		s.ended(n, w, retry.Failure{
			Started: started, Idempotent: true, Attempts: attempt, TimeLeft: deadline.Sub(s.loop.Now()), OtherUpstream: true,
		}, b, deadline)
	}
	if s.fails(e/domainEngines, now) == refuses {
		s.loop.After(time.Millisecond, func() { fail(false) })
		return
	}
	s.dispatches = append(s.dispatches, now)
	took := vtime.Exponential(s.random, 1/s.service.Seconds())
	if s.fails(e/domainEngines, now) == errorsLate {
		took = min(took, 200*time.Millisecond)
	}
	s.watch(e, now.Add(took), func(ok bool) {
		if ok {
			s.ok++
			return
		}
		fail(true)
	})
}

// watch ends a dispatch at its time, or as soon as its engine fails.
func (s *storm) watch(e int, end decide.Instant, done func(ok bool)) {
	now := s.loop.Now()
	switch {
	case s.fails(e/domainEngines, now) == refuses:
		done(false)
	case now >= end:
		done(s.fails(e/domainEngines, now) == works)
	default:
		s.loop.At(min(end, now.Add(50*time.Millisecond)), func() { s.watch(e, end, done) })
	}
}

func (s *storm) ended(n *instance, w int, f retry.Failure, b retry.Budgets, deadline decide.Instant) {
	v := s.params.Decide(f, b, s.random, s.loop.Now())
	if s.free && f.Attempts < s.params.MaxAttempts {
		v = retry.Verdict{Retry: true}
	}
	switch {
	case v.Retry:
		s.loop.After(v.Wait, func() { s.dispatch(n, w, f.Attempts+1, deadline) })
	case v.WaitForBudget:
		f.BudgetWait += v.Wait
		f.TimeLeft -= v.Wait
		s.loop.After(v.Wait, func() { s.ended(n, w, f, b, deadline) })
	default:
		s.failed++
	}
}

// amplification is the most dispatches for each request over any Window.
func (s *storm) amplification() float64 {
	most, from, to, q := 0.0, 0, 0, 0
	for i, at := range s.dispatches {
		for s.dispatches[from] <= at.Add(-retry.Window) {
			from++
		}
		for to < len(s.requests) && s.requests[to] <= at {
			to++
		}
		for s.requests[q] <= at.Add(-retry.Window) {
			q++
		}
		if at > decide.Instant(retry.Window) {
			most = max(most, float64(i-from+1)/float64(to-q))
		}
	}
	return most
}

// A failure domain goes, or all engines begin to fail. Every request on them is dispatched again, and
// again when that fails: the engines that are left get several times the load that the callers make, and
// fail too. The budgets hold the sum of dispatches to 1.1 for each request over any ten seconds.
func TestNoRetryStorm(t *testing.T) {
	goes := func(domain int, now decide.Instant) failure {
		if domain == 0 && now > decide.Instant(30*time.Second) {
			return refuses
		}
		return works
	}
	all := func(_ int, now decide.Instant) failure {
		if now > decide.Instant(30*time.Second) && now < decide.Instant(50*time.Second) {
			return errorsLate
		}
		return works
	}
	rows := []struct {
		name    string
		rate    float64
		service time.Duration
		fails   func(int, decide.Instant) failure
		storm   bool // over the bound without the budgets
	}{
		{"domain goes, short answers", 60, time.Second, goes, false},
		{"domain goes, long answers", 60, 8 * time.Second, goes, true},
		{"domain goes, little load", 10, 3 * time.Second, goes, false},
		{"all engines fail for 20 s", 60, time.Second, all, true},
	}
	const bound = 1.1
	for _, row := range rows {
		for _, free := range []bool{true, false} {
			s := newStorm(row.service, free, row.fails)
			s.arrive(row.rate)
			s.loop.RunUntil(decide.Instant(90 * time.Second))
			a := s.amplification()
			t.Logf("%-28s %-13s amplification %.3f, answered %4d, failed %4d",
				row.name, map[bool]string{true: "no budgets", false: "with budgets"}[free], a, s.ok, s.failed)
			if !free && a > bound {
				t.Errorf("%s: %.3f dispatches a request", row.name, a)
			}
			if free && (a > bound) != row.storm {
				t.Errorf("%s: %.3f without the budgets: the case does not show what it says", row.name, a)
			}
		}
	}
}
