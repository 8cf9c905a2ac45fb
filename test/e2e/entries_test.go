package e2e_test

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/standin/cluster"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/standin/rawhttp"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// doAsync starts a call and returns a channel that receives its result.
func doAsync(call rawhttp.Call, e *entry) <-chan *rawhttp.Result {
	done := make(chan *rawhttp.Result, 1)
	go func() { done <- call.Do(e.row.Addr) }()
	return done
}

// Operators replace an entry instance under load. It reports that it is not ready, serves the requests that the balancer
// still sends, finishes those in flight, including long answers and slow bookings, and exits. A new instance replaces it.
// No request fails.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	old := f.startedEntries()[0]
	runUnderLoad(t, f, noneMayFail, func() {
		answerTokens, id := 3000, newRequestID("long") // takes about three seconds
		answer := doAsync(promptCall(id, 100, answerTokens, true), old)
		slow := bookingCall(newRequestID("slow"))
		slow.Path = "/services/" + bookdesk + "/slow?ms=2000"
		booked := doAsync(slow, old)
		f.await("the prompt and the slow booking run", func() bool {
			counters := f.counters()
			return runCount(id, counters) > 0 && runCount(slow.Headers[wire.HeaderRequestID], counters) > 0
		})
		f.signal(old, syscall.SIGTERM)
		time.Sleep(stepPause)
		f.signal(old, syscall.SIGTERM) // the platform may send it twice
		is.NoErr((<-answer).CheckStream(id, answerTokens))
		is.Equal((<-booked).Status, 201)
		is.Equal(f.awaitExit(old), 0)
		f.unlistInstance(old.row.ID)
		f.awaitReady(f.startEntry("entry-new", old.row.Domain))
		time.Sleep(stepPause)
	})
}

// An entry instance is killed under load and replaced. Its callers lose their connections. No other request fails, no
// booking runs twice, and no engine keeps memory reserved for the killed instance.
func TestKilledEntry(t *testing.T) {
	f := startFleet(t)
	old := f.startedEntries()[0]
	mayFail := func(o *outcome) bool { return o.entry == old.row.ID && (o.notConnected() || o.Err != nil) }
	runUnderLoad(t, f, mayFail, func() {
		old.kill()
		f.unlistInstance(old.row.ID)
		f.awaitReady(f.startEntry("entry-new", old.row.Domain))
		time.Sleep(faultPeriod)
	})
}

// An entry instance is paused under load and resumes as if no time had passed. Its callers may receive errors. No other
// request fails.
func TestPausedEntry(t *testing.T) {
	f := startFleet(t)
	paused := f.startedEntries()[0]
	mayFail := func(o *outcome) bool { return o.entry == paused.row.ID && (o.failedExplicitly() || o.Err != nil) }
	runUnderLoad(t, f, mayFail, func() {
		f.signal(paused, syscall.SIGSTOP)
		time.Sleep(faultPeriod)
		f.signal(paused, syscall.SIGCONT)
		time.Sleep(stepPause)
	})
}

// All entry instances are paused at once for longer than their state is trusted, as on a machine that is suspended or
// starved. They trust their state again shortly after they resume, and no request is refused in between.
func TestAllEntriesStandStill(t *testing.T) {
	f := startFleet(t)
	runUnderLoad(t, f, noneMayFail, func() {
		for _, e := range f.startedEntries() {
			f.signal(e, syscall.SIGSTOP)
		}
		time.Sleep(faultPeriod)
		for _, e := range f.startedEntries() {
			f.signal(e, syscall.SIGCONT)
		}
		time.Sleep(stepPause)
	})
}

// A whole failure domain fails at once: its entry instance, its engines and its service instance. The instance list still
// shows them as live. Through the other entry instances no request fails, except that bookings may end with an unknown
// outcome and calls of the plain service with a Retry-After. Then the failure domain recovers.
func TestLostDomain(t *testing.T) {
	f := startFleet(t)
	lost := f.startedEntries()[0]
	targets := []string{"engine-north-ice-0", "engine-north-ice-1", "bookdesk-0"}
	mayFail := func(o *outcome) bool {
		return o.entry == lost.row.ID && (o.notConnected() || o.Err != nil) || serviceCallsMayFail(o)
	}
	runUnderLoad(t, f, mayFail, func() {
		lost.kill()
		for _, target := range targets {
			f.setFault(target, faults.Kill, true)
		}
		time.Sleep(faultPeriod)
		for _, target := range targets {
			f.setFault(target, faults.Kill, false)
		}
		f.awaitReady(f.startEntry("entry-new", lost.row.Domain))
		time.Sleep(stepPause)
	})
}

// Callers disconnect while they wait for their first token, or in the middle of a stream. Engines stop those requests and
// hold no memory for them.
func TestAbandonedRequestsStopOnEngines(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	const callers, endlessTokens = 12, 16_000 // answer tokens, which take longer than any caller stays connected
	results := make([]<-chan *rawhttp.Result, callers)
	ids := make([]string, callers)
	for n := range callers {
		ids[n] = newRequestID("leaver")
		call := withLongTimeout(promptCall(ids[n], 100, endlessTokens, true))
		parts := 0
		call.OnPart = func(wire.Part) bool { parts++; return parts < 5 }
		if n%2 == 0 {
			call = withLongTimeout(promptCall(ids[n], 300_000, endlessTokens, true))
			call.Timeout = 300 * time.Millisecond // disconnects before the first token
		}
		results[n] = doAsync(call, f.startedEntries()[n%len(domains)])
	}
	for _, r := range results {
		is.True(!(<-r).Done)
	}
	f.await("engines are idle and hold no memory", f.enginesIdle)
	counters, started, finished := f.counters(), 0, 0
	for _, id := range ids {
		started += runCount(id, counters)
		for _, e := range counters.Engines {
			finished += e.Finished[id]
		}
	}
	is.True(started > 0)
	is.Equal(finished, 0) // no request ran to its end without a caller
	f.awaitService()
}

// A new entry instance starts while the object API is down. It receives the configuration from its peers and serves
// requests. It sends none to a failure domain that operators have drained.
func TestNewEntryDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	f.drainDomain(domains[0], f.startedEntries()[1])
	time.Sleep(drainGrace)
	f.setFault(cluster.TargetObjects, faults.Kill, true)
	fresh := f.startEntry("entry-new", domains[1])
	f.awaitReady(fresh)
	runsBefore := f.countDomainRuns(domains[0])
	for range 30 {
		id := newRequestID("prompt")
		is.NoErr(promptCall(id, 100, 20, true).Do(fresh.row.Addr).CheckStream(id, 20))
	}
	is.Equal(f.countDomainRuns(domains[0]), runsBefore)
	f.setFault(cluster.TargetObjects, faults.Kill, false)
}

// The platform's balancer sends requests in sequence over connections that it keeps open. While the entry instance stops,
// it answers every request on them, until an answer announces by "Connection: close" that the connection closes.
func TestGracefulStopOfKeptConnections(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	old := f.startedEntries()[0]
	const connCount = 16
	results := make(chan error, connCount)
	for range connCount {
		conn, err := net.Dial("tcp", old.row.Addr)
		is.NoErr(err)
		go func() { results <- sendUntilClosed(conn) }()
	}
	time.Sleep(stepPause)
	f.signal(old, syscall.SIGTERM)
	for range connCount {
		is.NoErr(<-results)
	}
	is.Equal(f.awaitExit(old), 0)
}

// sendUntilClosed sends requests over a connection until a response announces that the connection closes. It returns an
// error if a request gets no response.
func sendUntilClosed(conn net.Conn) error {
	defer conn.Close()
	for n := 0; ; n++ {
		r := readCall().DoConn(conn)
		if r.Err != nil || r.Status == 0 {
			return fmt.Errorf("request %d on a kept-alive connection got no response: %w", n, r.Err)
		}
		if strings.EqualFold(r.Header["Connection"], "close") {
			return nil
		}
	}
}
