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

// background makes a call whose result is taken later.
func background(call rawhttp.Call, e *entry) <-chan *rawhttp.Result {
	done := make(chan *rawhttp.Result, 1)
	go func() { done <- call.Do(e.row.Addr) }()
	return done
}

// Operators replace an entry instance under load. It says that it is not ready, serves what the balancer
// still sends, finishes what it has, long answers and slow bookings too, and ends; a new one takes its
// place. No caller sees any of it.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	f := start(t)
	old := f.started()[0]
	run(t, f, all, func() {
		long, id := 3000, newID("long") // some three seconds
		answer := background(prompt(id, 100, long, true), old)
		slow := booking(newID("slow"))
		slow.Path = "/services/" + bookdesk + "/slow?ms=2000"
		booked := background(slow, old)
		f.await("both run", func() bool {
			saw := f.counters()
			return runs(id, saw) > 0 && runs(slow.Headers[wire.HeaderRequestID], saw) > 0
		})
		f.signal(old, syscall.SIGTERM)
		time.Sleep(before)
		f.signal(old, syscall.SIGTERM) // a platform may send it twice
		is.NoErr((<-answer).CheckStream(id, long))
		is.Equal((<-booked).Status, 201)
		is.Equal(f.awaitExit(old), 0)
		f.unlist(old.row.ID)
		f.awaitReady(f.startEntry("entry-new", old.row.Domain))
		time.Sleep(before)
	})
}

// An entry instance dies under load and is replaced. Its own callers lose their connections; no other
// request fails, no booking runs twice, and no engine keeps memory for the dead one.
func TestKilledEntry(t *testing.T) {
	f := start(t)
	old := f.started()[0]
	through := func(o *outcome) bool { return o.entry == old.row.ID && (o.unreached() || o.Err != nil) }
	run(t, f, through, func() {
		old.kill()
		f.unlist(old.row.ID)
		f.awaitReady(f.startEntry("entry-new", old.row.Domain))
		time.Sleep(during)
	})
}

// An entry instance is paused under load and goes on, believing that no time has passed. Its own callers
// may get a failure; no other request fails.
func TestPausedEntry(t *testing.T) {
	f := start(t)
	paused := f.started()[0]
	through := func(o *outcome) bool { return o.entry == paused.row.ID && (o.explicit() || o.Err != nil) }
	run(t, f, through, func() {
		f.signal(paused, syscall.SIGSTOP)
		time.Sleep(during)
		f.signal(paused, syscall.SIGCONT)
		time.Sleep(before)
	})
}

// All entry instances stand still at once for longer than knowledge is trusted, as on a machine that is
// suspended or starved. They trust one another again a moment later; no request is turned away in between.
func TestAllEntriesStandStill(t *testing.T) {
	f := start(t)
	run(t, f, all, func() {
		for _, e := range f.started() {
			f.signal(e, syscall.SIGSTOP)
		}
		time.Sleep(during)
		for _, e := range f.started() {
			f.signal(e, syscall.SIGCONT)
		}
		time.Sleep(before)
	})
}

// A whole failure domain is lost at once: its entry instance, its engines and its service instance. The
// instance list shows them all as live. Callers of the others see nothing but bookings of unknown outcome and
// calls of the service that are told to come back. Then all comes back.
func TestLostDomain(t *testing.T) {
	f := start(t)
	lost := f.started()[0]
	targets := []string{"engine-north-ice-0", "engine-north-ice-1", "bookdesk-0"}
	mayFail := func(o *outcome) bool {
		return o.entry == lost.row.ID && (o.unreached() || o.Err != nil) || served(o)
	}
	run(t, f, mayFail, func() {
		lost.kill()
		for _, target := range targets {
			f.fault(target, faults.Kill, true)
		}
		time.Sleep(during)
		for _, target := range targets {
			f.fault(target, faults.Kill, false)
		}
		f.awaitReady(f.startEntry("entry-new", lost.row.Domain))
		time.Sleep(before)
	})
}

// Callers go away while they wait for their first token, or in the middle of a stream. Engines stop that
// work and hold no memory for it.
func TestCallersGoAway(t *testing.T) {
	is := is.New(t)
	f := start(t)
	const callers, endless = 12, 16_000 // tokens, which take longer than any of them stays
	results := make([]<-chan *rawhttp.Result, callers)
	ids := make([]string, callers)
	for n := range callers {
		ids[n] = newID("leaver")
		call := patient(prompt(ids[n], 100, endless, true))
		parts := 0
		call.OnPart = func(wire.Part) bool { parts++; return parts < 5 }
		if n%2 == 0 {
			call = patient(prompt(ids[n], 300_000, endless, true))
			call.Timeout = 300 * time.Millisecond // goes away before the first token
		}
		results[n] = background(call, f.started()[n%len(domains)])
	}
	for _, r := range results {
		is.True(!(<-r).Done)
	}
	f.await("engines are idle and hold no memory", f.idle)
	saw, started, finished := f.counters(), 0, 0
	for _, id := range ids {
		started += runs(id, saw)
		for _, e := range saw.Engines {
			finished += e.Finished[id]
		}
	}
	is.True(started > 0)
	is.Equal(finished, 0) // none ran to its end for nobody
	f.awaitService()
}

// A new entry instance starts while the object API is down. It learns the configuration from its peers and
// serves; it does not bring work to a failure domain that operators have taken out.
func TestNewEntryDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	f := start(t)
	f.drain(domains[0], f.started()[1])
	time.Sleep(drainLag)
	f.fault(cluster.TargetObjects, faults.Kill, true)
	fresh := f.startEntry("entry-new", domains[1])
	f.awaitReady(fresh)
	was := f.domainRuns(domains[0])
	for range 30 {
		id := newID("prompt")
		is.NoErr(prompt(id, 100, 20, true).Do(fresh.row.Addr).CheckStream(id, 20))
	}
	is.Equal(f.domainRuns(domains[0]), was)
	f.fault(cluster.TargetObjects, faults.Kill, false)
}

// The platform's balancer keeps connections to an entry instance open and sends one request after the other
// on them. While the instance stops, each request is answered, or the answer before it said that the
// connection closes; none is cut off.
func TestGracefulStopOfKeptConnections(t *testing.T) {
	is := is.New(t)
	f := start(t)
	old := f.started()[0]
	const kept = 16
	cut := make(chan error, kept)
	for range kept {
		conn, err := net.Dial("tcp", old.row.Addr)
		is.NoErr(err)
		go func() { cut <- useUp(conn) }()
	}
	time.Sleep(before)
	f.signal(old, syscall.SIGTERM)
	for range kept {
		is.NoErr(<-cut)
	}
	is.Equal(f.awaitExit(old), 0)
}

// useUp sends requests over a connection until an answer says that it closes; an error is a request without
// an answer.
func useUp(conn net.Conn) error {
	defer conn.Close()
	for n := 0; ; n++ {
		r := read().DoConn(conn)
		if r.Err != nil || r.Status == 0 {
			return fmt.Errorf("request %d on a kept connection was cut off: %w", n, r.Err)
		}
		if strings.EqualFold(r.Header["Connection"], "close") {
			return nil
		}
	}
}
