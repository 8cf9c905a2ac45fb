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

// TestMain fixes the seed of the randomized tests, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// engineMemory is the memory of each engine, in tokens.
const engineMemory = 100

// engineModel is a set of engines without expiry, as docs/UPSTREAMS.md describes them, and the calls in transit to them.
type engineModel struct {
	now       decide.Instant
	held      map[fleet.UpstreamID]map[string]wire.Reservation
	createdAt map[string]decide.Instant
	pending   []*call
}

// call is a call in transit to an engine.
type call struct {
	arrivesAt decide.Instant
	to        fleet.UpstreamID
	id        string
	stillSent func() bool // reports, at arrivesAt, whether the caller still exists
	apply     func()
}

// newModel returns engines without reservations.
func newModel(ids ...fleet.UpstreamID) *engineModel {
	m := &engineModel{held: map[fleet.UpstreamID]map[string]wire.Reservation{}, createdAt: map[string]decide.Instant{}}
	for _, e := range ids {
		m.held[e] = map[string]wire.Reservation{}
	}
	return m
}

// used returns the reserved memory of an engine.
func (m *engineModel) used(e fleet.UpstreamID) (sum int64) {
	for _, r := range m.held[e] {
		sum += r.Tokens
	}
	return sum
}

// reserve makes the reservation, and reports whether the engine has the memory for it.
func (m *engineModel) reserve(e fleet.UpstreamID, r wire.Reservation) bool {
	if m.used(e)+r.Tokens > engineMemory {
		return false
	}
	m.held[e][r.ID] = r
	m.createdAt[r.ID] = m.now
	return true
}

func (m *engineModel) release(e fleet.UpstreamID, id string) { delete(m.held[e], id) }

// accepts reports whether the engine accepts work that names the reservation.
func (m *engineModel) accepts(e fleet.UpstreamID, id string) bool {
	_, ok := m.held[e][id]
	return ok
}

// list returns the reservations of an engine as the sweeper reads them.
func (m *engineModel) list(e fleet.UpstreamID) *wire.Reservations {
	l := &wire.Reservations{}
	for _, r := range m.held[e] {
		r.AgeMs = m.now.Sub(m.createdAt[r.ID]).Milliseconds()
		l.Reservations = append(l.Reservations, r)
	}
	slices.SortFunc(l.Reservations, func(a, b wire.Reservation) int { return cmp.Compare(a.ID, b.ID) })
	return l
}

// reservationCount returns the number of reservations on all engines.
func (m *engineModel) reservationCount() (n int) {
	for _, h := range m.held {
		n += len(h)
	}
	return n
}

// holder is an instance that drives a group. While dead is set it neither sends calls nor processes answers. answerLost
// reports which answers are lost. onStep is called before an engine carries out a call and before its answer arrives.
type holder struct {
	m          *engineModel
	identity   reserve.Holder
	group      *reserve.Group
	deadline   time.Duration
	dead       bool
	answerLost func(verb reserve.Verb, part int) bool
	onStep     func(verb reserve.Verb, part int, answered bool)
	ready      bool
	failed     bool
	done       bool
}

// deadline is the time from the start of a request to its deadline.
const deadline = 30 * time.Second

// holder returns a holder whose group has one part with the given tokens on each of the engines.
func (m *engineModel) holder(name string, tokens int64, ids ...fleet.UpstreamID) *holder {
	h := &holder{m: m, identity: reserve.Holder{Instance: fleet.InstanceID(name), Incarnation: name + "-1"}, deadline: deadline}
	var parts []reserve.Part
	for i, e := range ids {
		parts = append(parts, reserve.Part{ID: fmt.Sprintf("%s/%d", name, i), Upstream: e, Tokens: tokens})
	}
	h.group = reserve.New(parts, time.Second, m.now.Add(deadline+reserve.ReleaseGrace))
	return h
}

func (h *holder) start() { h.execute(h.group.Start(h.m.now)) }

// execute carries out the group's effects.
func (h *holder) execute(effects []reserve.Effect) {
	for _, f := range effects {
		switch f.Verb {
		case reserve.Ready:
			h.ready = true
		case reserve.Failed:
			h.failed = true
		case reserve.Done:
			h.done = true
		default:
			h.send(f)
		}
	}
}

// send queues the call of an effect. It reports a step before the engine carries out the call and before the answer
// arrives.
func (h *holder) send(f reserve.Effect) {
	p := h.group.Part(f.Part)
	c := &call{arrivesAt: h.m.now.Add(f.Delay + time.Millisecond), to: p.Upstream, id: p.ID}
	c.stillSent = func() bool { return !h.dead }
	c.apply = func() {
		h.step(f, false)
		granted := true
		if f.Verb == reserve.Reserve {
			granted = h.m.reserve(p.Upstream, wire.Reservation{
				ID: p.ID, Holder: string(h.identity.Instance), Incarnation: h.identity.Incarnation,
				Tokens: p.Tokens, DeadlineMs: h.deadline.Milliseconds(),
			})
		} else {
			h.m.release(p.Upstream, p.ID)
		}
		h.step(f, true)
		if !h.dead {
			h.execute(h.answer(f, granted))
		}
	}
	h.m.pending = append(h.m.pending, c)
}

// step calls onStep, if it is set.
func (h *holder) step(f reserve.Effect, answered bool) {
	if h.onStep != nil {
		h.onStep(f.Verb, f.Part, answered)
	}
}

// answer passes the engine's answer, or its loss, to the group.
func (h *holder) answer(f reserve.Effect, granted bool) []reserve.Effect {
	lost := h.answerLost != nil && h.answerLost(f.Verb, f.Part)
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

// nextCall returns the call that arrives first, or nil if none is in transit.
func (m *engineModel) nextCall() *call {
	if len(m.pending) == 0 {
		return nil
	}
	return slices.MinFunc(m.pending, func(a, b *call) int { return cmp.Compare(a.arrivesAt, b.arrivesAt) })
}

// advance advances the time by d and delivers all calls that arrive in that period.
func (m *engineModel) advance(d time.Duration) {
	end := m.now.Add(d)
	for c := m.nextCall(); c != nil && c.arrivesAt <= end; c = m.nextCall() {
		m.deliver(c)
	}
	m.now = end
}

// deliver removes a call from those in transit, and carries it out if its caller still exists.
func (m *engineModel) deliver(c *call) {
	m.pending = slices.DeleteFunc(m.pending, func(x *call) bool { return x == c })
	m.now = max(m.now, c.arrivesAt)
	if c.stillSent() {
		c.apply()
	}
}

// sweep runs a sweeper over every engine and releases the orphans that it finds.
func (m *engineModel) sweep(s *reserve.Sweeper, presence func(reserve.Holder) reserve.Presence) {
	for e := range m.held {
		for _, orphan := range s.FindOrphans(m.list(e), presence, m.now) {
			m.release(e, orphan.ID)
		}
	}
}
