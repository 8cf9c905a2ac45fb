package service_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/standin/rawhttp"
	"github.com/damaskshelf/damaskshelf/internal/standin/service"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

func start(t *testing.T) (*service.Server, *service.Ledger) {
	t.Helper()
	ledger := &service.Ledger{}
	s, err := service.Start("127.0.0.1:0", "bookdesk-0", ledger)
	is.New(t).NoErr(err)
	t.Cleanup(s.Close)
	return s, ledger
}

// bookingCall returns a booking with a request id and an idempotency key, which may be empty.
func bookingCall(id, key string) rawhttp.Call {
	c := rawhttp.Call{Path: service.PathBookings, Body: []byte(`{"hut":"north","day":"monday"}`)}
	return c.WithHeader(wire.HeaderRequestID, id).WithHeader(wire.HeaderIdempotencyKey, key)
}

func TestBookings(t *testing.T) {
	is := is.New(t)
	s, ledger := start(t)
	availability := rawhttp.Call{Method: fasthttp.MethodGet, Path: service.PathAvailability + "?hut=north&day=monday"}
	is.Equal(string(availability.Do(s.Addr()).Body), `{"hut":"north","day":"monday","free":true}`)
	r := bookingCall("r1", "k1").Do(s.Addr())
	is.Equal(r.Status, 201)
	is.Equal(string(r.Body), `{"id":"booking-1","hut":"north","day":"monday","request_id":"r1"}`)
	is.True(r.Header[wire.HeaderBootID] != "")
	is.Equal(string(availability.Do(s.Addr()).Body), `{"hut":"north","day":"monday","free":false}`)
	is.Equal(len(ledger.Executions()), 3)
	is.Equal(rawhttp.Call{Path: service.PathBookings, Body: []byte(`{}`)}.Do(s.Addr()).Status, 400)
}

// The ledger counts each run if the same booking reaches the service more than once.
func TestLedgerCountsRepeatedRuns(t *testing.T) {
	is := is.New(t)
	s, ledger := start(t)
	is.Equal(bookingCall("r1", "k").Do(s.Addr()).Status, 201)
	is.Equal(bookingCall("r2", "k").Do(s.Addr()).Status, 201)
	is.Equal(bookingCall("r2", "").Do(s.Addr()).Status, 201)
	is.Equal(ledger.RunsByRequest(), map[string]int{"r1": 1, "r2": 2})
	is.Equal(ledger.RunsByKey(), map[string]int{"k": 2})
	is.Equal(len(ledger.Bookings()), 3)
}

// Each fault gives the caller the expected status, and the booking runs only if the fault comes after the run.
func TestFaults(t *testing.T) {
	cases := []struct {
		fault      faults.Fault
		status     int
		runs       int
		notStarted bool // the response says that the request did not start
	}{
		{faults.RefuseStart, 503, 0, true},
		{faults.Leaving, 503, 0, true},
		{faults.RefuseEverything, 503, 0, false},
		{faults.CrashBeforeRun, 0, 0, false},
		{faults.CrashAfterRun, 0, 1, false},
		{faults.LoseAnswer, 0, 1, false},
		{faults.Kill, 0, 0, false},
		{faults.Hang, 0, 0, false},
	}
	for _, c := range cases {
		t.Run(string(c.fault), func(t *testing.T) {
			is := is.New(t)
			s, ledger := start(t)
			is.NoErr(s.Switch(c.fault, true, 0))
			call := bookingCall("r1", "")
			if c.fault == faults.Hang {
				call.Timeout = 100 * time.Millisecond
			}
			r := call.Do(s.Addr())
			is.Equal(r.Status, c.status)
			is.Equal(r.Header[wire.HeaderNotStarted] == "true", c.notStarted)
			is.Equal(ledger.RunsByRequest()["r1"], c.runs)
			is.NoErr(s.Switch(c.fault, false, 0))
			is.Equal(bookingCall("r2", "").Do(s.Addr()).Status, 201)
		})
	}
}

func TestBootIDChangesWithARestart(t *testing.T) {
	is := is.New(t)
	s, _ := start(t)
	ping := rawhttp.Call{Method: fasthttp.MethodGet, Path: wire.PathPing}
	before := ping.Do(s.Addr()).Header[wire.HeaderBootID]
	is.NoErr(s.Switch(faults.Kill, true, 0))
	is.NoErr(s.Switch(faults.Kill, false, 0))
	is.True(before != ping.Do(s.Addr()).Header[wire.HeaderBootID])
}
