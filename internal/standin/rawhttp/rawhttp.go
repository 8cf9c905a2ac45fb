// Package rawhttp is an HTTP client for tests of engines, plain services, the platform and entry instances. It opens one
// connection for each call, so that a test controls when the connection ends. It returns everything received, down to
// single parts and headers, and doesn't interpret it.
package rawhttp

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/standin/answer"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// DefaultTimeout is the timeout of a call that sets none.
const DefaultTimeout = 30 * time.Second

// readBufferSize is the size in bytes of the response buffer and of the longest line of a stream.
const readBufferSize = 1 << 20

// Call is one HTTP call.
type Call struct {
	Method  string // POST if empty
	Path    string
	Headers map[string]string
	Body    []byte
	Timeout time.Duration // of the whole call; 0 selects DefaultTimeout
	// Decode decodes the data of one event of a stream. If nil, the data is an engine's part in JSON.
	Decode func(data []byte) (wire.Part, error)
	// OnPart, if set, is called for each part of a stream as it arrives. Returning false closes the connection.
	OnPart func(wire.Part) bool
}

// Result holds what a call received.
type Result struct {
	Status          int // 0 if no response arrived
	Header          map[string]string
	Body            []byte // of a response that is not a stream
	Parts           []wire.Part
	Done            bool          // the event [DONE], which follows the stream's end mark, arrived
	TimeToFirstPart time.Duration // measured from the start of the call
	Connected       bool          // whether the connection was opened
	Err             error         // of the connection, or of decoding an event
}

// Text returns the text of all parts in the order of their arrival.
func (r *Result) Text() string {
	var b bytes.Buffer
	for _, p := range r.Parts {
		b.WriteString(p.Text)
	}
	return b.String()
}

// FinishReason returns the finish reason of the last part, or an empty string if there is no part.
func (r *Result) FinishReason() string {
	if len(r.Parts) == 0 {
		return ""
	}
	return r.Parts[len(r.Parts)-1].FinishReason
}

// CheckStream checks a streamed answer of the given number of tokens. It returns nil if the caller received the complete
// answer to its own request, with each token once and in order. Otherwise it returns an error that describes the first
// deviation.
func (r *Result) CheckStream(requestID string, tokens int) error {
	if r.Err != nil || r.Status != fasthttp.StatusOK {
		return fmt.Errorf("status %d, body %q: %w", r.Status, r.Body, r.Err)
	}
	offset := 0
	for n, p := range r.Parts {
		if p.Offset != offset {
			return fmt.Errorf("part %d has offset %d, not %d", n, p.Offset, offset)
		}
		if p.ID != requestID {
			return fmt.Errorf("part %d is of request %q", n, p.ID)
		}
		offset += p.Tokens
	}
	switch {
	case offset != tokens:
		return fmt.Errorf("%d tokens of %d, finish reason %q", offset, tokens, r.FinishReason())
	case r.Text() != answer.Text(requestID, tokens):
		return fmt.Errorf("text is not the answer to %s", requestID)
	case r.FinishReason() != "length":
		return fmt.Errorf("finish reason %q", r.FinishReason())
	case !r.Done:
		return fmt.Errorf("no %s", wire.DoneMark)
	}
	return nil
}

// CheckPrefix checks the parts of a stream that was cut short. It returns an error unless they are the beginning of the
// request's own answer, in order.
func (r *Result) CheckPrefix(requestID string) error {
	offset := 0
	for n, p := range r.Parts {
		if p.ID != requestID || p.Offset != offset || p.Text != answer.Range(requestID, offset, offset+p.Tokens) {
			return fmt.Errorf("part %d (%+v) does not continue %s at %d", n, p, requestID, offset)
		}
		offset += p.Tokens
	}
	return nil
}

// Completion returns the call of a completions request.
func Completion(id string, c wire.Completion) Call {
	body, err := json.Marshal(c)
	if err != nil {
		panic(err) // can't happen: a struct of strings and numbers always encodes
	}
	return Call{Path: wire.PathCompletions, Body: body, Headers: map[string]string{wire.HeaderRequestID: id}}
}

// WithHeader returns a copy of the call with a header added or replaced.
func (c Call) WithHeader(name, value string) Call {
	headers := map[string]string{name: value}
	for k, v := range c.Headers {
		if k != name {
			headers[k] = v
		}
	}
	c.Headers = headers
	return c
}

// Do makes the call over a new connection to addr, which it closes.
func (c Call) Do(addr string) *Result {
	conn, err := net.DialTimeout("tcp", addr, c.timeout())
	if err != nil {
		return &Result{Err: fmt.Errorf("dial: %w", err)}
	}
	defer conn.Close()
	return c.DoConn(conn)
}

// timeout returns the call's timeout, or the default.
func (c Call) timeout() time.Duration {
	if c.Timeout == 0 {
		return DefaultTimeout
	}
	return c.Timeout
}

// DoConn makes the call over an open connection and leaves it open, unless OnPart returns false.
func (c Call) DoConn(conn net.Conn) *Result {
	start := time.Now()
	_ = conn.SetDeadline(start.Add(c.timeout()))
	r := &Result{Header: map[string]string{}, Connected: true}
	req := c.newRequest(conn.RemoteAddr().String())
	defer fasthttp.ReleaseRequest(req)
	if _, err := req.WriteTo(conn); err != nil {
		r.Err = fmt.Errorf("write request: %w", err)
		return r
	}
	var resp fasthttp.Response
	resp.StreamBody = true
	if err := resp.ReadLimitBody(bufio.NewReaderSize(conn, readBufferSize), 0); err != nil {
		r.Err = fmt.Errorf("read answer: %w", err)
		return r
	}
	r.Status = resp.StatusCode()
	for k, v := range resp.Header.All() {
		r.Header[string(k)] = string(v)
	}
	body := resp.BodyStream()
	switch {
	case body == nil: // for example with status 204
	case bytes.HasPrefix(resp.Header.ContentType(), []byte("text/event-stream")):
		r.readStream(body, c, start, conn)
	default:
		r.Body, r.Err = io.ReadAll(body)
	}
	return r
}

// decode decodes one event by c.Decode, or as an engine's part.
func (c Call) decode(data []byte) (wire.Part, error) {
	if c.Decode != nil {
		return c.Decode(data)
	}
	var p wire.Part
	err := json.Unmarshal(data, &p)
	return p, err
}

// newRequest returns the HTTP request of the call. The caller releases it.
func (c Call) newRequest(host string) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(fasthttp.MethodPost)
	if c.Method != "" {
		req.Header.SetMethod(c.Method)
	}
	req.SetRequestURI("http://" + host + c.Path)
	req.URI().DisablePathNormalizing = true // otherwise an escaped slash would be sent as a slash
	if len(c.Body) > 0 {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(c.Body)
	}
	for k, v := range c.Headers {
		req.Header.Set(k, v)
	}
	return req
}

// readStream reads a stream's events into r until the stream ends, an event can't be decoded, or OnPart returns false.
func (r *Result) readStream(body io.Reader, c Call, start time.Time, conn net.Conn) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, readBufferSize), readBufferSize)
	for scanner.Scan() {
		data, found := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		if string(data) == wire.DoneMark {
			r.Done = true
			continue
		}
		p, err := c.decode(data)
		if err != nil {
			r.Err = fmt.Errorf("event %q: %w", data, err)
			return
		}
		if len(r.Parts) == 0 {
			r.TimeToFirstPart = time.Since(start)
		}
		r.Parts = append(r.Parts, p)
		if c.OnPart != nil && !c.OnPart(p) {
			_ = conn.Close()
			return
		}
	}
	r.Err = scanner.Err()
}
