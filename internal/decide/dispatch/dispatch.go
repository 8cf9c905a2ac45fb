package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Job is a request that needs a place.
type Job struct {
	ID        fleet.RequestID
	Entry     fleet.InstanceID // the instance that serves its caller
	From      fleet.DomainID   // the entry's failure domain
	Workspace fleet.WorkspaceID
	Subject   string
	Priority  int
	Prompt    int            // tokens
	Output    int            // most tokens of the answer
	Arrived   decide.Instant // at the instance
	Aim       decide.Instant // the first event is in time until then
	Patience  decide.Instant // the caller gives up without a first event
	Deadline  decide.Instant
	MaxGap    time.Duration // longest pause between events in time; 0: none
	Attempt   int
	Resumed   bool // a stream that broke off goes on; Arrived and Aim count from its last event
	Avoid     []fleet.UpstreamID

	returned bool // its caller was refused a while ago
}

// Upstream is an upstream that may get work.
type Upstream struct {
	ID     fleet.UpstreamID
	Domain fleet.DomainID
	Slots  int
	Born   int64
	// ColdUntil is when its cold start ends; before now: it is warm.
	ColdUntil decide.Instant
}

// Decision is what becomes of a job.
type Decision struct {
	Job        *Job
	Upstream   fleet.UpstreamID   // empty: refused
	Helpers    []fleet.UpstreamID // that read parts of the prompt, holders aside
	Holders    []Holding          // that hold the memory that the upstream has not, and read parts too
	Reason     decide.Reason
	RetryAfter time.Duration // of a refusal
}

// Holding is memory of a job that an engine holds for another one, in tokens.
type Holding struct {
	Upstream fleet.UpstreamID
	Tokens   int
}

// Reasons of this package.
const (
	Packed     decide.Reason = "packed"      // on the fullest engine whose streams bear it
	Spread     decide.Reason = "spread"      // read in parts by several engines
	Alone      decide.Reason = "alone"       // read by one engine
	LeastWork  decide.Reason = "least_work"  // of a plain service
	TooLate    decide.Reason = "too_late"    // its caller would have given up
	TooLarge   decide.Reason = "too_large"   // over every engine's memory
	NoSlack    decide.Reason = "no_slack"    // over one engine's memory, and the fleet is too busy for it
	NoUpstream decide.Reason = "no_upstream" // none may get work
	QueueFull  decide.Reason = "queue_full"
)

// Reasons lists every reason of this package.
var Reasons = []decide.Reason{Packed, Spread, Alone, LeastWork, TooLate, TooLarge, NoSlack, NoUpstream, QueueFull}

// Params are the policy's figures.
type Params struct {
	MaxHelpers  int           // beside the first engine; engines take 16
	GapShare    float64       // part of the longest pause that a pass may take as planned
	ShortRead   float64       // ms; a prompt that reads no longer is packed
	PerHelper   float64       // ms that a helper must save to be worth asking
	MemoryShare float64       // part of an engine's memory that is planned for
	HoldShare   float64       // part of its caller's patience that a late job waits
	SlackShare  float64       // part of the engines that must read nothing before an oversized prompt is taken
	SlackWait   time.Duration // how long an oversized prompt waits for that; then it is refused
	ColdPerS    float64       // requests a second that a cold upstream gets; 0: cold ones are not told apart
	MaxQueue    int           // jobs
	Margin      time.Duration // between a planned first event and the caller's patience
}

// DefaultParams are the daemon's.
func DefaultParams() Params {
	return Params{
		MaxHelpers: 16, GapShare: 0.9, ShortRead: 100, PerHelper: 5, MemoryShare: 0.95, SlackShare: 0.5, HoldShare: 0.3, SlackWait: 350 * time.Millisecond, MaxQueue: 4096,
		Margin: 30 * time.Millisecond,
	}
}

// run is a job on an upstream.
type run struct {
	job     *Job
	on      *engine
	helpers []*engine // that read parts, holders included
	holders []holding
	context int     // tokens of memory on its own engine
	part    float64 // ms that each of its engines reads
	granted decide.Instant
	planned float64 // ms from the grant to the first event, as its engine's work and pace had it
	writing bool
}

type holding struct {
	on     *engine
	tokens int
}

// engine is an upstream with its work.
type engine struct {
	Upstream
	runs    map[fleet.RequestID]*run // that it answers
	parts   map[fleet.RequestID]*run // that it helps to read
	context int                      // tokens that its runs' prompts and answers may take, and that it holds
	pending float64                  // ms of reading that was given and isn't known to be done
	gap     time.Duration            // shortest of its runs' longest pauses; 0: none
	gone    bool                     // gets no new work
	known   bool                     // was listed once
	starts  []decide.Instant         // of the last second, while cold
	failed  decide.Instant           // last failure
	fails   int                      // in a row
	slow    float64                  // how many times longer than planned it has taken lately, at least 1
	slowAt  decide.Instant           // when that was learnt
	full    decide.Instant           // until then it is taken to have no room: it said so
	// unreached holds when an instance of a failure domain last could not connect to it.
	unreached map[fleet.DomainID]decide.Instant
}

// State is the dispatcher's knowledge of one service. It is not safe for concurrent use.
type State struct {
	model   *Model
	params  Params
	engines map[fleet.UpstreamID]*engine
	order   []*engine // by id, so that decisions repeat
	queue   []*Job
	runs    map[fleet.RequestID]*run

	turnedAway map[visit]decide.Instant // when prompts were refused last

	now decide.Instant // of the step under way

	// Of the survey at the beginning of a step.
	cuts     map[link]int
	meanPass float64                    // ms
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
		turnedAway: map[visit]decide.Instant{},
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
			s.read(r)
		}
	}
}

// read books the reading of a run on its engines.
func (s *State) read(r *run) {
	r.part = s.model.read(r.job.Prompt) / float64(len(r.helpers)+1)
	s.addReading(r.on, r.part)
	for _, h := range r.helpers {
		s.addReading(h, r.part)
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
			runs: map[fleet.RequestID]*run{}, parts: map[fleet.RequestID]*run{},
			unreached: map[fleet.DomainID]decide.Instant{},
		}
		s.engines[id] = e
	}
	return e
}

// Ask queues a job. One with the id of a job that waits or runs replaces it: the instance asks anew when it
// doesn't know what became of it.
func (s *State) Ask(j *Job) {
	s.Withdraw(j.ID)
	j.returned = s.returned(j)
	s.queue = append(s.queue, j)
}

// Withdraw takes a job out of the queue, or ends its run.
func (s *State) Withdraw(id fleet.RequestID) {
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
	s.readDone(r)
	r.writing = true
	r.on.fails = 0
	delete(r.on.unreached, r.job.From)
	for _, h := range r.helpers {
		h.fails = 0
	}
}

// End is how a run ended.
type End uint8

// The ends of a run.
const (
	Whole       End = iota // answered, or its caller left
	Failed                 // its upstream failed it
	Unreachable            // its instance could not connect to the upstream
	Full                   // its upstream said that it has no room
)

// Done ends a run. atFault is the upstream to blame where it isn't the one that the run was on.
func (s *State) Done(now decide.Instant, id fleet.RequestID, how End, atFault fleet.UpstreamID) {
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
	case Full:
		blamed.full = now.Add(fullPause)
	case Unreachable:
		blamed.unreached[r.job.From] = now
		if len(blamed.unreached) > 1 {
			blamed.fail(now) // not the way to it: it can't be reached from anywhere
		}
	}
	s.release(r)
}

func (e *engine) fail(now decide.Instant) {
	e.failed = now
	e.fails++
}

// Adopt takes a run that another dispatcher, or the instance by itself, placed. Its upstream need not be known
// yet: a dispatcher that has just started hears of the fleet's work first, and what it dropped of that it would
// place once more.
func (s *State) Adopt(now decide.Instant, j *Job, on fleet.UpstreamID, helpers []fleet.UpstreamID, holders []Holding, writing bool) {
	s.Withdraw(j.ID)
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
func (s *State) Forget(entry fleet.InstanceID) {
	s.queue = slices.DeleteFunc(s.queue, func(j *Job) bool { return j.Entry == entry })
	for _, r := range s.runs {
		if r.job.Entry == entry {
			s.release(r)
		}
	}
}

// Waiting is the number of jobs that wait, and Running of those that run.
func (s *State) Waiting() int { return len(s.queue) }

// Running is the number of jobs under way.
func (s *State) Running() int { return len(s.runs) }

// start books a run.
func (s *State) start(now decide.Instant, j *Job, e *engine, helpers []*engine, holders []holding) *run {
	r := &run{job: j, on: e, helpers: helpers, holders: holders, granted: now, context: j.Prompt + j.Output}
	if s.model != nil {
		r.planned = e.pending + s.model.read(j.Prompt) + passesToFirst*s.model.pass(len(e.runs)+1, e.context+r.context) + tripMs
	}
	for _, h := range holders {
		r.context -= h.tokens
		h.on.context += h.tokens
	}
	s.runs[j.ID] = r
	e.runs[j.ID] = r
	e.context += r.context
	for _, h := range helpers {
		h.parts[j.ID] = r
	}
	if s.model != nil {
		s.read(r)
	}
	if e.cold(now) {
		e.starts = append(e.starts, now)
	}
	e.regap()
	return r
}

// addReading changes what an engine has to read, in ms.
func (s *State) addReading(e *engine, ms float64) {
	was := e.pending >= idleBelow
	e.pending = max(0, e.pending+ms)
	if is := e.pending >= idleBelow; is != was && s.engines[e.ID] == e {
		if is {
			s.reading++
		} else {
			s.reading--
		}
	}
}

// readDone takes a run's reading off its engines.
func (s *State) readDone(r *run) {
	if r.writing {
		return
	}
	s.addReading(r.on, -r.part)
	for _, h := range r.helpers {
		s.addReading(h, -r.part)
		delete(h.parts, r.job.ID)
	}
}

// release takes a run off its engines.
func (s *State) release(r *run) {
	s.readDone(r)
	delete(s.runs, r.job.ID)
	delete(r.on.runs, r.job.ID)
	r.on.context -= r.context
	for _, h := range r.holders {
		h.on.context -= h.tokens
	}
	r.on.regap()
	if r.on.gone && len(r.on.runs) == 0 && s.engines[r.on.ID] == r.on {
		if r.on.pending >= idleBelow {
			s.reading--
		}
		delete(s.engines, r.on.ID)
		s.order = slices.DeleteFunc(s.order, func(e *engine) bool { return e == r.on })
	}
}

// regap finds the shortest pause that the engine's runs bear.
func (e *engine) regap() {
	e.gap = 0
	for _, r := range e.runs {
		if g := r.job.MaxGap; g > 0 && (e.gap == 0 || g < e.gap) {
			e.gap = g
		}
	}
}

func (e *engine) cold(now decide.Instant) bool { return now.Before(e.ColdUntil) }
