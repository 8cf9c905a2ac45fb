// Package weights is a stand-in of the platform's weight store: a transfer budget that fills at a fixed
// rate, and calls that take from it.
package weights

import (
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/standin/serve"
)

// Counts tells what was taken and refused.
type Counts struct {
	TakenGB float64 `json:"taken_gb"`
	Taken   uint64  `json:"taken"`
	Refused uint64  `json:"refused"`
}

// Budget is a token bucket in gigabytes that starts full.
type Budget struct {
	Rate  float64 // gigabytes a second
	Burst float64 // most that the bucket holds

	level float64
	last  time.Time
}

// Take takes gb from the budget, or gives the time until there is enough. More than the burst is granted
// from a full bucket, which then stays in debt.
func (b *Budget) Take(gb float64, now time.Time) (wait time.Duration, ok bool) {
	if b.last.IsZero() {
		b.level = b.Burst
	} else {
		b.level = min(b.Burst, b.level+b.Rate*now.Sub(b.last).Seconds())
	}
	b.last = now
	if need := min(gb, b.Burst); b.level < need {
		return time.Duration((need - b.level) / b.Rate * float64(time.Second)), false
	}
	b.level -= gb
	return 0, true
}

// Server serves a budget over HTTP.
type Server struct {
	http   *serve.Server
	faults *faults.Set
	mu     sync.Mutex
	budget Budget
	counts Counts
}

// Start serves a budget of rate gigabytes a second, with burst gigabytes at most, on addr.
func Start(addr string, rate, burst float64) (*Server, error) {
	s := &Server{
		budget: Budget{Rate: rate, Burst: burst},
		faults: faults.NewSet(faults.Kill, faults.SilentConnections, faults.CloseConnections, faults.Hang, faults.Slow),
	}
	r := router.New()
	r.POST(wire.PathWeights, s.take)
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

// Counts gives what was taken and refused so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Switch turns a fault on or off.
func (s *Server) Switch(f faults.Fault, on bool, delay time.Duration) error {
	if err := s.faults.Switch(f, on, delay); err != nil {
		return err
	}
	return s.http.Switch(f, on)
}

func (s *Server) take(ctx *fasthttp.RequestCtx) {
	if s.faults.WaitUntilOff(faults.Hang, serve.ConnDone(ctx)) {
		serve.CloseConn(ctx)
		return
	}
	s.faults.WaitDelay(faults.Slow, serve.ConnDone(ctx))
	gb, err := strconv.ParseFloat(string(ctx.QueryArgs().Peek("gb")), 64)
	if err != nil || gb <= 0 || math.IsInf(gb, 0) || math.IsNaN(gb) {
		ctx.Error("gb: not a positive number", fasthttp.StatusBadRequest)
		return
	}
	if wait, ok := s.grant(gb); !ok {
		ctx.Error("no transfer budget", fasthttp.StatusTooManyRequests)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (s *Server) grant(gb float64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait, ok := s.budget.Take(gb, time.Now())
	if !ok {
		s.counts.Refused++
		return wait, false
	}
	s.counts.Taken++
	s.counts.TakenGB += gb
	return 0, true
}
