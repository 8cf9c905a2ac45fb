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

// slowDecodeInterval is the time of one token on an engine whose jobs must not finish early: 200 ms of wall-clock time at
// fastTimeScale.
const slowDecodeInterval = 10 * time.Second

func TestStreamCarriesCompleteAnswer(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Config{})
	const tokens = 400 // for so long that a busy machine doesn't find them all computed at once
	r := streamCall("r1", 3000, tokens).Do(e.Addr())
	is.NoErr(r.CheckStream("r1", tokens))
	is.True(len(r.Parts) > 1) // in several parts
	is.True(r.Header[wire.HeaderBootID] != "")
	c := e.Counters()
	is.Equal(c.Runs, map[string]int{"r1": 1})
	is.Equal(c.Completed, 1)
	is.True(isIdle(e)())
}

func TestAnswerWithoutStream(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Config{})
	call := rawhttp.Completion("r1", wire.Completion{Model: model, Prompt: "x", MaxTokens: 7})
	complete := fetch[wire.CompletionAnswer](t, e, call)
	is.Equal(complete, wire.CompletionAnswer{ID: "r1", Model: model, Text: answer.Text("r1", 7), Tokens: 7, FinishReason: "length"})
	rest := fetch[wire.CompletionAnswer](t, e, call.WithHeader(wire.HeaderResumeOffset, "5"))
	is.Equal(rest.Text, answer.Range("r1", 5, 7))
}

func TestRefusals(t *testing.T) {
	e := startEngine(t, engine.Config{Memory: 5000, Models: []wire.LoadedModel{{Model: model, Version: "v1", Adapters: []string{"ice"}}}})
	with := func(c wire.Completion) rawhttp.Call { return rawhttp.Completion("r1", c) }
	cases := []struct {
		name   string
		call   rawhttp.Call
		status int
	}{
		{"loaded adapter", with(wire.Completion{Model: model, Adapter: "ice"}), 200},
		{"adapter not loaded", with(wire.Completion{Model: model, Adapter: "lake"}), 404},
		{"model not loaded", with(wire.Completion{Model: "other"}), 404},
		{"malformed", rawhttp.Call{Path: wire.PathCompletions, Body: []byte("{")}, 400},
		{"no request id", rawhttp.Completion("", wire.Completion{Model: model}), 400},
		{"bad priority", with(wire.Completion{Model: model}).WithHeader(wire.HeaderPriority, "high"), 400},
		{"negative length", with(wire.Completion{Model: model, MaxTokens: -1}), 400},
		{"offset after the end", with(wire.Completion{Model: model, MaxTokens: 4}).WithHeader(wire.HeaderResumeOffset, "5"), 400},
		{"unknown reservation", with(wire.Completion{Model: model}).WithHeader(wire.HeaderReservation, "x"), 409},
		{"just fits", with(wire.Completion{Model: model, Prompt: prompt(4990), MaxTokens: 10}), 200},
		{"larger than the memory", with(wire.Completion{Model: model, Prompt: prompt(4991), MaxTokens: 10}), 413},
		{"malformed group", with(wire.Completion{Model: model}).WithHeader(wire.HeaderGroup, "x"), 503},
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

func TestFullQueueRefusesRequests(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Config{MaxRunning: 1, QueueLimit: 1, DecodeInterval: slowDecodeInterval})
	running := startCall(t, e, streamCall("r1", 10, 1000))
	go func() { _ = streamCall("r2", 10, 1000).Do(e.Addr()) }()
	waitFor(t, "r2 is queued", func() bool { return e.Counters().InFlight == 2 })
	r := streamCall("r3", 10, 1).Do(e.Addr())
	is.Equal(r.Status, 503)
	is.Equal(r.Header[wire.HeaderNotStarted], "true")
	is.Equal(e.Counters().Refused, 1)
	is.Equal(rawhttp.Call{Path: "/v1/cancel/r1"}.Do(e.Addr()).Status, 204)
	is.Equal((<-running).FinishReason(), "error")
}

func TestResumeContinuesTheSameAnswer(t *testing.T) {
	is := is.New(t)
	e, other := startEngine(t, engine.Config{}), startEngine(t, engine.Config{})
	interrupted := streamCall("r1", 2000, 100)
	interrupted.OnPart = func(p wire.Part) bool { return p.Offset+p.Tokens < 20 }
	first := interrupted.Do(e.Addr())
	is.NoErr(first.CheckPrefix("r1"))
	last := first.Parts[len(first.Parts)-1]
	next := last.Offset + last.Tokens
	rest := streamCall("r1", 2000, 100).WithHeader(wire.HeaderResumeOffset, jsonInt(next)).Do(other.Addr())
	is.Equal(first.Text()+rest.Text(), answer.Text("r1", 100))
	is.Equal(rest.Parts[0].Offset, next)
	is.Equal(other.Counters().Resumes, 1)

	end := streamCall("r1", 2000, 100).WithHeader(wire.HeaderResumeOffset, "100").Do(other.Addr()) // only the end mark is missing
	is.True(end.Done)
	is.Equal(end.FinishReason(), "length")
	is.Equal(end.Text(), "")
}

func jsonInt(n int) string {
	data, _ := json.Marshal(n)
	return string(data)
}

// A caller closes its connection in the middle of a stream. The engine must notice that although it has nothing to write,
// or the job keeps its memory.
func TestClosedConnectionCancelsJob(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Config{DecodeInterval: time.Hour})
	c := streamCall("r1", 10, 1000)
	c.OnPart = func(wire.Part) bool { return false }
	is.NoErr(c.Do(e.Addr()).CheckPrefix("r1"))
	waitFor(t, "the memory is released", isIdle(e))
	is.Equal(e.Counters().Cancelled, 1)
}

func TestCancelEndsNamedAttempts(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Config{DecodeInterval: time.Hour})
	one := startCall(t, e, streamCall("r/1", 10, 1000).WithHeader(wire.HeaderAttempt, "1"))
	two := startCall(t, e, streamCall("r/1", 10, 1000).WithHeader(wire.HeaderAttempt, "2"))
	cancel := rawhttp.Call{Path: "/v1/cancel/r%2F1"}
	is.Equal(cancel.WithHeader(wire.HeaderAttempt, "1").Do(e.Addr()).Status, 204)
	is.Equal((<-one).FinishReason(), "error")
	is.Equal(e.Counters().InFlight, 1)
	is.Equal(cancel.Do(e.Addr()).Status, 204)
	is.Equal((<-two).FinishReason(), "error")
	is.Equal(cancel.Do(e.Addr()).Status, 204) // idempotent
	is.Equal(e.Counters().Cancelled, 2)
	is.True(isIdle(e)())
}

// A short prompt of higher priority arrives while a long one is being computed. The short request must finish before the
// long one has its first token.
func TestHigherPriorityRunsFirst(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Config{TimeScale: 10})
	long := streamCall("long", 200_000, 10).WithHeader(wire.HeaderPriority, "-5")
	order := make(chan string, 2)
	long.OnPart = func(wire.Part) bool { order <- "long"; return false }
	go func() { _ = long.Do(e.Addr()) }()
	waitFor(t, "the long request runs", func() bool { return e.Counters().HeldTokens > 0 })
	is.NoErr(streamCall("short", 100, 5).WithHeader(wire.HeaderPriority, "5").Do(e.Addr()).CheckStream("short", 5))
	order <- "short"
	is.Equal(<-order, "short")
	is.Equal(<-order, "long")
}

// A request passes its deadline on a connection that stalls without being closed, so that nothing cancels it. The engine
// must end the job itself, or the job keeps its memory.
func TestEngineEndsOverdueJobs(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Config{DecodeInterval: time.Hour})
	r := streamCall("r1", 10, 1000).WithHeader(wire.HeaderRemaining, "100").Do(e.Addr())
	is.Equal(r.FinishReason(), "error")
	is.True(isIdle(e)())
}

func TestCachedPrefixIsNotRecomputed(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Config{EventLag: time.Millisecond})
	is.NoErr(streamCall("r1", 2*wire.BlockTokens+100, 5).Do(e.Addr()).CheckStream("r1", 5))
	is.Equal(e.Counters().CachedTokens, int64(0))
	is.NoErr(streamCall("r2", 3*wire.BlockTokens, 5).Do(e.Addr()).CheckStream("r2", 5))
	is.Equal(e.Counters().CachedTokens, int64(2*wire.BlockTokens))
	var events wire.CacheEvents
	waitFor(t, "the events are published", func() bool {
		events = fetch[wire.CacheEvents](t, e, get(wire.PathCacheEvents+"?from=1"))
		return len(events.Events) == 3
	})
	cached := map[uint64]bool{}
	for _, event := range events.Events {
		cached[event.Hash] = !event.Drop
	}
	for _, hash := range wire.BlockHashes([]byte(prompt(3 * wire.BlockTokens))) {
		is.True(cached[hash])
	}
	is.Equal(events.BootID, e.BootID())
}

// The load report shows an earlier state: an engine that has just started a job does not report it until ReportLag
// has passed.
func TestLoadReportLags(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Config{ReportLag: 10 * time.Hour, DecodeInterval: time.Hour})
	done := startCall(t, e, streamCall("r1", 10, 1000))
	load := fetch[wire.LoadReport](t, e, get(wire.PathLoad))
	is.Equal(load.Running, 0)
	is.Equal(load.MemoryTotal, int64(engine.DefaultMemory))
	is.Equal(load.PrefillRate, int64(engine.DefaultPrefillRate*fastTimeScale))
	e.Close()
	<-done

	current := startEngine(t, engine.Config{ReportLag: time.Millisecond, DecodeInterval: time.Hour})
	done = startCall(t, current, streamCall("r1", 10, 1000))
	var fresh wire.LoadReport
	waitFor(t, "the report shows the request", func() bool {
		fresh = fetch[wire.LoadReport](t, current, get(wire.PathLoad))
		return fresh.Running == 1
	})
	is.Equal(fresh.MemoryUsed, int64(1010))
	is.True(fresh.Seq > 0)
	current.Close()
	<-done
}
