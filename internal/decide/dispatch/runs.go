package dispatch

import (
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// run is a job on an upstream.
type run struct {
	job     *Job
	on      *engine
	helpers []*engine // that read parts, holders included
	holders []holding
	context int     // tokens of memory on its own engine
	part    float64 // ms that each of its engines reads
	granted decide.Instant
	planned float64 // ms from the grant to the first event, as its engines' work had it
	pace    float64 // of the slowest of its engines at the grant
	writing bool
}

// heldBy tells whether the engine holds memory for the run.
func (r *run) heldBy(e *engine) bool {
	return slices.ContainsFunc(r.holders, func(h holding) bool { return h.on == e })
}

type holding struct {
	on     *engine
	tokens int
}

// engine is an upstream with its work.
type engine struct {
	Upstream
	runs    map[fleet.RequestID]*run // that it answers
	context int                      // tokens that its runs' prompts and answers may take, and that it holds
	pending float64                  // ms of reading that was given and isn't known to be done
	gap     time.Duration            // shortest of its runs' longest pauses; 0: none
	gone    bool                     // gets no new work
	known   bool                     // was listed once
	starts  []decide.Instant         // of the last second, while cold
	failed  decide.Instant           // last failure
	fails   int                      // in a row
	noHelp  decide.Instant           // until then it is not asked to read for others
	// helpRefused is how often in a row it refused to.
	helpRefused int
	slow        float64        // how many times longer than planned it has taken lately, at least 1
	slowAt      decide.Instant // when that was learnt
	full        decide.Instant // until then it is taken to have no room: it said so
	limit       *limit         // nil: it takes any number of requests
	// unreached holds when an instance of a failure domain last could not connect to it.
	unreached map[fleet.DomainID]decide.Instant
}

// bookReading books the reading of a run on its engines.
func (s *State) bookReading(r *run) {
	s.unread[r] = true
	r.part = s.model.read(r.job.PromptTokens) / float64(len(r.helpers)+1)
	s.addReading(r.on, r.part)
	for _, h := range r.helpers {
		s.addReading(h, r.part)
	}
}

func (e *engine) fail(now decide.Instant) {
	e.failed = now
	e.fails++
}

// refuseHelp takes that the engine would not read for another one.
func (e *engine) refuseHelp(now decide.Instant) {
	pause := helpPause << min(e.helpRefused, 8)
	e.noHelp = now.Add(min(pause, maxHelpPause))
	e.helpRefused++
}

// start books a run.
func (s *State) start(now decide.Instant, j *Job, e *engine, helpers []*engine, holders []holding) *run {
	r := &run{job: j, on: e, helpers: helpers, holders: holders, granted: now, context: j.PromptTokens + j.MaxOutputTokens}
	if s.model != nil {
		s.plan(now, r)
	}
	for _, h := range holders {
		r.context -= h.tokens
		h.on.context += h.tokens
	}
	s.runs[j.ID] = r
	e.runs[j.ID] = r
	s.triedFrom(j.Domain, e)
	e.context += r.context
	if s.model != nil {
		s.bookReading(r)
	}
	if e.cold(now) {
		e.starts = append(e.starts, now)
	}
	e.regap()
	return r
}

// plan works out when the first event of a run is to come.
func (s *State) plan(now decide.Instant, r *run) {
	before := r.on.pending
	r.pace = r.on.pace(now)
	for _, h := range r.helpers {
		before = max(before, h.pending)
		r.pace = max(r.pace, h.pace(now))
	}
	part := s.model.read(r.job.PromptTokens) / float64(len(r.helpers)+1)
	r.planned = before + part + passesToFirst*s.model.pass(len(r.on.runs)+1, r.on.context+r.context) + tripMs
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

// readDone takes a run's reading off its engines, once.
func (s *State) readDone(r *run) {
	if !s.unread[r] {
		return
	}
	delete(s.unread, r)
	s.addReading(r.on, -r.part)
	for _, h := range r.helpers {
		s.addReading(h, -r.part)
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
