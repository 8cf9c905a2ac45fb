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

// long is a prompt whose answer streams for as many engine tokens, 10 ms each.
func (b *bed) long(id string, tokens int) caller.Request {
	return caller.Request{
		Addr: b.f.Nodes[0].CallersAddr(), ID: id, Timeout: 20 * time.Second, Model: model,
		Prompt: strings.Repeat("ice ", promptTokens), MaxTokens: tokens, Stream: true,
	}
}

// onEngines is the number of prompts that engines have.
func (b *bed) onEngines() int {
	sum := 0
	for _, e := range b.f.Cluster.Engines {
		sum += e.Counters().InFlight
	}
	return sum
}

// inFlight waits until the engines have n prompts.
func (b *bed) inFlight(n int) {
	b.t.Helper()
	eventually(b.t, "prompts are on engines", func() bool { return b.onEngines() >= n })
}

// eventually waits for what takes milliseconds when all is well.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("never: " + what)
		}
	}
}

// Operators stop an instance while long answers stream, a slow booking runs, and the balancer still sends.
// A second signal asks again. Nothing is cut off, and what comes too late is told "not run".
func TestPlannedStopCutsNothing(t *testing.T) {
	is := is.New(t)
	b := start(t)
	const streams, tokens = 8, 120
	results := make([]caller.Result, streams)
	var wg sync.WaitGroup
	for i := range streams {
		q := b.long(fmt.Sprint("long-", i), tokens)
		wg.Go(func() { results[i] = b.call.Do(q) })
	}
	b.inFlight(streams)
	keyed := b.booking(0, "stop-key", true)
	var booking caller.Result
	wg.Go(func() { booking = b.call.Do(keyed) })
	stopped := make(chan error, 2)
	for range 2 {
		go func() { stopped <- b.f.Nodes[0].Stop() }()
	}
	late := 0
	for deadline := time.Now().Add(10 * time.Second); late == 0 && time.Now().Before(deadline); {
		r := b.call.Do(b.booking(0, "", false))
		switch {
		case r.Err != nil:
			late++ // the listener is closed: nothing was read
		case r.Status >= 300:
			late++
			is.Equal(r.Kind, "stopping")
			is.Equal(r.Run, "no")
			is.True(r.RetryAfter > 0)
		}
	}
	is.True(late > 0) // new requests end before those in flight
	wg.Wait()
	is.NoErr(<-stopped)
	is.NoErr(<-stopped)
	for i, r := range results {
		is.True(r.OK())
		is.Equal(r.Text, answer.Answer(fmt.Sprint("long-", i), tokens))
	}
	is.Equal(booking.Run, "yes")
	repeat := keyed
	repeat.Addr, repeat.ID = b.f.Nodes[1].CallersAddr(), "stop-again"
	r := b.call.Do(repeat)
	is.True(r.Replayed) // its outcome was in the store before the instance ended
	is.Equal(r.Text, booking.Text)
}

// The stop's limit comes before the end of a stream. The stream ends with an explicit error instead of an
// end mark, and the engine is told.
func TestStopLimitEndsStreamsExplicitly(t *testing.T) {
	is := is.New(t)
	b := startWith(t, func(s *api.Settings) {
		s.Intervals.StopTimeout = api.Duration(400 * time.Millisecond)
	})
	const tokens = 1500
	var r caller.Result
	var wg sync.WaitGroup
	q := b.long("long", tokens)
	wg.Go(func() { r = b.call.Do(q) })
	b.inFlight(1)
	is.True(b.f.Nodes[0].Stop() != nil) // it says that it cut something off
	wg.Wait()
	is.True(!r.Whole)
	is.Equal(r.Kind, "cancelled")
	is.True(r.Run != "no")
	is.True(strings.HasPrefix(answer.Answer("long", tokens), r.Text))
	eventually(t, "no engine works on for nobody", func() bool { return b.onEngines() == 0 })
}

// An engine's answer doesn't come, or every engine refuses. The analyst's request has 700 ms: it is answered
// by then, with an error that says what is known, and not left hanging on the engine's time; the client's
// own limit, seconds later, would show as a transport error. No engine works on for it.
func TestPromptsEndInTheirTime(t *testing.T) {
	all := []faults.Fault{faults.Hang, faults.Kill, faults.RefuseStart, faults.RefuseEverything, faults.SlowFirstByte}
	b := start(t)
	for _, f := range all {
		t.Run(string(f), func(t *testing.T) {
			is := is.New(t)
			b.awaitEngines(t)
			b.switchAll(b.engines(), f, true)
			q := b.long(fmt.Sprint("late-", f), 2000)
			q.Timeout = 700 * time.Millisecond
			r := b.call.Do(q)
			b.switchAll(b.engines(), f, false)
			is.NoErr(r.Err)
			is.True(!r.Whole)
			is.True(r.Kind != "")
			is.True(r.Run == "no" || r.Run == "unknown" || r.Run == "yes")
			eventually(t, "no engine works for it", func() bool { return b.onEngines() == 0 })
		})
	}
}
