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

// singleUpstreamGate is a Gate that reports capacity for every upstream but lets only one acquire a slot.
type singleUpstreamGate struct {
	unlimitedGate
	accepting fleet.UpstreamID
	refused   atomic.Int64
}

// Acquire implements Gate.
func (g *singleUpstreamGate) Acquire(u *fleet.Upstream) bool {
	if u.ID == g.accepting {
		return true
	}
	g.refused.Add(1)
	return false
}

// viewWithServices returns the testbench's first view with three services added, after edit was called for each
// upstream.
func (b *testbench) viewWithServices(edit func(*fleet.Upstream)) *fleet.View {
	var all []*fleet.Upstream
	for _, u := range b.initial.Upstreams {
		c := *u
		all = append(all, &c)
	}
	for _, id := range []fleet.UpstreamID{"s0", "s1", "s2"} {
		all = append(all, &fleet.Upstream{
			ID: id, Kind: fleet.Service, Service: "bookdesk", Domain: "d" + fleet.DomainID(id[1:]),
		})
	}
	for _, u := range all {
		edit(u)
	}
	return fleet.NewView(2, b.initial.Config, 2, b.initial.Instances, all)
}

// Guards against a grant for an upstream in a failure domain that is out of service. This happens if the process is
// paused during a choice while operators take the domain out. After the pause, another goroutine updates the view
// first, so that the instance is usable again, while the choice still refers to the old view.
func TestChoiceMadeBeforePauseIsNotGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for range 20 {
			b := newTestbench(3, nil)
			b.current.Store(b.viewWithServices(func(*fleet.Upstream) {}))
			domainsOut := b.viewWithServices(func(u *fleet.Upstream) { u.DomainOut = u.Domain != "d2" })
			b.CheckUsable = func() error {
				b.current.Store(domainsOut) // the other goroutine updates the view now
				return nil
			}
			g, err := b.Acquire(t.Context(), b.request(2000, time.Minute))
			is.NoErr(err)
			is.Equal(g.Upstream.ID, fleet.UpstreamID("e2"))
			g.Release(OK)
			b.current.Store(b.viewWithServices(func(*fleet.Upstream) {}))
			g, err = b.Acquire(t.Context(), Request{
				ID: "c", Workspace: "w", Service: "bookdesk", Deadline: time.Now().Add(time.Minute),
			})
			is.NoErr(err)
			is.Equal(g.Upstream.ID, fleet.UpstreamID("s2"))
			g.Release(OK)
		}
	})
}

// Guards against the refusal of a service call although one upstream has capacity. This happens if the two upstreams
// that were chosen fill up between the check of their capacity and the acquisition, and the third isn't tried.
func TestServiceCallGoesToInstanceWithCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gate := &singleUpstreamGate{accepting: "s1"}
		b := newTestbench(1, gate)
		b.current.Store(b.viewWithServices(func(*fleet.Upstream) {}))
		call := Request{ID: "c", Workspace: "w", Service: "bookdesk", Deadline: time.Now().Add(time.Minute)}
		for range 30 {
			g, err := b.Acquire(t.Context(), call)
			is.NoErr(err)
			is.Equal(g.Upstream.ID, fleet.UpstreamID("s1"))
			g.Release(OK)
		}
		is.True(gate.refused.Load() > 0)
		gate.accepting = "none"
		_, err := b.Acquire(t.Context(), call)
		is.True(fault.Is(err, fault.NoUpstream))
	})
}

// Guards against the refusal of callers by an instance that is stale after a pause and usable again shortly after.
func TestRequestsWaitForTrustToReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestbench(1, nil)
		b.current.Store(b.viewWithServices(func(*fleet.Upstream) {}))
		call := Request{ID: "c", Workspace: "w", Service: "bookdesk", Deadline: time.Now().Add(time.Minute)}
		start := time.Now()
		const regainAfter, regainLimit = 150 * time.Millisecond, time.Second
		b.CheckUsable = func() error {
			if time.Since(start) < regainAfter {
				return fault.New(fault.StaleInstance, "paused")
			}
			return nil
		}
		b.RegainingTrust = func() bool { return true }
		for _, q := range []Request{call, b.request(2000, time.Minute)} {
			start = time.Now()
			g, err := b.Acquire(t.Context(), q)
			is.NoErr(err)
			is.True(time.Since(start) >= regainAfter)
			is.True(time.Since(start) <= regainAfter+regainPollInterval)
			g.Release(OK)
		}
		is.Equal(b.workspaceInFlight("w").Count(), 0)

		b.CheckUsable = func() error { return fault.New(fault.StaleInstance, "cut off") }
		b.RegainingTrust = func() bool { return time.Since(start) < regainLimit }
		start = time.Now()
		_, err := b.Acquire(t.Context(), call)
		is.True(fault.Is(err, fault.StaleInstance))
		is.True(time.Since(start) <= regainLimit+regainPollInterval) // no wait beyond that
		start = time.Now().Add(-regainLimit)
		retried := time.Now()
		_, err = b.Acquire(t.Context(), call)
		is.True(fault.Is(err, fault.StaleInstance))
		is.Equal(time.Since(retried), time.Duration(0)) // isolated for longer: refused immediately

		b.RegainingTrust = func() bool { return true }
		shortCtx, cancel := context.WithTimeout(t.Context(), regainAfter)
		defer cancel()
		retried = time.Now()
		_, err = b.Acquire(shortCtx, call)
		is.True(fault.Is(err, fault.StaleInstance)) // the request has not run
		is.Equal(time.Since(retried), regainAfter)
	})
}

// Guards against reserving and releasing memory on engines at each check while the instance isn't usable.
func TestMemoryIsNotReservedWhileAwaitingTrust(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestbench(2, nil)
		long := b.request(200_000, time.Minute)
		g, err := b.Acquire(t.Context(), long)
		is.NoErr(err)
		g.Release(OK)
		callsPerAcquire := b.memory.reserveCalls
		is.True(callsPerAcquire > 0)
		regainAt := time.Now().Add(200 * time.Millisecond)
		b.CheckUsable = func() error {
			if time.Now().Before(regainAt) {
				return fault.New(fault.StaleInstance, "paused")
			}
			return nil
		}
		b.RegainingTrust = func() bool { return true }
		long.ID = "again"
		g, err = b.Acquire(t.Context(), long)
		is.NoErr(err)
		g.Release(OK)
		is.Equal(b.memory.reserveCalls, 3*callsPerAcquire) // the first prompt, then before the pause is detected and after it
	})
}
