package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	"github.com/damaskshelf/damaskshelf/internal/decide/stream"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/httphead"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// CallError is a failed call, with what is known about its effect.
type CallError struct {
	Sent           bool // a byte of the request may have reached the upstream
	NotStarted     bool // the upstream itself reported that it did not start the request
	Timeout        bool // the connection was silent for too long, or the exchange exceeded its time limit
	UpstreamDead   bool // the upstream does not answer on a new connection either
	DeadlinePassed bool // the deadline of the dispatch itself passed
	Status         int  // HTTP status of an error answer; 0: none arrived
	RetryAfter     time.Duration
	BootID         string
	Via            fleet.InstanceID // the instance that the connection went through; empty: it was direct, or there was none
	Cause          error
}

// Error describes the failure.
func (e *CallError) Error() string {
	switch {
	case e.Status != 0:
		return fmt.Sprintf("upstream answered %d: %v", e.Status, e.Cause)
	case e.Timeout:
		return fmt.Sprintf("upstream is silent: %v", e.Cause)
	default:
		return fmt.Sprintf("upstream: %v", e.Cause)
	}
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// MayHaveRun reports whether the call may have run.
func (e *CallError) MayHaveRun() bool { return e.Sent && !e.NotStarted }

// Client calls upstreams. It is safe for concurrent use.
type Client struct {
	pool      *pool
	bodyBytes *semaphore.Weighted // bytes of small answers that are being read
}

// Options configure a Client. Zero fields have defaults.
type Options struct {
	Dial    Dialer // connects directly; nil: over TCP
	Bypass  Bypass // connects through other instances; nil: the direct path is the only one
	Log     hclog.Logger
	Metrics *metrics.Registry
}

// New returns a client without connections that connects directly.
func New() *Client { return NewWithOptions(Options{}) }

// NewWithOptions returns a client without connections.
func NewWithOptions(o Options) *Client {
	if o.Dial == nil {
		o.Dial = DialTCP
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.New()
	}
	p := newPool()
	p.paths = newPaths(o, p)
	return &Client{pool: p, bodyBytes: semaphore.NewWeighted(maxSmallBodiesBytes)}
}

// withoutIdle returns a client over the same paths without idle connections.
func (c *Client) withoutIdle() *Client {
	p := newPool()
	p.paths = c.pool.paths
	return &Client{pool: p, bodyBytes: c.bodyBytes}
}

// ProbePaths probes failed paths to upstreams until ctx ends. known reports whether an upstream has an address.
func (c *Client) ProbePaths(ctx context.Context, known func(addr string) bool) {
	c.pool.paths.probe(ctx, known)
}

// DialDirect connects to the upstream at addr over this instance's own path only, for another instance. It fails at once if
// that path is known to fail.
func (c *Client) DialDirect(ctx context.Context, addr string) (net.Conn, error) {
	return c.pool.paths.dialDirect(ctx, addr)
}

// PathLost reports whether this instance's own path to the upstream at addr has failed while another instance reaches
// the upstream. After a request that ended in silence or with a reset, it shows which of the two is at fault. If the path
// has failed, the idle connections over it are not used again.
func (c *Client) PathLost(ctx context.Context, addr string) bool {
	lost := c.pool.paths.lost(ctx, addr)
	if lost {
		c.pool.invalidate(addr)
	}
	return lost
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.close() }

// InvalidateConnections excludes the existing connections to addr from further requests.
func (c *Client) InvalidateConnections(addr string) { c.pool.invalidate(addr) }

// httpExchange is one request sent by Client.send, with the head of its answer read. The caller ends it with finish,
// or with fail after an error.
type httpExchange struct {
	client *Client
	conn   *conn
	resp   *fasthttp.Response
	reused bool        // the connection was idle in the pool before
	guard  *guard      // nil: none
	detach func() bool // stops the end of the context from interrupting the exchange; false: it already has
}

// timeLimits are the limits of one exchange: timeout bounds all of it; silence, if set, bounds the silence on its
// connection instead.
type timeLimits struct {
	timeout time.Duration
	silence *SilenceLimits
}

// send writes req to addr and reads the head of the answer within the limits. The body is left as a stream. The end
// of ctx interrupts every read and write of the exchange until finish.
func (c *Client) send(ctx context.Context, addr string, req *fasthttp.Request, limits timeLimits) (*httpExchange, error) {
	deadline := time.Now().Add(limits.timeout)
	cn, reused, err := c.connectWithin(ctx, addr, deadline, limits.silence != nil)
	if err != nil {
		return nil, &CallError{Cause: err}
	}
	x := &httpExchange{client: c, conn: cn, reused: reused, resp: fasthttp.AcquireResponse()}
	if limits.silence != nil {
		x.guard = newGuard(ctx, c, cn, reused, len(req.Body()), *limits.silence)
	} else {
		_ = cn.SetDeadline(deadline)
	}
	x.detach = context.AfterFunc(ctx, func() { _ = cn.SetDeadline(expiredDeadline) })
	if err := x.sendRequest(req); err != nil {
		return nil, x.fail(ctx, err)
	}
	return x, nil
}

// connectWithin returns an idle connection or a new one. The deadline bounds the connecting unless the exchange has other
// limits.
func (c *Client) connectWithin(ctx context.Context, addr string, deadline time.Time, unbounded bool) (*conn, bool, error) {
	if unbounded {
		return c.pool.get(ctx, addr)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return c.pool.get(ctx, addr)
}

// sendRequest writes the request and reads the head of the answer.
func (x *httpExchange) sendRequest(req *fasthttp.Request) error {
	if err := req.Write(x.conn.writer); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	if err := x.conn.writer.Flush(); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	if err := httphead.CheckResponse(x.conn.reader); err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	x.resp.StreamBody = true
	if err := x.resp.ReadLimitBody(x.conn.reader, 0); err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	return nil
}

// fail ends the exchange after err and returns a CallError that describes it. A request has not run if the operating
// system accepted no byte of it, which includes a request whose context ended before.
//
// If the connection was idle before and breaks before an answer, the upstream has usually restarted. The other idle
// connections to it are then broken too, and each would cost a request its first dispatch.
func (x *httpExchange) fail(ctx context.Context, err error) *CallError {
	e := &CallError{Sent: x.conn.bytesSent.Load() > 0, Cause: err}
	verdict := x.finishWithVerdict(false)
	switch {
	case ctx.Err() != nil:
		e.Cause = fmt.Errorf("%w: %w", context.Cause(ctx), err)
		return e
	case verdict == stream.GiveUp:
		e.DeadlinePassed = true
		return e
	case verdict == stream.Resume, verdict == stream.Redispatch:
		e.Timeout, e.UpstreamDead = true, verdict == stream.Redispatch
	default:
		e.Timeout = isTimeout(err)
	}
	if e.Timeout || x.reused {
		x.client.pool.invalidate(x.conn.addr)
	}
	return e
}

// isTimeout reports whether err is a passed deadline of the connection. The HTTP library has an error of its own for
// that, which is not a net.Error.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, fasthttp.ErrTimeout) || (errors.As(err, &ne) && ne.Timeout())
}

// stopGuard ends the guard. What is still to be read must arrive within timeout.
func (x *httpExchange) stopGuard(timeout time.Duration) {
	if x.guard != nil {
		x.guard.stop()
		x.guard = nil
	}
	_ = x.conn.SetReadDeadline(time.Now().Add(timeout))
}

// finish returns the connection to the pool if the exchange is complete, and closes it otherwise.
func (x *httpExchange) finish(complete bool) { x.finishWithVerdict(complete) }

// finishWithVerdict does what finish does and returns the guard's verdict, or stream.Wait without a guard.
func (x *httpExchange) finishWithVerdict(complete bool) stream.Action {
	verdict := stream.Wait
	if x.guard != nil {
		verdict = x.guard.stop()
	}
	detached := x.detach()
	reusable := complete && detached && !x.resp.ConnectionClose() && x.conn.reader.Buffered() == 0
	if !reusable {
		_ = x.conn.SetDeadline(expiredDeadline) // closing the body may read further
	}
	_ = x.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(x.resp)
	if reusable {
		x.client.pool.put(x.conn)
		return verdict
	}
	_ = x.conn.Close()
	return verdict
}

const (
	// maxSmallBodyBytes bounds the answers of small calls, and error bodies.
	maxSmallBodyBytes = 8 << 20
	// maxSmallBodiesBytes bounds what such answers take together while they are read, beyond the first freeBodyBytes of each.
	// Engines that send bytes without end would otherwise take the process's memory.
	maxSmallBodiesBytes = 32 << 20
	freeBodyBytes       = 64 << 10
)

// answerError returns the CallError for an error answer with err as its cause. It doesn't finish the exchange.
func (x *httpExchange) answerError(err error) *CallError {
	h := &x.resp.Header
	e := &CallError{
		Sent:       true,
		Status:     x.resp.StatusCode(),
		NotStarted: string(h.Peek(wire.HeaderNotStarted)) == "true",
		BootID:     string(h.Peek(wire.HeaderBootID)),
		Cause:      err,
	}
	if s, err := strconv.Atoi(string(h.Peek(fasthttp.HeaderRetryAfter))); err == nil && s > 0 {
		e.RetryAfter = time.Duration(s) * time.Second
	}
	return e
}
