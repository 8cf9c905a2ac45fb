package engine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/standin/engine"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/standin/rawhttp"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// reserve returns the call that reserves memory for a request with 60 s until its deadline.
func reserve(id string, tokens, ttlMs int64) rawhttp.Call {
	return post(wire.PathReservations, wire.Reservation{
		ID: id, Holder: "entry-1", Incarnation: "i1", Tokens: tokens, TTLMs: ttlMs, DeadlineMs: 60_000,
	})
}

func release(id string) rawhttp.Call {
	return rawhttp.Call{Method: "DELETE", Path: wire.PathReservations + "/" + id}
}

func TestReservations(t *testing.T) {
	e := startEngine(t, engine.Config{Memory: 1000})
	cases := []struct {
		name   string
		call   rawhttp.Call
		status int
		held   int64
	}{
		{"first", reserve("a", 600, 60_000), 201, 600},
		{"the same again", reserve("a", 600, 60_000), 200, 600},
		{"same id, other size", reserve("a", 500, 60_000), 409, 600},
		{"no memory", reserve("b", 401, 60_000), 503, 600},
		{"fits", reserve("b", 400, 60_000), 201, 1000},
		{"no id", reserve("", 1, 1), 400, 1000},
		{"no tokens", reserve("c", 0, 1), 400, 1000},
		{"release", release("a"), 204, 400},
		{"release again", release("a"), 204, 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.call.Do(e.Addr()).Status, c.status)
			is.Equal(e.Counters().ReservedTokens, c.held)
		})
	}
	is := is.New(t)
	list := fetch[wire.Reservations](t, e, get(wire.PathReservations))
	is.Equal(len(list.Reservations), 1)
	b := list.Reservations[0]
	is.Equal(b.ID, "b")
	is.Equal(b.Holder, "entry-1")
	is.True(b.TTLMs > 0 && b.TTLMs <= 60_000)
}

// An instance reserves memory and crashes. The engine must release the memory when its time to live has passed. An engine
// without expiry keeps it until a call releases it.
func TestAbandonedReservation(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Config{})
	is.Equal(reserve("a", 100, 50).Do(e.Addr()).Status, 201)
	waitFor(t, "the reservation expires", isIdle(e))

	forever := startEngine(t, engine.Config{NoExpiry: true})
	is.Equal(post(wire.PathReservations, wire.Reservation{ID: "a", Tokens: 100, TTLMs: 1, DeadlineMs: 1}).Do(forever.Addr()).Status, 201)
	waitFor(t, "its deadline passes", func() bool { return forever.Counters().OverdueTokens == 100 })
	is.Equal(fetch[wire.Reservations](t, forever, get(wire.PathReservations)).Reservations[0].TTLMs, int64(0))
	is.Equal(release("a").Do(forever.Addr()).Status, 204)
	is.True(isIdle(forever)())
}

func TestJobUsesItsReservationAndEndsWithIt(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Config{DecodeInterval: time.Hour})
	is.Equal(reserve("a", 1010, 60_000).Do(e.Addr()).Status, 201)
	running := startCall(t, e, streamCall("r1", 10, 1000).WithHeader(wire.HeaderReservation, "a"))
	is.Equal(e.Counters().HeldTokens, int64(1010)) // the reserved memory counts once
	is.Equal(release("a").Do(e.Addr()).Status, 204)
	is.Equal((<-running).FinishReason(), "error")
	is.True(isIdle(e)())
}

// A prompt that needs more than twice an engine's memory runs on a group of engines that have reserved memory for it. It
// is refused as not started if the call names no group, or if one of the group's reservations is missing.
func TestPromptLargerThanOneEngine(t *testing.T) {
	is := is.New(t)
	const memory = 10_000
	first, second, third := startEngine(t, engine.Config{Memory: memory}), startEngine(t, engine.Config{Memory: memory}), startEngine(t, engine.Config{Memory: memory})
	is.Equal(reserve("a", 9000, 60_000).Do(first.Addr()).Status, 201)
	is.Equal(reserve("b", 9000, 60_000).Do(second.Addr()).Status, 201)
	is.Equal(reserve("c", 9000, 60_000).Do(third.Addr()).Status, 201)
	call := streamCall("r1", 25_000, 20).WithHeader(wire.HeaderReservation, "a")
	alone := call.Do(first.Addr())
	is.Equal(alone.Status, 413)
	is.Equal(alone.Header[wire.HeaderNotStarted], "true")
	group := call.WithHeader(wire.HeaderGroup, "b@"+second.Addr()+",c@"+third.Addr())
	is.NoErr(group.Do(first.Addr()).CheckStream("r1", 20))

	is.Equal(release("c").Do(third.Addr()).Status, 204)
	lost := group.Do(first.Addr())
	is.Equal(lost.Status, 503)
	is.Equal(lost.Header[wire.HeaderNotStarted], "true")
	is.Equal(first.Counters().Runs["r1"], 1)
}

// order returns the call that sends an order for the model "lake".
func order(id string, fence uint64, kind, version, adapter string) rawhttp.Call {
	return post(wire.PathOrders, wire.Order{ID: id, Fence: fence, Kind: kind, Model: "lake", Version: version, Adapter: adapter})
}

func TestOrders(t *testing.T) {
	e := startEngine(t, engine.Config{Models: []wire.LoadedModel{}, Fencing: true, LoadTime: time.Second})
	cases := []struct {
		name   string
		call   rawhttp.Call
		status int
		last   string // id of the last order that was carried out
		loaded []wire.LoadedModel
	}{
		{"load", order("o1", 1, engine.OrderLoad, "v1", ""), 202, "o1", []wire.LoadedModel{{Model: "lake", Version: "v1"}}},
		{"adapter", order("o2", 1, engine.OrderLoad, "v1", "ice"), 202, "o2", []wire.LoadedModel{{Model: "lake", Version: "v1", Adapters: []string{"ice"}}}},
		{"repeated", order("o1", 1, engine.OrderLoad, "v1", ""), 202, "o2", []wire.LoadedModel{{Model: "lake", Version: "v1", Adapters: []string{"ice"}}}},
		{"other version", order("o3", 5, engine.OrderLoad, "v2", ""), 202, "o3", []wire.LoadedModel{{Model: "lake", Version: "v2"}}},
		{"old fencing number", order("o4", 4, engine.OrderUnload, "v2", ""), 409, "o3", []wire.LoadedModel{{Model: "lake", Version: "v2"}}},
		{"unload another version", order("o5", 5, engine.OrderUnload, "v1", ""), 202, "o5", []wire.LoadedModel{{Model: "lake", Version: "v2"}}},
		{"unload", order("o6", 5, engine.OrderUnload, "v2", ""), 202, "o6", []wire.LoadedModel{}},
		{"no id", order("", 5, engine.OrderUnload, "v2", ""), 400, "o6", []wire.LoadedModel{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.call.Do(e.Addr()).Status, c.status)
			var state wire.EngineState
			waitFor(t, "the order is carried out", func() bool {
				state = fetch[wire.EngineState](t, e, get(wire.PathState))
				return state.LastOrder == c.last
			})
			is.Equal(state.Loaded, c.loaded)
		})
	}
	is := is.New(t)
	counters := e.Counters()
	is.Equal(counters.RepeatedOrders, 1)
	is.Equal(counters.StaleRefused, 1)
	is.Equal(counters.OrdersRun, 5)
	is.Equal(fetch[wire.EngineState](t, e, get(wire.PathState)).HighestFence, uint64(5))
}

// An order of a former lease holder is delayed, and the order of the new holder overtakes it. An engine that ignores
// fencing numbers carries out the old order last and then serves the old version.
func TestDelayedOrderOverwritesNewerOrder(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Config{Models: []wire.LoadedModel{}, LoadTime: time.Millisecond})
	is.NoErr(e.Switch(faults.DelayOrders, true, 500*time.Millisecond))
	is.Equal(order("old", 1, engine.OrderLoad, "v1", "").Do(e.Addr()).Status, 202)
	is.NoErr(e.Switch(faults.DelayOrders, false, 0))
	is.Equal(order("new", 2, engine.OrderLoad, "v2", "").Do(e.Addr()).Status, 202)
	version := func() string {
		loaded := fetch[wire.EngineState](t, e, get(wire.PathState)).Loaded
		if len(loaded) == 0 {
			return ""
		}
		return loaded[0].Version
	}
	waitFor(t, "the new order is carried out", func() bool { return version() == "v2" })
	waitFor(t, "the old order is carried out", func() bool { return version() == "v1" })
	is.Equal(e.Counters().StaleRun, 1)
}

func TestKVExportAndImport(t *testing.T) {
	is := is.New(t)
	from, to := startEngine(t, engine.Config{}), startEngine(t, engine.Config{})
	text := prompt(3 * wire.BlockTokens)
	blocks := wire.BlockHashes([]byte(text))
	export := post(wire.PathKVExport, wire.KVExport{ID: "x", Holder: "entry-1", Blocks: blocks, TTLMs: 60_000})
	is.Equal(export.Do(from.Addr()).Status, 404) // nothing cached yet
	is.NoErr(streamCall("r1", 3*wire.BlockTokens, 1).Do(from.Addr()).CheckStream("r1", 1))
	is.Equal(fetch[wire.KVExportResult](t, from, export), wire.KVExportResult{ID: "x", Blocks: 3, Tokens: 3 * wire.BlockTokens})
	is.Equal(from.Counters().ReservedTokens, int64(3*wire.BlockTokens)) // the copy uses memory

	load := post(wire.PathKVImport, wire.KVImport{ID: "x", Addr: from.Addr(), Blocks: blocks})
	is.Equal(fetch[wire.KVExportResult](t, to, load).Blocks, 3)
	is.NoErr(streamCall("r2", 3*wire.BlockTokens, 1).Do(to.Addr()).CheckStream("r2", 1))
	is.Equal(to.Counters().CachedTokens, int64(3*wire.BlockTokens))

	is.Equal(release("x").Do(from.Addr()).Status, 204)
	is.Equal(load.Do(to.Addr()).Status, 404)
	is.True(isIdle(from)())
}
