package gateway

import (
	"fmt"
	"io"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/crash"
	"github.com/damaskshelf/damaskshelf/internal/entry/callerconn"
)

// sendUnframed sends the stream to a caller that knows no chunks. Such a caller takes the end of its connection for the
// end of the stream, so a stream that can't be finished ends with a reset.
func (s *streamBody) sendUnframed(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.SetConnectionClose()
	head := append([]byte(nil), ctx.Response.Header.Header()...)
	caller, resettable := ctx.Conn().(*callerconn.Conn)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		defer func() { _ = s.Close() }()
		err := s.copyTo(c, head)
		if resettable && err != nil {
			_ = caller.Reset()
		}
	})
}

// copyTo writes the head and the stream. The HTTP server recovers from panics in its own goroutines only.
func (s *streamBody) copyTo(w io.Writer, head []byte) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			s.l.g.log.Error("panic", "request", s.l.r.ID, "cause", cause, "stack", crash.Stack())
			err = fmt.Errorf("panic: %v", cause)
		}
	}()
	if _, err := w.Write(head); err != nil {
		return err
	}
	_, err = io.Copy(w, s)
	return err
}
