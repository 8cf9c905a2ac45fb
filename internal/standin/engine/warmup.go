package engine

import "time"

// warmup is the state of a cold start. A cold engine prefills more slowly, and collapses when more than Config.ColdLimit
// requests are in flight.
type warmup struct {
	cold             bool
	successes        int           // requests completed since the engine turned cold
	firstCounted     uint64        // jobs with a lower number precede the cold state and don't count against ColdLimit
	unavailableUntil time.Duration // the engine is out of service until then
}

// turnCold makes the engine cold. Jobs with numbers below nextJobSeq, which are already in flight, don't count against
// the cold limit.
func (w *warmup) turnCold(nextJobSeq uint64) {
	*w = warmup{cold: true, firstCounted: nextJobSeq, unavailableUntil: w.unavailableUntil}
}

// recordSuccess counts a completed request. A cold engine is warm after warmAfter of them.
func (w *warmup) recordSuccess(warmAfter int) {
	if !w.cold {
		return
	}
	w.successes++
	if w.successes >= warmAfter {
		w.cold = false
	}
}
