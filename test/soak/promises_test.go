package soak_test

import (
	"bufio"
	"fmt"
	"hash/fnv"
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

// Limits of requests and of the recovery from faults.
const (
	requestTimeout  = 2500 * time.Millisecond
	answerSlack     = 1500 * time.Millisecond // allowed on top of requestTimeout, as a daemon may be paused meanwhile
	streamEvents    = 6                       // events of a complete stream
	recoveryTimeout = 12 * time.Second        // time to recover after the last fault
)

// recorder records the workers' runs, the statuses that callers received and the violations of promises.
type recorder struct {
	seed       uint64
	mu         sync.Mutex
	arrivals   map[string]int // guarded by mu: number of arrivals at workers by request id
	runs       map[string]int // guarded by mu: number of runs by request id
	statuses   map[string]int // guarded by mu: last status that a caller received, by request id
	violations []string       // guarded by mu: the first 20, and those that report adds
}

func newRecorder(seed uint64) *recorder {
	return &recorder{seed: seed, arrivals: map[string]int{}, runs: map[string]int{}, statuses: map[string]int{}}
}

// drawFor returns a source of random numbers for one arrival of a request. It depends only on the seed, the request and the
// number of its arrivals before.
func (r *recorder) drawFor(id string) *rand.Rand {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[id]++
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, id, r.arrivals[id])
	return rand.New(rand.NewPCG(r.seed, h.Sum64()))
}

// addViolation records a violation, up to 20 of them.
func (r *recorder) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.violations) < 20 {
		r.violations = append(r.violations, fmt.Sprintf(format, args...))
	}
}

// workerReply answers a request in place of a worker: mostly with success, at random with one of the workers' failures.
func (r *recorder) workerReply(c *standin.WorkerConn, a standin.Arrival) bool {
	id := a.AttemptID()
	draw := r.drawFor(id)
	roll := draw.IntN(100)
	if roll < 4 {
		return standin.NotExecuted(c, a)
	}
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	if strings.HasPrefix(a.Path, "/stream/") || strings.HasPrefix(a.Path, "/once/") {
		return drawStream(draw, roll < 14, a).Reply(c, a)
	}
	switch {
	case roll < 6:
		return standin.Truncated(c, a)
	case roll < 8:
		return standin.CloseUnanswered(c, a)
	case roll < 10:
		return standin.Garbage(c, a)
	case roll < 12:
		return standin.SecondAnswer(id)(c, a)
	case roll < 14:
		return standin.TruncatedReset(c, a)
	case roll < 30:
		return standin.CloseDelimited(id)(c, a)
	default:
		return standin.OK(id)(c, a)
	}
}

// drawStream returns a stream in a random framing, with random line ends. A broken one ends at a random byte, in order or
// not. Only its framing, or the part of an event, can show a break.
func drawStream(draw *rand.Rand, broken bool, a standin.Arrival) standin.Stream {
	s := standin.Stream{
		LastID: streamEvents, Framing: standin.Framing(draw.IntN(3)), LineEnd: []string{"\n", "\r\n", "\r"}[draw.IntN(3)],
		Interval: 2 * time.Millisecond, Staggered: true,
	}
	if !broken {
		return s
	}
	s.CutAfter = 1 + draw.IntN(streamEvents-1)
	s.CutBytes = 1 + draw.IntN(len(standin.Event(1))-1)
	switch draw.IntN(4) {
	case 0:
		s.Reset = true
	case 1:
		s.Abrupt = s.Framing != standin.Connection
	case 2:
		if !a.Resumes() {
			s.CutAfter, s.CutBytes = -1, 0
			s.Abrupt = s.Framing != standin.Connection
		}
	}
	return s
}

// runCaller sends requests in sequence until stop is closed. It reuses a connection while it is open, and replaces it at
// random.
func (s *soakRun) runCaller(n int, r *rand.Rand, stop <-chan struct{}) {
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
			conn, err = net.DialTimeout("tcp", s.daemons[r.IntN(len(s.daemons))].callerAddr, time.Second)
			if err != nil {
				conn = nil
				continue
			}
			in = bufio.NewReader(conn)
		}
		kind := []string{"safe", "unsafe", "stream", "once"}[r.IntN(4)]
		if !s.sendRequest(conn, in, kind, fmt.Sprintf("%s-%d-%d", kind, n, i), r) {
			_ = conn.Close()
			conn = nil
		}
	}
}

// sendRequest sends a request and checks its response. It reports whether the connection can be used again.
func (s *soakRun) sendRequest(conn net.Conn, in *bufio.Reader, kind, id string, r *rand.Rand) bool {
	start := time.Now()
	_ = conn.SetDeadline(start.Add(requestTimeout + answerSlack + 4*time.Second))
	c := standin.Call{Method: http.MethodPost, Path: "/" + kind + "/x", Host: host, AttemptID: id, Timeout: requestTimeout, Body: "hi"}
	if kind == "stream" || kind == "once" {
		c.PromptTokens, c.MaxOutputTokens = 1000, 200
		if r.IntN(10) == 0 {
			c.PromptTokens = 500_000 // exceeds one engine's memory
		}
	}
	err := c.Write(conn)
	if err != nil {
		return false
	}
	halfClosed := s.closeHalf(conn, id)
	resp, err := http.ReadResponse(in, &http.Request{Method: http.MethodPost})
	if err != nil {
		return false // no promise covers a connection that closes without a response
	}
	body, err := io.ReadAll(resp.Body)
	s.checkResponse(kind, id, resp, string(body), err, time.Since(start))
	return err == nil && !resp.Close && !halfClosed
}

// halfCloseShare is the share of requests whose caller closes its sending half, one of so many.
const halfCloseShare = 16

// closeHalf closes the sending half of a caller's connection after a pause, for some requests. It draws from the request's id, so
// that what else a seed draws stays the same.
func (s *soakRun) closeHalf(conn net.Conn, id string) bool {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, id, s.recorder.seed)
	draw := rand.New(rand.NewPCG(s.recorder.seed, h.Sum64()))
	if draw.IntN(halfCloseShare) > 0 {
		return false
	}
	time.AfterFunc(time.Duration(draw.IntN(30))*time.Millisecond, func() { _ = conn.(*net.TCPConn).CloseWrite() })
	return true
}

// checkResponse checks one response against the promises and records its status.
func (s *soakRun) checkResponse(kind, id string, resp *http.Response, body string, err error, elapsed time.Duration) {
	s.recorder.mu.Lock()
	s.recorder.statuses[id] = resp.StatusCode
	s.recorder.mu.Unlock()
	if elapsed > requestTimeout+answerSlack {
		s.recorder.addViolation("%s: answered after %s", id, elapsed)
	}
	if got := standin.AttemptID(resp.Header); got != "" && got != id {
		s.recorder.addViolation("%s: received the answer to %s", id, got)
	}
	sealed := standin.HasSeal(resp.Header)
	switch {
	case resp.StatusCode >= 400 && resp.StatusCode < 500 && resp.StatusCode != http.StatusTooManyRequests && resp.StatusCode != http.StatusRequestTimeout:
		s.recorder.addViolation("%s: a valid request was refused with %d", id, resp.StatusCode)
	case resp.StatusCode != http.StatusOK:
	case !sealed:
		s.recorder.addViolation("%s: a successful response has no seal", id)
	case kind == "stream" || kind == "once":
		s.checkStream(id, body, err)
	case err == nil && body != id:
		s.recorder.addViolation("%s: a successful response has the body %q", id, body)
	}
}

// checkStream checks that a stream's events arrive in order, none missing or repeated, and that only a complete stream
// ends without an error.
func (s *soakRun) checkStream(id, body string, err error) {
	full := standin.AllEvents(1, streamEvents)
	body = strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(body)
	if err == nil && body != full {
		s.recorder.addViolation("%s: a stream ended as complete with %q", id, body)
	}
	if !strings.HasPrefix(full, body) {
		s.recorder.addViolation("%s: a stream contains %q", id, body)
	}
}

// report checks the recorded runs against the statuses and reports all violations as test failures. Requests that must
// not run twice must have run at most once, and not at all if they were answered with 429 or 503.
func (r *recorder) report(t *testing.T, all []*standin.Worker) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, runs := range r.runs {
		atMostOnce := strings.HasPrefix(id, "unsafe-") || strings.HasPrefix(id, "once-")
		if atMostOnce && runs > 1 {
			r.violations = append(r.violations, fmt.Sprintf("%s: ran %d times", id, runs))
		}
		if status := r.statuses[id]; atMostOnce && (status == 503 || status == 429) {
			r.violations = append(r.violations, fmt.Sprintf("%s: answered with %d, but it ran", id, status))
		}
	}
	served := 0
	for _, status := range r.statuses {
		if status == http.StatusOK {
			served++
		}
	}
	t.Logf("%d responses, %d of them successful; %d requests ran on %d workers", len(r.statuses), served, len(r.runs), len(all))
	if served == 0 {
		t.Error("no request was served")
	}
	for _, violation := range r.violations {
		t.Error(violation)
	}
}

// getStatus sends a GET for a path to one daemon and returns the status, or 0 without a response.
func getStatus(d *daemon, path, id string) int {
	conn, err := net.DialTimeout("tcp", d.callerAddr, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(requestTimeout + answerSlack))
	if err := (standin.Call{Method: http.MethodGet, Path: path, Host: host, AttemptID: id, Timeout: requestTimeout}).Write(conn); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// awaitAll waits until ok holds for every daemon, and ends the test if recoveryTimeout passes first.
func (s *soakRun) awaitAll(what string, ok func(d *daemon) bool) {
	s.t.Helper()
	timeLimit := time.Now().Add(recoveryTimeout)
	for _, d := range s.daemons {
		for !ok(d) {
			if time.Now().After(timeLimit) {
				s.t.Fatalf("%s: not %s within %s", d.name, what, recoveryTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// awaitServing waits until every daemon serves requests.
func (s *soakRun) awaitServing(when string) {
	n := 0
	s.awaitAll("serving "+when, func(d *daemon) bool {
		n++
		return getStatus(d, "/safe/x", fmt.Sprintf("calm-%s-%d", strings.ReplaceAll(when, " ", "-"), n)) == http.StatusOK
	})
}

// checkNewConfigInForce writes a new configuration and checks that every daemon puts it in force: the daemon serves the
// new version's own route and no longer that of the previous version.
func (s *soakRun) checkNewConfigInForce() {
	s.configVersion++
	s.putConfig()
	n := 0
	s.awaitAll("serving the newest configuration", func(d *daemon) bool {
		n++
		return getStatus(d, fmt.Sprintf("/v%d/x", s.configVersion), fmt.Sprintf("news-%d", n)) == http.StatusOK
	})
	for _, d := range s.daemons {
		if status := getStatus(d, fmt.Sprintf("/v%d/x", s.configVersion-1), "old-"+d.name); status != http.StatusNotFound {
			s.t.Errorf("%s: the route of the previous version returned %d", d.name, status)
		}
	}
}

// checkRateLimits checks that all daemons together respect the rate limit that a worker states. In four seconds, which
// begin three seconds after the limit was added to the worker's responses, the worker receives at most one and a half
// times what the limit allows, plus five requests.
func (s *soakRun) checkRateLimits() {
	const rate = 2.0
	limitedWorkers := s.workers[2:4] // one of each service
	for _, worker := range limitedWorkers {
		worker.SetHeaderLines(standin.LimitLine(rate))
	}
	time.Sleep(3 * time.Second)
	countedFrom := time.Now()
	time.Sleep(4 * time.Second)
	for _, worker := range limitedWorkers {
		arrivals := 0
		for _, a := range worker.Arrivals() {
			if a.ReceivedAt.After(countedFrom) {
				arrivals++
			}
		}
		if float64(arrivals) > 1.5*rate*4+5 {
			s.t.Errorf("%s: %d requests in four seconds reached a worker with a limit of %g per second", worker.ID, arrivals, rate)
		}
		worker.SetHeaderLines()
	}
}

// checkLeavingWorkers checks that a worker receives no new requests from two seconds after it announced that it is
// leaving. One worker announces it in the store, and the time counts from the write. The other one announces it in its
// responses, and the time counts from the first request that reaches it afterwards.
func (s *soakRun) checkLeavingWorkers() {
	leavingByStore, leavingByHeader := s.workers[0], s.workers[3] // one of each service
	s.registerWorker(0, "draining")
	leavingByHeader.SetHeaderLines(standin.LeavingLine)
	leavingSince := time.Now()
	time.Sleep(2 * time.Second)
	countBefore := len(leavingByStore.Arrivals())
	time.Sleep(time.Second)
	if countAfter := len(leavingByStore.Arrivals()); countAfter > countBefore {
		s.t.Errorf("%d requests reached a worker more than two seconds after the store listed it as leaving", countAfter-countBefore)
	}
	firstAnswered := s.awaitArrivalAfter(leavingByHeader, leavingSince)
	time.Sleep(time.Until(firstAnswered.Add(3 * time.Second)))
	for _, a := range leavingByHeader.Arrivals() {
		if a.ReceivedAt.After(firstAnswered.Add(2 * time.Second)) {
			s.t.Errorf("%s: %s reached a worker %s after it had answered that it is leaving", leavingByHeader.ID, a.AttemptID(), a.ReceivedAt.Sub(firstAnswered))
		}
	}
}

// awaitArrivalAfter waits for the first request that reaches a worker after a point in time, and returns the time of its
// arrival.
func (s *soakRun) awaitArrivalAfter(worker *standin.Worker, after time.Time) time.Time {
	s.t.Helper()
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, a := range worker.Arrivals() {
			if a.ReceivedAt.After(after) {
				return a.ReceivedAt
			}
		}
	}
	s.t.Fatalf("%s: no request in %s", worker.ID, recoveryTimeout)
	return time.Time{}
}

// checkNoReservedMemory checks that no engine has memory reserved four seconds after the last request.
func (s *soakRun) checkNoReservedMemory() {
	time.Sleep(4 * time.Second)
	for _, worker := range s.workers {
		if tokens := worker.ReservedTokens(); tokens > 0 {
			s.t.Errorf("%s: %d tokens are reserved four seconds after the last request", worker.ID, tokens)
		}
	}
}

// checkPlannedStop stops every daemon by SIGTERM and checks that each ends within 8 s.
func (s *soakRun) checkPlannedStop() {
	for _, d := range s.daemons {
		d.signal(syscall.SIGTERM)
	}
	for _, d := range s.daemons {
		if !d.awaitExit(8 * time.Second) {
			s.t.Errorf("%s has not stopped 8 s after SIGTERM", d.name)
		}
	}
}
