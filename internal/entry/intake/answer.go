package intake

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Failure is the JSON body of every error answer.
type Failure struct {
	Error        string `json:"error"` // the kind's wire name
	Run          string `json:"run"`   // no, yes or unknown
	Detail       string `json:"detail,omitempty"`
	RequestID    string `json:"request_id"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

// NewFailure returns the body for e. Causes of internal errors are left out.
func NewFailure(id fleet.RequestID, e *fault.Error) Failure {
	detail := e.Detail
	if e.Cause != nil && e.Kind != fault.Internal {
		detail += ": " + e.Cause.Error()
	}
	return Failure{
		Error: e.Kind.String(), Run: e.Run.String(), Detail: detail, RequestID: string(id),
		RetryAfterMs: e.RetryDelay().Milliseconds(),
	}
}

// Refuse replaces the response by the error answer for err, with a Retry-After header if a retry makes sense.
func Refuse(ctx *fasthttp.RequestCtx, id fleet.RequestID, err error) {
	e := fault.From(err)
	body, encodeErr := json.Marshal(NewFailure(id, e))
	if encodeErr != nil {
		ctx.Error(encodeErr.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(e.Kind.Rule().Status)
	ctx.SetContentType("application/json")
	SetOutcomeHeaders(ctx, id, e.Run)
	if wait := e.RetryDelay(); wait > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter(wait))
	}
	ctx.SetBody(body)
}

// SetOutcomeHeaders sets the response headers for the request id and the run outcome.
func SetOutcomeHeaders(ctx *fasthttp.RequestCtx, id fleet.RequestID, run fault.Run) {
	ctx.Response.Header.Set(wire.HeaderRequestID, string(id))
	ctx.Response.Header.Set(wire.HeaderRun, run.String())
}

// retryAfter formats wait for the Retry-After header, in whole seconds, rounded up.
func retryAfter(wait time.Duration) string {
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}

// MarkReplayed sets the response header that marks the answer as the recorded outcome of an earlier run.
func MarkReplayed(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(wire.HeaderReplayed, "true")
}
