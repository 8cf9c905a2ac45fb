// Package speed estimates how much slower than planned an engine works. An engine can become slow without reporting it:
// it is healthy, but its passes take several times as long and delay every stream on it. It shows in work that takes
// longer than planned.
//
// Old measurements count less, because an engine that receives no jobs while it is slow is not measured any more and must
// be tried again.
package speed

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

const (
	// SlowFrom is the ratio of actual to planned time from which an engine counts as slow; smaller ratios are usual
	// variation.
	SlowFrom = 1.6
	// maxRatio bounds the effect of a single stalled run.
	maxRatio = 8.0
	// decayTime is the time after which half of a measured slowdown still counts.
	decayTime = 1500 * time.Millisecond
)

// Estimate is the learned speed of one engine. The zero value is an engine that works as planned. It is not safe for
// concurrent use.
type Estimate struct {
	delayed  bool // a measured ratio is above 1
	unproven bool // it was slow, and has not worked as planned since
	measured measurement
	provenAt decide.Instant // last time at which it worked as planned
}

// measurement is a slowdown.
type measurement struct {
	ratio float64 // of actual to planned time when it was last updated; below 1: nothing was measured
	at    decide.Instant
}

// current returns the ratio, decayed since its last update, at least 1.
func (m measurement) current(now decide.Instant) float64 {
	if m.ratio <= 1 {
		return 1
	}
	age, decay := toMs(now.Sub(m.at)), toMs(decayTime)
	return 1 + (m.ratio-1)*decay/(decay+age)
}

// Observe records the ratio of actual to planned time of work that is done. weight, up to 1, is the weight of this ratio
// against that of the earlier ones.
func (e *Estimate) Observe(now decide.Instant, ratio, weight float64) {
	m := &e.measured
	m.ratio = (1-weight)*m.current(now) + weight*bounded(ratio)
	m.at = now
	e.record(now)
}

// ObserveAtLeast records work that goes on, and whose actual time is at least ratio times the planned one.
func (e *Estimate) ObserveAtLeast(now decide.Instant, ratio float64) {
	m := &e.measured
	if ratio = bounded(ratio); ratio >= m.current(now) {
		m.ratio, m.at = ratio, now
	}
	e.record(now)
}

// Prove records that the engine worked as planned. It clears what was measured before if the engine was slow.
func (e *Estimate) Prove(now decide.Instant) {
	if e.unproven {
		e.measured, e.delayed, e.unproven = measurement{}, false, false
	}
	e.provenAt = now
}

// Unproven reports whether the engine was slow and has not worked as planned since.
func (e *Estimate) Unproven() bool { return e.unproven }

// ProvenSince reports whether the engine worked as planned at the given time or later.
func (e *Estimate) ProvenSince(t decide.Instant) bool { return e.provenAt >= t }

// Slowdown returns the factor by which plans lengthen the engine's work, 1 unless the engine counts as slow.
func (e *Estimate) Slowdown(now decide.Instant) float64 {
	if !e.delayed {
		return 1
	}
	if x := e.measured.current(now); x >= SlowFrom {
		return x
	}
	return 1
}

// record updates what follows from a new measurement.
func (e *Estimate) record(now decide.Instant) {
	e.delayed = e.measured.ratio > 1
	e.unproven = e.unproven || e.Slowdown(now) > 1
}

// bounded limits a ratio to the range from 1 to maxRatio.
func bounded(ratio float64) float64 { return min(maxRatio, max(1, ratio)) }

func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
