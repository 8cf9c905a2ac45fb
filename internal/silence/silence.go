// Package silence judges whether somebody else is silent. Only a process that ran and listened all the while can tell: one
// that did not run finds its own delay, and one that asks for nothing receives nothing.
package silence

import "time"

// Wait is the wait for somebody to send something, which is checked several times. It is not safe for concurrent use.
type Wait struct {
	longest   time.Duration // between two events
	checks    int           // in each wait
	interval  time.Duration // between two checks
	due       time.Time     // when the other side is silent unless something arrives
	nextCheck time.Time
	deaf      bool          // nothing reads what arrives
	absent    time.Duration // for which this process was found not to have run
	granted   time.Duration // of absent, by how much the present wait has been made longer
}

// NewWait returns a wait that starts now. Until the first event the other side may be silent for timeout, and for longest
// after each event. Each wait is checked so many times. A process that comes to a check later than the next one was due did
// not run meanwhile, as when it is stopped or gets no processor time.
func NewWait(now time.Time, timeout, longest time.Duration, checks int) *Wait {
	w := &Wait{longest: longest, checks: checks, interval: min(timeout, longest) / time.Duration(checks), due: now.Add(timeout)}
	w.scheduleCheck(now)
	return w
}

// scheduleCheck sets the time of the next check.
func (w *Wait) scheduleCheck(now time.Time) {
	w.nextCheck = now.Add(w.interval)
	if w.due.After(now) && w.due.Before(w.nextCheck) {
		w.nextCheck = w.due
	}
}

// NextCheck returns when Check is to be called.
func (w *Wait) NextCheck() time.Time { return w.nextCheck }

// Due returns when the other side is silent unless something arrives.
func (w *Wait) Due() time.Time { return w.due }

// Absent returns for how long this process was found not to have run.
func (w *Wait) Absent() time.Duration { return w.absent }

// Event records that something whole arrived. The next wait begins.
func (w *Wait) Event(now time.Time) {
	w.granted = 0
	w.due, w.interval = now.Add(w.longest), w.longest/time.Duration(w.checks)
}

// Part records that a part of something arrived. It never makes the wait shorter.
func (w *Wait) Part(now time.Time) {
	w.granted = 0
	w.due = later(w.due, now.Add(w.longest))
}

// Listen records whether something reads what arrives. A new wait is listened to.
func (w *Wait) Listen(listening bool) { w.deaf = !listening }

// Check reports whether the other side is silent. waiting reports whether something has arrived that nobody has read; nil if
// that can't be told. If the other side is not silent, the next check follows at NextCheck.
//
// Time in which the process did not run doesn't count. After it the other side has as long again: what was sent to a machine
// that was frozen is sent again, at intervals that grow with the time for which it was. Between two arrivals that makes the wait
// longer by a whole one at most, because a process that is late at each check would otherwise wait for ever.
func (w *Wait) Check(now time.Time, waiting func() bool) bool {
	late := now.Sub(w.nextCheck)
	absent := late > w.interval
	if absent {
		w.absent += late
	}
	switch {
	case absent && w.granted < w.whole():
		grant := min(late, w.whole()-w.granted)
		w.granted += grant
		w.due = later(w.due.Add(grant), now.Add(grant))
	case w.deaf:
		w.Extend(now)
	case now.Before(w.due):
	case waiting != nil && waiting():
		w.Extend(now)
	default:
		return true
	}
	w.scheduleCheck(now)
	return false
}

// whole returns the present length of a wait.
func (w *Wait) whole() time.Duration { return time.Duration(w.checks) * w.interval }

// Extend lets the other side be silent for a whole wait from now at least.
func (w *Wait) Extend(now time.Time) {
	w.due = later(w.due, now.Add(w.whole()))
	w.scheduleCheck(now)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
