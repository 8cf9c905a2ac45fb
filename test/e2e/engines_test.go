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

// An engine restarts cold under load. All entry instances together keep no more requests in flight on it than it can bear,
// so that it never collapses, and it becomes warm again.
func TestColdEngineIsNotOverloaded(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	cold := ""
	runUnderLoad(t, f, noneMayFail, func() {
		cold = f.resolveTarget(busiestEngine)
		f.setFault(cold, faults.Kill, true)
		time.Sleep(stepPause)
		f.setFault(cold, faults.Kill, false)
		f.await("the engine is warm again", func() bool { return !f.counters().Engines[cold].Cold })
		time.Sleep(stepPause)
	})
	counters := f.counters().Engines[cold]
	is.Equal(counters.Collapses, 0)
	is.True(counters.MaxInFlightCold > 0) // it received requests while it was cold
	is.True(counters.MaxInFlightCold <= coldLimit)
}

// hugePromptTokens is the length of a prompt that needs more than twice an engine's memory.
const hugePromptTokens = 900_000

// A prompt larger than one engine's memory runs under the usual load. All requests are answered completely, and the
// engines' memory is free afterwards.
func TestPromptLargerThanOneEngine(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	runUnderLoad(t, f, noneMayFail, func() {
		id := newRequestID("dossier")
		call := withLongTimeout(promptCall(id, hugePromptTokens, 50, true))
		is.NoErr(call.Do(f.startedEntries()[0].row.Addr).CheckStream(id, 50))
	})
}

// An entry instance is killed while its prompt has memory reserved on several engines, and so can't release it. The
// engines' memory becomes free nevertheless.
func TestMemoryOfADeadEntryIsFreed(t *testing.T) {
	f := startFleet(t)
	old := f.startedEntries()[0]
	call := withLongTimeout(promptCall(newRequestID("dossier"), hugePromptTokens, 10_000, true))
	result := doAsync(call, old)
	f.await("memory is reserved", func() bool {
		heldTokens := int64(0)
		for _, e := range f.counters().Engines {
			heldTokens += e.HeldTokens
		}
		return heldTokens >= hugePromptTokens
	})
	old.kill()
	f.unlistInstance(old.row.ID)
	<-result
	f.await("engines are idle and hold no memory", f.enginesIdle)
}

// keyedBooking returns a booking with an idempotency key and a new request id.
func keyedBooking(key string) rawhttp.Call {
	return bookingCall(key).WithHeader(wire.HeaderRequestID, newRequestID("keyed")).WithHeader(wire.HeaderIdempotencyKey, key)
}

// Callers send bookings with an idempotency key, and repeat them through other entry instances until they are confirmed.
// Meanwhile service instances lose answers and crash, the object API loses answers, hangs and is down, and an entry
// instance is killed. No key runs twice. Repeating a confirmed booking returns the same confirmation.
func TestKeyedBookingsRunAtMostOnce(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	const callerCount, keysPerCaller = 6, 15
	type confirmation struct{ key, body string }
	confirmed := make(chan []confirmation, callerCount)
	for g := range callerCount {
		go func() {
			var own []confirmation
			for n := range keysPerCaller {
				key := fmt.Sprintf("key-%d-%d", g, n)
				if body := f.bookUntilConfirmed(key, g+n); body != "" {
					own = append(own, confirmation{key, body})
				}
			}
			confirmed <- own
		}()
	}
	injectFault := func(target string, fault faults.Fault) {
		f.setFault(target, fault, true)
		time.Sleep(stepPause)
		f.setFault(target, fault, false)
		time.Sleep(stepPause)
	}
	injectFault("bookdesk-0", faults.LoseAnswer)
	injectFault("objects", faults.LoseAnswer)
	f.startedEntries()[0].kill()
	injectFault("objects", faults.Hang)
	injectFault("bookdesk-1", faults.CrashBeforeRun)
	injectFault("objects", faults.Kill)
	var allConfirmed []confirmation
	for range callerCount {
		allConfirmed = append(allConfirmed, <-confirmed...)
	}
	is.True(len(allConfirmed) > 0)
	for key, n := range f.counters().RunsByKey {
		if n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
	for _, b := range allConfirmed {
		repeated := f.repeatBooking(b.key)
		is.Equal(repeated.Status, fasthttp.StatusCreated)
		is.Equal(string(repeated.Body), b.body)
		is.Equal(repeated.Header[wire.HeaderReplayed], "true")
	}
	t.Logf("%d of %d bookings confirmed", len(allConfirmed), callerCount*keysPerCaller)
}

// repeatBooking repeats a booking with its key until the response is final. After an outage of the store, an instance may
// first respond with a Retry-After: it refuses bookings as not run during its backoff, and reports an outcome that it has
// not written to the store yet as in progress.
func (f *fleet) repeatBooking(key string) *rawhttp.Result {
	var r *rawhttp.Result
	f.await("a repeated booking gets a final response", func() bool {
		r = keyedBooking(key).Do(f.startedEntries()[1].row.Addr)
		refused := r.Status == fasthttp.StatusServiceUnavailable && r.Header[wire.HeaderRun] == "no"
		retryable := refused || r.Status == fasthttp.StatusConflict
		return !retryable || r.Header[fasthttp.HeaderRetryAfter] == ""
	})
	return r
}

// bookUntilConfirmed sends a booking through each entry instance in turn, beginning with the one at index first, until it
// is confirmed. It returns the confirmation, or an empty string if no attempt was confirmed.
func (f *fleet) bookUntilConfirmed(key string, first int) string {
	const maxAttempts = 40
	entries := f.startedEntries()
	for n := range maxAttempts {
		r := keyedBooking(key).Do(entries[(first+n)%len(entries)].row.Addr)
		if r.Status == fasthttp.StatusCreated {
			return string(r.Body)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}
