package gateway

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// copyAnswerHead copies status and headers of an upstream's answer.
func copyAnswerHead(to, from *fasthttp.ResponseHeader) {
	to.SetStatusCode(from.StatusCode())
	if m := from.StatusMessage(); len(m) > 0 {
		to.SetStatusMessage(m)
	}
	to.SetNoDefaultContentType(true)
	named := headerTokens(from.Peek(fasthttp.HeaderConnection))
	for k, v := range from.All() {
		name := string(k)
		if name != fasthttp.HeaderContentLength && !slices.Contains(hopByHop, name) && !slices.Contains(named, name) {
			to.AddBytesKV(k, v)
		}
	}
}

// plain answers a request whose answer is held until it is whole, so that a caller never gets a part.
func (l *life) plain(ctx *fasthttp.RequestCtx) *fault.Error {
	for {
		if f := l.dispatch(""); f != nil {
			return f
		}
		l.grant.RecordFirstEvent()
		body, err := io.ReadAll(io.LimitReader(l.x, maxPlain+1))
		if err == nil && len(body) > maxPlain {
			err = fmt.Errorf("answer is over %d bytes", maxPlain)
		}
		if err == nil {
			l.pass(ctx, body)
			return nil
		}
		f := l.cut(err)
		if !l.after(f) {
			return l.verdict(f)
		}
	}
}

// pass gives the caller a whole answer.
func (l *life) pass(ctx *fasthttp.RequestCtx, body []byte) {
	copyAnswerHead(&ctx.Response.Header, &l.x.Head)
	ctx.Response.SetBodyRaw(body)
	if l.r.method == fasthttp.MethodHead {
		ctx.Response.SkipBody = true
		if n := l.x.Head.ContentLength(); n >= 0 {
			ctx.Response.Header.SetContentLength(n)
		}
	}
	status := l.x.Head.StatusCode()
	l.x.Close()
	outcome := Served
	if status >= 500 {
		outcome = Failed
	}
	l.finish(outcome, "")
	l.finished(reasonPassed, "status", status, "bytes", len(body))
}

// finished writes the last line of a request.
func (l *life) finished(reason decide.Reason, fields ...any) {
	u := fleet.UpstreamID("")
	if l.grant != nil {
		u = l.grant.Upstream().ID
	}
	line := append(l.r.terms(), "upstream", u, "attempts", l.attempts,
		"took_ms", time.Since(l.r.arrived).Milliseconds(), "left_ms", time.Until(l.r.deadline).Milliseconds())
	if l.r.streams() {
		line = append(line, "first_ms", l.first.Milliseconds(), "pause_ms", l.pause.Milliseconds())
	}
	l.g.deps.Explain.Record("answer", l.r.ID, reason, append(line, fields...)...)
}

// terms are what a request asked for, as its last line tells it: an operator sees from that line alone whether it
// was in time.
func (r *request) terms() []any {
	if r.route == nil {
		return nil
	}
	terms := []any{"class", r.class(), "prompt", r.PromptTokens, "workspace", r.workspace, "aim_ms", r.route.Aim.Milliseconds()}
	if r.streams() {
		terms = append(terms, "gap_ms", r.route.MaxGap.Milliseconds())
	}
	return terms
}
