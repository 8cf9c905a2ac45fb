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

// ownParts returns the parts that belong to the request, ordered by offset and without duplicates.
func ownParts(parts []wire.Part, id string) []wire.Part {
	own := slices.DeleteFunc(slices.Clone(parts), func(p wire.Part) bool { return p.ID != id })
	slices.SortStableFunc(own, func(a, b wire.Part) int { return a.Offset - b.Offset })
	return slices.CompactFunc(own, func(a, b wire.Part) bool { return a.Offset == b.Offset && a.Tokens == b.Tokens })
}

// Parts arrive twice, late, out of order or mixed with those of another request. The complete answer is contained in
// them, but their sequence is not a valid stream.
func TestFaultyParts(t *testing.T) {
	for _, f := range []faults.Fault{faults.DuplicateParts, faults.ReorderedParts, faults.LateParts, faults.ForeignParts} {
		t.Run(string(f), func(t *testing.T) {
			is := is.New(t)
			e := startEngine(t, engine.Config{TimeScale: 5})
			is.NoErr(e.Switch(f, true, 0))
			r := streamCall("r1", 10, 40).Do(e.Addr())
			is.NoErr(r.Err)
			is.True(r.Done)
			is.True(r.CheckStream("r1", 40) != nil) // the fault has an effect
			sorted := &rawhttp.Result{Parts: ownParts(r.Parts, "r1")}
			is.Equal(sorted.Text(), answer.Text("r1", 40))
		})
	}
}

// The stream ends without a connection error, but its end mark and part of the answer are missing.
func TestStreamEndsWithoutEndMark(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Config{})
	is.NoErr(e.Switch(faults.NoEndMark, true, 0))
	r := streamCall("r1", 10, 40).Do(e.Addr())
	is.NoErr(r.Err)
	is.True(!r.Done)
	is.Equal(r.FinishReason(), "")
	is.NoErr(r.CheckPrefix("r1"))
	is.True(r.Text() != answer.Text("r1", 40))
	is.True(isIdle(e)())
}

// The engine completes the job, but the connection closes before the answer is sent.
func TestLostAnswer(t *testing.T) {
	for _, stream := range []bool{true, false} {
		is := is.New(t)
		e := startEngine(t, engine.Config{})
		is.NoErr(e.Switch(faults.LoseAnswer, true, 0))
		r := rawhttp.Completion("r1", wire.Completion{Model: model, MaxTokens: 10, Stream: stream}).Do(e.Addr())
		is.True(r.Err != nil)
		is.Equal(len(r.Parts)+len(r.Body), 0)
		c := e.Counters()
		is.Equal(c.Runs["r1"], 1)
		is.Equal(c.Completed, 1)
	}
}

// A connection stalls in the middle of a stream: the caller receives neither data nor a close. A probe over a new
// connection succeeds, and a resumed request continues the answer there from the offset reached. The old job keeps running
// until it is canceled.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Config{TimeScale: 1})
	conn, err := net.Dial("tcp", e.Addr())
	is.NoErr(err)
	defer conn.Close()
	c := streamCall("r1", 10, 400).WithHeader(wire.HeaderAttempt, "1")
	c.Timeout = 500 * time.Millisecond
	first := true
	c.OnPart = func(wire.Part) bool {
		if first {
			first = false
			is.NoErr(e.Switch(faults.SilentConnections, true, 0))
		}
		return true
	}
	r := c.DoConn(conn)
	is.True(!r.Done)
	is.NoErr(r.CheckPrefix("r1"))
	is.Equal(get(wire.PathPing).Do(e.Addr()).Status, 204)
	is.Equal(e.Counters().InFlight, 1) // the engine has not noticed the stall

	last := r.Parts[len(r.Parts)-1]
	next := last.Offset + last.Tokens
	resumed := streamCall("r1", 10, next+10).WithHeader(wire.HeaderResumeOffset, jsonInt(next)).WithHeader(wire.HeaderAttempt, "2").Do(e.Addr())
	is.Equal(r.Text()+resumed.Text(), answer.Text("r1", next+10))
	is.Equal(rawhttp.Call{Path: "/v1/cancel/r1"}.Do(e.Addr()).Status, 204)
	is.True(isIdle(e)())
}

// An engine is killed and restarted. Its streams end, it is cold and has a new boot id, and its reservations, cache and
// orders are lost.
func TestKilledEngineLosesItsState(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Config{Memory: 100_000, DecodeInterval: time.Hour})
	running := startCall(t, e, streamCall("r1", 3000, 1000))
	is.Equal(post(wire.PathReservations, wire.Reservation{ID: "a", Tokens: 10}).Do(e.Addr()).Status, 201)
	is.Equal(post(wire.PathOrders, wire.Order{ID: "o", Fence: 9, Kind: engine.OrderRole, Role: engine.RoleLong}).Do(e.Addr()).Status, 202)
	boot := e.BootID()

	is.NoErr(e.Switch(faults.Kill, true, 0))
	r := <-running
	is.True(r.Err != nil || !r.Done)
	is.Equal(get(wire.PathPing).Do(e.Addr()).Status, 0)

	is.NoErr(e.Switch(faults.Kill, false, 0))
	is.True(e.BootID() != boot)
	is.True(isIdle(e)())
	is.True(e.Counters().Cold)
	state := fetch[wire.EngineState](t, e, get(wire.PathState))
	is.Equal(state.HighestFence, uint64(0))
	is.Equal(state.Role, engine.RoleAny)
	is.Equal(state.Loaded, []wire.LoadedModel{{Model: model, Version: "v1"}})
	is.True(fetch[wire.LoadReport](t, e, get(wire.PathLoad)).Cold)
}

// Faults that stop a request before it runs: the status that the caller receives, and whether the answer states that the
// request was not started.
func TestFaultsBeforeExecution(t *testing.T) {
	cases := []struct {
		fault      faults.Fault
		status     int
		notStarted bool // the answer states that the request was not started
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
			e := startEngine(t, engine.Config{})
			is.NoErr(e.Switch(c.fault, true, 0))
			call := streamCall("r1", 10, 5)
			call.Timeout = 200 * time.Millisecond
			r := call.Do(e.Addr())
			is.Equal(r.Status, c.status)
			is.Equal(r.Header[wire.HeaderNotStarted] == "true", c.notStarted)
			is.Equal(len(e.Counters().Runs), 0)
			is.NoErr(e.Switch(c.fault, false, 0))
			is.NoErr(streamCall("r2", 10, 5).Do(e.Addr()).CheckStream("r2", 5))
		})
	}
}

func TestSlowFirstByte(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Config{})
	const delay = 300 * time.Millisecond
	is.NoErr(e.Switch(faults.SlowFirstByte, true, delay))
	r := streamCall("r1", 10, 5).Do(e.Addr())
	is.NoErr(r.CheckStream("r1", 5))
	is.True(r.TimeToFirstPart >= delay)
	is.Equal(r.Status, fasthttp.StatusOK)
}

// A cold engine receives one request above its limit. All requests in flight fail, the engine is out of service for a
// while, and it starts to warm up again.
func TestColdEngineCollapsesAboveItsLimit(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Config{StartCold: true, ColdLimit: 2, WarmAfter: 2, DecodeInterval: time.Hour, CollapseTime: 10 * time.Second})
	one := startCall(t, e, streamCall("r1", 10, 1000))
	two := startCall(t, e, streamCall("r2", 10, 1000))
	is.Equal(e.Counters().MaxInFlightCold, 2)
	is.Equal(e.Counters().Collapses, 0)

	r := streamCall("r3", 10, 1).Do(e.Addr())
	is.Equal(r.Status, 503)
	is.Equal(r.Header[wire.HeaderNotStarted], "") // not stated
	is.Equal((<-one).FinishReason(), "error")
	is.Equal((<-two).FinishReason(), "error")
	is.Equal(streamCall("r4", 10, 1).Do(e.Addr()).Status, 503)
	c := e.Counters()
	is.Equal(c.Collapses, 1)
	is.Equal(c.MaxInFlightCold, 3)

	waitFor(t, "the engine is back in service", func() bool { return streamCall("r5", 10, 1).Do(e.Addr()).Status == 200 })
	is.True(e.Counters().Cold)
	is.NoErr(streamCall("r6", 10, 1).Do(e.Addr()).CheckStream("r6", 1))
	is.True(!e.Counters().Cold) // two successes
	is.True(isIdle(e)())
}

// An engine turns cold but keeps its boot id, so that the id doesn't show it. Jobs in flight continue and don't count
// against the limit, but one new request above the limit makes the engine collapse.
func TestUnannouncedColdStart(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Config{ColdLimit: 1, DecodeInterval: time.Hour})
	old := startCall(t, e, streamCall("old", 10, 1000))
	boot := e.BootID()
	is.NoErr(e.Switch(faults.Cold, true, 0))
	is.Equal(e.BootID(), boot)
	is.True(e.Counters().Cold)
	first := startCall(t, e, streamCall("r1", 10, 1000))
	is.Equal(e.Counters().Collapses, 0)
	is.Equal(streamCall("r2", 10, 1).Do(e.Addr()).Status, 503)
	is.Equal(e.Counters().Collapses, 1)
	is.Equal((<-first).FinishReason(), "error")
	is.Equal((<-old).FinishReason(), "error")
}
