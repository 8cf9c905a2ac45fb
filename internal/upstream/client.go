package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/decide/stream"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// CallError is a failed call, with what is known about its effect.
type CallError struct {
	Sent           bool // a byte of the request may have reached the upstream
	NotStarted     bool // the upstream itself said that it did not start
	Timeout        bool // silence: nothing came within the time
	UpstreamDead   bool // the upstream does not answer over a new connection either
	DeadlinePassed bool // the time of the dispatch itself ran out
	Status         int  // HTTP status of an error answer; 0: none came
	RetryAfter     time.Duration
	BootID         string
	Cause          error
}

// Error tells what happened.
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

// Unwrap gives the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Ran tells whether the call may have run.
func (e *CallError) MayHaveRun() bool { return e.Sent && !e.NotStarted }

// Client calls upstreams. It is safe for concurrent use.
type Client struct {
	pool *pool
}

// New gives a client without connections.
func New() *Client { return &Client{pool: newPool()} }

// Close closes the idle connections.
func (c *Client) Close() { c.pool.close() }

// Condemn bars the open connections to addr from further use.
func (c *Client) InvalidateConnections(addr string) { c.pool.condemn(addr) }

// exchange is one request sent and the head of its response read. Its user ends it with finish.
type exchange struct {
	client *Client
	conn   *conn
	resp   *fasthttp.Response
	reused bool
	guard  *guard      // nil: none
	detach func() bool // from the context
}

// bounds are the time limits of one exchange: a wait for all of it, or silence on its connection.
type bounds struct {
	wait    time.Duration
	silence *SilenceLimits
}

// send writes req to addr and reads the response's head, within the bounds; the body is left as a stream.
// Cancelling ctx wakes every read and write of the exchange until finish.
func (c *Client) send(ctx context.Context, addr string, req *fasthttp.Request, b bounds) (*exchange, error) {
	cn, reused, err := c.pool.get(ctx, addr)
	if err != nil {
		return nil, &CallError{Cause: err}
	}
	x := &exchange{client: c, conn: cn, reused: reused, resp: fasthttp.AcquireResponse()}
	if b.silence != nil {
		x.guard = newGuard(ctx, c, cn, reused, len(req.Body()), *b.silence)
	} else {
		_ = cn.SetDeadline(time.Now().Add(b.wait))
	}
	x.detach = context.AfterFunc(ctx, func() { _ = cn.SetDeadline(past) })
	if err := x.head(req); err != nil {
		return nil, x.fail(ctx, err)
	}
	return x, nil
}

func (x *exchange) head(req *fasthttp.Request) error {
	if err := req.Write(x.conn.writer); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	if err := x.conn.writer.Flush(); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	x.resp.StreamBody = true
	if err := x.resp.ReadLimitBody(x.conn.reader, 0); err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	return nil
}

// fail ends the exchange after err and describes it. A request that the system took no byte of can't have
// run; neither can one whose caller's context ended before.
//
// A connection that was idle and is cut before an answer is usually not alone: the upstream has restarted,
// and each other idle connection to it would cost a request its first dispatch.
func (x *exchange) fail(ctx context.Context, err error) *CallError {
	e := &CallError{Sent: x.conn.sent.Load() > 0, Cause: err}
	verdict := x.end(false)
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
		e.Timeout = timedOut(err)
	}
	if e.Timeout || x.reused {
		x.client.pool.condemn(x.conn.addr)
	}
	return e
}

// timedOut tells whether err is a passed deadline of the connection; the HTTP library has an error of its
// own for it, which is no net.Error.
func timedOut(err error) bool {
	var ne net.Error
	return errors.Is(err, fasthttp.ErrTimeout) || (errors.As(err, &ne) && ne.Timeout())
}

// quiet ends the guard; what is still read has to come within wait.
func (x *exchange) quiet(wait time.Duration) {
	if x.guard != nil {
		x.guard.stop()
		x.guard = nil
	}
	_ = x.conn.SetReadDeadline(time.Now().Add(wait))
}

// finish gives the connection back if the exchange ended whole, and closes it otherwise.
func (x *exchange) finish(whole bool) { x.end(whole) }

// end is finish, and gives the guard's verdict.
func (x *exchange) end(whole bool) stream.Action {
	verdict := stream.Wait
	if x.guard != nil {
		verdict = x.guard.stop()
	}
	detached := x.detach()
	reusable := whole && detached && !x.resp.ConnectionClose()
	if !reusable {
		_ = x.conn.SetDeadline(past) // closing the body may read on
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

// maxSmallBody bounds answers of the small calls and error bodies.
const maxSmallBody = 8 << 20

// refusal turns an error answer into a CallError; the exchange is finished.
func (x *exchange) refusal(err error) *CallError {
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
