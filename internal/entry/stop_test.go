package entry_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/caller"
	"github.com/damaskshelf/damaskshelf/internal/standin/answer"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
)

// longPrompt returns a prompt whose answer streams the given number of tokens, one every 10 ms.
func (b *testFleet) longPrompt(id string, tokens int) caller.Request {
	return caller.Request{
		Addr: b.fleet.Nodes[0].CallersAddr(), ID: id, Timeout: 20 * time.Second, Model: model,
		Prompt: strings.Repeat("ice ", promptTokens), MaxTokens: tokens, Stream: true,
	}
}

// engineInFlight returns the number of prompts in flight on all engines.
func (b *testFleet) engineInFlight() int {
	sum := 0
	for _, e := range b.fleet.Cluster.Engines {
		sum += e.Counters().InFlight
	}
	return sum
}

// awaitInFlight waits until at least n prompts are in flight on engines.
func (b *testFleet) awaitInFlight(n int) {
	b.t.Helper()
	eventually(b.t, "prompts in flight on engines", func() bool { return b.engineInFlight() >= n })
}

// eventually waits until cond holds. It fails the test after 20 s; without a fault, cond holds within milliseconds.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not reached within the time limit: " + what)
		}
	}
}

// An instance is stopped twice while long answers stream, a slow booking runs and new requests still arrive. Requests in
// flight finish, and requests that arrive too late are refused as not run.
func TestPlannedStopFinishesRequests(t *testing.T) {
	is := is.New(t)
	b := startFleet(t)
	const streams, tokens = 8, 120
	results := make([]caller.Result, streams)
	var wg sync.WaitGroup
	for i := range streams {
		q := b.longPrompt(fmt.Sprint("long-", i), tokens)
		wg.Go(func() { results[i] = b.client.Do(q) })
	}
	b.awaitInFlight(streams)
	keyed := b.booking(0, "stop-key", true)
	var booking caller.Result
	wg.Go(func() { booking = b.client.Do(keyed) })
	stopped := make(chan error, 2)
	for range 2 {
		go func() { stopped <- b.fleet.Nodes[0].Stop() }()
	}
	refused := 0
	for deadline := time.Now().Add(10 * time.Second); refused == 0 && time.Now().Before(deadline); {
		r := b.client.Do(b.booking(0, "", false))
		switch {
		case r.Err != nil:
			refused++ // the listener is closed: the request was not read
		case r.Status >= 300:
			refused++
			is.Equal(r.Kind, "stopping")
			is.Equal(r.Run, "no")
			is.True(r.RetryAfter > 0)
		}
	}
	is.True(refused > 0) // new requests are refused while others are in flight
	wg.Wait()
	is.NoErr(<-stopped)
	is.NoErr(<-stopped)
	for i, r := range results {
		is.True(r.OK())
		is.Equal(r.Text, answer.Text(fmt.Sprint("long-", i), tokens))
	}
	is.Equal(booking.Run, "yes")
	repeat := keyed
	repeat.Addr, repeat.ID = b.fleet.Nodes[1].CallersAddr(), "stop-again"
	r := b.client.Do(repeat)
	is.True(r.Replayed) // the outcome was in the store before the instance stopped
	is.Equal(r.Text, booking.Text)
}

// The stop timeout passes before the end of a stream. The stream ends with an explicit error instead of an end mark, and
// the prompt is canceled on its engine.
func TestStopLimitEndsStreamsExplicitly(t *testing.T) {
	is := is.New(t)
	b := startFleetWith(t, func(s *api.Settings) {
		s.Intervals.StopTimeout = api.Duration(400 * time.Millisecond)
	})
	const tokens = 1500
	var r caller.Result
	var wg sync.WaitGroup
	q := b.longPrompt("long", tokens)
	wg.Go(func() { r = b.client.Do(q) })
	b.awaitInFlight(1)
	is.True(b.fleet.Nodes[0].Stop() != nil) // Stop reports that a request was cut off
	wg.Wait()
	is.True(!r.Completed)
	is.Equal(r.Kind, "cancelled")
	is.True(r.Run != "no")
	is.True(strings.HasPrefix(answer.Text("long", tokens), r.Text))
	eventually(t, "no prompt in flight after its stream was cut off", func() bool { return b.engineInFlight() == 0 })
}

// No engine answers, or every engine refuses. A request with a timeout of 700 ms gets an error with its run outcome by
// then and does not wait for the engine. Without that, the client's own limit, seconds later, would show as a
// transport error. No engine keeps working on the request.
func TestPromptsEndByDeadline(t *testing.T) {
	engineFaults := []faults.Fault{faults.Hang, faults.Kill, faults.RefuseStart, faults.RefuseEverything, faults.SlowFirstByte}
	b := startFleet(t)
	for _, f := range engineFaults {
		t.Run(string(f), func(t *testing.T) {
			is := is.New(t)
			b.awaitEngines(t)
			b.setFault(b.engines(), f, true)
			q := b.longPrompt(fmt.Sprint("late-", f), 2000)
			q.Timeout = 700 * time.Millisecond
			r := b.client.Do(q)
			b.setFault(b.engines(), f, false)
			is.NoErr(r.Err)
			is.True(!r.Completed)
			is.True(r.Kind != "")
			is.True(r.Run == "no" || r.Run == "unknown" || r.Run == "yes")
			eventually(t, "no prompt in flight after its deadline", func() bool { return b.engineInFlight() == 0 })
		})
	}
}
