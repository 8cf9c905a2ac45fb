//go:build !race

// The simulations run without the race detector: each is a single goroutine and takes ten times longer with it. .ci/run
// runs them as a step of its own.

package dispatch_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/bench/passes"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
)

// Guards against long prompts that are answered late or refused although engines have time, which costs a fifth of
// their worth while the mix is long. Without sharing, each long answer occupies an engine's passes alone, and prefill
// beside streams keeps the slots of these streams in use. More long prompts are on time, for both workloads, if they
// are answered on engines that have streams, prefilled on engines without, and held back while engines have a backlog.
func TestLongAnswersShareEngines(t *testing.T) {
	is := is.New(t)
	withoutSharing := dispatch.DefaultParams()
	withoutSharing.CoLocationBonusMs, withoutSharing.StreamPenaltyMs, withoutSharing.MaxBacklogMs = 0, 0, math.Inf(1)
	for _, w := range passes.Workloads {
		play := passes.Scenario{Load: 1, LengthMs: 34_000}
		before := passes.MeanResult(w, passes.Dispatcher(w, withoutSharing), play, 8)
		after := passes.MeanResult(w, passes.Dispatcher(w, dispatch.DefaultParams()), play, 8)
		t.Logf("%s: long in time %.3f, was %.3f; all worth earned %.3f, was %.3f", w.Name, after.InTime["long"],
			before.InTime["long"], after.Earned, before.Earned)
		is.True(after.InTime["long"] > before.InTime["long"]+0.02)
		is.True(after.Earned > before.Earned)
	}
}
