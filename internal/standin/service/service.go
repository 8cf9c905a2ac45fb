// Package service is a stand-in of a plain service, a booking desk: calls that may not be repeated beside
// reads. It records every execution, so that a test can count double runs.
package service

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/standin/serve"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Paths of the booking desk.
const (
	PathBookings     = "/bookings"     // POST {"hut","day"} books; GET lists
	PathAvailability = "/availability" // GET ?hut=NAME&day=DAY
	PathSlow         = "/slow"         // POST ?ms=N runs for N milliseconds, then books as PathBookings
)

// Execution is one run of a request.
type Execution struct {
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"key,omitempty"` // idempotency key
	Workspace      string `json:"workspace,omitempty"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	InstanceID     string `json:"service"` // id of the service instance that ran it
}

// Ledger records executions in the order they ran. The instances of one service share one.
type Ledger struct {
	mu         sync.Mutex
	executions []Execution
	bookings   []Booking
}

// Booking is one confirmed rental.
type Booking struct {
	ID        string `json:"id"`
	Hut       string `json:"hut"`
	Day       string `json:"day"`
	RequestID string `json:"request_id"`
}

// Executions gives the runs so far, oldest first.
func (l *Ledger) Executions() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.executions)
}

// RunsByRequest counts the runs of calls that change something, by request id.
func (l *Ledger) RunsByRequest() map[string]int {
	return l.runs(func(e Execution) string { return e.RequestID })
}

// RunsByKey counts the runs of calls that change something, by idempotency key; calls without one are
// left out.
func (l *Ledger) RunsByKey() map[string]int {
	return l.runs(func(e Execution) string { return e.IdempotencyKey })
}

func (l *Ledger) runs(by func(Execution) string) map[string]int {
	counts := map[string]int{}
	for _, e := range l.Executions() {
		if id := by(e); id != "" && e.Method != fasthttp.MethodGet {
			counts[id]++
		}
	}
	return counts
}

// Bookings gives the rentals so far, oldest first.
func (l *Ledger) Bookings() []Booking {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.bookings)
}

func (l *Ledger) run(e Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, e)
}

func (l *Ledger) book(b Booking) Booking {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.ID = fmt.Sprintf("booking-%d", len(l.bookings)+1)
	l.bookings = append(l.bookings, b)
	return b
}

func (l *Ledger) booked(hut, day string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.bookings, func(b Booking) bool { return b.Hut == hut && b.Day == day })
}

// Availability answers PathAvailability.
type Availability struct {
	Hut  string `json:"hut"`
	Day  string `json:"day"`
	Free bool   `json:"free"`
}

// Server is one instance of the service.
type Server struct {
	id     string
	ledger *Ledger
	http   *serve.Server
	faults *faults.Set
	mu     sync.Mutex
	boot   string
}

// Start serves one instance on addr.
func Start(addr, id string, ledger *Ledger) (*Server, error) {
	s := &Server{id: id, ledger: ledger, boot: uuid.NewString(), faults: faults.NewSet(faults.Kill, faults.SilentConnections, faults.CloseConnections,
		faults.Hang, faults.Slow, faults.LoseAnswer, faults.Leaving, faults.RefuseStart, faults.RefuseEverything,
		faults.CrashBeforeRun, faults.CrashAfterRun)}
	r := router.New()
	r.POST(PathBookings, s.gate(s.book))
	r.GET(PathBookings, s.gate(s.bookings))
	r.POST(PathSlow, s.gate(s.slowBook))
	r.GET(PathAvailability, s.gate(s.availability))
	r.GET(wire.PathPing, s.ping)
	var err error
	s.http, err = serve.Start(addr, r.Handler)
	return s, err
}

// ID is the instance's id.
func (s *Server) ID() string { return s.id }

// Addr is the server's address.
func (s *Server) Addr() string { return s.http.Addr() }

// Close stops the server.
func (s *Server) Close() {
	_ = s.faults.Switch(faults.Hang, false, 0)
	s.http.Close()
}

// Switch turns a fault on or off. Killed and started again, the instance has a new boot id.
func (s *Server) Switch(f faults.Fault, on bool, delay time.Duration) error {
	if err := s.faults.Switch(f, on, delay); err != nil {
		return err
	}
	if f == faults.Kill && !on {
		s.mu.Lock()
		s.boot = uuid.NewString()
		s.mu.Unlock()
	}
	return s.http.Switch(f, on)
}

func (s *Server) bootID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boot
}

func (s *Server) ping(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(wire.HeaderBootID, s.bootID())
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// gate plays the faults around a call and records its execution.
func (s *Server) gate(run fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set(wire.HeaderBootID, s.bootID())
		if s.faults.WaitUntilOff(faults.Hang, serve.ConnDone(ctx)) || s.faults.On(faults.CrashBeforeRun) {
			serve.CloseConn(ctx)
			return
		}
		if s.faults.On(faults.RefuseStart) || s.faults.On(faults.Leaving) {
			ctx.Response.Header.Set(wire.HeaderNotStarted, "true")
			serve.JSON(ctx, fasthttp.StatusServiceUnavailable, wire.Refusal{Error: "busy", NotStarted: true})
			return
		}
		if s.faults.On(faults.RefuseEverything) {
			serve.JSON(ctx, fasthttp.StatusServiceUnavailable, wire.Refusal{Error: "out of service"})
			return
		}
		s.faults.WaitDelay(faults.Slow, serve.ConnDone(ctx))
		s.ledger.run(execution(s.id, ctx))
		run(ctx)
		if s.faults.On(faults.LoseAnswer) || s.faults.On(faults.CrashAfterRun) {
			serve.CloseConn(ctx)
		}
	}
}

func execution(id string, ctx *fasthttp.RequestCtx) Execution {
	header := func(name string) string { return string(ctx.Request.Header.Peek(name)) }
	return Execution{
		RequestID: header(wire.HeaderRequestID), IdempotencyKey: header(wire.HeaderIdempotencyKey), Workspace: header(wire.HeaderWorkspace),
		Method: string(ctx.Method()), Path: string(ctx.Path()), InstanceID: id,
	}
}

func (s *Server) book(ctx *fasthttp.RequestCtx) {
	var b Booking
	if err := json.Unmarshal(ctx.PostBody(), &b); err != nil || b.Hut == "" || b.Day == "" {
		ctx.Error("a booking needs hut and day", fasthttp.StatusBadRequest)
		return
	}
	b.RequestID = string(ctx.Request.Header.Peek(wire.HeaderRequestID))
	serve.JSON(ctx, fasthttp.StatusCreated, s.ledger.book(b))
}

func (s *Server) slowBook(ctx *fasthttp.RequestCtx) {
	time.Sleep(time.Duration(ctx.QueryArgs().GetUintOrZero("ms")) * time.Millisecond)
	s.book(ctx)
}

func (s *Server) bookings(ctx *fasthttp.RequestCtx) {
	serve.JSON(ctx, fasthttp.StatusOK, s.ledger.Bookings())
}

func (s *Server) availability(ctx *fasthttp.RequestCtx) {
	a := Availability{Hut: string(ctx.QueryArgs().Peek("hut")), Day: string(ctx.QueryArgs().Peek("day"))}
	a.Free = !s.ledger.booked(a.Hut, a.Day)
	serve.JSON(ctx, fasthttp.StatusOK, a)
}
