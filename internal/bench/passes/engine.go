package passes

import (
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

const (
	million  = 1e6
	thousand = 1e3
	// readDone is the reading in ms that counts as none: sums of parts leave fractions.
	readDone = 1e-9
)

// engine works in passes: a pass with writers takes Stride steps and reads prompts between them, at most Chunk
// tokens a step; an event of each writer comes at its end. Left out of the model: prompts put back for want of
// memory, speeds that differ, and that a part read for another engine goes before its own.
type engine struct {
	id      fleet.UpstreamID
	model   *dispatch.Model
	reads   []*part
	writers []*Job
	passEnd float64 // ms; of the pass under way
	busy    bool
	gone    bool
	done    []*part // that the pass under way finishes
}

// part is an engine's share of reading a prompt.
type part struct {
	job  *Job
	try  int     // of the job's attempts; another one makes it void
	left float64 // ms of reading
}

// reading is how long one engine reads a prompt, its steps aside.
func reading(m *dispatch.Model, tokens int) float64 {
	n := float64(tokens)
	return n/m.PrefillTokensPerMs + n*n/2/million*m.MsPerMillionPairs
}

// begin begins a pass.
func (e *engine) begin(now float64) {
	m := e.model
	steps, context := 1, 0
	if len(e.writers) > 0 {
		steps = m.StepsPerPass
	}
	for _, w := range e.writers {
		context += w.PromptTokens
	}
	step := m.StepMs + m.PerDecodeMs*float64(len(e.writers)) + m.Per1000ContextMs*float64(context)/thousand
	length := float64(steps) * step
	budget := float64(steps*m.ChunkTokens) / m.PrefillTokensPerMs * 2 // with the pairs, about
	e.done = nil
	for len(e.reads) > 0 && budget > 0 {
		p := e.reads[0]
		take := min(p.left, budget)
		p.left -= take
		budget -= take
		length += take
		if p.left > readDone {
			continue
		}
		e.done = append(e.done, p)
		e.reads = e.reads[1:]
	}
	e.busy, e.passEnd = true, now+length
}

// write gives each writer its event.
func (e *engine) write(now float64, ended func(*Job)) {
	var still []*Job
	for _, w := range e.writers {
		w.event(now)
		if w.done {
			ended(w)
			continue
		}
		still = append(still, w)
	}
	e.writers = still
}
