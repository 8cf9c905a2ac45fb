// Package caller implements a client of damaskshelf for the demo, tests and experiments. It sends prompts and calls of
// plain services, and reports whether each answer is complete.
package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

const (
	maxEventBytes = 1 << 20  // maximum size of one event of a stream
	maxBodyBytes  = 64 << 20 // fasthttp's limit for a response body; it has no effect while New turns on streaming
	dialTimeout   = 2 * time.Second
	timeoutGrace  = 5 * time.Second // added to a request's timeout before the client stops waiting for the instance
)

// Client sends requests to instances. It is safe for concurrent use.
type Client struct {
	http *fasthttp.Client
}

// New returns a client that never retries a request.
func New() *Client {
	return &Client{http: &fasthttp.Client{
		StreamResponseBody:        true,
		MaxResponseBodySize:       maxBodyBytes,
		MaxConnsPerHost:           4096,
		MaxIdleConnDuration:       2 * time.Second,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Request is one request to an instance: a prompt if Model is set, and otherwise a call of a plain service.
type Request struct {
	Addr           string // of the instance
	ID             string
	Workspace      string
	Timeout        time.Duration
	Priority       int
	Model          string // prompt: model
	Prompt         string
	MaxTokens      int
	Stream         bool
	Method         string // plain service: HTTP method
	Path           string // plain service: /services/NAME/...
	Body           string
	IdempotencyKey string // empty: none
	Idempotent     string // "true", "false" or empty
}

// Result is the outcome of a request as its caller received it.
type Result struct {
	ID         string
	Status     int    // HTTP status; 0: no answer
	Kind       string // error kind; empty: none
	Run        string // whether the request ran: no, yes, unknown
	Detail     string
	RetryAfter time.Duration
	Text       string
	Completed  bool          // the answer includes its end mark; a plain service's body was read completely
	Replayed   bool          // the answer is the recorded outcome of an earlier run
	FirstToken time.Duration // until a stream's first event, or the end of another completion; 0: none came
	Total      time.Duration // until the end of the answer, or until the error
	Err        error         // transport or decoding error
}

// OK reports whether the answer is a success and complete.
func (r Result) OK() bool { return r.Err == nil && r.Status/100 == 2 && r.Completed }

// Do sends q and reads the complete answer.
func (c *Client) Do(q Request) Result {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	began := time.Now()
	r := Result{ID: q.ID}
	if r.Err = fillRequest(req, q); r.Err != nil {
		return r
	}
	if r.Err = c.http.DoDeadline(req, resp, began.Add(q.Timeout+timeoutGrace)); r.Err != nil {
		r.Total = time.Since(began)
		return r
	}
	defer func() { _ = resp.CloseBodyStream() }()
	r.Status = resp.StatusCode()
	r.Run = string(resp.Header.Peek(wire.HeaderRun))
	r.Replayed = string(resp.Header.Peek(wire.HeaderReplayed)) == "true"
	switch {
	case r.Status/100 != 2:
		r.readFailure(resp)
	case string(resp.Header.ContentType()) == "text/event-stream":
		r.Err = r.readStream(resp.BodyStream(), began)
	case q.Model != "":
		r.Err = r.readAnswer(resp, began)
	default:
		var body []byte
		body, r.Err = readBody(resp)
		r.Text, r.Completed = string(body), r.Err == nil
	}
	r.Total = time.Since(began)
	return r
}

// fillRequest sets URI, headers and body of req from q.
func fillRequest(req *fasthttp.Request, q Request) error {
	req.SetTimeout(q.Timeout + timeoutGrace)
	h := &req.Header
	set := func(name, value string) {
		if value != "" {
			h.Set(name, value)
		}
	}
	set(wire.HeaderRequestID, q.ID)
	set(wire.HeaderWorkspace, q.Workspace)
	set(wire.HeaderTimeout, q.Timeout.String())
	set(wire.HeaderIdempotencyKey, q.IdempotencyKey)
	set(wire.HeaderIdempotent, q.Idempotent)
	if q.Priority != 0 {
		set(wire.HeaderPriority, fmt.Sprint(q.Priority))
	}
	if q.Model == "" {
		req.SetRequestURI("http://" + q.Addr + q.Path)
		h.SetMethod(q.Method)
		h.SetContentType("application/json")
		req.SetBodyString(q.Body)
		return nil
	}
	req.SetRequestURI("http://" + q.Addr + wire.PathCompletions)
	h.SetMethod(fasthttp.MethodPost)
	h.SetContentType("application/json")
	body, err := json.Marshal(wire.Completion{Model: q.Model, Prompt: q.Prompt, MaxTokens: q.MaxTokens, Stream: q.Stream})
	if err != nil {
		return fmt.Errorf("encode prompt: %w", err)
	}
	req.SetBodyRaw(body)
	return nil
}

// readBody returns the complete body of the response.
func readBody(resp *fasthttp.Response) ([]byte, error) {
	if s := resp.BodyStream(); s != nil {
		return io.ReadAll(s)
	}
	return resp.Body(), nil
}

// failureBody is the JSON body of a refusal or a failure.
type failureBody struct {
	Error        string `json:"error"`
	Run          string `json:"run"`
	Detail       string `json:"detail"`
	RetryAfterMs int64  `json:"retry_after_ms"`
}

// setFailure records a refusal or a failure.
func (r *Result) setFailure(f failureBody) {
	r.Kind, r.Run, r.Detail = f.Error, f.Run, f.Detail
	r.RetryAfter = time.Duration(f.RetryAfterMs) * time.Millisecond
}

// readFailure reads a response without a success status.
func (r *Result) readFailure(resp *fasthttp.Response) {
	body, err := readBody(resp)
	var f failureBody
	if err != nil || json.Unmarshal(body, &f) != nil || f.Error == "" || f.Run == "" {
		r.Kind, r.Detail = "answer_of_service", string(body) // a plain service's own error answer
		return
	}
	r.setFailure(f)
}

// event is a completion answer, a chunk of one, or a failure.
type event struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	failureBody
}

// readAnswer reads a completion that is not streamed.
func (r *Result) readAnswer(resp *fasthttp.Response, began time.Time) error {
	body, err := readBody(resp)
	if err != nil {
		return err
	}
	r.FirstToken = time.Since(began)
	var e event
	if err := json.Unmarshal(body, &e); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	r.addChoices(e)
	return nil
}

// addChoices appends the text of the choices. A finish reason is the answer's end mark.
func (r *Result) addChoices(e event) {
	for _, c := range e.Choices {
		r.Text += c.Text
		r.Completed = r.Completed || c.FinishReason != nil
	}
}

// ErrTruncated is returned if a stream ended without its end mark and without a failure event.
var ErrTruncated = errors.New("stream was cut off")

// readStream reads a streamed completion until the stream ends or reports a failure.
func (r *Result) readStream(body io.Reader, began time.Time) error {
	s := bufio.NewScanner(body)
	s.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	var text strings.Builder
	done := false
	for s.Scan() {
		data, ok := bytes.CutPrefix(s.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == wire.DoneMark {
			done = true
			continue
		}
		var e event
		if err := json.Unmarshal(data, &e); err != nil {
			return fmt.Errorf("decode event: %w", err)
		}
		if e.Error != "" {
			r.setFailure(e.failureBody)
			r.Completed = false
			r.Text = text.String()
			return nil
		}
		if r.FirstToken == 0 {
			r.FirstToken = time.Since(began)
		}
		for _, c := range e.Choices {
			text.WriteString(c.Text)
			r.Completed = r.Completed || c.FinishReason != nil
		}
	}
	r.Text = text.String()
	r.Completed = r.Completed && done
	if err := s.Err(); err != nil {
		return err
	}
	if !done {
		return ErrTruncated
	}
	return nil
}
