package e2e_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/standin/rawhttp"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// An engine restarts under load and is cold: together, the entry instances send it no more at once than it
// bears, so that it never falls over, and it is in full use again in the end.
func TestColdEngineIsNotOverloaded(t *testing.T) {
	is := is.New(t)
	f := start(t)
	cold := ""
	run(t, f, all, func() {
		cold = f.target(busiest)
		f.fault(cold, faults.Kill, true)
		time.Sleep(before)
		f.fault(cold, faults.Kill, false)
		f.await("the engine is warm again", func() bool { return !f.counters().Engines[cold].Cold })
		time.Sleep(before)
	})
	saw := f.counters().Engines[cold]
	is.Equal(saw.Collapses, 0)
	is.True(saw.MaxInFlightCold > 0) // it was tried while it was cold
	is.True(saw.MaxInFlightCold <= coldLimit)
}

// huge is a prompt of more than twice an engine's memory, in tokens.
const huge = 900_000

// An analyst asks over an entire dossier, which is larger than one engine's memory, while others ask short
// questions. All get their whole answers, and the engines' memory is free afterwards.
func TestPromptLargerThanOneEngine(t *testing.T) {
	is := is.New(t)
	f := start(t)
	run(t, f, all, func() {
		id := newID("dossier")
		call := patient(prompt(id, huge, 50, true))
		is.NoErr(call.Do(f.started()[0].row.Addr).CheckStream(id, 50))
	})
}

// An entry instance dies while its dossier prompt holds memory on several engines. Nobody releases it; the
// engines get their memory back all the same.
func TestMemoryOfADeadEntryIsFreed(t *testing.T) {
	f := start(t)
	old := f.started()[0]
	call := patient(prompt(newID("dossier"), huge, 10_000, true))
	gone := background(call, old)
	f.await("memory is reserved", func() bool {
		held := int64(0)
		for _, e := range f.counters().Engines {
			held += e.HeldTokens
		}
		return held >= huge
	})
	old.kill()
	f.unlist(old.row.ID)
	<-gone
	f.await("engines are idle and hold no memory", f.idle)
}

// keyed is a booking with an idempotency key, under a request id of its own.
func keyed(key string) rawhttp.Call {
	return booking(key).WithHeader(wire.HeaderRequestID, newID("keyed")).WithHeader(wire.HeaderIdempotencyKey, key)
}

// Guides confirm rentals with a key, and ask again through another entry instance until they are certain,
// while services lose answers, the object API loses answers and stands still, and an entry instance dies. No
// key runs twice; whoever was told that its booking is confirmed hears the same booking whenever it asks.
func TestKeyedBookingsRunAtMostOnce(t *testing.T) {
	is := is.New(t)
	f := start(t)
	const guides, each = 6, 15
	type told struct{ key, body string }
	confirmed := make(chan []told, guides)
	for g := range guides {
		go func() {
			var mine []told
			for n := range each {
				key := fmt.Sprintf("key-%d-%d", g, n)
				if body := f.insist(key, g+n); body != "" {
					mine = append(mine, told{key, body})
				}
			}
			confirmed <- mine
		}()
	}
	play := func(target string, fault faults.Fault) {
		f.fault(target, fault, true)
		time.Sleep(before)
		f.fault(target, fault, false)
		time.Sleep(before)
	}
	play("bookdesk-0", faults.LoseAnswer)
	play("objects", faults.LoseAnswer)
	f.started()[0].kill()
	play("objects", faults.Hang)
	play("bookdesk-1", faults.CrashBeforeRun)
	play("objects", faults.Kill)
	var all []told
	for range guides {
		all = append(all, <-confirmed...)
	}
	is.True(len(all) > 0)
	for key, n := range f.counters().RunsByKey {
		if n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
	for _, b := range all {
		again := f.repeat(b.key)
		is.Equal(again.Status, fasthttp.StatusCreated)
		is.Equal(string(again.Body), b.body)
		is.Equal(again.Header[wire.HeaderReplayed], "true")
	}
	t.Logf("%d of %d bookings confirmed", len(all), guides*each)
}

// repeat asks again with a key. An instance that still waits out its back-off after the store's outage
// refuses at once, as not run; of an outcome that waited out the outage in an instance's memory the answer is
// "in progress" until it is written. Both say when to come back, and a caller does come back.
func (f *fleet) repeat(key string) *rawhttp.Result {
	var r *rawhttp.Result
	f.await("the store is in use again", func() bool {
		r = keyed(key).Do(f.started()[1].row.Addr)
		refused := r.Status == fasthttp.StatusServiceUnavailable && r.Header[wire.HeaderRun] == "no"
		later := refused || r.Status == fasthttp.StatusConflict
		return !later || r.Header[fasthttp.HeaderRetryAfter] == ""
	})
	return r
}

// insist books with a key through one entry instance after the other until it is confirmed, and gives the
// confirmation. A booking whose outcome stays unknown is given up.
func (f *fleet) insist(key string, first int) string {
	const tries = 40
	entries := f.started()
	for n := range tries {
		r := keyed(key).Do(entries[(first+n)%len(entries)].row.Addr)
		if r.Status == fasthttp.StatusCreated {
			return string(r.Body)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}
