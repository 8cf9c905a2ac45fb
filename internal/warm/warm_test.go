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

// bed is one instance's Limits on a clock that the test sets.
type bed struct {
	*warm.Limits
	clock atomic.Int64
	view  atomic.Pointer[fleet.View]
}

func engine(id string) *fleet.Upstream {
	return &fleet.Upstream{ID: fleet.UpstreamID(id), Addr: id, Kind: fleet.Engine}
}

func newBed(self string, ups ...*fleet.Upstream) *bed {
	b := &bed{}
	b.show(1, ups...)
	b.Limits = warm.New(warm.Config{
		Self: self, Params: warm.NewParams(500*time.Millisecond, 500*time.Millisecond), View: b.view.Load,
		Now:     func() decide.Instant { return decide.Instant(b.clock.Load()) },
		Explain: explain.New(hclog.NewNullLogger()), Log: hclog.NewNullLogger(),
	})
	return b
}

func (b *bed) show(version uint64, ups ...*fleet.Upstream) {
	b.view.Store(fleet.NewView(1, api.Config{}, version, nil, ups))
}

func (b *bed) pass(d time.Duration) { b.clock.Add(int64(d)) }

// settle lets the instance read the list until its slots are settled.
func (b *bed) settle(live ...string) {
	for range 40 {
		b.OnInstanceList(1, live, time.Now())
		b.pass(500 * time.Millisecond)
	}
	b.OnInstanceList(1, live, time.Now())
	b.Tick(false)
}

// take counts how many requests the upstream gets at once.
func (b *bed) take(u *fleet.Upstream) int {
	n := 0
	for n < 200 && b.Acquire(u) {
		n++
	}
	return n
}

func cold(limit int) wire.LoadReport {
	return wire.LoadReport{BootID: "b1", Cold: true, ColdLimit: limit}
}

// A cold engine bears four at once, and nine instances hold requests for it.
func TestSlotsOverInstances(t *testing.T) {
	is := is.New(t)
	e := engine("e1")
	var ids []string
	for i := range 9 {
		ids = append(ids, fmt.Sprint("entry-", i))
	}
	sum := 0
	for _, id := range ids {
		b := newBed(id, e)
		b.settle(ids...)
		b.OnLoad(e, cold(4), time.Now())
		b.Tick(false)
		n := b.take(e)
		is.True(n <= 1)
		is.Equal(b.HasCapacity(e), false)
		sum += n
		_, bounded := b.MaxDispatch(e)
		is.True(bounded)
	}
	is.Equal(sum, 4)
}

// An instance is frozen with a slot in hand. When it wakes, a request comes before any tick or read; its
// slot may be another instance's by now.
func TestSlotsEndWithAPause(t *testing.T) {
	is := is.New(t)
	e := engine("e1")
	b := newBed("a", e)
	b.settle("a")
	b.OnLoad(e, cold(2), time.Now())
	b.Tick(false)
	is.True(b.HasCapacity(e))
	b.pass(3 * time.Second)
	is.True(!b.HasCapacity(e))
	is.True(!b.Acquire(e))
	b.OnInstanceList(1, []string{"a"}, time.Now())
	b.Tick(false)
	is.True(b.Acquire(e)) // the same version of the list: nothing changed meanwhile
}

// A warm engine resets connections because it turned cold. Its report of just before says "warm".
func TestSuspectBearsNoMoreThanCold(t *testing.T) {
	is := is.New(t)
	e := engine("e1")
	b := newBed("a", e)
	b.settle("a", "b", "c")
	b.OnLoad(e, wire.LoadReport{BootID: "b1", ColdLimit: 2}, time.Now())
	is.Equal(b.State(e), health.Warm)
	is.Equal(b.take(e), 16) // the window of requests without a first byte
	b.Release(e, route.Failed)
	is.Equal(b.State(e), health.Suspect)
	is.True(!b.HasCapacity(e))
	b.OnLoad(e, wire.LoadReport{BootID: "b1", ColdLimit: 2}, time.Now().Add(-time.Second))
	is.Equal(b.State(e), health.Suspect)
	b.pass(time.Second)
	b.OnLoad(e, wire.LoadReport{BootID: "b1", ColdLimit: 2}, time.Now())
	is.Equal(b.State(e), health.Warming) // load grows anew
	for range 63 {
		b.OnFirstByte(e, time.Millisecond, 0)
		b.OnLastByte(e)
	}
	is.Equal(b.State(e), health.Warm)
	b.OnLoad(e, wire.LoadReport{BootID: "b2", ColdLimit: 2}, time.Now())
	is.Equal(b.State(e), health.Cold) // restarted: its "warm" of that moment is the old process's
}

// What leaves or is no longer listed gets nothing. It comes back as cold, or as unknown if the list had lost it.
func TestLeavingAndGone(t *testing.T) {
	is := is.New(t)
	e, leaving := engine("e1"), engine("e1")
	leaving.Leaving = true
	b := newBed("a", e)
	b.OnLoad(e, wire.LoadReport{BootID: "b1"}, time.Now())
	b.Tick(false)
	is.True(b.HasCapacity(e))
	b.show(2, leaving)
	b.Tick(false)
	is.Equal(b.State(e), health.Leaving)
	is.True(!b.Acquire(e))
	b.show(3, e)
	b.Tick(false)
	is.Equal(b.State(e), health.Cold)
	b.show(4)
	b.Tick(false)
	is.Equal(b.State(e), health.Gone)
	is.True(!b.Acquire(e))
	b.show(5, e)
	b.Tick(false)
	is.Equal(b.State(e), health.Unknown)
}

// The window counts requests without a first byte: those that stream don't use it up.
func TestStreamsDoNotUseTheWindow(t *testing.T) {
	is := is.New(t)
	e := engine("e1")
	b := newBed("a", e)
	b.OnLoad(e, wire.LoadReport{BootID: "b1"}, time.Now())
	for range 50 {
		is.True(b.Acquire(e))
		b.OnFirstByte(e, time.Millisecond, 0)
	}
	for range 50 {
		b.OnLastByte(e)
		b.Release(e, route.OK)
	}
	is.Equal(b.take(e), 16)
}

// Caps hold while many requests ask at once.
func TestCapsUnderConcurrency(t *testing.T) {
	is := is.New(t)
	e := engine("e1")
	b := newBed("a", e)
	b.settle("a")
	b.OnLoad(e, cold(3), time.Now())
	b.Tick(false)
	var now, most atomic.Int64
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			for range 300 {
				if !b.Acquire(e) {
					continue
				}
				n := now.Add(1)
				for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
				}
				now.Add(-1)
				b.Release(e, route.Cancelled)
			}
		})
	}
	wg.Wait()
	is.True(most.Load() <= 3)
	is.Equal(b.take(e), 3) // every place came back
}

// pings answers every probe.
type pings struct{}

func (pings) Ping(context.Context, string, time.Duration) error { return nil }

// A plain service makes no reports: probes tell, and its load grows by successes.
func TestServicesAreProbed(t *testing.T) {
	is := is.New(t)
	desk := &fleet.Upstream{ID: "desk-0", Kind: fleet.Service, Service: "desk"}
	b := newBed("a", desk)
	is.Equal(b.take(desk), 4) // no slots are dealt, and nothing is refused for want of a settle time
	for range 4 {
		b.Release(desk, route.OK)
	}
	probe := func(p warm.Pinger) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		b.RunProbes(ctx, p, time.Hour) // one round that is cut off at once counts for nothing
		is.Equal(b.State(desk), health.Unknown)
		ctx, cancel = context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		done := make(chan struct{})
		go func() {
			defer close(done)
			b.RunProbes(ctx, p, time.Millisecond)
		}()
		for b.State(desk) == health.Unknown {
			time.Sleep(time.Millisecond)
		}
		cancel()
		<-done
	}
	probe(pings{})
	is.Equal(b.State(desk), health.Warming)
	for range 63 {
		is.True(b.Acquire(desk))
		b.Release(desk, route.OK)
	}
	is.Equal(b.State(desk), health.Warm)
}
