// Package dispatch decides which upstream of a service gets which request, for all instances of the fleet:
// one dispatcher sees every request of a service, waiting or under way, and so knows what reports tell late
// and each instance alone can't know at all.
//
// How an engine works, and what follows from it. It works in passes. A pass takes a number of steps for the
// requests that write, which all get an event at its end, and reads prompts between those steps: a long
// read makes every stream beside it pause. Reading costs the same wherever it is done, and a prompt can be
// read in even parts by several engines. So reads are cut thin and spread over the engines that have the
// time, and each engine takes no more reading into a pass than its streams bear; what writes is packed, so
// that few engines pay for the steps.
package dispatch

import (
	"time"
)

// Model is how a service's engines work; times in ms. A plain service has a nil Model.
type Model struct {
	Slots              int     // requests that are processed at once
	KVCacheTokens      int     // tokens of KV cache
	StepsPerPass       int     // steps of a pass that has writers
	StepMs             float64 // a step
	PerDecodeMs        float64 // a step, for each writer
	Per1000ContextMs   float64 // a step, for each 1,000 tokens of the writers' contexts
	PrefillTokensPerMs float64 // prompt tokens read in a ms
	MsPerMillionPairs  float64 // a million pairs of a token and any earlier one
	ChunkTokens        int     // prompt tokens read in a step, at most
}

const (
	million  = 1e6
	thousand = 1e3
)

// read is how long one engine reads a prompt alone, its steps included.
func (m *Model) read(tokens int) float64 {
	n := float64(tokens)
	steps := 1.0
	if m.ChunkTokens > 0 {
		steps = n/float64(m.ChunkTokens) + 1
	}
	return n/m.PrefillTokensPerMs + n*n/2/million*m.MsPerMillionPairs + steps*m.StepMs
}

// pass is how long a pass with so many writers of so much context takes, reading aside.
func (m *Model) pass(writers, context int) float64 {
	if writers == 0 {
		return m.StepMs
	}
	step := m.StepMs + m.PerDecodeMs*float64(writers) + m.Per1000ContextMs*float64(context)/thousand
	return float64(m.StepsPerPass) * step
}

func toMs(d time.Duration) float64    { return float64(d) / float64(time.Millisecond) }
func fromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
