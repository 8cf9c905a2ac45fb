package lane_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/lane"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

func TestDemandConvergesToTheLoad(t *testing.T) {
	is := is.New(t)
	var d lane.Demand
	now := decide.Instant(0)
	for range 600 { // 4 engine-seconds each second
		d.Add(4, now)
		now = now.Add(time.Second)
	}
	is.True(math.Abs(d.BusyEngines(now)-4) < 0.2)
	is.True(d.BusyEngines(now.Add(3*lane.DemandWindow)) < 0.3) // and forgets it
}

// Short prompts' first tokens jump up and down by the minute though the load is the same.
// Order: demand wavers around a whole number of engines; lanes are given back and taken each time.
// Cause: without hysteresis the size follows every sample.
func TestWaveringDemandDoesNotFlap(t *testing.T) {
	is := is.New(t)
	s := lane.Sizer{Headroom: 1, MinLanes: 1, MaxShare: 0.8}
	changes, last := 0, 0
	now := decide.Instant(0)
	for i := range 600 {
		demand := 3.9
		if i%10 >= 5 {
			demand = 4.1
		}
		size, _ := s.Resize(demand, 20, now)
		if size != last {
			changes++
		}
		last = size
		now = now.Add(time.Second)
	}
	is.Equal(last, 5)
	is.Equal(changes, 2) // to 4 at the start, then to 5 for good
}

func TestLanesAreGivenBackOneByOne(t *testing.T) {
	is := is.New(t)
	s := lane.Sizer{Headroom: 1, MinLanes: 2, MaxShare: 0.5}
	now := decide.Instant(0)
	size, why := s.Resize(30, 20, now)
	is.Equal(size, 10) // never more than the share
	is.Equal(why, lane.Grown)
	size, why = s.Resize(1, 20, now)
	is.Equal(size, 10)
	is.Equal(why, lane.Holding)
	size, why = s.Resize(1, 20, now.Add(lane.HoldDown))
	is.Equal(size, 9)
	is.Equal(why, lane.Shrunk)
	for i := range 20 {
		size, _ = s.Resize(0, 20, now.Add(time.Duration(i+2)*lane.HoldDown))
	}
	is.Equal(size, 2) // enough for the longest prompt
}

func TestEnginesThatLeaveTakeTheirLanes(t *testing.T) {
	is := is.New(t)
	s := lane.Sizer{Headroom: 1, MinLanes: 2, MaxShare: 0.5}
	s.Resize(10, 20, 0)
	size, why := s.Resize(4, 13, 1)
	is.Equal(size, 6)
	is.Equal(why, lane.Shrunk)
}

func TestOrderSpreadsOverDomainsAndIsNested(t *testing.T) {
	is := is.New(t)
	var engines []*fleet.Upstream
	domain := map[fleet.UpstreamID]fleet.DomainID{}
	for i := range 20 {
		u := &fleet.Upstream{ID: fleet.UpstreamID(fmt.Sprintf("e%02d", i)), Domain: fleet.DomainID(fmt.Sprintf("d%d", i%3))}
		engines = append(engines, u)
		domain[u.ID] = u.Domain
	}
	order := lane.Order("m", engines)
	is.Equal(len(order), 20)
	for n := 3; n <= 18; n += 3 {
		count := map[fleet.DomainID]int{}
		for _, id := range order[:n] {
			count[domain[id]]++
		}
		is.Equal(len(count), 3)
		for _, c := range count {
			is.Equal(c, n/3)
		}
	}
	slices.Reverse(engines)
	is.Equal(lane.Order("m", engines), order) // whatever the order of the list
}
