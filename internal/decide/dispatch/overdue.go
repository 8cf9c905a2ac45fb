package dispatch

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// An upstream can lose an answer, or be behind a connection over which nothing arrives any more. No error reports that.
// The caller waits until it gives up, and the engines of a long prompt would count as busy with it until then.

const (
	// overdueFactor and overdueMargin bound how much later than planned a first event may come, for example if an
	// engine is delayed by another prefill or a lost packet is retransmitted.
	overdueFactor = 3
	overdueMargin = 300 * time.Millisecond
	// minPlainOverdue is the least time after which a plain answer is overdue: a lost packet is retransmitted after
	// 0.2 s.
	minPlainOverdue = 250 * time.Millisecond
	// meanWeight and deviationWeight are the weights of the newest answer in the mean of plain answers' latency and in
	// its mean deviation. An answer is overdue after the mean and overdueDeviations mean deviations, as for the
	// retransmission timer of RFC 6298.
	meanWeight        = 1.0 / 8
	deviationWeight   = 1.0 / 4
	overdueDeviations = 4
)

// answerLatency is the recent latency of plain answers.
type answerLatency struct {
	measured            bool
	meanMs, deviationMs float64 // of the recent answers
}

// add updates the mean and the mean deviation with the latency of a new answer.
func (a *answerLatency) add(latency time.Duration) {
	ms := toMs(latency)
	if !a.measured {
		*a = answerLatency{measured: true, meanMs: ms, deviationMs: ms / 2}
		return
	}
	deviation := ms - a.meanMs
	if deviation < 0 {
		deviation = -deviation
	}
	a.deviationMs += deviationWeight * (deviation - a.deviationMs)
	a.meanMs += meanWeight * (ms - a.meanMs)
}

// overdueAfter returns the time after which a plain answer is overdue, 0 if no answer was measured yet.
func (a *answerLatency) overdueAfter() time.Duration {
	if !a.measured {
		return 0
	}
	return max(minPlainOverdue, fromMs(a.meanMs+overdueDeviations*a.deviationMs))
}

// overdueAfter returns the time after its start at which the first event of a run is overdue, 0 if it is unknown.
func (s *State) overdueAfter(r *run) time.Duration {
	if s.model == nil {
		return s.answerLatency.overdueAfter()
	}
	return overdueFactor*fromMs(r.plannedMs*r.slowdown) + overdueMargin
}

// dropOverduePrefills removes the prefill of runs whose first event is overdue from their engines' pending time.
func (s *State) dropOverduePrefills(now decide.Instant) {
	if s.model == nil {
		return
	}
	for r := range s.prefilling {
		if now.Sub(r.startedAt) >= s.overdueAfter(r) {
			s.removePrefill(r)
		}
	}
}
