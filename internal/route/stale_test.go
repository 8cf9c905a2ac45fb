package route

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// fullGate lets only one upstream take requests, though all looked open a moment before.
type fullGate struct {
	openGate
	only    fleet.UpstreamID
	refused atomic.Int64
}

func (g *fullGate) Acquire(u *fleet.Upstream) bool {
	if u.ID == g.only {
		return true
	}
	g.refused.Add(1)
	return false
}

// with gives the bench's first view with services beside the engines, each changed by edit.
func (b *bench) with(edit func(*fleet.Upstream)) *fleet.View {
	var all []*fleet.Upstream
	for _, u := range b.view.Upstreams {
		c := *u
		all = append(all, &c)
	}
	for _, id := range []fleet.UpstreamID{"s0", "s1", "s2"} {
		all = append(all, &fleet.Upstream{ID: id, Kind: fleet.Service, Service: "bookdesk", Domain: "d" + fleet.DomainID(id[1:])})
	}
	for _, u := range all {
		edit(u)
	}
	return fleet.NewView(2, b.view.Config, 2, b.view.Instances, all)
}

// An instance is paused in the middle of a choice. Meanwhile operators take a failure domain out; when the
// instance wakes, another goroutine catches up first, so that it is usable again, while this one still holds
// the engine and service instance that it chose by the old view. Both lie in the domain that is out.
func TestChoiceFromBeforeAPauseIsNotGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for range 20 {
			b := newBench(3, nil)
			b.now.Store(b.with(func(*fleet.Upstream) {}))
			out := b.with(func(u *fleet.Upstream) { u.Out = u.Domain != "d2" })
			b.CheckUsable = func() error {
				b.now.Store(out) // the other goroutine catches up just now
				return nil
			}
			g, err := b.Acquire(t.Context(), b.request(2000, time.Minute))
			is.NoErr(err)
			is.Equal(g.Upstream.ID, fleet.UpstreamID("e2"))
			g.Release(OK)
			b.now.Store(b.with(func(*fleet.Upstream) {}))
			g, err = b.Acquire(t.Context(), Request{ID: "c", Workspace: "w", Service: "bookdesk", Deadline: time.Now().Add(time.Minute)})
			is.NoErr(err)
			is.Equal(g.Upstream.ID, fleet.UpstreamID("s2"))
			g.Release(OK)
		}
	})
}

// A guest's booking is refused though one instance of the service has room: two others were chosen and filled
// up between the look and the taking of a place, and the third was not asked.
func TestBookingGoesToTheInstanceWithRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gate := &fullGate{only: "s1"}
		b := newBench(1, gate)
		b.now.Store(b.with(func(*fleet.Upstream) {}))
		call := Request{ID: "c", Workspace: "w", Service: "bookdesk", Deadline: time.Now().Add(time.Minute)}
		for range 30 {
			g, err := b.Acquire(t.Context(), call)
			is.NoErr(err)
			is.Equal(g.Upstream.ID, fleet.UpstreamID("s1"))
			g.Release(OK)
		}
		is.True(gate.refused.Load() > 0)
		gate.only = "none"
		_, err := b.Acquire(t.Context(), call)
		is.True(fault.Is(err, fault.NoUpstream))
	})
}

// Guards against turning callers away though the instance, stale after a pause, is usable again a moment later.
func TestRequestsWaitForTrustThatComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(1, nil)
		b.now.Store(b.with(func(*fleet.Upstream) {}))
		call := Request{ID: "c", Workspace: "w", Service: "bookdesk", Deadline: time.Now().Add(time.Minute)}
		start := time.Now()
		const back, over = 150 * time.Millisecond, time.Second
		b.CheckUsable = func() error {
			if time.Since(start) < back {
				return fault.New(fault.StaleInstance, "paused")
			}
			return nil
		}
		b.RegainingTrust = func() bool { return true }
		for _, q := range []Request{call, b.request(2000, time.Minute)} {
			start = time.Now()
			g, err := b.Acquire(t.Context(), q)
			is.NoErr(err)
			is.True(time.Since(start) >= back)
			is.True(time.Since(start) <= back+regainPoll)
			g.Release(OK)
		}
		is.Equal(b.space("w").Count(), 0)

		b.CheckUsable = func() error { return fault.New(fault.StaleInstance, "cut off") }
		b.RegainingTrust = func() bool { return time.Since(start) < over }
		start = time.Now()
		_, err := b.Acquire(t.Context(), call)
		is.True(fault.Is(err, fault.StaleInstance))
		is.True(time.Since(start) <= over+regainPoll) // it is not waited for longer
		start = time.Now().Add(-over)
		again := time.Now()
		_, err = b.Acquire(t.Context(), call)
		is.True(fault.Is(err, fault.StaleInstance))
		is.Equal(time.Since(again), time.Duration(0)) // cut off for longer: refused at once

		b.RegainingTrust = func() bool { return true }
		short, cancel := context.WithTimeout(t.Context(), back)
		defer cancel()
		again = time.Now()
		_, err = b.Acquire(short, call)
		is.True(fault.Is(err, fault.StaleInstance)) // it has not run
		is.Equal(time.Since(again), back)
	})
}

// Guards against memory that is reserved on engines and given back at each look while the instance is not usable.
func TestMemoryIsNotReservedAnewWhileTrustIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(2, nil)
		long := b.request(200_000, time.Minute)
		g, err := b.Acquire(t.Context(), long)
		is.NoErr(err)
		g.Release(OK)
		once := b.memory.asked
		is.True(once > 0)
		back := time.Now().Add(200 * time.Millisecond)
		b.CheckUsable = func() error {
			if time.Now().Before(back) {
				return fault.New(fault.StaleInstance, "paused")
			}
			return nil
		}
		b.RegainingTrust = func() bool { return true }
		long.ID = "again"
		g, err = b.Acquire(t.Context(), long)
		is.NoErr(err)
		g.Release(OK)
		is.Equal(b.memory.asked, 3*once) // before the pause is noticed, and after it
	})
}
