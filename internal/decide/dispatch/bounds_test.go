//go:build !race

// These plays run without the race detector: a play is one goroutine, and takes ten times longer with it. .ci/run runs
// them as a step of its own.

package dispatch_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/bench/passes"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
)

// Guides and auditors ask over long records while the mix is long, and a fifth of those records' worth is answered late
// or refused though engines have the time: each long answer kept an engine's passes for itself, and reads beside
// streams kept their places taken. Answered where others are, read where nobody writes, and held back while engines
// have much to read, more of them are in time, on both customers' engines.
func TestLongAnswersShareEngines(t *testing.T) {
	is := is.New(t)
	apart := dispatch.DefaultParams()
	apart.CoLocationBonusMs, apart.StreamPenaltyMs, apart.MaxBacklogMs = 0, 0, math.Inf(1)
	for _, w := range passes.Workloads {
		play := passes.Play{Load: 1, Length: 34_000}
		before := passes.Mean(w, passes.Dispatcher(w, apart), play, 8)
		after := passes.Mean(w, passes.Dispatcher(w, dispatch.DefaultParams()), play, 8)
		t.Logf("%s: long in time %.3f, was %.3f; all worth earned %.3f, was %.3f", w.Name, after.InTime["long"],
			before.InTime["long"], after.Day, before.Day)
		is.True(after.InTime["long"] > before.InTime["long"]+0.02)
		is.True(after.Day > before.Day)
	}
}
