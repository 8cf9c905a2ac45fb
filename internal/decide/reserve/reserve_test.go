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

func present(reserve.Holder) reserve.Presence      { return reserve.Present }
func missing(reserve.Holder) reserve.Presence      { return reserve.Missing }
func undetermined(reserve.Holder) reserve.Presence { return reserve.Undetermined }

func TestGroupReservesAndReleasesAllParts(t *testing.T) {
	is := is.New(t)
	m := newModel("a", "b", "c")
	h := m.holder("h", 60, "c", "a", "b")
	is.Equal(h.group.Part(0).Upstream, fleet.UpstreamID("a")) // sorted by engine, not in the order of the plan
	h.start()
	m.advance(time.Second)
	is.True(h.ready)
	is.Equal(m.reservationCount(), 3)
	h.execute(h.group.End())
	h.execute(h.group.End()) // every exit path calls it
	m.advance(time.Second)
	is.True(h.done)
	is.Equal(m.reservationCount(), 0)
}

// Guards against a deadlock of two long prompts: if groups reserved their engines in different orders and kept what they
// hold, each would hold one engine and wait for the other's until both time out.
func TestTwoGroupsDoNotBlockEachOther(t *testing.T) {
	is := is.New(t)
	m := newModel("a", "b")
	h1, h2 := m.holder("h1", 60, "a", "b"), m.holder("h2", 60, "b", "a")
	h1.start()
	h2.start()
	m.advance(5 * time.Second)
	is.True(h1.ready != h2.ready) // exactly one has all parts
	winner, loser := h1, h2
	if h2.ready {
		winner, loser = h2, h1
	}
	is.True(loser.failed)
	is.True(loser.done)
	is.Equal(m.reservationCount(), 2) // the other one holds nothing
	winner.execute(winner.group.End())
	m.advance(time.Second)
	is.Equal(m.reservationCount(), 0)
}

// Guards against a refusal of a prompt for a group although memory becomes free shortly afterwards, which happens if the
// group does not wait for it.
func TestGroupWaitsBrieflyForMemory(t *testing.T) {
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

// Guards against a permanent loss of engine memory: an instance that is killed while it reserves, uses or releases leaves
// a reservation that only it knew, on an engine without expiry.
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
				h.execute(h.group.End())
			}
			m.advance(100 * time.Millisecond)
			is.True(killed)
			left := m.reservationCount()

			var sweeper reserve.Sweeper
			for range 20 {
				m.sweep(&sweeper, missing)
				m.advance(time.Second)
			}
			if s.verb == reserve.Reserve {
				is.True(left > 0 || !s.answered && s.part == 0) // a reservation remained for the sweeper
			}
			is.Equal(m.reservationCount(), 0)
		})
	}
}

// Guards against a reservation that remains after its instance abandoned the prompt: the engine grants it, the answer is
// lost, and the instance must not conclude that there is no reservation.
func TestAnswerToReserveLost(t *testing.T) {
	for part := range 3 {
		is := is.New(t)
		m := newModel("a", "b", "c")
		h := m.holder("h", 60, "a", "b", "c")
		h.answerLost = func(v reserve.Verb, p int) bool { return v == reserve.Reserve && p == part }
		h.start()
		m.advance(time.Second)
		is.True(h.failed)
		is.True(!h.ready)
		is.Equal(m.reservationCount(), 0)
	}
}

// Guards against the same failure when the reservation is delayed in transit and takes effect after its release, as calls
// on two connections can overtake each other.
func TestReservationThatArrivesBehindItsRelease(t *testing.T) {
	is := is.New(t)
	m := newModel("a")
	h := m.holder("h", 60, "a")
	h.start()
	delayed := m.pending[0]
	m.pending = nil // in transit for two seconds
	h.execute(h.group.ReserveUnknown(0))
	m.advance(2 * time.Second) // the release arrived and found no reservation
	m.reserve("a", wire.Reservation{ID: delayed.id, Holder: "h", Incarnation: "h-1", Tokens: 60})
	m.advance(10 * time.Second)
	is.Equal(m.reservationCount(), 0)
	is.True(h.done)
}

// Guards against memory that stays reserved after its prompt was answered: the release or its answer is lost and the
// instance does not repeat the release.
func TestReleaseLost(t *testing.T) {
	is := is.New(t)
	m := newModel("a", "b")
	h := m.holder("h", 60, "a", "b")
	lost := 0
	h.answerLost = func(v reserve.Verb, p int) bool {
		lose := v == reserve.Release && p == 1 && lost < 5
		if lose {
			lost++
			m.reserve("b", wire.Reservation{ID: h.group.Part(1).ID, Tokens: 60}) // the release did not take effect
		}
		return lose
	}
	h.start()
	m.advance(time.Second)
	h.execute(h.group.End())
	m.advance(10 * time.Second)
	is.Equal(lost, 5)
	is.Equal(m.reservationCount(), 0)
	is.True(h.done)
}

func TestReleaseIsGivenUpAfterDeadlineAndGraceAndSwept(t *testing.T) {
	is := is.New(t)
	m := newModel("a")
	h := m.holder("h", 60, "a")
	h.start()
	m.advance(time.Second)
	h.answerLost = func(v reserve.Verb, _ int) bool {
		if v == reserve.Release {
			m.reserve("a", wire.Reservation{ID: h.group.Part(0).ID, Holder: "h", Tokens: 60, DeadlineMs: deadline.Milliseconds()})
		}
		return v == reserve.Release
	}
	h.execute(h.group.End())
	m.advance(deadline + reserve.ReleaseGrace + 3*time.Second)
	is.True(h.done) // releases are not repeated forever
	is.Equal(m.reservationCount(), 1)
	m.advance(deadline + reserve.ReleaseGrace)
	var sweeper reserve.Sweeper
	m.sweep(&sweeper, present) // the passed deadline suffices, although the holder is present
	is.Equal(m.reservationCount(), 0)
}

// Guards against the loss of a new prompt's reservation: two sweepers list the same orphaned reservation, one releases it,
// a new prompt reserves the memory, and the other sweeper releases too. A release must name a reservation, not an
// engine or an amount.
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
	is.True(m.accepts("a", "new"))
}

// Guards against an instance that uses another prompt's memory after a long pause: the instance holds a reservation and
// pauses, the sweeper finds it missing and releases, another prompt reserves, and the instance continues with a
// reservation that no longer exists.
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
	is.True(!m.accepts("a", paused.group.Part(0).ID)) // the engine rejects its work
	paused.execute(paused.group.End())
	m.advance(time.Second)
	is.True(paused.done)
	is.True(m.accepts("a", other.group.Part(0).ID)) // the other holder's work continues
}

// Guards against the failure of a new instance's first long prompts: it starts and reserves while the sweeper's instance
// list does not show it yet. One check that finds it missing must not count as gone.
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
	m.sweep(&sweeper, present) // the list shows the instance
	for range 10 {
		m.sweep(&sweeper, missing) // the instance is missing again for a shorter time than MinAbsence
		m.advance(time.Second)
	}
	m.advance(time.Minute)
	is.Equal(m.reservationCount(), 1)
	m.createdAt[h.group.Part(0).ID] = m.now
	m.sweep(&sweeper, missing) // a sweeper that was paused starts the period again
	for range 30 {
		m.sweep(&sweeper, undetermined) // an isolated sweeper releases nothing
		m.advance(time.Second)
	}
	is.Equal(m.reservationCount(), 1)
}

// In every interleaving of the calls, losses and ends of two groups: an engine never exceeds its memory, a group that is
// ready holds all of its parts, a group that is done holds none, and every group ends.
func TestInterleavingsOfTwoGroups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel("a", "b", "c")
		engines := rapid.SampledFrom([][]fleet.UpstreamID{{"a", "b"}, {"b", "c"}, {"c", "b", "a"}})
		lose := func(reserve.Verb, int) bool { return rapid.IntRange(0, 9).Draw(t, "lost") == 0 }
		var holders []*holder
		for i := range 2 {
			h := m.holder(fmt.Sprintf("h%d", i), 60, engines.Draw(t, "engines")...)
			h.answerLost = lose
			h.start()
			holders = append(holders, h)
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			if n := len(m.pending); n > 0 && rapid.Bool().Draw(t, "deliver") {
				c := m.pending[rapid.IntRange(0, n-1).Draw(t, "call")]
				m.deliver(c)
			} else if rapid.IntRange(0, 7).Draw(t, "end") == 0 {
				h := rapid.SampledFrom(holders).Draw(t, "ender")
				h.execute(h.group.End())
			}
			checkInvariants(t, m, holders)
		}
		for _, h := range holders {
			h.answerLost = nil
			h.execute(h.group.End())
		}
		m.advance(time.Minute)
		checkInvariants(t, m, holders)
		for _, h := range holders {
			if !h.done {
				t.Fatalf("%s is not done after a minute", h.identity.Instance)
			}
		}
		if m.reservationCount() != 0 {
			t.Fatalf("%d reservations remain", m.reservationCount())
		}
	})
}

// checkInvariants checks the memory of the engines and the parts of the groups.
func checkInvariants(t *rapid.T, m *engineModel, holders []*holder) {
	for e := range m.held {
		if m.used(e) > engineMemory {
			t.Fatalf("engine %s has %d tokens reserved, more than its memory", e, m.used(e))
		}
	}
	for _, h := range holders {
		for i := range h.group.Len() {
			p := h.group.Part(i)
			if held := m.accepts(p.Upstream, p.ID); held != true && h.group.Ready() {
				t.Fatalf("%s is ready without part %d", h.identity.Instance, i)
			} else if held && h.done {
				t.Fatalf("%s is done and still holds part %d", h.identity.Instance, i)
			}
		}
	}
}
