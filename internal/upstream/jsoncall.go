package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// JSONCall is a call with small JSON bodies to an upstream.
type JSONCall struct {
	Addr    string
	Method  string
	Path    string
	In, Out any                            // nil: no body is sent, or the answer's body is discarded
	Timeout time.Duration                  // of the whole call, with the connecting
	Headers [][2]string                    // name and value of each
	OnHead  func(*fasthttp.ResponseHeader) // called with the answer's head; may be nil
}

// CallJSON makes a JSONCall on a connection of its own. Nothing in its answer shows which call it belongs to, so on a shared
// connection a late answer would be taken for the next one. An answer with a status other than 2xx is returned as a
// *CallError with that status.
func (c *Client) CallJSON(ctx context.Context, q JSONCall) error {
	fresh := c.withoutIdle()
	defer fresh.Close()
	return fresh.callJSON(ctx, q)
}

// callJSON makes a JSONCall on a connection of the pool, or on a new one.
func (c *Client) callJSON(ctx context.Context, q JSONCall) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + q.Addr + q.Path)
	req.Header.SetMethod(q.Method)
	for _, h := range q.Headers {
		req.Header.Set(h[0], h[1])
	}
	if q.In != nil {
		body, err := json.Marshal(q.In)
		if err != nil {
			return fmt.Errorf("encode %s %s: %w", q.Method, q.Path, err)
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	x, err := c.send(ctx, q.Addr, req, timeLimits{timeout: q.Timeout})
	if err != nil {
		return err
	}
	if q.OnHead != nil {
		q.OnHead(&x.resp.Header)
	}
	return x.readJSON(ctx, q)
}

// readJSON reads the answer of a JSONCall and finishes the exchange.
func (x *httpExchange) readJSON(ctx context.Context, q JSONCall) error {
	body, err := readBody(x)
	if err != nil {
		return x.fail(ctx, err)
	}
	if status := x.resp.StatusCode(); status < 200 || status > 299 {
		answerErr := x.answerError(errors.New(string(body)))
		x.finish(true)
		return answerErr
	}
	x.finish(true)
	if q.Out == nil {
		return nil
	}
	if err := json.Unmarshal(body, q.Out); err != nil {
		return fmt.Errorf("decode answer of %s %s: %w", q.Method, q.Path, err)
	}
	return nil
}

// smallCall makes a JSONCall without processing the head of its answer.
func (c *Client) smallCall(ctx context.Context, addr, method, path string, in, out any, timeout time.Duration, headers ...[2]string) error {
	return c.callJSON(ctx, JSONCall{Addr: addr, Method: method, Path: path, In: in, Out: out, Timeout: timeout, Headers: headers})
}
