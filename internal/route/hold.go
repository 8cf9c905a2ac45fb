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
	// memoryWait bounds how long a group waits for one engine's memory.
	memoryWait = time.Second
	// callWait bounds one call to reserve or release.
	callWait = 2 * time.Second
)

// holder names this life of this instance in reservations.
type holder struct {
	instance    string
	incarnation string
	last        atomic.Uint64 // number of the last reservation
}

// hold is the shell of one request's reservations: it carries out the group's effects and feeds their
// outcomes back. Calls run beside the request, so that a release goes on after its request has ended.
type hold struct {
	router   *Router
	addrs    map[fleet.UpstreamID]string
	deadline time.Time
	outcome  chan bool

	mu    sync.Mutex
	group *reserve.Group // guarded by mu
	ended bool           // guarded by mu
}

// hold prepares the reservations of a plan.
func (a *ask) hold(plan *pick.Plan) *hold {
	r := a.m.router
	h := &hold{router: r, addrs: map[fleet.UpstreamID]string{}, deadline: a.q.Deadline, outcome: make(chan bool, 1)}
	var parts []reserve.Part
	for _, p := range plan.Parts {
		id := fmt.Sprintf("%s-%d", r.self.incarnation, r.self.last.Add(1))
		parts = append(parts, reserve.Part{ID: id, Upstream: p.Engine.ID, Tokens: p.Tokens})
		if u := a.upstream(p.Engine.ID); u != nil {
			h.addrs[u.ID] = u.Addr
		}
	}
	h.group = reserve.New(parts, memoryWait, r.instant(a.q.Deadline.Add(reserve.ReleaseGrace)))
	return h
}

// id gives the reservation on an engine.
func (h *hold) id(engine fleet.UpstreamID) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.group.Len() {
		if p := h.group.Part(i); p.Upstream == engine {
			return p.ID
		}
	}
	return ""
}

// acquire tells whether all parts are held. Where ctx ends first, what was held is given back.
func (h *hold) acquire(ctx context.Context) bool {
	h.router.holds.Add(1)
	h.feed(func() []reserve.Effect { return h.group.Start(h.router.now()) })
	select {
	case ok := <-h.outcome:
		return ok
	case <-ctx.Done():
		h.end()
		return false
	}
}

// end gives everything back; calling it again does nothing.
func (h *hold) end() {
	h.feed(func() []reserve.Effect {
		h.ended = true
		return h.group.End()
	})
}

// feed takes an event in and carries out the effects.
func (h *hold) feed(event func() []reserve.Effect) {
	h.mu.Lock()
	effects := event()
	h.mu.Unlock()
	for _, f := range effects {
		switch f.Verb {
		case reserve.Reserve:
			go h.ask(f)
		case reserve.Release:
			go h.release(f)
		case reserve.Ready:
			h.settle(true, f)
		case reserve.Failed:
			h.settle(false, f)
		case reserve.Done:
			h.router.holds.Done()
		}
	}
}

func (h *hold) settle(ok bool, f reserve.Effect) {
	h.router.meter.count("hold", f.Reason)
	select {
	case h.outcome <- ok:
	default: // nobody waits for it any more
	}
}

// ask sends one reservation. Where the group ended in the pause before it, it is not sent at all.
func (h *hold) ask(f reserve.Effect) {
	time.Sleep(f.Delay)
	h.mu.Lock()
	ended, part := h.ended, h.group.Part(f.Part)
	h.mu.Unlock()
	if ended {
		h.feed(func() []reserve.Effect { return h.group.Refused(f.Part, h.router.now()) })
		return
	}
	err := h.reserve(part)
	h.feed(func() []reserve.Effect {
		var ce *upstream.CallError
		switch {
		case err == nil:
			return h.group.Granted(f.Part)
		case errors.As(err, &ce) && !ce.MayHaveRun():
			return h.group.Refused(f.Part, h.router.now())
		default:
			return h.group.ReserveUnknown(f.Part)
		}
	})
}

func (h *hold) reserve(p reserve.Part) error {
	ctx, cancel := context.WithTimeout(context.Background(), callWait)
	defer cancel()
	left := time.Until(h.deadline)
	return h.router.memory.Reserve(ctx, h.addrs[p.Upstream], wire.Reservation{
		ID: p.ID, Holder: h.router.self.instance, Incarnation: h.router.self.incarnation, Tokens: p.Tokens,
		TTLMs: (left + reserve.ReleaseGrace).Milliseconds(), DeadlineMs: max(left.Milliseconds(), 1),
	})
}

func (h *hold) release(f reserve.Effect) {
	time.Sleep(f.Delay)
	h.mu.Lock()
	part := h.group.Part(f.Part)
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callWait)
	defer cancel()
	err := h.router.memory.Release(ctx, h.addrs[part.Upstream], part.ID)
	h.feed(func() []reserve.Effect {
		if err != nil {
			return h.group.ReleaseUnknown(f.Part, h.router.now())
		}
		return h.group.Released(f.Part)
	})
}
