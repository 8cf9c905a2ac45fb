package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/bench/passes"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
)

// coteau is the engine model of the Coteau workload.
var coteau = passes.Coteau.Model

// at returns the instant of the given time in ms.
func at(ms float64) decide.Instant { return decide.Instant(ms * float64(time.Millisecond)) }

// meanInTime runs four seeds of the flipping mix and returns, by kind of prompt, the mean share of its worth that is
// on time.
func meanInTime(p dispatch.Params, load float64) map[string]float64 {
	play := passes.Scenario{Load: load, LengthMs: 40_000}
	return passes.MeanResult(&passes.Coteau, passes.Dispatcher(&passes.Coteau, p), play, 4).InTime
}

// Guards against short prompts that are late while long ones share the fleet and the mix flips every ten seconds. With
// prefill spread over many engines and decoding packed, nearly all short and medium prompts are on time on 21 engines
// at the usual load, and most of the long ones' worth.
func TestFlippingMixMeetsTargets(t *testing.T) {
	is := is.New(t)
	got := meanInTime(dispatch.DefaultParams(), 0.85)
	t.Logf("in time: short %.3f, medium %.3f, long %.3f", got["short"], got["medium"], got["long"])
	is.True(got["short"] > 0.97)
	is.True(got["medium"] > 0.95)
	is.True(got["long"] > 0.70)
}

// With each prefill on one engine, long prompts take seconds longer, and their engines accept no short ones.
func TestSpreadPrefillServesMoreLongPrompts(t *testing.T) {
	is := is.New(t)
	noHelpers := dispatch.DefaultParams()
	noHelpers.MaxHelpers = 0
	one, many := meanInTime(noHelpers, 0.85), meanInTime(dispatch.DefaultParams(), 0.85)
	t.Logf("long in time: prefilled by one engine %.3f, by many %.3f", one["long"], many["long"])
	is.True(many["long"] > one["long"]+0.15)
}

// At a fifth above the usual load not all jobs can be on time. Jobs that cannot meet their target are passed over, so
// that the others still do.
func TestOverloadKeepsMostInTime(t *testing.T) {
	is := is.New(t)
	got := meanInTime(dispatch.DefaultParams(), 1.2)
	t.Logf("in time: short %.3f, medium %.3f, long %.3f", got["short"], got["medium"], got["long"])
	is.True(got["short"] > 0.75)
	is.True(got["medium"] > 0.85)
	is.True(got["long"] > 0.40)
}
