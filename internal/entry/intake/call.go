package intake

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Call is a call of a plain service as received from the caller.
type Call struct {
	Service     string
	Method      string
	PathQuery   string // path below the service, with the query
	ContentType string
	Body        []byte // a copy; the request's buffer is reused
}

// ReadCall returns the call in a request to /services/{service}/{path:*}.
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

// Fill fills req with the call, for the service instance at addr. attempt and remaining go into headers, the latter in
// milliseconds.
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

// Respond writes the answer of a service as the response to the caller.
func Respond(ctx *fasthttp.RequestCtx, m Meta, a upstream.Answer) {
	ctx.SetStatusCode(a.Status)
	if a.ContentType != "" {
		ctx.SetContentType(a.ContentType)
	}
	SetOutcomeHeaders(ctx, m.ID, RunOutcome(a))
	ctx.SetBody(a.Body)
}

// RunOutcome returns whether the call with answer a ran. It is unknown for a server error, which the service may have
// returned before, during or after the work.
func RunOutcome(a upstream.Answer) fault.Run {
	if a.Status >= fasthttp.StatusInternalServerError {
		return fault.RunUnknown
	}
	return fault.RunYes
}
