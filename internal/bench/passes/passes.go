// Package passes simulates engines that work in passes, in virtual time, under a mix of prompts that changes every ten
// seconds. It compares policies that choose engines with instances that do not share their state, and with an
// approximate upper bound. A simulation takes seconds. It can include an outage of all instances, of part of the
// engines, and a surge of one workspace's requests.
package passes

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Policy chooses engines for jobs. *dispatch.State implements it.
type Policy interface {
	Ask(j *dispatch.Job)
	Step(now decide.Instant) []dispatch.Decision
	Began(now decide.Instant, id fleet.RequestID)
	Done(now decide.Instant, id fleet.RequestID, how dispatch.Outcome, atFault fleet.UpstreamID)
	SetUpstreams([]dispatch.Upstream)
}

const (
	// messageDelayMs is the delay of a message from an instance to the policy.
	messageDelayMs = 5
	// maxRetries is how often a caller retries a request.
	maxRetries = 1
	// reconnectSpanMs is the span over which callers reconnect after an outage of the instances.
	reconnectSpanMs = 500
)

// Scenario is the load, the length and the faults of a simulation.
type Scenario struct {
	Load           float64 // 1: the workload's stated rates
	LengthMs       float64 // time in which requests arrive
	InstanceOutage Fault   // all instances are stopped, and engines drop all their work; EngineShare is ignored
	EngineOutage   Fault   // part of the engines is stopped
	Surge          Surge   // one workspace sends more than usual
}

// Surge is a time in which one of ten workspaces sends Factor times its usual rate. The zero value is no surge.
// EngineShare is ignored.
type Surge struct {
	Fault
	Factor float64
}

// Fault is a fault that lasts for a time. The zero value is no fault.
type Fault struct {
	StartMs, DurationMs float64
	EngineShare         float64 // share of the engines that stop
}

// activeAt reports whether the fault is in progress at now, in ms.
func (f Fault) activeAt(now float64) bool {
	return f.DurationMs > 0 && now >= f.StartMs && now < f.StartMs+f.DurationMs
}

// Sim simulates a policy and engines in steps of one millisecond. It is not safe for concurrent use.
type Sim struct {
	workload      *Workload
	newPolicy     func() Policy
	policy        Policy
	scenario      Scenario
	engines       []*engine
	byID          map[fleet.UpstreamID]*engine
	jobs          []*Job
	byJob         map[fleet.RequestID]*Job
	messages      []message // in transit to the policy, in the order sent
	retries       []retry   // of callers whose attempt failed, and first attempts during an outage of the instances
	arrivalRand   *rand.Rand
	workspaceRand *rand.Rand // draws workspaces, and the requests of a surge
}

// message is a message in transit from an instance to the policy.
type message struct {
	dueMs   float64
	deliver func()
}

// retry is a caller's next attempt.
type retry struct {
	dueMs float64
	job   *Job
}

// Dispatcher returns a constructor of the daemon's policy.
func Dispatcher(w *Workload, p dispatch.Params) func() Policy {
	return func() Policy {
		model := w.Model
		return dispatch.New(&model, p)
	}
}

func engineID(i int) fleet.UpstreamID { return fleet.UpstreamID(fmt.Sprintf("e%02d", i)) }

// New returns a Sim of a workload's engines. It calls newPolicy for its policy, and again when all instances stop.
func New(w *Workload, newPolicy func() Policy, scenario Scenario) *Sim {
	s := &Sim{workload: w, newPolicy: newPolicy, policy: newPolicy(), scenario: scenario, byID: map[fleet.UpstreamID]*engine{}, byJob: map[fleet.RequestID]*Job{}}
	for i := range w.Engines {
		e := &engine{id: engineID(i), model: &w.Model}
		s.engines = append(s.engines, e)
		s.byID[e.id] = e
	}
	s.policy.SetUpstreams(s.upstreams())
	return s
}

// upstreams returns the engines that are not lost, as the policy receives them.
func (s *Sim) upstreams() []dispatch.Upstream {
	var all []dispatch.Upstream
	for _, e := range s.engines {
		if !e.lost {
			all = append(all, dispatch.Upstream{ID: e.id, Domain: domain, Slots: s.workload.Model.Slots})
		}
	}
	return all
}

// send delivers a message to the policy after messageDelayMs by calling f.
func (s *Sim) send(now float64, f func()) {
	s.messages = append(s.messages, message{now + messageDelayMs, f})
}

// submit submits a job's next attempt to the policy. Each attempt has an id of its own, so that the policy ignores
// messages about earlier attempts.
func (s *Sim) submit(now float64, j *Job) {
	j.startAttempt(now)
	if j.failedAttempts > 0 {
		j.ID = fleet.RequestID(fmt.Sprintf("%s-%d", j.name, j.failedAttempts))
	}
	s.byJob[j.ID] = j
	request := j.Job
	s.policy.Ask(&request)
}

// step advances the simulation by one millisecond. While all instances are stopped, only the engines run.
func (s *Sim) step(now float64) {
	s.applyFaults(now)
	if s.scenario.InstanceOutage.activeAt(now) {
		s.runEngines(now)
		return
	}
	for len(s.messages) > 0 && s.messages[0].dueMs <= now {
		s.messages[0].deliver()
		s.messages = s.messages[1:]
	}
	s.retries = slices.DeleteFunc(s.retries, func(r retry) bool {
		if r.dueMs <= now {
			s.submit(now, r.job)
		}
		return r.dueMs <= now
	})
	for _, d := range s.policy.Step(instant(now)) {
		s.assign(now, d)
	}
	s.runEngines(now)
}

// applyFaults starts and ends the scenario's outages.
func (s *Sim) applyFaults(now float64) {
	switch outage := s.scenario.EngineOutage; {
	case outage.DurationMs > 0 && now == outage.StartMs:
		for _, e := range s.engines[:int(outage.EngineShare*float64(len(s.engines)))] {
			s.loseEngine(now, e)
		}
		s.policy.SetUpstreams(s.upstreams())
	case outage.DurationMs > 0 && now == outage.StartMs+outage.DurationMs:
		for _, e := range s.engines {
			e.lost = false
		}
		s.policy.SetUpstreams(s.upstreams())
	}
	if outage := s.scenario.InstanceOutage; outage.DurationMs > 0 && now == outage.StartMs {
		s.stopInstances(now)
	}
}

// stopInstances stops all instances: it cancels all running jobs, discards the dispatcher's records by replacing the
// policy, and schedules the callers' retries for the end of the outage.
func (s *Sim) stopInstances(now float64) {
	endMs := now + s.scenario.InstanceOutage.DurationMs
	s.messages = nil
	for _, j := range s.jobs {
		if !j.done && !j.refused {
			s.unassign(j)
			s.retryOrRefuse(j, endMs+s.arrivalRand.Float64()*reconnectSpanMs)
		}
	}
	for _, e := range s.engines {
		e.prefills, e.decoding, e.finishing = nil, nil, nil
	}
	s.policy = s.newPolicy()
	s.policy.SetUpstreams(s.upstreams())
}

// unassign removes a job from its engines, and marks it as resumed if it was decoding.
func (s *Sim) unassign(j *Job) {
	for _, e := range j.engines {
		e.decoding = slices.DeleteFunc(e.decoding, func(w *Job) bool { return w == j })
		e.prefills = slices.DeleteFunc(e.prefills, func(p *prefillPart) bool { return p.job == j })
	}
	j.Resumed = j.Resumed || j.decoding
	j.decoding, j.answering, j.engines = false, nil, nil
}

// retryOrRefuse counts a failed attempt and schedules the next one. The job is refused instead if its retries are used
// up or its deadline has passed by whenMs.
func (s *Sim) retryOrRefuse(j *Job, whenMs float64) {
	if j.failedAttempts++; j.failedAttempts > maxRetries || whenMs > j.arrivedMs+j.class.deadlineMs {
		j.refused = true
		return
	}
	s.retries = append(s.retries, retry{whenMs, j})
}

// loseEngine stops an engine. Its jobs are submitted again at once and avoid it.
func (s *Sim) loseEngine(now float64, e *engine) {
	e.lost, e.busy = true, false
	for _, j := range s.jobs {
		if j.done || j.refused || !slices.Contains(j.engines, e) {
			continue
		}
		s.policy.Done(instant(now), j.ID, dispatch.Failed, e.id)
		s.unassign(j)
		j.Avoid = append(j.Avoid, e.id)
		request := j.Job
		s.policy.Ask(&request)
	}
	e.prefills, e.decoding, e.finishing = nil, nil, nil
}

// assign carries out a decision of the policy: it splits the job's prefill equally over the decision's engines, or
// schedules a retry if the decision names no upstream.
func (s *Sim) assign(now float64, d dispatch.Decision) {
	j := s.byJob[d.Job.ID]
	if d.Upstream == "" {
		s.retryOrRefuse(j, now+float64(d.RetryAfter.Milliseconds()))
		return
	}
	j.answering = s.byID[d.Upstream]
	j.engines = []*engine{j.answering}
	for _, h := range d.Helpers {
		j.engines = append(j.engines, s.byID[h])
	}
	for _, h := range d.Reservations {
		j.engines = append(j.engines, s.byID[h.Upstream])
	}
	j.partsLeft = len(j.engines)
	for _, e := range j.engines {
		e.prefills = append(e.prefills, &prefillPart{job: j, attempt: j.failedAttempts, leftMs: prefillMs(&s.workload.Model, j.PromptTokens) / float64(len(j.engines))})
	}
}

// runEngines ends the passes that are over and starts new ones.
func (s *Sim) runEngines(now float64) {
	for _, e := range s.engines {
		if e.busy && now >= e.passEndMs {
			s.endPass(e)
		}
		if !e.lost && !e.busy && len(e.prefills)+len(e.decoding) > 0 {
			e.startPass(now)
		}
	}
}

// endPass ends an engine's pass: decoding requests emit their events, and a job whose last prefill part is finished
// emits its first event and starts decoding.
func (s *Sim) endPass(e *engine) {
	e.busy = false
	now := e.passEndMs
	e.emitEvents(now, func(j *Job) {
		id := j.ID
		s.send(now, func() { s.policy.Done(instant(now), id, dispatch.Completed, "") })
	})
	for _, p := range e.finishing {
		j := p.job
		if p.attempt != j.failedAttempts || !slices.Contains(j.engines, e) {
			continue
		}
		if j.partsLeft--; j.partsLeft > 0 {
			continue
		}
		if j.firstMs == 0 {
			j.firstMs, j.lastMs = now, now
		}
		j.recordEvent(now)
		id := j.ID
		s.send(now, func() { s.policy.Began(instant(now), id) })
		if j.done {
			s.send(now, func() { s.policy.Done(instant(now), id, dispatch.Completed, "") })
			continue
		}
		j.decoding = true
		j.answering.decoding = append(j.answering.decoding, j)
	}
}

// Run simulates the scenario with a seed and returns its result. A Sim can run once.
func (s *Sim) Run(seed uint64) Result {
	s.arrivalRand, s.workspaceRand = rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	for now := 0.0; now < s.scenario.LengthMs+drainMs; now++ {
		if now < s.scenario.LengthMs {
			s.drawArrivals(now)
		}
		s.step(now)
	}
	return newResult(s.workload, s.jobs, s.scenario.Surge)
}

// drainMs is how long a simulation continues after its last arrival: the longest deadline of any class.
const drainMs = 15_000

const (
	// workspaceCount is the number of workspaces; surgingWorkspace is the number of the one that a surge concerns.
	workspaceCount   = 10
	surgingWorkspace = 0
)

func workspaceID(i int) fleet.WorkspaceID { return fleet.WorkspaceID(fmt.Sprint("workspace-", i)) }

// drawArrivals draws the requests that arrive in the millisecond from now, at most one per class, and one more per
// class during a surge.
func (s *Sim) drawArrivals(now float64) {
	factors := mixFactors(now)
	for i := range s.workload.classes {
		c := &s.workload.classes[i]
		rate := c.perSecond * factors[i] * s.scenario.Load / thousand
		if s.arrivalRand.Float64() < rate {
			s.addArrival(now, c, s.arrivalRand, s.workspaceRand.IntN(workspaceCount))
		}
		if s.scenario.Surge.activeAt(now) && s.workspaceRand.Float64() < rate*(s.scenario.Surge.Factor-1)/workspaceCount {
			s.addArrival(now, c, s.workspaceRand, surgingWorkspace)
		}
	}
}

// addArrival adds a request of a workspace. While all instances are stopped, its caller connects after the outage.
func (s *Sim) addArrival(now float64, c *class, r *rand.Rand, workspace int) {
	j := s.workload.newJob(r, c, len(s.jobs), now)
	j.Workspace = workspaceID(workspace)
	s.jobs = append(s.jobs, j)
	if s.scenario.InstanceOutage.activeAt(now) {
		s.retries = append(s.retries, retry{s.scenario.InstanceOutage.StartMs + s.scenario.InstanceOutage.DurationMs + s.arrivalRand.Float64()*reconnectSpanMs, j})
		return
	}
	s.submit(now, j)
}
