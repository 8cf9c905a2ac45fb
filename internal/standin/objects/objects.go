// Package objects is a stand-in of the platform's object API: versions over the whole store, conditional
// writes, lists and watches. Store is the state alone; Server puts it on HTTP and plays faults.
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
	// MaxValue is the largest value in bytes.
	MaxValueBytes = 1 << 20
	// MaxWatch bounds a watch's timeout.
	MaxWatchTimeout = time.Minute
)

// Counts tells how many calls the server got, refused ones included.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
}

// Server serves a Store over HTTP.
type Server struct {
	store  *Store
	http   *serve.Server
	faults *faults.Set
	mu     sync.Mutex
	stale  *Store

	reads, writes, watches atomic.Uint64
}

// Start serves store on addr.
func Start(addr string, store *Store) (*Server, error) {
	s := &Server{store: store, faults: faults.NewSet(faults.Kill, faults.SilentConnections, faults.CloseConnections, faults.Hang, faults.Slow,
		faults.LoseAnswer, faults.StaleReads, faults.RefuseEverything)}
	r := router.New()
	r.GET(wire.PathObject, s.gate(s.get))
	r.PUT(wire.PathObject, s.gate(s.put))
	r.DELETE(wire.PathObject, s.gate(s.remove))
	r.GET(wire.PathObjects, s.gate(s.list))
	var err error
	s.http, err = serve.Start(addr, r.Handler)
	return s, err
}

// Addr is the server's address.
func (s *Server) Addr() string { return s.http.Addr() }

// Store is the state that is served.
func (s *Server) Store() *Store { return s.store }

// Close stops the server.
func (s *Server) Close() {
	_ = s.faults.Switch(faults.Hang, false, 0)
	s.http.Close()
}

// Counts gives the calls counted so far.
func (s *Server) Counts() Counts {
	return Counts{Reads: s.reads.Load(), Writes: s.writes.Load(), Watches: s.watches.Load()}
}

// Switch turns a fault on or off.
func (s *Server) Switch(f faults.Fault, on bool, delay time.Duration) error {
	if err := s.faults.Switch(f, on, delay); err != nil {
		return err
	}
	if f == faults.StaleReads {
		s.setStale(on)
	}
	return s.http.Switch(f, on)
}

func (s *Server) setStale(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale != nil {
		s.stale.wake() // watches of the stale state go on with the true one
		s.stale = nil
	}
	if on {
		s.stale = s.store.Clone()
	}
}

// readable is the store that reads see.
func (s *Server) readable() *Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale != nil {
		return s.stale
	}
	return s.store
}

func (s *Server) gate(next fasthttp.RequestHandler) fasthttp.RequestHandler {
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

func (s *Server) get(ctx *fasthttp.RequestCtx) {
	s.reads.Add(1)
	o, found := s.readable().Get(param(ctx, "kind"), param(ctx, "name"))
	if !found {
		serve.JSON(ctx, fasthttp.StatusNotFound, wire.Conflict{WriteID: o.WriteID})
		return
	}
	serve.JSON(ctx, fasthttp.StatusOK, o)
}

func (s *Server) put(ctx *fasthttp.RequestCtx) {
	s.writes.Add(1)
	ifVersion, err := condition(ctx)
	body := ctx.PostBody()
	switch {
	case err != nil:
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	case len(body) > MaxValueBytes:
		ctx.Error("value too large", fasthttp.StatusRequestEntityTooLarge)
	case !json.Valid(body):
		ctx.Error("value is not JSON", fasthttp.StatusBadRequest)
	default:
		written, conflict := s.store.Put(param(ctx, "kind"), param(ctx, "name"), ifVersion, writeID(ctx), body)
		s.answerWrite(ctx, written, conflict)
	}
}

func (s *Server) remove(ctx *fasthttp.RequestCtx) {
	s.writes.Add(1)
	ifVersion, err := condition(ctx)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	written, conflict := s.store.Delete(param(ctx, "kind"), param(ctx, "name"), ifVersion, writeID(ctx))
	s.answerWrite(ctx, written, conflict)
}

func (s *Server) answerWrite(ctx *fasthttp.RequestCtx, written wire.WriteResult, conflict *wire.Conflict) {
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

func (s *Server) list(ctx *fasthttp.RequestCtx) {
	if !ctx.QueryArgs().Has("watch") {
		s.reads.Add(1)
		serve.JSON(ctx, fasthttp.StatusOK, s.readable().List(param(ctx, "kind")))
		return
	}
	s.watches.Add(1)
	from, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("watch")), 10, 64)
	if err != nil {
		ctx.Error("watch: not a version", fasthttp.StatusBadRequest)
		return
	}
	timeout := time.Duration(ctx.QueryArgs().GetUintOrZero("timeout_ms")) * time.Millisecond
	serve.JSON(ctx, fasthttp.StatusOK, s.watch(param(ctx, "kind"), from, min(timeout, MaxWatchTimeout), serve.ConnDone(ctx)))
}

func (s *Server) watch(kind string, from uint64, timeout time.Duration, gone <-chan struct{}) wire.List {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		list, changed := s.readable().ChangesSince(kind, from)
		if list.TooOld || len(list.Objects)+len(list.Deleted) > 0 {
			return list
		}
		select {
		case <-changed:
		case <-timer.C:
			return list
		case <-gone:
			return list
		}
	}
}

func condition(ctx *fasthttp.RequestCtx) (*uint64, error) {
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

// param is a path parameter; the router leaves escapes in place where the path has an escaped slash.
func param(ctx *fasthttp.RequestCtx, name string) string {
	raw := serve.PathParam(ctx, name)
	if plain, err := url.PathUnescape(raw); err == nil {
		return plain
	}
	return raw
}
