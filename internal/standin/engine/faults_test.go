package engine_test

import (
	"net"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/standin/answer"
	"github.com/damaskshelf/damaskshelf/internal/standin/engine"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/standin/rawhttp"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// own gives the parts of the request itself in order of offset, each once.
func own(parts []wire.Part, id string) []wire.Part {
	mine := slices.DeleteFunc(slices.Clone(parts), func(p wire.Part) bool { return p.ID != id })
	slices.SortStableFunc(mine, func(a, b wire.Part) int { return a.Offset - b.Offset })
	return slices.CompactFunc(mine, func(a, b wire.Part) bool { return a.Offset == b.Offset && a.Tokens == b.Tokens })
}

// Parts arrive doubled, late, out of order or mixed with another request's: the whole answer is among
// them, but not as they come.
func TestMangledParts(t *testing.T) {
	for _, f := range []faults.Fault{faults.DuplicateParts, faults.ReorderedParts, faults.LateParts, faults.ForeignParts} {
		t.Run(string(f), func(t *testing.T) {
			is := is.New(t)
			e := start(t, engine.Config{TimeScale: 5})
			is.NoErr(e.Switch(f, true, 0))
			r := streamed("r1", 10, 40).Do(e.Addr())
			is.NoErr(r.Err)
			is.True(r.Done)
			is.True(r.CheckStream("r1", 40) != nil) // the fault shows
			sorted := &rawhttp.Result{Parts: own(r.Parts, "r1")}
			is.Equal(sorted.Text(), answer.Text("r1", 40))
		})
	}
}

// The stream ends as if all were well, but its end mark and a part of the answer are missing.
func TestStreamEndsWithoutEndMark(t *testing.T) {
	is := is.New(t)
	e := start(t, engine.Config{})
	is.NoErr(e.Switch(faults.NoEndMark, true, 0))
	r := streamed("r1", 10, 40).Do(e.Addr())
	is.NoErr(r.Err)
	is.True(!r.Done)
	is.Equal(r.Finish(), "")
	is.NoErr(r.CheckPrefix("r1"))
	is.True(r.Text() != answer.Text("r1", 40))
	is.True(nothingHeld(e)())
}

// The work is done, but its answer is lost with the connection.
func TestLostAnswer(t *testing.T) {
	for _, stream := range []bool{true, false} {
		is := is.New(t)
		e := start(t, engine.Config{})
		is.NoErr(e.Switch(faults.LoseAnswer, true, 0))
		r := rawhttp.Completion("r1", wire.CompletionRequest{Model: model, MaxTokens: 10, Stream: stream}).Do(e.Addr())
		is.True(r.Err != nil)
		is.Equal(len(r.Parts)+len(r.Body), 0)
		c := e.Counters()
		is.Equal(c.Runs["r1"], 1)
		is.Equal(c.Completed, 1)
	}
}

// A stream's connection goes silent in the middle: the caller gets no more and no end. A probe over a new
// connection works, and the answer goes on there from the offset reached. The old work runs on unseen until
// its cancel.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	e := start(t, engine.Config{TimeScale: 1})
	conn, err := net.Dial("tcp", e.Addr())
	is.NoErr(err)
	defer conn.Close()
	c := streamed("r1", 10, 400).With(wire.HeaderAttempt, "1")
	c.Guard = 500 * time.Millisecond
	first := true
	c.OnPart = func(wire.Part) bool {
		if first {
			first = false
			is.NoErr(e.Switch(faults.SilentConnections, true, 0))
		}
		return true
	}
	r := c.DoOver(conn)
	is.True(!r.Done)
	is.NoErr(r.CheckPrefix("r1"))
	is.Equal(get(wire.PathPing).Do(e.Addr()).Status, 204)
	is.Equal(e.Counters().InFlight, 1) // the engine knows of nothing

	last := r.Parts[len(r.Parts)-1]
	next := last.Offset + last.Tokens
	resumed := streamed("r1", 10, next+10).With(wire.HeaderResumeOffset, jsonInt(next)).With(wire.HeaderAttempt, "2").Do(e.Addr())
	is.Equal(r.Text()+resumed.Text(), answer.Text("r1", next+10))
	is.Equal(rawhttp.Call{Path: "/v1/cancel/r1"}.Do(e.Addr()).Status, 204)
	is.True(nothingHeld(e)())
}

// An engine dies and comes back: streams end, it is cold, has another boot id, and has forgotten its
// reservations, cache and orders.
func TestKilledEngineForgets(t *testing.T) {
	is := is.New(t)
	e := start(t, engine.Config{KVCacheTokens: 100_000, DecodeInterval: time.Hour})
	running := begin(t, e, streamed("r1", 3000, 1000))
	is.Equal(post(wire.PathReservations, wire.Reservation{ID: "a", Tokens: 10}).Do(e.Addr()).Status, 201)
	is.Equal(post(wire.PathOrders, wire.Order{ID: "o", Fence: 9, Kind: engine.OrderRole, Role: engine.RoleLong}).Do(e.Addr()).Status, 202)
	boot := e.BootID()

	is.NoErr(e.Switch(faults.Kill, true, 0))
	r := <-running
	is.True(r.Err != nil || !r.Done)
	is.Equal(get(wire.PathPing).Do(e.Addr()).Status, 0)

	is.NoErr(e.Switch(faults.Kill, false, 0))
	is.True(e.BootID() != boot)
	is.True(nothingHeld(e)())
	is.True(e.Counters().Cold)
	state := ask[wire.EngineState](t, e, get(wire.PathState))
	is.Equal(state.HighestFence, uint64(0))
	is.Equal(state.Role, engine.RoleAny)
	is.Equal(state.Loaded, []wire.LoadedModel{{Model: model, Version: "v1"}})
	is.True(ask[wire.LoadReport](t, e, get(wire.PathLoad)).Cold)
}

// What a caller sees of faults that stop work at the door, and whether it may say that it did not run.
func TestFaultsAtTheDoor(t *testing.T) {
	cases := []struct {
		fault  faults.Fault
		status int
		told   bool // says that it did not start
	}{
		{faults.Leaving, 503, true},
		{faults.RefuseStart, 503, true},
		{faults.RefuseEverything, 503, false},
		{faults.Hang, 0, false},
		{faults.Kill, 0, false},
	}
	for _, c := range cases {
		t.Run(string(c.fault), func(t *testing.T) {
			is := is.New(t)
			e := start(t, engine.Config{})
			is.NoErr(e.Switch(c.fault, true, 0))
			call := streamed("r1", 10, 5)
			call.Guard = 200 * time.Millisecond
			r := call.Do(e.Addr())
			is.Equal(r.Status, c.status)
			is.Equal(r.Header[wire.HeaderNotStarted] == "true", c.told)
			is.Equal(len(e.Counters().Runs), 0)
			is.NoErr(e.Switch(c.fault, false, 0))
			is.NoErr(streamed("r2", 10, 5).Do(e.Addr()).CheckStream("r2", 5))
		})
	}
}

func TestSlowFirstByte(t *testing.T) {
	is := is.New(t)
	e := start(t, engine.Config{})
	const delay = 300 * time.Millisecond
	is.NoErr(e.Switch(faults.SlowFirstByte, true, delay))
	r := streamed("r1", 10, 5).Do(e.Addr())
	is.NoErr(r.CheckStream("r1", 5))
	is.True(r.FirstPart >= delay)
	is.Equal(r.Status, fasthttp.StatusOK)
}

// A cold engine gets one request more than it bears: all that is in flight fails, it is out of service, and
// begins to warm up anew.
func TestColdEngineFallsOver(t *testing.T) {
	is := is.New(t)
	e := start(t, engine.Config{StartCold: true, ColdLimit: 2, WarmAfter: 2, DecodeInterval: time.Hour, CollapseTime: 10 * time.Second})
	one := begin(t, e, streamed("r1", 10, 1000))
	two := begin(t, e, streamed("r2", 10, 1000))
	is.Equal(e.Counters().MaxInFlightCold, 2)
	is.Equal(e.Counters().Collapses, 0)

	r := streamed("r3", 10, 1).Do(e.Addr())
	is.Equal(r.Status, 503)
	is.Equal(r.Header[wire.HeaderNotStarted], "") // it can't say
	is.Equal((<-one).Finish(), "error")
	is.Equal((<-two).Finish(), "error")
	is.Equal(streamed("r4", 10, 1).Do(e.Addr()).Status, 503)
	c := e.Counters()
	is.Equal(c.Collapses, 1)
	is.Equal(c.MaxInFlightCold, 3)

	eventually(t, "it is back in service", func() bool { return streamed("r5", 10, 1).Do(e.Addr()).Status == 200 })
	is.True(e.Counters().Cold)
	is.NoErr(streamed("r6", 10, 1).Do(e.Addr()).CheckStream("r6", 1))
	is.True(!e.Counters().Cold) // two successes
	is.True(nothingHeld(e)())
}

// An engine turns cold without a word: same boot id, work in flight goes on and does not count, but one
// request over the limit of new ones makes it fall over.
func TestTurningColdUnannounced(t *testing.T) {
	is := is.New(t)
	e := start(t, engine.Config{ColdLimit: 1, DecodeInterval: time.Hour})
	old := begin(t, e, streamed("old", 10, 1000))
	boot := e.BootID()
	is.NoErr(e.Switch(faults.Cold, true, 0))
	is.Equal(e.BootID(), boot)
	is.True(e.Counters().Cold)
	first := begin(t, e, streamed("r1", 10, 1000))
	is.Equal(e.Counters().Collapses, 0)
	is.Equal(streamed("r2", 10, 1).Do(e.Addr()).Status, 503)
	is.Equal(e.Counters().Collapses, 1)
	is.Equal((<-first).Finish(), "error")
	is.Equal((<-old).Finish(), "error")
}
