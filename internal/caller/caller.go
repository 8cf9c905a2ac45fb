// Package caller is a caller of damaskshelf for the demo, tests and experiments: it sends prompts and
// plain-service calls and tells whether each answer was whole.
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
	maxEvent    = 1 << 20
	maxBody     = 64 << 20
	dialTimeout = 2 * time.Second
	grace       = 5 * time.Second // beyond a request's own time, before a caller gives an instance up
)

// Client calls entry instances. It is safe for concurrent use.
type Client struct {
	http *fasthttp.Client
}

// New gives a client.
func New() *Client {
	return &Client{http: &fasthttp.Client{
		StreamResponseBody:        true,
		MaxResponseBodySize:       maxBody,
		MaxConnsPerHost:           4096,
		MaxIdleConnDuration:       2 * time.Second,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Request is one request to an entry instance.
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
	IdempotencyKey string // idempotency key
	Idempotent     string // "true", "false" or empty
}

// Result is what the caller saw.
type Result struct {
	ID         string
	Status     int    // HTTP status; 0: no answer
	Kind       string // error kind; empty: none
	Run        string // no, yes, unknown
	Detail     string
	RetryAfter time.Duration
	Text       string
	Completed  bool // the end mark came
	Replayed   bool
	FirstToken time.Duration
	Total      time.Duration
	Err        error // of the transport
}

// OK tells whether the answer came whole.
func (r Result) OK() bool { return r.Err == nil && r.Status/100 == 2 && r.Completed }

// Do sends q and reads the whole answer.
func (c *Client) Do(q Request) Result {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	began := time.Now()
	r := Result{ID: q.ID}
	if r.Err = fill(req, q); r.Err != nil {
		return r
	}
	if r.Err = c.http.DoDeadline(req, resp, began.Add(q.Timeout+grace)); r.Err != nil {
		r.Total = time.Since(began)
		return r
	}
	defer func() { _ = resp.CloseBodyStream() }()
	r.Status = resp.StatusCode()
	r.Run = string(resp.Header.Peek(wire.HeaderRun))
	r.Replayed = string(resp.Header.Peek(wire.HeaderReplayed)) == "true"
	switch {
	case r.Status/100 != 2:
		r.failure(resp)
	case string(resp.Header.ContentType()) == "text/event-stream":
		r.Err = r.stream(resp.BodyStream(), began)
	case q.Model != "":
		r.Err = r.whole(resp, began)
	default:
		var body []byte
		body, r.Err = bodyOf(resp)
		r.Text, r.Completed = string(body), r.Err == nil
	}
	r.Total = time.Since(began)
	return r
}

func fill(req *fasthttp.Request, q Request) error {
	req.SetTimeout(q.Timeout + grace)
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
	body, err := json.Marshal(wire.CompletionRequest{Model: q.Model, Prompt: q.Prompt, MaxTokens: q.MaxTokens, Stream: q.Stream})
	if err != nil {
		return fmt.Errorf("encode prompt: %w", err)
	}
	req.SetBodyRaw(body)
	return nil
}

func bodyOf(resp *fasthttp.Response) ([]byte, error) {
	if s := resp.BodyStream(); s != nil {
		return io.ReadAll(s)
	}
	return resp.Body(), nil
}

// failureBody is the body of a refusal or failure.
type failureBody struct {
	Error        string `json:"error"`
	Run          string `json:"run"`
	Detail       string `json:"detail"`
	RetryAfterMs int64  `json:"retry_after_ms"`
}

func (r *Result) fail(f failureBody) {
	r.Kind, r.Run, r.Detail = f.Error, f.Run, f.Detail
	r.RetryAfter = time.Duration(f.RetryAfterMs) * time.Millisecond
}

func (r *Result) failure(resp *fasthttp.Response) {
	body, err := bodyOf(resp)
	var f failureBody
	if err != nil || json.Unmarshal(body, &f) != nil || f.Error == "" || f.Run == "" {
		r.Kind, r.Detail = "answer_of_service", string(body) // a plain service's own error answer
		return
	}
	r.fail(f)
}

// event is a chunk of the usual API or a failure.
type event struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	failureBody
}

func (r *Result) whole(resp *fasthttp.Response, began time.Time) error {
	body, err := bodyOf(resp)
	if err != nil {
		return err
	}
	r.FirstToken = time.Since(began)
	var e event
	if err := json.Unmarshal(body, &e); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	r.take(e)
	return nil
}

func (r *Result) take(e event) {
	for _, c := range e.Choices {
		r.Text += c.Text
		r.Completed = r.Completed || c.FinishReason != nil
	}
}

// ErrCutOff is a stream that ended without its end mark and without a failure event.
var ErrTruncated = errors.New("stream was cut off")

func (r *Result) stream(body io.Reader, began time.Time) error {
	s := bufio.NewScanner(body)
	s.Buffer(make([]byte, 0, 4<<10), maxEvent)
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
			r.fail(e.failureBody)
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
