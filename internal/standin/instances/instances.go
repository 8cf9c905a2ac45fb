// Package instances is a stand-in of the platform's instance list, which shows live and leaving instances
// with a lag.
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

// state is the list as it was from one moment on. Its rows are not changed once they are in a state.
type state struct {
	since time.Time
	list  wire.InstanceList
}

// Server serves the list over HTTP.
type Server struct {
	http   *serve.Server
	faults *faults.Set
	reads  atomic.Uint64

	mu     sync.Mutex
	lag    time.Duration
	states []state // oldest first; the last one is the truth
	frozen *wire.InstanceList
}

// Start serves an empty list on addr; readers see changes after lag.
func Start(addr string, lag time.Duration) (*Server, error) {
	s := &Server{
		lag:    lag,
		states: []state{{list: wire.InstanceList{Instances: []wire.Instance{}}}},
		faults: faults.NewSet(faults.Kill, faults.SilentConnections, faults.CloseConnections, faults.Hang, faults.Slow, faults.StaleInstanceList, faults.RefuseEverything),
	}
	r := router.New()
	r.GET(wire.PathInstances, s.get)
	var err error
	s.http, err = serve.Start(addr, r.Handler)
	return s, err
}

// Addr is the server's address.
func (s *Server) Addr() string { return s.http.Addr() }

// Close stops the server.
func (s *Server) Close() {
	_ = s.faults.Switch(faults.Hang, false, 0)
	s.http.Close()
}

// Reads is the number of calls so far.
func (s *Server) ReadCount() uint64 { return s.reads.Load() }

// SetLag changes the time after which readers see a change.
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
		s.freeze(on)
	}
	return s.http.Switch(f, on)
}

func (s *Server) freeze(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = nil
	if on {
		visible := s.visible(time.Now())
		s.frozen = &visible
	}
}

// Register lists an instance, or replaces its row. A row without a state is live.
func (s *Server) Register(i wire.Instance) {
	if i.State == "" {
		i.State = wire.StateLive
	}
	s.change(func(rows []wire.Instance) []wire.Instance {
		return append(without(rows, i.ID), i)
	})
}

// SetLeaving marks an instance as leaving.
func (s *Server) SetLeaving(id string) {
	s.change(func(rows []wire.Instance) []wire.Instance {
		for n := range rows {
			if rows[n].ID == id {
				rows[n].State = wire.StateLeaving
			}
		}
		return rows
	})
}

// Remove takes an instance off the list.
func (s *Server) Remove(id string) {
	s.change(func(rows []wire.Instance) []wire.Instance { return without(rows, id) })
}

// List is the truth, without lag.
func (s *Server) List() wire.InstanceList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.states[len(s.states)-1].list
}

func without(rows []wire.Instance, id string) []wire.Instance {
	return slices.DeleteFunc(rows, func(i wire.Instance) bool { return i.ID == id })
}

func (s *Server) change(edit func([]wire.Instance) []wire.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	last := s.states[len(s.states)-1].list
	rows := edit(slices.Clone(last.Instances))
	slices.SortFunc(rows, func(a, b wire.Instance) int { return strings.Compare(a.ID, b.ID) })
	s.states = append(s.states, state{now, wire.InstanceList{Version: last.Version + 1, Instances: rows}})
	s.forget(now)
}

// forget drops states that every reader has left behind.
func (s *Server) forget(now time.Time) {
	for len(s.states) > 1 && now.Sub(s.states[1].since) >= s.lag {
		s.states = s.states[1:]
	}
}

// visible is the list that readers see: the latest state at least lag old.
func (s *Server) visible(now time.Time) wire.InstanceList {
	s.forget(now)
	return s.states[0].list
}

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
	list := s.answer()
	tag := wire.InstancesETag(list.Version)
	ctx.Response.Header.Set(fasthttp.HeaderETag, tag)
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == tag {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	serve.JSON(ctx, fasthttp.StatusOK, list)
}

func (s *Server) answer() wire.InstanceList {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen != nil {
		return *s.frozen
	}
	return s.visible(time.Now())
}
