package dispatch

import (
	"math"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

const (
	// ProbeRate is the least rate that a rate-limited upstream receives, in requests per second. Only an answer can
	// show that it accepts more again.
	ProbeRate = 0.2
	// limitBurstSeconds bounds a burst to the requests that the rate allows in this time, at least one.
	limitBurstSeconds = 0.25
	// rateDoublingTime is the time in which the rate of an upstream doubles after it stops advertising a limit. The
	// upstream has just been overloaded. Without the ramp it would receive as many requests at once as it has slots,
	// because it is idle while others are busy.
	rateDoublingTime = time.Second
	// rampEndRate is the rate, in requests per second, at which the ramp ends and the limit is removed.
	rampEndRate = 100
)

// limit is a token bucket for an upstream that advertises a rate limit. It starts empty, because it is not known what
// the upstream received before: another dispatcher may just have used up the same rate.
type limit struct {
	rate       float64 // requests a second
	tokens     float64 // requests that may be placed now
	refilledAt decide.Instant
	ramping    bool // the advertised limit has ended, and the rate grows
}

// SetLimits sets the rates, in requests per second, that upstreams accept from this dispatcher. An upstream that is
// not in rates advertises no limit.
func (s *State) SetLimits(now decide.Instant, rates map[fleet.UpstreamID]float64) {
	for id, e := range s.engines {
		rate, limited := rates[id]
		e.setLimit(now, rate, limited)
	}
}

// setLimit sets the engine's limit to the given rate. If limited is false, the engine advertises no limit any more, and
// the rate of its last one, if there is any, ramps up.
func (e *engine) setLimit(now decide.Instant, rate float64, limited bool) {
	switch {
	case limited && e.limit == nil:
		e.limit = &limit{rate: rate, refilledAt: now}
	case limited:
		e.limit.refill(now)
		e.limit.rate, e.limit.ramping = rate, false
	case e.limit != nil && !e.limit.ramping:
		e.limit.refill(now)
		e.limit.rate, e.limit.ramping = max(e.limit.rate, ProbeRate), true
	}
}

// refill adds the tokens for the time since the last refill, after it has raised the rate of a ramping limit.
func (l *limit) refill(now decide.Instant) {
	elapsed := now.Sub(l.refilledAt)
	l.refilledAt = now
	if l.ramping {
		l.rate *= math.Exp2(elapsed.Seconds() / rateDoublingTime.Seconds())
	}
	l.tokens = min(max(1, l.rate*limitBurstSeconds), l.tokens+l.rate*elapsed.Seconds())
}

// refillLimit refills the upstream's limit, and removes it once its rate has ramped up.
func (e *engine) refillLimit(now decide.Instant) {
	if e.limit == nil {
		return
	}
	e.limit.refill(now)
	if e.limit.ramping && e.limit.rate >= rampEndRate {
		e.limit = nil
	}
}

// limited reports whether the upstream has a rate limit.
func (e *engine) limited() bool { return e.limit != nil }

// underLimit reports whether the upstream's limit allows another request.
func (e *engine) underLimit() bool { return !e.limited() || e.limit.tokens >= 1 }

// consumeLimit counts a placed request against the upstream's limit.
func (e *engine) consumeLimit() {
	if e.limit != nil {
		e.limit.tokens--
	}
}

// limitTotals sums up the limits of the upstreams.
type limitTotals struct {
	upstreams int
	rate      float64 // requests a second
	tokens    float64 // requests that may be placed now
	unlimited int     // upstreams that advertise no limit, ramping ones included
}

// add adds an upstream whose limit was refilled.
func (t *limitTotals) add(e *engine) {
	if !e.limited() || e.limit.ramping {
		t.unlimited++
	}
	if e.limited() {
		t.upstreams++
		t.rate += e.limit.rate
		t.tokens += max(0, e.limit.tokens)
	}
}

// RateLimitTotals returns how many upstreams had a rate limit at the last step, and the sum of their rates in requests
// per second.
func (s *State) RateLimitTotals() (upstreams int, rate float64) {
	return s.limitTotals.upstreams, s.limitTotals.rate
}

// minLimitWait returns the least time until the turn of a job with this many jobs ahead of it. It is 0 unless every
// upstream advertises a limit.
func (s *State) minLimitWait(ahead int) time.Duration {
	deficit := float64(ahead+1) - s.limitTotals.tokens
	if s.limitTotals.unlimited > 0 || s.limitTotals.rate <= 0 || deficit <= 0 {
		return 0
	}
	return time.Duration(deficit / s.limitTotals.rate * float64(time.Second))
}
