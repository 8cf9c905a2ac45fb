package reach_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/reach"
)

func at(ms int) decide.Instant { return decide.Instant(time.Duration(ms) * time.Millisecond) }

// A single failed path leaves the order for other upstreams as it is; a second one without a direct connection in between
// makes the instance try both ways everywhere.
func TestOrderFollowsFailedPaths(t *testing.T) {
	is := is.New(t)
	p := reach.New()
	is.Equal(p.Order("a"), reach.DirectFirst)
	is.True(p.Failed(at(1), "a"))
	is.True(!p.Failed(at(2), "a"))
	is.Equal(p.Order("a"), reach.ThroughOther)
	is.Equal(p.Order("b"), reach.DirectFirst)
	is.True(p.Failed(at(3), "b"))
	is.True(p.CutOff())
	is.Equal(p.Order("c"), reach.Both)
	is.True(!p.Connected(at(4), "c"))
	is.True(!p.CutOff())
	is.Equal(p.Order("a"), reach.ThroughOther) // the path to c says nothing about this one
}

// Guards against work that keeps going through other instances for seconds after a cut has ended: one path that works
// again makes the instance try all others too.
func TestRestoredPathMakesOthersUncertain(t *testing.T) {
	is := is.New(t)
	p := reach.New()
	for _, addr := range []string{"a", "b", "c"} {
		p.Failed(at(1), addr)
	}
	is.True(p.Connected(at(500), "b"))
	is.Equal(p.Order("a"), reach.Both)
	is.Equal(p.Order("b"), reach.DirectFirst)
	p.Failed(at(600), "a")
	is.Equal(p.Order("a"), reach.ThroughOther)
	is.Equal(p.FailedCount(), 2)
	p.Forget(func(addr string) bool { return addr == "a" })
	is.Equal(p.FailedCount(), 1)
}

// Every failed path is probed within a few seconds, and the probes of hundreds stay within a rate.
func TestProbesReachEveryFailedPath(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "paths")
		p := reach.New()
		for i := range n {
			p.Failed(at(i), fmt.Sprint(i))
		}
		probed := map[string]int{}
		const limit = 5000
		for now := 0; now < limit; now += 10 {
			if addr, ok := p.NextProbe(at(now)); ok {
				probed[addr]++
			}
		}
		total := 0
		for i := range n {
			if probed[fmt.Sprint(i)] == 0 {
				t.Fatalf("path %d of %d was not probed", i, n)
			}
			total += probed[fmt.Sprint(i)]
		}
		if total > limit/50+1 {
			t.Fatalf("%d probes in %d ms", total, limit)
		}
	})
}
