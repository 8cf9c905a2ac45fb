package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// State is the dispatcher's knowledge of one service. It is not safe for concurrent use.
type State struct {
	model   *Model
	params  Params
	engines map[fleet.UpstreamID]*engine
	order   []*engine // by id, so that decisions repeat
	queue   []*Job
	runs    map[fleet.RequestID]*run

	fair    [2]fairness             // between workspaces: of short prompts and plain requests, and of long prompts
	unread  map[*run]bool           // whose reading is on engines' books
	answers answers                 // of a plain service
	heard   map[link]decide.Instant // when an answer, or its first event, last came over it

	now decide.Instant // of the step under way

	ahead int // of the step under way: jobs that wait before the one that is decided

	flowing decide.Instant // when something was last placed, or nothing but long prompts waited
	probed  decide.Instant // when links that are taken for cut were last tried
	probing map[link]bool  // that one job may try
	// retrying is an upstream that one job may try although it could not be reached; nil: none.
	retrying *engine

	// Of the survey at the beginning of a step.
	cuts     map[link]int               // upstreams at its end that could not be reached since an answer last came over it
	meanPass float64                    // ms
	limits   limitSurvey                // of the upstreams that may get work
	longs    int                        // jobs waiting for a long read, oversized ones aside
	tried    int                        // long reads that found no place
	unpacked map[fleet.DomainID]packing // what found no place on any engine

	reading int // engines that read something
}

// packing is what a short prompt needs of an engine.
type packing struct {
	prompt int
	gap    time.Duration
}

// New gives a State without upstreams. model is nil for a plain service.
func New(model *Model, p Params) *State {
	return &State{
		model: model, params: p, engines: map[fleet.UpstreamID]*engine{}, runs: map[fleet.RequestID]*run{},
		unread: map[*run]bool{}, heard: map[link]decide.Instant{}, probing: map[link]bool{},
	}
}

// SetModel takes another model or figures, as a new configuration states them.
func (s *State) SetModel(m *Model, p Params) {
	first := s.model == nil && m != nil
	s.model, s.params = m, p
	if !first {
		return
	}
	for _, r := range s.runs { // adopted before it was known how long they read
		if !r.writing {
			s.bookReading(r)
		}
	}
}

// SetUpstreams takes the upstreams that may get work. One that is no longer listed keeps its work and gets
// no more; one that started anew under its id has lost it.
func (s *State) SetUpstreams(open []Upstream) {
	listed := make(map[fleet.UpstreamID]bool, len(open))
	for _, u := range open {
		listed[u.ID] = true
		e := s.engine(u.ID)
		if e.known && e.Born != u.Born {
			delete(s.engines, u.ID)
			e = s.engine(u.ID)
		}
		e.Upstream, e.known, e.gone = u, true, false
	}
	for id, e := range s.engines {
		if !listed[id] {
			e.gone = true
			if len(e.runs) == 0 {
				delete(s.engines, id)
			}
		}
	}
	s.reading = 0
	for _, e := range s.engines {
		if e.pending >= idleBelow {
			s.reading++
		}
	}
	s.order = s.order[:0]
	for _, e := range s.engines {
		s.order = append(s.order, e)
	}
	slices.SortFunc(s.order, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
}

// engine gives an upstream with its work. One that isn't known yet gets no new work.
func (s *State) engine(id fleet.UpstreamID) *engine {
	e := s.engines[id]
	if e == nil {
		e = &engine{
			Upstream: Upstream{ID: id}, gone: true,
			runs:      map[fleet.RequestID]*run{},
			unreached: map[fleet.DomainID]decide.Instant{},
		}
		s.engines[id] = e
	}
	return e
}

// Ask queues a job. One with the id of a job that waits or runs replaces it: the instance asks anew when it
// doesn't know what became of it.
func (s *State) Ask(j *Job) {
	s.Cancel(j.ID)
	j.excess = s.overShare(j)
	s.queue = append(s.queue, j)
}

// Withdraw takes a job out of the queue, or ends its run.
func (s *State) Cancel(id fleet.RequestID) {
	s.queue = slices.DeleteFunc(s.queue, func(j *Job) bool { return j.ID == id })
	if r := s.runs[id]; r != nil {
		s.release(r)
	}
}

// Began takes that a run's answer, or its first event, came: its prompt is read.
func (s *State) Began(now decide.Instant, id fleet.RequestID) {
	r := s.runs[id]
	if r == nil || r.writing {
		return
	}
	s.learn(now, r)
	if s.model == nil {
		s.answers.take(now.Sub(r.granted))
	}
	s.readDone(r)
	r.writing = true
	r.on.fails = 0
	delete(r.on.unreached, r.job.Domain)
	s.heard[link{r.job.Domain, r.on.Domain}] = now
	for _, h := range r.helpers {
		h.fails, h.helpRefused = 0, 0
	}
}

// End is how a run ended.
type Outcome uint8

// The ends of a run.
const (
	Completed   Outcome = iota // answered, or its caller left
	Failed                     // its upstream failed it
	Unreachable                // its instance could not connect to the upstream
	Full                       // its upstream said that it has no room
)

// Done ends a run. atFault is the upstream to blame where it isn't the one that the run was on.
func (s *State) Done(now decide.Instant, id fleet.RequestID, how Outcome, atFault fleet.UpstreamID) {
	r := s.runs[id]
	if r == nil {
		return
	}
	blamed := r.on
	if e := s.engines[atFault]; e != nil {
		blamed = e
	}
	switch how {
	case Failed:
		blamed.fail(now)
		if blamed != r.on && !r.heldBy(blamed) { // a holder may only lack the ticket
			blamed.refuseHelp(now)
		}
	case Full:
		blamed.full = now.Add(fullPause)
	case Unreachable:
		blamed.unreached[r.job.Domain] = now
		if len(blamed.unreached) > 1 {
			blamed.fail(now) // not the way to it: it can't be reached from anywhere
		}
	}
	s.release(r)
}

// Adopt takes a run that another dispatcher, or the instance by itself, placed. Its upstream need not be known
// yet: a dispatcher that has just started hears of the fleet's work first, and what it dropped of that it would
// place once more.
func (s *State) Adopt(now decide.Instant, j *Job, on fleet.UpstreamID, helpers []fleet.UpstreamID, holders []Reservation, writing bool) {
	s.Cancel(j.ID)
	var with []*engine
	for _, id := range helpers {
		with = append(with, s.engine(id))
	}
	var held []holding
	for _, h := range holders {
		he := s.engine(h.Upstream)
		held = append(held, holding{he, h.Tokens})
		with = append(with, he)
	}
	r := s.start(now, j, s.engine(on), with, held)
	if writing {
		s.readDone(r)
		r.writing = true
	}
}

// Forget drops the work of an instance that is gone.
func (s *State) RemoveInstance(entry fleet.InstanceID) {
	s.queue = slices.DeleteFunc(s.queue, func(j *Job) bool { return j.Instance == entry })
	for _, r := range s.runs {
		if r.job.Instance == entry {
			s.release(r)
		}
	}
}

// Waiting is the number of jobs that wait, and Running of those that run.
func (s *State) Waiting() int { return len(s.queue) }

// Running is the number of jobs under way.
func (s *State) Running() int { return len(s.runs) }
