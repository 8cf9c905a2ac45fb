package pace_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/pace"
)

const (
	renewalPeriod = 500 * time.Millisecond
	fallback      = 200 * time.Millisecond
)

// pollEngine polls, for a minute, an engine that renews its report at each multiple of renewal. It returns the number
// of calls and the mean age of the latest report.
func pollEngine(renewal time.Duration, next func(seq uint64, made, now decide.Instant) time.Duration) (calls int, meanAge time.Duration) {
	const span = time.Minute
	var totalAge time.Duration
	var madeAt decide.Instant
	nextCall := decide.Instant(0).Add(130 * time.Millisecond)
	steps := 0
	for now := decide.Instant(0); now < decide.Instant(span); now = now.Add(time.Millisecond) {
		if now >= nextCall {
			seq := uint64(now/decide.Instant(renewal)) + 1
			madeAt = decide.Instant(renewal) * decide.Instant(seq-1)
			nextCall = now.Add(next(seq, madeAt, now))
			calls++
		}
		totalAge += now.Sub(madeAt)
		steps++
	}
	return calls, totalAge / time.Duration(steps)
}

// Calling after each renewal needs two fifths of the calls of polling every 200 ms, and the reports are fresher.
func TestScheduleNeedsFewerCallsForFresherReports(t *testing.T) {
	is := is.New(t)
	fixedCalls, fixedAge := pollEngine(renewalPeriod, func(uint64, decide.Instant, decide.Instant) time.Duration { return fallback })
	var p pace.Schedule
	calls, age := pollEngine(renewalPeriod, func(seq uint64, made, now decide.Instant) time.Duration {
		return p.Next(seq, made, now, fallback)
	})
	t.Logf("every 200 ms: %d calls, mean age %s; paced: %d calls, mean age %s", fixedCalls, fixedAge, calls, age)
	is.True(calls <= 125)
	is.True(5*calls <= 2*fixedCalls+25)
	is.True(age < fixedAge)
}

// An engine that renews its report very seldom, or whose report times do not advance, is called at least once a
// second, so that an engine that stops answering is noticed.
func TestScheduleWaitsAtMostOneSecond(t *testing.T) {
	is := is.New(t)
	var p pace.Schedule
	is.Equal(p.Next(1, 0, 0, fallback), fallback)
	is.Equal(p.Next(2, decide.Instant(time.Minute), decide.Instant(time.Minute), fallback), time.Second)
	is.Equal(p.Next(2, decide.Instant(time.Minute), decide.Instant(time.Minute+time.Second), fallback), fallback)
}

// Guards against a renewal interval that is computed across a reboot of the engine. The sequence numbers restart
// there, and the interval may differ.
func TestScheduleResetsAtReboot(t *testing.T) {
	is := is.New(t)
	var p pace.Schedule
	p.Next(7, 0, 0, fallback)
	is.Equal(p.Next(8, decide.Instant(renewalPeriod), decide.Instant(renewalPeriod), fallback), renewalPeriod+20*time.Millisecond)
	is.Equal(p.Next(1, decide.Instant(3*renewalPeriod), decide.Instant(3*renewalPeriod), fallback), fallback)
}
