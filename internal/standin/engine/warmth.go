package engine

import "time"

// warmth is the cold state: a cold engine bears few requests at once, and falls over under more.
type warmth struct {
	cold      bool
	successes int
	since     uint64        // jobs numbered below this were there before it turned cold
	down      time.Duration // out of service until then
}

// turnCold makes the engine cold. Jobs that are in flight already are not counted against its limit.
func (w *warmth) turnCold(next uint64) {
	*w = warmth{cold: true, since: next, down: w.down}
}

// succeed counts a success and tells whether the engine is warm now.
func (w *warmth) succeed(warmAfter int) {
	if !w.cold {
		return
	}
	w.successes++
	if w.successes >= warmAfter {
		w.cold = false
	}
}
