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

// progress is how far a job is.
type progress struct {
	from, to int // tokens of the answer that are new
	finish   string
	err      string
}

// workingEvery is the time between two comments on a stream without a new token, by the clock on the wall.
const workingEvery = 500 * time.Millisecond

// await waits until the job has more than the tokens up to from, or is over; working is called now and
// then while it waits. It gives false, and cancels the job, when the connection is gone.
func (e *Engine) await(j *job, from int, gone <-chan struct{}, working func() bool) (progress, bool) {
	tick := time.NewTicker(workingEvery)
	defer tick.Stop()
	for {
		var p progress
		e.locked(func(time.Duration) { p = progress{from, j.offset + j.produced, j.finish, j.err} })
		if p.to > from || p.finish != "" {
			return p, true
		}
		select {
		case <-j.more:
		case <-tick.C:
			if working() {
				continue
			}
			e.locked(func(time.Duration) { e.cancel(j) })
			return p, false
		case <-gone:
			e.locked(func(time.Duration) { e.cancel(j) })
			return p, false
		}
	}
}

// whole answers a request without stream.
func (e *Engine) whole(ctx *fasthttp.RequestCtx, j *job, model string) {
	gone := serve.Gone(ctx)
	p, ok := progress{to: j.offset}, true
	for p.finish == "" && ok {
		p, ok = e.await(j, p.to, gone, func() bool { return true })
	}
	e.faults.WaitDelay(faults.SlowFirstByte, gone)
	switch {
	case !ok || e.faults.On(faults.LoseAnswer):
		serve.Drop(ctx)
	case p.finish == finishError:
		serve.JSON(ctx, fasthttp.StatusBadGateway, wire.Refusal{Error: p.err})
	default:
		serve.JSON(ctx, fasthttp.StatusOK, wire.CompletionAnswer{
			ID: j.id, Model: model, Text: answer.Range(j.id, j.offset, p.to), Tokens: p.to - j.offset, FinishReason: p.finish,
		})
	}
}

// stream answers a request by server-sent events.
func (e *Engine) stream(ctx *fasthttp.RequestCtx, j *job) {
	ctx.SetContentType("text/event-stream")
	gone, conn := serve.Gone(ctx), ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		if !e.writeParts(w, j, gone, conn) {
			e.locked(func(time.Duration) { e.cancel(j) })
		}
	})
}

// writeParts writes the job's parts as they come. It gives false when the answer could not be sent.
func (e *Engine) writeParts(w *bufio.Writer, j *job, gone <-chan struct{}, conn net.Conn) bool {
	mangle := mangler{faults: e.faults, id: j.id, max: j.max, first: j.offset}
	p, ok := progress{to: j.offset}, true
	working := func() bool { return e.faults.On(faults.LoseAnswer) || writeWorking(w) }
	if !working() {
		return false
	}
	first := true
	for p.finish == "" {
		if p, ok = e.await(j, p.to, gone, working); !ok {
			return false
		}
		if first {
			e.faults.WaitDelay(faults.SlowFirstByte, gone)
			first = false
		}
		if e.faults.On(faults.LoseAnswer) {
			if p.finish != "" {
				_ = conn.Close()
				return false
			}
			continue
		}
		for _, part := range mangle.parts(partOf(j.id, p)) {
			if err := writeEvent(w, part); err != nil {
				return false
			}
		}
		if mangle.ended {
			return false
		}
	}
	_, err := fmt.Fprintf(w, "data: %s\n\n", wire.DoneMark)
	return err == nil && w.Flush() == nil
}

// writeWorking writes a comment: the head of the answer goes out at once, and a reader can tell a long
// computation from a dead connection.
func writeWorking(w *bufio.Writer) bool {
	_, err := w.WriteString(": working\n\n")
	return err == nil && w.Flush() == nil
}

func partOf(id string, p progress) wire.Part {
	return wire.Part{
		ID: id, Offset: p.from, Tokens: p.to - p.from, Text: answer.Range(id, p.from, p.to),
		FinishReason: p.finish, Error: p.err,
	}
}

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
