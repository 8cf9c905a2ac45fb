package dispatch_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// oddFigures are figures of engines that a configuration may state.
var oddFigures = []float64{0, 1, 13, 0.001, -1, 1e-300, 1e9, 1e300, -1e300, math.MaxFloat64}

// oddCounts are counts of a configuration or a request.
var oddCounts = []int{0, 1, 8, 800, 5000, 40_000, 130_000, 1_000_000, -1, 1 << 30, math.MaxInt32, math.MinInt32, 1 << 40}

// oddDurations are times of a request, from now.
var oddDurations = []time.Duration{0, time.Millisecond, 800 * time.Millisecond, 3 * time.Second, 12 * time.Second, 15 * time.Second, time.Minute, -time.Second, 87600 * time.Hour, -87600 * time.Hour, math.MaxInt64, math.MinInt64}

// drawModel draws a model, or nil for a plain service.
func drawModel(t *rapid.T) *dispatch.Model {
	if rapid.IntRange(0, 3).Draw(t, "plain") == 0 {
		return nil
	}
	m := coteau
	for _, figure := range []*float64{&m.StepMs, &m.PerDecodeMs, &m.Per1000ContextMs, &m.PrefillTokensPerMs, &m.MsPerMillionPairs} {
		if rapid.IntRange(0, 2).Draw(t, "odd") == 0 {
			*figure = rapid.SampledFrom(oddFigures).Draw(t, "figure")
		}
	}
	for _, n := range []*int{&m.Slots, &m.KVCacheTokens, &m.StepsPerPass, &m.ChunkTokens} {
		if rapid.IntRange(0, 2).Draw(t, "odd") == 0 {
			*n = rapid.SampledFrom(oddCounts).Draw(t, "count")
		}
	}
	return &m
}

var requestIDs = []string{"r1", "r2", "r3", "r4", "r5"}

// drawID draws one of a few ids of requests.
func drawID(t *rapid.T) fleet.RequestID {
	return fleet.RequestID(rapid.SampledFrom(requestIDs).Draw(t, "id"))
}

// drawUpstream draws the id of an upstream, which may be unknown.
func drawUpstream(t *rapid.T) fleet.UpstreamID {
	return fleet.UpstreamID(rapid.SampledFrom([]string{"a00", "a01", "a02", "a03", "x", ""}).Draw(t, "upstream"))
}

// drawJob draws a job that arrives now.
func drawJob(t *rapid.T, now decide.Instant) *dispatch.Job {
	after := func(name string) decide.Instant { return now.Add(rapid.SampledFrom(oddDurations).Draw(t, name)) }
	count := func(name string) int { return rapid.SampledFrom(oddCounts).Draw(t, name) }
	j := &dispatch.Job{
		ID: drawID(t), Instance: fleet.InstanceID(rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "instance")),
		Domain:    fleet.DomainID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")),
		Workspace: fleet.WorkspaceID(rapid.SampledFrom([]string{"", "w1", "w2"}).Draw(t, "workspace")),
		Priority:  count("priority"), PromptTokens: count("prompt"), MaxOutputTokens: count("output"), Arrived: after("arrived"),
		FirstEventDeadline: after("patience"), Deadline: after("deadline"), MaxGap: rapid.SampledFrom(oddDurations).Draw(t, "gap"),
		Resumed: rapid.Bool().Draw(t, "resumed"),
	}
	if rapid.Bool().Draw(t, "aimed") {
		j.FirstEventTarget = after("target")
	}
	if rapid.Bool().Draw(t, "avoids") {
		j.Avoid = []fleet.UpstreamID{drawUpstream(t)}
	}
	return j
}

// drawUpstreams draws upstreams under the ids of newUpstreams.
func drawUpstreams(t *rapid.T) []dispatch.Upstream {
	all := newUpstreams(rapid.IntRange(0, 4).Draw(t, "upstreams"), "a")
	for i := range all {
		all[i].Slots = rapid.SampledFrom(oddCounts).Draw(t, "slots")
		all[i].ColdUntil = decide.Instant(rapid.SampledFrom(oddDurations).Draw(t, "cold"))
	}
	return all
}

// applyOdd applies one drawn event to the state.
func applyOdd(t *rapid.T, s *dispatch.State, now decide.Instant) {
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		p := dispatch.DefaultParams()
		p.ColdRequestsPerSecond = rapid.SampledFrom(oddFigures).Draw(t, "cold rate")
		s.SetModel(drawModel(t), p)
	case 1:
		s.SetUpstreams(drawUpstreams(t))
	case 2, 3, 4:
		s.Ask(drawJob(t, now))
	case 5:
		holdings := []dispatch.Reservation{{Upstream: drawUpstream(t), Tokens: rapid.SampledFrom(oddCounts).Draw(t, "holding")}}
		s.Adopt(now, drawJob(t, now), drawUpstream(t), []fleet.UpstreamID{drawUpstream(t)}, holdings[:rapid.IntRange(0, 1).Draw(t, "holdings")], rapid.Bool().Draw(t, "decoding"))
	case 6:
		s.Began(now, drawID(t))
	case 7:
		s.Done(now, drawID(t), dispatch.Outcome(rapid.IntRange(0, 5).Draw(t, "outcome")), drawUpstream(t))
	case 8:
		s.Cancel(drawID(t))
		s.RemoveInstance("e2")
		s.WentIndirect(now, drawID(t))
	case 9:
		s.SetLimits(now, map[fleet.UpstreamID]float64{drawUpstream(t): rapid.SampledFrom(oddFigures).Draw(t, "rate")})
	}
}

// Guards against engines that get no long prompts until they restart, and against sends that are given up at once as overdue,
// after a configuration whose figures add up to more than any number: what was added can't be subtracted.
func TestEngineServesAfterEndlessFigures(t *testing.T) {
	is := is.New(t)
	endless, usual := coteau, coteau
	endless.StepMs, endless.MsPerMillionPairs = math.MaxFloat64, math.MaxFloat64
	s := newEngineState(1)
	s.SetModel(&endless, dispatch.DefaultParams())
	s.Adopt(at(0), newJob("r", 40_000), "a00", nil, nil, false)
	s.SetModel(&usual, dispatch.DefaultParams())
	s.Done(at(100), "r", dispatch.Completed, "")
	d := decideOne(t, s, 100, newJob("next", 40_000))
	is.Equal(d.Upstream, fleet.UpstreamID("a00"))
	is.True(d.OverdueAfter > 0 && d.OverdueAfter < 12*time.Second)
}

// Guards against a dispatcher that ends, or that answers requests no more, after figures of a configuration or of a
// request that no engine has. Each instance in turn would dispatch the same requests under the same configuration. Once the
// figures are usual again and the requests are over, upstreams get work as before.
func TestOddFiguresLeaveDispatcherServing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := dispatch.New(drawModel(t), dispatch.DefaultParams())
		s.SetUpstreams(drawUpstreams(t))
		now := at(1000)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			applyOdd(t, s, now)
			now = now.Add(rapid.SampledFrom([]time.Duration{0, time.Millisecond, 400 * time.Millisecond, 3 * time.Second}).Draw(t, "pause"))
			s.Step(now)
			s.Stalled(now)
		}
		for _, id := range requestIDs {
			s.Cancel(fleet.RequestID(id))
		}
		m := coteau
		s.SetModel(&m, dispatch.DefaultParams())
		s.SetUpstreams(newUpstreams(4, "a"))
		s.SetLimits(now, nil)
		now = now.Add(time.Minute) // the holdoffs after failures are over
		s.Step(now)
		checkPlaces(t, s, now, 4960)
		checkPlaces(t, s, now, 40_000)
	})
}

// checkPlaces fails the test unless a request with a prompt of some tokens gets a place now.
func checkPlaces(t *rapid.T, s *dispatch.State, now decide.Instant, prompt int) {
	j := newJob("good", prompt)
	j.Arrived, j.FirstEventTarget, j.FirstEventDeadline, j.Deadline = now, now.Add(3*time.Second), now.Add(12*time.Second), now.Add(15*time.Second)
	s.Ask(j)
	all := s.Step(now)
	if len(all) != 1 || all[0].Upstream == "" {
		t.Fatalf("a request with a prompt of %d tokens gets no place: %+v", prompt, all)
	}
	if overdue := all[0].OverdueAfter; overdue <= 0 || overdue > 15*time.Second {
		t.Fatalf("its first event is overdue after %s", overdue)
	}
	s.Done(now, j.ID, dispatch.Completed, "")
}
