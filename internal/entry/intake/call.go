package intake

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Call is a plain-service call as its caller made it.
type Call struct {
	Service     string
	Method      string
	PathQuery   string // below the service, with the query
	ContentType string
	Body        []byte // a copy of the caller's
}

// CallOf reads the call out of a request on /services/{service}/{path:*}.
func ReadCall(ctx *fasthttp.RequestCtx) Call {
	service, _ := ctx.UserValue("service").(string)
	path, _ := ctx.UserValue("path").(string)
	if q := ctx.QueryArgs().QueryString(); len(q) > 0 {
		path += "?" + string(q)
	}
	return Call{
		Service: service, Method: string(ctx.Method()), PathQuery: "/" + path,
		ContentType: string(ctx.Request.Header.ContentType()),
		Body:        append([]byte(nil), ctx.PostBody()...),
	}
}

// Fill writes the call into req for the instance at addr.
func (c Call) Fill(req *fasthttp.Request, addr string, m Meta, attempt int, remaining time.Duration) {
	req.SetRequestURI("http://" + addr + c.PathQuery)
	h := &req.Header
	h.SetMethod(c.Method)
	if c.ContentType != "" {
		h.SetContentType(c.ContentType)
	}
	h.Set(wire.HeaderRequestID, string(m.ID))
	h.Set(wire.HeaderWorkspace, string(m.Workspace))
	h.Set(wire.HeaderAttempt, strconv.Itoa(attempt))
	h.Set(wire.HeaderRemaining, strconv.FormatInt(remaining.Milliseconds(), 10))
	if m.IdempotencyKey != "" {
		h.Set(wire.HeaderIdempotencyKey, m.IdempotencyKey)
	}
	req.SetBodyRaw(c.Body)
}

// Respond writes a service's answer to the caller.
func Respond(ctx *fasthttp.RequestCtx, m Meta, a upstream.Answer) {
	ctx.SetStatusCode(a.Status)
	if a.ContentType != "" {
		ctx.SetContentType(a.ContentType)
	}
	SetOutcomeHeaders(ctx, m.ID, RunOutcome(a))
	ctx.SetBody(a.Body)
}

// Ran tells whether a call ran whose answer is a. An error of the service's own leaves that open: it may
// have come before, in or after the work.
func RunOutcome(a upstream.Answer) fault.Run {
	if a.Status >= fasthttp.StatusInternalServerError {
		return fault.RunUnknown
	}
	return fault.RunYes
}
