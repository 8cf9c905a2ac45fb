// Package rawhttp is a test's client of engines, plain services, the platform and entry instances. It opens
// one connection for each call, so that a test decides when that ends, and reports all that arrived, down to
// single parts and headers, instead of judging it.
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

// DefaultGuard ends a call that hangs.
const DefaultTimeout = 30 * time.Second

const readBuffer = 1 << 20

// Call is one HTTP call.
type Call struct {
	Method  string // POST when empty
	Path    string
	Headers map[string]string
	Body    []byte
	Timeout time.Duration // bound of the whole call; DefaultGuard when zero
	// Decode reads one event of a stream; nil: an engine's part.
	Decode func(data []byte) (wire.Part, error)
	// OnPart is called for each part of a stream as it arrives; false closes the connection.
	OnPart func(wire.Part) bool
}

// Result is what arrived.
type Result struct {
	Status          int // 0: no answer
	Header          map[string]string
	Body            []byte // of an answer that is no stream
	Parts           []wire.Part
	Done            bool          // the end mark's follower, [DONE], arrived
	TimeToFirstPart time.Duration // from the start of the call
	Connected       bool          // the connection was opened
	Err             error         // of the connection
}

// Text is the text of all parts in the order they arrived.
func (r *Result) Text() string {
	var b bytes.Buffer
	for _, p := range r.Parts {
		b.WriteString(p.Text)
	}
	return b.String()
}

// Finish is the finish reason of the last part, or empty.
func (r *Result) FinishReason() string {
	if len(r.Parts) == 0 {
		return ""
	}
	return r.Parts[len(r.Parts)-1].FinishReason
}

// CheckStream tells what is wrong with a streamed answer of so many tokens to a request; nil when the
// caller got the whole answer to its own request, each token once and in order.
func (r *Result) CheckStream(requestID string, tokens int) error {
	if r.Err != nil || r.Status != fasthttp.StatusOK {
		return fmt.Errorf("status %d, body %q: %w", r.Status, r.Body, r.Err)
	}
	next := 0
	for n, p := range r.Parts {
		if p.Offset != next {
			return fmt.Errorf("part %d has offset %d, not %d", n, p.Offset, next)
		}
		if p.ID != requestID {
			return fmt.Errorf("part %d is of request %q", n, p.ID)
		}
		next += p.Tokens
	}
	switch {
	case next != tokens:
		return fmt.Errorf("%d tokens of %d, finish reason %q", next, tokens, r.FinishReason())
	case r.Text() != answer.Text(requestID, tokens):
		return fmt.Errorf("text is not the answer to %s", requestID)
	case r.FinishReason() != "length":
		return fmt.Errorf("finish reason %q", r.FinishReason())
	case !r.Done:
		return fmt.Errorf("no %s", wire.DoneMark)
	}
	return nil
}

// CheckPrefix tells what is wrong with the parts of a stream that was not finished: they must be the
// beginning of the request's own answer.
func (r *Result) CheckPrefix(requestID string) error {
	next := 0
	for n, p := range r.Parts {
		if p.ID != requestID || p.Offset != next || p.Text != answer.Range(requestID, next, next+p.Tokens) {
			return fmt.Errorf("part %d (%+v) does not continue %s at %d", n, p, requestID, next)
		}
		next += p.Tokens
	}
	return nil
}

// Completion makes the call of a completions request.
func Completion(id string, c wire.CompletionRequest) Call {
	body, err := json.Marshal(c)
	if err != nil {
		panic(err) // a struct of strings and numbers encodes
	}
	return Call{Path: wire.PathCompletions, Body: body, Headers: map[string]string{wire.HeaderRequestID: id}}
}

// With adds a header to the call.
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

// Do makes the call over a new connection to addr.
func (c Call) Do(addr string) *Result {
	conn, err := net.DialTimeout("tcp", addr, c.guard())
	if err != nil {
		return &Result{Err: fmt.Errorf("dial: %w", err)}
	}
	defer conn.Close()
	return c.DoConn(conn)
}

func (c Call) guard() time.Duration {
	if c.Timeout == 0 {
		return DefaultTimeout
	}
	return c.Timeout
}

// DoOver makes the call over an open connection, which it leaves open unless OnPart closes it.
func (c Call) DoConn(conn net.Conn) *Result {
	started := time.Now()
	_ = conn.SetDeadline(started.Add(c.guard()))
	r := &Result{Header: map[string]string{}, Connected: true}
	req := c.request(conn.RemoteAddr().String())
	defer fasthttp.ReleaseRequest(req)
	if _, err := req.WriteTo(conn); err != nil {
		r.Err = fmt.Errorf("write request: %w", err)
		return r
	}
	var resp fasthttp.Response
	resp.StreamBody = true
	if err := resp.ReadLimitBody(bufio.NewReaderSize(conn, readBuffer), 0); err != nil {
		r.Err = fmt.Errorf("read answer: %w", err)
		return r
	}
	r.Status = resp.StatusCode()
	for k, v := range resp.Header.All() {
		r.Header[string(k)] = string(v)
	}
	body := resp.BodyStream()
	switch {
	case body == nil: // as of status 204
	case bytes.HasPrefix(resp.Header.ContentType(), []byte("text/event-stream")):
		r.readStream(body, c, started, conn)
	default:
		r.Body, r.Err = io.ReadAll(body)
	}
	return r
}

func (c Call) decode(data []byte) (wire.Part, error) {
	if c.Decode != nil {
		return c.Decode(data)
	}
	var p wire.Part
	err := json.Unmarshal(data, &p)
	return p, err
}

func (c Call) request(host string) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(fasthttp.MethodPost)
	if c.Method != "" {
		req.Header.SetMethod(c.Method)
	}
	req.SetRequestURI("http://" + host + c.Path)
	req.URI().DisablePathNormalizing = true // else an escaped slash would be sent as a slash
	for k, v := range c.Headers {
		req.Header.Set(k, v)
	}
	if len(c.Body) > 0 {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(c.Body)
	}
	return req
}

func (r *Result) readStream(body io.Reader, c Call, started time.Time, conn net.Conn) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, readBuffer), readBuffer)
	for lines.Scan() {
		data, found := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
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
			r.TimeToFirstPart = time.Since(started)
		}
		r.Parts = append(r.Parts, p)
		if c.OnPart != nil && !c.OnPart(p) {
			_ = conn.Close()
			return
		}
	}
	r.Err = lines.Err()
}
