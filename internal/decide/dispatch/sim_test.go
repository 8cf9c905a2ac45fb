package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// simEngine works in passes as a model engine does: a pass with writers takes Stride steps and reads
// prompts between them, at most Chunk tokens a step; an event of each writer comes at its end.
type simEngine struct {
	id      fleet.UpstreamID
	reads   []*simPart
	writers []*simJob
	passEnd float64 // ms; the pass under way
	busy    bool
	done    []*simPart // parts that the pass under way finishes
}

type simPart struct {
	job  *simJob
	left float64 // ms of reading
}

type simJob struct {
	dispatch.Job
	kind    string
	on      *simEngine
	parts   int // still to be read
	events  int // still to be written
	last    float64
	first   float64
	maxGap  float64
	refused bool
	done    bool
}

// onTime tells whether the job's caller got all events, the first in its aim and none after too long a pause.
func (j *simJob) onTime() bool {
	return j.done && j.first <= float64(j.Aim)/1e6 && j.maxGap <= float64(j.MaxGap)/1e6
}

// sim drives a dispatcher and engines in virtual time, in steps of a millisecond.
type sim struct {
	model   dispatch.Model
	state   *dispatch.State
	engines []*simEngine
	byID    map[fleet.UpstreamID]*simEngine
	jobs    []*simJob
	byJob   map[fleet.RequestID]*simJob
	tell    []func() // news that reach the dispatcher a few ms later
	tellAt  []float64
}

// coteau is the model of the users' engines.
var coteau = dispatch.Model{
	Slots: 16, Memory: 450_000, Stride: 46, Step: 0.925, PerWriter: 0.00483, PerContext: 0.00254, ReadPerMs: 256,
	PairsPerM: 0.0917, Chunk: 2048,
}

func newSim(p dispatch.Params, engines int) *sim {
	s := &sim{model: coteau, byID: map[fleet.UpstreamID]*simEngine{}, byJob: map[fleet.RequestID]*simJob{}}
	s.state = dispatch.New(&s.model, p)
	var open []dispatch.Upstream
	for i := range engines {
		e := &simEngine{id: fleet.UpstreamID(fmt.Sprintf("e%02d", i))}
		s.engines = append(s.engines, e)
		s.byID[e.id] = e
		open = append(open, dispatch.Upstream{ID: e.id, Domain: "a", Slots: coteau.Slots})
	}
	s.state.SetUpstreams(open)
	return s
}

func at(ms float64) decide.Instant { return decide.Instant(ms * 1e6) }

func (s *sim) ask(now float64, j *simJob) {
	s.jobs = append(s.jobs, j)
	s.byJob[j.ID] = j
	s.state.Ask(&j.Job)
}

// news reaches the dispatcher after the trip from an entry.
func (s *sim) news(now float64, f func()) {
	const trip = 5
	s.tell, s.tellAt = append(s.tell, f), append(s.tellAt, now+trip)
}

func (s *sim) step(now float64) {
	for len(s.tell) > 0 && s.tellAt[0] <= now {
		s.tell[0]()
		s.tell, s.tellAt = s.tell[1:], s.tellAt[1:]
	}
	for _, d := range s.state.Step(at(now)) {
		s.place(d)
	}
	for _, e := range s.engines {
		s.run(now, e)
	}
}

func (s *sim) place(d dispatch.Decision) {
	j := s.byJob[d.Job.ID]
	if d.Upstream == "" {
		j.refused = true
		return
	}
	j.on = s.byID[d.Upstream]
	with := []*simEngine{j.on}
	for _, h := range d.Helpers {
		with = append(with, s.byID[h])
	}
	for _, h := range d.Holders {
		with = append(with, s.byID[h.Upstream])
	}
	n := float64(j.Prompt)
	read := n/coteau.ReadPerMs + n*n/2/1e6*coteau.PairsPerM
	j.parts = len(with)
	for _, e := range with {
		e.reads = append(e.reads, &simPart{job: j, left: read / float64(len(with))})
	}
}

// run begins a pass on an idle engine and ends one that is over.
func (s *sim) run(now float64, e *simEngine) {
	if e.busy && now >= e.passEnd {
		s.endPass(e)
	}
	if !e.busy && len(e.reads)+len(e.writers) > 0 {
		s.beginPass(now, e)
	}
}

func (s *sim) beginPass(now float64, e *simEngine) {
	steps, length := 1, 0.0
	if len(e.writers) > 0 {
		steps = coteau.Stride
	}
	context := 0
	for _, w := range e.writers {
		context += w.Prompt
	}
	length = float64(steps) * (coteau.Step + coteau.PerWriter*float64(len(e.writers)) + coteau.PerContext*float64(context)/1000)
	budget := float64(steps*coteau.Chunk) / coteau.ReadPerMs * 2 // with the pairs, about
	e.done = nil
	for len(e.reads) > 0 && budget > 0 {
		p := e.reads[0]
		take := min(p.left, budget)
		p.left -= take
		budget -= take
		length += take
		if p.left <= 1e-9 {
			e.done = append(e.done, p)
			e.reads = e.reads[1:]
		}
	}
	e.busy, e.passEnd = true, now+length
}

func (s *sim) endPass(e *simEngine) {
	e.busy = false
	now := e.passEnd
	var still []*simJob
	for _, w := range e.writers {
		s.event(now, w)
		if w.events > 0 {
			still = append(still, w)
		}
	}
	e.writers = still
	for _, p := range e.done {
		p.job.parts--
		if p.job.parts == 0 {
			j := p.job
			j.first, j.last = now, now
			j.events--
			j.on.writers = append(j.on.writers, j)
			s.news(now, func() { s.state.Began(at(now), j.ID) })
		}
	}
}

func (s *sim) event(now float64, j *simJob) {
	j.maxGap = max(j.maxGap, now-j.last)
	j.last = now
	if j.events--; j.events == 0 {
		j.done = true
		s.news(now, func() { s.state.Done(at(now), j.ID, dispatch.Whole, "") })
	}
}

// class is a kind of request: prompts of lognormal size, arriving at random.
type class struct {
	name         string
	mean, spread float64
	most         float64
	events       int
	aim, gap     float64 // ms
	patience     float64 // ms
	perS         float64
	worth        float64
}

var classes = []class{
	{"short", 4960, 0.9, 23800, 35, 300, 200, 2000, 46.1, 1.3},
	{"medium", 45000, 0.5, 110000, 21, 1500, 500, 6000, 3.34, 3.1},
	{"long", 210000, 0.55, 1e6, 17, 3000, 800, 12000, 1.38, 22},
}

// flips is the users' mix, which turns over every ten seconds: long prompts times 2.7 with short ones times
// 0.36, then short ones times 2.4 with hardly a long one.
func flips(now float64) []float64 {
	if int(now/10_000)%2 == 0 {
		return []float64{0.36, 1.3, 2.7}
	}
	return []float64{2.4, 0.5, 0.05}
}

// play runs the flipping mix for a time and gives, for each kind, the share of its worth that was in time.
func (s *sim) play(seed uint64, load float64, length float64) map[string]float64 {
	r := rand.New(rand.NewPCG(seed, 1))
	for now := 0.0; now < length+15_000; now++ {
		if now < length {
			x := flips(now)
			for i, c := range classes {
				if r.Float64() < c.perS*x[i]*load/1000 {
					s.ask(now, s.newJob(r, c, now))
				}
			}
		}
		s.step(now)
	}
	owed, earned := map[string]float64{}, map[string]float64{}
	for _, j := range s.jobs {
		c := classes[slices.IndexFunc(classes, func(c class) bool { return c.name == j.kind })]
		worth := min(4, 0.3+0.7*float64(j.Prompt)/c.mean)
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

func (s *sim) newJob(r *rand.Rand, c class, now float64) *simJob {
	n := min(c.most, c.mean*math.Exp(c.spread*r.NormFloat64()-c.spread*c.spread/2))
	return &simJob{kind: c.name, events: c.events, Job: dispatch.Job{
		ID: fleet.RequestID(fmt.Sprintf("%s-%d", c.name, len(s.jobs))), Entry: "entry", From: "a", Prompt: int(n), Output: c.events * 46,
		Arrived: at(now), Aim: at(now + c.aim), Patience: at(now + c.patience), Deadline: at(now + 15_000),
		MaxGap: time.Duration(c.gap * 1e6),
	}}
}

// mean plays several seeds and gives the mean share of each kind.
func mean(p dispatch.Params, load float64) map[string]float64 {
	const seeds = 4
	sum := map[string]float64{}
	for seed := range uint64(seeds) {
		for k, v := range newSim(p, 21).play(seed+1, load, 40_000) {
			sum[k] += v / seeds
		}
	}
	return sum
}

// Short questions are answered late while long dossiers share the fleet, and the mix flips every ten
// seconds. With reads spread thin and writers packed, nearly all short and medium prompts are in time on 21
// engines at the usual load, and most of the long ones' worth.
func TestTheFlippingMixIsServed(t *testing.T) {
	is := is.New(t)
	got := mean(dispatch.DefaultParams(), 0.85)
	t.Logf("in time: short %.3f, medium %.3f, long %.3f", got["short"], got["medium"], got["long"])
	is.True(got["short"] > 0.97)
	is.True(got["medium"] > 0.95)
	is.True(got["long"] > 0.70)
}

// With reads on one engine each, long prompts take seconds longer and their engines keep short ones out.
func TestSpreadingReadsServesMore(t *testing.T) {
	is := is.New(t)
	alone := dispatch.DefaultParams()
	alone.MaxHelpers = 0
	one, many := mean(alone, 0.85), mean(dispatch.DefaultParams(), 0.85)
	t.Logf("long in time: read by one engine %.3f, by many %.3f", one["long"], many["long"])
	is.True(many["long"] > one["long"]+0.15)
}

// At a fifth over the usual load somebody goes without. It must not be everybody: prompts that can't be in
// time are passed over, and those that can still are.
func TestOverloadKeepsMostInTime(t *testing.T) {
	is := is.New(t)
	got := mean(dispatch.DefaultParams(), 1.2)
	t.Logf("in time: short %.3f, medium %.3f, long %.3f", got["short"], got["medium"], got["long"])
	is.True(got["short"] > 0.75)
	is.True(got["medium"] > 0.85)
	is.True(got["long"] > 0.40)
}
