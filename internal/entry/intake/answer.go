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

// Failure is the body of every refusal and failure.
type Failure struct {
	Error        string `json:"error"` // the kind's wire name
	Run          string `json:"run"`   // no, yes or unknown
	Detail       string `json:"detail,omitempty"`
	RequestID    string `json:"request_id"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

// FailureOf gives the body for e.
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

// Refuse writes the final answer for err at once, with Retry-After where coming back makes sense.
func Refuse(ctx *fasthttp.RequestCtx, id fleet.RequestID, err error) {
	e := fault.From(err)
	body, merr := json.Marshal(NewFailure(id, e))
	if merr != nil {
		ctx.Error(merr.Error(), fasthttp.StatusInternalServerError)
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

// Mark puts request id and run outcome on an answer.
func SetOutcomeHeaders(ctx *fasthttp.RequestCtx, id fleet.RequestID, run fault.Run) {
	ctx.Response.Header.Set(wire.HeaderRequestID, string(id))
	ctx.Response.Header.Set(wire.HeaderRun, run.String())
}

// retryAfter gives whole seconds, rounded up, as the header wants them.
func retryAfter(wait time.Duration) string {
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}

// Replayed marks an answer as the recorded outcome of an earlier run.
func MarkReplayed(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(wire.HeaderReplayed, "true")
}
