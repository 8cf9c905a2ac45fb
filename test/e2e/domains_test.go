package e2e_test

import (
	"encoding/json"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/operate"
	"github.com/damaskshelf/damaskshelf/internal/standin/cluster"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/standin/rawhttp"
)

// drainGrace is the time after a drain's confirmation during which the failure domain may still receive new work.
const drainGrace = 5 * time.Second

// proposePlan asks an entry instance for a plan of the change.
func (f *fleet) proposePlan(change api.Change, e *entry) api.Plan {
	f.t.Helper()
	is := is.New(f.t)
	data, err := json.Marshal(change)
	is.NoErr(err)
	var plan api.Plan
	r := f.requireSuccess(rawhttp.Call{Path: operate.PathPlans, Body: data}.Do(e.operators))
	is.NoErr(json.Unmarshal(r.Body, &plan))
	return plan
}

// confirmPlan asks an entry instance to put a plan in force, and returns its response.
func confirmPlan(plan api.Plan, e *entry) *rawhttp.Result {
	return rawhttp.Call{Path: strings.Replace(operate.PathConfirm, "{id}", plan.ID, 1)}.Do(e.operators)
}

// applyChange proposes and confirms a change through an entry instance. It returns the new configuration's version.
func (f *fleet) applyChange(change api.Change, e *entry) uint64 {
	f.t.Helper()
	r := f.requireSuccess(confirmPlan(f.proposePlan(change, e), e))
	var confirmation api.Confirmation
	is.New(f.t).NoErr(json.Unmarshal(r.Body, &confirmation))
	return confirmation.ConfigVersion
}

// drainDomain drains a failure domain through an entry instance. It returns the new configuration's version.
func (f *fleet) drainDomain(domain string, e *entry) uint64 {
	f.t.Helper()
	return f.applyChange(api.Change{Drain: domain}, e)
}

// configVersion returns the version of the configuration in force on an entry instance, or 0 if its status can't be read.
func (e *entry) configVersion() uint64 {
	r := rawhttp.Call{Method: fasthttp.MethodGet, Path: operate.PathStatus, Timeout: 2 * time.Second}.Do(e.operators)
	var s api.Status
	if r.Status != fasthttp.StatusOK || json.Unmarshal(r.Body, &s) != nil {
		return 0
	}
	return s.ConfigVersion
}

// awaitConfig waits until every entry instance has a configuration of at least the version in force.
func (f *fleet) awaitConfig(version uint64) {
	f.t.Helper()
	for _, e := range f.startedEntries() {
		f.await(e.row.ID+" has the configuration in force", func() bool { return e.configVersion() >= version })
	}
}

// countDomainRuns returns the number of requests that have run in a failure domain, on engines and service instances.
func (f *fleet) countDomainRuns(domain string) int {
	f.t.Helper()
	r := f.requireSuccess(rawhttp.Call{Method: fasthttp.MethodGet, Path: cluster.PathInstances}.Do(f.addrs.Control))
	var list struct {
		Instances []struct {
			ID     string `json:"id"`
			Domain string `json:"failure_domain"`
		} `json:"instances"`
	}
	is.New(f.t).NoErr(json.Unmarshal(r.Body, &list))
	counters, n := f.counters(), 0
	for _, row := range list.Instances {
		if row.Domain != domain {
			continue
		}
		for _, runs := range counters.Engines[row.ID].Runs {
			n += runs
		}
		for _, e := range counters.Executions {
			if e.InstanceID == row.ID {
				n++
			}
		}
	}
	return n
}

// Operators drain a failure domain under load and restore it. No request fails. From five seconds after the confirmation
// the domain receives no new work, and after it is restored it receives work again.
func TestDrainedDomain(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	runUnderLoad(t, f, noneMayFail, func() {
		version := f.drainDomain(domains[0], f.startedEntries()[1])
		time.Sleep(drainGrace)
		f.awaitConfig(version)
		runsBefore := f.countDomainRuns(domains[0])
		time.Sleep(faultPeriod)
		is.Equal(f.countDomainRuns(domains[0]), runsBefore)
		f.applyChange(api.Change{Restore: domains[0]}, f.startedEntries()[2])
		f.await("the failure domain receives work again", func() bool { return f.countDomainRuns(domains[0]) > runsBefore })
	})
}

// An entry instance is paused while operators drain a failure domain, and callers' requests wait in its sockets. It
// resumes more than five seconds after the confirmation with the older configuration, which still allows the failure
// domain. It must not send the requests there.
func TestEntryPausedAcrossADrain(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	paused := f.startedEntries()[0]
	f.signal(paused, syscall.SIGSTOP)
	f.drainDomain(domains[0], f.startedEntries()[1])
	time.Sleep(drainGrace)
	runsBefore := f.countDomainRuns(domains[0])
	const waitingRequests = 20
	var ids []string
	var results []<-chan *rawhttp.Result
	for range waitingRequests {
		id := newRequestID("prompt")
		ids = append(ids, id)
		results = append(results, doAsync(promptCall(id, 100, 20, true), paused))
	}
	time.Sleep(stepPause)
	f.signal(paused, syscall.SIGCONT)
	runHeader := func(r *rawhttp.Result) string { return r.Header["X-Run"] }
	for n, r := range results {
		result := <-r
		if result.Status == fasthttp.StatusOK {
			is.NoErr(result.CheckStream(ids[n], 20))
			continue
		}
		is.True(result.Err == nil) // answered with an error, not cut off
		is.True(runHeader(result) != "")
	}
	is.Equal(f.countDomainRuns(domains[0]), runsBefore)
	f.awaitService()
}

// Two operators drain different failure domains at the same time, based on the same configuration, while the object API
// loses answers. Each operator receives the outcome, or a response that it is unknown, and confirms again. One plan is
// accepted and the other one conflicts. The accepted change comes into force on every instance, and no instance ever
// returns to an older configuration, although the store's reads become stale for a time.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	entries := f.startedEntries()
	first, second := f.proposePlan(api.Change{Drain: domains[0]}, entries[0]), f.proposePlan(api.Change{Drain: domains[1]}, entries[1])

	stop, rollbacks := make(chan struct{}), make(chan string, len(entries))
	for _, e := range entries {
		go func() { rollbacks <- watchForRollback(e, stop) }()
	}
	f.setFault(cluster.TargetObjects, faults.LoseAnswer, true)
	results := make(chan *rawhttp.Result, 2)
	go func() { results <- confirmPlan(first, entries[0]) }()
	go func() { results <- confirmPlan(second, entries[1]) }()
	time.Sleep(stepPause)
	f.setFault(cluster.TargetObjects, faults.LoseAnswer, false)
	one, two := <-results, <-results
	for _, r := range []*rawhttp.Result{one, two} {
		is.True(r.Status != fasthttp.StatusServiceUnavailable || strings.Contains(string(r.Body), `"run":"unknown"`))
	}
	one, two = f.confirmUntilKnown(first, entries[1]), f.confirmUntilKnown(second, entries[0]) // each through the other instance
	statuses := []int{one.Status, two.Status}
	slices.Sort(statuses)
	is.Equal(statuses, []int{200, 409})
	accepted := one
	if two.Status == fasthttp.StatusOK {
		accepted = two
	}
	var confirmation api.Confirmation
	is.NoErr(json.Unmarshal(accepted.Body, &confirmation))
	f.awaitConfig(confirmation.ConfigVersion)

	restore := f.proposePlan(api.Change{Restore: f.drainedBy(confirmation.PlanID, first, second)}, entries[2])
	f.setFault(cluster.TargetObjects, faults.StaleReads, true)
	is.NoErr(json.Unmarshal(f.requireSuccess(confirmPlan(restore, entries[2])).Body, &confirmation))
	time.Sleep(stepPause)
	f.setFault(cluster.TargetObjects, faults.StaleReads, false)
	f.awaitConfig(confirmation.ConfigVersion)
	close(stop)
	for range entries {
		is.Equal(<-rollbacks, "")
	}
}

// drainedBy returns the failure domain that the plan with the accepted id drains.
func (f *fleet) drainedBy(accepted string, plans ...api.Plan) string {
	for _, p := range plans {
		if p.ID == accepted {
			return p.Change.Drain
		}
	}
	f.t.Fatalf("plan %s is not one of those proposed", accepted)
	return ""
}

// confirmUntilKnown confirms a plan until the response states a definite outcome, and returns that response.
func (f *fleet) confirmUntilKnown(plan api.Plan, e *entry) (r *rawhttp.Result) {
	f.await("the outcome of the confirmation is known", func() bool {
		r = confirmPlan(plan, e)
		return r.Status != fasthttp.StatusServiceUnavailable && r.Status != 0
	})
	return r
}

// watchForRollback polls the version in force on an instance until stop is closed. If the version decreases, it returns a
// message, otherwise an empty string.
func watchForRollback(e *entry, stop <-chan struct{}) string {
	highest := uint64(0)
	for {
		select {
		case <-stop:
			return ""
		case <-time.After(pollInterval):
		}
		version := e.configVersion()
		if version == 0 {
			continue
		}
		if version < highest {
			return e.row.ID + " returned to an older configuration"
		}
		highest = version
	}
}
