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

// Number of callers of each kind, and the timing of their requests. timeoutGrace detects requests that hang; it doesn't
// check latency.
const (
	promptCallers  = 10
	bookingCallers = 3
	readCallers    = 2
	requestTimeout = 15 * time.Second
	timeoutGrace   = 10 * time.Second
	callPause      = 15 * time.Millisecond // between the requests of one caller
)

var lastRequestID atomic.Int64

// newRequestID returns a request id that no other request of this process has.
func newRequestID(kind string) string { return fmt.Sprintf("%s-%d", kind, lastRequestID.Add(1)) }

// chunk is an event or plain answer of the completions API that callers use, or an error.
type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error string `json:"error"`
	Run   string `json:"run"`
}

// newChunkDecoder returns a decoder for the events of one stream. It counts the offsets, which callers don't receive.
func newChunkDecoder() func([]byte) (wire.Part, error) {
	offset := 0
	return func(data []byte) (wire.Part, error) {
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return wire.Part{}, err
		}
		p := wire.Part{ID: c.ID, Offset: offset, Error: c.Error}
		if len(c.Choices) == 1 {
			p.Text, p.FinishReason = c.Choices[0].Text, c.Choices[0].FinishReason
			p.Tokens = strings.Count(p.Text, " ")
		}
		offset += p.Tokens
		return p, nil
	}
}

// promptCall returns a completions request with a prompt of the given number of tokens. The text begins with the id, so
// that prompts of different ids share no prefix.
func promptCall(id string, tokens, answerTokens int, stream bool) rawhttp.Call {
	text := (id + " ") + strings.Repeat("ice ", tokens)
	c := rawhttp.Completion(id, wire.Completion{Model: model, Prompt: text[:tokens*wire.BytesPerToken], MaxTokens: answerTokens, Stream: stream})
	c.Decode = newChunkDecoder()
	return withTimeout(c)
}

// bookingCall returns a booking, a request that must not run twice.
func bookingCall(id string) rawhttp.Call {
	body := fmt.Sprintf(`{"hut":"hut","day":%q}`, id)
	return withTimeout(rawhttp.Call{Path: "/services/" + bookdesk + service.PathBookings, Body: []byte(body)}).
		WithHeader(wire.HeaderRequestID, id).WithHeader(wire.HeaderIdempotent, "false")
}

// readCall returns a read of the plain service.
func readCall() rawhttp.Call {
	path := "/services/" + bookdesk + service.PathAvailability + "?hut=hut&day=monday"
	return withTimeout(rawhttp.Call{Method: fasthttp.MethodGet, Path: path}).WithHeader(wire.HeaderRequestID, newRequestID("read"))
}

// withTimeout returns the call with the usual timeout.
func withTimeout(c rawhttp.Call) rawhttp.Call {
	c.Timeout = requestTimeout + timeoutGrace
	return c.WithHeader(wire.HeaderTimeout, requestTimeout.String())
}

// withLongTimeout returns the call with a timeout of waitTimeout, much longer than usual.
func withLongTimeout(c rawhttp.Call) rawhttp.Call {
	c.Timeout = waitTimeout + timeoutGrace
	return c.WithHeader(wire.HeaderTimeout, waitTimeout.String())
}

// outcome is a request with its result.
type outcome struct {
	kind    string // prompt, booking, read
	id      string
	entry   string // id of the entry instance that it was sent to
	tokens  int    // of the answer
	stream  bool
	elapsed time.Duration
	*rawhttp.Result
}

// complete reports whether the caller received the complete answer.
func (o *outcome) complete() bool {
	switch {
	case o.kind == "booking":
		return o.Status == fasthttp.StatusCreated
	case o.kind == "read" || !o.stream:
		return o.Status == fasthttp.StatusOK && o.Err == nil
	default:
		return o.Done
	}
}

// reportedNotRun reports whether the response says that the request did not run.
func (o *outcome) reportedNotRun() bool { return o.Header[wire.HeaderRun] == "no" }

// failedExplicitly reports whether the caller received an error, rather than a connection that ended early.
func (o *outcome) failedExplicitly() bool {
	if n := len(o.Parts); n > 0 {
		return o.Parts[n-1].Error != ""
	}
	return o.Err == nil && o.Status >= fasthttp.StatusBadRequest && o.Header[wire.HeaderRun] != ""
}

// notConnected reports whether the connection to the entry instance could not be opened.
func (o *outcome) notConnected() bool { return !o.Connected }

func (o *outcome) String() string {
	return fmt.Sprintf("%s through %s after %s: status %d, run %q, parts %d, done %t, body %.200s, error %v",
		o.id, o.entry, o.elapsed.Round(time.Millisecond), o.Status, o.Header[wire.HeaderRun], len(o.Parts), o.Done, o.Body, o.Err)
}

// loadGenerator runs callers, each of which sends requests in sequence until stop is called.
type loadGenerator struct {
	f        *fleet
	stopping chan struct{} // closed by stop
	callers  sync.WaitGroup

	mu       sync.Mutex
	outcomes []*outcome // guarded by mu
}

// startLoad starts the callers.
func (f *fleet) startLoad() *loadGenerator {
	g := &loadGenerator{f: f, stopping: make(chan struct{})}
	for n := range promptCallers {
		g.runCaller(uint64(n), g.sendPrompt)
	}
	for n := range bookingCallers {
		g.runCaller(uint64(n), g.sendBooking)
	}
	for n := range readCallers {
		g.runCaller(uint64(n), g.sendRead)
	}
	return g
}

// runCaller starts a caller that calls send with a random ready entry instance until the load is stopped.
func (g *loadGenerator) runCaller(seed uint64, send func(*rand.Rand, *entry)) {
	r := rand.New(rand.NewPCG(seed, 1))
	g.callers.Go(func() {
		for {
			select {
			case <-g.stopping:
				return
			case <-time.After(callPause):
			}
			if e := pickReady(r, g.f.startedEntries()); e != nil {
				send(r, e)
			}
		}
	})
}

// pickReady returns a random ready entry instance, as the balancer does, or nil if none is ready.
func pickReady(r *rand.Rand, entries []*entry) *entry {
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

// sendPrompt sends a prompt: a short one, or in fewer cases a longer or a very long one. Most ask for a stream.
func (g *loadGenerator) sendPrompt(r *rand.Rand, e *entry) {
	o := &outcome{kind: "prompt", id: newRequestID("prompt"), tokens: 20 + r.IntN(180), stream: r.IntN(5) > 0}
	tokens := 50 + r.IntN(750)
	switch r.IntN(24) {
	case 0:
		tokens = 110_000 + r.IntN(40_000)
	case 1, 2, 3, 4:
		tokens = 8_000 + r.IntN(24_000)
	}
	g.send(o, e, promptCall(o.id, tokens, o.tokens, o.stream))
}

// sendBooking sends a booking.
func (g *loadGenerator) sendBooking(_ *rand.Rand, e *entry) {
	o := &outcome{kind: "booking", id: newRequestID("booking")}
	g.send(o, e, bookingCall(o.id))
}

// sendRead sends a read of the plain service.
func (g *loadGenerator) sendRead(_ *rand.Rand, e *entry) {
	o := &outcome{kind: "read", id: newRequestID("read")}
	g.send(o, e, readCall().WithHeader(wire.HeaderRequestID, o.id))
}

// send makes the call to an entry instance and records the outcome.
func (g *loadGenerator) send(o *outcome, e *entry, call rawhttp.Call) {
	start := time.Now()
	o.entry = e.row.ID
	o.Result = call.Do(e.row.Addr)
	o.elapsed = time.Since(start)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outcomes = append(g.outcomes, o)
}

// stop stops the callers, waits for their last responses and returns all outcomes.
func (g *loadGenerator) stop() []*outcome {
	close(g.stopping)
	g.callers.Wait()
	return g.outcomes
}

// checkOutcome returns an error if an outcome breaks a promise that holds under every fault.
func checkOutcome(o *outcome, counters cluster.Counters) error {
	switch {
	case o.elapsed > requestTimeout+timeoutGrace:
		return fmt.Errorf("did not end within its timeout")
	case o.Status != 0 && o.Header[wire.HeaderRequestID] != o.id:
		return fmt.Errorf("the response has request id %q", o.Header[wire.HeaderRequestID])
	case o.reportedNotRun() && runCount(o.id, counters) > 0:
		return fmt.Errorf("reported as not run, but ran %d times", runCount(o.id, counters))
	}
	switch o.kind {
	case "prompt":
		return checkPrompt(o)
	case "booking":
		return checkBooking(o, counters)
	}
	return nil
}

// runCount returns the number of runs of a request on engines and services.
func runCount(id string, counters cluster.Counters) int {
	n := counters.RunsByRequest[id]
	for _, e := range counters.Engines {
		n += e.Runs[id]
	}
	return n
}

// checkPrompt returns an error if the parts are not the beginning of the request's own answer, or if an incomplete answer
// looks complete.
func checkPrompt(o *outcome) error {
	if o.complete() {
		if !o.stream {
			return checkPlainAnswer(o)
		}
		return o.CheckStream(o.id, o.tokens)
	}
	parts := o.Parts
	if o.failedExplicitly() && len(parts) > 0 {
		parts = parts[:len(parts)-1]
	}
	if err := (&rawhttp.Result{Parts: parts}).CheckPrefix(o.id); err != nil {
		return err
	}
	if o.Status == fasthttp.StatusOK && o.Err == nil && !o.failedExplicitly() {
		return fmt.Errorf("the stream ended early without an error")
	}
	return nil
}

// checkPlainAnswer checks that an answer without a stream is complete and belongs to the request.
func checkPlainAnswer(o *outcome) error {
	var c chunk
	if err := json.Unmarshal(o.Body, &c); err != nil {
		return err
	}
	if len(c.Choices) != 1 || c.Choices[0].Text != answer.Text(o.id, o.tokens) || c.Choices[0].FinishReason != "length" {
		return fmt.Errorf("the answer is incomplete or belongs to another request")
	}
	return nil
}

// checkBooking checks that a booking ran at most once, and exactly once if it was confirmed.
func checkBooking(o *outcome, counters cluster.Counters) error {
	n := counters.RunsByRequest[o.id]
	switch {
	case n > 1:
		return fmt.Errorf("booked %d times", n)
	case o.complete() && n != 1:
		return fmt.Errorf("confirmed, but ran %d times", n)
	case o.complete() && !strings.Contains(string(o.Body), fmt.Sprintf("%q", o.id)):
		return fmt.Errorf("the confirmation belongs to another booking")
	}
	return nil
}
