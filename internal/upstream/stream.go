package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// Completion is one dispatch of a prompt to an engine.
type Completion struct {
	RequestID    string
	Workspace    string
	Priority     int
	Attempt      int
	Remaining    time.Duration // time left for the request
	Reservation  string
	ResumeOffset int // first token still needed
	Body         []byte
}

// Stream is a completion's answer as it comes.
type Stream struct {
	ctx     context.Context
	x       *exchange
	scanner *bufio.Scanner
	ended   bool // the stream's last event came
}

// Complete sends a prompt and waits up to firstByte for the head of the answer.
func (c *Client) Complete(ctx context.Context, addr string, q Completion, firstByte time.Duration) (*Stream, error) {
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
	if q.ResumeOffset > 0 {
		h.Set(wire.HeaderResume, strconv.Itoa(q.ResumeOffset))
	}
	req.SetBodyRaw(q.Body)
	x, err := c.send(ctx, addr, req, firstByte)
	if err != nil {
		return nil, err
	}
	if x.resp.StatusCode() != fasthttp.StatusOK {
		body, rerr := readBody(x)
		refused := x.refusal(errors.New(string(body)))
		x.finish(rerr == nil)
		return nil, refused
	}
	s := &Stream{ctx: ctx, x: x, scanner: bufio.NewScanner(x.resp.BodyStream())}
	s.scanner.Buffer(make([]byte, 0, 4<<10), maxEvent)
	return s, nil
}

// BootID is the engine's at the time it answered.
func (s *Stream) BootID() string { return string(s.x.resp.Header.Peek(wire.HeaderBootID)) }

var dataPrefix = []byte("data:")

// Next gives the next part. The stream may be silent for gap: an engine that computes without a new token
// writes a comment line now and then, so that silence means a dead connection and not a long prompt.
// io.EOF comes only after the stream's last event; a stream that ends before it is an io.ErrUnexpectedEOF
// inside a *CallError.
func (s *Stream) Next(gap time.Duration) (wire.Part, error) {
	for {
		_ = s.x.conn.SetReadDeadline(time.Now().Add(gap))
		if s.ctx.Err() != nil { // the cancellation's own deadline may just have been overwritten
			return wire.Part{}, s.x.failed(s.ctx, s.ctx.Err(), false)
		}
		if !s.scanner.Scan() {
			break
		}
		data, ok := bytes.CutPrefix(s.scanner.Bytes(), dataPrefix)
		if !ok {
			continue // an empty line or another field of the event
		}
		data = bytes.TrimSpace(data)
		if string(data) == wire.DoneMark {
			s.ended = true
			continue
		}
		var p wire.Part
		if err := json.Unmarshal(data, &p); err != nil {
			return wire.Part{}, &CallError{Sent: true, Cause: fmt.Errorf("decode part: %w", err)}
		}
		return p, nil
	}
	if err := s.scanner.Err(); err != nil {
		return wire.Part{}, s.x.failed(s.ctx, err, false)
	}
	if !s.ended {
		return wire.Part{}, &CallError{Sent: true, Cause: io.ErrUnexpectedEOF}
	}
	return wire.Part{}, io.EOF
}

// Close ends the exchange; a stream that was not read to its end closes the connection, by which the
// engine learns that nobody reads on.
func (s *Stream) Close() { s.x.finish(s.ended) }
