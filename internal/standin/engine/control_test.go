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

func reserve(id string, tokens, ttlMs int64) rawhttp.Call {
	return post(wire.PathReservations, wire.Reservation{
		ID: id, Holder: "entry-1", Incarnation: "i1", Tokens: tokens, TTLMs: ttlMs, DeadlineMs: 60_000,
	})
}

func release(id string) rawhttp.Call {
	return rawhttp.Call{Method: "DELETE", Path: wire.PathReservations + "/" + id}
}

func TestReservations(t *testing.T) {
	e := start(t, engine.Config{KVCacheTokens: 1000})
	cases := []struct {
		name   string
		call   rawhttp.Call
		status int
		held   int64
	}{
		{"first", reserve("a", 600, 60_000), 201, 600},
		{"the same again", reserve("a", 600, 60_000), 200, 600},
		{"same id, other contents", reserve("a", 500, 60_000), 409, 600},
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
	list := ask[wire.Reservations](t, e, get(wire.PathReservations))
	is.Equal(len(list.Reservations), 1)
	b := list.Reservations[0]
	is.Equal(b.ID, "b")
	is.Equal(b.Holder, "entry-1")
	is.True(b.TTLMs > 0 && b.TTLMs <= 60_000)
}

// An instance reserved memory and died: the engine gives it back by itself, or, where it has no expiry,
// keeps it until somebody releases it.
func TestForgottenReservation(t *testing.T) {
	is := is.New(t)
	e := start(t, engine.Config{})
	is.Equal(reserve("a", 100, 50).Do(e.Addr()).Status, 201)
	eventually(t, "the reservation expires", nothingHeld(e))

	forever := start(t, engine.Config{NoExpiry: true})
	is.Equal(post(wire.PathReservations, wire.Reservation{ID: "a", Tokens: 100, TTLMs: 1, DeadlineMs: 1}).Do(forever.Addr()).Status, 201)
	eventually(t, "its deadline passes", func() bool { return forever.Counters().OverdueTokens == 100 })
	is.Equal(ask[wire.Reservations](t, forever, get(wire.PathReservations)).Reservations[0].TTLMs, int64(0))
	is.Equal(release("a").Do(forever.Addr()).Status, 204)
	is.True(nothingHeld(forever)())
}

func TestWorkUsesItsReservationAndEndsWithIt(t *testing.T) {
	is := is.New(t)
	e := start(t, engine.Config{DecodeInterval: time.Hour})
	is.Equal(reserve("a", 1010, 60_000).Do(e.Addr()).Status, 201)
	running := begin(t, e, streamed("r1", 10, 1000).With(wire.HeaderReservation, "a"))
	is.Equal(e.Counters().HeldTokens, int64(1010)) // not twice
	is.Equal(release("a").Do(e.Addr()).Status, 204)
	is.Equal((<-running).Finish(), "error")
	is.True(nothingHeld(e)())
}

// A prompt that is more than twice an engine's memory runs on a group that has reserved memory for it, and
// is refused as not started without that.
func TestPromptLargerThanOneEngine(t *testing.T) {
	is := is.New(t)
	const memory = 10_000
	lead, second, third := start(t, engine.Config{KVCacheTokens: memory}), start(t, engine.Config{KVCacheTokens: memory}), start(t, engine.Config{KVCacheTokens: memory})
	is.Equal(reserve("a", 9000, 60_000).Do(lead.Addr()).Status, 201)
	is.Equal(reserve("b", 9000, 60_000).Do(second.Addr()).Status, 201)
	is.Equal(reserve("c", 9000, 60_000).Do(third.Addr()).Status, 201)
	call := streamed("r1", 25_000, 20).With(wire.HeaderReservation, "a")
	alone := call.Do(lead.Addr())
	is.Equal(alone.Status, 413)
	is.Equal(alone.Header[wire.HeaderNotStarted], "true")
	group := call.With(wire.HeaderGroup, "b@"+second.Addr()+",c@"+third.Addr())
	is.NoErr(group.Do(lead.Addr()).CheckStream("r1", 20))

	is.Equal(release("c").Do(third.Addr()).Status, 204)
	lost := group.Do(lead.Addr())
	is.Equal(lost.Status, 503)
	is.Equal(lost.Header[wire.HeaderNotStarted], "true")
	is.Equal(lead.Counters().Runs["r1"], 1)
}

func order(id string, fence uint64, kind, version, adapter string) rawhttp.Call {
	return post(wire.PathOrders, wire.Order{ID: id, Fence: fence, Kind: kind, Model: "lake", Version: version, Adapter: adapter})
}

func TestOrders(t *testing.T) {
	e := start(t, engine.Config{Models: []wire.LoadedModel{}, Fencing: true, LoadTime: time.Second})
	cases := []struct {
		name   string
		call   rawhttp.Call
		status int
		last   string // order carried out last
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
			eventually(t, "the order is carried out", func() bool {
				state = ask[wire.EngineState](t, e, get(wire.PathState))
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
	is.Equal(ask[wire.EngineState](t, e, get(wire.PathState)).HighestFence, uint64(5))
}

// The holder of an old lease was paused with an order on its way; the new holder's order overtakes it. An
// engine that ignores fencing numbers carries out the old order last, and serves the old version.
func TestDelayedOrderOverwritesANewerOne(t *testing.T) {
	is := is.New(t)
	e := start(t, engine.Config{Models: []wire.LoadedModel{}, LoadTime: time.Millisecond})
	is.NoErr(e.Switch(faults.DelayOrders, true, 500*time.Millisecond))
	is.Equal(order("old", 1, engine.OrderLoad, "v1", "").Do(e.Addr()).Status, 202)
	is.NoErr(e.Switch(faults.DelayOrders, false, 0))
	is.Equal(order("new", 2, engine.OrderLoad, "v2", "").Do(e.Addr()).Status, 202)
	version := func() string {
		loaded := ask[wire.EngineState](t, e, get(wire.PathState)).Loaded
		if len(loaded) == 0 {
			return ""
		}
		return loaded[0].Version
	}
	eventually(t, "the new order is carried out", func() bool { return version() == "v2" })
	eventually(t, "the old order is carried out", func() bool { return version() == "v1" })
	is.Equal(e.Counters().StaleRun, 1)
}

func TestKVExportAndImport(t *testing.T) {
	is := is.New(t)
	from, to := start(t, engine.Config{}), start(t, engine.Config{})
	text := prompt(3 * wire.BlockTokens)
	blocks := wire.BlockHashes([]byte(text))
	export := post(wire.PathKVExport, wire.KVExport{ID: "x", Holder: "entry-1", Blocks: blocks, TTLMs: 60_000})
	is.Equal(export.Do(from.Addr()).Status, 404) // nothing cached yet
	is.NoErr(streamed("r1", 3*wire.BlockTokens, 1).Do(from.Addr()).CheckStream("r1", 1))
	is.Equal(ask[wire.KVExportResult](t, from, export), wire.KVExportResult{ID: "x", Blocks: 3, Tokens: 3 * wire.BlockTokens})
	is.Equal(from.Counters().ReservedTokens, int64(3*wire.BlockTokens)) // a copy is memory too

	load := post(wire.PathKVImport, wire.KVImport{ID: "x", Addr: from.Addr(), Blocks: blocks})
	is.Equal(ask[wire.KVExportResult](t, to, load).Blocks, 3)
	is.NoErr(streamed("r2", 3*wire.BlockTokens, 1).Do(to.Addr()).CheckStream("r2", 1))
	is.Equal(to.Counters().CachedTokens, int64(3*wire.BlockTokens))

	is.Equal(release("x").Do(from.Addr()).Status, 204)
	is.Equal(load.Do(to.Addr()).Status, 404)
	is.True(nothingHeld(from)())
}
