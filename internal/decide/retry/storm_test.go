package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/retry"
	"github.com/damaskshelf/damaskshelf/internal/vtime"
)

// simulation runs nine instances in front of twelve engines in three failure domains, in virtual time.
type simulation struct {
	loop      vtime.Loop
	random    *rand.Rand
	params    retry.Params
	noBudgets bool // guard off: retries are not limited by budgets
	instances []*instance
	service   time.Duration
	failureAt func(domain int, now decide.Instant) failure

	requests, dispatches []decide.Instant
	ok, failed           int
}

// failure is the state of the engines of a failure domain.
type failure uint8

const (
	healthy            failure = iota
	refusesConnections         // the engine refuses connections: no work starts
	failsAfterStart            // work starts and then fails
)

// instance is one instance with its budgets and its list of suspect engines.
type instance struct {
	all          *retry.Budget
	workspaces   [10]*retry.Budget
	upstreams    [12]*retry.Budget
	suspectUntil [12]decide.Instant // not chosen before this instant
}

// domainEngines is the number of engines in each failure domain.
const domainEngines = 4

// newSimulation returns a simulation of engines with the given mean service time. failureAt returns the state of a
// failure domain at an instant.
func newSimulation(service time.Duration, noBudgets bool, failureAt func(int, decide.Instant) failure) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(9, 9)), params: retry.DefaultParams(), noBudgets: noBudgets,
		service: service, failureAt: failureAt,
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

// arrive schedules the arrival of requests at the given rate per second.
func (s *simulation) arrive(rate float64) {
	s.loop.After(vtime.Exponential(s.random, rate), func() {
		s.arrive(rate)
		s.requests = append(s.requests, s.loop.Now())
		n, w := s.instances[s.random.IntN(9)], s.random.IntN(10)
		s.dispatch(n, w, 1, s.loop.Now().Add(time.Minute))
	})
}

// choose returns a random engine that is not suspect, or any engine if all are.
func (s *simulation) choose(n *instance) int {
	e := s.random.IntN(12)
	for range 12 {
		if n.suspectUntil[e] <= s.loop.Now() {
			break
		}
		e = (e + 1) % 12
	}
	return e
}

// dispatch sends the request to an engine and follows it to its outcome.
func (s *simulation) dispatch(n *instance, w, attempt int, deadline decide.Instant) {
	now := s.loop.Now()
	e := s.choose(n)
	b := retry.Budgets{n.all, n.upstreams[e], n.workspaces[w]}
	if attempt == 1 {
		b.RecordRequest(now)
	}
	fail := func(started bool) {
		n.suspectUntil[e] = s.loop.Now().Add(time.Second)
		s.handleFailure(n, w, retry.Failure{
			Started: started, Idempotent: true, Attempts: attempt, TimeLeft: deadline.Sub(s.loop.Now()), OtherUpstream: true,
		}, b, deadline)
	}
	if s.failureAt(e/domainEngines, now) == refusesConnections {
		s.loop.After(time.Millisecond, func() { fail(false) })
		return
	}
	s.dispatches = append(s.dispatches, now)
	duration := vtime.Exponential(s.random, 1/s.service.Seconds())
	if s.failureAt(e/domainEngines, now) == failsAfterStart {
		duration = min(duration, 200*time.Millisecond)
	}
	s.watch(e, now.Add(duration), func(ok bool) {
		if ok {
			s.ok++
			return
		}
		fail(true)
	})
}

// watch ends a dispatch at the given instant, or as soon as its engine refuses connections. It then calls done with
// whether the dispatch succeeded.
func (s *simulation) watch(e int, end decide.Instant, done func(ok bool)) {
	now := s.loop.Now()
	switch {
	case s.failureAt(e/domainEngines, now) == refusesConnections:
		done(false)
	case now >= end:
		done(s.failureAt(e/domainEngines, now) == healthy)
	default:
		s.loop.At(min(end, now.Add(50*time.Millisecond)), func() { s.watch(e, end, done) })
	}
}

// handleFailure carries out the decision that follows a failed dispatch.
func (s *simulation) handleFailure(n *instance, w int, f retry.Failure, b retry.Budgets, deadline decide.Instant) {
	v := s.params.Decide(f, b, s.random, s.loop.Now())
	if s.noBudgets && f.Attempts < s.params.MaxAttempts {
		v = retry.Verdict{Retry: true}
	}
	switch {
	case v.Retry:
		s.loop.After(v.Wait, func() { s.dispatch(n, w, f.Attempts+1, deadline) })
	case v.WaitForBudget:
		f.BudgetWait += v.Wait
		f.TimeLeft -= v.Wait
		s.loop.After(v.Wait, func() { s.handleFailure(n, w, f, b, deadline) })
	default:
		s.failed++
	}
}

// amplification returns the highest number of dispatches per request over any Window.
func (s *simulation) amplification() float64 {
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

// Guards against a retry storm: when a failure domain is lost or all engines fail, every request is retried, and
// again if the retry fails, so that the remaining engines receive several times the callers' load and fail too.
// The budgets limit dispatches to 1.1 per request over any ten seconds.
func TestNoRetryStorm(t *testing.T) {
	domainFails := func(domain int, now decide.Instant) failure {
		if domain == 0 && now > decide.Instant(30*time.Second) {
			return refusesConnections
		}
		return healthy
	}
	allFail := func(_ int, now decide.Instant) failure {
		if now > decide.Instant(30*time.Second) && now < decide.Instant(50*time.Second) {
			return failsAfterStart
		}
		return healthy
	}
	rows := []struct {
		name      string
		rate      float64
		service   time.Duration
		failureAt func(int, decide.Instant) failure
		amplified bool // amplification exceeds the bound without the budgets
	}{
		{"domain lost, short answers", 60, time.Second, domainFails, false},
		{"domain lost, long answers", 60, 8 * time.Second, domainFails, true},
		{"domain lost, little load", 10, 3 * time.Second, domainFails, false},
		{"all engines fail for 20 s", 60, time.Second, allFail, true},
	}
	const bound = 1.1
	for _, row := range rows {
		for _, noBudgets := range []bool{true, false} {
			s := newSimulation(row.service, noBudgets, row.failureAt)
			s.arrive(row.rate)
			s.loop.RunUntil(decide.Instant(90 * time.Second))
			a := s.amplification()
			t.Logf("%-28s %-13s amplification %.3f, answered %4d, failed %4d",
				row.name, map[bool]string{true: "no budgets", false: "with budgets"}[noBudgets], a, s.ok, s.failed)
			if !noBudgets && a > bound {
				t.Errorf("%s: %.3f dispatches per request with budgets", row.name, a)
			}
			if noBudgets && (a > bound) != row.amplified {
				t.Errorf("%s: %.3f dispatches per request without budgets: the case does not match its amplified field", row.name, a)
			}
		}
	}
}
