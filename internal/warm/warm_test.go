package warm_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/health"
	"github.com/damaskshelf/damaskshelf/internal/explain"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/route"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
	"github.com/damaskshelf/damaskshelf/internal/warm"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testLimits holds one instance's Limits with a view and a clock that the test sets.
type testLimits struct {
	*warm.Limits
	clock atomic.Int64
	view  atomic.Pointer[fleet.View]
}

func engine(id string) *fleet.Upstream {
	return &fleet.Upstream{ID: fleet.UpstreamID(id), Addr: id, Kind: fleet.Engine}
}

// newTestLimits returns the Limits of instance self with these upstreams in its view. Its slots are not settled.
func newTestLimits(self string, ups ...*fleet.Upstream) *testLimits {
	l := &testLimits{}
	l.setView(1, ups...)
	l.Limits = warm.New(warm.Config{
		Self: self, Params: warm.NewParams(500*time.Millisecond, 500*time.Millisecond), View: l.view.Load,
		Now:     func() decide.Instant { return decide.Instant(l.clock.Load()) },
		Explain: explain.New(hclog.NewNullLogger()), Log: hclog.NewNullLogger(),
	})
	return l
}

func (l *testLimits) setView(version uint64, ups ...*fleet.Upstream) {
	l.view.Store(fleet.NewView(1, api.Config{}, version, nil, ups))
}

func (l *testLimits) advance(d time.Duration) { l.clock.Add(int64(d)) }

// settleSlots applies the instance list at intervals until the instance's slots are settled.
func (l *testLimits) settleSlots(live ...string) {
	for range 40 {
		l.OnInstanceList(1, live, time.Now())
		l.advance(500 * time.Millisecond)
	}
	l.OnInstanceList(1, live, time.Now())
	l.Tick(false)
}

// acquireAll acquires until the limit refuses, at most 200 times, and returns the number of acquired requests.
func (l *testLimits) acquireAll(u *fleet.Upstream) int {
	n := 0
	for n < 200 && l.Acquire(u) {
		n++
	}
	return n
}

func coldReport(limit int) wire.LoadReport {
	return wire.LoadReport{BootID: "b1", Cold: true, ColdLimit: limit}
}

// The cold limit is 4 and nine instances send requests: each may use one slot at most, and all together use 4.
func TestInstancesTogetherKeepColdLimit(t *testing.T) {
	is := is.New(t)
	e := engine("e1")
	var ids []string
	for i := range 9 {
		ids = append(ids, fmt.Sprint("entry-", i))
	}
	sum := 0
	for _, id := range ids {
		l := newTestLimits(id, e)
		l.settleSlots(ids...)
		l.OnLoad(e, coldReport(4), time.Now())
		l.Tick(false)
		n := l.acquireAll(e)
		is.True(n <= 1)
		is.Equal(l.HasCapacity(e), false)
		sum += n
		_, bounded := l.MaxDispatch(e)
		is.True(bounded)
	}
	is.Equal(sum, 4)
}

// Guards against the use of an outdated slot: an instance is paused while it has a slot. After the pause a request
// arrives before any tick or list read, and the slot may be assigned to another instance by then.
func TestSlotsExpireDuringPause(t *testing.T) {
	is := is.New(t)
	e := engine("e1")
	l := newTestLimits("a", e)
	l.settleSlots("a")
	l.OnLoad(e, coldReport(2), time.Now())
	l.Tick(false)
	is.True(l.HasCapacity(e))
	l.advance(3 * time.Second)
	is.True(!l.HasCapacity(e))
	is.True(!l.Acquire(e))
	l.OnInstanceList(1, []string{"a"}, time.Now())
	l.Tick(false)
	is.True(l.Acquire(e)) // the list has the same version, so the slots haven't changed
}

// Guards against full load on an engine that has turned cold: it resets connections, but its latest report, from just
// before, says that it is warm.
func TestSuspectGetsNoMoreThanColdLimit(t *testing.T) {
	is := is.New(t)
	e := engine("e1")
	l := newTestLimits("a", e)
	l.settleSlots("a", "b", "c")
	l.OnLoad(e, wire.LoadReport{BootID: "b1", ColdLimit: 2}, time.Now())
	is.Equal(l.State(e), health.Warm)
	is.Equal(l.acquireAll(e), 16) // the window of requests without a first byte
	l.Release(e, route.Failed)
	is.Equal(l.State(e), health.Suspect)
	is.True(!l.HasCapacity(e))
	l.OnLoad(e, wire.LoadReport{BootID: "b1", ColdLimit: 2}, time.Now().Add(-time.Second))
	is.Equal(l.State(e), health.Suspect)
	l.advance(time.Second)
	l.OnLoad(e, wire.LoadReport{BootID: "b1", ColdLimit: 2}, time.Now())
	is.Equal(l.State(e), health.Warming) // load grows again from the start
	for range 63 {
		l.OnFirstByte(e, time.Millisecond, 0)
		l.OnLastByte(e)
	}
	is.Equal(l.State(e), health.Warm)
	l.OnLoad(e, wire.LoadReport{BootID: "b2", ColdLimit: 2}, time.Now())
	is.Equal(l.State(e), health.Cold) // restarted: the report of "warm" describes the former process
}

// An upstream that is leaving or no longer listed gets no work. It returns as cold after it was leaving, and as unknown
// after it was unlisted.
func TestLeavingAndUnlistedGetNoWork(t *testing.T) {
	is := is.New(t)
	e, leaving := engine("e1"), engine("e1")
	leaving.Leaving = true
	l := newTestLimits("a", e)
	l.OnLoad(e, wire.LoadReport{BootID: "b1"}, time.Now())
	l.Tick(false)
	is.True(l.HasCapacity(e))
	l.setView(2, leaving)
	l.Tick(false)
	is.Equal(l.State(e), health.Leaving)
	is.True(!l.Acquire(e))
	l.setView(3, e)
	l.Tick(false)
	is.Equal(l.State(e), health.Cold)
	l.setView(4)
	l.Tick(false)
	is.Equal(l.State(e), health.Gone)
	is.True(!l.Acquire(e))
	l.setView(5, e)
	l.Tick(false)
	is.Equal(l.State(e), health.Unknown)
}

// The window counts only requests without a first byte, so streaming requests don't use it.
func TestStreamingRequestsDoNotUseTheWindow(t *testing.T) {
	is := is.New(t)
	e := engine("e1")
	l := newTestLimits("a", e)
	l.OnLoad(e, wire.LoadReport{BootID: "b1"}, time.Now())
	for range 50 {
		is.True(l.Acquire(e))
		l.OnFirstByte(e, time.Millisecond, 0)
	}
	for range 50 {
		l.OnLastByte(e)
		l.Release(e, route.OK)
	}
	is.Equal(l.acquireAll(e), 16)
}

// The caps are kept when many requests acquire concurrently.
func TestCapsUnderConcurrency(t *testing.T) {
	is := is.New(t)
	e := engine("e1")
	l := newTestLimits("a", e)
	l.settleSlots("a")
	l.OnLoad(e, coldReport(3), time.Now())
	l.Tick(false)
	var inFlight, maxInFlight atomic.Int64
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			for range 300 {
				if !l.Acquire(e) {
					continue
				}
				n := inFlight.Add(1)
				for m := maxInFlight.Load(); n > m && !maxInFlight.CompareAndSwap(m, n); m = maxInFlight.Load() {
				}
				inFlight.Add(-1)
				l.Release(e, route.Cancelled)
			}
		})
	}
	wg.Wait()
	is.True(maxInFlight.Load() <= 3)
	is.Equal(l.acquireAll(e), 3) // all acquired requests were released
}

// answeringPinger is a Pinger whose probes all succeed.
type answeringPinger struct{}

func (answeringPinger) Ping(context.Context, string, time.Duration) error { return nil }

// A plain service sends no load reports: probes provide the evidence, and its load grows with successful requests.
func TestServicesAreProbed(t *testing.T) {
	is := is.New(t)
	service := &fleet.Upstream{ID: "desk-0", Kind: fleet.Service, Service: "desk"}
	l := newTestLimits("a", service)
	is.Equal(l.acquireAll(service), 4) // services have no slots, so no settle time is needed
	for range 4 {
		l.Release(service, route.OK)
	}
	probe := func(p warm.Pinger) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		l.RunProbes(ctx, p, time.Hour) // results of probes whose context is canceled are ignored
		is.Equal(l.State(service), health.Unknown)
		ctx, cancel = context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		done := make(chan struct{})
		go func() {
			defer close(done)
			l.RunProbes(ctx, p, time.Millisecond)
		}()
		for l.State(service) == health.Unknown {
			time.Sleep(time.Millisecond)
		}
		cancel()
		<-done
	}
	probe(answeringPinger{})
	is.Equal(l.State(service), health.Warming)
	for range 63 {
		is.True(l.Acquire(service))
		l.Release(service, route.OK)
	}
	is.Equal(l.State(service), health.Warm)
}
