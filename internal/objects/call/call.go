// Package call sends single HTTP calls to a store. Clients of different wire protocols share it.
package call

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/objects"
)

const (
	dialTimeout = time.Second
	maxAnswer   = 64 << 20 // bytes; a list of many objects
)

// Caller sends calls over kept connections. It is safe for concurrent use.
type Client struct {
	http  *fasthttp.Client
	conns *conns
}

// New gives a Caller; it connects on first use.
func New() *Client {
	open := &conns{open: map[*trackedConn]struct{}{}}
	return &Client{
		conns: open,
		http: &fasthttp.Client{
			Dial:                open.dial,
			MaxConnsPerHost:     64,
			MaxIdleConnDuration: 10 * time.Second,
			MaxConnDuration:     time.Minute,
			MaxResponseBodySize: maxAnswer,
			// The library would turn an escaped slash of a name back into one, and ask for another path.
			DisablePathNormalizing: true,
			// A write is never sent twice by the library: its outcome is settled by reading back.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
}

// Close ends every call under way, waiting watches among them; later calls fail.
func (c *Client) Close() {
	c.conns.closeAll()
	c.http.CloseIdleConnections()
}

// Request is one call.
type Request struct {
	Method  string
	URL     string
	Body    []byte
	Headers [][2]string
	Timeout time.Duration // of the whole call; ctx's deadline binds too
}

// Answer is a whole response; the body is the caller's.
type Response struct {
	Status     int
	Body       []byte
	RetryAfter string // header, as it came
}

// Do sends one call. An error that wraps objects.ErrUnavailable says that nothing was sent; after any other
// error, the end of ctx included, the call may have taken effect.
func (c *Client) Do(ctx context.Context, q Request) (Response, error) {
	if err := ctx.Err(); err != nil {
		return Response{}, fmt.Errorf("%w: %w", objects.ErrUnavailable, err)
	}
	deadline := time.Now().Add(q.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	type outcome struct {
		answer Response
		err    error
	}
	done := make(chan outcome, 1)
	// The library can't be told to give a call up: its goroutine ends with the call's own deadline.
	go func() {
		a, err := c.send(q, deadline)
		done <- outcome{a, err}
	}()
	select {
	case o := <-done:
		return o.answer, o.err
	case <-ctx.Done():
		return Response{}, fmt.Errorf("%s %s: %w", q.Method, q.URL, ctx.Err())
	}
}

func (c *Client) send(q Request, deadline time.Time) (Response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(q.URL)
	req.Header.SetMethod(q.Method)
	for _, h := range q.Headers {
		req.Header.Set(h[0], h[1])
	}
	req.SetBody(q.Body)
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		if errors.Is(err, fasthttp.ErrDialTimeout) || isDial(err) {
			return Response{}, fmt.Errorf("%w: %w", objects.ErrUnavailable, err)
		}
		return Response{}, fmt.Errorf("%s %s: %w", q.Method, q.URL, err)
	}
	return Response{
		Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...),
		RetryAfter: string(resp.Header.Peek(fasthttp.HeaderRetryAfter)),
	}, nil
}

// isDial tells whether err came from connecting, so that nothing of the call was sent.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
