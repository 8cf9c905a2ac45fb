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

// A fixed seed, so that every run of the randomized tests gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

const (
	memory = 400_000
	rate   = 20_000
)

// bench is a gate before one engine, and the instant.
type bench struct {
	gate   *admit.Gate
	engine *pick.Engine
	world  admit.View
	number int
}

func newBench(length int) *bench {
	profile := pick.ProfileOf(api.ProfileShortFirst)
	e := pick.NewEngine("e", nil)
	b := &bench{
		gate: admit.NewGate(&profile, pick.Default(), length), engine: e,
		world: admit.View{
			Pool: pick.NewPool([]*pick.Engine{e}, nil, memory), Instances: 1,
			Now: decide.Instant(0).Add(time.Minute), Rand: rand.New(rand.NewPCG(1, 1)),
		},
	}
	b.report(0, 0)
	return b
}

// report lets the engine say now that it has so many tokens to compute and so much memory held.
func (b *bench) report(queued, used int64) {
	b.engine.UpdateReport(&pick.Report{
		At: b.world.Now.Add(10 * time.Millisecond), QueuedTokens: queued, Queued: 1, MemoryUsed: used,
		MemoryTotal: memory, PrefillRate: rate,
	})
	b.world.Now = b.world.Now.Add(100 * time.Millisecond)
}

func (b *bench) request(workspace string, tokens int, timeout time.Duration) *admit.Request {
	b.number++
	return &admit.Request{
		ID: fleet.RequestID(fmt.Sprintf("r%05d", b.number)), Workspace: fleet.WorkspaceID(workspace),
		Prompt: cost.Prompt{Tokens: tokens, MaxAnswerTokens: 100}, Class: cost.ClassOf(tokens, 100, memory),
		Arrived: b.world.Now, Deadline: b.world.Now.Add(timeout), DecodeTime: time.Second,
	}
}

const busy = 60_000 // 3 s of work: over every window

func TestIdleEngineGetsThePromptAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(10)
	d, ok := b.gate.TryDispatch(b.request("w", 2000, 10*time.Second), &b.world)
	is.True(ok)
	is.Equal(d.Verb, admit.Dispatch)
	is.Equal(d.Choice.Engine, b.engine)
}

func TestPromptWaitsWhileEnginesAreBusy(t *testing.T) {
	is := is.New(t)
	b := newBench(10)
	b.report(busy, 0)
	r := b.request("w", 2000, 20*time.Second)
	_, ok := b.gate.TryDispatch(r, &b.world)
	is.True(!ok)
	d := b.gate.Admit(r, &b.world)
	is.Equal(d.Verb, admit.Enqueue)
	is.Equal(d.Reason, admit.EnginesBusy)
	is.Equal(b.gate.QueueLength(cost.Short), 1)

	next := b.request("w", 2000, 20*time.Second)
	d = b.gate.Admit(next, &b.world)
	is.Equal(d.Reason, admit.BehindOthers)
	is.Equal(d.OthersQueued, 1)
	is.Equal(d.EstimatedWait, 100*time.Millisecond) // 2000 tokens at 20000 a second
	is.Equal(len(b.gate.ProcessQueues(&b.world, nil)), 0)

	b.report(0, 0)
	out := b.gate.ProcessQueues(&b.world, nil)
	is.Equal(len(out), 2)
	is.Equal(out[0].Request, r)
	is.Equal(out[0].Verb, admit.Dispatch)
	is.Equal(b.gate.QueueLength(cost.Short), 0)
}

// A caller waits out its whole deadline for a refusal that was certain when it came, and has no time left
// to turn elsewhere. Cause: nobody adds up the work before the prompt and its own.
func TestWhatCannotFinishIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(10)
	d := b.gate.Admit(b.request("w", 80_000, 4*time.Second), &b.world) // 4 s of prefill, 1 s of answer
	is.Equal(d.Verb, admit.Refuse)
	is.Equal(d.Kind, fault.Infeasible)
	is.Equal(d.Reason, admit.TooLate)

	b.report(busy, 0)
	for range 5 { // 20 s of queue
		is.Equal(b.gate.Admit(b.request("w", 80_000, time.Minute), &b.world).Verb, admit.Enqueue)
	}
	d = b.gate.Admit(b.request("w", 80_000, 15*time.Second), &b.world)
	is.Equal(d.Verb, admit.Refuse)
	is.Equal(d.RetryAfter, 10*time.Second) // 20 s to wait, 15 s less 4 s and 1 s there are
}

func TestExpiredPromptIsRefusedAtTheNextWake(t *testing.T) {
	is := is.New(t)
	b := newBench(10)
	b.report(busy, 0)
	r := b.request("w", 2000, 3*time.Second)
	b.gate.Admit(r, &b.world)
	at, ok := b.gate.NextExpiry()
	is.True(ok)
	is.Equal(at, r.Deadline.Add(-1100*time.Millisecond)) // its own 0.1 s of prefill and 1 s of answer
	b.world.Now = at.Add(time.Millisecond)
	out := b.gate.ProcessQueues(&b.world, nil)
	is.Equal(len(out), 1)
	is.Equal(out[0].Reason, admit.Expired)
	is.Equal(b.gate.QueueLength(cost.Short), 0)
}

func TestEarliestLatestStartGoesFirstWithinAWorkspace(t *testing.T) {
	is := is.New(t)
	b := newBench(10)
	b.report(busy, 0)
	late := b.request("w", 2000, 30*time.Second)
	soon := b.request("w", 2000, 10*time.Second)
	b.gate.Admit(late, &b.world)
	b.gate.Admit(soon, &b.world)
	b.report(0, 0)
	out := b.gate.ProcessQueues(&b.world, nil)
	is.Equal(out[0].Request, soon)
	is.Equal(out[1].Request, late)
}

// Nine small workspaces get no answer while a tenth sends its day's batch. Order: the batch fills the
// queue, the others' prompts come behind it. Cause: one line for all.
func TestLargeWorkspaceDoesNotStarveTheOthers(t *testing.T) {
	is := is.New(t)
	b := newBench(1000)
	b.report(busy, 0)
	for range 100 {
		b.gate.Admit(b.request("large", 4000, time.Minute), &b.world)
	}
	heavy := b.request("heavy", 4000, time.Minute)
	heavy.Weight = 2
	b.gate.Admit(heavy, &b.world)
	for range 9 {
		r := b.request("heavy", 4000, time.Minute)
		r.Weight = 2
		b.gate.Admit(r, &b.world)
	}
	for range 10 {
		b.gate.Admit(b.request("small", 4000, time.Minute), &b.world)
	}
	served := map[fleet.WorkspaceID]int{}
	for range 20 { // each report lets one or two prompts through
		b.report(0, 0)
		for _, d := range b.gate.ProcessQueues(&b.world, nil) {
			if served["large"]+served["small"]+served["heavy"] < 12 {
				served[d.Request.Workspace]++
			}
		}
	}
	is.Equal(served["large"], 3)
	is.Equal(served["small"], 3)
	is.Equal(served["heavy"], 6)
}

// A small workspace is told that the queue is full, each time. Order: a large one fills the queue and
// refills it. Cause: the bound is one for all.
func TestFullQueueMakesPlaceForASmallWorkspace(t *testing.T) {
	is := is.New(t)
	b := newBench(20)
	b.report(busy, 0)
	for range 20 {
		b.gate.Admit(b.request("large", 1000, 30*time.Second), &b.world)
	}
	d := b.gate.Admit(b.request("large", 1000, 30*time.Second), &b.world)
	is.Equal(d.Reason, admit.QueueFull)
	is.Equal(d.Kind, fault.QueueFull)
	small := b.request("small", 1000, 30*time.Second)
	d = b.gate.Admit(small, &b.world)
	is.Equal(d.Reason, admit.Evicted)
	is.Equal(d.Request.Workspace, fleet.WorkspaceID("large"))
	is.Equal(b.gate.QueueLength(cost.Short), 20)
	is.True(b.gate.Cancel(small.ID)) // it waits
}

// A prompt for a group of engines never runs while smaller long ones do. Order: memory for it is almost
// free, and each time a smaller prompt that came later takes it. Cause: whoever fits goes first.
func TestSmallerPromptsPassALargeOneOnlyForAWhile(t *testing.T) {
	is := is.New(t)
	b := newBench(100)
	b.report(0, memory/2)
	large := b.request("a", 300_000, 10*time.Minute)
	is.Equal(b.gate.Admit(large, &b.world).Reason, admit.MemoryBusy)
	b.gate.Admit(b.request("b", 110_000, 10*time.Minute), &b.world)
	out := b.gate.ProcessQueues(&b.world, nil)
	is.Equal(len(out), 1) // the smaller one passes
	is.Equal(out[0].Verb, admit.Reserve)
	b.gate.ReservationResult(out[0].Request, &out[0].Plan, true, &b.world)

	b.world.Now = b.world.Now.Add(6 * time.Second)
	b.report(0, memory/2)
	b.gate.Admit(b.request("c", 110_000, 10*time.Minute), &b.world)
	is.Equal(len(b.gate.ProcessQueues(&b.world, nil)), 0) // not any more
	b.report(0, 0)
	out = b.gate.ProcessQueues(&b.world, nil)
	is.Equal(out[0].Request, large)
}

func TestRequestWhoseReservationFailedWaitsAgain(t *testing.T) {
	is := is.New(t)
	b := newBench(100)
	r := b.request("w", 200_000, time.Minute)
	d := b.gate.Admit(r, &b.world)
	is.Equal(d.Verb, admit.Reserve)
	back := b.gate.ReservationResult(r, &d.Plan, false, &b.world)
	is.Equal(back.Verb, admit.Enqueue)
	is.Equal(len(b.gate.ProcessQueues(&b.world, nil)), 0) // not at once
	b.world.Now = b.world.Now.Add(300 * time.Millisecond)
	out := b.gate.ProcessQueues(&b.world, nil)
	is.Equal(out[0].Verb, admit.Reserve)
	b.world.Now = r.Deadline
	is.Equal(b.gate.ReservationResult(r, &out[0].Plan, false, &b.world).Reason, admit.Expired)
}

func TestPromptThatNoEnginesCanHoldIsRefused(t *testing.T) {
	is := is.New(t)
	b := newBench(100)
	d := b.gate.Admit(b.request("w", 900_000, time.Hour), &b.world)
	is.Equal(d.Kind, fault.NoMemory)
	b.world.Pool = pick.NewPool(nil, nil, memory)
	is.Equal(b.gate.Admit(b.request("w", 1000, time.Hour), &b.world).Kind, fault.NoUpstream)
}

// Whatever comes in which order: each request gets exactly one last decision, the queue stays within its
// bound, and nothing is left waiting at the end.
func TestEveryRequestGetsOneLastDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 8
		b := newBench(length)
		last := map[*admit.Request]int{}
		var open []*admit.Request
		settle := func(d admit.Decision) {
			switch d.Verb {
			case admit.Reserve:
				granted := rapid.Bool().Draw(t, "granted")
				d = b.gate.ReservationResult(d.Request, &d.Plan, granted, &b.world)
			case admit.Enqueue:
			}
			if d.Verb != admit.Enqueue {
				last[d.Request]++
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				r := b.request(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
					rapid.SampledFrom([]int{1000, 20_000, 150_000, 300_000}).Draw(t, "tokens"),
					time.Duration(rapid.IntRange(1, 60).Draw(t, "timeout"))*time.Second)
				open = append(open, r)
				settle(b.gate.Admit(r, &b.world))
			case 2:
				b.report(rapid.Int64Range(0, 100_000).Draw(t, "queued"), rapid.Int64Range(0, memory).Draw(t, "used"))
				for _, d := range b.gate.ProcessQueues(&b.world, nil) {
					settle(d)
				}
			case 3:
				b.world.Now = b.world.Now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
				if len(open) > 0 {
					r := rapid.SampledFrom(open).Draw(t, "leaver")
					if b.gate.Cancel(r.ID) {
						last[r]++
					}
				}
			}
			if n := b.gate.QueueLength(cost.Short) + b.gate.QueueLength(cost.Medium) + b.gate.QueueLength(cost.Long); n > length {
				t.Fatalf("%d wait in a queue of %d", n, length)
			}
		}
		b.world.Now = b.world.Now.Add(time.Hour)
		for _, d := range b.gate.ProcessQueues(&b.world, nil) {
			settle(d)
		}
		for _, r := range open {
			if last[r] != 1 {
				t.Fatalf("%s had %d last decisions", r.ID, last[r])
			}
		}
	})
}

func TestDirectDecisionAllocatesNothing(t *testing.T) {
	is := is.New(t)
	b := newBench(10)
	r := b.request("w", 10, time.Hour)
	is.Equal(testing.AllocsPerRun(100, func() {
		d, ok := b.gate.TryDispatch(r, &b.world)
		if !ok {
			t.Fatal(d.Reason)
		}
	}), 0.0)
}
