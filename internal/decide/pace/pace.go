// Package pace decides when to request an engine's next load report. Each engine renews its report at an interval of
// its own. A call right after each renewal receives every report while it is fresh, with one call per report.
package pace

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

const (
	renewalMargin = 20 * time.Millisecond // after the expected renewal, for its jitter
	minWait       = 10 * time.Millisecond // between two calls
	phaseDivisor  = 5                     // the instances' calls are spread over a fifth of the renewal interval
	maxWait       = time.Second           // so that an engine that stops answering is noticed whatever its interval
)

// Schedule computes the times of the calls to one engine from its reports. The zero value has recorded no report.
type Schedule struct {
	// Phase in [0, 1) delays each call by that part of a fifth of the renewal interval. It differs between instances,
	// so that they do not all act on the same report at the same moment.
	Phase float64

	seq           uint64         // sequence number of the last report
	madeAt        decide.Instant // time at which it was made
	renewalPeriod time.Duration  // between two renewals; 0: not known yet
}

// Next records the report that was received at now, with its sequence number and the time at which it was made, and
// returns the time to wait until the next call. fallback is the wait while the renewal interval is not known, and
// after a call that received the same report as the one before. A lower sequence number means that the engine rebooted.
func (p *Schedule) Next(seq uint64, madeAt, now decide.Instant, fallback time.Duration) time.Duration {
	switch {
	case seq == p.seq:
		return max(minWait, min(fallback, maxWait))
	case p.seq > 0 && seq > p.seq:
		p.renewalPeriod = madeAt.Sub(p.madeAt) / time.Duration(seq-p.seq)
	default:
		p.renewalPeriod = 0
	}
	p.seq, p.madeAt = seq, madeAt
	if p.renewalPeriod <= 0 {
		return max(minWait, min(fallback, maxWait))
	}
	nextCall := madeAt.Add(p.renewalPeriod + renewalMargin + time.Duration(p.Phase*float64(p.renewalPeriod)/phaseDivisor))
	return max(minWait, min(nextCall.Sub(now), maxWait))
}
