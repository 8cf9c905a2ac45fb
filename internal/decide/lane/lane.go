// Package lane sizes a model's long lanes: the engines that long prompts stay on, so that they can't take
// the memory and the batch steps of all engines from the short ones.
//
// Each instance sizes the lanes by itself, from the long demand that it measures. That is safe since lanes
// are an optimisation: an instance that counts one lane more than another sends a long prompt to an engine
// that the other thinks of as short, and no promise is broken. The order of the engines is the same
// everywhere, so two sizes differ only in the last engines.
package lane

import (
	"math"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/rendezvous"
)

// Window is the time over which demand is averaged.
const DemandWindow = 2 * time.Minute

// Demand measures the engines that long prompts keep busy: an exponentially weighted sum of
// engine-seconds, divided by the window. Not safe for concurrent use.
type Demand struct {
	sum     float64 // engine-seconds, decayed to at
	at      decide.Instant
	started decide.Instant
	any     bool
}

// Add counts a long prompt that will keep engines busy for that many engine-seconds.
func (d *Demand) Add(engineSeconds float64, now decide.Instant) {
	if !d.any {
		d.any, d.started, d.at = true, now, now
	}
	d.decayTo(now)
	d.sum += engineSeconds
}

func (d *Demand) decayTo(now decide.Instant) {
	if now.Before(d.at) {
		return
	}
	d.sum *= math.Exp(-now.Sub(d.at).Seconds() / DemandWindow.Seconds())
	d.at = now
}

// Engines is the measured demand, in engines. Until a whole window has passed the sum is divided by what
// has passed of it, at least a tenth.
func (d *Demand) BusyEngines(now decide.Instant) float64 {
	if !d.any {
		return 0
	}
	d.decayTo(now)
	passed := 1 - math.Exp(-now.Sub(d.started).Seconds()/DemandWindow.Seconds())
	return d.sum / (DemandWindow.Seconds() * max(passed, 0.1))
}

// Reasons of a size.
const (
	Steady  decide.Reason = "lanes_steady"
	Grown   decide.Reason = "lanes_grown"
	Shrunk  decide.Reason = "lanes_shrunk"
	Holding decide.Reason = "lanes_hold_down" // fewer would do, but not for long enough yet
)

// Reasons lists all of them.
var Reasons = []decide.Reason{Steady, Grown, Shrunk, Holding}

// HoldDown is how long fewer lanes must have sufficed before one is given back.
const HoldDown = 30 * time.Second

// Sizer holds the number of lanes with hysteresis: it grows at once, since long prompts wait meanwhile,
// and gives back one lane each HoldDown, since a lane given back and taken again costs its cached
// prefixes and short prompts' placements twice.
type Sizer struct {
	Headroom float64 // lanes for each engine of demand
	MinLanes int     // lanes that are kept however small the demand; enough for the longest prompt
	MaxShare float64 // largest share of the engines

	size     int
	below    bool
	belowFor decide.Instant // since when fewer would have sufficed
}

// Size gives the lanes for a demand, in engines, among that many engines.
func (s *Sizer) Resize(demand float64, engines int, now decide.Instant) (int, decide.Reason) {
	want := s.want(demand, engines)
	switch {
	case want > s.size:
		s.size, s.below = want, false
		return s.size, Grown
	case want == s.size:
		s.below = false
		return s.size, Steady
	case s.size > s.most(engines): // engines have left
		s.size, s.below = s.most(engines), false
		return s.size, Shrunk
	case !s.below:
		s.below, s.belowFor = true, now
		return s.size, Holding
	case now.Sub(s.belowFor) < HoldDown:
		return s.size, Holding
	default:
		s.size, s.belowFor = s.size-1, now
		return s.size, Shrunk
	}
}

func (s *Sizer) most(engines int) int {
	return max(int(s.MaxShare*float64(engines)), min(s.MinLanes, engines))
}

func (s *Sizer) want(demand float64, engines int) int {
	want := max(int(math.Ceil(demand*s.Headroom)), s.MinLanes)
	return min(want, s.most(engines))
}

// Order gives a model's engines in the order in which they become lanes: by rendezvous within a failure
// domain, and the domains in turn, so that a domain that leaves takes its share of the lanes and no more.
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
	for rank := 0; len(order) < len(engines); rank++ {
		for _, d := range domains {
			if rank < len(byDomain[d]) {
				order = append(order, fleet.UpstreamID(byDomain[d][rank]))
			}
		}
	}
	return order
}
