package watch

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/pause"
)

const (
	// pauseBound is the longest time between two ticks of a running process; they come every expiry. A starved
	// scheduler delays them by tens of ms.
	pauseBound = 600 * time.Millisecond
	// doubtTime is how long a process that was paused waits for proof that what it knows is still the newest.
	// With the store away none comes, and the last known state is then the best there is.
	doubtTime = 1500 * time.Millisecond
)

// doubt finds out that the process was paused. The failure it guards against: a frozen machine wakes up and
// sends work by what it knew before, to upstreams that have left and by keys that were taken away. Whoever
// sends asks, so that no tick has to run first.
//
// The steady clock stands still while a machine is suspended, and the boot-time clock does not: it is the one
// that is compared.
type doubt struct {
	guard *pause.Guard
	since atomic.Int64 // boot time of the wake-up that was noticed last; 0: none
}

func newDoubt() *doubt { return &doubt{guard: pause.New(bootTime(), pauseBound)} }

// bootTime is the time since the machine was started, suspensions included.
func bootTime() decide.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without that clock only pauses of a running machine are seen.
		return decide.Instant(time.Since(processStart))
	}
	return decide.Instant(ts.Nano())
}

var processStart = time.Now()

// notice marks a tick, and remembers a pause before it.
func (d *doubt) notice() (paused time.Duration) {
	now := bootTime()
	gap, reason := d.guard.Check(now)
	if reason == pause.Paused {
		d.since.Store(int64(now))
		paused = gap
	}
	d.guard.Tick(now)
	return paused
}

// woke gives how long ago the process woke up from a pause; ok is false if none is in doubt any more.
func (d *doubt) woke() (ago time.Duration, ok bool) {
	now := bootTime()
	if _, reason := d.guard.Check(now); reason == pause.Paused {
		return 0, true
	}
	since := d.since.Load()
	if since == 0 {
		return 0, false
	}
	ago = now.Sub(decide.Instant(since))
	return ago, ago < doubtTime
}

// Doubtful tells whether the process was paused so lately that nothing has proven yet that what it knows is
// still in force.
func (f *Follower) Untrusted() bool {
	awake, ok := f.awake()
	if !ok {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for kind := range f.mirrors {
		if f.unproven(kind, awake) {
			return true
		}
	}
	return false
}

// awake gives when the process woke up from a pause; ok is false if none is in doubt any more.
func (f *Follower) awake() (at time.Time, ok bool) {
	ago, ok := f.doubt.woke()
	return time.Now().Add(-ago), ok
}

// unproven tells whether nothing has proven a kind since the process woke up; mu is held. Nothing safe depends on the
// other instances.
func (f *Follower) unproven(kind string, awake time.Time) bool {
	m := f.mirrors[kind]
	return kind != KindMembers && m.known && m.proven.Before(awake)
}
