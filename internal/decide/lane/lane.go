// Package lane determines the number of a model's long lanes. Lanes are the engines that long prompts are restricted
// to, so that they can't occupy the memory and the batch steps of all engines at the expense of short prompts.
//
// Each instance determines the number by itself, from the demand by long prompts that it measures. The instances
// needn't agree, as lanes are only an optimization: an instance with one lane more than another may send a long prompt
// to an engine that the other uses for short prompts. All instances order the engines alike, so their lanes differ only
// in the last engines of that order.
package lane

import (
	"math"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/rendezvous"
)

// DemandWindow is the time constant with which demand is averaged.
const DemandWindow = 2 * time.Minute

// Demand measures how many engines long prompts keep busy, as an exponentially weighted sum of engine-seconds divided
// by the window. It is not safe for concurrent use.
type Demand struct {
	sum       float64 // engine-seconds, decayed up to decayedAt
	decayedAt decide.Instant
	started   decide.Instant
	hasDemand bool
}

// Add adds a long prompt that keeps engines busy for that many engine-seconds.
func (d *Demand) Add(engineSeconds float64, now decide.Instant) {
	if !d.hasDemand {
		d.hasDemand, d.started, d.decayedAt = true, now, now
	}
	d.decayTo(now)
	d.sum += engineSeconds
}

// decayTo reduces the sum for the time from decayedAt to now.
func (d *Demand) decayTo(now decide.Instant) {
	if now.Before(d.decayedAt) {
		return
	}
	d.sum *= math.Exp(-now.Sub(d.decayedAt).Seconds() / DemandWindow.Seconds())
	d.decayedAt = now
}

// BusyEngines returns the measured demand as a number of engines. The sum covers only the time since the first Add, so
// the window is scaled by the weight of that time. The weight is at least a tenth, so that the first prompts don't
// count as a large demand.
func (d *Demand) BusyEngines(now decide.Instant) float64 {
	if !d.hasDemand {
		return 0
	}
	d.decayTo(now)
	elapsedWeight := 1 - math.Exp(-now.Sub(d.started).Seconds()/DemandWindow.Seconds())
	return d.sum / (DemandWindow.Seconds() * max(elapsedWeight, 0.1))
}

// Reasons for the result of Sizer.Resize.
const (
	Steady  decide.Reason = "lanes_steady"
	Grown   decide.Reason = "lanes_grown"
	Shrunk  decide.Reason = "lanes_shrunk"
	Holding decide.Reason = "lanes_hold_down" // fewer lanes suffice, but not for HoldDown yet
)

// Reasons lists all reasons of this package.
var Reasons = []decide.Reason{Steady, Grown, Shrunk, Holding}

// HoldDown is how long fewer lanes must suffice before the number is reduced by one.
const HoldDown = 30 * time.Second

// Sizer determines the number of lanes with hysteresis. It adds lanes immediately, because long prompts wait for them.
// It removes one lane per HoldDown, because a lane that is removed and added again loses its cached prefixes and moves
// short prompts to other engines each time.
type Sizer struct {
	Headroom float64 // lanes per engine of demand
	MinLanes int     // smallest number of lanes, enough for the longest prompt
	MaxShare float64 // largest share of the engines that may be lanes, 0 to 1

	size            int
	shrinkable      bool
	shrinkableSince decide.Instant // since when fewer lanes have sufficed, or the last was removed
}

// Resize updates and returns the number of lanes, given the demand in engines and the number of engines.
func (s *Sizer) Resize(demand float64, engines int, now decide.Instant) (int, decide.Reason) {
	target := s.target(demand, engines)
	switch {
	case target > s.size:
		s.size, s.shrinkable = target, false
		return s.size, Grown
	case target == s.size:
		s.shrinkable = false
		return s.size, Steady
	case s.size > s.maxLanes(engines): // the number of engines has fallen
		s.size, s.shrinkable = s.maxLanes(engines), false
		return s.size, Shrunk
	case !s.shrinkable:
		s.shrinkable, s.shrinkableSince = true, now
		return s.size, Holding
	case now.Sub(s.shrinkableSince) < HoldDown:
		return s.size, Holding
	default:
		s.size, s.shrinkableSince = s.size-1, now
		return s.size, Shrunk
	}
}

// maxLanes returns the largest number of lanes: MaxShare of the engines, but at least MinLanes if there are that many
// engines.
func (s *Sizer) maxLanes(engines int) int {
	return max(int(s.MaxShare*float64(engines)), min(s.MinLanes, engines))
}

// target returns the number of lanes for the current demand, before hysteresis.
func (s *Sizer) target(demand float64, engines int) int {
	target := max(int(math.Ceil(demand*s.Headroom)), s.MinLanes)
	return min(target, s.maxLanes(engines))
}

// Order returns a model's engines in the order in which they become lanes. Engines of a failure domain are ordered by
// rendezvous hashing, and the domains take turns, so that the loss of a domain removes only its share of the lanes.
func Order(model string, engines []*fleet.Upstream) []fleet.UpstreamID {
	byDomain := map[string][]string{}
	var domains []string
	for _, e := range engines {
		d := string(e.Domain)
		if byDomain[d] == nil {
			domains = append(domains, d)
		}
		byDomain[d] = append(byDomain[d], string(e.ID))
	}
	domains = rendezvous.Top(model, domains, len(domains))
	for d, ids := range byDomain {
		byDomain[d] = rendezvous.Top(model, ids, len(ids))
	}
	order := make([]fleet.UpstreamID, 0, len(engines))
	for position := 0; len(order) < len(engines); position++ {
		for _, d := range domains {
			if position < len(byDomain[d]) {
				order = append(order, fleet.UpstreamID(byDomain[d][position]))
			}
		}
	}
	return order
}
