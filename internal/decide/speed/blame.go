package speed

import "github.com/damaskshelf/damaskshelf/internal/decide"

// Culprit returns the index of the engine that makes a run late which several engines work on, each on a part of its
// own. The slowest engine determines the time of such a run. The run is late since the given time. ok is false if the
// engine isn't known.
//
// The engine is known if others show it: it is the slowest one that counts as slow, or the only one that has not worked
// as planned since the run is late.
func Culprit(now, lateSince decide.Instant, engines []*Estimate) (index int, ok bool) {
	slowest, suspect, suspects := -1, -1, 0
	for i, e := range engines {
		if x := e.Slowdown(now); x > 1 && (slowest < 0 || x > engines[slowest].Slowdown(now)) {
			slowest = i
		}
		if !e.ProvenSince(lateSince) {
			suspect = i
			suspects++
		}
	}
	if slowest >= 0 {
		return slowest, true
	}
	return suspect, suspects == 1
}
