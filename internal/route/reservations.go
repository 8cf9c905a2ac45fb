package route

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide/pick"
	"github.com/damaskshelf/damaskshelf/internal/decide/reserve"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

const (
	// memoryTimeout is how long after its start a group retries engines that have no memory for it. The prompt is then
	// queued again, or refused if its deadline is too near.
	memoryTimeout = time.Second
	// callTimeout bounds one call to an engine to reserve or release memory.
	callTimeout = 2 * time.Second
)

// holder identifies this instance and its incarnation in reservations.
type holder struct {
	instance    string
	incarnation string
	lastID      atomic.Uint64 // number in the id of the last reservation
}

// reservations makes and releases the memory reservations of one request. It executes the effects that a reserve.Group
// returns and reports their results to the group. The calls to engines run in goroutines of their own, so that releases
// continue after the request has ended.
type reservations struct {
	router   *Router
	addrs    map[fleet.UpstreamID]string
	deadline time.Time
	outcome  chan bool // whether all parts are reserved; buffered

	mu    sync.Mutex
	group *reserve.Group // guarded by mu
	ended bool           // guarded by mu
}

// newReservations prepares the reservations of a plan. It contacts no engine.
func (a *admission) newReservations(plan *pick.Plan) *reservations {
	r := a.model.router
	rs := &reservations{
		router: r, addrs: map[fleet.UpstreamID]string{}, deadline: a.request.Deadline, outcome: make(chan bool, 1),
	}
	var parts []reserve.Part
	for _, p := range plan.Parts {
		id := fmt.Sprintf("%s-%d", r.self.incarnation, r.self.lastID.Add(1))
		parts = append(parts, reserve.Part{ID: id, Upstream: p.Engine.ID, Tokens: p.Tokens})
		if u := a.upstream(p.Engine.ID); u != nil {
			rs.addrs[u.ID] = u.Addr
		}
	}
	rs.group = reserve.New(parts, memoryTimeout, r.instant(a.request.Deadline.Add(reserve.ReleaseGrace)))
	return rs
}

// idOn returns the id of the reservation on an engine, or "" if there is none.
func (rs *reservations) idOn(engine fleet.UpstreamID) string {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for i := range rs.group.Len() {
		if p := rs.group.Part(i); p.Upstream == engine {
			return p.ID
		}
	}
	return ""
}

// acquireAll reserves all parts and reports whether that succeeded. If ctx ends first, it releases what was reserved.
func (rs *reservations) acquireAll(ctx context.Context) bool {
	rs.router.unreleased.Add(1)
	rs.apply(func() []reserve.Effect { return rs.group.Start(rs.router.now()) })
	select {
	case ok := <-rs.outcome:
		return ok
	case <-ctx.Done():
		rs.releaseAll()
		return false
	}
}

// releaseAll starts the release of all parts. Only the first call has an effect.
func (rs *reservations) releaseAll() {
	rs.apply(func() []reserve.Effect {
		rs.ended = true
		return rs.group.End()
	})
}

// apply calls event, which passes an event to the group, and executes the effects that it returns.
func (rs *reservations) apply(event func() []reserve.Effect) {
	rs.mu.Lock()
	effects := event()
	rs.mu.Unlock()
	for _, e := range effects {
		switch e.Verb {
		case reserve.Reserve:
			go rs.reservePart(e)
		case reserve.Release:
			go rs.releasePart(e)
		case reserve.Ready:
			rs.sendOutcome(true, e)
		case reserve.Failed:
			rs.sendOutcome(false, e)
		case reserve.Done:
			rs.router.unreleased.Done()
		}
	}
}

// sendOutcome counts the group's outcome and sends it to acquireAll, which may have returned already.
func (rs *reservations) sendOutcome(ok bool, e reserve.Effect) {
	rs.router.meter.countDecision("hold", e.Reason)
	select {
	case rs.outcome <- ok:
	default: // an earlier outcome fills the buffer
	}
}

// reservePart reserves one part after the effect's delay. It sends nothing if releaseAll was called during the delay.
func (rs *reservations) reservePart(e reserve.Effect) {
	time.Sleep(e.Delay)
	rs.mu.Lock()
	ended, part := rs.ended, rs.group.Part(e.Part)
	rs.mu.Unlock()
	if ended {
		rs.apply(func() []reserve.Effect { return rs.group.Refused(e.Part, rs.router.now()) })
		return
	}
	err := rs.sendReserve(part)
	rs.apply(func() []reserve.Effect {
		var ce *upstream.CallError
		switch {
		case err == nil:
			return rs.group.Granted(e.Part)
		case errors.As(err, &ce) && !ce.MayHaveRun():
			return rs.group.Refused(e.Part, rs.router.now())
		default:
			return rs.group.ReserveUnknown(e.Part)
		}
	})
}

// sendReserve sends the call that reserves one part. The reservation expires a grace period after the deadline.
func (rs *reservations) sendReserve(p reserve.Part) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	left := time.Until(rs.deadline)
	return rs.router.memory.Reserve(ctx, rs.addrs[p.Upstream], wire.Reservation{
		ID: p.ID, Holder: rs.router.self.instance, Incarnation: rs.router.self.incarnation, Tokens: p.Tokens,
		TTLMs: (left + reserve.ReleaseGrace).Milliseconds(), DeadlineMs: max(left.Milliseconds(), 1),
	})
}

// releasePart releases one part after the effect's delay.
func (rs *reservations) releasePart(e reserve.Effect) {
	time.Sleep(e.Delay)
	rs.mu.Lock()
	part := rs.group.Part(e.Part)
	rs.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	err := rs.router.memory.Release(ctx, rs.addrs[part.Upstream], part.ID)
	rs.apply(func() []reserve.Effect {
		if err != nil {
			return rs.group.ReleaseUnknown(e.Part, rs.router.now())
		}
		return rs.group.Released(e.Part)
	})
}
