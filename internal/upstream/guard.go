package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/crash"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/stream"
)

// SilenceLimits bound the silence on a stream's connection, and the time of the request.
type SilenceLimits struct {
	Params   stream.Params       // limits of silence
	Deadline time.Time           // of the request
	OnStep   func(decide.Reason) // called with the reason of each step; may be nil
}

// guard applies the silence detector of package stream to one exchange. The connection's Read and Write call it, so
// that probes and longer waits happen within a read. The reader of the stream gets no error until the guard has a final
// verdict on the connection.
type guard struct {
	ctx          context.Context // of the request; ctx.Err is set before the connection gets expiredDeadline
	probeCtx     context.Context // of the probes
	client       *Client
	conn         *conn
	limits       SilenceLimits
	start        time.Time
	cancelProbes context.CancelFunc
	wg           sync.WaitGroup // of probes

	mu       sync.Mutex
	detector *stream.SilenceDetector // guarded by mu
	verdict  stream.Action           // guarded by mu; any value but Wait and Probe is final
}

// newGuard starts the guard of an exchange with a request body of size bytes.
func newGuard(ctx context.Context, c *Client, cn *conn, reused bool, size int, s SilenceLimits) *guard {
	g := &guard{ctx: ctx, client: c, conn: cn, limits: s, start: time.Now()}
	g.probeCtx, g.cancelProbes = context.WithCancel(ctx)
	g.detector = stream.NewSilenceDetector(s.Params, reused, size, 0, decide.Instant(s.Deadline.Sub(g.start)))
	cn.guard = g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setDeadline()
	return g
}

// now returns the time since the guard started.
func (g *guard) now() decide.Instant { return decide.Instant(time.Since(g.start)) }

// setDeadline sets the connection's read deadline to the detector's next check. The caller holds mu. A context that
// ends meanwhile sets expiredDeadline, which must not be overwritten.
func (g *guard) setDeadline() {
	at := g.start.Add(time.Duration(g.detector.NextCheck()))
	if g.hasVerdict() || g.ctx.Err() != nil {
		at = expiredDeadline
	}
	_ = g.conn.SetReadDeadline(at)
	if g.ctx.Err() != nil {
		_ = g.conn.SetReadDeadline(expiredDeadline)
	}
}

// expiredDeadline is a deadline in the past. It interrupts every read and write at once.
var expiredDeadline = time.Unix(1, 0)

// hasVerdict reports whether the verdict is final. The caller holds mu.
func (g *guard) hasVerdict() bool { return g.verdict != stream.Wait && g.verdict != stream.Probe }

// onWrite sets the deadline for writing the next piece of the request: the longest silence, but not past the
// request's deadline. The wait for the answer starts once the request is written.
func (g *guard) onWrite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.OnWritten(g.now())
	g.setDeadline()
	at := time.Now().Add(g.limits.Params.MaxSilence)
	if g.limits.Deadline.Before(at) {
		at = g.limits.Deadline
	}
	_ = g.conn.SetWriteDeadline(at)
	if g.ctx.Err() != nil {
		_ = g.conn.SetWriteDeadline(expiredDeadline)
	}
}

// onRead records that bytes arrived.
func (g *guard) onRead() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.OnBytes(g.now())
	g.setDeadline()
}

// continueReading reports whether to continue a read that passed its deadline.
func (g *guard) continueReading() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx.Err() != nil || g.hasVerdict() {
		return false
	}
	g.apply(g.detector.OnTimer(g.now()))
	g.setDeadline()
	return !g.hasVerdict()
}

// apply carries out the detector's decision. The caller holds mu.
func (g *guard) apply(a stream.Action, reason decide.Reason) {
	if a == stream.Wait {
		return
	}
	if g.limits.OnStep != nil {
		g.limits.OnStep(reason)
	}
	g.verdict = a
	if a != stream.Probe {
		return
	}
	g.wg.Add(1)
	go func() {
		defer crash.Report("probe of upstream")
		defer g.wg.Done()
		err := g.client.Ping(g.probeCtx, g.conn.addr, g.limits.Params.ProbeTimeout)
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.probeCtx.Err() != nil {
			return
		}
		g.apply(g.detector.OnProbeResult(err == nil, g.now()))
		g.setDeadline()
	}()
}

// stop ends the guard and returns its verdict. The connection is then read without a guard.
func (g *guard) stop() stream.Action {
	g.cancelProbes()
	g.wg.Wait()
	g.conn.guard = nil
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.verdict
}
