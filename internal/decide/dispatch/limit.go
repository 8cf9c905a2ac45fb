package dispatch

import (
	"math"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

const (
	// ProbeRate is what an upstream gets that takes less or nothing, in requests a second: only an answer shows that it
	// takes more again.
	ProbeRate = 0.2
	// limitBurst is the part of a second's requests that may come together.
	limitBurst = 0.25
	// riseEvery is the time in which the rate doubles of an upstream that names no limit any more. It has just been in
	// need, and idle beside busy ones it would get as many requests at once as it has places.
	riseEvery = time.Second
	// risenRate is the rate in requests a second from which such an upstream is not limited any more.
	risenRate = 100
)

// limit bounds what an upstream gets that says how many requests it takes. It begins with none left: what the upstream
// got before is not known, and another dispatcher may just have given out its share.
type limit struct {
	rate   float64 // requests a second
	left   float64 // requests that it may get now
	asOf   decide.Instant
	rising bool // it is over, and the rate grows
}

// SetLimits takes how many requests a second each upstream takes from this dispatcher, where it says so.
func (s *State) SetLimits(now decide.Instant, rates map[fleet.UpstreamID]float64) {
	for id, e := range s.engines {
		rate, limited := rates[id]
		e.setLimit(now, rate, limited)
	}
}

func (e *engine) setLimit(now decide.Instant, rate float64, limited bool) {
	switch {
	case limited && e.limit == nil:
		e.limit = &limit{rate: rate, asOf: now}
	case limited:
		e.limit.refill(now)
		e.limit.rate, e.limit.rising = rate, false
	case e.limit != nil && !e.limit.rising:
		e.limit.refill(now)
		e.limit.rate, e.limit.rising = max(e.limit.rate, ProbeRate), true
	}
}

func (l *limit) refill(now decide.Instant) {
	past := now.Sub(l.asOf)
	l.asOf = now
	if l.rising {
		l.rate *= math.Exp2(past.Seconds() / riseEvery.Seconds())
	}
	l.left = min(max(1, l.rate*limitBurst), l.left+l.rate*past.Seconds())
}

// refillLimit brings the upstream's limit up to now. One that has risen again is over.
func (e *engine) refillLimit(now decide.Instant) {
	if e.limit == nil {
		return
	}
	e.limit.refill(now)
	if e.limit.rising && e.limit.rate >= risenRate {
		e.limit = nil
	}
}

// limited tells whether the upstream takes only so many requests.
func (e *engine) limited() bool { return e.limit != nil }

// underLimit tells whether the upstream's limit leaves room for a request.
func (e *engine) underLimit() bool { return !e.limited() || e.limit.left >= 1 }

// takeLimit counts a request that was placed.
func (e *engine) takeLimit() {
	if e.limit != nil {
		e.limit.left--
	}
}

// limitSurvey is what the upstreams under a limit take together.
type limitSurvey struct {
	upstreams int
	rate      float64 // requests a second
	left      float64 // requests that they may get now
	unnamed   int     // upstreams that name no limit, or none any more
}

// take counts an upstream, its limit brought up to now.
func (v *limitSurvey) take(e *engine) {
	if !e.limited() || e.limit.rising {
		v.unnamed++
	}
	if e.limited() {
		v.upstreams++
		v.rate += e.limit.rate
		v.left += max(0, e.limit.left)
	}
}

// Limited gives how many upstreams were under a limit at the last step, and what they took together, in requests a second.
func (s *State) RateLimitTotals() (upstreams int, rate float64) {
	return s.limits.upstreams, s.limits.rate
}

// limitedWait is how long a job with so many before it waits at least for its turn, where every upstream names a limit.
func (s *State) limitedWait(before int) time.Duration {
	turns := float64(before+1) - s.limits.left
	if s.limits.unnamed > 0 || s.limits.rate <= 0 || turns <= 0 {
		return 0
	}
	return time.Duration(turns / s.limits.rate * float64(time.Second))
}
