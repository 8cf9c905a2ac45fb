package bench

import (
	"fmt"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/admit"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/decide/pick"
	"github.com/damaskshelf/damaskshelf/internal/decide/reserve"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// outcome is how a request ended.
type outcome uint8

const (
	pending outcome = iota
	inTime
	refused // at once or while it waited; it did not run
	late    // its time ran out while it ran
)

// request is one caller's request on its way.
type request struct {
	*arrival
	sim      *sim
	entry    *entry
	gated    *admit.Request
	priority int
	sent     []sentPart
	group    *reserve.Group
	parts    []pick.Part
	waitFor  int // members of its group that still compute
	lead     *job
	first    decide.Instant // of the first token at the caller; 0: none yet
	ended    decide.Instant
	outcome  outcome
	refusal  decide.Reason
}

// sentPart is what the entry's view of an engine was told of a dispatch.
type sentPart struct {
	engine *pick.Engine
	tokens int64
	memory int64
}

func (r *request) over() bool { return r.outcome != pending }

// dispatch sends the request to one engine, with its memory reserved before or not.
func (r *request) dispatch(e *engine, reserved bool) {
	r.sim.sent(e)
	need := r.prompt.MemoryTokens()
	if reserved {
		need = 0
	}
	j := &job{req: r, priority: r.priority, tokens: r.prompt.Tokens, answer: r.answer, need: need}
	r.sim.clock.After(messageDelay, func() {
		if r.over() {
			return
		}
		if !reserved && e.held+need > e.model.KVCacheTokens {
			r.sim.memoryWaits++
		}
		e.submit(j)
	})
}

// dispatchGroup sends the request's parts to the engines of its group; the first one answers.
func (r *request) dispatchGroup() {
	r.waitFor = len(r.parts)
	total := r.prompt.MemoryTokens()
	for i, p := range r.parts {
		share := float64(p.Tokens) / float64(total) * (1 + groupOverhead)
		tokens := int(share * float64(r.prompt.Tokens))
		j := &job{req: r, priority: r.priority, tokens: tokens, left: tokens, answer: r.answer, member: true}
		if i == 0 {
			r.lead = j
		}
		e := r.sim.byID[p.Engine.ID]
		r.sim.sent(e)
		r.sim.clock.After(messageDelay, func() {
			if !r.over() {
				e.submit(j)
			}
		})
	}
}

// progress is told by an engine that the job's prompt is computed, or its answer over.
func (r *request) progress(j *job) {
	switch {
	case r.over():
	case j.over:
		r.sim.clock.After(messageDelay, func() { r.finish(inTime) })
	case j.member:
		if r.waitFor--; r.waitFor > 0 {
			return
		}
		r.lead.member = false
		r.sim.byID[r.parts[0].Engine.ID].kick()
		r.sim.clock.After(messageDelay, r.firstToken)
	default:
		r.sim.clock.After(messageDelay, r.firstToken)
	}
}

func (r *request) firstToken() {
	if r.over() || r.first != 0 {
		return
	}
	r.first = r.sim.clock.Now()
	r.began()
}

// began tells the entry's view that the prompt is computed.
func (r *request) began() {
	for i := range r.sent {
		r.sent[i].engine.RecordFirstToken(r.class, r.sent[i].tokens)
		r.sent[i].tokens = 0
	}
}

// finish ends the request at its entry and frees all that it held.
func (r *request) finish(o outcome) {
	if r.over() {
		return
	}
	r.outcome, r.ended = o, r.sim.clock.Now()
	r.began()
	for _, s := range r.sent {
		s.engine.ReleaseMemory(s.memory)
	}
	if r.group != nil {
		r.carry(r.group.End())
	}
	r.entry.policy.ended(r)
}

// timeout ends the request at its deadline wherever it is, and cancels its work.
func (r *request) timeout() {
	if r.over() {
		return
	}
	r.finish(late)
	r.sim.clock.After(messageDelay, func() {
		for _, e := range r.sim.engines {
			e.cancel(r)
		}
	})
}

// reserve begins to hold memory for the request's parts.
func (r *request) reserve(parts []pick.Part) {
	r.parts = parts
	list := make([]reserve.Part, 0, len(parts))
	for i, p := range parts {
		list = append(list, reserve.Part{ID: fmt.Sprint(i), Upstream: p.Engine.ID, Tokens: p.Tokens})
	}
	r.group = reserve.New(list, reserveWait, r.deadline.Add(reserve.ReleaseGrace))
	r.carry(r.group.Start(r.sim.clock.Now()))
}

// carry carries out a group's effects.
func (r *request) carry(effects []reserve.Effect) {
	g := r.group
	for _, f := range effects {
		switch f.Verb {
		case reserve.Reserve:
			r.sim.clock.After(f.Delay+messageDelay, func() { r.ask(g, f.Part) })
		case reserve.Release:
			r.sim.clock.After(f.Delay+messageDelay, func() {
				r.sim.byID[g.Part(f.Part).Upstream].release(r)
				r.carryFor(g, g.Released(f.Part))
			})
		case reserve.Ready:
			r.entry.policy.reserved(r, true)
		case reserve.Failed:
			if !r.over() {
				r.entry.policy.reserved(r, false)
			}
		}
	}
}

func (r *request) carryFor(g *reserve.Group, effects []reserve.Effect) {
	now := r.group
	r.group = g
	r.carry(effects)
	r.group = now
}

func (r *request) ask(g *reserve.Group, part int) {
	p := g.Part(part)
	granted := !r.over() && r.sim.byID[p.Upstream].reserve(r, p.Tokens)
	r.sim.clock.After(messageDelay, func() {
		if granted {
			r.carryFor(g, g.Granted(part))
		} else {
			r.carryFor(g, g.Refused(part, r.sim.clock.Now()))
		}
	})
}

// gate gives the request as the gate sees it.
func (r *request) gate(number int) *admit.Request {
	return &admit.Request{
		ID:        fleet.RequestID(fmt.Sprintf("r%07d", number)),
		Workspace: r.workspace, Prompt: r.prompt, Class: r.class,
		Arrived: r.at, Deadline: r.deadline,
		DecodeTime: time.Duration(r.prompt.MaxAnswerTokens) * expectedInterval,
	}
}

// expectedInterval is what entries expect between two tokens, over answers that are mostly shorter than
// allowed.
const expectedInterval = 12 * time.Millisecond

// laneWork is the engine time that a long prompt takes: its prompt, and its share of the memory while
// it answers.
func laneWork(p *cost.Prompt, class cost.Class, m *EngineModel, decode time.Duration) float64 {
	t := m.prefillTime(p.Tokens)
	if class == cost.Group {
		t += time.Duration(float64(t) * groupOverhead)
	}
	return t.Seconds() + decode.Seconds()*float64(p.MemoryTokens())/float64(m.KVCacheTokens)
}
