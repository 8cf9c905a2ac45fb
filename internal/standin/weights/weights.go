// Package weights implements a stand-in of the platform's weight store. It grants transfers from a budget that refills at
// a fixed rate.
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

// Counts holds what was granted and refused.
type Counts struct {
	TakenGB float64 `json:"taken_gb"`
	Taken   uint64  `json:"taken"`   // number of calls granted
	Refused uint64  `json:"refused"` // number of calls refused for lack of budget
}

// Budget is a token bucket in gigabytes that starts full.
type Budget struct {
	Rate  float64 // GB per second
	Burst float64 // capacity in GB

	availableGB float64 // negative while in debt
	updatedAt   time.Time
}

// Take withdraws gb gigabytes and reports whether the budget allowed it. If not, it returns the time until it will. An
// amount above Burst needs a full bucket and leaves it in debt.
func (b *Budget) Take(gb float64, now time.Time) (wait time.Duration, ok bool) {
	if b.updatedAt.IsZero() {
		b.availableGB = b.Burst
	} else {
		b.availableGB = min(b.Burst, b.availableGB+b.Rate*now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = now
	if requiredGB := min(gb, b.Burst); b.availableGB < requiredGB {
		return time.Duration((requiredGB - b.availableGB) / b.Rate * float64(time.Second)), false
	}
	b.availableGB -= gb
	return 0, true
}

// Server serves a budget over HTTP.
type Server struct {
	http   *serve.Server
	faults *faults.Set
	mu     sync.Mutex
	budget Budget // guarded by mu
	counts Counts // guarded by mu
}

// Start starts a server on addr with a budget that refills at rate GB per second up to burst GB.
func Start(addr string, rate, burst float64) (*Server, error) {
	s := &Server{
		budget: Budget{Rate: rate, Burst: burst},
		faults: faults.NewSet(faults.Kill, faults.SilentConnections, faults.CloseConnections, faults.Hang, faults.Slow),
	}
	r := router.New()
	r.POST(wire.PathWeights, s.postTake)
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

// Counts returns the current counts.
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

// postTake handles a withdrawal from the budget. If the budget is too low, it answers 429 with the time to wait in
// Retry-After, rounded up to seconds.
func (s *Server) postTake(ctx *fasthttp.RequestCtx) {
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
	if wait, ok := s.takeNow(gb); !ok {
		ctx.Error("no transfer budget", fasthttp.StatusTooManyRequests)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// takeNow withdraws gb gigabytes from the budget at the present time and counts the outcome. It returns as Budget.Take
// does.
func (s *Server) takeNow(gb float64) (time.Duration, bool) {
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
