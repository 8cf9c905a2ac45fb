package dispatch_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/bench/passes"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// filledEngines returns the engines on which a dispatcher places n short prompts, of a thousand idle ones.
func filledEngines(key string, n int) map[fleet.UpstreamID]bool {
	m := passes.Coteau.Model
	s := dispatch.New(&m, dispatch.DefaultParams())
	s.SetOrderKey(key)
	s.SetUpstreams(newUpstreams(1000, "a"))
	filled := map[fleet.UpstreamID]bool{}
	for i := range n {
		s.Ask(newJob(fmt.Sprint(key, i), 4960))
	}
	for _, d := range s.Step(at(0)) {
		filled[d.Upstream] = true
	}
	return filled
}

// Guards against two dispatchers at one time that fill the same few engines while hundreds are idle: their streams pause,
// and upstreams preempt and cut them.
func TestTwoDispatchersFillOtherEngines(t *testing.T) {
	is := is.New(t)
	const prompts = 100
	first, second := filledEngines("i1", prompts), filledEngines("i2", prompts)
	is.True(len(first) > 0)
	common := 0
	for id := range first {
		if second[id] {
			common++
		}
	}
	is.True(common*4 < len(first))
}
