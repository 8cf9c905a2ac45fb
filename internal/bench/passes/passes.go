// Package passes is a model of engines that work in passes, under a mix of prompts that turns over every ten
// seconds, in virtual time: policies that choose engines are tried in it in seconds, and compared with each entry
// alone and with a bound that no policy reaches. Entries can all stop for a while, and engines can be lost.
package passes

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Policy chooses engines; *dispatch.State is one.
type Policy interface {
	Ask(j *dispatch.Job)
	Step(now decide.Instant) []dispatch.Decision
	Began(now decide.Instant, id fleet.RequestID)
	Done(now decide.Instant, id fleet.RequestID, how dispatch.Outcome, atFault fleet.UpstreamID)
	SetUpstreams([]dispatch.Upstream)
}

const (
	// trip is how long news take from an entry to the policy, in ms.
	trip = 5
	// mostTries is how often a caller comes back.
	mostTries = 1
	// comeBack is the time in ms over which callers come back to entries that were gone.
	comeBack = 500
)

// Play is what a model plays.
type Scenario struct {
	Load           float64 // 1: the stated rates
	LengthMs       float64 // ms
	InstanceOutage Fault   // all entries are gone for a while; engines lose what they asked for
	EngineOutage   Fault   // part of the engines is gone for a while
	Surge          Surge   // a workspace sends many times its usual for a while
}

// Crowd is one of ten workspaces that sends Times as much as usual during the fault; the zero value is none.
type Surge struct {
	Fault
	Factor float64
}

// Fault is a fault at a time. The zero value is none.
type Fault struct {
	StartMs, DurationMs float64 // ms
	EngineShare         float64 // of engines
}

func (f Fault) during(now float64) bool {
	return f.DurationMs > 0 && now >= f.StartMs && now < f.StartMs+f.DurationMs
}

// Sim drives a policy and engines in steps of a millisecond. It is not safe for concurrent use.
type Sim struct {
	w       *Workload
	fresh   func() Policy
	policy  Policy
	play    Scenario
	engines []*engine
	byID    map[fleet.UpstreamID]*engine
	jobs    []*Job
	byJob   map[fleet.RequestID]*Job
	news    []message // on their way to the policy
	coming  []visit   // of callers that come back
	r       *rand.Rand
	spaces  *rand.Rand // draws workspaces, and what the crowd sends
}

// message is news on their way.
type message struct {
	at   float64 // ms
	tell func()
}

// visit is a caller's next attempt.
type visit struct {
	at  float64 // ms
	job *Job
}

// Dispatcher is the daemon's policy.
func Dispatcher(w *Workload, p dispatch.Params) func() Policy {
	return func() Policy {
		model := w.Model
		return dispatch.New(&model, p)
	}
}

func engineID(i int) fleet.UpstreamID { return fleet.UpstreamID(fmt.Sprintf("e%02d", i)) }

// New gives a Sim of a workload's engines.
func New(w *Workload, fresh func() Policy, p Scenario) *Sim {
	s := &Sim{w: w, fresh: fresh, policy: fresh(), play: p, byID: map[fleet.UpstreamID]*engine{}, byJob: map[fleet.RequestID]*Job{}}
	for i := range w.Engines {
		e := &engine{id: engineID(i), model: &w.Model}
		s.engines = append(s.engines, e)
		s.byID[e.id] = e
	}
	s.policy.SetUpstreams(s.upstreams())
	return s
}

func (s *Sim) upstreams() []dispatch.Upstream {
	var all []dispatch.Upstream
	for _, e := range s.engines {
		if !e.gone {
			all = append(all, dispatch.Upstream{ID: e.id, Domain: domain, Slots: s.w.Model.Slots})
		}
	}
	return all
}

func (s *Sim) tell(now float64, f func()) { s.news = append(s.news, message{now + trip, f}) }

// ask has a job asked for under a new id, so that news of its earlier attempts concern nobody.
func (s *Sim) ask(now float64, j *Job) {
	j.arrive(now)
	if j.tries > 0 {
		j.ID = fleet.RequestID(fmt.Sprintf("%s-%d", j.name, j.tries))
	}
	s.byJob[j.ID] = j
	asked := j.Job
	s.policy.Ask(&asked)
}

func (s *Sim) step(now float64) {
	s.fail(now)
	if s.play.InstanceOutage.during(now) {
		s.run(now)
		return
	}
	for len(s.news) > 0 && s.news[0].at <= now {
		s.news[0].tell()
		s.news = s.news[1:]
	}
	s.coming = slices.DeleteFunc(s.coming, func(v visit) bool {
		if v.at <= now {
			s.ask(now, v.job)
		}
		return v.at <= now
	})
	for _, d := range s.policy.Step(at(now)) {
		s.place(now, d)
	}
	s.run(now)
}

// fail begins and ends faults.
func (s *Sim) fail(now float64) {
	switch lost := s.play.EngineOutage; {
	case lost.DurationMs > 0 && now == lost.StartMs:
		for _, e := range s.engines[:int(lost.EngineShare*float64(len(s.engines)))] {
			s.lose(now, e)
		}
		s.policy.SetUpstreams(s.upstreams())
	case lost.DurationMs > 0 && now == lost.StartMs+lost.DurationMs:
		for _, e := range s.engines {
			e.gone = false
		}
		s.policy.SetUpstreams(s.upstreams())
	}
	if stop := s.play.InstanceOutage; stop.DurationMs > 0 && now == stop.StartMs {
		s.stop(now)
	}
}

// stop ends all entries: what runs is cut, and the dispatcher's book with it.
func (s *Sim) stop(now float64) {
	back := now + s.play.InstanceOutage.DurationMs
	s.news = nil
	for _, j := range s.jobs {
		if !j.done && !j.refused {
			s.drop(j)
			s.comesBack(j, back+s.r.Float64()*comeBack)
		}
	}
	for _, e := range s.engines {
		e.reads, e.writers, e.done = nil, nil, nil
	}
	s.policy = s.fresh()
	s.policy.SetUpstreams(s.upstreams())
}

// drop takes a job off its engines.
func (s *Sim) drop(j *Job) {
	for _, e := range j.with {
		e.writers = slices.DeleteFunc(e.writers, func(w *Job) bool { return w == j })
		e.reads = slices.DeleteFunc(e.reads, func(p *part) bool { return p.job == j })
	}
	j.Resumed = j.Resumed || j.writing
	j.writing, j.on, j.with = false, nil, nil
}

// comesBack has a job's caller try again, if it does.
func (s *Sim) comesBack(j *Job, when float64) {
	if j.tries++; j.tries > mostTries || when > j.came+j.class.deadline {
		j.refused = true
		return
	}
	s.coming = append(s.coming, visit{when, j})
}

// lose ends an engine. Entries ask for other places at once.
func (s *Sim) lose(now float64, e *engine) {
	e.gone, e.busy = true, false
	for _, j := range s.jobs {
		if j.done || j.refused || !slices.Contains(j.with, e) {
			continue
		}
		s.policy.Done(at(now), j.ID, dispatch.Failed, e.id)
		s.drop(j)
		j.Avoid = append(j.Avoid, e.id)
		asked := j.Job
		s.policy.Ask(&asked)
	}
	e.reads, e.writers, e.done = nil, nil, nil
}

func (s *Sim) place(now float64, d dispatch.Decision) {
	j := s.byJob[d.Job.ID]
	if d.Upstream == "" {
		s.comesBack(j, now+float64(d.RetryAfter.Milliseconds()))
		return
	}
	j.on = s.byID[d.Upstream]
	j.with = []*engine{j.on}
	for _, h := range d.Helpers {
		j.with = append(j.with, s.byID[h])
	}
	for _, h := range d.Reservations {
		j.with = append(j.with, s.byID[h.Upstream])
	}
	j.parts = len(j.with)
	for _, e := range j.with {
		e.reads = append(e.reads, &part{job: j, try: j.tries, left: reading(&s.w.Model, j.PromptTokens) / float64(len(j.with))})
	}
}

// run has engines work.
func (s *Sim) run(now float64) {
	for _, e := range s.engines {
		if e.busy && now >= e.passEnd {
			s.endPass(e)
		}
		if !e.gone && !e.busy && len(e.reads)+len(e.writers) > 0 {
			e.begin(now)
		}
	}
}

func (s *Sim) endPass(e *engine) {
	e.busy = false
	now := e.passEnd
	e.write(now, func(j *Job) {
		id := j.ID
		s.tell(now, func() { s.policy.Done(at(now), id, dispatch.Completed, "") })
	})
	for _, p := range e.done {
		j := p.job
		if p.try != j.tries || !slices.Contains(j.with, e) {
			continue
		}
		if j.parts--; j.parts > 0 {
			continue
		}
		if j.first == 0 {
			j.first, j.last = now, now
		}
		j.event(now)
		id := j.ID
		s.tell(now, func() { s.policy.Began(at(now), id) })
		if j.done {
			s.tell(now, func() { s.policy.Done(at(now), id, dispatch.Completed, "") })
			continue
		}
		j.writing = true
		j.on.writers = append(j.on.writers, j)
	}
}

// Run plays the flipping mix with a seed.
func (s *Sim) Run(seed uint64) Result {
	s.r, s.spaces = rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	for now := 0.0; now < s.play.LengthMs+tail; now++ {
		if now < s.play.LengthMs {
			s.arrive(now)
		}
		s.step(now)
	}
	return resultOf(s.w, s.jobs, s.play.Surge)
}

// tail is how long a play goes on after its last arrival, in ms: the longest that a caller waits.
const tail = 15_000

const (
	// workspaces is how many there are; crowded is the one that may send many times its usual.
	workspaces = 10
	crowded    = 0
)

func workspace(i int) fleet.WorkspaceID { return fleet.WorkspaceID(fmt.Sprint("workspace-", i)) }

func (s *Sim) arrive(now float64) {
	x := flips(now)
	for i := range s.w.classes {
		c := &s.w.classes[i]
		rate := c.perS * x[i] * s.play.Load / thousand
		if s.r.Float64() < rate {
			s.come(now, c, s.r, s.spaces.IntN(workspaces))
		}
		if s.play.Surge.during(now) && s.spaces.Float64() < rate*(s.play.Surge.Factor-1)/workspaces {
			s.come(now, c, s.spaces, crowded)
		}
	}
}

// come has a prompt of a workspace arrive.
func (s *Sim) come(now float64, c *class, r *rand.Rand, space int) {
	j := s.w.job(r, c, len(s.jobs), now)
	j.Workspace = workspace(space)
	s.jobs = append(s.jobs, j)
	if s.play.InstanceOutage.during(now) {
		s.coming = append(s.coming, visit{s.play.InstanceOutage.StartMs + s.play.InstanceOutage.DurationMs + s.r.Float64()*comeBack, j})
		return
	}
	s.ask(now, j)
}
