package watch

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/pause"
)

const (
	// pauseThreshold is the longest time between two ticks of a process that isn't paused. Ticks come every
	// expiryInterval, and a starved scheduler delays them by tens of ms.
	pauseThreshold = 600 * time.Millisecond
	// proofTimeout is how long a process that was paused waits for proof that its state is still current. While the
	// store is unavailable there is no proof, and the last known state is the best available.
	proofTimeout = 1500 * time.Millisecond
)

// pauseDetector detects that the process was paused. It guards against a frozen machine that resumes and sends work
// according to outdated state: to upstreams that have left, or for API keys that were revoked. Every sender checks it
// before it sends, so that the detection doesn't depend on a tick that has yet to run.
//
// It uses the boot-time clock, because the monotonic clock stops while the machine is suspended.
type pauseDetector struct {
	clock     func() decide.Instant // the boot-time clock
	guard     *pause.Guard
	resumedAt atomic.Int64 // boot time at which the end of the last pause was detected; 0: no pause yet
}

// newPauseDetector returns a detector that counts from now by the given clock; nil: the machine's boot-time clock.
func newPauseDetector(clock func() decide.Instant) *pauseDetector {
	if clock == nil {
		clock = bootTime
	}
	return &pauseDetector{clock: clock, guard: pause.New(clock(), pauseThreshold)}
}

// bootTime returns the time since the machine booted, including suspensions.
func bootTime() decide.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without the boot-time clock, suspensions of the machine aren't detected, but other pauses are.
		return decide.Instant(time.Since(processStart))
	}
	return decide.Instant(ts.Nano())
}

// processStart is the origin of the clock that bootTime falls back to.
var processStart = time.Now()

// tick records a tick. If the process was paused before it, tick records the end of the pause and returns its duration.
func (d *pauseDetector) tick() (paused time.Duration) {
	now := d.clock()
	gap, reason := d.guard.Check(now)
	if reason == pause.Paused {
		d.resumedAt.Store(int64(now))
		paused = gap
	}
	d.guard.Tick(now)
	return paused
}

// sinceResume returns the time since the process resumed from its last pause. A pause that no tick has recorded yet
// counts as ending now. ok is false if there was no pause or if it ended more than proofTimeout ago.
func (d *pauseDetector) sinceResume() (ago time.Duration, ok bool) {
	now := d.clock()
	if _, reason := d.guard.Check(now); reason == pause.Paused {
		return 0, true
	}
	resumedAt := d.resumedAt.Load()
	if resumedAt == 0 {
		return 0, false
	}
	ago = now.Sub(decide.Instant(resumedAt))
	return ago, ago < proofTimeout
}

// Untrusted reports whether the process was paused so recently that its state isn't proven to be current yet.
func (f *Follower) Untrusted() bool {
	resumedAt, ok := f.resumedAt()
	if !ok {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for kind := range f.replicas {
		if f.unproven(kind, resumedAt) {
			return true
		}
	}
	return false
}

// resumedAt returns when the process resumed from its last pause. ok is false if there was no pause or if it ended more
// than proofTimeout ago.
func (f *Follower) resumedAt() (at time.Time, ok bool) {
	ago, ok := f.pauses.sinceResume()
	return time.Now().Add(-ago), ok
}

// unproven reports whether the copy of a kind hasn't been proven current since the process resumed. It returns false
// for the instances' entries, because no safety guarantee depends on them. mu is held.
func (f *Follower) unproven(kind string, resumedAt time.Time) bool {
	r := f.replicas[kind]
	return kind != KindMembers && r.known && r.provenAt.Before(resumedAt)
}
