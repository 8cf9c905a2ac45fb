// Package cost says what a prompt costs on an engine: its tokens less those whose prefix the engine
// already has in its cache. What an engine has cached is known from its cache events, which come late and
// with gaps, so the package gives an expectation and never a promise.
package cost

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Class is a prompt's length class. Routing, priorities and queues go by it.
type Class uint8

// The length classes, from the shortest.
const (
	Short  Class = iota // up to ShortMax tokens
	Medium              // above ShortMax, below LongMin
	Long                // from LongMin, fits one engine
	Group               // more than one engine's memory: held in parts by a group of engines
	ClassCount
)

// Bounds of the classes, in prompt tokens. LongMin is the length that the users' letter names ("one in
// fifty is over a hundred thousand").
const (
	ShortMax = 8 * 1024
	LongMin  = 100_000
)

// String gives the class as it stands in logs and metrics.
func (c Class) String() string {
	switch c {
	case Short:
		return "short"
	case Medium:
		return "medium"
	case Long:
		return "long"
	default:
		return "group"
	}
}

// Lane tells whether prompts of the class stay on the long lanes.
func (c Class) UsesLanes() bool { return c >= Long }

// ClassOf gives the class of a prompt of that many tokens, its answer included, where one engine holds
// memory tokens of KV cache.
func ClassOf(prompt, answer int, memory int64) Class {
	switch {
	case int64(prompt+answer) > memory:
		return Group
	case prompt >= LongMin:
		return Long
	case prompt > ShortMax:
		return Medium
	default:
		return Short
	}
}

// Prompt is what routing needs to know of a request.
type Prompt struct {
	Tokens          int      // prompt tokens
	MaxAnswerTokens int      // most tokens of its answer
	Blocks          []uint64 // chained hashes of its whole prefix blocks, wire.Blocks
}

// Memory is the KV cache that the prompt may come to hold, in tokens.
func (p *Prompt) MemoryTokens() int64 { return int64(p.Tokens + p.MaxAnswerTokens) }

// On gives the prompt tokens that the engine behind table is expected to compute. A nil table knows of no
// cached block. At least one token is always computed: it gives the first token of the answer.
func (p *Prompt) UncachedTokens(table *Table, now Instant) int {
	if table == nil {
		return p.Tokens
	}
	return max(p.Tokens-int(table.CachedTokens(p.Blocks, now)), 1)
}

// Time is how long an engine takes to compute that many prompt tokens at rate tokens a second.
func PrefillTime(tokens, rate int64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / float64(rate) * float64(time.Second))
}

// blockTokens is the size of a prefix block as a float, for expectations.
const blockTokens = float64(wire.BlockTokens)
