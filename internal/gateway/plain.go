package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/entry/callerconn"
	"github.com/damaskshelf/damaskshelf/internal/fault"
)

// copyAnswerHead copies status and headers of an upstream's answer, except for headers that concern its connection
// and the body's length.
func copyAnswerHead(to, from *fasthttp.ResponseHeader, d Dialect) {
	to.SetStatusCode(from.StatusCode())
	if m := from.StatusMessage(); len(m) > 0 {
		to.SetStatusMessage(m)
	}
	to.SetNoDefaultContentType(true)
	listed := connectionHeaders(from.PeekAll(fasthttp.HeaderConnection), d)
	for k, v := range from.All() {
		if !equalsFold(k, fasthttp.HeaderContentLength) && !concernsConnection(k, listed) {
			to.AddBytesKV(k, v)
		}
	}
}

// servePlain handles a request whose answer is buffered until it is complete, so that a caller never receives a
// part.
func (l *lifecycle) servePlain(ctx *fasthttp.RequestCtx) *fault.Error {
	for {
		if f := l.dispatch(""); f != nil {
			return f
		}
		l.recordFirstEvent()
		body, err := l.readPlainAnswer()
		if err == nil {
			l.passOn(ctx, body)
			return nil
		}
		f := l.endBrokenAnswer(err)
		if !l.decideRetry(f) {
			return l.finalFault(f)
		}
	}
}

// passOn passes a complete answer on to the caller and releases the grant.
func (l *lifecycle) passOn(ctx *fasthttp.RequestCtx, body []byte) {
	copyAnswerHead(&ctx.Response.Header, &l.exchange.Head, l.g.deps.Dialect)
	l.setPlainBody(ctx, body)
	callerconn.SetBodyLength(ctx.Conn(), len(body))
	if l.r.method == fasthttp.MethodHead {
		ctx.Response.SkipBody = true
		if n := l.exchange.Head.ContentLength(); n >= 0 {
			ctx.Response.Header.SetContentLength(n)
		}
	}
	status, framing := l.exchange.Head.StatusCode(), l.exchange.Framing
	l.exchange.Close()
	outcome := Served
	if status >= 500 {
		outcome = Failed
	}
	l.releaseGrant(outcome, "")
	l.recordAnswer(reasonPassedOn, "status", status, "bytes", len(body), "framing", framing)
}

// recordAnswer writes the last log line of a request.
func (l *lifecycle) recordAnswer(reason decide.Reason, fields ...any) {
	line := append(l.r.logFields(), "upstream", l.lastUpstream(), "attempts", l.attempts,
		"took_ms", time.Since(l.r.arrived).Milliseconds(), "left_ms", time.Until(l.r.deadline).Milliseconds())
	if l.r.isStream() {
		line = append(line, "first_ms", l.firstEventDelay.Milliseconds(), "pause_ms", l.longestPause.Milliseconds())
	}
	l.g.deps.Explain.Record("answer", l.r.ID, reason, append(line, fields...)...)
}

// logFields returns what the request asked for as fields of its last log line. They show from that line alone
// whether the answer was in time.
func (r *request) logFields() []any {
	if r.route == nil {
		return nil
	}
	fields := []any{"class", r.class(), "prompt", r.PromptTokens, "workspace", r.workspace, "aim_ms", r.route.TargetLatency.Milliseconds()}
	if r.isStream() {
		fields = append(fields, "gap_ms", r.route.MaxGap.Milliseconds())
	}
	return fields
}
