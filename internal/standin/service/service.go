// Package service implements a stand-in of a plain service, a booking desk. It has reads, and bookings that must not run
// twice. It records every execution, so that a test can detect repeated runs.
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
	PathBookings     = "/bookings"     // POST {"hut","day"} adds a booking; GET lists the bookings
	PathAvailability = "/availability" // GET ?hut=NAME&day=DAY
	PathSlow         = "/slow"         // POST ?ms=N waits N milliseconds, then adds a booking as PathBookings does
)

// Execution records one run of a request.
type Execution struct {
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"key,omitempty"` // empty if the request has none
	Workspace      string `json:"workspace,omitempty"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	InstanceID     string `json:"service"` // id of the service instance that ran it
}

// Ledger records the executions and bookings of a service in order. The instances of a service share one.
type Ledger struct {
	mu         sync.Mutex
	executions []Execution // guarded by mu
	bookings   []Booking   // guarded by mu
}

// Booking is one confirmed booking.
type Booking struct {
	ID        string `json:"id"`
	Hut       string `json:"hut"`
	Day       string `json:"day"`
	RequestID string `json:"request_id"`
}

// Executions returns the executions so far, oldest first.
func (l *Ledger) Executions() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.executions)
}

// RunsByRequest returns the number of executions by request id. It leaves out reads.
func (l *Ledger) RunsByRequest() map[string]int {
	return l.countRuns(func(e Execution) string { return e.RequestID })
}

// RunsByKey returns the number of executions by idempotency key. It leaves out reads and requests without a key.
func (l *Ledger) RunsByKey() map[string]int {
	return l.countRuns(func(e Execution) string { return e.IdempotencyKey })
}

// countRuns counts the executions other than reads by the key that keyOf returns. It leaves out empty keys.
func (l *Ledger) countRuns(keyOf func(Execution) string) map[string]int {
	counts := map[string]int{}
	for _, e := range l.Executions() {
		if key := keyOf(e); key != "" && e.Method != fasthttp.MethodGet {
			counts[key]++
		}
	}
	return counts
}

// Bookings returns the bookings so far, oldest first.
func (l *Ledger) Bookings() []Booking {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.bookings)
}

// recordExecution records an execution.
func (l *Ledger) recordExecution(e Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, e)
}

// addBooking records a booking and returns it with its id.
func (l *Ledger) addBooking(b Booking) Booking {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.ID = fmt.Sprintf("booking-%d", len(l.bookings)+1)
	l.bookings = append(l.bookings, b)
	return b
}

// isBooked reports whether a hut has a booking for a day.
func (l *Ledger) isBooked(hut, day string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.bookings, func(b Booking) bool { return b.Hut == hut && b.Day == day })
}

// Availability is the response body of PathAvailability.
type Availability struct {
	Hut  string `json:"hut"`
	Day  string `json:"day"`
	Free bool   `json:"free"`
}

// Server is one instance of the service.
type Server struct {
	id            string
	ledger        *Ledger
	http          *serve.Server
	faults        *faults.Set
	mu            sync.Mutex
	currentBootID string // guarded by mu; changes with each restart
}

// Start starts an instance on addr that records its executions in ledger.
func Start(addr, id string, ledger *Ledger) (*Server, error) {
	s := &Server{id: id, ledger: ledger, currentBootID: uuid.NewString(), faults: faults.NewSet(faults.Kill, faults.SilentConnections, faults.CloseConnections,
		faults.Hang, faults.Slow, faults.LoseAnswer, faults.Leaving, faults.RefuseStart, faults.RefuseEverything,
		faults.CrashBeforeRun, faults.CrashAfterRun)}
	r := router.New()
	r.POST(PathBookings, s.withFaults(s.postBooking))
	r.GET(PathBookings, s.withFaults(s.getBookings))
	r.POST(PathSlow, s.withFaults(s.postSlowBooking))
	r.GET(PathAvailability, s.withFaults(s.getAvailability))
	r.GET(wire.PathPing, s.getPing)
	var err error
	s.http, err = serve.Start(addr, r.Handler)
	return s, err
}

// ID returns the instance's id.
func (s *Server) ID() string { return s.id }

// Addr returns the server's address.
func (s *Server) Addr() string { return s.http.Addr() }

// Close stops the server.
func (s *Server) Close() {
	_ = s.faults.Switch(faults.Hang, false, 0)
	s.http.Close()
}

// Switch turns a fault on or off. Turning Kill off restarts the instance with a new boot id.
func (s *Server) Switch(f faults.Fault, on bool, delay time.Duration) error {
	if err := s.faults.Switch(f, on, delay); err != nil {
		return err
	}
	if f == faults.Kill && !on {
		s.mu.Lock()
		s.currentBootID = uuid.NewString()
		s.mu.Unlock()
	}
	return s.http.Switch(f, on)
}

func (s *Server) bootID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentBootID
}

// getPing handles a ping.
func (s *Server) getPing(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(wire.HeaderBootID, s.bootID())
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// withFaults returns a handler that injects the faults around a call of handler and records the execution. A fault
// before the call refuses or delays the request, or closes its connection. A fault after it closes the connection without
// a response.
func (s *Server) withFaults(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
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
		s.ledger.recordExecution(newExecution(s.id, ctx))
		handler(ctx)
		if s.faults.On(faults.LoseAnswer) || s.faults.On(faults.CrashAfterRun) {
			serve.CloseConn(ctx)
		}
	}
}

// newExecution returns the execution of a request by the instance with the id.
func newExecution(id string, ctx *fasthttp.RequestCtx) Execution {
	header := func(name string) string { return string(ctx.Request.Header.Peek(name)) }
	return Execution{
		RequestID: header(wire.HeaderRequestID), IdempotencyKey: header(wire.HeaderIdempotencyKey), Workspace: header(wire.HeaderWorkspace),
		Method: string(ctx.Method()), Path: string(ctx.Path()), InstanceID: id,
	}
}

// postBooking handles a booking.
func (s *Server) postBooking(ctx *fasthttp.RequestCtx) {
	var b Booking
	if err := json.Unmarshal(ctx.PostBody(), &b); err != nil || b.Hut == "" || b.Day == "" {
		ctx.Error("a booking needs hut and day", fasthttp.StatusBadRequest)
		return
	}
	b.RequestID = string(ctx.Request.Header.Peek(wire.HeaderRequestID))
	serve.JSON(ctx, fasthttp.StatusCreated, s.ledger.addBooking(b))
}

// postSlowBooking handles a booking that takes the time in the query.
func (s *Server) postSlowBooking(ctx *fasthttp.RequestCtx) {
	time.Sleep(time.Duration(ctx.QueryArgs().GetUintOrZero("ms")) * time.Millisecond)
	s.postBooking(ctx)
}

// getBookings handles a list of the bookings.
func (s *Server) getBookings(ctx *fasthttp.RequestCtx) {
	serve.JSON(ctx, fasthttp.StatusOK, s.ledger.Bookings())
}

// getAvailability handles a read of whether a hut is free on a day.
func (s *Server) getAvailability(ctx *fasthttp.RequestCtx) {
	a := Availability{Hut: string(ctx.QueryArgs().Peek("hut")), Day: string(ctx.QueryArgs().Peek("day"))}
	a.Free = !s.ledger.isBooked(a.Hut, a.Day)
	serve.JSON(ctx, fasthttp.StatusOK, a)
}
