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
	Remaining    time.Duration // time left for the request
	Reservation  string
	Group        string // reservations on other engines for the same request, as in wire.HeaderGroup
	ResumeOffset int    // first token still needed
	Body         []byte
}

// Stream is a completion's answer as it comes.
type Stream struct {
	ctx    context.Context
	x      *exchange
	events *events
	closed bool
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
	x, err := c.send(ctx, addr, req, bounds{silence: &silence})
	if err != nil {
		return nil, err
	}
	if x.resp.StatusCode() != fasthttp.StatusOK {
		body, rerr := readBody(x)
		refused := x.refusal(errors.New(string(body)))
		x.finish(rerr == nil)
		return nil, refused
	}
	return &Stream{ctx: ctx, x: x, events: newEvents(x.resp.BodyStream())}, nil
}

// BootID is the engine's at the time it answered.
func (s *Stream) BootID() string { return string(s.x.resp.Header.Peek(wire.HeaderBootID)) }

// Next gives the next part. An engine that computes without a new token writes a comment line now and then,
// so that silence means a dead connection and not a long prompt. io.EOF comes only after the stream's last
// event. Any other error is a *CallError and ends the stream.
func (s *Stream) Next() (wire.Part, error) {
	if s.closed {
		return wire.Part{}, io.EOF
	}
	p, err := s.events.next()
	if err == nil || errors.Is(err, io.EOF) {
		return p, err
	}
	s.closed = true
	return wire.Part{}, s.x.fail(s.ctx, err)
}

// endWait bounds the wait for the event after the end mark; a connection without it is just not reused.
const endWait = 50 * time.Millisecond

// Finish reads what comes after the end mark and closes the stream. It gives the number of parts that
// should not have come. A connection that ends as it should is used again.
func (s *Stream) Finish() int {
	if s.closed {
		return 0
	}
	s.closed = true
	s.x.quiet(endWait)
	extra := 0
	for {
		if _, err := s.events.next(); err != nil {
			s.x.finish(errors.Is(err, io.EOF))
			return extra
		}
		extra++
	}
}

// Close ends a stream that is not read to its end. It closes the connection, by which the engine learns
// that nobody reads on.
func (s *Stream) Close() {
	if !s.closed {
		s.closed = true
		s.x.finish(false)
	}
}
