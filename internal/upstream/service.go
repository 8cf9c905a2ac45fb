package upstream

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"
)

// Answer is a plain service's whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call sends req, whose URI has the path only of interest, to a plain service and reads the whole answer
// within wait. An error answer of the service is an Answer, unless the service said that it did not start.
func (c *Client) Call(ctx context.Context, addr string, req *fasthttp.Request, wait time.Duration) (Answer, error) {
	x, err := c.send(ctx, addr, req, bounds{wait: wait})
	if err != nil {
		return Answer{}, err
	}
	body, err := readBody(x)
	if err != nil {
		return Answer{}, x.fail(ctx, err)
	}
	a := Answer{Status: x.resp.StatusCode(), ContentType: string(x.resp.Header.ContentType()), Body: body}
	refused := x.refusal(errors.New("service did not start"))
	x.finish(true)
	if refused.NotStarted {
		return Answer{}, refused
	}
	return a, nil
}

// CallFresh is Call over a new connection. A call that may not be repeated doesn't use a pooled one: that
// may have died unnoticed, and the first byte written to it would leave the outcome unknown for nothing.
func (c *Client) CallNewConnection(ctx context.Context, addr string, req *fasthttp.Request, wait time.Duration) (Answer, error) {
	fresh := &Client{pool: newPool()}
	defer fresh.Close()
	return fresh.Call(ctx, addr, req, wait)
}
