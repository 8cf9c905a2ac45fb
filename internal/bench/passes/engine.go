package passes

import (
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

const (
	million  = 1e6
	thousand = 1e3
	// minPrefillMs is the prefill time below which a part counts as finished: sums of parts leave rounding errors.
	minPrefillMs = 1e-9
)

// engine models an engine that works in passes. A pass with decoding requests takes StepsPerPass steps, any other pass
// takes one. It prefills about ChunkTokens prompt tokens per step. Each decoding request emits one event at the end of
// the pass. The model leaves out that a lack of memory delays prompts, that engines differ in speed, and that a part
// prefilled for another engine goes before the engine's own prompts.
type engine struct {
	id        fleet.UpstreamID
	model     *dispatch.Model
	prefills  []*prefillPart
	decoding  []*Job
	passEndMs float64 // end of the current pass
	busy      bool
	lost      bool
	finishing []*prefillPart // parts that the current pass finishes
}

// prefillPart is one engine's share of a prompt's prefill.
type prefillPart struct {
	job     *Job
	attempt int     // the job's failedAttempts when the part was queued; the part is void if they differ
	leftMs  float64 // prefill time left
}

// prefillMs returns the time that one engine takes to prefill a prompt, without the fixed time of its steps.
func prefillMs(m *dispatch.Model, tokens int) float64 {
	n := float64(tokens)
	return n/m.PrefillTokensPerMs + n*n/2/million*m.MsPerMillionPairs
}

// startPass starts a pass and sets its end. It takes prefill parts from the queue, in order, up to a budget of prefill
// time that stands for ChunkTokens prompt tokens per step.
func (e *engine) startPass(now float64) {
	m := e.model
	steps, contextTokens := 1, 0
	if len(e.decoding) > 0 {
		steps = m.StepsPerPass
	}
	for _, j := range e.decoding {
		contextTokens += j.PromptTokens
	}
	stepMs := m.StepMs + m.PerDecodeMs*float64(len(e.decoding)) + m.Per1000ContextMs*float64(contextTokens)/thousand
	lengthMs := float64(steps) * stepMs
	budgetMs := float64(steps*m.ChunkTokens) / m.PrefillTokensPerMs * 2 // the factor approximates the time for token pairs
	e.finishing = nil
	for len(e.prefills) > 0 && budgetMs > 0 {
		p := e.prefills[0]
		doneMs := min(p.leftMs, budgetMs)
		p.leftMs -= doneMs
		budgetMs -= doneMs
		lengthMs += doneMs
		if p.leftMs > minPrefillMs {
			continue
		}
		e.finishing = append(e.finishing, p)
		e.prefills = e.prefills[1:]
	}
	e.busy, e.passEndMs = true, now+lengthMs
}

// emitEvents records an event for each decoding request, and calls ended for each request whose answer is complete.
func (e *engine) emitEvents(now float64, ended func(*Job)) {
	var unfinished []*Job
	for _, j := range e.decoding {
		j.recordEvent(now)
		if j.done {
			ended(j)
			continue
		}
		unfinished = append(unfinished, j)
	}
	e.decoding = unfinished
}
