package advertised_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/advertised"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

func at(ms int) decide.Instant { return decide.Instant(time.Duration(ms) * time.Millisecond) }

var u = fleet.Process{ID: "u", Born: 7}

func names(rate float64, heard int) advertised.Observation {
	return advertised.Observation{Process: u, Limited: true, Rate: rate, SentAt: at(heard - 10), ReceivedAt: at(heard), ReceivedBy: "i"}
}

func namesNone(sent, heard int) advertised.Observation {
	return advertised.Observation{Process: u, SentAt: at(sent), ReceivedAt: at(heard), ReceivedBy: "i"}
}

// Guards against a limit that is passed on with every answer, or not passed on when it changes.
func TestOnlyNewsIsNews(t *testing.T) {
	is := is.New(t)
	l := advertised.New()
	is.Equal(l.Apply(namesNone(0, 10)), advertised.Unchanged)
	is.Equal(l.Apply(names(2, 1000)), advertised.Named)
	is.Equal(l.Apply(names(2, 1100)), advertised.Unchanged)
	is.Equal(l.Apply(names(3, 1200)), advertised.Changed)
	is.Equal(l.Apply(names(3, 2100)), advertised.Unchanged)
	is.Equal(l.Apply(names(3, 2200)), advertised.Renewed)
	is.Equal(l.Apply(names(9, 2100)), advertised.Unchanged) // overtaken
	rate, ok := l.Rate(u)
	is.True(ok)
	is.Equal(rate, 3.0)
	is.Equal(l.InForce(), 1)
}

// Guards against a limit that an answer ends which was made before the upstream named it.
func TestAnAnswerOfBeforeEndsNoLimit(t *testing.T) {
	is := is.New(t)
	l := advertised.New()
	l.Apply(names(2, 1000))
	is.Equal(l.Apply(namesNone(900, 5000)), advertised.Unchanged)
	is.Equal(l.Apply(namesNone(1400, 1450)), advertised.Unchanged) // too close to tell
	is.Equal(l.Apply(namesNone(1600, 1650)), advertised.Ended)
	_, ok := l.Rate(u)
	is.Equal(ok, false)
	is.Equal(l.InForce(), 0)
}

// Guards against a limit that stays for good with one who had just heard it named when the others took its end.
func TestAnEndIsToldAgain(t *testing.T) {
	is := is.New(t)
	one, other := advertised.New(), advertised.New()
	one.Apply(names(2, 1000))
	other.Apply(names(2, 1000))
	other.Apply(names(2, 1800))
	end := namesNone(1700, 1750)
	is.Equal(one.Apply(end), advertised.Ended)
	is.Equal(other.Apply(end), advertised.Unchanged)
	is.Equal(one.Apply(namesNone(2000, 2100)), advertised.Unchanged)
	again := namesNone(3000, 3100)
	is.Equal(one.Apply(again), advertised.Renewed)
	is.Equal(other.Apply(again), advertised.Ended)
	is.Equal(one.Apply(namesNone(70_000, 70_100)), advertised.Unchanged)
}

// Guards against a limit that comes back by a message of before its end.
func TestALateMessageBringsNoLimitBack(t *testing.T) {
	is := is.New(t)
	l := advertised.New()
	l.Apply(names(2, 1000))
	l.Apply(namesNone(3000, 3100))
	is.Equal(l.Apply(names(2, 2900)), advertised.Unchanged)
	is.Equal(l.Apply(names(2, 3200)), advertised.Named)
}

// Guards against a new process that bears the limit of the one before it.
func TestALimitEndsWithItsProcess(t *testing.T) {
	is := is.New(t)
	l := advertised.New()
	l.Apply(names(2, 1000))
	_, ok := l.Rate(fleet.Process{ID: u.ID, Born: u.Born + 1})
	is.Equal(ok, false)
}

// Guards against a memory that grows with every start of an upstream.
func TestOldProcessesAreForgotten(t *testing.T) {
	is := is.New(t)
	l := advertised.New()
	for i := range 12_000 {
		s := names(1, i)
		s.ID = fleet.UpstreamID(fmt.Sprint(i))
		l.Apply(s)
	}
	is.Equal(len(l.Observations(at(0))), 10_000)
	is.Equal(l.InForce(), 10_000)
	_, ok := l.Rate(fleet.Process{ID: "11999", Born: u.Born})
	is.True(ok)
}

// Guards against instances that end up with another belief for having heard the same in another order.
func TestTheOrderOfMessagesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		// An upstream names limits and none in turn, with pauses over the settle time: what was said last holds.
		var said []advertised.Observation
		now := 0
		for i := range rapid.IntRange(1, 6).Draw(r, "statements") {
			now += 1000 + rapid.IntRange(0, 2000).Draw(r, "pause")
			if i%2 == 0 {
				said = append(said, names(float64(i+1), now))
			} else {
				said = append(said, namesNone(now, now+10))
			}
		}
		one, other := advertised.New(), advertised.New()
		for _, s := range said {
			one.Apply(s)
		}
		for _, s := range rapid.Permutation(said).Draw(r, "as they come") {
			other.Apply(s)
		}
		for _, s := range one.Observations(at(0)) { // what an instance that attaches is told
			other.Apply(s)
		}
		rateOne, okOne := one.Rate(u)
		rateOther, okOther := other.Rate(u)
		if okOne != okOther || rateOne != rateOther {
			r.Fatalf("%v of %g a second, and %v of %g", okOne, rateOne, okOther, rateOther)
		}
	})
}
