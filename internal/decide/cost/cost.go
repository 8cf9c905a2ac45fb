// Package cost estimates the work of a prompt on an engine: its tokens less those of the prefix that the engine has
// cached. The cache contents are known from the engine's cache events, which arrive late and with gaps, so the result
// is an expected value and not a guarantee.
package cost

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Class is a prompt's length class. Routing, priorities and queues depend on it.
type Class uint8

// The length classes, from the shortest.
const (
	Short  Class = iota // up to ShortMax tokens
	Medium              // above ShortMax, below LongMin
	Long                // at least LongMin, fits one engine
	Group               // exceeds one engine's memory; held in parts by a group of engines
	ClassCount
)

// Bounds of the classes, in prompt tokens. LongMin follows from the expected load, in which one prompt in fifty has
// more than a hundred thousand tokens.
const (
	ShortMax = 8 * 1024
	LongMin  = 100_000
)

// String returns the name of the class in logs and metrics.
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

// UsesLanes reports whether prompts of the class are restricted to the long lanes, see package lane.
func (c Class) UsesLanes() bool { return c >= Long }

// ClassOf returns the class of a prompt of promptTokens with an answer of at most answerTokens, for engines that each
// hold memoryTokens of KV cache.
func ClassOf(promptTokens, answerTokens int, memoryTokens int64) Class {
	switch {
	case int64(promptTokens+answerTokens) > memoryTokens:
		return Group
	case promptTokens >= LongMin:
		return Long
	case promptTokens > ShortMax:
		return Medium
	default:
		return Short
	}
}

// Prompt holds the properties of a request that routing depends on.
type Prompt struct {
	Tokens          int      // prompt tokens
	MaxOutputTokens int      // largest number of tokens of the answer
	Blocks          []uint64 // chained hashes of the complete prefix blocks, see wire.Blocks
}

// MemoryTokens returns the most KV cache that the prompt and its answer may hold, in tokens.
func (p *Prompt) MemoryTokens() int64 { return int64(p.Tokens + p.MaxOutputTokens) }

// UncachedTokens returns the expected number of prompt tokens that the engine of the table must compute. A nil table
// counts as an empty cache. The engine always computes at least one token, which yields the first token of the answer.
func (p *Prompt) UncachedTokens(table *Table, now Instant) int {
	if table == nil {
		return p.Tokens
	}
	return max(p.Tokens-int(table.CachedTokens(p.Blocks, now)), 1)
}

// PrefillTime returns the time that an engine takes to compute the prompt tokens at rate tokens per second.
func PrefillTime(tokens, rate int64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / float64(rate) * float64(time.Second))
}

// blockTokens is the size of a prefix block in tokens, as a float for expected values.
const blockTokens = float64(wire.BlockTokens)
