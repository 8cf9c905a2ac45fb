package e2e_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/standin/answer"
	"github.com/damaskshelf/damaskshelf/internal/standin/cluster"
	"github.com/damaskshelf/damaskshelf/internal/standin/rawhttp"
	"github.com/damaskshelf/damaskshelf/internal/standin/service"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// The crowd's size, and the time its requests have. The grace is a guard against hanging, no bound on speed.
const (
	promptCallers  = 10
	bookers        = 3
	readers        = 2
	requestTimeout = 15 * time.Second
	grace          = 10 * time.Second
	pause          = 15 * time.Millisecond
)

var lastID atomic.Int64

func newID(kind string) string { return fmt.Sprintf("%s-%d", kind, lastID.Add(1)) }

// chunk is the usual completions API's shape, and a failure's.
type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error string `json:"error"`
	Run   string `json:"run"`
}

// decoder reads a stream's events; offsets are counted, as callers get none.
func decoder() func([]byte) (wire.Part, error) {
	next := 0
	return func(data []byte) (wire.Part, error) {
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return wire.Part{}, err
		}
		p := wire.Part{ID: c.ID, Offset: next, Error: c.Error}
		if len(c.Choices) == 1 {
			p.Text, p.FinishReason = c.Choices[0].Text, c.Choices[0].FinishReason
			p.Tokens = strings.Count(p.Text, " ")
		}
		next += p.Tokens
		return p, nil
	}
}

// prompt makes a caller's prompt; every id has its own text, of so many tokens.
func prompt(id string, tokens, answerTokens int, stream bool) rawhttp.Call {
	text := (id + " ") + strings.Repeat("ice ", tokens)
	c := rawhttp.Completion(id, wire.CompletionRequest{Model: model, Prompt: text[:tokens*wire.BytesPerToken], MaxTokens: answerTokens, Stream: stream})
	c.Decode = decoder()
	return timed(c)
}

func booking(id string) rawhttp.Call {
	body := fmt.Sprintf(`{"hut":"hut","day":%q}`, id)
	return timed(rawhttp.Call{Path: "/services/" + bookdesk + service.PathBookings, Body: []byte(body)}).
		WithHeader(wire.HeaderRequestID, id).WithHeader(wire.HeaderIdempotent, "false")
}

func read() rawhttp.Call {
	path := "/services/" + bookdesk + service.PathAvailability + "?hut=hut&day=monday"
	return timed(rawhttp.Call{Method: fasthttp.MethodGet, Path: path}).WithHeader(wire.HeaderRequestID, newID("read"))
}

func timed(c rawhttp.Call) rawhttp.Call {
	c.Timeout = requestTimeout + grace
	return c.WithHeader(wire.HeaderTimeout, requestTimeout.String())
}

// patient gives a call much more time than others have.
func patient(c rawhttp.Call) rawhttp.Call {
	c.Timeout = guard + grace
	return c.WithHeader(wire.HeaderTimeout, guard.String())
}

// outcome is one request and what came of it.
type outcome struct {
	kind   string // prompt, booking, read
	id     string
	entry  string
	tokens int // of the answer
	stream bool
	took   time.Duration
	*rawhttp.Result
}

// whole tells whether the caller got all that it asked for.
func (o *outcome) whole() bool {
	switch {
	case o.kind == "booking":
		return o.Status == fasthttp.StatusCreated
	case o.kind == "read" || !o.stream:
		return o.Status == fasthttp.StatusOK && o.Err == nil
	default:
		return o.Done
	}
}

// notRun tells whether the system said that the request did not run.
func (o *outcome) notRun() bool { return o.Header[wire.HeaderRun] == "no" }

// explicit tells whether the caller was told of the failure in words, and not by the connection's end.
func (o *outcome) explicit() bool {
	if n := len(o.Parts); n > 0 {
		return o.Parts[n-1].Error != ""
	}
	return o.Err == nil && o.Status >= fasthttp.StatusBadRequest && o.Header[wire.HeaderRun] != ""
}

// unreached tells whether no connection to the entry instance came about.
func (o *outcome) unreached() bool { return !o.Connected }

func (o *outcome) String() string {
	return fmt.Sprintf("%s through %s after %s: status %d, run %q, parts %d, done %t, body %.200s, error %v",
		o.id, o.entry, o.took.Round(time.Millisecond), o.Status, o.Header[wire.HeaderRun], len(o.Parts), o.Done, o.Body, o.Err)
}

// crowd is callers that go on until they are stopped.
type crowd struct {
	f       *fleet
	stopped chan struct{}
	callers sync.WaitGroup

	mu       sync.Mutex
	outcomes []*outcome
}

func (f *fleet) startCrowd() *crowd {
	c := &crowd{f: f, stopped: make(chan struct{})}
	for n := range promptCallers {
		c.goOn(uint64(n), c.prompt)
	}
	for n := range bookers {
		c.goOn(uint64(n), c.book)
	}
	for n := range readers {
		c.goOn(uint64(n), c.read)
	}
	return c
}

func (c *crowd) goOn(seed uint64, once func(*rand.Rand, *entry)) {
	r := rand.New(rand.NewPCG(seed, 1))
	c.callers.Go(func() {
		for {
			select {
			case <-c.stopped:
				return
			case <-time.After(pause):
			}
			if e := pick(r, c.f.started()); e != nil {
				once(r, e)
			}
		}
	})
}

// pick chooses as the balancer does, among the ready ones.
func pick(r *rand.Rand, entries []*entry) *entry {
	var ready []*entry
	for _, e := range entries {
		if e.ready.Load() {
			ready = append(ready, e)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[r.IntN(len(ready))]
}

// prompt asks a short prompt, or at times a longer or a very long one; most are streamed.
func (c *crowd) prompt(r *rand.Rand, e *entry) {
	o := &outcome{kind: "prompt", id: newID("prompt"), tokens: 20 + r.IntN(180), stream: r.IntN(5) > 0}
	tokens := 50 + r.IntN(750)
	switch r.IntN(24) {
	case 0:
		tokens = 110_000 + r.IntN(40_000)
	case 1, 2, 3, 4:
		tokens = 8_000 + r.IntN(24_000)
	}
	c.record(o, e, prompt(o.id, tokens, o.tokens, o.stream))
}

func (c *crowd) book(_ *rand.Rand, e *entry) {
	o := &outcome{kind: "booking", id: newID("booking")}
	c.record(o, e, booking(o.id))
}

func (c *crowd) read(_ *rand.Rand, e *entry) {
	o := &outcome{kind: "read", id: newID("read")}
	c.record(o, e, read().WithHeader(wire.HeaderRequestID, o.id))
}

func (c *crowd) record(o *outcome, e *entry, call rawhttp.Call) {
	began := time.Now()
	o.entry = e.row.ID
	o.Result = call.Do(e.row.Addr)
	o.took = time.Since(began)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// stop waits for the callers' last answers.
func (c *crowd) stop() []*outcome {
	close(c.stopped)
	c.callers.Wait()
	return c.outcomes
}

// check gives what is wrong with an outcome, whatever fault there was.
func check(o *outcome, saw cluster.Counters) error {
	switch {
	case o.took > requestTimeout+grace:
		return fmt.Errorf("neither finished nor failed in its time")
	case o.Status != 0 && o.Header[wire.HeaderRequestID] != o.id:
		return fmt.Errorf("the answer bears request id %q", o.Header[wire.HeaderRequestID])
	case o.notRun() && runs(o.id, saw) > 0:
		return fmt.Errorf("said not to have run, and ran %d times", runs(o.id, saw))
	}
	switch o.kind {
	case "prompt":
		return checkPrompt(o)
	case "booking":
		return checkBooking(o, saw)
	}
	return nil
}

// runs counts the runs of a request on engines and services.
func runs(id string, saw cluster.Counters) int {
	n := saw.RunsByRequest[id]
	for _, e := range saw.Engines {
		n += e.Runs[id]
	}
	return n
}

// checkPrompt finds parts that are not the beginning of the request's own answer, and short answers that
// look whole.
func checkPrompt(o *outcome) error {
	if o.whole() {
		if !o.stream {
			return checkWholeText(o)
		}
		return o.CheckStream(o.id, o.tokens)
	}
	parts := o.Parts
	if o.explicit() && len(parts) > 0 {
		parts = parts[:len(parts)-1]
	}
	if err := (&rawhttp.Result{Parts: parts}).CheckPrefix(o.id); err != nil {
		return err
	}
	if o.Status == fasthttp.StatusOK && o.Err == nil && !o.explicit() {
		return fmt.Errorf("the stream ended short without a word")
	}
	return nil
}

func checkWholeText(o *outcome) error {
	var c chunk
	if err := json.Unmarshal(o.Body, &c); err != nil {
		return err
	}
	if len(c.Choices) != 1 || c.Choices[0].Text != answer.Text(o.id, o.tokens) || c.Choices[0].FinishReason != "length" {
		return fmt.Errorf("the answer is not whole or not its own")
	}
	return nil
}

func checkBooking(o *outcome, saw cluster.Counters) error {
	n := saw.RunsByRequest[o.id]
	switch {
	case n > 1:
		return fmt.Errorf("booked %d times", n)
	case o.whole() && n != 1:
		return fmt.Errorf("confirmed and run %d times", n)
	case o.whole() && !strings.Contains(string(o.Body), fmt.Sprintf("%q", o.id)):
		return fmt.Errorf("the confirmation is of another booking")
	}
	return nil
}
