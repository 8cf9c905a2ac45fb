package silence

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an instance that takes its own pause for its upstream's silence, and ends a stream that its upstream goes on
// with. Each case tells at which time after the start, in ms, an upstream that sends nothing counts as silent: after a wait
// of 800 ms in which the instance ran and listened.
func TestSilenceIsJudgedOnlyWhileRunningAndListening(t *testing.T) {
	const timeout, maxSilence = 800 * time.Millisecond, 1600 * time.Millisecond
	for name, c := range map[string]struct {
		pauseAt, pauseFor   int // ms; 0: no pause
		deafFrom, deafUntil int // ms: nothing reads the connection
		unreadUntil         int // ms: something has arrived that nobody has read
		want                int // ms
	}{
		"runs and listens":                   {want: 800},
		"runs late by less than a check":     {pauseAt: 300, pauseFor: 80, want: 800},
		"is paused across the due time":      {pauseAt: 650, pauseFor: 1200, want: 1850 + 800},
		"is paused shortly at the due time":  {pauseAt: 650, pauseFor: 200, want: 850 + 150},
		"is paused early on":                 {pauseAt: 50, pauseFor: 1200, want: 1250 + 800},
		"is paused shortly early on":         {pauseAt: 50, pauseFor: 250, want: 800 + 200},
		"waits for its caller to read":       {deafFrom: 150, deafUntil: 3000, want: 2900 + 800},
		"has not read what has arrived":      {unreadUntil: 1700, want: 1600 + 800},
		"is paused with something unread":    {pauseAt: 650, pauseFor: 1200, unreadUntil: 2700, want: 1850 + 800 + 800},
		"listens again long before the wait": {deafFrom: 50, deafUntil: 150, want: 900},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
			s := NewWait(start, timeout, maxSilence, 8)
			for range 1000 {
				now := s.nextCheck
				if paused := c.pauseFor > 0 && !now.Before(at(c.pauseAt)) && now.Before(at(c.pauseAt+c.pauseFor)); paused {
					now = at(c.pauseAt + c.pauseFor)
				}
				s.Listen(c.deafUntil == 0 || now.Before(at(c.deafFrom)) || !now.Before(at(c.deafUntil)))
				if s.Check(now, func() bool { return now.Before(at(c.unreadUntil)) }) {
					is.New(t).Equal(now.Sub(start).Milliseconds(), int64(c.want))
					return
				}
			}
			t.Fatal("never counts as silent")
		})
	}
}

// Guards against a wait that never ends because each of its checks is late: a process that gets a little of each period runs in
// every one of them, and would wait until its caller gives up for somebody who is silent.
func TestSilenceIsNoticedThoughEveryCheckIsLate(t *testing.T) {
	const longest, limit = time.Second, 10 * time.Second
	for name, c := range map[string]struct {
		timeout    time.Duration
		checks     int
		on, period time.Duration // the process runs at the start of each period
	}{
		"plain answer, 10 of 100 ms":   {timeout: 250 * time.Millisecond, checks: 8, on: 10 * time.Millisecond, period: 100 * time.Millisecond},
		"first event, 10 of 100 ms":    {timeout: 300 * time.Millisecond, checks: 8, on: 10 * time.Millisecond, period: 100 * time.Millisecond},
		"between events, 20 of 300 ms": {timeout: longest, checks: 8, on: 20 * time.Millisecond, period: 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			s := NewWait(start, c.timeout, longest, c.checks)
			for {
				elapsed := s.NextCheck().Sub(start)
				if phase := elapsed % c.period; phase >= c.on {
					elapsed += c.period - phase
				}
				if s.Check(start.Add(elapsed), nil) {
					return
				}
				if elapsed > limit {
					t.Fatalf("not silent after %s", elapsed)
				}
			}
		})
	}
}
