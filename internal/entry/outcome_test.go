package entry_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/caller"
	"github.com/damaskshelf/damaskshelf/internal/local"
	"github.com/damaskshelf/damaskshelf/internal/standin/answer"
	"github.com/damaskshelf/damaskshelf/internal/standin/cluster"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
)

// TestMain ignores background goroutines of the HTTP library. They end with the process, or some time after their server
// or client was closed.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"),
	)
}

const (
	model          = "guide"
	service        = "desk"
	bookingTimeout = time.Second            // timeout of a booking
	midCall        = 100 * time.Millisecond // when a fault during a call begins
)

// testFleet is a fleet of two instances, three engines and three instances of the booking service.
type testFleet struct {
	t        *testing.T
	fleet    *local.Fleet
	client   *caller.Client
	requests int
}

// startFleet starts a fleet with the default test settings.
func startFleet(t *testing.T) *testFleet {
	t.Helper()
	return startFleetWith(t, func(*api.Settings) {})
}

// startFleetWith starts a fleet whose settings tune changes. The fleet is closed at the end of the test.
func startFleetWith(t *testing.T, tune func(*api.Settings)) *testFleet {
	t.Helper()
	f, err := local.Start(local.Config{
		Instances: 2,
		Intent:    api.Intent{Models: []api.Model{{Name: model, Version: cluster.ModelVersion, Replicas: 3, Floor: 1}}},
		Cluster: cluster.Config{
			Domains: []string{"north", "mid", "south"}, Region: "plains", EnginesPerDomain: 1,
			Models: []string{model}, Service: service, TimeScale: 1, Seed: 1,
		},
		EditSettings: func(s *api.Settings) {
			s.Intervals.StreamGap = api.Duration(time.Second)
			tune(s)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	b := &testFleet{t: t, fleet: f, client: caller.New()}
	t.Cleanup(func() {
		b.client.Close()
		f.Close()
	})
	return b
}

// booking returns a call through instance n that may not be repeated unless it has an idempotency key. A slow one takes
// 400 ms.
func (b *testFleet) booking(n int, key string, slow bool) caller.Request {
	b.requests++
	path := "/services/" + service + "/bookings"
	if slow {
		path = "/services/" + service + "/slow?ms=400"
	}
	return caller.Request{
		Addr: b.fleet.Nodes[n].CallersAddr(), ID: fmt.Sprintf("booking-%d", b.requests), Timeout: bookingTimeout, Method: "POST",
		Path: path, Body: `{"hut":"h1","day":"d1"}`, IdempotencyKey: key, Idempotent: "false",
	}
}

// setFault switches a fault of the targets on or off. Targets are names of service instances or engines, or the object
// store.
func (b *testFleet) setFault(targets []string, f faults.Fault, on bool) {
	b.t.Helper()
	for _, target := range targets {
		if err := b.fleet.Cluster.Switch(target, f, on, 0); err != nil {
			b.t.Fatal(err)
		}
	}
}

// services returns the names of the service instances.
func (b *testFleet) services() []string {
	return []string{service + "-0", service + "-1", service + "-2"}
}

// engines returns the names of the engines.
func (b *testFleet) engines() []string {
	return []string{"engine-north-0", "engine-mid-0", "engine-south-0"}
}

// faultTime is the time at which a fault begins.
type faultTime uint8

const (
	beforeRequest faultTime = iota // before the request is sent
	duringWork                     // midCall after the request is sent, while the service or engine works on it
)

// doWithFault makes a call during which the fault f begins at s, and switches the fault off after the answer. Without
// a fault it only makes the call.
func (b *testFleet) doWithFault(q caller.Request, targets []string, f faults.Fault, s faultTime) caller.Result {
	if f == "" {
		return b.client.Do(q)
	}
	if s == beforeRequest {
		b.setFault(targets, f, true)
	} else {
		timer := time.AfterFunc(midCall, func() { b.setFault(targets, f, true) })
		defer timer.Stop()
	}
	r := b.client.Do(q)
	b.setFault(targets, f, false)
	return r
}

// checkRun compares the run outcome in the answer with the number of runs.
func checkRun(t *testing.T, r caller.Result, runs int) {
	t.Helper()
	switch {
	case r.Err != nil:
		t.Errorf("no answer: %v", r.Err)
	case runs > 1:
		t.Errorf("ran %d times: %+v", runs, r)
	case r.Run == "no" && runs != 0:
		t.Errorf("answer says not run, but it ran: %+v", r)
	case r.Run == "yes" && runs != 1:
		t.Errorf("answer says run, but it ran %d times: %+v", runs, r)
	case r.Run == "":
		t.Errorf("answer has no run outcome: %+v", r)
	}
}

// A booking fails at some point. The run outcome in the answer decides whether the client books again: "no" for a
// booking that ran leads to a double charge, "yes" for one that did not run loses the booking. The test covers every
// fault of the service and the store, before and during the call, on one and on all service instances, without and with
// an idempotency key. A repeat with the key goes through the other instance.
func TestRunOutcomeOfBookings(t *testing.T) {
	serviceFaults := []faults.Fault{
		"", faults.Kill, faults.SilentConnections, faults.CloseConnections, faults.Hang, faults.LoseAnswer, faults.CrashBeforeRun,
		faults.CrashAfterRun, faults.RefuseStart, faults.RefuseEverything, faults.Leaving,
	}
	storeFaults := []faults.Fault{faults.Kill, faults.Hang, faults.LoseAnswer, faults.RefuseEverything, faults.SilentConnections, faults.CloseConnections}
	for _, s := range []faultTime{beforeRequest, duringWork} {
		for _, key := range []bool{false, true} {
			t.Run(fmt.Sprintf("step %d keyed %v", s, key), func(t *testing.T) {
				t.Parallel()
				b := startFleet(t)
				for _, f := range serviceFaults {
					b.checkBooking(f, s, key, b.services()[:1])
					b.checkBooking(f, s, key, b.services())
				}
				for _, f := range storeFaults {
					b.checkBooking(f, s, key, []string{cluster.TargetObjects})
				}
			})
		}
	}
}

// checkBooking makes a booking while f affects targets, and checks the run outcome and, if keyed, a repeat.
func (b *testFleet) checkBooking(f faults.Fault, s faultTime, keyed bool, targets []string) {
	name := fmt.Sprintf("%s of %d %s", f, len(targets), targets[0])
	b.t.Run(name, func(t *testing.T) {
		key := ""
		if keyed {
			key = fmt.Sprintf("key-%d", b.requests)
		}
		q := b.booking(0, key, s == duringWork)
		r := b.doWithFault(q, targets, f, s)
		checkRun(t, r, b.fleet.Cluster.Ledger.RunsByRequest()[q.ID])
		if keyed {
			b.checkRepeat(t, key, q, r)
		}
	})
}

// checkRepeat sends the same booking with its key through the other instance until the answer is final, and compares it
// with the first answer.
func (b *testFleet) checkRepeat(t *testing.T, key string, q caller.Request, first caller.Result) {
	t.Helper()
	is := is.New(t)
	var r caller.Result
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		repeat := q
		repeat.Addr, repeat.ID = b.fleet.Nodes[1].CallersAddr(), q.ID+"-again"
		r = b.client.Do(repeat)
		if r.Kind != "in_progress" && r.Kind != "store_unavailable" && r.Run != "no" {
			break
		}
	}
	runs := b.fleet.Cluster.Ledger.RunsByKey()[key]
	is.True(runs <= 1) // no key runs twice
	switch first.Run {
	case "yes":
		is.Equal(r.Run, "yes")
		is.Equal(r.Text, first.Text) // the recorded outcome, unchanged
		is.True(r.Replayed)
	case "no":
		is.Equal(runs, 1) // the key was free and the repeat ran
	case "unknown":
		is.Equal(r.Run, "unknown") // never run again
	}
}

// A prompt is answered while its engines have a fault, which begins before or during the call. The answer is complete
// and belongs to the prompt, or it is an explicit error. The run outcome is "no" only if no engine began the prompt.
func TestRunOutcomeOfPrompts(t *testing.T) {
	engineFaults := []faults.Fault{
		"", faults.Kill, faults.SilentConnections, faults.CloseConnections, faults.SlowFirstByte, faults.DuplicateParts,
		faults.ReorderedParts, faults.LateParts, faults.ForeignParts, faults.NoEndMark, faults.LoseAnswer,
		faults.RefuseStart, faults.RefuseEverything, faults.Leaving,
	}
	for _, s := range []faultTime{beforeRequest, duringWork} {
		t.Run(fmt.Sprintf("step %d", s), func(t *testing.T) {
			t.Parallel()
			b := startFleet(t)
			for _, f := range engineFaults {
				for _, stream := range []bool{false, true} {
					b.checkPrompt(f, s, stream, b.engines()[:1])
				}
				b.checkPrompt(f, s, true, b.engines())
			}
		})
	}
}

// promptTokens and answerTokens are the lengths of a prompt and of its answer.
const promptTokens, answerTokens = 500, 40 // about 25 ms of prefill and 400 ms of decoding

// checkPrompt sends a prompt while f affects targets, and checks its answer and run outcome.
func (b *testFleet) checkPrompt(f faults.Fault, s faultTime, stream bool, targets []string) {
	name := fmt.Sprintf("%s of %d stream %v", f, len(targets), stream)
	b.t.Run(name, func(t *testing.T) {
		is := is.New(t)
		b.awaitEngines(t)
		b.sendReads()
		b.requests++
		q := caller.Request{
			Addr: b.fleet.Nodes[0].CallersAddr(), ID: fmt.Sprintf("prompt-%d", b.requests), Timeout: 5 * time.Second,
			Model: model, Prompt: strings.Repeat("ice ", promptTokens), MaxTokens: answerTokens, Stream: stream,
		}
		r := b.doWithFault(q, targets, f, s)
		began := 0
		for _, e := range b.fleet.Cluster.Engines {
			began += e.Counters().Runs[q.ID]
		}
		is.NoErr(r.Err)
		complete := answer.Text(q.ID, answerTokens)
		switch {
		case r.Completed:
			is.Equal(r.Text, complete)
			is.Equal(r.Run, "yes")
		default:
			is.True(strings.HasPrefix(complete, r.Text)) // no wrong token
			is.True(r.Kind != "")                        // an explicit error
			is.True(r.Run != "no" || began == 0)
		}
		// A fault of a single engine does not fail the request.
		is.True(r.Completed || len(targets) > 1)
	})
}

// sendReads sends reads beside the prompts, as the retry budgets grow with the number of requests.
func (b *testFleet) sendReads() {
	for range 60 {
		b.client.Do(caller.Request{
			Addr: b.fleet.Nodes[0].CallersAddr(), Timeout: time.Second, Method: "GET",
			Path: "/services/" + service + "/availability?hut=h1&day=d1",
		})
	}
}

// awaitEngines waits until a prompt is answered again after the last fault.
func (b *testFleet) awaitEngines(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		r := b.client.Do(caller.Request{
			Addr: b.fleet.Nodes[0].CallersAddr(), ID: fmt.Sprintf("probe-%d", time.Now().UnixNano()), Timeout: time.Second,
			Model: model, Prompt: "x", MaxTokens: 1,
		})
		if r.OK() {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("no engine answers after the fault ended: %+v", r)
		}
	}
}
