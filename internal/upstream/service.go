package upstream

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"
)

// Answer is the complete answer of a plain service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call sends req to a plain service and reads the complete answer within timeout. Only the path of the request's URI
// matters. An error answer of the service is returned as an Answer, unless the service reported that it did not
// start.
func (c *Client) Call(ctx context.Context, addr string, req *fasthttp.Request, timeout time.Duration) (Answer, error) {
	x, err := c.send(ctx, addr, req, timeLimits{timeout: timeout})
	if err != nil {
		return Answer{}, err
	}
	body, err := readBody(x)
	if err != nil {
		return Answer{}, x.fail(ctx, err)
	}
	a := Answer{Status: x.resp.StatusCode(), ContentType: string(x.resp.Header.ContentType()), Body: body}
	answerErr := x.answerError(errors.New("service did not start"))
	x.finish(true)
	if answerErr.NotStarted {
		return Answer{}, answerErr
	}
	return a, nil
}

// CallNewConnection does what Call does on a new connection. It is for calls that must not be repeated: a pooled
// connection may be dead without notice, and the first byte written to it would leave the outcome unknown.
func (c *Client) CallNewConnection(ctx context.Context, addr string, req *fasthttp.Request, timeout time.Duration) (Answer, error) {
	fresh := c.withoutIdle()
	defer fresh.Close()
	return fresh.Call(ctx, addr, req, timeout)
}
