package bench

import (
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Bound is what no policy can go below on a run's arrivals: the first-token time of each prompt on an
// engine of its own that is idle the moment the prompt comes, where every block that any earlier prompt
// had is already cached. A prompt for a group has the fewest engines that hold it, all idle. The figures
// leave out the warm-up, as those of runs do.
func LowerBound(c Config) [cost.ClassCount]ClassFigures {
	w := newWorkload(c.Deployment, DefaultEngine, c.Instances, c.Seed)
	arrivals := w.make(c.Load, c.Span)
	return bound(arrivals, &w.model, c.Span)
}

func bound(arrivals []arrival, m *EngineModel, span time.Duration) [cost.ClassCount]ClassFigures {
	var figures [cost.ClassCount]ClassFigures
	seen := map[uint64]bool{}
	for i := range arrivals {
		a := &arrivals[i]
		first := isolated(a, m, seen) + 2*messageDelay
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

func isolated(a *arrival, m *EngineModel, seen map[uint64]bool) time.Duration {
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
