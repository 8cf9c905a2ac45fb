package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// CallError is a failed call, with what is known about its effect.
type CallError struct {
	Sent       bool // a byte of the request may have reached the upstream
	NotStarted bool // the upstream itself said that it did not start
	Timeout    bool // silence: nothing came within the time
	Status     int  // HTTP status of an error answer; 0: none came
	RetryAfter time.Duration
	BootID     string
	Cause      error
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
func (e *CallError) Ran() bool { return e.Sent && !e.NotStarted }

// Client calls upstreams. It is safe for concurrent use.
type Client struct {
	pool *pool
}

// New gives a client without connections.
func New() *Client { return &Client{pool: newPool()} }

// Close closes the idle connections.
func (c *Client) Close() { c.pool.close() }

// Condemn bars the open connections to addr from further use.
func (c *Client) Condemn(addr string) { c.pool.condemn(addr) }

// exchange is one request sent and the head of its response read. Its user ends it with finish.
type exchange struct {
	client *Client
	conn   *conn
	resp   *fasthttp.Response
	detach func() bool // from the context
}

// send writes req to addr and reads the response's head, within wait; the body is left as a stream.
// Cancelling ctx wakes every read and write of the exchange until finish.
func (c *Client) send(ctx context.Context, addr string, req *fasthttp.Request, wait time.Duration) (*exchange, error) {
	cn, reused, err := c.pool.get(ctx, addr)
	if err != nil {
		return nil, &CallError{Cause: err}
	}
	x := &exchange{client: c, conn: cn, resp: fasthttp.AcquireResponse()}
	_ = cn.SetDeadline(time.Now().Add(wait))
	x.detach = context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	if err := x.head(req); err != nil {
		x.finish(false)
		return nil, x.failed(ctx, err, reused)
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

// failed describes err. A request that the system took no byte of can't have run; neither can one whose
// caller's context ended before.
func (x *exchange) failed(ctx context.Context, err error, _ bool) error {
	e := &CallError{Sent: x.conn.sent.Load() > 0, Cause: err}
	e.Timeout = timedOut(err) && ctx.Err() == nil
	if ctx.Err() != nil {
		e.Cause = fmt.Errorf("%w: %w", context.Cause(ctx), err)
	}
	return e
}

// timedOut tells whether err is a passed deadline of the connection; the HTTP library has an error of its
// own for it, which is no net.Error.
func timedOut(err error) bool {
	var ne net.Error
	return errors.Is(err, fasthttp.ErrTimeout) || (errors.As(err, &ne) && ne.Timeout())
}

// finish gives the connection back if the exchange ended whole, and closes it otherwise.
func (x *exchange) finish(whole bool) {
	detached := x.detach()
	reusable := whole && detached && !x.resp.ConnectionClose()
	_ = x.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(x.resp)
	if reusable {
		x.client.pool.put(x.conn)
		return
	}
	_ = x.conn.Close()
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

// json sends in (nil: no body) and decodes a 2xx answer into out (nil: dropped).
func (c *Client) json(ctx context.Context, addr, method, path string, in, out any, wait time.Duration) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(method)
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode %s %s: %w", method, path, err)
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	x, err := c.send(ctx, addr, req, wait)
	if err != nil {
		return err
	}
	body, err := readBody(x)
	if err != nil {
		err = x.failed(ctx, err, false)
		x.finish(false)
		return err
	}
	if status := x.resp.StatusCode(); status < 200 || status > 299 {
		refused := x.refusal(errors.New(string(body)))
		x.finish(true)
		return refused
	}
	x.finish(true)
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("decode answer of %s %s: %w", method, path, err)
	}
	return nil
}
