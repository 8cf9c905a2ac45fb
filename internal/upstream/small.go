package upstream

import (
	"context"
	"time"
)

// SmallCall is a call with small JSON bodies to an upstream.
type SmallCall struct {
	Addr    string
	Method  string
	Path    string
	In, Out any // nil: no body sent, answer dropped
	Wait    time.Duration
	Headers [][2]string
}

// JSON makes a small call. A *CallError holds the status of an answer that is no success.
func (c *Client) JSON(ctx context.Context, q SmallCall) error {
	headers := make([]header, len(q.Headers))
	for i, h := range q.Headers {
		headers[i] = header{h[0], h[1]}
	}
	return c.json(ctx, q.Addr, q.Method, q.Path, q.In, q.Out, q.Wait, headers...)
}
