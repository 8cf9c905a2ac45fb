// Package e2e_test runs the daemon and the stand-ins as processes of their own. It injects faults under load, and checks
// what callers received and what upstreams ran against the promises of docs/PROMISES.md.
package e2e_test

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/standin/cluster"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
)

const (
	stepPause     = 500 * time.Millisecond // between the steps of a scenario, under load
	faultPeriod   = 2 * time.Second        // of one fault under load
	maxViolations = 10                     // a test stops after printing so many violations
)

// Targets that stand for the engines that have run the most requests. A fault of an engine that receives no requests would
// have no effect.
const (
	busiestEngine       = "busiest engine"
	secondBusiestEngine = "second busiest engine"
)

// resolveTarget returns the id that a target of faultCases stands for.
func (f *fleet) resolveTarget(name string) string {
	f.t.Helper()
	if name != busiestEngine && name != secondBusiestEngine {
		return name
	}
	engines := f.counters().Engines
	ids := slices.Collect(maps.Keys(engines))
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(len(engines[b].Runs), len(engines[a].Runs)), cmp.Compare(a, b))
	})
	if name == busiestEngine {
		return ids[0]
	}
	return ids[1]
}

// noneMayFail requires that every request is answered completely.
func noneMayFail(*outcome) bool { return false }

// runUnderLoad runs the scenario while callers load the fleet. It checks that every outcome keeps the promises and that
// requests failed only where mayFail permits it. Afterwards the fleet must serve requests, and engines must be idle and
// hold no memory.
func runUnderLoad(t *testing.T, f *fleet, mayFail func(*outcome) bool, scenario func()) {
	t.Helper()
	load := f.startLoad()
	time.Sleep(stepPause)
	scenario()
	outcomes := load.stop()
	f.awaitService()
	f.await("engines are idle and hold no memory", f.enginesIdle)
	counters := f.counters()
	violations, failed := 0, 0
	for _, o := range outcomes {
		err := checkOutcome(o, counters)
		if err == nil && !o.complete() {
			failed++
			if !mayFail(o) {
				t.Errorf("failed: %v", o)
				violations++
			}
		}
		if err != nil {
			t.Errorf("%v: %v", err, o)
			violations++
		}
		if violations >= maxViolations {
			t.Fatal("too many violations; there may be more")
		}
	}
	t.Logf("%d requests, %d failed", len(outcomes), failed)
	is.New(t).True(len(outcomes) > 0)
}

// enginesIdle reports whether no engine has requests in flight or memory in use.
func (f *fleet) enginesIdle() bool {
	for _, e := range f.counters().Engines {
		if e.InFlight != 0 || e.HeldTokens != 0 {
			return false
		}
	}
	return true
}

// faultCases are faults of upstreams or of the platform under load. mayFail reports whether a request may fail.
var faultCases = []struct {
	name    string
	targets []string
	fault   faults.Fault
	mayFail func(*outcome) bool
}{
	// Without a fault, every request is answered completely.
	{"none", nil, "", noneMayFail},

	// An engine sends parts twice, out of order, late or of another request's answer. Callers see no effect: entry
	// instances accept only the next part in order, and get missing parts from another engine.
	{"duplicate parts", []string{busiestEngine}, faults.DuplicateParts, noneMayFail},
	{"reordered parts", []string{busiestEngine}, faults.ReorderedParts, noneMayFail},
	{"late parts", []string{busiestEngine}, faults.LateParts, noneMayFail},
	{"foreign parts", []string{busiestEngine}, faults.ForeignParts, noneMayFail},

	// An engine's streams end early as if they were complete. Callers receive the rest from another engine.
	{"no end mark", []string{busiestEngine}, faults.NoEndMark, noneMayFail},

	// Two engines run requests and close the connections without an answer. Prompts may run again.
	{"lost answers", []string{busiestEngine, secondBusiestEngine}, faults.LoseAnswer, promptsMayFail},

	// All connections to two engines and a service instance close during answers. Prompts continue on other engines.
	// The outcome of a booking that was sent is unknown, and it is not sent again.
	{"cut connections", []string{busiestEngine, secondBusiestEngine, "bookdesk-0"}, faults.CloseConnections, serviceCallsMayFail},

	// All open connections to two engines become silent for good, and new ones work.
	{"silent connections", []string{busiestEngine, secondBusiestEngine}, faults.SilentConnections, noneMayFail},

	// An engine is killed under load and restarts cold.
	{"engine killed", []string{busiestEngine}, faults.Kill, noneMayFail},

	// An engine turns cold but keeps its boot id, and collapses under the load that it carried before. Its requests
	// continue on other engines.
	{"engine turns cold", []string{busiestEngine}, faults.Cold, noneMayFail},

	// An engine is leaving: it refuses new requests and finishes those in flight.
	{"engine leaving", []string{busiestEngine}, faults.Leaving, noneMayFail},

	// An engine is overloaded: it accepts connections and requests, but answers none.
	{"engine hangs", []string{busiestEngine}, faults.Hang, noneMayFail},

	// The first tokens of two engines are delayed by half a second.
	{"slow first byte", []string{busiestEngine, secondBusiestEngine}, faults.SlowFirstByte, noneMayFail},

	// A service instance accepts requests, but answers none. Reads are sent to another instance; the outcome of
	// bookings is unknown.
	{"service hangs", []string{"bookdesk-0"}, faults.Hang, serviceCallsMayFail},

	// A service instance refuses requests as not started. Another instance runs them.
	{"service refuses", []string{"bookdesk-0"}, faults.RefuseStart, noneMayFail},

	// Service instances run bookings and lose the answers, or crash before or after the run. The outcome is unknown to
	// the caller, and no booking runs twice.
	{"service loses answers", []string{"bookdesk-0", "bookdesk-1"}, faults.LoseAnswer, serviceCallsMayFail},
	{"service dies before the run", []string{"bookdesk-0"}, faults.CrashBeforeRun, serviceCallsMayFail},
	{"service dies after the run", []string{"bookdesk-0"}, faults.CrashAfterRun, serviceCallsMayFail},

	// The object API is down, hangs, is slow or loses answers to writes. Prompts, reads and bookings without an
	// idempotency key don't need it.
	{"store down", []string{cluster.TargetObjects}, faults.Kill, noneMayFail},
	{"store hangs", []string{cluster.TargetObjects}, faults.Hang, noneMayFail},
	{"store slow", []string{cluster.TargetObjects}, faults.Slow, noneMayFail},
	{"store loses answers", []string{cluster.TargetObjects}, faults.LoseAnswer, noneMayFail},

	// The instance list is down or no longer changes.
	{"instance list down", []string{cluster.TargetInstances}, faults.Kill, noneMayFail},
	{"instance list stands still", []string{cluster.TargetInstances}, faults.StaleInstanceList, noneMayFail},
}

// promptsMayFail permits explicit failures of prompts that may have run. It applies to a fault that affects every request
// on an engine: the retry budget, which keeps retries from multiplying the load of a failing fleet, can be exhausted.
func promptsMayFail(o *outcome) bool {
	return o.kind == "prompt" && o.failedExplicitly() && !o.reportedNotRun()
}

// serviceCallsMayFail permits explicit failures of calls of the plain service while instances of it fail. The outcome of a
// booking that was sent is unknown. A call that did not run, because the healthy instances were at their limit, has a
// Retry-After.
func serviceCallsMayFail(o *outcome) bool {
	return o.kind != "prompt" && o.failedExplicitly() && (!o.reportedNotRun() || o.Header[fasthttp.HeaderRetryAfter] != "")
}

func TestFaultsOfUpstreamsAndPlatform(t *testing.T) {
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			f := startFleet(t)
			runUnderLoad(t, f, c.mayFail, func() {
				var targets []string
				for _, name := range c.targets {
					targets = append(targets, f.resolveTarget(name))
				}
				for _, target := range targets {
					f.setFault(target, c.fault, true)
				}
				time.Sleep(faultPeriod)
				for _, target := range targets {
					f.setFault(target, c.fault, false)
				}
				time.Sleep(stepPause)
			})
		})
	}
}
