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
	// maxMs is the longest time, in ms, that is represented: some months. Sums of such times stay finite, so that work that
	// was added to an engine with the figures of one configuration can be subtracted after the next.
	maxMs = 1e10
)

// prefillMs returns the time that one otherwise idle engine needs to prefill a prompt, its steps included. It is between 0
// and maxMs for any figures.
func (m *Model) prefillMs(tokens int) float64 {
	n := float64(tokens)
	steps := 1.0
	if m.ChunkTokens > 0 {
		steps = n/float64(m.ChunkTokens) + 1
	}
	return boundedMs(n/m.PrefillTokensPerMs + n*n/2/million*m.MsPerMillionPairs + steps*m.StepMs)
}

// passMs returns the time of a pass with the given number of decoding requests and tokens of their contexts, without
// any prefill. A pass without decoding requests is a single step. It is between 0 and maxMs for any figures.
func (m *Model) passMs(decoding, contextTokens int) float64 {
	if decoding == 0 {
		return boundedMs(m.StepMs)
	}
	step := m.StepMs + m.PerDecodeMs*float64(decoding) + m.Per1000ContextMs*float64(contextTokens)/thousand
	return boundedMs(float64(m.StepsPerPass) * step)
}

// passes returns the number of passes that decode so many tokens.
func (m *Model) passes(outputTokens int) float64 {
	return float64(max(0, outputTokens)) / float64(max(1, m.StepsPerPass))
}

// IdleFirstEvent returns the time in which one idle engine prefills a prompt and makes the first event of its answer.
func (m *Model) IdleFirstEvent(promptTokens int) time.Duration {
	return fromMs(m.prefillMs(promptTokens) + m.passMs(1, promptTokens))
}

// IdleAnswerMs returns the time in ms in which one idle engine prefills a prompt and decodes the longest answer to it.
func (m *Model) IdleAnswerMs(promptTokens, maxOutputTokens int) float64 {
	return boundedMs(m.prefillMs(promptTokens) + m.passes(maxOutputTokens)*m.passMs(1, promptTokens+maxOutputTokens))
}

// boundedMs limits a time in ms to the range from 0 to maxMs. One that is not a number becomes maxMs.
func boundedMs(ms float64) float64 {
	if !(ms < maxMs) {
		return maxMs
	}
	return max(0, ms)
}

func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// fromMs returns the duration of ms, at most maxMs.
func fromMs(ms float64) time.Duration {
	return time.Duration(boundedMs(ms) * float64(time.Millisecond))
}
