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

// drainLag is how long a failure domain that was taken out may still get new work.
const drainLag = 5 * time.Second

// propose asks an entry instance for a plan of the change.
func (f *fleet) propose(change api.Change, e *entry) api.Plan {
	f.t.Helper()
	is := is.New(f.t)
	data, err := json.Marshal(change)
	is.NoErr(err)
	var plan api.Plan
	r := f.must(rawhttp.Call{Path: operate.PathPlans, Body: data}.Do(e.operators))
	is.NoErr(json.Unmarshal(r.Body, &plan))
	return plan
}

// confirm asks an entry instance to put a plan in force.
func confirm(plan api.Plan, e *entry) *rawhttp.Result {
	return rawhttp.Call{Path: strings.Replace(operate.PathConfirm, "{id}", plan.ID, 1)}.Do(e.operators)
}

// change proposes a change and confirms it; it gives the configuration's version.
func (f *fleet) change(change api.Change, e *entry) uint64 {
	f.t.Helper()
	r := f.must(confirm(f.propose(change, e), e))
	var done api.Confirmation
	is.New(f.t).NoErr(json.Unmarshal(r.Body, &done))
	return done.ConfigVersion
}

// drain takes a failure domain out through an entry instance.
func (f *fleet) drain(domain string, e *entry) uint64 {
	f.t.Helper()
	return f.change(api.Change{Drain: domain}, e)
}

// version is the configuration's version in force on an entry instance, or 0.
func (e *entry) version() uint64 {
	r := rawhttp.Call{Method: fasthttp.MethodGet, Path: operate.PathStatus, Timeout: 2 * time.Second}.Do(e.operators)
	var s api.Status
	if r.Status != fasthttp.StatusOK || json.Unmarshal(r.Body, &s) != nil {
		return 0
	}
	return s.ConfigVersion
}

func (f *fleet) awaitInForce(version uint64) {
	f.t.Helper()
	for _, e := range f.started() {
		f.await(e.row.ID+" has the configuration in force", func() bool { return e.version() >= version })
	}
}

// domainRuns counts what was started in a failure domain.
func (f *fleet) domainRuns(domain string) int {
	f.t.Helper()
	r := f.must(rawhttp.Call{Method: fasthttp.MethodGet, Path: cluster.PathInstances}.Do(f.addrs.Control))
	var list struct {
		Instances []struct {
			ID     string `json:"id"`
			Domain string `json:"failure_domain"`
		} `json:"instances"`
	}
	is.New(f.t).NoErr(json.Unmarshal(r.Body, &list))
	saw, n := f.counters(), 0
	for _, row := range list.Instances {
		if row.Domain != domain {
			continue
		}
		for _, runs := range saw.Engines[row.ID].Runs {
			n += runs
		}
		for _, e := range saw.Executions {
			if e.InstanceID == row.ID {
				n++
			}
		}
	}
	return n
}

// Operators take a failure domain out under load and bring it back. No request fails; a few seconds after
// the confirmation it gets no new work, and after its return it gets work again.
func TestDrainedDomain(t *testing.T) {
	is := is.New(t)
	f := start(t)
	run(t, f, all, func() {
		version := f.drain(domains[0], f.started()[1])
		time.Sleep(drainLag)
		f.awaitInForce(version)
		was := f.domainRuns(domains[0])
		time.Sleep(during)
		is.Equal(f.domainRuns(domains[0]), was)
		f.change(api.Change{Restore: domains[0]}, f.started()[2])
		f.await("the domain gets work again", func() bool { return f.domainRuns(domains[0]) > was })
	})
}

// An entry instance is paused; meanwhile operators take a failure domain out. Its callers' requests wait in
// its sockets. When it goes on, a few seconds after the confirmation, it must not bring them there, though
// the configuration it knows allows it.
func TestEntryPausedAcrossADrain(t *testing.T) {
	is := is.New(t)
	f := start(t)
	paused := f.started()[0]
	f.signal(paused, syscall.SIGSTOP)
	f.drain(domains[0], f.started()[1])
	time.Sleep(drainLag)
	was := f.domainRuns(domains[0])
	const waiting = 20
	var ids []string
	var results []<-chan *rawhttp.Result
	for range waiting {
		id := newID("prompt")
		ids = append(ids, id)
		results = append(results, background(prompt(id, 100, 20, true), paused))
	}
	time.Sleep(before)
	f.signal(paused, syscall.SIGCONT)
	saw := func(r *rawhttp.Result) string { return r.Header["X-Run"] }
	for n, r := range results {
		result := <-r
		if result.Status == fasthttp.StatusOK {
			is.NoErr(result.CheckStream(ids[n], 20))
			continue
		}
		is.True(result.Err == nil) // an explicit refusal
		is.True(saw(result) != "")
	}
	is.Equal(f.domainRuns(domains[0]), was)
	f.awaitService()
}

// Two operators take different failure domains out at the same time, from the same configuration, while
// answers of the object API get lost. Each is told the outcome or that it is unknown, and asks again: one is
// accepted and the other is shown a conflict. What was accepted comes in force everywhere and no instance
// ever goes back, though reads of the store turn stale.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	f := start(t)
	entries := f.started()
	first, second := f.propose(api.Change{Drain: domains[0]}, entries[0]), f.propose(api.Change{Drain: domains[1]}, entries[1])

	stop, reverted := make(chan struct{}), make(chan string, len(entries))
	for _, e := range entries {
		go func() { reverted <- watchVersion(e, stop) }()
	}
	f.fault(cluster.TargetObjects, faults.LoseAnswer, true)
	results := make(chan *rawhttp.Result, 2)
	go func() { results <- confirm(first, entries[0]) }()
	go func() { results <- confirm(second, entries[1]) }()
	time.Sleep(before)
	f.fault(cluster.TargetObjects, faults.LoseAnswer, false)
	one, two := <-results, <-results
	for _, r := range []*rawhttp.Result{one, two} {
		is.True(r.Status != fasthttp.StatusServiceUnavailable || strings.Contains(string(r.Body), `"run":"unknown"`))
	}
	one, two = f.settled(first, entries[1]), f.settled(second, entries[0]) // asked again, elsewhere
	statuses := []int{one.Status, two.Status}
	slices.Sort(statuses)
	is.Equal(statuses, []int{200, 409})
	accepted := one
	if two.Status == fasthttp.StatusOK {
		accepted = two
	}
	var done api.Confirmation
	is.NoErr(json.Unmarshal(accepted.Body, &done))
	f.awaitInForce(done.ConfigVersion)

	last := f.propose(api.Change{Restore: f.out(done.PlanID, first, second)}, entries[2])
	f.fault(cluster.TargetObjects, faults.StaleReads, true)
	is.NoErr(json.Unmarshal(f.must(confirm(last, entries[2])).Body, &done))
	time.Sleep(before)
	f.fault(cluster.TargetObjects, faults.StaleReads, false)
	f.awaitInForce(done.ConfigVersion)
	close(stop)
	for range entries {
		is.Equal(<-reverted, "")
	}
}

// out is the failure domain that the accepted one of the plans took out.
func (f *fleet) out(accepted string, plans ...api.Plan) string {
	for _, p := range plans {
		if p.ID == accepted {
			return p.Change.Drain
		}
	}
	f.t.Fatalf("plan %s is none of those proposed", accepted)
	return ""
}

// settled confirms a plan until the answer is certain.
func (f *fleet) settled(plan api.Plan, e *entry) (r *rawhttp.Result) {
	f.await("the confirmation is settled", func() bool {
		r = confirm(plan, e)
		return r.Status != fasthttp.StatusServiceUnavailable && r.Status != 0
	})
	return r
}

// watchVersion watches the configuration in force on an instance, and tells of a step back.
func watchVersion(e *entry, stop <-chan struct{}) string {
	highest := uint64(0)
	for {
		select {
		case <-stop:
			return ""
		case <-time.After(poll):
		}
		version := e.version()
		if version == 0 {
			continue
		}
		if version < highest {
			return e.row.ID + " went back to an older configuration"
		}
		highest = version
	}
}
