package admit_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/admit"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/decide/pick"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// TestMain fixes the seed of the randomized tests, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

const (
	engineMemory = 400_000 // tokens
	prefillRate  = 20_000  // tokens per second
)

// fixture is a gate in front of one engine. view holds the current instant.
type fixture struct {
	gate     *admit.Gate
	engine   *pick.Engine
	view     admit.View
	requests int
}

// newFixture returns a gate with room for length queued requests, in front of one idle engine.
func newFixture(length int) *fixture {
	profile := pick.ProfileOf(api.ProfileShortFirst)
	e := pick.NewEngine("e", nil)
	b := &fixture{
		gate: admit.NewGate(&profile, pick.Default(), length), engine: e,
		view: admit.View{
			Pool: pick.NewPool([]*pick.Engine{e}, nil, engineMemory), Instances: 1,
			Now: decide.Instant(0).Add(time.Minute), Rand: rand.New(rand.NewPCG(1, 1)),
		},
	}
	b.report(0, 0)
	return b
}

// report updates the load report of the engine, with queued tokens to prefill and used tokens of memory, and then
// advances the time by 100 ms.
func (b *fixture) report(queued, used int64) {
	b.engine.UpdateReport(&pick.Report{
		At: b.view.Now.Add(10 * time.Millisecond), QueuedTokens: queued, Queued: 1, MemoryUsed: used,
		MemoryTotal: engineMemory, PrefillRate: prefillRate,
	})
	b.view.Now = b.view.Now.Add(100 * time.Millisecond)
}

// request returns a new request that arrives now.
func (b *fixture) request(workspace string, tokens int, timeout time.Duration) *admit.Request {
	b.requests++
	return &admit.Request{
		ID: fleet.RequestID(fmt.Sprintf("r%05d", b.requests)), Workspace: fleet.WorkspaceID(workspace),
		Prompt: cost.Prompt{Tokens: tokens, MaxOutputTokens: 100}, Class: cost.ClassOf(tokens, 100, engineMemory),
		Arrived: b.view.Now, Deadline: b.view.Now.Add(timeout), DecodeTime: time.Second,
	}
}

// busyTokens is the queue of a busy engine, in tokens. It is 3 s of work, more than the maximum wait of every class.
const busyTokens = 60_000

func TestIdleEngineGetsThePromptAtOnce(t *testing.T) {
	is := is.New(t)
	b := newFixture(10)
	d, ok := b.gate.TryDispatch(b.request("w", 2000, 10*time.Second), &b.view)
	is.True(ok)
	is.Equal(d.Verb, admit.Dispatch)
	is.Equal(d.Choice.Engine, b.engine)
}

func TestPromptWaitsWhileEnginesAreBusy(t *testing.T) {
	is := is.New(t)
	b := newFixture(10)
	b.report(busyTokens, 0)
	r := b.request("w", 2000, 20*time.Second)
	_, ok := b.gate.TryDispatch(r, &b.view)
	is.True(!ok)
	d := b.gate.Admit(r, &b.view)
	is.Equal(d.Verb, admit.Enqueue)
	is.Equal(d.Reason, admit.EnginesBusy)
	is.Equal(b.gate.QueueLength(cost.Short), 1)

	next := b.request("w", 2000, 20*time.Second)
	d = b.gate.Admit(next, &b.view)
	is.Equal(d.Reason, admit.BehindOthers)
	is.Equal(d.OthersQueued, 1)
	is.Equal(d.EstimatedWait, 100*time.Millisecond) // 2000 tokens at 20000 a second
	is.Equal(len(b.gate.ProcessQueues(&b.view, nil)), 0)

	b.report(0, 0)
	out := b.gate.ProcessQueues(&b.view, nil)
	is.Equal(len(out), 2)
	is.Equal(out[0].Request, r)
	is.Equal(out[0].Verb, admit.Dispatch)
	is.Equal(b.gate.QueueLength(cost.Short), 0)
}

// Guards against a caller that waits until its deadline for a refusal that was certain on arrival, and then has no time
// to send the request elsewhere. The gate must add up the work ahead of the prompt and the prompt's own work.
func TestInfeasibleRequestIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	b := newFixture(10)
	d := b.gate.Admit(b.request("w", 80_000, 4*time.Second), &b.view) // 4 s of prefill, 1 s of decoding
	is.Equal(d.Verb, admit.Refuse)
	is.Equal(d.Kind, fault.Infeasible)
	is.Equal(d.Reason, admit.TooLate)

	b.report(busyTokens, 0)
	for range 5 { // 20 s of queued work
		is.Equal(b.gate.Admit(b.request("w", 80_000, time.Minute), &b.view).Verb, admit.Enqueue)
	}
	d = b.gate.Admit(b.request("w", 80_000, 15*time.Second), &b.view)
	is.Equal(d.Verb, admit.Refuse)
	is.Equal(d.RetryAfter, 10*time.Second) // 20 s of waiting; 15 s less 4 s and 1 s are available
}

// A queued prompt that can no longer finish before its deadline is refused without a report of the engine.
func TestExpiredPromptIsRefusedAtTheNextWake(t *testing.T) {
	is := is.New(t)
	b := newFixture(10)
	b.report(busyTokens, 0)
	r := b.request("w", 2000, 3*time.Second)
	b.gate.Admit(r, &b.view)
	at, ok := b.gate.NextExpiry()
	is.True(ok)
	is.Equal(at, r.Deadline.Add(-1100*time.Millisecond)) // 0.1 s of prefill and 1 s of decoding
	b.view.Now = at.Add(time.Millisecond)
	out := b.gate.ProcessQueues(&b.view, nil)
	is.Equal(len(out), 1)
	is.Equal(out[0].Reason, admit.Expired)
	is.Equal(b.gate.QueueLength(cost.Short), 0)
}

func TestEarliestLatestStartGoesFirstWithinAWorkspace(t *testing.T) {
	is := is.New(t)
	b := newFixture(10)
	b.report(busyTokens, 0)
	late := b.request("w", 2000, 30*time.Second)
	soon := b.request("w", 2000, 10*time.Second)
	b.gate.Admit(late, &b.view)
	b.gate.Admit(soon, &b.view)
	b.report(0, 0)
	out := b.gate.ProcessQueues(&b.view, nil)
	is.Equal(out[0].Request, soon)
	is.Equal(out[1].Request, late)
}

// Guards against starvation of small workspaces: with one queue in order of arrival, nine small workspaces would get no
// answer while a tenth fills the queue with its daily batch.
func TestLargeWorkspaceDoesNotStarveTheOthers(t *testing.T) {
	is := is.New(t)
	b := newFixture(1000)
	b.report(busyTokens, 0)
	for range 100 {
		b.gate.Admit(b.request("large", 4000, time.Minute), &b.view)
	}
	heavy := b.request("heavy", 4000, time.Minute)
	heavy.Weight = 2
	b.gate.Admit(heavy, &b.view)
	for range 9 {
		r := b.request("heavy", 4000, time.Minute)
		r.Weight = 2
		b.gate.Admit(r, &b.view)
	}
	for range 10 {
		b.gate.Admit(b.request("small", 4000, time.Minute), &b.view)
	}
	served := map[fleet.WorkspaceID]int{}
	for range 20 { // one or two prompts are dispatched per report
		b.report(0, 0)
		for _, d := range b.gate.ProcessQueues(&b.view, nil) {
			if served["large"]+served["small"]+served["heavy"] < 12 {
				served[d.Request.Workspace]++
			}
		}
	}
	is.Equal(served["large"], 3)
	is.Equal(served["small"], 3)
	is.Equal(served["heavy"], 6)
}

// Guards against a large workspace that keeps the queue full, so that every request of a small workspace is refused
// because of the common bound.
func TestFullQueueMakesPlaceForASmallWorkspace(t *testing.T) {
	is := is.New(t)
	b := newFixture(20)
	b.report(busyTokens, 0)
	for range 20 {
		b.gate.Admit(b.request("large", 1000, 30*time.Second), &b.view)
	}
	d := b.gate.Admit(b.request("large", 1000, 30*time.Second), &b.view)
	is.Equal(d.Reason, admit.QueueFull)
	is.Equal(d.Kind, fault.QueueFull)
	small := b.request("small", 1000, 30*time.Second)
	d = b.gate.Admit(small, &b.view)
	is.Equal(d.Reason, admit.Evicted)
	is.Equal(d.Request.Workspace, fleet.WorkspaceID("large"))
	is.Equal(b.gate.QueueLength(cost.Short), 20)
	is.True(b.gate.Cancel(small.ID)) // it is queued
}

// Guards against starvation of a prompt for a group of engines: if any prompt that fits is dispatched first, smaller long
// prompts that arrive later take the memory each time it is almost free.
func TestSmallerPromptsOvertakeALargeOneForALimitedTime(t *testing.T) {
	is := is.New(t)
	b := newFixture(100)
	b.report(0, engineMemory/2)
	large := b.request("a", 300_000, 10*time.Minute)
	is.Equal(b.gate.Admit(large, &b.view).Reason, admit.MemoryBusy)
	b.gate.Admit(b.request("b", 110_000, 10*time.Minute), &b.view)
	out := b.gate.ProcessQueues(&b.view, nil)
	is.Equal(len(out), 1) // the smaller prompt overtakes the large one
	is.Equal(out[0].Verb, admit.Reserve)
	b.gate.ReservationResult(out[0].Request, &out[0].Plan, true, &b.view)

	b.view.Now = b.view.Now.Add(6 * time.Second)
	b.report(0, engineMemory/2)
	b.gate.Admit(b.request("c", 110_000, 10*time.Minute), &b.view)
	is.Equal(len(b.gate.ProcessQueues(&b.view, nil)), 0) // no longer
	b.report(0, 0)
	out = b.gate.ProcessQueues(&b.view, nil)
	is.Equal(out[0].Request, large)
}

func TestRequestWhoseReservationFailedIsQueuedAgain(t *testing.T) {
	is := is.New(t)
	b := newFixture(100)
	r := b.request("w", 200_000, time.Minute)
	d := b.gate.Admit(r, &b.view)
	is.Equal(d.Verb, admit.Reserve)
	back := b.gate.ReservationResult(r, &d.Plan, false, &b.view)
	is.Equal(back.Verb, admit.Enqueue)
	is.Equal(len(b.gate.ProcessQueues(&b.view, nil)), 0) // not before the backoff ends
	b.view.Now = b.view.Now.Add(300 * time.Millisecond)
	out := b.gate.ProcessQueues(&b.view, nil)
	is.Equal(out[0].Verb, admit.Reserve)
	b.view.Now = r.Deadline
	is.Equal(b.gate.ReservationResult(r, &out[0].Plan, false, &b.view).Reason, admit.Expired)
}

func TestPromptLargerThanAllEnginesIsRefused(t *testing.T) {
	is := is.New(t)
	b := newFixture(100)
	d := b.gate.Admit(b.request("w", 900_000, time.Hour), &b.view)
	is.Equal(d.Kind, fault.NoMemory)
	b.view.Pool = pick.NewPool(nil, nil, engineMemory)
	is.Equal(b.gate.Admit(b.request("w", 1000, time.Hour), &b.view).Kind, fault.NoUpstream)
}

// Whatever the order of events: each request gets exactly one final decision, the queues stay within their bound, and
// no request remains queued at the end.
func TestEveryRequestGetsOneLastDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 8
		b := newFixture(length)
		final := map[*admit.Request]int{}
		var open []*admit.Request
		// recordFinal draws the outcome of a Reserve decision and counts the final decisions of each request.
		recordFinal := func(d admit.Decision) {
			switch d.Verb {
			case admit.Reserve:
				granted := rapid.Bool().Draw(t, "granted")
				d = b.gate.ReservationResult(d.Request, &d.Plan, granted, &b.view)
			case admit.Enqueue:
			}
			if d.Verb != admit.Enqueue {
				final[d.Request]++
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				r := b.request(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
					rapid.SampledFrom([]int{1000, 20_000, 150_000, 300_000}).Draw(t, "tokens"),
					time.Duration(rapid.IntRange(1, 60).Draw(t, "timeout"))*time.Second)
				open = append(open, r)
				recordFinal(b.gate.Admit(r, &b.view))
			case 2:
				b.report(rapid.Int64Range(0, 100_000).Draw(t, "queued"), rapid.Int64Range(0, engineMemory).Draw(t, "used"))
				for _, d := range b.gate.ProcessQueues(&b.view, nil) {
					recordFinal(d)
				}
			case 3:
				b.view.Now = b.view.Now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
				if len(open) > 0 {
					r := rapid.SampledFrom(open).Draw(t, "leaver")
					if b.gate.Cancel(r.ID) {
						final[r]++
					}
				}
			}
			if n := b.gate.QueueLength(cost.Short) + b.gate.QueueLength(cost.Medium) + b.gate.QueueLength(cost.Long); n > length {
				t.Fatalf("%d requests are queued, the bound is %d", n, length)
			}
		}
		b.view.Now = b.view.Now.Add(time.Hour)
		for _, d := range b.gate.ProcessQueues(&b.view, nil) {
			recordFinal(d)
		}
		for _, r := range open {
			if final[r] != 1 {
				t.Fatalf("%s got %d final decisions, want 1", r.ID, final[r])
			}
		}
	})
}

func TestDirectDecisionAllocatesNothing(t *testing.T) {
	is := is.New(t)
	b := newFixture(10)
	r := b.request("w", 10, time.Hour)
	is.Equal(testing.AllocsPerRun(100, func() {
		d, ok := b.gate.TryDispatch(r, &b.view)
		if !ok {
			t.Fatal(d.Reason)
		}
	}), 0.0)
}
