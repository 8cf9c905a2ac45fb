package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// runLoad queues jobs at a rate for some seconds, each of which ends in the step that places it, and returns the
// number of placements by upstream.
func runLoad(s *dispatch.State, startSecond, seconds, perSecond int, prompt int) map[fleet.UpstreamID]int {
	got := map[fleet.UpstreamID]int{}
	for ms := startSecond * 1000; ms < (startSecond+seconds)*1000; ms += 10 {
		if ms%(1000/perSecond) == 0 {
			j := newJob(fmt.Sprint("j", ms), prompt)
			j.Arrived, j.FirstEventTarget, j.FirstEventDeadline, j.Deadline = at(float64(ms)), at(float64(ms+300)), at(float64(ms+2500)), at(float64(ms+2500))
			s.Ask(j)
		}
		for _, d := range s.Step(at(float64(ms))) {
			got[d.Upstream]++
			s.Began(at(float64(ms)), d.Job.ID)
			s.Done(at(float64(ms)), d.Job.ID, dispatch.Completed, "")
		}
	}
	return got
}

// Guards against an upstream under a rate limit that receives more requests because it is idle.
func TestRateLimitedUpstreamStaysWithinLimit(t *testing.T) {
	for _, s := range []*dispatch.State{newPlainState(3), newEngineState(3)} {
		is := is.New(t)
		s.SetLimits(at(0), map[fleet.UpstreamID]float64{"a00": 2})
		got := runLoad(s, 0, 10, 50, 2000)
		t.Log(got)
		is.True(got["a00"] <= 21)
		is.Equal(got["a00"]+got["a01"]+got["a02"], 500)
	}
}

// Guards against a queue that grows while all upstreams are under rate limits. A job whose turn would come too late is
// refused at once, with the delay after which to retry.
func TestJobsBeyondFleetRateLimitAreRefusedImmediately(t *testing.T) {
	is := is.New(t)
	s := newPlainState(2)
	s.SetLimits(at(0), map[fleet.UpstreamID]float64{"a00": 1, "a01": 1})
	for i := range 20 {
		j := newJob(fmt.Sprintf("j%02d", i), 0)
		j.Arrived, j.FirstEventTarget, j.FirstEventDeadline = at(float64(i)), 0, at(3100)
		j.Priority = i % 2
		s.Ask(j)
	}
	var refused []dispatch.Decision
	for _, d := range s.Step(at(20)) {
		is.Equal(d.Reason, dispatch.RateLimited)
		refused = append(refused, d)
	}
	is.Equal(len(refused), 14) // two a second for three seconds can be served
	urgent := 0
	for _, d := range refused {
		is.True(d.RetryAfter >= 3*time.Second && d.RetryAfter <= 4*time.Second)
		if d.Job.Priority == 0 {
			urgent++
		}
	}
	is.Equal(urgent, 4) // ten are urgent, and six of them can be served
	served := 0
	for ms := 30; ms < 3100; ms += 10 {
		for _, d := range s.Step(at(float64(ms))) {
			if d.Upstream != "" {
				is.Equal(d.Job.Priority, 0)
				served++
			}
		}
	}
	is.Equal(served, 6)
}

// Guards against an upstream that was overloaded and, when it no longer advertises a limit, receives as many requests
// at once as it has slots.
func TestRateRampsUpAfterLimitEnds(t *testing.T) {
	is := is.New(t)
	s := newPlainState(2)
	s.SetLimits(at(0), map[fleet.UpstreamID]float64{"a00": 1})
	runLoad(s, 0, 5, 100, 0)
	s.SetLimits(at(5000), nil)
	for i := range 4 {
		j := newJob(fmt.Sprint("waits", i), 0)
		j.Avoid = []fleet.UpstreamID{"a01"}
		j.Arrived, j.FirstEventDeadline = at(5000), at(6000)
		s.Ask(j)
	}
	for _, d := range s.Step(at(5000)) {
		is.True(d.Reason != dispatch.RateLimited)
	}
	for i := range 4 {
		s.Cancel(fleet.RequestID(fmt.Sprint("waits", i)))
	}
	second := runLoad(s, 5, 1, 100, 0)["a00"]
	is.True(second <= 3) // a rate of one a second, doubled in that second
	runLoad(s, 6, 8, 100, 0)
	is.True(runLoad(s, 14, 1, 100, 0)["a00"] > 40)
	n, _ := s.RateLimitTotals()
	is.Equal(n, 0)
}

// Guards against an overloaded engine that prefills or reserves memory for prompts on other engines.
func TestRateLimitedEngineDoesNotHelp(t *testing.T) {
	is := is.New(t)
	s := newEngineState(4)
	s.SetLimits(at(0), map[fleet.UpstreamID]float64{"a00": 5})
	d := decideOne(t, s, 1, newJob("long", 200_000))
	is.True(d.Upstream != "")
	for _, h := range d.Helpers {
		is.True(h != "a00")
	}
	s = newEngineState(6)
	s.SetLimits(at(0), map[fleet.UpstreamID]float64{"a00": 5, "a01": 5})
	big := newJob("oversized", 700_000)
	big.FirstEventTarget, big.FirstEventDeadline = at(30_000), at(60_000)
	d = decideOne(t, s, 1, big)
	is.True(len(d.Reservations) > 0)
	for _, h := range d.Reservations {
		is.True(h.Upstream != "a00" && h.Upstream != "a01")
	}
}

// Guards against a new dispatcher that starts with a burst, just after the previous one used up the same rate.
func TestRateLimitStartsWithEmptyBucket(t *testing.T) {
	is := is.New(t)
	s := newPlainState(1)
	s.SetLimits(at(50_000), map[fleet.UpstreamID]float64{"a00": 40})
	for i := range 10 {
		j := newJob(fmt.Sprint("j", i), 0)
		j.Arrived, j.FirstEventDeadline = at(50_000), at(60_000)
		s.Ask(j)
	}
	is.Equal(len(s.Step(at(50_000))), 0)
	is.Equal(len(s.Step(at(50_100))), 4)
}
