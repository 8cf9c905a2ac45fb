// Package pace decides when to ask an engine for its next load report. Engines renew their reports at an
// interval of their own; asking right after each renewal gets every report while it is fresh, with one call
// a report.
package pace

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

const (
	margin   = 20 * time.Millisecond // after the expected renewal, for its own unsteadiness
	shortest = 10 * time.Millisecond // between two calls
	spread   = 5                     // part of the interval over which instances are spread
	longest  = time.Second           // so that a silent engine is noticed whatever its interval
)

// Pace follows one engine's reports. The zero value knows none.
type Schedule struct {
	// Phase in [0, 1) delays each call by that part of a fifth of the interval. It differs between instances,
	// so that they don't all act on the same report at the same moment.
	Phase float64

	seq    uint64
	made   decide.Instant
	period time.Duration // between two renewals; 0: not known yet
}

// Next takes the report that came at now, with its sequence number and the instant its figures were made,
// and gives the time to wait until the next call. fallback is the wait while the interval is not known, and
// after a report that was asked for too early. A lower sequence number is a new boot's.
func (p *Schedule) Next(seq uint64, made, now decide.Instant, fallback time.Duration) time.Duration {
	switch {
	case seq == p.seq:
		return max(shortest, min(fallback, longest))
	case p.seq > 0 && seq > p.seq:
		p.period = made.Sub(p.made) / time.Duration(seq-p.seq)
	default:
		p.period = 0
	}
	p.seq, p.made = seq, made
	if p.period <= 0 {
		return max(shortest, min(fallback, longest))
	}
	due := made.Add(p.period + margin + time.Duration(p.Phase*float64(p.period)/spread))
	return max(shortest, min(due.Sub(now), longest))
}
