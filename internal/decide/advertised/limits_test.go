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

var process = fleet.Process{ID: "u", StartTime: 7}

// limited returns an observation of a limit, received at the given time in ms.
func limited(rate float64, receivedMs int) advertised.Observation {
	return advertised.Observation{Process: process, Limited: true, Rate: rate, SentAt: at(receivedMs - 10), ReceivedAt: at(receivedMs), ReceivedBy: "i"}
}

// unlimited returns an observation without a limit, with the given times in ms.
func unlimited(sentMs, receivedMs int) advertised.Observation {
	return advertised.Observation{Process: process, SentAt: at(sentMs), ReceivedAt: at(receivedMs), ReceivedBy: "i"}
}

// Guards against a limit that is sent to the other instances with every answer, or not sent when it changes.
func TestApplyReportsOnlyChanges(t *testing.T) {
	is := is.New(t)
	l := advertised.New()
	is.Equal(l.Apply(unlimited(0, 10)), advertised.Unchanged)
	is.Equal(l.Apply(limited(2, 1000)), advertised.Named)
	is.Equal(l.Apply(limited(2, 1100)), advertised.Unchanged)
	is.Equal(l.Apply(limited(3, 1200)), advertised.Changed)
	is.Equal(l.Apply(limited(3, 2100)), advertised.Unchanged)
	is.Equal(l.Apply(limited(3, 2200)), advertised.Renewed)
	is.Equal(l.Apply(limited(9, 2100)), advertised.Unchanged) // older than the latest observation
	rate, ok := l.Rate(process)
	is.True(ok)
	is.Equal(rate, 3.0)
	is.Equal(l.InForce(), 1)
}

// Guards against a limit that is ended by an answer from before the upstream advertised it.
func TestEarlierAnswerDoesNotEndLimit(t *testing.T) {
	is := is.New(t)
	l := advertised.New()
	l.Apply(limited(2, 1000))
	is.Equal(l.Apply(unlimited(900, 5000)), advertised.Unchanged)
	is.Equal(l.Apply(unlimited(1400, 1450)), advertised.Unchanged) // within the settle time
	is.Equal(l.Apply(unlimited(1600, 1650)), advertised.Ended)
	_, ok := l.Rate(process)
	is.Equal(ok, false)
	is.Equal(l.InForce(), 0)
}

// Guards against an instance that keeps a limit forever because it received the limit just before the others sent its
// end.
func TestEndOfLimitIsRepeated(t *testing.T) {
	is := is.New(t)
	one, other := advertised.New(), advertised.New()
	one.Apply(limited(2, 1000))
	other.Apply(limited(2, 1000))
	other.Apply(limited(2, 1800))
	end := unlimited(1700, 1750)
	is.Equal(one.Apply(end), advertised.Ended)
	is.Equal(other.Apply(end), advertised.Unchanged)
	is.Equal(one.Apply(unlimited(2000, 2100)), advertised.Unchanged)
	again := unlimited(3000, 3100)
	is.Equal(one.Apply(again), advertised.Renewed)
	is.Equal(other.Apply(again), advertised.Ended)
	is.Equal(one.Apply(unlimited(70_000, 70_100)), advertised.Unchanged)
}

// Guards against a limit that is restored by a message from before its end.
func TestLateMessageDoesNotRestoreLimit(t *testing.T) {
	is := is.New(t)
	l := advertised.New()
	l.Apply(limited(2, 1000))
	l.Apply(unlimited(3000, 3100))
	is.Equal(l.Apply(limited(2, 2900)), advertised.Unchanged)
	is.Equal(l.Apply(limited(2, 3200)), advertised.Named)
}

// Guards against a new process that inherits the limit of the one before it.
func TestLimitEndsWithItsProcess(t *testing.T) {
	is := is.New(t)
	l := advertised.New()
	l.Apply(limited(2, 1000))
	_, ok := l.Rate(fleet.Process{ID: process.ID, StartTime: process.StartTime + 1})
	is.Equal(ok, false)
}

// Guards against memory that grows with every restart of an upstream.
func TestOldProcessesAreEvicted(t *testing.T) {
	is := is.New(t)
	l := advertised.New()
	for i := range 12_000 {
		s := limited(1, i)
		s.ID = fleet.UpstreamID(fmt.Sprint(i))
		l.Apply(s)
	}
	is.Equal(len(l.Observations(at(0))), 10_000)
	is.Equal(l.InForce(), 10_000)
	_, ok := l.Rate(fleet.Process{ID: "11999", StartTime: process.StartTime})
	is.True(ok)
}

// Guards against instances that derive different limits from the same observations in a different order.
func TestMessageOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		// An upstream advertises limits and no limit in turn, more than the settle time apart. The last observation
		// holds.
		var sent []advertised.Observation
		now := 0
		for i := range rapid.IntRange(1, 6).Draw(r, "statements") {
			now += 1000 + rapid.IntRange(0, 2000).Draw(r, "pause")
			if i%2 == 0 {
				sent = append(sent, limited(float64(i+1), now))
			} else {
				sent = append(sent, unlimited(now, now+10))
			}
		}
		one, other := advertised.New(), advertised.New()
		for _, s := range sent {
			one.Apply(s)
		}
		for _, s := range rapid.Permutation(sent).Draw(r, "as they come") {
			other.Apply(s)
		}
		for _, s := range one.Observations(at(0)) { // sent to an instance when it attaches
			other.Apply(s)
		}
		rateOne, okOne := one.Rate(process)
		rateOther, okOther := other.Rate(process)
		if okOne != okOther || rateOne != rateOther {
			r.Fatalf("limited %t to %g requests per second, and %t to %g in another order", okOne, rateOne, okOther, rateOther)
		}
	})
}
