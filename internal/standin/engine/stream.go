package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/standin/answer"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/standin/serve"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// progress is the state of a job's answer, as far as its sender needs it.
type progress struct {
	from, to     int    // offset of the first new token, and after the last one
	finishReason string // empty while the job runs
	err          string // why the job failed
}

// keepAliveInterval is the time between two keep-alive comments on a stream without a new token, in wall-clock time.
const keepAliveInterval = 500 * time.Millisecond

// awaitTokens waits until the job has tokens from offset from on or is finished, and returns its progress. While it
// waits, it calls keepAlive every keepAliveInterval. If keepAlive returns false or the connection closes, it cancels the
// job and returns false.
func (e *Engine) awaitTokens(j *job, from int, connClosed <-chan struct{}, keepAlive func() bool) (progress, bool) {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		var p progress
		e.locked(func(time.Duration) { p = progress{from, j.offset + j.produced, j.finishReason, j.err} })
		if p.to > from || p.finishReason != "" {
			return p, true
		}
		select {
		case <-j.updated:
		case <-ticker.C:
			if keepAlive() {
				continue
			}
			e.locked(func(time.Duration) { e.cancel(j) })
			return p, false
		case <-connClosed:
			e.locked(func(time.Duration) { e.cancel(j) })
			return p, false
		}
	}
}

// sendAnswer waits until the job is finished and sends its answer in one piece.
func (e *Engine) sendAnswer(ctx *fasthttp.RequestCtx, j *job, model string) {
	connClosed := serve.ConnDone(ctx)
	p, ok := progress{to: j.offset}, true
	for p.finishReason == "" && ok {
		p, ok = e.awaitTokens(j, p.to, connClosed, func() bool { return true })
	}
	e.faults.WaitDelay(faults.SlowFirstByte, connClosed)
	switch {
	case !ok || e.faults.On(faults.LoseAnswer):
		serve.CloseConn(ctx)
	case p.finishReason == finishError:
		serve.JSON(ctx, fasthttp.StatusBadGateway, wire.Refusal{Error: p.err})
	default:
		serve.JSON(ctx, fasthttp.StatusOK, wire.CompletionAnswer{
			ID: j.id, Model: model, Text: answer.Range(j.id, j.offset, p.to), Tokens: p.to - j.offset, FinishReason: p.finishReason,
		})
	}
}

// sendStream sends the job's answer as server-sent events. It cancels the job if the stream ends without the event
// [DONE].
func (e *Engine) sendStream(ctx *fasthttp.RequestCtx, j *job) {
	ctx.SetContentType("text/event-stream")
	connClosed, conn := serve.ConnDone(ctx), ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		if !e.writeParts(w, j, connClosed, conn) {
			e.locked(func(time.Duration) { e.cancel(j) })
		}
	})
}

// writeParts writes the parts of the job's answer as they become available, with the faults of parts applied, and then
// the event [DONE]. It returns false if the stream ends without that event, because of a fault or because the connection
// failed.
func (e *Engine) writeParts(w *bufio.Writer, j *job, connClosed <-chan struct{}, conn net.Conn) bool {
	injector := partInjector{faults: e.faults, id: j.id, maxTokens: j.maxTokens, startOffset: j.offset}
	p, ok := progress{to: j.offset}, true
	keepAlive := func() bool { return e.faults.On(faults.LoseAnswer) || writeKeepAlive(w) }
	if !keepAlive() {
		return false
	}
	first := true
	for p.finishReason == "" {
		if p, ok = e.awaitTokens(j, p.to, connClosed, keepAlive); !ok {
			return false
		}
		if first {
			e.faults.WaitDelay(faults.SlowFirstByte, connClosed)
			first = false
		}
		if e.faults.On(faults.LoseAnswer) {
			if p.finishReason != "" {
				_ = conn.Close()
				return false
			}
			continue
		}
		for _, part := range injector.inject(newPart(j.id, p)) {
			if err := writeEvent(w, part); err != nil {
				return false
			}
		}
		if injector.truncated {
			return false
		}
	}
	_, err := fmt.Fprintf(w, "data: %s\n\n", wire.DoneMark)
	return err == nil && w.Flush() == nil
}

// writeKeepAlive writes a comment line to a stream and reports whether that succeeded. The first one sends the response
// header at once. The later ones let a reader distinguish a long computation from a dead connection.
func writeKeepAlive(w *bufio.Writer) bool {
	_, err := w.WriteString(": working\n\n")
	return err == nil && w.Flush() == nil
}

// newPart returns the part of the answer that holds the new tokens of p.
func newPart(id string, p progress) wire.Part {
	return wire.Part{
		ID: id, Offset: p.from, Tokens: p.to - p.from, Text: answer.Range(id, p.from, p.to),
		FinishReason: p.finishReason, Error: p.err,
	}
}

// writeEvent writes one part as a server-sent event.
func writeEvent(w *bufio.Writer, part wire.Part) error {
	data, err := json.Marshal(part)
	if err != nil {
		return fmt.Errorf("encode part: %w", err)
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return fmt.Errorf("write part: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("flush part: %w", err)
	}
	return nil
}
