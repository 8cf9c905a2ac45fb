package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/stream"
)

// Silence says how long a stream's connection may be silent, and until when the request has time.
type SilenceLimits struct {
	Params   stream.Params
	Deadline time.Time
	OnStep   func(decide.Reason) // told of each step; may be nil
}

// guard is the shell of stream.Watch on one exchange. The connection's Read calls it, so that a probe and
// a longer wait happen inside a read: to the reader of the stream nothing has happened until the guard
// gives the connection up.
type guard struct {
	ctx     context.Context // of the request: ended before its own deadline is put on the connection
	probes  context.Context
	client  *Client
	conn    *conn
	silence SilenceLimits
	start   time.Time
	cancel  context.CancelFunc
	wg      sync.WaitGroup // of probes

	mu      sync.Mutex
	watch   *stream.SilenceDetector // guarded by mu
	verdict stream.Action           // guarded by mu: anything but Wait and Probe is final
}

func newGuard(ctx context.Context, c *Client, cn *conn, reused bool, size int, s SilenceLimits) *guard {
	g := &guard{ctx: ctx, client: c, conn: cn, silence: s, start: time.Now()}
	g.probes, g.cancel = context.WithCancel(ctx)
	g.watch = stream.NewSilenceDetector(s.Params, reused, size, 0, decide.Instant(s.Deadline.Sub(g.start)))
	cn.guard = g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rearm()
	return g
}

func (g *guard) now() decide.Instant { return decide.Instant(time.Since(g.start)) }

// rearm sets the time of the next look; mu is held. A context that ends just now has its own deadline in
// the past, which must not be overwritten.
func (g *guard) rearm() {
	at := g.start.Add(time.Duration(g.watch.NextCheck()))
	if g.final() || g.ctx.Err() != nil {
		at = past
	}
	_ = g.conn.SetReadDeadline(at)
	if g.ctx.Err() != nil {
		_ = g.conn.SetReadDeadline(past)
	}
}

// past is a deadline that wakes every read and write at once.
var past = time.Unix(1, 0)

func (g *guard) final() bool { return g.verdict != stream.Wait && g.verdict != stream.Probe }

// beforeWrite gives the next piece of the request the longest silence to go out. A request that is still
// being written doesn't wait for its answer yet.
func (g *guard) beforeWrite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.watch.OnWritten(g.now())
	g.rearm()
	at := time.Now().Add(g.silence.Params.MaxSilence)
	if g.silence.Deadline.Before(at) {
		at = g.silence.Deadline
	}
	_ = g.conn.SetWriteDeadline(at)
	if g.ctx.Err() != nil {
		_ = g.conn.SetWriteDeadline(past)
	}
}

// alive notes that bytes came.
func (g *guard) alive() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.watch.OnBytes(g.now())
	g.rearm()
}

// goOn is asked when a read ran out of time, and tells whether to read on.
func (g *guard) goOn() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx.Err() != nil || g.final() {
		return false
	}
	g.act(g.watch.OnTimer(g.now()))
	g.rearm()
	return !g.final()
}

// act carries out what the watch decided; mu is held.
func (g *guard) act(a stream.Action, reason decide.Reason) {
	if a == stream.Wait {
		return
	}
	if g.silence.OnStep != nil {
		g.silence.OnStep(reason)
	}
	g.verdict = a
	if a != stream.Probe {
		return
	}
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		err := g.client.Ping(g.probes, g.conn.addr, g.silence.Params.ProbeTimeout)
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.probes.Err() != nil {
			return
		}
		g.act(g.watch.OnProbeResult(err == nil, g.now()))
		g.rearm()
	}()
}

// stop ends the guard and gives its verdict; the connection is then read without it.
func (g *guard) stop() stream.Action {
	g.cancel()
	g.wg.Wait()
	g.conn.guard = nil
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.verdict
}
