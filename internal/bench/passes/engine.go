package passes

import (
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Engine is the model of the engines of the first small deployment; times in ms.
var Engine = dispatch.Model{
	Slots: 16, Memory: 450_000, Stride: 46, Step: 0.925, PerWriter: 0.00483, PerContext: 0.00254, ReadPerMs: 256,
	PairsPerM: 0.0917, Chunk: 2048,
}

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
	reads   []*part
	writers []*Job
	passEnd float64 // ms; of the pass under way
	busy    bool
	done    []*part // that the pass under way finishes
}

// part is an engine's share of reading a prompt.
type part struct {
	job  *Job
	left float64 // ms of reading
}

// reading is how long one engine reads a prompt, its steps aside.
func reading(tokens int) float64 {
	n := float64(tokens)
	return n/Engine.ReadPerMs + n*n/2/million*Engine.PairsPerM
}

// begin begins a pass.
func (e *engine) begin(now float64) {
	steps, context := 1, 0
	if len(e.writers) > 0 {
		steps = Engine.Stride
	}
	for _, w := range e.writers {
		context += w.Prompt
	}
	step := Engine.Step + Engine.PerWriter*float64(len(e.writers)) + Engine.PerContext*float64(context)/thousand
	length := float64(steps) * step
	budget := float64(steps*Engine.Chunk) / Engine.ReadPerMs * 2 // with the pairs, about
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
