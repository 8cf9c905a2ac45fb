package engine_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/standin/answer"
	"github.com/damaskshelf/damaskshelf/internal/standin/engine"
	"github.com/damaskshelf/damaskshelf/internal/standin/rawhttp"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

const slowDecode = 10 * time.Second // 200 ms a token when fast

func TestStreamIsTheWholeAnswer(t *testing.T) {
	is := is.New(t)
	e := start(t, engine.Config{})
	r := streamed("r1", 3000, 40).Do(e.Addr())
	is.NoErr(r.CheckStream("r1", 40))
	is.True(len(r.Parts) > 1) // it was streamed
	is.True(r.Header[wire.HeaderBootID] != "")
	c := e.Counters()
	is.Equal(c.Runs, map[string]int{"r1": 1})
	is.Equal(c.Completed, 1)
	is.True(nothingHeld(e)())
}

func TestWholeAnswer(t *testing.T) {
	is := is.New(t)
	e := start(t, engine.Config{})
	call := rawhttp.Completion("r1", wire.CompletionRequest{Model: model, Prompt: "x", MaxTokens: 7})
	whole := ask[wire.CompletionAnswer](t, e, call)
	is.Equal(whole, wire.CompletionAnswer{ID: "r1", Model: model, Text: answer.Text("r1", 7), Tokens: 7, FinishReason: "length"})
	rest := ask[wire.CompletionAnswer](t, e, call.With(wire.HeaderResumeOffset, "5"))
	is.Equal(rest.Text, answer.Range("r1", 5, 7))
}

func TestRefusals(t *testing.T) {
	e := start(t, engine.Config{KVCacheTokens: 5000, Models: []wire.LoadedModel{{Model: model, Version: "v1", Adapters: []string{"ice"}}}})
	with := func(c wire.CompletionRequest) rawhttp.Call { return rawhttp.Completion("r1", c) }
	cases := []struct {
		name   string
		call   rawhttp.Call
		status int
	}{
		{"adapter that is loaded", with(wire.CompletionRequest{Model: model, Adapter: "ice"}), 200},
		{"adapter that is not", with(wire.CompletionRequest{Model: model, Adapter: "lake"}), 404},
		{"model that is not loaded", with(wire.CompletionRequest{Model: "other"}), 404},
		{"malformed", rawhttp.Call{Path: wire.PathCompletions, Body: []byte("{")}, 400},
		{"no request id", rawhttp.Completion("", wire.CompletionRequest{Model: model}), 400},
		{"bad priority", with(wire.CompletionRequest{Model: model}).With(wire.HeaderPriority, "high"), 400},
		{"negative length", with(wire.CompletionRequest{Model: model, MaxTokens: -1}), 400},
		{"offset behind the end", with(wire.CompletionRequest{Model: model, MaxTokens: 4}).With(wire.HeaderResumeOffset, "5"), 400},
		{"unknown reservation", with(wire.CompletionRequest{Model: model}).With(wire.HeaderReservation, "x"), 409},
		{"just fits", with(wire.CompletionRequest{Model: model, Prompt: prompt(4990), MaxTokens: 10}), 200},
		{"larger than the memory", with(wire.CompletionRequest{Model: model, Prompt: prompt(4991), MaxTokens: 10}), 413},
		{"malformed group", with(wire.CompletionRequest{Model: model}).With(wire.HeaderGroup, "x"), 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := c.call.Do(e.Addr())
			is.NoErr(r.Err)
			is.Equal(r.Status, c.status)
			is.Equal(r.Header[wire.HeaderNotStarted] == "true", c.status != 200)
			if c.status != 200 {
				var refusal wire.Refusal
				is.NoErr(json.Unmarshal(r.Body, &refusal))
				is.True(refusal.NotStarted && refusal.Error != "")
			}
		})
	}
}

func TestFullQueueRefuses(t *testing.T) {
	is := is.New(t)
	e := start(t, engine.Config{MaxRunning: 1, QueueLimit: 1, DecodeInterval: slowDecode})
	running := begin(t, e, streamed("r1", 10, 1000))
	go func() { _ = streamed("r2", 10, 1000).Do(e.Addr()) }()
	eventually(t, "r2 waits", func() bool { return e.Counters().InFlight == 2 })
	r := streamed("r3", 10, 1).Do(e.Addr())
	is.Equal(r.Status, 503)
	is.Equal(r.Header[wire.HeaderNotStarted], "true")
	is.Equal(e.Counters().Refused, 1)
	is.Equal(rawhttp.Call{Path: "/v1/cancel/r1"}.Do(e.Addr()).Status, 204)
	is.Equal((<-running).Finish(), "error")
}

func TestResumeContinuesTheSameAnswer(t *testing.T) {
	is := is.New(t)
	e, other := start(t, engine.Config{}), start(t, engine.Config{})
	begun := streamed("r1", 2000, 100)
	begun.OnPart = func(p wire.Part) bool { return p.Offset+p.Tokens < 20 }
	first := begun.Do(e.Addr())
	is.NoErr(first.CheckPrefix("r1"))
	last := first.Parts[len(first.Parts)-1]
	next := last.Offset + last.Tokens
	rest := streamed("r1", 2000, 100).With(wire.HeaderResumeOffset, jsonInt(next)).Do(other.Addr())
	is.Equal(first.Text()+rest.Text(), answer.Text("r1", 100))
	is.Equal(rest.Parts[0].Offset, next)
	is.Equal(other.Counters().Resumes, 1)

	end := streamed("r1", 2000, 100).With(wire.HeaderResumeOffset, "100").Do(other.Addr()) // only the end mark was lost
	is.True(end.Done)
	is.Equal(end.Finish(), "length")
	is.Equal(end.Text(), "")
}

func jsonInt(n int) string {
	data, _ := json.Marshal(n)
	return string(data)
}

// A caller closes its connection in the middle of a stream; the engine notices though it has nothing to
// write, and gives the memory back.
func TestClosedConnectionCancels(t *testing.T) {
	is := is.New(t)
	e := start(t, engine.Config{DecodeInterval: time.Hour})
	c := streamed("r1", 10, 1000)
	c.OnPart = func(wire.Part) bool { return false }
	is.NoErr(c.Do(e.Addr()).CheckPrefix("r1"))
	eventually(t, "memory is given back", nothingHeld(e))
	is.Equal(e.Counters().Cancelled, 1)
}

func TestCancelEndsTheAttemptsItNames(t *testing.T) {
	is := is.New(t)
	e := start(t, engine.Config{DecodeInterval: time.Hour})
	one := begin(t, e, streamed("r/1", 10, 1000).With(wire.HeaderAttempt, "1"))
	two := begin(t, e, streamed("r/1", 10, 1000).With(wire.HeaderAttempt, "2"))
	cancel := rawhttp.Call{Path: "/v1/cancel/r%2F1"}
	is.Equal(cancel.With(wire.HeaderAttempt, "1").Do(e.Addr()).Status, 204)
	is.Equal((<-one).Finish(), "error")
	is.Equal(e.Counters().InFlight, 1)
	is.Equal(cancel.Do(e.Addr()).Status, 204)
	is.Equal((<-two).Finish(), "error")
	is.Equal(cancel.Do(e.Addr()).Status, 204) // idempotent
	is.Equal(e.Counters().Cancelled, 2)
	is.True(nothingHeld(e)())
}

// A long prompt is being computed when a short one of higher priority arrives: the short one is over before
// the long one has its first token.
func TestPriorityComesFirst(t *testing.T) {
	is := is.New(t)
	e := start(t, engine.Config{TimeScale: 10})
	long := streamed("long", 200_000, 10).With(wire.HeaderPriority, "-5")
	order := make(chan string, 2)
	long.OnPart = func(wire.Part) bool { order <- "long"; return false }
	go func() { _ = long.Do(e.Addr()) }()
	eventually(t, "the long one runs", func() bool { return e.Counters().HeldTokens > 0 })
	is.NoErr(streamed("short", 100, 5).With(wire.HeaderPriority, "5").Do(e.Addr()).CheckStream("short", 5))
	order <- "short"
	is.Equal(<-order, "short")
	is.Equal(<-order, "long")
}

// A request's time is over while its connection has gone silent, so that nobody cancels it: the engine ends
// the work itself.
func TestEngineEndsWorkWhoseTimeIsOver(t *testing.T) {
	is := is.New(t)
	e := start(t, engine.Config{DecodeInterval: time.Hour})
	r := streamed("r1", 10, 1000).With(wire.HeaderRemaining, "100").Do(e.Addr())
	is.Equal(r.Finish(), "error")
	is.True(nothingHeld(e)())
}

func TestCachedPrefixIsNotComputedAgain(t *testing.T) {
	is := is.New(t)
	e := start(t, engine.Config{EventDelay: time.Millisecond})
	is.NoErr(streamed("r1", 2*wire.BlockTokens+100, 5).Do(e.Addr()).CheckStream("r1", 5))
	is.Equal(e.Counters().CachedTokens, int64(0))
	is.NoErr(streamed("r2", 3*wire.BlockTokens, 5).Do(e.Addr()).CheckStream("r2", 5))
	is.Equal(e.Counters().CachedTokens, int64(2*wire.BlockTokens))
	var events wire.CacheEvents
	eventually(t, "events are published", func() bool {
		events = ask[wire.CacheEvents](t, e, get(wire.PathCacheEvents+"?from=1"))
		return len(events.Events) == 3
	})
	held := map[uint64]bool{}
	for _, event := range events.Events {
		held[event.Hash] = !event.Drop
	}
	for _, hash := range wire.BlockHashes([]byte(prompt(3 * wire.BlockTokens))) {
		is.True(held[hash])
	}
	is.Equal(events.BootID, e.BootID())
}

// The load report shows the state of a while ago: an engine that has just taken work still reports none.
func TestLoadReportLags(t *testing.T) {
	is := is.New(t)
	e := start(t, engine.Config{ReportInterval: 10 * time.Hour, DecodeInterval: time.Hour})
	done := begin(t, e, streamed("r1", 10, 1000))
	load := ask[wire.LoadReport](t, e, get(wire.PathLoad))
	is.Equal(load.Running, 0)
	is.Equal(load.MemoryTotal, int64(engine.DefaultKVCacheTokens))
	is.Equal(load.PrefillRate, int64(engine.DefaultPrefillRate*fast))
	e.Close()
	<-done

	prompt := start(t, engine.Config{ReportInterval: time.Millisecond, DecodeInterval: time.Hour})
	done = begin(t, prompt, streamed("r1", 10, 1000))
	var fresh wire.LoadReport
	eventually(t, "the report shows the request", func() bool {
		fresh = ask[wire.LoadReport](t, prompt, get(wire.PathLoad))
		return fresh.Running == 1
	})
	is.Equal(fresh.MemoryUsed, int64(1010))
	is.True(fresh.Seq > 0)
	prompt.Close()
	<-done
}
