package soak_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/damaskshelf/damaskshelf/platform/standin"
)

const (
	deadline = 2500 * time.Millisecond
	slack    = 1500 * time.Millisecond // a paused daemon answers late; the pause counts on top
	pieces   = 6                       // events of a whole stream
	settle   = 12 * time.Second        // within it all is well after the last fault
)

// book holds what callers were told and what workers ran.
type book struct {
	mu       sync.Mutex
	ran      map[string]int    // guarded by mu: runs of what must not run twice
	told     map[string]int    // guarded by mu: last status that a caller got
	problems []string          // guarded by mu
	answers  map[string]string // guarded by mu: how the workers' answers end, by request
}

func newBook() *book {
	return &book{ran: map[string]int{}, told: map[string]int{}, answers: map[string]string{}}
}

func (b *book) problem(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.problems) < 20 {
		b.problems = append(b.problems, fmt.Sprintf(format, args...))
	}
}

// reply answers as a worker: mostly whole, now and then in one of the ways that workers fail.
func (b *book) reply(c *standin.WorkerConn, a standin.Arrival) bool {
	id := a.AttemptID()
	stream := strings.HasPrefix(a.Path, "/stream/") || strings.HasPrefix(a.Path, "/once/")
	luck := rand.IntN(100)
	if luck < 4 {
		return standin.NotExecuted(c, a)
	}
	b.mu.Lock()
	b.ran[id]++
	b.mu.Unlock()
	if stream {
		if luck < 12 {
			return standin.Events(pieces, 1+luck%(pieces-1), time.Millisecond)(c, a)
		}
		return standin.Events(pieces, 0, 2*time.Millisecond)(c, a)
	}
	switch {
	case luck < 6:
		return standin.Truncated(c, a)
	case luck < 8:
		return standin.CloseUnanswered(c, a)
	case luck < 10:
		return standin.Garbage(c, a)
	case luck < 12:
		return standin.SecondAnswer(id)(c, a)
	default:
		return standin.OK(id)(c, a)
	}
}

// call sends requests, one after the other over a connection that is kept while it lasts.
func (w *world) call(n int, r *rand.Rand, stop <-chan struct{}) {
	var conn net.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	var in *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(r.IntN(40)) * time.Millisecond):
		}
		if conn == nil || r.IntN(10) == 0 {
			if conn != nil {
				_ = conn.Close()
			}
			var err error
			conn, err = net.DialTimeout("tcp", w.daemons[r.IntN(len(w.daemons))].callers, time.Second)
			if err != nil {
				conn = nil
				continue
			}
			in = bufio.NewReader(conn)
		}
		kind := []string{"safe", "unsafe", "stream", "once"}[r.IntN(4)]
		if !w.one(conn, in, kind, fmt.Sprintf("%s-%d-%d", kind, n, i), r) {
			_ = conn.Close()
			conn = nil
		}
	}
}

// one sends a request and checks its answer; it tells whether the connection goes on.
func (w *world) one(conn net.Conn, in *bufio.Reader, kind, id string, r *rand.Rand) bool {
	began := time.Now()
	_ = conn.SetDeadline(began.Add(deadline + slack + 4*time.Second))
	c := standin.Call{Method: http.MethodPost, Path: "/" + kind + "/x", Host: host, AttemptID: id, Timeout: deadline, Body: "hi"}
	if kind == "stream" || kind == "once" {
		c.PromptTokens, c.MaxOutputTokens = 1000, 200
		if r.IntN(10) == 0 {
			c.PromptTokens = 500_000 // over one engine's memory
		}
	}
	err := c.Write(conn)
	if err != nil {
		return false
	}
	resp, err := http.ReadResponse(in, &http.Request{Method: http.MethodPost})
	if err != nil {
		return false // a closed connection promises nothing
	}
	body, err := io.ReadAll(resp.Body)
	w.judge(kind, id, resp, string(body), err, time.Since(began))
	return err == nil && !resp.Close
}

// judge checks one answer against the promises.
func (w *world) judge(kind, id string, resp *http.Response, body string, err error, took time.Duration) {
	w.book.mu.Lock()
	w.book.told[id] = resp.StatusCode
	w.book.mu.Unlock()
	if took > deadline+slack {
		w.book.problem("%s: answered after %s", id, took)
	}
	if got := standin.AttemptID(resp.Header); got != "" && got != id {
		w.book.problem("%s: got the answer of %s", id, got)
	}
	sealed := standin.HasSeal(resp.Header)
	switch {
	case resp.StatusCode >= 400 && resp.StatusCode < 500 && resp.StatusCode != http.StatusTooManyRequests && resp.StatusCode != http.StatusRequestTimeout:
		w.book.problem("%s: a proper request is refused with %d", id, resp.StatusCode)
	case resp.StatusCode != http.StatusOK:
	case !sealed:
		w.book.problem("%s: a success without a seal", id)
	case kind == "stream" || kind == "once":
		w.judgeStream(id, body, err)
	case err == nil && body != id:
		w.book.problem("%s: a success with the body %q", id, body)
	}
}

// judgeStream checks that pieces come in order, none missing or twice, and that only a whole stream ends whole.
func (w *world) judgeStream(id, body string, err error) {
	whole := standin.AllEvents(1, pieces)
	if err == nil && body != whole {
		w.book.problem("%s: a stream ends as whole with %q", id, body)
	}
	if !strings.HasPrefix(whole, body) {
		w.book.problem("%s: a stream holds %q", id, body)
	}
}

// check reads the book at the end of a seed.
func (b *book) check(t *testing.T, all []*standin.Worker) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, runs := range b.ran {
		once := strings.HasPrefix(id, "unsafe-") || strings.HasPrefix(id, "once-")
		if once && runs > 1 {
			b.problems = append(b.problems, fmt.Sprintf("%s: ran %d times", id, runs))
		}
		if status := b.told[id]; once && (status == 503 || status == 429) {
			b.problems = append(b.problems, fmt.Sprintf("%s: told %d, and it ran", id, status))
		}
	}
	served := 0
	for _, status := range b.told {
		if status == http.StatusOK {
			served++
		}
	}
	t.Logf("%d answers, %d of them good; %d requests ran on %d workers", len(b.told), served, len(b.ran), len(all))
	if served == 0 {
		t.Error("nothing was served")
	}
	for _, p := range b.problems {
		t.Error(p)
	}
}

// get asks one daemon for a path and gives the status; 0: no answer.
func get(d *daemon, path, id string) int {
	conn, err := net.DialTimeout("tcp", d.callers, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline + slack))
	if err := (standin.Call{Method: http.MethodGet, Path: path, Host: host, AttemptID: id, Timeout: deadline}).Write(conn); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// within waits until ok holds for every daemon.
func (w *world) within(what string, ok func(d *daemon) bool) {
	w.t.Helper()
	end := time.Now().Add(settle)
	for _, d := range w.daemons {
		for !ok(d) {
			if time.Now().After(end) {
				w.t.Fatalf("%s: not %s within %s", d.name, what, settle)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// waitCalm waits until every daemon serves.
func (w *world) waitCalm(when string) {
	n := 0
	w.within("serving "+when, func(d *daemon) bool {
		n++
		return get(d, "/safe/x", fmt.Sprintf("calm-%s-%d", strings.ReplaceAll(when, " ", "-"), n)) == http.StatusOK
	})
}

// newsIsInForce checks that the newest configuration is in force everywhere: its own route is served and the
// route of the version before is gone.
func (w *world) newsIsInForce() {
	w.version++
	w.putConfig()
	n := 0
	w.within("at the newest configuration", func(d *daemon) bool {
		n++
		return get(d, fmt.Sprintf("/v%d/x", w.version), fmt.Sprintf("news-%d", n)) == http.StatusOK
	})
	for _, d := range w.daemons {
		if status := get(d, fmt.Sprintf("/v%d/x", w.version-1), "old-"+d.name); status != http.StatusNotFound {
			w.t.Errorf("%s: the route of an older version answers %d", d.name, status)
		}
	}
}

// limitedGetsWhatItTakes checks that workers that name a limit get it over all daemons: from three seconds after it was named,
// in four seconds half as much again and five at most.
func (w *world) limitedGetsWhatItTakes() {
	const rate = 2.0
	limited := w.workers[2:4] // one of each service
	for _, worker := range limited {
		worker.SetHeaderLines(standin.LimitLine(rate))
	}
	time.Sleep(3 * time.Second)
	from := time.Now()
	time.Sleep(4 * time.Second)
	for _, worker := range limited {
		got := 0
		for _, a := range worker.Arrivals() {
			if a.ReceivedAt.After(from) {
				got++
			}
		}
		if float64(got) > 1.5*rate*4+5 {
			w.t.Errorf("%s: %d requests in four seconds reached a worker that takes %g a second", worker.ID, got, rate)
		}
		worker.SetHeaderLines()
	}
}

// leavingGetsNothing checks that a worker that leaves gets no new work two seconds after it said so, to the store or on an
// answer. The first one's word is out at once; of the second one nobody knows before it has answered a request.
func (w *world) leavingGetsNothing() {
	toStore, onAnswers := w.workers[0], w.workers[3] // one of each service
	w.register(0, "draining")
	onAnswers.SetHeaderLines(standin.LeavingLine)
	said := time.Now()
	time.Sleep(2 * time.Second)
	before := len(toStore.Arrivals())
	time.Sleep(time.Second)
	if after := len(toStore.Arrivals()); after > before {
		w.t.Errorf("%d requests reached a worker that had said two seconds before that it leaves", after-before)
	}
	first := w.firstAfter(onAnswers, said)
	time.Sleep(time.Until(first.Add(3 * time.Second)))
	for _, a := range onAnswers.Arrivals() {
		if a.ReceivedAt.After(first.Add(2 * time.Second)) {
			w.t.Errorf("%s: %s reached a worker %s after it had answered that it leaves", onAnswers.ID, a.AttemptID(), a.ReceivedAt.Sub(first))
		}
	}
}

// firstAfter waits for the first request that reaches a worker after a moment, and gives when it did.
func (w *world) firstAfter(worker *standin.Worker, after time.Time) time.Time {
	w.t.Helper()
	for end := time.Now().Add(settle); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, a := range worker.Arrivals() {
			if a.ReceivedAt.After(after) {
				return a.ReceivedAt
			}
		}
	}
	w.t.Fatalf("%s: no request in %s", worker.ID, settle)
	return time.Time{}
}

// nothingStaysReserved checks that no engine's memory stays set aside once nothing runs.
func (w *world) nothingStaysReserved() {
	time.Sleep(4 * time.Second)
	for _, worker := range w.workers {
		if n := worker.ReservedTokens(); n > 0 {
			w.t.Errorf("%s: %d tokens are reserved four seconds after the last request", worker.ID, n)
		}
	}
}

// stopWhole stops every daemon as planned.
func (w *world) stopWhole() {
	for _, d := range w.daemons {
		d.signal(syscall.SIGTERM)
	}
	for _, d := range w.daemons {
		if !d.stopped(8 * time.Second) {
			w.t.Errorf("%s has not stopped 8 s after SIGTERM", d.name)
		}
	}
}
