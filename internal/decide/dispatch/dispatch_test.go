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

func upstreams(n int, domain fleet.DomainID) []dispatch.Upstream {
	var all []dispatch.Upstream
	for i := range n {
		all = append(all, dispatch.Upstream{ID: fleet.UpstreamID(fmt.Sprintf("%s%02d", domain, i)), Domain: domain, Slots: 16})
	}
	return all
}

func plain(n int) *dispatch.State {
	s := dispatch.New(nil, dispatch.DefaultParams())
	s.SetUpstreams(upstreams(n, "a"))
	return s
}

func engines(n int) *dispatch.State {
	m := coteau
	s := dispatch.New(&m, dispatch.DefaultParams())
	s.SetUpstreams(upstreams(n, "a"))
	return s
}

func newJob(id string, prompt int) *dispatch.Job {
	return &dispatch.Job{
		ID: fleet.RequestID(id), Instance: "entry", Domain: "a", PromptTokens: prompt, MaxOutputTokens: 800,
		FirstEventTarget: at(3000), FirstEventDeadline: at(12_000), Deadline: at(15_000), MaxGap: 800 * time.Millisecond,
	}
}

// one decides a single job.
func one(t *testing.T, s *dispatch.State, now float64, j *dispatch.Job) dispatch.Decision {
	t.Helper()
	s.Ask(j)
	all := s.Step(at(now))
	if len(all) != 1 {
		t.Fatalf("%d decisions for one job", len(all))
	}
	return all[0]
}

// A job whose upstream fails it is not given to that upstream again, nor are others for a while.
func TestAFailedUpstreamIsLeftAlone(t *testing.T) {
	is := is.New(t)
	s := plain(2)
	first := one(t, s, 0, newJob("j1", 0))
	s.Done(at(1), "j1", dispatch.Failed, "")
	for i := range 4 {
		d := one(t, s, 2, newJob(fmt.Sprint("k", i), 0))
		is.True(d.Upstream != first.Upstream)
	}
	d := one(t, s, 1000, newJob("later", 0)) // the other has four jobs
	is.Equal(d.Upstream, first.Upstream)
}

// A helper that breaks down is blamed, and not the engine that asked it.
func TestTheHelperAtFaultIsBlamed(t *testing.T) {
	is := is.New(t)
	s := engines(4)
	d := one(t, s, 0, newJob("long", 200_000))
	is.True(len(d.Helpers) > 0)
	bad := d.Helpers[0]
	s.Done(at(10), "long", dispatch.Failed, bad)
	d = one(t, s, 11, newJob("next", 200_000))
	is.True(d.Upstream != bad)
	for _, h := range d.Helpers {
		is.True(h != bad)
	}
}

// unreachable has an instance of domain a fail to connect to upstreams.
func unreachable(s *dispatch.State, all ...fleet.UpstreamID) {
	for _, id := range all {
		j := newJob("probe of "+string(id), 0)
		s.Adopt(0, j, id, nil, nil, false)
		s.Done(at(1), j.ID, dispatch.Unreachable, "")
	}
}

// Requests lose a third of a second each: their instance can't connect to any upstream of a failure domain,
// because the link between the two is cut. After two of them nothing more goes that way, while instances of
// other domains still use the upstreams.
func TestACutLinkIsNotUsed(t *testing.T) {
	is := is.New(t)
	s := dispatch.New(nil, dispatch.DefaultParams())
	s.SetUpstreams(append(upstreams(3, "a"), upstreams(3, "b")...))
	unreachable(s, "b00", "b01")
	for i := range 6 {
		is.Equal(one(t, s, 2, newJob(fmt.Sprint("j", i), 0)).Upstream[0], byte('a'))
	}
	other := newJob("other", 0)
	other.Domain = "c"
	is.Equal(one(t, s, 3, other).Upstream[0], byte('b')) // they have the least work
	again := newJob("again", 0)
	again.Arrived, again.FirstEventTarget = at(5000), at(8000)
	is.Equal(one(t, s, 5000, again).Upstream[0], byte('b')) // tried again after a while
}

// Nothing is placed for a second though most engines are idle: engines of all domains end together, the instances try some
// of each domain before the list says so, and every link is taken for cut. An answer over a link shows that it isn't.
func TestUpstreamsThatEndTogetherAreNoCutLink(t *testing.T) {
	is := is.New(t)
	s := dispatch.New(nil, dispatch.DefaultParams())
	s.SetUpstreams(append(upstreams(4, "b"), upstreams(4, "c")...))
	for i := range 8 {
		is.True(one(t, s, 1, newJob(fmt.Sprint("j", i), 0)).Upstream != "")
	}
	for i := range 4 { // those on b00, b01, c00 and c01
		s.Done(at(2), fleet.RequestID(fmt.Sprint("j", i/2*4+i%2)), dispatch.Unreachable, "")
	}
	cut := newJob("cut", 0)
	s.Ask(cut)
	is.Equal(len(s.Step(at(3))), 0) // as far as is known
	s.Began(at(4), "j2")            // on b02
	d := s.Step(at(5))
	is.Equal(len(d), 1)
	is.Equal(d[0].Upstream, fleet.UpstreamID("b02"))
	s.Began(at(4), "j6") // on c02
	is.Equal(one(t, s, 6, newJob("more", 0)).Upstream[0], byte('b'))
}

// Requests wait for seconds beside idle upstreams, until what was believed of the ways to them has run out: with nowhere
// else to go one of them tries after some passes, and the others wait for what it finds.
func TestWithNowhereToGoAWayIsTriedAgain(t *testing.T) {
	is := is.New(t)
	for _, whole := range []bool{true, false} { // the link is taken for cut, or its upstreams one by one
		s := dispatch.New(nil, dispatch.DefaultParams())
		s.SetUpstreams(upstreams(2, "b"))
		if whole {
			s.SetUpstreams(upstreams(4, "b"))
		}
		is.Equal(len(s.Step(at(0))), 0)
		unreachable(s, "b00", "b01")
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

// No prompt is read by engines that can't reach each other.
func TestPartsStayOnOneSideOfACut(t *testing.T) {
	is := is.New(t)
	m := coteau
	s := dispatch.New(&m, dispatch.DefaultParams())
	s.SetUpstreams(append(upstreams(3, "a"), upstreams(3, "b")...))
	unreachable(s, "b00", "b01")
	d := one(t, s, 2, newJob("long", 300_000))
	for _, h := range d.Helpers {
		is.Equal(h[0], d.Upstream[0])
	}
}

// A cold upstream falls over: more requests reach it in a second than it can bear.
func TestAColdUpstreamsLimit(t *testing.T) {
	is := is.New(t)
	p := dispatch.DefaultParams()
	p.ColdRequestsPerSecond = 10
	s := dispatch.New(nil, p)
	s.SetUpstreams([]dispatch.Upstream{{ID: "cold", Domain: "a", Slots: 100, ColdUntil: at(60_000)}})
	given := 0
	for i := range 50 {
		s.Ask(newJob(fmt.Sprint("j", i), 0))
	}
	for now := 0.0; now < 1000; now += 10 {
		given += len(s.Step(at(now)))
	}
	is.Equal(given, 10)
	is.Equal(len(s.Step(at(1001))), 10) // the next second's
}

// A job that nobody can serve is refused at once, with a time to come back.
func TestWhatCantBeServedIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := engines(2)
	none := engines(0)
	d := one(t, none, 0, newJob("j", 10))
	is.Equal(d.Reason, dispatch.NoUpstream)
	is.True(d.RetryAfter > 0)
	impatient := newJob("impatient", 400_000)
	impatient.FirstEventDeadline = at(500)
	d = one(t, s, 0, impatient)
	is.Equal(d.Reason, dispatch.TooLate)
	huge := newJob("huge", 5_000_000)
	huge.FirstEventDeadline = at(1e9)
	is.Equal(one(t, s, 0, huge).Reason, dispatch.TooLarge)
}

// A prompt over one engine's memory gets the rest on others, as much as is missing, in all.
func TestAnOversizedPromptIsHeldTogether(t *testing.T) {
	is := is.New(t)
	s := engines(17)
	big := newJob("big", 900_000)
	big.FirstEventTarget = at(6000)
	d := one(t, s, 0, big)
	is.True(d.Upstream != "")
	held := 0
	for _, h := range d.Reservations {
		is.True(h.Upstream != d.Upstream)
		held += h.Tokens
	}
	is.True(900_000+800-held <= coteau.KVCacheTokens)
	is.True(held > 0)
}

// The largest prompts are refused whenever they come, also while all engines are idle: their aim is shorter than the whole
// fleet takes to read them. They wait for slack like others, and only those that came too late for it are refused.
func TestAPromptThatNoFleetReadsInItsAimIsServed(t *testing.T) {
	is := is.New(t)
	m := passes.CoteauShifted.Model
	s := dispatch.New(&m, dispatch.DefaultParams())
	s.SetUpstreams(upstreams(45, "a"))
	j := newJob("largest", 950_000)
	d := one(t, s, 1, j)
	is.True(d.Upstream != "")
	is.Equal(len(d.Helpers)+len(d.Reservations), 16)
	late := newJob("late", 500_000)
	late.Arrived, late.FirstEventTarget = at(-2500), at(1000)
	is.Equal(one(t, s, 2, late).Reason, dispatch.NoSlack)
}

// One of the largest prompts keeps nine engines reading for ten seconds, its caller leaves before it is read, and all others
// wait meanwhile. It begins with as many engines as slack asks for, and within its caller's time.
func TestAPromptThatNoFleetReadsInItsAimTakesNoFewEngines(t *testing.T) {
	is := is.New(t)
	m := passes.CoteauShifted.Model
	for _, c := range []struct {
		engines, free int // free: without streams, which bear no long part
		patience      float64
		placed        bool
	}{{45, 45, 12_000, true}, {45, 24, 12_000, true}, {45, 10, 12_000, false}, {45, 45, 3000, false}, {14, 9, 16_000, true}, {14, 5, 30_000, false}} {
		s := dispatch.New(&m, dispatch.DefaultParams())
		s.SetUpstreams(upstreams(c.engines, "a"))
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

// A new dispatcher knows what the instances tell it: it doesn't place beside work it was told of.
func TestAdoptedWorkCounts(t *testing.T) {
	is := is.New(t)
	s := plain(2)
	for i := range 3 {
		s.Adopt(0, newJob(fmt.Sprint("old", i), 0), "a00", nil, nil, true)
	}
	for i := range 3 {
		is.Equal(one(t, s, 1, newJob(fmt.Sprint("j", i), 0)).Upstream, fleet.UpstreamID("a01"))
	}
	s.RemoveInstance("entry")
	is.Equal(s.Running(), 0)
}

// Streams on an engine pause longer than their callers bear, because a read was put beside them. Whatever is
// asked, begun, ended and adopted in whatever order, no plan takes a pass over the shortest pause of the
// engine's streams, and no engine gets more runs than slots.
func TestNoPlanOverfillsAPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := engines(5)
		now, n := 0.0, 0
		live := map[fleet.RequestID]dispatch.Decision{}
		writing := map[fleet.RequestID]bool{}
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
						live[d.Job.ID] = d
						check(t, d, live, writing)
					}
				}
			},
			"began": func(t *rapid.T) {
				for id := range live {
					s.Began(at(now), id)
					writing[id] = true
					break
				}
			},
			"done": func(t *rapid.T) {
				for id := range live {
					s.Done(at(now), id, dispatch.Completed, "")
					delete(live, id)
					delete(writing, id)
					break
				}
			},
		})
	})
}

// check adds up the passes of a new decision's engines, as the plan has them. An engine on which nobody else
// writes or is to write may read as long as it likes.
func check(t *rapid.T, d dispatch.Decision, live map[fleet.RequestID]dispatch.Decision, writing map[fleet.RequestID]bool) {
	for _, id := range append([]fleet.UpstreamID{d.Upstream}, d.Helpers...) {
		runs, context, reading, gap, others := 0, 0, 0.0, time.Duration(0), 0
		for jobID, l := range live {
			n := float64(l.Job.PromptTokens)
			part := (n/coteau.PrefillTokensPerMs + n*n/2/1e6*coteau.MsPerMillionPairs) / float64(len(l.Helpers)+1)
			if l.Upstream == id || slices.Contains(l.Helpers, id) {
				if !writing[jobID] {
					reading += part
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
		pass := float64(coteau.StepsPerPass)*(coteau.StepMs+coteau.PerDecodeMs*float64(runs)+coteau.Per1000ContextMs*float64(context)/1000) + reading
		if others > 0 && pass > float64(gap)/float64(time.Millisecond) {
			t.Fatalf("%s: a pass of %.0f ms beside %d streams that bear %s", id, pass, others, gap)
		}
	}
}

// A caller has all but a few events of an answer, and gets no more. Its engine broke off, and the dispatcher
// held the rest to the aim of a first event, which was long over: late prompts wait for slack. A stream that
// goes on comes before what has not begun, and is never held back for being late.
func TestAStreamThatGoesOnComesFirst(t *testing.T) {
	is := is.New(t)
	s := engines(2)
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
	resumed.Arrived, resumed.FirstEventTarget, resumed.Resumed = at(5000), at(5001), true // its pause is over any moment
	s.Ask(resumed)
	all := s.Step(at(5010))
	is.True(len(all) > 0)
	is.Equal(all[0].Job.ID, resumed.ID)
	is.True(all[0].Upstream != "")
}

// Short answers pause for the rest of the day. One engine of six works four times slower than it says, and it
// is the fullest: every new short prompt is packed onto it. Its first events tell, and it gets no more until
// what was learnt has faded; then it is tried again.
func TestASlowEngineIsFoundOut(t *testing.T) {
	is := is.New(t)
	s := engines(3)
	now := 0.0
	short := func(i int) dispatch.Decision {
		j := newJob(fmt.Sprint("j", i), 5000)
		j.Arrived, j.FirstEventTarget, j.FirstEventDeadline, j.MaxGap = at(now), at(now+300), at(now+2000), 200*time.Millisecond
		return one(t, s, now, j)
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
	is.Equal(short(20).Upstream, slow) // all are empty: the first by id
}

// Decisions repeat: the same events give the same decisions, whatever the order of maps.
func TestDecisionsRepeat(t *testing.T) {
	is := is.New(t)
	play := func() []fleet.UpstreamID {
		s := engines(7)
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
	is.Equal(play(), play())
}

// All streams pause for a second after the first dispatcher's instance was restarted: the others tell it of
// their work before it knows any upstream, it drops that, and fills engines that are full.
func TestWorkOnUpstreamsNotYetKnownIsKept(t *testing.T) {
	is := is.New(t)
	m := coteau
	for name, model := range map[string]*dispatch.Model{"plain": nil, "engines": &m} {
		s := dispatch.New(nil, dispatch.DefaultParams())
		for i := range 16 {
			s.Adopt(0, newJob(fmt.Sprint("old", i), 1000), "a00", nil, nil, true)
		}
		s.SetModel(model, dispatch.DefaultParams())
		s.SetUpstreams(upstreams(2, "a"))
		is.Equal(s.Running(), 16) // name
		d := one(t, s, 1, newJob("new "+name, 1000))
		is.Equal(d.Upstream, fleet.UpstreamID("a01"))
		for i := range 16 {
			s.Done(at(2), fleet.RequestID(fmt.Sprint("old", i)), dispatch.Completed, "")
		}
		is.Equal(s.Running(), 1)
	}
}

// A third of the engines is gone, hundreds of callers were refused and come back, and those that come for the first
// time are late too, since whoever came back went before them: its answer is late whatever happens. Prompts that came
// back get their places as all others do.
func TestWhoComesBackMakesNobodyLate(t *testing.T) {
	is := is.New(t)
	s := engines(1)
	s.Adopt(0, newJob("busy", 400_000), "a00", nil, nil, false) // 8.9 s of reading
	visitor := func(id string, prompt int, at0 float64) *dispatch.Job {
		j := newJob(id, prompt)
		j.Arrived, j.FirstEventTarget, j.FirstEventDeadline, j.Deadline = at(at0), at(at0+1500), at(at0+6000), at(at0+10_000)
		return j
	}
	s.Ask(visitor("a1", 60_000, 0))
	is.Equal(len(s.Step(at(100))), 0)
	refused := s.Step(at(3000))
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Reason, dispatch.TooLate)
	s.Ask(visitor("b1", 50_000, 4000)) // never came before
	s.Ask(visitor("a2", 60_000, 4000)) // is back
	is.Equal(len(s.Step(at(4001))), 0)
	s.Done(at(4002), "busy", dispatch.Completed, "")
	served := s.Step(at(4002))
	is.True(len(served) >= 1)
	is.Equal(served[0].Job.ID, fleet.RequestID("b1"))
}

// Long prompts are refused one after the other while most engines are free. Some engines are leaving and the store is
// down, so that nobody is told: they still answer prompts of their own, and refuse to read parts of others'. Each long
// prompt met another of them at each of its attempts, as each was asked again a moment later.
func TestAnEngineThatRefusesToHelpIsLeftAloneAsAHelper(t *testing.T) {
	is := is.New(t)
	s := engines(17)
	now, refused := 0.0, map[fleet.UpstreamID]bool{}
	long := func() dispatch.Decision {
		j := newJob(fmt.Sprint("long-at-", now), 200_000)
		j.Arrived, j.FirstEventTarget, j.FirstEventDeadline = at(now), at(now+3000), at(now+12_000)
		return one(t, s, now, j)
	}
	for range 6 {
		d := long()
		bad := d.Helpers[0]
		is.True(!refused[bad])
		refused[bad] = true
		s.Done(at(now+2), d.Job.ID, dispatch.Failed, bad)
		now += 300
		// It goes on with prompts of its own.
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
