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

// The HTTP library keeps a few goroutines for its own housekeeping; they end with the process or a while
// after their server or client was closed.
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
	model   = "guide"
	service = "desk"
	booked  = time.Second            // a booking's time
	midway  = 100 * time.Millisecond // into a slow call
)

// bed is two instances before three engines and three booking desks.
type bed struct {
	t    *testing.T
	f    *local.Fleet
	call *caller.Client
	n    int
}

func start(t *testing.T) *bed {
	t.Helper()
	return startWith(t, func(*api.Settings) {})
}

func startWith(t *testing.T, tune func(*api.Settings)) *bed {
	t.Helper()
	f, err := local.Start(local.Config{
		Entries: 2,
		Intent:  api.Intent{Models: []api.Model{{Name: model, Version: cluster.ModelVersion, Replicas: 3, Floor: 1}}},
		Cluster: cluster.Config{
			Domains: []string{"north", "mid", "south"}, Region: "plains", EnginesPerDomain: 1,
			Models: []string{model}, Service: service, TimeScale: 1, Seed: 1,
		},
		Tune: func(s *api.Settings) {
			s.Intervals.StreamGap = api.Duration(time.Second)
			tune(s)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	b := &bed{t: t, f: f, call: caller.New()}
	t.Cleanup(func() {
		b.call.Close()
		f.Close()
	})
	return b
}

// booking is a call that may not be repeated, through instance n; a key makes repeats safe.
func (b *bed) booking(n int, key string, slow bool) caller.Request {
	b.n++
	path := "/services/" + service + "/bookings"
	if slow {
		path = "/services/" + service + "/slow?ms=400"
	}
	return caller.Request{
		Addr: b.f.Nodes[n].CallersAddr(), ID: fmt.Sprintf("booking-%d", b.n), Timeout: booked, Method: "POST",
		Path: path, Body: `{"hut":"h1","day":"d1"}`, Key: key, Idempotent: "false",
	}
}

// switchAll turns a fault of some stand-ins on or off; targets are names of service instances or engines,
// or the object API.
func (b *bed) switchAll(targets []string, f faults.Fault, on bool) {
	b.t.Helper()
	for _, target := range targets {
		if err := b.f.Cluster.Switch(target, f, on, 0); err != nil {
			b.t.Fatal(err)
		}
	}
}

func (b *bed) desks() []string   { return []string{service + "-0", service + "-1", service + "-2"} }
func (b *bed) engines() []string { return []string{"engine-north-0", "engine-mid-0", "engine-south-0"} }

// step says when the fault begins.
type step uint8

const (
	before step = iota // the request
	during             // the service's or engine's work
)

// do makes a call while a fault comes, and ends the fault.
func (b *bed) do(q caller.Request, targets []string, f faults.Fault, s step) caller.Result {
	if f == "" {
		return b.call.Do(q)
	}
	if s == before {
		b.switchAll(targets, f, true)
	} else {
		timer := time.AfterFunc(midway, func() { b.switchAll(targets, f, true) })
		defer timer.Stop()
	}
	r := b.call.Do(q)
	b.switchAll(targets, f, false)
	return r
}

// truthful checks what the caller was told against what ran.
func truthful(t *testing.T, r caller.Result, runs int) {
	t.Helper()
	switch {
	case r.Err != nil:
		t.Errorf("no answer: %v", r.Err)
	case runs > 1:
		t.Errorf("ran %d times: %+v", runs, r)
	case r.Run == "no" && runs != 0:
		t.Errorf("said not run of what ran: %+v", r)
	case r.Run == "yes" && runs != 1:
		t.Errorf("said run of what ran %d times: %+v", runs, r)
	case r.Run == "":
		t.Errorf("said nothing about whether it ran: %+v", r)
	}
}

// A guest books, and something fails at some moment. What the caller is told about the run decides whether
// the guest books again: "no" of a booking that ran charges twice, "yes" of one that didn't leaves a family
// without a hut. Every fault of the desks and the store, at each step, for one and all of them, with the
// mark alone and with a key; a repeat with the key goes through the other instance.
func TestRunOutcomeOfBookings(t *testing.T) {
	serviceFaults := []faults.Fault{
		"", faults.Kill, faults.Silent, faults.Cut, faults.Hang, faults.LoseAnswer, faults.CrashBeforeRun,
		faults.CrashAfterRun, faults.RefuseStart, faults.RefuseEverything, faults.Leaving,
	}
	storeFaults := []faults.Fault{faults.Kill, faults.Hang, faults.LoseAnswer, faults.RefuseEverything, faults.Silent, faults.Cut}
	for _, s := range []step{before, during} {
		for _, key := range []bool{false, true} {
			t.Run(fmt.Sprintf("step %d keyed %v", s, key), func(t *testing.T) {
				t.Parallel()
				b := start(t)
				for _, f := range serviceFaults {
					b.checkBooking(f, s, key, b.desks()[:1])
					b.checkBooking(f, s, key, b.desks())
				}
				for _, f := range storeFaults {
					b.checkBooking(f, s, key, []string{cluster.TargetObjects})
				}
			})
		}
	}
}

func (b *bed) checkBooking(f faults.Fault, s step, keyed bool, targets []string) {
	name := fmt.Sprintf("%s of %d %s", f, len(targets), targets[0])
	b.t.Run(name, func(t *testing.T) {
		key := ""
		if keyed {
			key = fmt.Sprintf("key-%d", b.n)
		}
		q := b.booking(0, key, s == during)
		r := b.do(q, targets, f, s)
		truthful(t, r, b.f.Cluster.Ledger.RunsByRequest()[q.ID])
		if keyed {
			b.checkRepeat(t, key, q, r)
		}
	})
}

// checkRepeat sends the same booking with its key through the other instance until that has the outcome.
func (b *bed) checkRepeat(t *testing.T, key string, q caller.Request, first caller.Result) {
	t.Helper()
	is := is.New(t)
	var r caller.Result
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		again := q
		again.Addr, again.ID = b.f.Nodes[1].CallersAddr(), q.ID+"-again"
		r = b.call.Do(again)
		if r.Kind != "in_progress" && r.Kind != "store_unavailable" && r.Run != "no" {
			break
		}
	}
	runs := b.f.Cluster.Ledger.RunsByKey()[key]
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

// An analyst's question goes through faults of its engines at each step. The answer is whole and its own,
// or an explicit error; "no" is said only if no engine began with it.
func TestRunOutcomeOfPrompts(t *testing.T) {
	engineFaults := []faults.Fault{
		"", faults.Kill, faults.Silent, faults.Cut, faults.SlowFirstByte, faults.DuplicateParts,
		faults.ReorderedParts, faults.LateParts, faults.ForeignParts, faults.NoEndMark, faults.LoseAnswer,
		faults.RefuseStart, faults.RefuseEverything, faults.Leaving,
	}
	for _, s := range []step{before, during} {
		t.Run(fmt.Sprintf("step %d", s), func(t *testing.T) {
			t.Parallel()
			b := start(t)
			for _, f := range engineFaults {
				for _, stream := range []bool{false, true} {
					b.checkPrompt(f, s, stream, b.engines()[:1])
				}
				b.checkPrompt(f, s, true, b.engines())
			}
		})
	}
}

const promptTokens, answerTokens = 500, 40 // about 25 ms and 400 ms of an engine's time

func (b *bed) checkPrompt(f faults.Fault, s step, stream bool, targets []string) {
	name := fmt.Sprintf("%s of %d stream %v", f, len(targets), stream)
	b.t.Run(name, func(t *testing.T) {
		is := is.New(t)
		b.awaitEngines(t)
		b.traffic()
		b.n++
		q := caller.Request{
			Addr: b.f.Nodes[0].CallersAddr(), ID: fmt.Sprintf("prompt-%d", b.n), Timeout: 5 * time.Second,
			Model: model, Prompt: strings.Repeat("ice ", promptTokens), MaxTokens: answerTokens, Stream: stream,
		}
		r := b.do(q, targets, f, s)
		began := 0
		for _, e := range b.f.Cluster.Engines {
			began += e.Counters().Runs[q.ID]
		}
		is.NoErr(r.Err)
		whole := answer.Answer(q.ID, answerTokens)
		switch {
		case r.Whole:
			is.Equal(r.Text, whole)
			is.Equal(r.Run, "yes")
		default:
			is.True(strings.HasPrefix(whole, r.Text)) // never a wrong token
			is.True(r.Kind != "")                     // an explicit error
			is.True(r.Run != "no" || began == 0)
		}
		// One engine's fault is no fault of the answer's.
		is.True(r.Whole || len(targets) > 1)
	})
}

// traffic makes calls beside the prompts: retries are paid out of a share of all requests.
func (b *bed) traffic() {
	for range 60 {
		b.call.Do(caller.Request{
			Addr: b.f.Nodes[0].CallersAddr(), Timeout: time.Second, Method: "GET",
			Path: "/services/" + service + "/availability?hut=h1&day=d1",
		})
	}
}

// awaitEngines waits until every engine takes prompts again after the last fault.
func (b *bed) awaitEngines(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		r := b.call.Do(caller.Request{
			Addr: b.f.Nodes[0].CallersAddr(), ID: fmt.Sprintf("probe-%d", time.Now().UnixNano()), Timeout: time.Second,
			Model: model, Prompt: "x", MaxTokens: 1,
		})
		if r.OK() {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("engines don't come back: %+v", r)
		}
	}
}
