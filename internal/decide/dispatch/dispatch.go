package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/quarantine"
	"github.com/damaskshelf/damaskshelf/internal/decide/returns"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/rendezvous"
)

// State holds the queue, the runs and the engines of one service, from which the dispatcher decides. It is not safe
// for concurrent use.
type State struct {
	model          *Model
	params         Params
	engines        map[fleet.UpstreamID]*engine
	orderKey       string    // ranks equal engines; empty: by ID
	orderedEngines []*engine // sorted by rank, so that decisions are deterministic
	queue          []*Job
	early          []*Job // jobs of callers that returned sooner than told; decided after the queue
	runs           map[fleet.RequestID]*run

	shares        *shares                 // nil unless shares are configured
	fairness      [2]fairness             // load by workspace; index 0: short prompts and plain requests, 1: long prompts
	prefilling    map[*run]bool           // runs whose prefill is counted in their engines' pendingMs
	answerLatency answerLatency           // of a plain service
	lastAnswer    map[link]decide.Instant // time of the last answer, or first event of one, over the link
	lastIndirect  map[link]decide.Instant // the same of answers that came through another instance
	instances     map[fleet.InstanceID]*instancePaths
	instanceEnds  map[fleet.InstanceID]decide.Instant // of the instances that are stopping
	quarantine    *quarantine.Table
	returns       *returns.Table // promises to refused callers; used under ByForecast

	now decide.Instant // time of the current step

	jobsAhead int // jobs of the current step that stay queued ahead of the one being decided

	lastProgress decide.Instant // last time at which a job was placed, or none waited that one upstream could take
	lastProbe    decide.Instant // time at which partitioned links were last opened to a probe
	probeLinks   map[link]bool  // partitioned links that one job may try
	// probeEngine is an unreachable engine that one job may try; nil: none.
	probeEngine *engine

	// Results of the survey at the beginning of a step.
	unreachableCounts map[link]int           // upstreams that nobody reached since the link's last answer
	pathFailures      map[link]int           // these, and upstreams that only others reached
	meanPassMs        float64                // of the engines that answer something
	limitTotals       limitTotals            // sums over the upstreams that may receive jobs
	longWaiting       int                    // queued long prompts, without oversized ones
	unplacedLong      int                    // long prompts that could not be placed in this step
	unplacedShort     map[origin]requirement // by origin, the last short prompt that found no engine in this step

	doubt doubt // about the speed of engines

	prefillingEngines int // engines with prefill pending

	history  history
	forecast stepForecast
}

// requirement is what a short prompt needs of an engine.
type requirement struct {
	promptTokens int
	maxGap       time.Duration
	outputTokens int
	late         bool // it misses its target
}

// New returns a State without upstreams. model is nil for a plain service.
func New(model *Model, p Params) *State {
	s := &State{
		model: model, params: p, engines: map[fleet.UpstreamID]*engine{}, runs: map[fleet.RequestID]*run{},
		prefilling: map[*run]bool{}, quarantine: quarantine.New(), returns: returns.New(promptKinds),
		lastAnswer: map[link]decide.Instant{}, lastIndirect: map[link]decide.Instant{},
		instances: map[fleet.InstanceID]*instancePaths{}, instanceEnds: map[fleet.InstanceID]decide.Instant{}, probeLinks: map[link]bool{},
	}
	s.setShares()
	return s
}

// SetQuarantine replaces the table of the requests that are held back, which several States may share. It must be called
// before any job is placed.
func (s *State) SetQuarantine(t *quarantine.Table) { s.quarantine = t }

// SetOrderKey sets the key that determines which of equal engines is used first; it must be called before SetUpstreams.
// Two dispatchers at one time, as while failure domains are partitioned, don't know each other's runs. With the same
// order both would fill the same engines first, however many are idle.
func (s *State) SetOrderKey(key string) { s.orderKey = key }

// SetModel replaces the model and the parameters, as after a change of the configuration. If there was no model
// before, the prefill of the runs that were adopted without one is added to their engines.
func (s *State) SetModel(m *Model, p Params) {
	modelAdded := s.model == nil && m != nil
	s.model, s.params = m, p
	if !s.byForecast() && s.returns.Len() > 0 {
		s.returns = returns.New(promptKinds)
	}
	s.setShares()
	if !modelAdded {
		return
	}
	for _, r := range s.runs { // adopted while their prefill time was unknown
		if !r.decoding && !s.prefilling[r] {
			s.addPrefill(r)
		}
	}
}

// SetUpstreams sets the upstreams that may receive jobs. An upstream that is no longer listed keeps its runs and
// receives no new ones. An upstream that restarted under the same ID, and so has another start time, has lost its runs.
func (s *State) SetUpstreams(upstreams []Upstream) {
	listed := make(map[fleet.UpstreamID]bool, len(upstreams))
	for _, u := range upstreams {
		listed[u.ID] = true
		e := s.engineFor(u.ID)
		if e.listed && e.StartTime != u.StartTime {
			delete(s.engines, u.ID)
			e = s.engineFor(u.ID)
		}
		e.Upstream, e.listed, e.closed = u, true, false
	}
	for id, e := range s.engines {
		if !listed[id] {
			e.closed = true
			if len(e.runs) == 0 {
				delete(s.engines, id)
			}
		}
	}
	s.prefillingEngines = 0
	for _, e := range s.engines {
		if e.pendingMs >= idleBelowMs {
			s.prefillingEngines++
		}
	}
	s.orderedEngines = s.orderedEngines[:0]
	for _, e := range s.engines {
		s.orderedEngines = append(s.orderedEngines, e)
	}
	slices.SortFunc(s.orderedEngines, func(a, b *engine) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.ID, b.ID)) })
	s.setShareCapacity()
}

// engineFor returns the engine with the given ID. It adds an unknown one as closed, so that it receives no new jobs
// until it is listed.
func (s *State) engineFor(id fleet.UpstreamID) *engine {
	e := s.engines[id]
	if e == nil {
		e = &engine{
			Upstream: Upstream{ID: id}, closed: true,
			runs:            map[fleet.RequestID]*run{},
			lastUnreachable: map[fleet.DomainID]pathFailure{},
		}
		if s.orderKey != "" {
			e.rank = rendezvous.Score(s.orderKey, string(id))
		}
		s.engines[id] = e
	}
	return e
}

// Ask queues a job. It replaces a queued or running job with the same ID, because an instance repeats a request when it
// does not know whether the request is still queued or placed.
func (s *State) Ask(j *Job) {
	s.Cancel(j.ID)
	j.firstArrived = j.Arrived
	if s.byForecast() {
		s.recognizeReturn(j)
		s.enqueueShare(j)
		if j.early { // adds nothing to the load of its workspace
			s.early = append(s.early, j)
			return
		}
		s.countArrival(j)
	}
	j.excess = s.exceedsShare(j) && s.shares == nil // shares replace the usual-load rule
	s.queue = append(s.queue, j)
}

// Cancel removes a job from the queue, or ends its run.
func (s *State) Cancel(id fleet.RequestID) {
	s.unqueue(func(j *Job) bool { return j.ID == id })
	if r := s.runs[id]; r != nil {
		s.release(r)
	}
}

// unqueue removes the matching jobs from the queue.
func (s *State) unqueue(matches func(*Job) bool) {
	remove := func(j *Job) bool {
		if !matches(j) {
			return false
		}
		s.dequeueShare(j)
		return true
	}
	s.queue, s.early = slices.DeleteFunc(s.queue, remove), slices.DeleteFunc(s.early, remove)
}

// Began records that the first event of a run's answer, or the whole of a plain answer, arrived. The run's prefill
// counts as done, and the failures that are recorded for its engines and for the link to the answering engine are
// cleared.
func (s *State) Began(now decide.Instant, id fleet.RequestID) {
	r := s.runs[id]
	if r == nil || r.decoding {
		return
	}
	s.learnFirstEvent(now, r)
	s.countFirstEvent(now, r)
	if s.model == nil {
		s.answerLatency.add(now.Sub(r.startedAt))
	}
	s.removePrefill(r)
	r.decoding, r.decodingSince = true, now
	s.quarantine.Began(now, id)
	r.engine.failures = 0
	s.recordAnswer(now, r)
	for _, h := range r.helpers {
		h.failures, h.helpRefusals = 0, 0
	}
}

// Outcome says how a run ended.
type Outcome uint8

// The outcomes of a run.
const (
	Completed         Outcome = iota // answered, or the caller disconnected; which of the two isn't known
	Failed                           // the upstream failed the request
	Unreachable                      // the instance could not connect to the upstream
	Full                             // the upstream reported that it has no capacity left
	PathLost                         // the instance's own path to the upstream failed, while other instances reach it
	Served                           // answered completely
	Refused                          // the upstream refused the connection
	UpstreamEnded                    // the upstream's process ended before the answer had gone on for quarantine.ProvenAfter
	UpstreamEndedLate                // the upstream's process ended after that, before the answer was complete
)

// Done ends a run. atFault is the upstream that caused the outcome if it is not the one that answers the run.
func (s *State) Done(now decide.Instant, id fleet.RequestID, outcome Outcome, atFault fleet.UpstreamID) {
	r := s.runs[id]
	if r == nil {
		return
	}
	faulty := r.engine
	if e := s.engines[atFault]; e != nil {
		faulty = e
	}
	switch outcome {
	case Served:
		s.quarantine.Served(now, id)
	case UpstreamEnded:
		s.quarantine.Ended(now, id, r.engine.process())
		faulty.recordFailure(now)
	case UpstreamEndedLate:
		s.quarantine.EndedLate(now, id, r.engine.process())
		faulty.recordFailure(now)
	case Failed:
		s.quarantine.Failed(now, id, r.engine.process())
		faulty.recordFailure(now)
		if faulty != r.engine && !r.hasReservationOn(faulty) { // an engine with a reservation may only lack its ticket
			faulty.recordHelpRefusal(now)
		}
	case Full:
		faulty.fullUntil = now.Add(fullHoldoff)
	case Refused:
		s.quarantine.Gone(now, r.engine.process())
		s.recordPathFailure(now, r.job, faulty, true)
	case Unreachable:
		s.recordPathFailure(now, r.job, faulty, true)
	case PathLost:
		s.recordPathFailure(now, r.job, faulty, false)
	}
	s.countEnd(now, r, outcome)
	s.release(r)
}

// Adopt adds a run that another dispatcher, or the instance by itself, placed. Its upstream may be unknown yet: a new
// dispatcher receives the instances' runs before the list of upstreams, and would overload engines if it dropped those
// runs.
func (s *State) Adopt(now decide.Instant, j *Job, upstream fleet.UpstreamID, helpers []fleet.UpstreamID, reservations []Reservation, decoding bool) {
	s.Cancel(j.ID)
	var engines []*engine
	for _, id := range helpers {
		engines = append(engines, s.engineFor(id))
	}
	var reserved []reservation
	for _, h := range reservations {
		e := s.engineFor(h.Upstream)
		reserved = append(reserved, reservation{e, h.Tokens})
		engines = append(engines, e)
	}
	r := s.startRun(now, j, s.engineFor(upstream), engines, reserved)
	r.adopted = true
	s.quarantine.Adopted(now, j.ID, decoding)
	if decoding {
		s.removePrefill(r)
		r.decoding = true
	}
}

// RemoveInstance drops the jobs and the runs of an instance that is gone.
func (s *State) RemoveInstance(instance fleet.InstanceID) {
	s.unqueue(func(j *Job) bool { return j.Instance == instance })
	for _, r := range s.runs {
		if r.job.Instance == instance {
			s.release(r)
		}
	}
	delete(s.instances, instance)
	delete(s.instanceEnds, instance)
}

// Waiting returns the number of jobs that wait, including those of callers that returned early.
func (s *State) Waiting() int { return len(s.queue) + len(s.early) }

// Running returns the number of runs in flight.
func (s *State) Running() int { return len(s.runs) }
