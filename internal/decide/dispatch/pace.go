package dispatch

import (
	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// An engine can turn slow without a word: its health is good and its passes take four times as long, so that
// every stream on it pauses. It shows in how much longer than planned first events take.

const (
	// tripMs is the way of a request from the dispatcher over its instance to the engine, and of the news back.
	tripMs = 10.0
	// learnShare is the weight of the newest run.
	learnShare = 0.3
	// slowFrom is how many times longer than planned counts as slow; less is the usual spread.
	slowFrom = 1.6
	// mostSlow bounds what one stalled run can teach.
	mostSlow = 8.0
	// forgetMs is the time in which half of what was learnt is forgotten: an engine that is left alone because
	// it was slow must be tried again.
	forgetMs = 1500.0
)

// learn takes how long a run's first event took. Only runs without helpers teach: with them the slowest
// engine decides, and it isn't known which that is.
func (s *State) learn(now decide.Instant, r *run) {
	if s.model == nil || len(r.helpers) > 0 || r.planned <= 0 {
		return
	}
	ratio := min(mostSlow, max(1, toMs(now.Sub(r.granted))/r.planned))
	e := r.on
	e.slow = (1-learnShare)*e.slowness(now) + learnShare*ratio
	e.slowAt = now
}

// slowness is how many times longer than planned the engine takes, 1 for one as planned.
func (e *engine) slowness(now decide.Instant) float64 {
	if e.slow <= 1 {
		return 1
	}
	age := toMs(now.Sub(e.slowAt))
	return 1 + (e.slow-1)*forgetMs/(forgetMs+age)
}

// pace is the factor by which the engine's work is planned to take longer.
func (e *engine) pace(now decide.Instant) float64 {
	if x := e.slowness(now); x >= slowFrom {
		return x
	}
	return 1
}
