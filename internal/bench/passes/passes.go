// Package passes is a model of engines that work in passes, under a mix of prompts that turns over every ten
// seconds, in virtual time: policies that choose engines are tried in it in seconds, and compared with each entry
// alone and with a bound that no policy reaches.
package passes

import (
	"fmt"
	"math/rand/v2"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Policy chooses engines; *dispatch.State is one.
type Policy interface {
	Ask(j *dispatch.Job)
	Step(now decide.Instant) []dispatch.Decision
	Began(now decide.Instant, id fleet.RequestID)
	Done(now decide.Instant, id fleet.RequestID, how dispatch.End, atFault fleet.UpstreamID)
}

// trip is how long news take from an entry to the policy, in ms.
const trip = 5

// Sim drives a policy and engines in steps of a millisecond. It is not safe for concurrent use.
type Sim struct {
	policy  Policy
	engines []*engine
	byID    map[fleet.UpstreamID]*engine
	jobs    []*Job
	byJob   map[fleet.RequestID]*Job
	news    []message // on their way to the policy
}

// message is news on their way.
type message struct {
	at   float64 // ms
	tell func()
}

// Dispatcher is the daemon's policy over so many engines.
func Dispatcher(p dispatch.Params, engines int) Policy {
	model := Engine
	s := dispatch.New(&model, p)
	s.SetUpstreams(upstreams(engines))
	return s
}

func upstreams(n int) []dispatch.Upstream {
	var all []dispatch.Upstream
	for i := range n {
		all = append(all, dispatch.Upstream{ID: engineID(i), Domain: domain, Slots: Engine.Slots})
	}
	return all
}

func engineID(i int) fleet.UpstreamID { return fleet.UpstreamID(fmt.Sprintf("e%02d", i)) }

// New gives a Sim of so many engines.
func New(p Policy, engines int) *Sim {
	s := &Sim{policy: p, byID: map[fleet.UpstreamID]*engine{}, byJob: map[fleet.RequestID]*Job{}}
	for i := range engines {
		e := &engine{id: engineID(i)}
		s.engines = append(s.engines, e)
		s.byID[e.id] = e
	}
	return s
}

func (s *Sim) tell(now float64, f func()) { s.news = append(s.news, message{now + trip, f}) }

func (s *Sim) step(now float64) {
	for len(s.news) > 0 && s.news[0].at <= now {
		s.news[0].tell()
		s.news = s.news[1:]
	}
	for _, d := range s.policy.Step(at(now)) {
		s.place(d)
	}
	for _, e := range s.engines {
		s.run(now, e)
	}
}

func (s *Sim) place(d dispatch.Decision) {
	j := s.byJob[d.Job.ID]
	if d.Upstream == "" {
		j.refused = true
		return
	}
	j.on = s.byID[d.Upstream]
	with := []*engine{j.on}
	for _, h := range d.Helpers {
		with = append(with, s.byID[h])
	}
	for _, h := range d.Holders {
		with = append(with, s.byID[h.Upstream])
	}
	j.parts = len(with)
	for _, e := range with {
		e.reads = append(e.reads, &part{job: j, left: reading(j.Prompt) / float64(len(with))})
	}
}

// run ends a pass that is over, and begins one on an engine with work.
func (s *Sim) run(now float64, e *engine) {
	if e.busy && now >= e.passEnd {
		s.endPass(e)
	}
	if !e.busy && len(e.reads)+len(e.writers) > 0 {
		e.begin(now)
	}
}

func (s *Sim) endPass(e *engine) {
	e.busy = false
	now := e.passEnd
	e.write(now, func(j *Job) {
		s.tell(now, func() { s.policy.Done(at(now), j.ID, dispatch.Whole, "") })
	})
	for _, p := range e.done {
		j := p.job
		j.parts--
		if j.parts > 0 {
			continue
		}
		j.first, j.last = now, now
		j.events--
		j.on.writers = append(j.on.writers, j)
		s.tell(now, func() { s.policy.Began(at(now), j.ID) })
	}
}

// Play runs the flipping mix at a load, 1 being the stated rates, for length ms, and gives for each kind the share
// of its worth that was in time.
func (s *Sim) Play(seed uint64, load, length float64) map[string]float64 {
	r := rand.New(rand.NewPCG(seed, 1))
	for now := 0.0; now < length+deadline; now++ {
		if now < length {
			s.arrive(r, load, now)
		}
		s.step(now)
	}
	return Shares(s.jobs)
}

func (s *Sim) arrive(r *rand.Rand, load, now float64) {
	x := flips(now)
	for i := range classes {
		c := &classes[i]
		if r.Float64() >= c.perS*x[i]*load/thousand {
			continue
		}
		j := c.job(r, len(s.jobs), now)
		s.jobs = append(s.jobs, j)
		s.byJob[j.ID] = j
		s.policy.Ask(&j.Job)
	}
}

// Shares gives for each kind the share of its worth that was in time.
func Shares(jobs []*Job) map[string]float64 {
	owed, earned := map[string]float64{}, map[string]float64{}
	for _, j := range jobs {
		worth := j.worth(meanOf(j.kind))
		owed[j.kind] += worth
		if j.onTime() {
			earned[j.kind] += worth
		}
	}
	for k := range owed {
		earned[k] /= owed[k]
	}
	return earned
}

func meanOf(kind string) float64 {
	for _, c := range classes {
		if c.name == kind {
			return c.mean
		}
	}
	return 1
}

// Mean plays seeds from 1 on and gives the mean share of each kind.
func Mean(policy func() Policy, engines int, load float64, seeds int, length float64) map[string]float64 {
	sum := map[string]float64{}
	for seed := range uint64(seeds) {
		for k, v := range New(policy(), engines).Play(seed+1, load, length) {
			sum[k] += v / float64(seeds)
		}
	}
	return sum
}
