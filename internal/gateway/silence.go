package gateway

import "time"

// checksPerWait is how often a wait is checked. An instance that comes to a check later than the next one was due did not run
// meanwhile, as when its process is stopped or gets no processor time.
const checksPerWait = 8

// silence judges whether an upstream is silent. Only an instance that ran and listened all the while can tell: one that did
// not run finds its own delay, and one that waits for its caller to read has asked for nothing. It is not safe for concurrent
// use.
type silence struct {
	maxSilence time.Duration // between two events
	interval   time.Duration // between two checks
	due        time.Time     // when the upstream is silent unless something arrives
	nextCheck  time.Time
	listening  bool          // something reads the connection
	absent     time.Duration // for which this instance was found not to have run
}

// newSilence returns the state of a wait for the head of an answer, or for its first event, that starts now.
func newSilence(now time.Time, timeout, maxSilence time.Duration) *silence {
	s := &silence{maxSilence: maxSilence, interval: min(timeout, maxSilence) / checksPerWait, due: now.Add(timeout), listening: true}
	s.scheduleCheck(now)
	return s
}

// scheduleCheck sets the time of the next check.
func (s *silence) scheduleCheck(now time.Time) {
	s.nextCheck = now.Add(s.interval)
	if s.due.After(now) && s.due.Before(s.nextCheck) {
		s.nextCheck = s.due
	}
}

// onEvent records that an event arrived.
func (s *silence) onEvent(now time.Time) {
	s.due, s.interval = now.Add(s.maxSilence), s.maxSilence/checksPerWait
}

// onBytes records that a part of the answer arrived.
func (s *silence) onBytes(now time.Time) { s.due = later(s.due, now.Add(s.maxSilence)) }

// check reports whether the upstream is silent. waiting reports whether something has arrived that nobody has read. If the
// upstream is not silent, the next check follows at s.nextCheck.
//
// Time in which the instance did not run doesn't count. After it the upstream has as long again, up to a whole wait: what was
// sent to a machine that was frozen is sent again, at intervals that grow with the time for which it was.
func (s *silence) check(now time.Time, waiting func() bool) bool {
	late := now.Sub(s.nextCheck)
	switch {
	case late > s.interval:
		s.absent += late
		s.due = later(s.due.Add(late), now.Add(min(late, s.wholeWait())))
	case !s.listening:
		s.extend(now)
	case now.Before(s.due):
	case waiting():
		s.extend(now)
	default:
		return true
	}
	s.scheduleCheck(now)
	return false
}

// wholeWait returns the present length of a wait.
func (s *silence) wholeWait() time.Duration { return checksPerWait * s.interval }

// extend makes the upstream silent after a whole wait from now at the earliest.
func (s *silence) extend(now time.Time) { s.due = later(s.due, now.Add(s.wholeWait())) }

// wait lets a silent upstream go on for another whole wait.
func (s *silence) wait(now time.Time) {
	s.extend(now)
	s.scheduleCheck(now)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
