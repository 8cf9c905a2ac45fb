package reserve_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/internal/decide/reserve"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

func present(reserve.Holder) reserve.Presence { return reserve.Present }
func missing(reserve.Holder) reserve.Presence { return reserve.Missing }
func unsure(reserve.Holder) reserve.Presence  { return reserve.Undetermined }

func TestGroupHoldsAllPartsAndGivesThemBack(t *testing.T) {
	is := is.New(t)
	m := newModel("a", "b", "c")
	h := m.holder("h", 60, "c", "a", "b")
	is.Equal(h.group.Part(0).Upstream, fleet.UpstreamID("a")) // in the order of engines, not of the plan
	h.start()
	m.advance(time.Second)
	is.True(h.ready)
	is.Equal(m.total(), 3)
	h.carry(h.group.End())
	h.carry(h.group.End()) // every exit path may call it
	m.advance(time.Second)
	is.True(h.over)
	is.Equal(m.total(), 0)
}

// Two long prompts wait for each other until both time out. Order: each holds one engine and waits for the
// other's. Cause: groups take their engines in different orders and hold on to what they have.
func TestTwoGroupsDoNotBlockEachOther(t *testing.T) {
	is := is.New(t)
	m := newModel("a", "b")
	h1, h2 := m.holder("h1", 60, "a", "b"), m.holder("h2", 60, "b", "a")
	h1.start()
	h2.start()
	m.advance(5 * time.Second)
	is.True(h1.ready != h2.ready) // just one got all
	winner, loser := h1, h2
	if h2.ready {
		winner, loser = h2, h1
	}
	is.True(loser.failed)
	is.True(loser.over)
	is.Equal(m.total(), 2) // and the other holds nothing
	winner.carry(winner.group.End())
	m.advance(time.Second)
	is.Equal(m.total(), 0)
}

// A prompt for a group is refused though its memory frees up a moment later. Cause: no wait at all.
func TestGroupWaitsAShortWhileForMemory(t *testing.T) {
	is := is.New(t)
	m := newModel("a", "b")
	m.reserve("b", wire.Reservation{ID: "other", Tokens: 60})
	h := m.holder("h", 60, "a", "b")
	h.start()
	m.advance(500 * time.Millisecond)
	is.True(!h.ready)
	m.release("b", "other")
	m.advance(100 * time.Millisecond)
	is.True(h.ready)
}

// An engine's memory shrinks by one dead prompt after the other until it takes no more. Order: an entry is
// killed at some step of reserving, using or releasing. Cause: only the dead entry knew of the reservation,
// and this engine has no expiry.
func TestHolderKilledAtEachStep(t *testing.T) {
	type step struct {
		verb     reserve.Verb
		part     int
		answered bool
	}
	steps := []step{}
	for part := range 3 {
		for _, verb := range []reserve.Verb{reserve.Reserve, reserve.Release} {
			steps = append(steps, step{verb, part, false}, step{verb, part, true})
		}
	}
	for _, s := range steps {
		t.Run(fmt.Sprintf("%d/%d/%v", s.verb, s.part, s.answered), func(t *testing.T) {
			is := is.New(t)
			m := newModel("a", "b", "c")
			h := m.holder("h", 60, "a", "b", "c")
			killed := false
			h.onStep = func(v reserve.Verb, part int, answered bool) {
				if v == s.verb && part == s.part && answered == s.answered {
					h.dead, killed = true, true
				}
			}
			h.start()
			m.advance(100 * time.Millisecond)
			if !h.dead {
				h.carry(h.group.End())
			}
			m.advance(100 * time.Millisecond)
			is.True(killed)
			left := m.total()

			var sweeper reserve.Sweeper
			for range 20 {
				m.sweep(&sweeper, missing)
				m.advance(time.Second)
			}
			if s.verb == reserve.Reserve {
				is.True(left > 0 || !s.answered && s.part == 0) // there was something to sweep
			}
			is.Equal(m.total(), 0)
		})
	}
}

// A prompt's reservation stands though its entry gave the prompt up. Order: the engine takes the
// reservation, its answer is lost. Cause: the entry takes no answer for no reservation.
func TestAnswerToReserveLost(t *testing.T) {
	for part := range 3 {
		is := is.New(t)
		m := newModel("a", "b", "c")
		h := m.holder("h", 60, "a", "b", "c")
		h.lose = func(v reserve.Verb, p int) bool { return v == reserve.Reserve && p == part }
		h.start()
		m.advance(time.Second)
		is.True(h.failed)
		is.True(!h.ready)
		is.Equal(m.total(), 0)
	}
}

// The same, but the call was held up on its way and takes effect after the release.
// Cause: calls on two connections can overtake each other.
func TestReservationThatArrivesBehindItsRelease(t *testing.T) {
	is := is.New(t)
	m := newModel("a")
	h := m.holder("h", 60, "a")
	h.start()
	held := m.pending[0]
	m.pending = nil // on its way, for two seconds
	h.carry(h.group.ReserveUnknown(0))
	m.advance(2 * time.Second) // the release was there and found nothing
	m.reserve("a", wire.Reservation{ID: held.id, Holder: "h", Incarnation: "h-1", Tokens: 60})
	m.advance(10 * time.Second)
	is.Equal(m.total(), 0)
	is.True(h.over)
}

// An engine keeps memory for a prompt that is long answered. Order: the release's answer, or the release
// itself, is lost. Cause: the entry does not ask again.
func TestReleaseLost(t *testing.T) {
	is := is.New(t)
	m := newModel("a", "b")
	h := m.holder("h", 60, "a", "b")
	lost := 0
	h.lose = func(v reserve.Verb, p int) bool {
		lose := v == reserve.Release && p == 1 && lost < 5
		if lose {
			lost++
			m.reserve("b", wire.Reservation{ID: h.group.Part(1).ID, Tokens: 60}) // it did not take effect
		}
		return lose
	}
	h.start()
	m.advance(time.Second)
	h.carry(h.group.End())
	m.advance(10 * time.Second)
	is.Equal(lost, 5)
	is.Equal(m.total(), 0)
	is.True(h.over)
}

func TestReleaseIsGivenUpAfterDeadlineAndGraceAndSwept(t *testing.T) {
	is := is.New(t)
	m := newModel("a")
	h := m.holder("h", 60, "a")
	h.start()
	m.advance(time.Second)
	h.lose = func(v reserve.Verb, _ int) bool {
		if v == reserve.Release {
			m.reserve("a", wire.Reservation{ID: h.group.Part(0).ID, Holder: "h", Tokens: 60, DeadlineMs: deadline.Milliseconds()})
		}
		return v == reserve.Release
	}
	h.carry(h.group.End())
	m.advance(deadline + reserve.ReleaseGrace + 3*time.Second)
	is.True(h.over) // it does not try for ever
	is.Equal(m.total(), 1)
	m.advance(deadline + reserve.ReleaseGrace)
	var sweeper reserve.Sweeper
	m.sweep(&sweeper, present) // the deadline alone is enough
	is.Equal(m.total(), 0)
}

// A prompt that just began is torn down. Order: two sweepers list the same dead reservation; one releases
// it; a new prompt takes the memory; the other releases too. Cause: releases that name an engine or an
// amount instead of a reservation.
func TestTwoSweepersAtOnce(t *testing.T) {
	is := is.New(t)
	m := newModel("a")
	m.reserve("a", wire.Reservation{ID: "dead", Holder: "gone", Incarnation: "gone-1", Tokens: 60})
	var s1, s2 reserve.Sweeper
	for range 16 {
		s1.FindOrphans(m.list("a"), missing, m.now)
		s2.FindOrphans(m.list("a"), missing, m.now)
		m.advance(time.Second)
	}
	first := s1.FindOrphans(m.list("a"), missing, m.now)
	second := s2.FindOrphans(m.list("a"), missing, m.now)
	is.Equal(len(first), 1)
	is.Equal(second, first)
	is.Equal(first[0].Reason, reserve.HolderGone)
	m.release("a", first[0].ID)
	m.reserve("a", wire.Reservation{ID: "new", Holder: "h", Incarnation: "h-1", Tokens: 60})
	m.release("a", second[0].ID)
	is.True(m.run("a", "new"))
}

// An entry wakes from a long pause and computes in memory that is another's by now. Order: it holds a
// reservation, stops; the sweeper finds it missing, releases; another prompt reserves; the entry wakes and
// goes on. Cause: it believes in a reservation that it no longer has.
func TestPausedHolderWakesAfterItsReservationWasSwept(t *testing.T) {
	is := is.New(t)
	m := newModel("a")
	paused := m.holder("paused", 60, "a")
	paused.start()
	m.advance(time.Second)
	is.True(paused.group.Ready())
	paused.dead = true
	var sweeper reserve.Sweeper
	for range 20 {
		m.sweep(&sweeper, missing)
		m.advance(time.Second)
	}
	other := m.holder("other", 60, "a")
	other.start()
	m.advance(time.Second)
	is.True(other.ready)

	paused.dead = false
	is.True(!m.run("a", paused.group.Part(0).ID)) // its work ends in an error
	paused.carry(paused.group.End())
	m.advance(time.Second)
	is.True(paused.over)
	is.True(m.run("a", other.group.Part(0).ID)) // and the other's goes on
}

// A new entry's first long prompts all fail. Order: it starts and reserves; the sweeper's instance list
// does not show it yet. Cause: absent is taken for gone at the first look.
func TestYoungHolderIsNotSwept(t *testing.T) {
	is := is.New(t)
	m := newModel("a")
	h := m.holder("young", 60, "a")
	h.start()
	m.advance(time.Second)
	var sweeper reserve.Sweeper
	for range 10 {
		m.sweep(&sweeper, missing)
		m.advance(time.Second)
	}
	m.sweep(&sweeper, present) // the list caught up
	for range 10 {
		m.sweep(&sweeper, missing) // and missing again for a while
		m.advance(time.Second)
	}
	m.advance(time.Minute)
	is.Equal(m.total(), 1)
	m.made[h.group.Part(0).ID] = m.now
	m.sweep(&sweeper, missing) // a sweeper that was paused begins anew
	for range 30 {
		m.sweep(&sweeper, unsure) // and one that is cut off itself judges nobody
		m.advance(time.Second)
	}
	is.Equal(m.total(), 1)
}

// Whatever the interleaving of two groups' calls, losses and ends: an engine is never over its memory, a
// group that is ready holds all its parts, one that is over holds none, and no wait lasts for ever.
func TestInterleavingsOfTwoGroups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel("a", "b", "c")
		engines := rapid.SampledFrom([][]fleet.UpstreamID{{"a", "b"}, {"b", "c"}, {"c", "b", "a"}})
		lose := func(reserve.Verb, int) bool { return rapid.IntRange(0, 9).Draw(t, "lost") == 0 }
		var holders []*holder
		for i := range 2 {
			h := m.holder(fmt.Sprintf("h%d", i), 60, engines.Draw(t, "engines")...)
			h.lose = lose
			h.start()
			holders = append(holders, h)
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			if n := len(m.pending); n > 0 && rapid.Bool().Draw(t, "deliver") {
				c := m.pending[rapid.IntRange(0, n-1).Draw(t, "call")]
				m.deliver(c)
			} else if rapid.IntRange(0, 7).Draw(t, "end") == 0 {
				h := rapid.SampledFrom(holders).Draw(t, "ender")
				h.carry(h.group.End())
			}
			check(t, m, holders)
		}
		for _, h := range holders {
			h.lose = nil
			h.carry(h.group.End())
		}
		m.advance(time.Minute)
		check(t, m, holders)
		for _, h := range holders {
			if !h.over {
				t.Fatalf("%s never ended", h.me.Instance)
			}
		}
		if m.total() != 0 {
			t.Fatalf("%d reservations left", m.total())
		}
	})
}

func check(t *rapid.T, m *fleetModel, holders []*holder) {
	for e := range m.held {
		if m.used(e) > memory {
			t.Fatalf("engine %s holds %d", e, m.used(e))
		}
	}
	for _, h := range holders {
		for i := range h.group.Len() {
			p := h.group.Part(i)
			if held := m.run(p.Upstream, p.ID); held != true && h.group.Ready() {
				t.Fatalf("%s is ready without part %d", h.me.Instance, i)
			} else if held && h.over {
				t.Fatalf("%s is over and holds part %d", h.me.Instance, i)
			}
		}
	}
}
