// Package call sends single HTTP calls to a store. The clients of different protocols share it.
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
	dialTimeout      = time.Second // of a connection attempt
	maxResponseBytes = 64 << 20    // large enough for a list of many objects
)

// Client sends calls over persistent connections. It is safe for concurrent use.
type Client struct {
	http  *fasthttp.Client
	conns *connTracker
}

// New returns a Client. It connects on first use.
func New() *Client {
	open := &connTracker{open: map[*trackedConn]struct{}{}}
	return &Client{
		conns: open,
		http: &fasthttp.Client{
			Dial:                open.dial,
			MaxConnsPerHost:     64,
			MaxIdleConnDuration: 10 * time.Second,
			MaxConnDuration:     time.Minute,
			MaxResponseBodySize: maxResponseBytes,
			// With normalization, the library unescapes an escaped slash of a name and so requests another path.
			DisablePathNormalizing: true,
			// The library must not send a write again: the caller resolves its outcome by reading the object back.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
}

// Close ends all calls in flight, watches included. Later calls fail.
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
	Timeout time.Duration // of the whole call; an earlier deadline of ctx applies too
	// ReadHeader names a header of the response that the caller reads; empty: none.
	ReadHeader string
}

// Response is a complete response. The caller owns the body.
type Response struct {
	Status int
	Body   []byte
	Header string // value of Request.ReadHeader, unparsed
}

// Do sends one call. An error that wraps objects.ErrUnavailable means that nothing was sent. After any other error,
// including the end of ctx, the call may have taken effect.
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
	// The library can't cancel a call, so the goroutine may outlast Do. It ends at the call's deadline.
	go func() {
		a, err := c.roundTrip(q, deadline)
		done <- outcome{a, err}
	}()
	select {
	case o := <-done:
		return o.answer, o.err
	case <-ctx.Done():
		return Response{}, fmt.Errorf("%s %s: %w", q.Method, q.URL, ctx.Err())
	}
}

// roundTrip sends a request and waits for its response until deadline.
func (c *Client) roundTrip(q Request, deadline time.Time) (Response, error) {
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
		if errors.Is(err, fasthttp.ErrDialTimeout) || isDialError(err) {
			return Response{}, fmt.Errorf("%w: %w", objects.ErrUnavailable, err)
		}
		return Response{}, fmt.Errorf("%s %s: %w", q.Method, q.URL, err)
	}
	return Response{
		Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...),
		Header: string(resp.Header.Peek(q.ReadHeader)),
	}, nil
}

// isDialError reports whether err is a failure to connect, so that nothing of the call was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
