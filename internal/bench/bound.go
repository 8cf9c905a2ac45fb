package bench

import (
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// LowerBound returns first-token times that no policy can improve on for a run's arrivals. Each prompt has an engine
// of its own that is idle when the prompt arrives, and every block of any earlier prompt is cached there. A prompt for
// a group has the fewest engines that can hold it, all idle. Requests of the warm-up are left out, as in the figures
// of runs.
func LowerBound(c Config) [cost.ClassCount]ClassFigures {
	w := newWorkload(c.Deployment, DefaultEngine, c.Instances, c.Seed)
	arrivals := w.generate(c.Load, c.Span)
	return lowerBound(arrivals, &w.model, c.Span)
}

// lowerBound returns the figures of LowerBound for the given arrivals.
func lowerBound(arrivals []arrival, m *EngineModel, span time.Duration) [cost.ClassCount]ClassFigures {
	var figures [cost.ClassCount]ClassFigures
	seen := map[uint64]bool{}
	for i := range arrivals {
		a := &arrivals[i]
		first := isolatedPrefillTime(a, m, seen) + 2*messageDelay
		if a.at.Sub(0) < warmUp || a.deadline.Sub(0) > span {
			continue
		}
		figures[a.class].Requests++
		figures[a.class].FirstToken = append(figures[a.class].FirstToken, first)
	}
	for c := range figures {
		slices.Sort(figures[c].FirstToken)
	}
	return figures
}

// isolatedPrefillTime returns the prefill time of a request on idle engines that cache the blocks in seen, and adds
// the request's blocks to seen.
func isolatedPrefillTime(a *arrival, m *EngineModel, seen map[uint64]bool) time.Duration {
	if a.class == cost.Group {
		members := int(a.prompt.MemoryTokens()/m.KVCacheTokens) + 1
		return m.prefillTime(int(float64(a.prompt.Tokens)*(1+groupOverhead)) / members)
	}
	tokens, prefix := a.prompt.Tokens, true
	for _, hash := range a.prompt.Blocks {
		prefix = prefix && seen[hash]
		if prefix {
			tokens -= wire.BlockTokens
		}
		seen[hash] = true
	}
	return m.prefillTime(max(tokens, 1))
}
