// Package httpanswer sees to it that each answer of an HTTP server is one that its handler chose. The HTTP library takes a
// handler that returns without a word for one that answers with success, and sends an empty 200.
package httpanswer

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// noStatus is the status of an answer until its handler sets one. It has more digits than a status has on the wire, so that no
// handler sets it.
const noStatus = 1000

// Explicit wraps next so that only answers whose status next has set are sent. For any other request it calls onMissing and
// closes the connection without an answer, which promises nothing. next must recover from its panics.
func Explicit(next, onMissing fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(noStatus)
		next(ctx)
		if ctx.Response.StatusCode() == noStatus && !ctx.Hijacked() {
			onMissing(ctx)
			Cut(ctx)
		}
	}
}

// OK answers with success and a body of plain text.
func OK(ctx *fasthttp.RequestCtx, body []byte) {
	ctx.SetStatusCode(fasthttp.StatusOK)
	ctx.SetBody(body)
}

// NoContent answers with success and no body.
func NoContent(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusNoContent) }

// FlushWhenComplete makes the server write the answer as soon as it is complete. Otherwise it keeps the answer until it has handled the
// caller's next request, if that has come already. The server's own write timeout doesn't apply to the answer: the connection
// has to set a deadline with each write, as a callerconn.Conn does.
func FlushWhenComplete(ctx *fasthttp.RequestCtx) {
	// The server flushes an answer whose handler has set a deadline. It fails on a closed connection only.
	_ = ctx.SetWriteDeadline(time.Time{})
}

// Cut closes the connection of a request without an answer.
func Cut(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {}) // the library closes the connection when this returns
}
