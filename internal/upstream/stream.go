package upstream

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Completion is one dispatch of a prompt to an engine.
type Completion struct {
	RequestID    string
	Workspace    string
	Priority     int
	Attempt      int
	Remaining    time.Duration // until the request's deadline
	Reservation  string        // id of the reservation on the engine; empty: none
	Group        string        // reservations on other engines for the same request, in the format of wire.HeaderGroup
	ResumeOffset int           // index of the first token that is still needed
	Body         []byte
}

// Stream is the answer to a Completion, read part by part.
type Stream struct {
	ctx      context.Context
	exchange *httpExchange
	parts    *partReader
	closed   bool
}

// Complete sends a prompt and waits for the head of the answer, which an engine sends at once.
func (c *Client) Complete(ctx context.Context, addr string, q Completion, silence SilenceLimits) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + addr + wire.PathCompletions)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	h := &req.Header
	h.Set(wire.HeaderRequestID, q.RequestID)
	h.Set(wire.HeaderWorkspace, q.Workspace)
	h.Set(wire.HeaderPriority, strconv.Itoa(q.Priority))
	h.Set(wire.HeaderAttempt, strconv.Itoa(q.Attempt))
	h.Set(wire.HeaderRemaining, strconv.FormatInt(q.Remaining.Milliseconds(), 10))
	if q.Reservation != "" {
		h.Set(wire.HeaderReservation, q.Reservation)
	}
	if q.Group != "" {
		h.Set(wire.HeaderGroup, q.Group)
	}
	if q.ResumeOffset > 0 {
		h.Set(wire.HeaderResumeOffset, strconv.Itoa(q.ResumeOffset))
	}
	req.SetBodyRaw(q.Body)
	x, err := c.send(ctx, addr, req, timeLimits{silence: &silence})
	if err != nil {
		return nil, err
	}
	if x.resp.StatusCode() != fasthttp.StatusOK {
		body, rerr := readBody(x)
		answerErr := x.answerError(errors.New(string(body)))
		x.finish(rerr == nil)
		return nil, answerErr
	}
	return &Stream{ctx: ctx, exchange: x, parts: newPartReader(x.resp.BodyStream())}, nil
}

// BootID returns the boot id that the engine had when it answered.
func (s *Stream) BootID() string { return string(s.exchange.resp.Header.Peek(wire.HeaderBootID)) }

// Next returns the next part. An engine that computes without a new token sends a comment line from time to time, so
// that silence indicates a dead connection and not a long prompt. Next returns io.EOF only after the stream's last
// event. Any other error is a *CallError and ends the stream.
func (s *Stream) Next() (wire.Part, error) {
	if s.closed {
		return wire.Part{}, io.EOF
	}
	p, err := s.parts.next()
	if err == nil || errors.Is(err, io.EOF) {
		return p, err
	}
	s.closed = true
	return wire.Part{}, s.exchange.fail(s.ctx, err)
}

// doneMarkTimeout bounds the wait for the event after the last part. A connection on which it doesn't arrive is not
// used again.
const doneMarkTimeout = 50 * time.Millisecond

// Finish reads the rest of the stream after the last part and closes the stream. It returns the number of unexpected
// parts. A connection whose stream ends regularly is used again.
func (s *Stream) Finish() int {
	if s.closed {
		return 0
	}
	s.closed = true
	s.exchange.stopGuard(doneMarkTimeout)
	extraParts := 0
	for {
		if _, err := s.parts.next(); err != nil {
			s.exchange.finish(errors.Is(err, io.EOF))
			return extraParts
		}
		extraParts++
	}
}

// Close ends a stream before its end. It closes the connection, which tells the engine to stop the work.
func (s *Stream) Close() {
	if !s.closed {
		s.closed = true
		s.exchange.finish(false)
	}
}
