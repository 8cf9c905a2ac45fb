// Package dispatch decides which upstream of a service receives which request, for all instances of the fleet. One
// dispatcher knows every request of a service, queued or in flight. A single instance does not know the requests of the
// others, and sees their load only later in reports.
//
// An engine works in passes. A pass makes a number of decode steps for all decoding requests, each of which emits an
// event at the end of the pass, and prefills prompts between these steps. A long prefill therefore delays the events
// of every stream on the same engine.
//
// Prefill costs the same on every engine, and several engines can each prefill an even part of one prompt. The
// dispatcher splits long prefills into small parts on engines that have time for them, and gives an engine no more
// prefill per pass than the longest event gap of its streams allows. It packs decoding requests onto few engines, so
// that few engines spend time on decode steps.
package dispatch

import (
	"time"
)

// Model describes the speed and the capacity of a service's engines. A plain service has a nil Model.
type Model struct {
	Slots              int     // requests that an engine processes at once
	KVCacheTokens      int     // size of an engine's KV cache
	StepsPerPass       int     // decode steps of a pass, if any request decodes
	StepMs             float64 // base time of a step
	PerDecodeMs        float64 // added to a step for each decoding request
	Per1000ContextMs   float64 // added to a step for each 1,000 tokens of the decoding requests' contexts
	PrefillTokensPerMs float64 // prompt tokens prefilled in a ms, apart from attention
	MsPerMillionPairs  float64 // attention time of prefill for a million pairs of a token and an earlier one
	ChunkTokens        int     // most prompt tokens that are prefilled in a step; 0: no bound
}

const (
	million  = 1e6
	thousand = 1e3
)

// prefillMs returns the time that one otherwise idle engine needs to prefill a prompt, its steps included.
func (m *Model) prefillMs(tokens int) float64 {
	n := float64(tokens)
	steps := 1.0
	if m.ChunkTokens > 0 {
		steps = n/float64(m.ChunkTokens) + 1
	}
	return n/m.PrefillTokensPerMs + n*n/2/million*m.MsPerMillionPairs + steps*m.StepMs
}

// passMs returns the time of a pass with the given number of decoding requests and tokens of their contexts, without
// any prefill. A pass without decoding requests is a single step.
func (m *Model) passMs(decoding, contextTokens int) float64 {
	if decoding == 0 {
		return m.StepMs
	}
	step := m.StepMs + m.PerDecodeMs*float64(decoding) + m.Per1000ContextMs*float64(contextTokens)/thousand
	return float64(m.StepsPerPass) * step
}

func toMs(d time.Duration) float64    { return float64(d) / float64(time.Millisecond) }
func fromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
