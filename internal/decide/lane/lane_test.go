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

func TestDemandConvergesToLoad(t *testing.T) {
	is := is.New(t)
	var d lane.Demand
	now := decide.Instant(0)
	for range 600 { // 4 engine-seconds each second
		d.Add(4, now)
		now = now.Add(time.Second)
	}
	is.True(math.Abs(d.BusyEngines(now)-4) < 0.2)
	is.True(d.BusyEngines(now.Add(3*lane.DemandWindow)) < 0.3) // and decays without load
}

// Guards against first-token times of short prompts that rise and fall by the minute under constant load: the demand
// varies around a whole number of engines, and without hysteresis the number of lanes follows every sample.
func TestLaneCountDoesNotFlap(t *testing.T) {
	is := is.New(t)
	sizer := lane.Sizer{Headroom: 1, MinLanes: 1, MaxShare: 0.8}
	changes, last := 0, 0
	now := decide.Instant(0)
	for i := range 600 {
		demand := 3.9
		if i%10 >= 5 {
			demand = 4.1
		}
		size, _ := sizer.Resize(demand, 20, now)
		if size != last {
			changes++
		}
		last = size
		now = now.Add(time.Second)
	}
	is.Equal(last, 5)
	is.Equal(changes, 2) // to 4 at the start, then to 5 permanently
}

func TestLanesAreRemovedOneByOne(t *testing.T) {
	is := is.New(t)
	sizer := lane.Sizer{Headroom: 1, MinLanes: 2, MaxShare: 0.5}
	now := decide.Instant(0)
	size, reason := sizer.Resize(30, 20, now)
	is.Equal(size, 10) // limited by MaxShare
	is.Equal(reason, lane.Grown)
	size, reason = sizer.Resize(1, 20, now)
	is.Equal(size, 10)
	is.Equal(reason, lane.Holding)
	size, reason = sizer.Resize(1, 20, now.Add(lane.HoldDown))
	is.Equal(size, 9)
	is.Equal(reason, lane.Shrunk)
	for i := range 20 {
		size, _ = sizer.Resize(0, 20, now.Add(time.Duration(i+2)*lane.HoldDown))
	}
	is.Equal(size, 2) // MinLanes
}

func TestLanesShrinkWhenEnginesLeave(t *testing.T) {
	is := is.New(t)
	sizer := lane.Sizer{Headroom: 1, MinLanes: 2, MaxShare: 0.5}
	sizer.Resize(10, 20, 0)
	size, reason := sizer.Resize(4, 13, 1)
	is.Equal(size, 6)
	is.Equal(reason, lane.Shrunk)
}

func TestOrderAlternatesDomainsForAnyInputOrder(t *testing.T) {
	is := is.New(t)
	var engines []*fleet.Upstream
	domainOf := map[fleet.UpstreamID]fleet.DomainID{}
	for i := range 20 {
		u := &fleet.Upstream{ID: fleet.UpstreamID(fmt.Sprintf("e%02d", i)), Domain: fleet.DomainID(fmt.Sprintf("d%d", i%3))}
		engines = append(engines, u)
		domainOf[u.ID] = u.Domain
	}
	order := lane.Order("m", engines)
	is.Equal(len(order), 20)
	for n := 3; n <= 18; n += 3 {
		perDomain := map[fleet.DomainID]int{}
		for _, id := range order[:n] {
			perDomain[domainOf[id]]++
		}
		is.Equal(len(perDomain), 3)
		for _, lanes := range perDomain {
			is.Equal(lanes, n/3)
		}
	}
	slices.Reverse(engines)
	is.Equal(lane.Order("m", engines), order) // independent of the order of the input
}
