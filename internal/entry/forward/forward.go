// Package forward turns a caller's request for a plain service into the request that goes to one of the
// service's instances, and that one's answer into the caller's.
package forward

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/entry/intake"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Target is a plain-service call as its caller made it.
type Target struct {
	Service     string
	Method      string
	PathQuery   string // below the service, with the query
	ContentType string
	Body        []byte // a copy of the caller's
}

// TargetOf reads the call out of a request on /services/{service}/{path:*}.
func TargetOf(ctx *fasthttp.RequestCtx) Target {
	service, _ := ctx.UserValue("service").(string)
	path, _ := ctx.UserValue("path").(string)
	if q := ctx.QueryArgs().QueryString(); len(q) > 0 {
		path += "?" + string(q)
	}
	return Target{
		Service: service, Method: string(ctx.Method()), PathQuery: "/" + path,
		ContentType: string(ctx.Request.Header.ContentType()),
		Body:        append([]byte(nil), ctx.PostBody()...),
	}
}

// Fill writes the call into req for the instance at addr.
func (t Target) Fill(req *fasthttp.Request, addr string, m intake.Meta, attempt int, remaining time.Duration) {
	req.SetRequestURI("http://" + addr + t.PathQuery)
	h := &req.Header
	h.SetMethod(t.Method)
	if t.ContentType != "" {
		h.SetContentType(t.ContentType)
	}
	h.Set(wire.HeaderRequestID, string(m.ID))
	h.Set(wire.HeaderWorkspace, string(m.Workspace))
	h.Set(wire.HeaderAttempt, strconv.Itoa(attempt))
	h.Set(wire.HeaderRemaining, strconv.FormatInt(remaining.Milliseconds(), 10))
	if m.IdempotencyKey != "" {
		h.Set(wire.HeaderIdempotencyKey, m.IdempotencyKey)
	}
	req.SetBodyRaw(t.Body)
}

// Respond writes a service's answer to the caller.
func Respond(ctx *fasthttp.RequestCtx, m intake.Meta, a upstream.Answer) {
	ctx.SetStatusCode(a.Status)
	if a.ContentType != "" {
		ctx.SetContentType(a.ContentType)
	}
	intake.Mark(ctx, m.ID, Ran(a))
	ctx.SetBody(a.Body)
}

// Ran tells whether a call ran whose answer is a. An error of the service's own leaves that open: it may
// have come before, in or after the work.
func Ran(a upstream.Answer) fault.Run {
	if a.Status >= fasthttp.StatusInternalServerError {
		return fault.RunUnknown
	}
	return fault.RunYes
}
