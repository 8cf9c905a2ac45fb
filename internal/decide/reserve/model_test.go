package reserve_test

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/reserve"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// A fixed seed, so that every run of the randomized tests gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

const memory = 100

// fleetModel is engines without expiry, as docs/UPSTREAMS.md describes them, and what is on its way to
// them.
type fleetModel struct {
	now     decide.Instant
	held    map[fleet.UpstreamID]map[string]wire.Reservation
	made    map[string]decide.Instant
	pending []*call
}

// call is a message on its way to an engine.
type call struct {
	at    decide.Instant
	to    fleet.UpstreamID
	id    string
	arm   func() bool // whether the call is still to be sent at its time
	apply func()
}

func newModel(engines ...fleet.UpstreamID) *fleetModel {
	m := &fleetModel{held: map[fleet.UpstreamID]map[string]wire.Reservation{}, made: map[string]decide.Instant{}}
	for _, e := range engines {
		m.held[e] = map[string]wire.Reservation{}
	}
	return m
}

func (m *fleetModel) used(e fleet.UpstreamID) (sum int64) {
	for _, r := range m.held[e] {
		sum += r.Tokens
	}
	return sum
}

func (m *fleetModel) reserve(e fleet.UpstreamID, r wire.Reservation) bool {
	if m.used(e)+r.Tokens > memory {
		return false
	}
	m.held[e][r.ID] = r
	m.made[r.ID] = m.now
	return true
}

func (m *fleetModel) release(e fleet.UpstreamID, id string) { delete(m.held[e], id) }

// run tells whether work that names the reservation is taken.
func (m *fleetModel) run(e fleet.UpstreamID, id string) bool {
	_, ok := m.held[e][id]
	return ok
}

func (m *fleetModel) list(e fleet.UpstreamID) *wire.Reservations {
	l := &wire.Reservations{}
	for _, r := range m.held[e] {
		r.AgeMs = m.now.Sub(m.made[r.ID]).Milliseconds()
		l.Reservations = append(l.Reservations, r)
	}
	slices.SortFunc(l.Reservations, func(a, b wire.Reservation) int { return cmp.Compare(a.ID, b.ID) })
	return l
}

func (m *fleetModel) total() (n int) {
	for _, h := range m.held {
		n += len(h)
	}
	return n
}

// holder is an entry that drives a group. dead stops it for good; lose says which answers get lost.
type holder struct {
	m        *fleetModel
	me       reserve.Holder
	group    *reserve.Group
	deadline time.Duration
	dead     bool
	lose     func(verb reserve.Verb, part int) bool
	onStep   func(verb reserve.Verb, part int, answered bool)
	ready    bool
	failed   bool
	over     bool
}

const deadline = 30 * time.Second

func (m *fleetModel) holder(name string, tokens int64, engines ...fleet.UpstreamID) *holder {
	h := &holder{m: m, me: reserve.Holder{Instance: fleet.InstanceID(name), Incarnation: name + "-1"}, deadline: deadline}
	var parts []reserve.Part
	for i, e := range engines {
		parts = append(parts, reserve.Part{ID: fmt.Sprintf("%s/%d", name, i), Upstream: e, Tokens: tokens})
	}
	h.group = reserve.New(parts, time.Second, m.now.Add(deadline+reserve.ReleaseGrace))
	return h
}

func (h *holder) start() { h.carry(h.group.Start(h.m.now)) }

func (h *holder) carry(effects []reserve.Effect) {
	for _, f := range effects {
		switch f.Verb {
		case reserve.Ready:
			h.ready = true
		case reserve.Failed:
			h.failed = true
		case reserve.Done:
			h.over = true
		default:
			h.send(f)
		}
	}
}

// send puts the call on its way. The step is told before the engine carries it out and before its answer
// comes back.
func (h *holder) send(f reserve.Effect) {
	p := h.group.Part(f.Part)
	c := &call{at: h.m.now.Add(f.Delay + time.Millisecond), to: p.Upstream, id: p.ID}
	c.arm = func() bool { return !h.dead }
	c.apply = func() {
		h.step(f, false)
		granted := true
		if f.Verb == reserve.Reserve {
			granted = h.m.reserve(p.Upstream, wire.Reservation{
				ID: p.ID, Holder: string(h.me.Instance), Incarnation: h.me.Incarnation,
				Tokens: p.Tokens, DeadlineMs: h.deadline.Milliseconds(),
			})
		} else {
			h.m.release(p.Upstream, p.ID)
		}
		h.step(f, true)
		if !h.dead {
			h.carry(h.answer(f, granted))
		}
	}
	h.m.pending = append(h.m.pending, c)
}

func (h *holder) step(f reserve.Effect, answered bool) {
	if h.onStep != nil {
		h.onStep(f.Verb, f.Part, answered)
	}
}

func (h *holder) answer(f reserve.Effect, granted bool) []reserve.Effect {
	lost := h.lose != nil && h.lose(f.Verb, f.Part)
	switch {
	case f.Verb == reserve.Reserve && lost:
		return h.group.ReserveUnknown(f.Part)
	case f.Verb == reserve.Reserve && granted:
		return h.group.Granted(f.Part)
	case f.Verb == reserve.Reserve:
		return h.group.Refused(f.Part, h.m.now)
	case lost:
		return h.group.ReleaseUnknown(f.Part, h.m.now)
	default:
		return h.group.Released(f.Part)
	}
}

// next gives the call that arrives first.
func (m *fleetModel) next() *call {
	if len(m.pending) == 0 {
		return nil
	}
	return slices.MinFunc(m.pending, func(a, b *call) int { return cmp.Compare(a.at, b.at) })
}

// advance lets d pass, with all calls that arrive in it.
func (m *fleetModel) advance(d time.Duration) {
	end := m.now.Add(d)
	for c := m.next(); c != nil && c.at <= end; c = m.next() {
		m.deliver(c)
	}
	m.now = end
}

func (m *fleetModel) deliver(c *call) {
	m.pending = slices.DeleteFunc(m.pending, func(x *call) bool { return x == c })
	m.now = max(m.now, c.at)
	if c.arm() {
		c.apply()
	}
}

// sweep lets a sweeper look at every engine, and releases what it says.
func (m *fleetModel) sweep(s *reserve.Sweeper, presence func(reserve.Holder) reserve.Presence) {
	for e := range m.held {
		for _, swept := range s.FindOrphans(m.list(e), presence, m.now) {
			m.release(e, swept.ID)
		}
	}
}
