// Package objects implements a stand-in of the platform's object API: versions that count the changes of the whole store,
// conditional writes, lists and watches. Store holds the state; Server serves it over HTTP and injects faults.
package objects

import (
	"encoding/json"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/standin/serve"
)

const (
	// MaxValueBytes is the size limit of a value.
	MaxValueBytes = 1 << 20
	// MaxWatchTimeout is the longest time that a watch waits for a change.
	MaxWatchTimeout = time.Minute
)

// Counts holds the number of requests by kind. Requests that the server rejects count as well, but not those that the
// faults Hang and RefuseEverything stop.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
}

// Server serves a Store over HTTP.
type Server struct {
	store      *Store
	http       *serve.Server
	faults     *faults.Set
	mu         sync.Mutex
	staleStore *Store // guarded by mu; serves the reads while StaleReads is on, nil otherwise

	reads, writes, watches atomic.Uint64
}

// Start serves store on addr.
func Start(addr string, store *Store) (*Server, error) {
	s := &Server{store: store, faults: faults.NewSet(faults.Kill, faults.SilentConnections, faults.CloseConnections, faults.Hang, faults.Slow,
		faults.LoseAnswer, faults.StaleReads, faults.RefuseEverything)}
	r := router.New()
	r.GET(wire.PathObject, s.withFaults(s.get))
	r.PUT(wire.PathObject, s.withFaults(s.put))
	r.DELETE(wire.PathObject, s.withFaults(s.remove))
	r.GET(wire.PathObjects, s.withFaults(s.list))
	var err error
	s.http, err = serve.Start(addr, r.Handler)
	return s, err
}

// Addr returns the server's address.
func (s *Server) Addr() string { return s.http.Addr() }

// Store returns the store that the server serves.
func (s *Server) Store() *Store { return s.store }

// Close stops the server.
func (s *Server) Close() {
	_ = s.faults.Switch(faults.Hang, false, 0)
	s.http.Close()
}

// Counts returns the current counts.
func (s *Server) Counts() Counts {
	return Counts{Reads: s.reads.Load(), Writes: s.writes.Load(), Watches: s.watches.Load()}
}

// Switch turns a fault on or off.
func (s *Server) Switch(f faults.Fault, on bool, delay time.Duration) error {
	if err := s.faults.Switch(f, on, delay); err != nil {
		return err
	}
	if f == faults.StaleReads {
		s.setStaleReads(on)
	}
	return s.http.Switch(f, on)
}

// setStaleReads starts or ends reads from a copy of the store's present state.
func (s *Server) setStaleReads(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.staleStore != nil {
		s.staleStore.wakeWatches() // lets its watches continue on the current store
		s.staleStore = nil
	}
	if on {
		s.staleStore = s.store.Clone()
	}
}

// readStore returns the store that serves reads: the stale copy, if any, or the current store.
func (s *Server) readStore() *Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.staleStore != nil {
		return s.staleStore
	}
	return s.store
}

// withFaults returns a handler that injects the faults Hang, RefuseEverything and Slow ahead of next.
func (s *Server) withFaults(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if s.faults.WaitUntilOff(faults.Hang, serve.ConnDone(ctx)) {
			serve.CloseConn(ctx)
			return
		}
		if s.faults.On(faults.RefuseEverything) {
			ctx.Error("out of service", fasthttp.StatusServiceUnavailable)
			return
		}
		s.faults.WaitDelay(faults.Slow, serve.ConnDone(ctx))
		next(ctx)
	}
}

// get handles a read of one object.
func (s *Server) get(ctx *fasthttp.RequestCtx) {
	s.reads.Add(1)
	o, found := s.readStore().Get(pathParam(ctx, "kind"), pathParam(ctx, "name"))
	if !found {
		serve.JSON(ctx, fasthttp.StatusNotFound, wire.Conflict{WriteID: o.WriteID})
		return
	}
	serve.JSON(ctx, fasthttp.StatusOK, o)
}

// put handles a write of one object.
func (s *Server) put(ctx *fasthttp.RequestCtx) {
	s.writes.Add(1)
	ifVersion, err := parseIfVersion(ctx)
	body := ctx.PostBody()
	switch {
	case err != nil:
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	case len(body) > MaxValueBytes:
		ctx.Error("value too large", fasthttp.StatusRequestEntityTooLarge)
	case !json.Valid(body):
		ctx.Error("value is not JSON", fasthttp.StatusBadRequest)
	default:
		written, conflict := s.store.Put(pathParam(ctx, "kind"), pathParam(ctx, "name"), ifVersion, writeID(ctx), body)
		s.respondToWrite(ctx, written, conflict)
	}
}

// remove handles the deletion of one object.
func (s *Server) remove(ctx *fasthttp.RequestCtx) {
	s.writes.Add(1)
	ifVersion, err := parseIfVersion(ctx)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	written, conflict := s.store.Delete(pathParam(ctx, "kind"), pathParam(ctx, "name"), ifVersion, writeID(ctx))
	s.respondToWrite(ctx, written, conflict)
}

// respondToWrite answers a write with its result or conflict. Under the fault LoseAnswer it closes the connection
// instead, whether or not the write took effect.
func (s *Server) respondToWrite(ctx *fasthttp.RequestCtx, written wire.WriteResult, conflict *wire.Conflict) {
	if s.faults.On(faults.LoseAnswer) {
		serve.CloseConn(ctx)
		return
	}
	if conflict != nil {
		serve.JSON(ctx, fasthttp.StatusConflict, conflict)
		return
	}
	serve.JSON(ctx, fasthttp.StatusOK, written)
}

// list handles a list of the objects of a kind, or a watch if the query names a version.
func (s *Server) list(ctx *fasthttp.RequestCtx) {
	if !ctx.QueryArgs().Has("watch") {
		s.reads.Add(1)
		serve.JSON(ctx, fasthttp.StatusOK, s.readStore().List(pathParam(ctx, "kind")))
		return
	}
	s.watches.Add(1)
	from, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("watch")), 10, 64)
	if err != nil {
		ctx.Error("watch: not a version", fasthttp.StatusBadRequest)
		return
	}
	timeout := time.Duration(ctx.QueryArgs().GetUintOrZero("timeout_ms")) * time.Millisecond
	serve.JSON(ctx, fasthttp.StatusOK, s.watch(pathParam(ctx, "kind"), from, min(timeout, MaxWatchTimeout), serve.ConnDone(ctx)))
}

// watch returns the changes of a kind after version from, or a list marked as too old. Without a change it waits until the
// timeout has passed or done is closed, and then returns a list without changes.
func (s *Server) watch(kind string, from uint64, timeout time.Duration, done <-chan struct{}) wire.List {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		list, changed := s.readStore().ChangesSince(kind, from)
		if list.TooOld || len(list.Objects)+len(list.Deleted) > 0 {
			return list
		}
		select {
		case <-changed:
		case <-timer.C:
			return list
		case <-done:
			return list
		}
	}
}

// parseIfVersion returns the version that a write is conditional on, or nil if it is unconditional.
func parseIfVersion(ctx *fasthttp.RequestCtx) (*uint64, error) {
	header := ctx.Request.Header.Peek(wire.HeaderIfVersion)
	if len(header) == 0 {
		return nil, nil
	}
	v, err := strconv.ParseUint(string(header), 10, 64)
	return &v, err
}

func writeID(ctx *fasthttp.RequestCtx) string {
	return string(ctx.Request.Header.Peek(wire.HeaderWriteID))
}

// pathParam returns a path parameter, unescaped. The router leaves escapes in place if the path has an escaped slash.
func pathParam(ctx *fasthttp.RequestCtx, name string) string {
	raw := serve.PathParam(ctx, name)
	if plain, err := url.PathUnescape(raw); err == nil {
		return plain
	}
	return raw
}
