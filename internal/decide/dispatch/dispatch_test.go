package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/internal/bench/passes"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// newUpstreams returns n warm upstreams of one failure domain, with 16 slots each.
func newUpstreams(n int, domain fleet.DomainID) []dispatch.Upstream {
	var all []dispatch.Upstream
	for i := range n {
		all = append(all, dispatch.Upstream{ID: fleet.UpstreamID(fmt.Sprintf("%s%02d", domain, i)), Domain: domain, Slots: 16})
	}
	return all
}

// newPlainState returns the state of a plain service with n upstreams.
func newPlainState(n int) *dispatch.State {
	s := dispatch.New(nil, dispatch.DefaultParams())
	s.SetUpstreams(newUpstreams(n, "a"))
	return s
}

// newEngineState returns the state of a service with n engines of the Coteau workload's model.
func newEngineState(n int) *dispatch.State {
	m := coteau
	s := dispatch.New(&m, dispatch.DefaultParams())
	s.SetUpstreams(newUpstreams(n, "a"))
	return s
}

// newJob returns a job that arrived at time 0, with the given prompt tokens and the tests' usual target and deadlines.
func newJob(id string, prompt int) *dispatch.Job {
	return &dispatch.Job{
		ID: fleet.RequestID(id), Instance: "entry", Domain: "a", PromptTokens: prompt, MaxOutputTokens: 800,
		FirstEventTarget: at(3000), FirstEventDeadline: at(12_000), Deadline: at(15_000), MaxGap: 800 * time.Millisecond,
	}
}

// decideOne queues a job, runs a step at now, in ms, and returns its decision, which has to be the only one.
func decideOne(t *testing.T, s *dispatch.State, now float64, j *dispatch.Job) dispatch.Decision {
	t.Helper()
	s.Ask(j)
	all := s.Step(at(now))
	if len(all) != 1 {
		t.Fatalf("%d decisions for one job", len(all))
	}
	return all[0]
}

// An upstream that failed a job receives no other jobs for a holdoff.
func TestFailedUpstreamIsAvoided(t *testing.T) {
	is := is.New(t)
	s := newPlainState(2)
	first := decideOne(t, s, 0, newJob("j1", 0))
	s.Done(at(1), "j1", dispatch.Failed, "")
	for i := range 4 {
		d := decideOne(t, s, 2, newJob(fmt.Sprint("k", i), 0))
		is.True(d.Upstream != first.Upstream)
	}
	d := decideOne(t, s, 1000, newJob("later", 0)) // the other upstream has four jobs
	is.Equal(d.Upstream, first.Upstream)
}

// A failure of a helper counts against the helper, not against the engine that answers.
func TestFailureIsAttributedToHelperAtFault(t *testing.T) {
	is := is.New(t)
	s := newEngineState(4)
	d := decideOne(t, s, 0, newJob("long", 200_000))
	is.True(len(d.Helpers) > 0)
	bad := d.Helpers[0]
	s.Done(at(10), "long", dispatch.Failed, bad)
	d = decideOne(t, s, 11, newJob("next", 200_000))
	is.True(d.Upstream != bad)
	for _, h := range d.Helpers {
		is.True(h != bad)
	}
}

// failConnections records that an instance in domain a failed to connect to each of the upstreams.
func failConnections(s *dispatch.State, all ...fleet.UpstreamID) {
	for _, id := range all {
		j := newJob("probe of "+string(id), 0)
		s.Adopt(0, j, id, nil, nil, false)
		s.Done(at(1), j.ID, dispatch.Unreachable, "")
	}
}

// Guards against requests that each lose a third of a second because their instance cannot connect to any upstream of
// a failure domain over a partitioned link. After two failures the link is not used, while instances in other domains
// still use the upstreams.
func TestPartitionedLinkIsNotUsed(t *testing.T) {
	is := is.New(t)
	s := dispatch.New(nil, dispatch.DefaultParams())
	s.SetUpstreams(append(newUpstreams(3, "a"), newUpstreams(3, "b")...))
	failConnections(s, "b00", "b01")
	for i := range 6 {
		is.Equal(decideOne(t, s, 2, newJob(fmt.Sprint("j", i), 0)).Upstream[0], byte('a'))
	}
	other := newJob("other", 0)
	other.Domain = "c"
	is.Equal(decideOne(t, s, 3, other).Upstream[0], byte('b')) // these have the least load
	again := newJob("again", 0)
	again.Arrived, again.FirstEventTarget = at(5000), at(8000)
	is.Equal(decideOne(t, s, 5000, again).Upstream[0], byte('b')) // tried again after the holdoff
}

// Guards against a second without placements although most engines are idle. Engines of all domains exit together, the
// instances try some of each domain before the list of upstreams is updated, and every link counts as partitioned. An
// answer over a link shows that it works.
func TestSimultaneousUpstreamExitsAreNotAPartition(t *testing.T) {
	is := is.New(t)
	s := dispatch.New(nil, dispatch.DefaultParams())
	s.SetUpstreams(append(newUpstreams(4, "b"), newUpstreams(4, "c")...))
	for i := range 8 { // those of either instance go to one domain
		j := newJob(fmt.Sprint("j", i), 0)
		j.Instance = fleet.InstanceID(fmt.Sprint("entry-", i/4))
		is.True(decideOne(t, s, 1, j).Upstream != "")
	}
	for i := range 4 { // those on b00, b01, c00 and c01
		s.Done(at(2), fleet.RequestID(fmt.Sprint("j", i/2*4+i%2)), dispatch.Unreachable, "")
	}
	blocked := newJob("cut", 0)
	s.Ask(blocked)
	is.Equal(len(s.Step(at(3))), 0) // both links count as partitioned
	s.Began(at(4), "j2")            // on b02
	d := s.Step(at(5))
	is.Equal(len(d), 1)
	is.Equal(d[0].Upstream, fleet.UpstreamID("b02"))
	s.Began(at(4), "j6") // on c02
	is.Equal(decideOne(t, s, 6, newJob("more", 0)).Upstream[0], byte('b'))
}

// Guards against jobs that wait for seconds beside idle upstreams until the holdoff of links or upstreams that count
// as unreachable ends. If nothing else can be placed, one job probes after a few passes, and the others wait for its
// result.
func TestUnreachableUpstreamIsProbedDuringStall(t *testing.T) {
	is := is.New(t)
	for _, linkPartitioned := range []bool{true, false} { // the link counts as partitioned, or only its upstreams as unreachable
		s := dispatch.New(nil, dispatch.DefaultParams())
		s.SetUpstreams(newUpstreams(2, "b"))
		if linkPartitioned {
			s.SetUpstreams(newUpstreams(4, "b"))
		}
		is.Equal(len(s.Step(at(0))), 0)
		failConnections(s, "b00", "b01")
		for i := range 3 {
			s.Ask(newJob(fmt.Sprint("j", i), 0))
		}
		is.Equal(len(s.Step(at(100))), 0)
		_, stalled := s.Stalled(at(100))
		is.True(!stalled)
		st, stalled := s.Stalled(at(310))
		is.True(stalled)
		is.Equal(st.Waiting, 3)
		is.True(st.Unreachable == 2 && st.Idle == st.Partitioned)
		is.Equal(len(s.Step(at(310))), 1)
		is.Equal(len(s.Step(at(500))), 0)
		is.Equal(len(s.Step(at(620))), 1)
	}
}

// Engines that cannot reach each other do not share a prompt.
func TestPrefillPartsStayOnOneSideOfPartition(t *testing.T) {
	is := is.New(t)
	m := coteau
	s := dispatch.New(&m, dispatch.DefaultParams())
	s.SetUpstreams(append(newUpstreams(3, "a"), newUpstreams(3, "b")...))
	failConnections(s, "b00", "b01")
	d := decideOne(t, s, 2, newJob("long", 300_000))
	for _, h := range d.Helpers {
		is.Equal(h[0], d.Upstream[0])
	}
}

// Guards against a cold upstream that fails because it receives more requests per second than it can process.
func TestColdUpstreamRateLimit(t *testing.T) {
	is := is.New(t)
	p := dispatch.DefaultParams()
	p.ColdRequestsPerSecond = 10
	s := dispatch.New(nil, p)
	s.SetUpstreams([]dispatch.Upstream{{ID: "cold", Domain: "a", Slots: 100, ColdUntil: at(60_000)}})
	placed := 0
	for i := range 50 {
		s.Ask(newJob(fmt.Sprint("j", i), 0))
	}
	for now := 0.0; now < 1000; now += 10 {
		placed += len(s.Step(at(now)))
	}
	is.Equal(placed, 10)
	is.Equal(len(s.Step(at(1001))), 10) // of the next second
}

// A job that no upstream can serve is refused at once, with the reason and a delay after which to retry.
func TestUnservableJobIsRefusedImmediately(t *testing.T) {
	is := is.New(t)
	s := newEngineState(2)
	none := newEngineState(0)
	d := decideOne(t, none, 0, newJob("j", 10))
	is.Equal(d.Reason, dispatch.NoUpstream)
	is.True(d.RetryAfter > 0)
	impatient := newJob("impatient", 400_000)
	impatient.FirstEventDeadline = at(500)
	d = decideOne(t, s, 0, impatient)
	is.Equal(d.Reason, dispatch.TooLate)
	huge := newJob("huge", 5_000_000)
	huge.FirstEventDeadline = at(1e9)
	is.Equal(decideOne(t, s, 0, huge).Reason, dispatch.TooLarge)
}

// A job that exceeds one engine's memory reserves the missing tokens on other engines.
func TestOversizedPromptReservesMemoryOnOtherEngines(t *testing.T) {
	is := is.New(t)
	s := newEngineState(17)
	big := newJob("big", 900_000)
	big.FirstEventTarget = at(6000)
	d := decideOne(t, s, 0, big)
	is.True(d.Upstream != "")
	reserved := 0
	for _, h := range d.Reservations {
		is.True(h.Upstream != d.Upstream)
		reserved += h.Tokens
	}
	is.True(900_000+800-reserved <= coteau.KVCacheTokens)
	is.True(reserved > 0)
}

// Guards against a refusal of the largest prompts even while all engines are idle, because the whole fleet needs
// longer to prefill them than their target allows. They wait for slack like others. Only those that could have met
// their target on arrival are refused for lack of slack.
func TestPromptThatCannotMeetTargetIsServed(t *testing.T) {
	is := is.New(t)
	m := passes.CoteauShifted.Model
	s := dispatch.New(&m, dispatch.DefaultParams())
	s.SetUpstreams(newUpstreams(45, "a"))
	j := newJob("largest", 950_000)
	d := decideOne(t, s, 1, j)
	is.True(d.Upstream != "")
	is.Equal(len(d.Helpers)+len(d.Reservations), 16)
	late := newJob("late", 500_000)
	late.Arrived, late.FirstEventTarget = at(-2500), at(1000)
	is.Equal(decideOne(t, s, 2, late).Reason, dispatch.NoSlack)
}

// Guards against one of the largest prompts that occupies nine engines for ten seconds, while all other jobs wait, and
// whose caller leaves before its prefill is done. It starts only with as many engines as slack requires, and if its
// first event can come before its caller gives up.
func TestPromptThatCannotMeetTargetWaitsForEnoughEngines(t *testing.T) {
	is := is.New(t)
	m := passes.CoteauShifted.Model
	for _, c := range []struct {
		engines, free int // free: engines without streams; those with streams cannot take a long part
		patience      float64
		placed        bool
	}{{45, 45, 12_000, true}, {45, 24, 12_000, true}, {45, 10, 12_000, false}, {45, 45, 3000, false}, {14, 9, 16_000, true}, {14, 5, 30_000, false}} {
		s := dispatch.New(&m, dispatch.DefaultParams())
		s.SetUpstreams(newUpstreams(c.engines, "a"))
		for i := c.free; i < c.engines; i++ {
			stream := newJob(fmt.Sprint("stream", i), 1000)
			stream.MaxGap = 250 * time.Millisecond
			s.Adopt(at(0), stream, fleet.UpstreamID(fmt.Sprintf("a%02d", i)), nil, nil, true)
		}
		j := newJob("largest", 950_000)
		j.FirstEventDeadline = at(c.patience)
		s.Ask(j)
		placed := 0
		for _, d := range s.Step(at(1)) {
			if d.Upstream != "" {
				placed++
			}
		}
		is.Equal(placed == 1, c.placed)
	}
}

// A new dispatcher counts the runs that instances report to it, and does not place jobs beside them.
func TestAdoptedRunsCountAsLoad(t *testing.T) {
	is := is.New(t)
	s := newPlainState(2)
	for i := range 3 {
		s.Adopt(0, newJob(fmt.Sprint("old", i), 0), "a00", nil, nil, true)
	}
	for i := range 3 {
		is.Equal(decideOne(t, s, 1, newJob(fmt.Sprint("j", i), 0)).Upstream, fleet.UpstreamID("a01"))
	}
	s.RemoveInstance("entry")
	is.Equal(s.Running(), 0)
}

// Guards against streams whose events are delayed beyond MaxGap by a prefill on the same engine. For any order of
// jobs, first events and ends of runs, no plan makes a pass longer than the shortest MaxGap of the engine's streams,
// and no engine has more runs than slots.
func TestPlannedPassesStayWithinMaxGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newEngineState(5)
		now, n := 0.0, 0
		running := map[fleet.RequestID]dispatch.Decision{}
		decoding := map[fleet.RequestID]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				n++
				j := newJob(fmt.Sprint("j", n), rapid.IntRange(100, 420_000).Draw(t, "prompt"))
				j.MaxGap = time.Duration(rapid.SampledFrom([]int{200, 500, 800}).Draw(t, "gap")) * time.Millisecond
				j.Arrived, j.FirstEventTarget, j.FirstEventDeadline = at(now), at(now+3000), at(now+12_000)
				s.Ask(j)
			},
			"step": func(t *rapid.T) {
				now += rapid.Float64Range(1, 50).Draw(t, "ms")
				for _, d := range s.Step(at(now)) {
					if d.Upstream != "" {
						running[d.Job.ID] = d
						checkPasses(t, d, running, decoding)
					}
				}
			},
			"began": func(t *rapid.T) {
				for id := range running {
					s.Began(at(now), id)
					decoding[id] = true
					break
				}
			},
			"done": func(t *rapid.T) {
				for id := range running {
					s.Done(at(now), id, dispatch.Completed, "")
					delete(running, id)
					delete(decoding, id)
					break
				}
			},
		})
	})
}

// checkPasses fails the test if the planned pass of an engine of the new decision is longer than the shortest MaxGap of
// the engine's streams. An engine without any other run may prefill for any time.
func checkPasses(t *rapid.T, d dispatch.Decision, running map[fleet.RequestID]dispatch.Decision, decoding map[fleet.RequestID]bool) {
	for _, id := range append([]fleet.UpstreamID{d.Upstream}, d.Helpers...) {
		runs, context, prefillMs, gap, others := 0, 0, 0.0, time.Duration(0), 0
		for jobID, l := range running {
			n := float64(l.Job.PromptTokens)
			part := (n/coteau.PrefillTokensPerMs + n*n/2/1e6*coteau.MsPerMillionPairs) / float64(len(l.Helpers)+1)
			if l.Upstream == id || slices.Contains(l.Helpers, id) {
				if !decoding[jobID] {
					prefillMs += part
				}
			}
			if l.Upstream != id {
				continue
			}
			runs++
			context += l.Job.PromptTokens + l.Job.MaxOutputTokens
			if jobID != d.Job.ID {
				others++
			}
			if gap == 0 || l.Job.MaxGap < gap {
				gap = l.Job.MaxGap
			}
		}
		if runs > coteau.Slots {
			t.Fatalf("%s has %d runs", id, runs)
		}
		pass := float64(coteau.StepsPerPass)*(coteau.StepMs+coteau.PerDecodeMs*float64(runs)+coteau.Per1000ContextMs*float64(context)/1000) + prefillMs
		if others > 0 && pass > float64(gap)/float64(time.Millisecond) {
			t.Fatalf("%s: a pass of %.0f ms beside %d streams with a MaxGap of %s", id, pass, others, gap)
		}
	}
}

// Guards against a caller that never receives the last few events of an answer. Its engine breaks off the stream. If
// the dispatcher judges the rest by the target of the first event, which has long passed, the rest waits for slack as a
// late job. A resumed stream is placed before jobs that have not started, and never held back as late.
func TestResumedStreamIsPlacedFirst(t *testing.T) {
	is := is.New(t)
	s := newEngineState(2)
	for i := range 2 {
		busy := newJob(fmt.Sprint("busy", i), 200_000)
		busy.FirstEventTarget = at(4000)
		s.Adopt(0, busy, fleet.UpstreamID(fmt.Sprintf("a%02d", i)), nil, nil, false)
		s.Began(0, busy.ID)
	}
	waiting := newJob("waiting", 150_000)
	waiting.FirstEventTarget = at(8000)
	s.Ask(waiting)
	resumed := newJob("resumed", 60_000)
	resumed.Arrived, resumed.FirstEventTarget, resumed.Resumed = at(5000), at(5001), true // its next event is about to be late
	s.Ask(resumed)
	all := s.Step(at(5010))
	is.True(len(all) > 0)
	is.Equal(all[0].Job.ID, resumed.ID)
	is.True(all[0].Upstream != "")
}

// Guards against an engine that permanently delays short answers. One of six works four times slower than it reports
// and is the fullest, so that every new short prompt is packed onto it. Its late first events show that. It receives
// no more jobs until the measured slowdown has decayed, and is then tried again.
func TestSlowEngineIsAvoidedAndRetriedLater(t *testing.T) {
	is := is.New(t)
	s := newEngineState(3)
	now := 0.0
	short := func(i int) dispatch.Decision {
		j := newJob(fmt.Sprint("j", i), 5000)
		j.Arrived, j.FirstEventTarget, j.FirstEventDeadline, j.MaxGap = at(now), at(now+300), at(now+2000), 200*time.Millisecond
		return decideOne(t, s, now, j)
	}
	slow := short(0).Upstream
	is.Equal(short(1).Upstream, slow) // packed
	now = 700                         // a first event is due after about 150 ms
	s.Began(at(now), "j0")
	for i := 2; i < 5; i++ {
		is.True(short(i).Upstream != slow)
	}
	now = 60_000
	for i := range 5 {
		s.Done(at(now), fleet.RequestID(fmt.Sprint("j", i)), dispatch.Completed, "")
	}
	is.Equal(short(20).Upstream, slow) // all engines are empty: the first one by ID
}

// The same calls yield the same decisions, whatever the iteration order of maps.
func TestDecisionsAreDeterministic(t *testing.T) {
	is := is.New(t)
	replay := func() []fleet.UpstreamID {
		s := newEngineState(7)
		var out []fleet.UpstreamID
		for i := range 40 {
			s.Ask(newJob(fmt.Sprint("j", i), 1000*(1+i*i)))
			for _, d := range s.Step(decide.Instant(i) * 1e6) {
				out = append(out, d.Upstream)
				out = append(out, d.Helpers...)
			}
		}
		return out
	}
	is.Equal(replay(), replay())
}

// Guards against streams that all pause for a second after the instance of the dispatcher restarts: the other
// instances report their runs before it knows any upstream, it drops the runs, and it fills engines that are full
// already.
func TestAdoptedRunsOnUnknownUpstreamsAreKept(t *testing.T) {
	is := is.New(t)
	m := coteau
	for name, model := range map[string]*dispatch.Model{"plain": nil, "engines": &m} {
		s := dispatch.New(nil, dispatch.DefaultParams())
		for i := range 16 {
			s.Adopt(0, newJob(fmt.Sprint("old", i), 1000), "a00", nil, nil, true)
		}
		s.SetModel(model, dispatch.DefaultParams())
		s.SetUpstreams(newUpstreams(2, "a"))
		is.Equal(s.Running(), 16) // name
		d := decideOne(t, s, 1, newJob("new "+name, 1000))
		is.Equal(d.Upstream, fleet.UpstreamID("a01"))
		for i := range 16 {
			s.Done(at(2), fleet.RequestID(fmt.Sprint("old", i)), dispatch.Completed, "")
		}
		is.Equal(s.Running(), 1)
	}
}

// Guards against new jobs that become late because retried ones are placed before them. With a third of the engines
// gone, hundreds of callers are refused and retry, and their answers are late in any case. Retried jobs get no
// priority.
func TestRetriedJobsDoNotOvertakeNewOnes(t *testing.T) {
	is := is.New(t)
	s := newEngineState(1)
	s.Adopt(0, newJob("busy", 400_000), "a00", nil, nil, false) // 8.9 s of prefill
	newVisit := func(id string, prompt int, at0 float64) *dispatch.Job {
		j := newJob(id, prompt)
		j.Arrived, j.FirstEventTarget, j.FirstEventDeadline, j.Deadline = at(at0), at(at0+1500), at(at0+6000), at(at0+10_000)
		return j
	}
	s.Ask(newVisit("a1", 60_000, 0))
	is.Equal(len(s.Step(at(100))), 0)
	refused := s.Step(at(3000))
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Reason, dispatch.TooLate)
	s.Ask(newVisit("b1", 50_000, 4000)) // first attempt
	s.Ask(newVisit("a2", 60_000, 4000)) // retry of a1
	is.Equal(len(s.Step(at(4001))), 0)
	s.Done(at(4002), "busy", dispatch.Completed, "")
	served := s.Step(at(4002))
	is.True(len(served) >= 1)
	is.Equal(served[0].Job.ID, fleet.RequestID("b1"))
}

// Guards against long prompts that are refused one after the other while most engines are free. Some engines are
// leaving, and the dispatcher does not know it because the store is down. They still answer prompts of their own, but
// refuse to prefill parts of other engines' prompts. Without a holdoff each of them is asked again a moment later, and
// every attempt of a long prompt meets another one.
func TestEngineThatRefusesToHelpIsNotAskedAgain(t *testing.T) {
	is := is.New(t)
	s := newEngineState(17)
	now, refused := 0.0, map[fleet.UpstreamID]bool{}
	long := func() dispatch.Decision {
		j := newJob(fmt.Sprint("long-at-", now), 200_000)
		j.Arrived, j.FirstEventTarget, j.FirstEventDeadline = at(now), at(now+3000), at(now+12_000)
		return decideOne(t, s, now, j)
	}
	for range 6 {
		d := long()
		bad := d.Helpers[0]
		is.True(!refused[bad])
		refused[bad] = true
		s.Done(at(now+2), d.Job.ID, dispatch.Failed, bad)
		now += 300
		// The engine goes on with prompts of its own.
		own := newJob(fmt.Sprint("own-of-", bad), 1000)
		s.Adopt(at(now), own, bad, nil, nil, false)
		s.Began(at(now+10), own.ID)
		s.Done(at(now+10), own.ID, dispatch.Completed, "")
		now += 20
	}
	for _, h := range long().Helpers {
		is.True(!refused[h])
	}
}

// Guards against an engine that counts as busy until it restarts because configurations without and with its model came
// while it prefilled a prompt: each counted the same prefill once more, and its end was subtracted once.
func TestModelThatReturnsCountsPrefillOnce(t *testing.T) {
	is := is.New(t)
	m := coteau
	s := newEngineState(1)
	is.Equal(decideOne(t, s, 0, newJob("r", 4960)).Upstream, fleet.UpstreamID("a00"))
	for range 40 {
		s.SetModel(nil, dispatch.DefaultParams())
		s.SetModel(&m, dispatch.DefaultParams())
	}
	s.Done(at(100), "r", dispatch.Completed, "")
	is.Equal(decideOne(t, s, 100, newJob("next", 4960)).Upstream, fleet.UpstreamID("a00"))
}
