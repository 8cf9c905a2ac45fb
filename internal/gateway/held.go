package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/bodyread"
	"github.com/damaskshelf/damaskshelf/internal/fault"
)

// heldBytes counts the bytes of bodies that the instance holds for callers and upstreams, and bounds them. Without the
// bound, callers that read slowly keep their long prompts here until the process is over its memory and ends, with the
// requests of all others. It is safe for concurrent use.
type heldBytes struct {
	limit int64 // 0: no bound
	held  atomic.Int64
	gauge gometrics.Gauge
}

// acquire counts n bytes if they fit under the limit, and reports whether they do.
func (h *heldBytes) acquire(n int64) bool { return h.acquireUpTo(h.limit, n) }

// acquireUpTo counts n bytes if they fit under another limit, and reports whether they do. A limit of 0 is no bound.
func (h *heldBytes) acquireUpTo(limit, n int64) bool {
	if total := h.held.Add(n); limit > 0 && total > limit {
		h.held.Add(-n)
		return false
	}
	h.gauge.Update(h.held.Load())
	return true
}

// add counts n bytes, also over the limit. A negative n ends a count.
func (h *heldBytes) add(n int64) { h.gauge.Update(h.held.Add(n)) }

// chunkedStep is how many bytes of a body of unknown length are counted, before they are read, at a time.
const chunkedStep = 64 << 10

// noBody is the length that the HTTP library gives a request whose head states neither a length nor chunks.
const noBody = -2

// readBody reads the request's body. r.held bytes are counted for it until the request ends. A body that doesn't fit is
// refused before it is read: another instance may have room.
func (g *Gateway) readBody(ctx *fasthttp.RequestCtx, r *request) *fault.Error {
	length := int64(ctx.Request.Header.ContentLength())
	if length > int64(g.deps.Limits.MaxBodyBytes) {
		return g.bodyTooLarge()
	}
	stream := ctx.RequestBodyStream()
	if length == 0 || length == noBody {
		return nil
	}
	if stream == nil {
		return fault.New(fault.Internal, "body: the HTTP library has read it")
	}
	var err error
	if length > 0 {
		r.body, err = g.readSizedBody(stream, r, length)
	} else {
		r.body, err = g.readChunkedBody(stream, r)
	}
	return g.bodyFault(ctx, err)
}

// readSizedBody reads a body of a known length.
func (g *Gateway) readSizedBody(stream io.Reader, r *request, length int64) ([]byte, error) {
	if !g.hold(r, length) {
		return nil, bodyread.ErrNoRoom
	}
	body := make([]byte, length)
	_, err := io.ReadFull(stream, body)
	return body, err
}

// readChunkedBody reads a body of unknown length.
func (g *Gateway) readChunkedBody(stream io.Reader, r *request) ([]byte, error) {
	body, err := bodyread.InSteps(stream, chunkedStep, g.deps.Limits.MaxBodyBytes, func(step int64) bool { return g.hold(r, step) })
	if errors.Is(err, bodyread.ErrTooLong) {
		err = fasthttp.ErrBodyTooLarge
	}
	return body, err
}

// hold counts n more bytes for a request, and reports whether they fit.
func (g *Gateway) hold(r *request, n int64) bool {
	if !g.held.acquire(n) {
		return false
	}
	r.held += n
	return true
}

// The lengths up to which an answer is read although the instance holds as many bytes as it may: an answer that is ready is
// delivered, and new requests are refused instead. What goes on may be bytes without end, and many such answers together must not
// take the process's memory.
const (
	maxSmallAnswerBytes = 32 << 10 // in any case
	maxFreeAnswerBytes  = 1 << 20  // while the instance holds at most answerShare times as many bytes as it may
	answerShare         = 1.5
)

// answerBytes counts the bytes that an instance holds of one answer. The zero value counts nothing.
type answerBytes struct {
	total *heldBytes
	held  int64
}

// acquire counts n more bytes if they fit, and reports whether they do.
func (a *answerBytes) acquire(n int64) bool {
	switch held := a.held + n; {
	case held <= maxSmallAnswerBytes:
		a.total.add(n)
	case held <= maxFreeAnswerBytes:
		if !a.total.acquireUpTo(int64(answerShare*float64(a.total.limit)), n) {
			return false
		}
	case !a.total.acquire(n):
		return false
	}
	a.held += n
	return true
}

// release ends the count.
func (a *answerBytes) release() {
	if a.held > 0 {
		a.total.add(-a.held)
		a.held = 0
	}
}

// answerStep is how many bytes of an answer of unknown length are counted first.
const answerStep = 4 << 10

// readPlainAnswer reads an answer that is buffered until it is complete. Its bytes are counted, before they are read, until the
// request ends.
func (l *lifecycle) readPlainAnswer() ([]byte, error) {
	if n := l.exchange.Head.ContentLength(); n > maxPlainBytes && l.r.method != fasthttp.MethodHead {
		return nil, fmt.Errorf("answer of %d bytes: at most %d are allowed: %w", n, maxPlainBytes, bodyread.ErrTooLong)
	}
	firstStep := answerStep
	if n := l.exchange.Head.ContentLength(); n >= 0 {
		firstStep = min(n+1, chunkedStep) // one more, so that the end is found without another step
	}
	held := answerBytes{total: &l.g.held}
	body, err := bodyread.InSteps(watchedBody{l}, firstStep, maxPlainBytes, held.acquire)
	if err != nil {
		held.release()
		return nil, err
	}
	l.r.held += held.held
	return body, nil
}

// maxRawBody is the length in bytes up to which a plain answer's count may end before the caller has read the answer.
const maxRawBody = 16 << 10

// setPlainBody makes body the body of the answer to the caller. The HTTP server writes it after the request has ended here.
// A long one stays counted until then, because a caller that reads slowly keeps it in memory.
func (l *lifecycle) setPlainBody(ctx *fasthttp.RequestCtx, body []byte) {
	if len(body) <= maxRawBody {
		ctx.Response.SetBodyRaw(body)
		return
	}
	n := int64(cap(body))
	l.r.held -= n
	ctx.Response.SetBodyStream(&heldBody{Reader: bytes.NewReader(body), release: func() { l.g.held.add(-n) }}, len(body))
}

// heldBody is the body of an answer whose bytes are counted until the HTTP server closes it.
type heldBody struct {
	io.Reader
	once    sync.Once
	release func()
}

// Close implements io.Closer.
func (b *heldBody) Close() error {
	b.once.Do(b.release)
	return nil
}

// releaseHeld ends the count of a request's bytes.
func (g *Gateway) releaseHeld(r *request) {
	g.held.add(-r.held)
	r.held = 0
}

// bodyTooLarge returns the fault of a body over the limit.
func (g *Gateway) bodyTooLarge() *fault.Error {
	return fault.New(fault.BodyTooLarge, "body: allowed: at most %d bytes", g.deps.Limits.MaxBodyBytes)
}

// slowCaller returns the fault of a request that doesn't arrive within the read timeout.
func (g *Gateway) slowCaller() *fault.Error {
	return fault.New(fault.SlowCaller, "request: not whole after %s", g.deps.Limits.ReadTimeout)
}

// bodyEnd returns what shows the end of a request's body.
func bodyEnd(ctx *fasthttp.RequestCtx) string {
	if n := ctx.Request.Header.ContentLength(); n >= 0 {
		return fmt.Sprintf("%d bytes", n)
	}
	return "last chunk"
}

// bodyFault returns the fault of a body that could not be read, or nil. After a fault the connection is closed, because
// the rest of the body may never come.
func (g *Gateway) bodyFault(ctx *fasthttp.RequestCtx, err error) *fault.Error {
	var ne net.Error
	switch {
	case err == nil:
		return nil
	case errors.Is(err, bodyread.ErrNoRoom):
		return fault.New(fault.InstanceFull, "%v", err)
	}
	ctx.SetConnectionClose()
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return g.bodyTooLarge()
	case errors.As(err, &ne) && ne.Timeout():
		return g.slowCaller()
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return fault.New(fault.BadRequest, "body: ended before its %s", bodyEnd(ctx))
	default:
		return fault.New(fault.BadRequest, "body: %v", err)
	}
}
