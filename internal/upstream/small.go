package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// SmallCall is a call with small JSON bodies to an upstream.
type JSONCall struct {
	Addr    string
	Method  string
	Path    string
	In, Out any // nil: no body sent, answer dropped
	Timeout time.Duration
	Headers [][2]string
	OnHead  func(*fasthttp.ResponseHeader) // takes the answer's head; nil: nobody does
}

// JSON makes a small call. A *CallError holds the status of an answer that is no success.
func (c *Client) CallJSON(ctx context.Context, q JSONCall) error {
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
	x, err := c.send(ctx, q.Addr, req, bounds{wait: q.Timeout})
	if err != nil {
		return err
	}
	if q.OnHead != nil {
		q.OnHead(&x.resp.Header)
	}
	return x.take(ctx, q)
}

// take reads a small call's answer and finishes the exchange.
func (x *exchange) take(ctx context.Context, q JSONCall) error {
	body, err := readBody(x)
	if err != nil {
		return x.fail(ctx, err)
	}
	if status := x.resp.StatusCode(); status < 200 || status > 299 {
		refused := x.refusal(errors.New(string(body)))
		x.finish(true)
		return refused
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

// json makes a small call without looking at its answer's head.
func (c *Client) json(ctx context.Context, addr, method, path string, in, out any, wait time.Duration, headers ...[2]string) error {
	return c.CallJSON(ctx, JSONCall{Addr: addr, Method: method, Path: path, In: in, Out: out, Timeout: wait, Headers: headers})
}
