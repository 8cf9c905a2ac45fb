// Package instances implements a stand-in of the platform's instance list, which shows live and leaving instances. A
// change becomes visible to readers after a lag.
package instances

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/standin/serve"
)

// snapshot is the list between one change and the next. Its rows are immutable.
type snapshot struct {
	validFrom time.Time
	list      wire.InstanceList
}

// Server serves the instance list over HTTP.
type Server struct {
	http   *serve.Server
	faults *faults.Set
	reads  atomic.Uint64

	mu         sync.Mutex
	lag        time.Duration
	snapshots  []snapshot         // oldest first; the last one is the current list without lag
	frozenList *wire.InstanceList // served instead of the snapshots while the lag fault is on; nil otherwise
}

// Start serves an empty list on addr. Readers see a change once it is lag old.
func Start(addr string, lag time.Duration) (*Server, error) {
	s := &Server{
		lag:       lag,
		snapshots: []snapshot{{list: wire.InstanceList{Instances: []wire.Instance{}}}},
		faults:    faults.NewSet(faults.Kill, faults.SilentConnections, faults.CloseConnections, faults.Hang, faults.Slow, faults.StaleInstanceList, faults.RefuseEverything),
	}
	r := router.New()
	r.GET(wire.PathInstances, s.get)
	var err error
	s.http, err = serve.Start(addr, r.Handler)
	return s, err
}

// Addr returns the server's address.
func (s *Server) Addr() string { return s.http.Addr() }

// Close stops the server.
func (s *Server) Close() {
	_ = s.faults.Switch(faults.Hang, false, 0)
	s.http.Close()
}

// ReadCount returns the number of requests received, refused ones included.
func (s *Server) ReadCount() uint64 { return s.reads.Load() }

// SetLag sets the time after which readers see a change.
func (s *Server) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// Switch turns a fault on or off.
func (s *Server) Switch(f faults.Fault, on bool, delay time.Duration) error {
	if err := s.faults.Switch(f, on, delay); err != nil {
		return err
	}
	if f == faults.StaleInstanceList {
		s.setFrozen(on)
	}
	return s.http.Switch(f, on)
}

// setFrozen makes readers see the list that is visible now until it is called with false.
func (s *Server) setFrozen(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozenList = nil
	if on {
		list := s.visibleList(time.Now())
		s.frozenList = &list
	}
}

// Register adds an instance, or replaces its row. A row without a state becomes live.
func (s *Server) Register(i wire.Instance) {
	if i.State == "" {
		i.State = wire.StateLive
	}
	s.update(func(rows []wire.Instance) []wire.Instance {
		return append(withoutID(rows, i.ID), i)
	})
}

// SetLeaving marks an instance as leaving.
func (s *Server) SetLeaving(id string) {
	s.update(func(rows []wire.Instance) []wire.Instance {
		for n := range rows {
			if rows[n].ID == id {
				rows[n].State = wire.StateLeaving
			}
		}
		return rows
	})
}

// Remove removes an instance's row.
func (s *Server) Remove(id string) {
	s.update(func(rows []wire.Instance) []wire.Instance { return withoutID(rows, id) })
}

// List returns the current list, without lag.
func (s *Server) List() wire.InstanceList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshots[len(s.snapshots)-1].list
}

// withoutID returns rows without the row of an id. It modifies rows.
func withoutID(rows []wire.Instance, id string) []wire.Instance {
	return slices.DeleteFunc(rows, func(i wire.Instance) bool { return i.ID == id })
}

// update adds a snapshot with the rows that edit returns, sorted by id, and increments the list's version.
func (s *Server) update(edit func([]wire.Instance) []wire.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	latest := s.snapshots[len(s.snapshots)-1].list
	rows := edit(slices.Clone(latest.Instances))
	slices.SortFunc(rows, func(a, b wire.Instance) int { return strings.Compare(a.ID, b.ID) })
	s.snapshots = append(s.snapshots, snapshot{now, wire.InstanceList{Version: latest.Version + 1, Instances: rows}})
	s.dropOutdated(now)
}

// dropOutdated removes the snapshots that readers no longer see, because a later one is at least lag old. It is called
// with mu held.
func (s *Server) dropOutdated(now time.Time) {
	for len(s.snapshots) > 1 && now.Sub(s.snapshots[1].validFrom) >= s.lag {
		s.snapshots = s.snapshots[1:]
	}
}

// visibleList returns the list that readers see: the latest snapshot that is at least lag old, or the oldest one. It is
// called with mu held.
func (s *Server) visibleList(now time.Time) wire.InstanceList {
	s.dropOutdated(now)
	return s.snapshots[0].list
}

// get handles a read of the list. It answers 304 if the reader has this version already.
func (s *Server) get(ctx *fasthttp.RequestCtx) {
	s.reads.Add(1)
	if s.faults.WaitUntilOff(faults.Hang, serve.ConnDone(ctx)) {
		serve.CloseConn(ctx)
		return
	}
	if s.faults.On(faults.RefuseEverything) {
		ctx.Error("out of service", fasthttp.StatusServiceUnavailable)
		return
	}
	s.faults.WaitDelay(faults.Slow, serve.ConnDone(ctx))
	list := s.currentList()
	etag := wire.InstancesETag(list.Version)
	ctx.Response.Header.Set(fasthttp.HeaderETag, etag)
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == etag {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	serve.JSON(ctx, fasthttp.StatusOK, list)
}

// currentList returns the list for a reader: the frozen one, if any, or the visible one.
func (s *Server) currentList() wire.InstanceList {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozenList != nil {
		return *s.frozenList
	}
	return s.visibleList(time.Now())
}
