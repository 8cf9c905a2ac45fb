package silence

import (
	"sync"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/crash"
)

// Timer calls a function when somebody else is silent. It is safe for concurrent use.
type Timer struct {
	onSilence func()

	mu      sync.Mutex
	wait    *Wait       // guarded by mu
	timer   *time.Timer // guarded by mu: of the next check
	stopped bool        // guarded by mu
}

// AfterFunc returns a timer that calls onSilence once, in a goroutine of its own, if nothing arrives within timeout, or later
// for longest. Each wait is checked so many times.
func AfterFunc(timeout, longest time.Duration, checks int, onSilence func()) *Timer {
	now := time.Now()
	t := &Timer{onSilence: onSilence, wait: NewWait(now, timeout, longest, checks)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(t.wait.NextCheck().Sub(now), func() { t.check(time.Now()) })
	return t
}

// check calls onSilence if the other side is silent, and schedules the next check otherwise.
func (t *Timer) check(now time.Time) {
	defer crash.Report("timer of silence")
	t.mu.Lock()
	if t.stopped {
		t.mu.Unlock()
		return
	}
	if !t.wait.Check(now, nil) {
		t.timer.Reset(t.wait.NextCheck().Sub(now))
		t.mu.Unlock()
		return
	}
	t.stopped = true
	t.mu.Unlock()
	t.onSilence()
}

// Arrived records that something arrived.
func (t *Timer) Arrived() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wait.Event(time.Now())
}

// Listen records whether somebody reads what arrives. While nobody does, nobody counts as silent. A new timer listens.
func (t *Timer) Listen(listening bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wait.Listen(listening)
}

// Stop stops the timer.
func (t *Timer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
