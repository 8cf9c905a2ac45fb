package pace_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/pace"
)

const (
	renewal  = 500 * time.Millisecond
	fallback = 200 * time.Millisecond
)

// follow asks an engine that renews its report at each multiple of renewal, plus delay of the network, and
// gives the calls made and the mean age of the reports in hand over a minute.
func follow(renewal time.Duration, ask func(seq uint64, made, now decide.Instant) time.Duration) (calls int, age time.Duration) {
	const span = time.Minute
	var ages time.Duration
	var made decide.Instant
	next := decide.Instant(0).Add(130 * time.Millisecond)
	steps := 0
	for now := decide.Instant(0); now < decide.Instant(span); now = now.Add(time.Millisecond) {
		if now >= next {
			seq := uint64(now/decide.Instant(renewal)) + 1
			made = decide.Instant(renewal) * decide.Instant(seq-1)
			next = now.Add(ask(seq, made, now))
			calls++
		}
		ages += now.Sub(made)
		steps++
	}
	return calls, ages / time.Duration(steps)
}

// Asking after each renewal takes two fifths of the calls of asking every 200 ms, and the reports in hand
// are fresher.
func TestPaceAsksLessAndKnowsMore(t *testing.T) {
	is := is.New(t)
	fixedCalls, fixedAge := follow(renewal, func(uint64, decide.Instant, decide.Instant) time.Duration { return fallback })
	var p pace.Schedule
	calls, age := follow(renewal, func(seq uint64, made, now decide.Instant) time.Duration {
		return p.Next(seq, made, now, fallback)
	})
	t.Logf("every 200 ms: %d calls, mean age %s; paced: %d calls, mean age %s", fixedCalls, fixedAge, calls, age)
	is.True(calls <= 125)
	is.True(5*calls <= 2*fixedCalls+25)
	is.True(age < fixedAge)
}

// An engine that renews very seldom, or whose clock of reports stands still, is asked once a second at
// least: a silent one has to be noticed.
func TestPaceAsksAtLeastOnceASecond(t *testing.T) {
	is := is.New(t)
	var p pace.Schedule
	is.Equal(p.Next(1, 0, 0, fallback), fallback)
	is.Equal(p.Next(2, decide.Instant(time.Minute), decide.Instant(time.Minute), fallback), time.Second)
	is.Equal(p.Next(2, decide.Instant(time.Minute), decide.Instant(time.Minute+time.Second), fallback), fallback)
}

// An engine reboots: its sequence numbers begin anew, and its interval may be another one. A period worked
// out across the boot would be nonsense.
func TestPaceForgetsAtANewBoot(t *testing.T) {
	is := is.New(t)
	var p pace.Schedule
	p.Next(7, 0, 0, fallback)
	is.Equal(p.Next(8, decide.Instant(renewal), decide.Instant(renewal), fallback), renewal+20*time.Millisecond)
	is.Equal(p.Next(1, decide.Instant(3*renewal), decide.Instant(3*renewal), fallback), fallback)
}
