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

// outcome says how a request ended.
type outcome uint8

const (
	pending outcome = iota
	inTime
	refused // on arrival or while queued; it did not run
	late    // its deadline passed before the answer was complete
)

// request is the state of one caller's request.
type request struct {
	*arrival
	sim          *sim
	instance     *instance
	admission    *admit.Request
	priority     int
	dispatches   []dispatchRecord
	group        *reserve.Group
	parts        []pick.Part
	membersLeft  int // members of its group that have not finished their prefill
	lead         *job
	firstTokenAt decide.Instant // when the first token reached the caller; 0: none yet
	endedAt      decide.Instant
	outcome      outcome
	refusal      decide.Reason
}

// dispatchRecord is the work and memory that a dispatch added to the instance's view of an engine.
type dispatchRecord struct {
	engine *pick.Engine
	tokens int64
	memory int64
}

// done reports whether the request has ended.
func (r *request) done() bool { return r.outcome != pending }

// dispatch sends the request to one engine. The parameter reserved says whether its memory is reserved there.
func (r *request) dispatch(e *engine, reserved bool) {
	r.sim.recordDispatch(e)
	need := r.prompt.MemoryTokens()
	if reserved {
		need = 0
	}
	j := &job{req: r, priority: r.priority, promptTokens: r.prompt.Tokens, answerLeft: r.answerTokens, memory: need}
	r.sim.clock.After(messageDelay, func() {
		if r.done() {
			return
		}
		if !reserved && e.memoryHeld+need > e.model.KVCacheTokens {
			r.sim.memoryWaits++
		}
		e.submit(j)
	})
}

// dispatchGroup sends the request's parts to the engines of its group. The first of them answers.
func (r *request) dispatchGroup() {
	r.membersLeft = len(r.parts)
	total := r.prompt.MemoryTokens()
	for i, p := range r.parts {
		share := float64(p.Tokens) / float64(total) * (1 + groupOverhead)
		tokens := int(share * float64(r.prompt.Tokens))
		j := &job{req: r, priority: r.priority, promptTokens: tokens, tokensLeft: tokens, answerLeft: r.answerTokens, member: true}
		if i == 0 {
			r.lead = j
		}
		e := r.sim.byID[p.Engine.ID]
		r.sim.recordDispatch(e)
		r.sim.clock.After(messageDelay, func() {
			if !r.done() {
				e.submit(j)
			}
		})
	}
}

// onProgress handles an engine's message that a job's prefill or answer is complete.
func (r *request) onProgress(j *job) {
	switch {
	case r.done():
	case j.finished:
		r.sim.clock.After(messageDelay, func() { r.finish(inTime) })
	case j.member:
		if r.membersLeft--; r.membersLeft > 0 {
			return
		}
		r.lead.member = false
		r.sim.byID[r.parts[0].Engine.ID].startStep()
		r.sim.clock.After(messageDelay, r.onFirstToken)
	default:
		r.sim.clock.After(messageDelay, r.onFirstToken)
	}
}

// onFirstToken records the arrival of the first token at the caller.
func (r *request) onFirstToken() {
	if r.done() || r.firstTokenAt != 0 {
		return
	}
	r.firstTokenAt = r.sim.clock.Now()
	r.recordFirstToken()
}

// recordFirstToken records in the instance's view that the prefill is complete.
func (r *request) recordFirstToken() {
	for i := range r.dispatches {
		r.dispatches[i].engine.RecordFirstToken(r.class, r.dispatches[i].tokens)
		r.dispatches[i].tokens = 0
	}
}

// finish ends the request at its instance and releases its memory and reservations.
func (r *request) finish(o outcome) {
	if r.done() {
		return
	}
	r.outcome, r.endedAt = o, r.sim.clock.Now()
	r.recordFirstToken()
	for _, record := range r.dispatches {
		record.engine.ReleaseMemory(record.memory)
	}
	if r.group != nil {
		r.applyEffects(r.group.End())
	}
	r.instance.policy.requestEnded(r)
}

// timeout ends the request at its deadline, unless it has ended, and cancels its work on all engines.
func (r *request) timeout() {
	if r.done() {
		return
	}
	r.finish(late)
	r.sim.clock.After(messageDelay, func() {
		for _, e := range r.sim.engines {
			e.cancel(r)
		}
	})
}

// reserve starts the reservation of memory for the request's parts.
func (r *request) reserve(parts []pick.Part) {
	r.parts = parts
	list := make([]reserve.Part, 0, len(parts))
	for i, p := range parts {
		list = append(list, reserve.Part{ID: fmt.Sprint(i), Upstream: p.Engine.ID, Tokens: p.Tokens})
	}
	r.group = reserve.New(list, reserveTimeout, r.deadline.Add(reserve.ReleaseGrace))
	r.applyEffects(r.group.Start(r.sim.clock.Now()))
}

// applyEffects carries out effects of the request's current group.
func (r *request) applyEffects(effects []reserve.Effect) {
	g := r.group
	for _, f := range effects {
		switch f.Verb {
		case reserve.Reserve:
			r.sim.clock.After(f.Delay+messageDelay, func() { r.reservePart(g, f.Part) })
		case reserve.Release:
			r.sim.clock.After(f.Delay+messageDelay, func() {
				r.sim.byID[g.Part(f.Part).Upstream].release(r)
				r.applyEffectsOf(g, g.Released(f.Part))
			})
		case reserve.Ready:
			r.instance.policy.reservationResult(r, true)
		case reserve.Failed:
			if !r.done() {
				r.instance.policy.reservationResult(r, false)
			}
		}
	}
}

// applyEffectsOf carries out effects of g, which may be an earlier group of the request.
func (r *request) applyEffectsOf(g *reserve.Group, effects []reserve.Effect) {
	current := r.group
	r.group = g
	r.applyEffects(effects)
	r.group = current
}

// reservePart tries to reserve memory for one part of g on its engine. The result reaches the instance after
// messageDelay.
func (r *request) reservePart(g *reserve.Group, part int) {
	p := g.Part(part)
	granted := !r.done() && r.sim.byID[p.Upstream].reserve(r, p.Tokens)
	r.sim.clock.After(messageDelay, func() {
		if granted {
			r.applyEffectsOf(g, g.Granted(part))
		} else {
			r.applyEffectsOf(g, g.Refused(part, r.sim.clock.Now()))
		}
	})
}

// newAdmission returns the request as the gate receives it, under an id made from number.
func (r *request) newAdmission(number int) *admit.Request {
	return &admit.Request{
		ID:        fleet.RequestID(fmt.Sprintf("r%07d", number)),
		Workspace: r.workspace, Prompt: r.prompt, Class: r.class,
		Arrived: r.at, Deadline: r.deadline,
		DecodeTime: time.Duration(r.prompt.MaxOutputTokens) * expectedInterval,
	}
}

// expectedInterval is the time per allowed token of the answer that instances expect decoding to take. Most answers
// are shorter than allowed.
const expectedInterval = 12 * time.Millisecond

// laneEngineSeconds returns the engine time that a long prompt takes, in seconds: its prefill, and its decoding in
// proportion to the share of the memory that it holds.
func laneEngineSeconds(p *cost.Prompt, class cost.Class, m *EngineModel, decode time.Duration) float64 {
	t := m.prefillTime(p.Tokens)
	if class == cost.Group {
		t += time.Duration(float64(t) * groupOverhead)
	}
	return t.Seconds() + decode.Seconds()*float64(p.MemoryTokens())/float64(m.KVCacheTokens)
}
