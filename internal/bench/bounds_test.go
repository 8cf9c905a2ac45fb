//go:build !race

// The bounds run without the race detector: a run is one goroutine, and takes ten times longer with it.
// .ci/run runs them as a step of its own; bench_test.go runs under the race detector too.

package bench

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
)

// The runs are short and repeat exactly. The tables of docs/MEASURES.md come from longer ones. A bound is a
// little above what was measured when it was set.
const (
	ciSpan    = 4 * time.Minute
	ciEntries = 6
	ciSeed    = 1
)

func ciRun(d *Deployment, load float64, policy string) Config {
	return Config{Deployment: d, Instances: ciEntries, Load: load, Span: ciSpan, Seed: ciSeed, Policy: policy}
}

// The angler's short question must not slow down because guides ask over long lake logs.
func TestCoteauShortSlowdownBound(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := RunAll([]Config{ciRun(&Coteau, 0.8, PolicyDamaskshelf)}, []uint64{ciSeed}, 1)[0]
	short, medium := Slowdown(p.Full, p.WithoutLong, cost.Short, 0.95), Slowdown(p.Full, p.WithoutLong, cost.Medium, 0.95)
	t.Logf("slowdown of short %.3f, medium %.3f; memory %.2f", short, medium, p.Full.MaxMemoryShare)
	is.True(short <= 1.15)
	is.True(medium <= 1.35)
	is.True(p.Full.MaxMemoryShare <= 1)
	is.Equal(p.Full.Class[cost.Group].Refused+p.Full.Class[cost.Long].Refused, 0) // long ones don't starve
}

// The dossier's first token must come no later than by the best of the named baselines.
func TestASRQLongFirstTokenBound(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ours := RunAll([]Config{ciRun(&ASRQ, 0.8, PolicyDamaskshelf)}, []uint64{ciSeed}, 1)[0]
	best := time.Hour
	for _, policy := range Policies[1:] {
		best = min(best, Run(ciRun(&ASRQ, 0.8, policy)).Class[cost.Long].Quantile(0.95))
	}
	long := ours.Full.Class[cost.Long].Quantile(0.95)
	short, medium := Slowdown(ours.Full, ours.WithoutLong, cost.Short, 0.95), Slowdown(ours.Full, ours.WithoutLong, cost.Medium, 0.95)
	t.Logf("long p95 %v, best baseline %v; slowdown of short %.3f, medium %.3f", long, best, short, medium)
	is.True(long <= best)
	is.True(short < 1.5)
	is.True(medium < 1.6)
}

// Above capacity the fleet must go on answering as many in time as at capacity: refusals come before work.
func TestGoodputAboveCapacityBound(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, d := range []*Deployment{&Coteau, &ASRQ} {
		full, over := Run(ciRun(d, 1.0, PolicyDamaskshelf)), Run(ciRun(d, 1.2, PolicyDamaskshelf))
		t.Logf("%s: goodput %.0f at 1.0, %.0f tokens/s at 1.2", d.Name, full.Goodput, over.Goodput)
		is.True(over.Goodput >= 0.9*full.Goodput)
		is.True(over.AnswerRate >= 0.9*full.AnswerRate)
	}
}

// Small workspaces must not pay for a large one: above capacity those that ask for less than their share
// have nearly all answered in time, and the largest waits and is refused.
func TestSmallWorkspacesAreNotStarved(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const small = 0.1 // part of the traffic, below the share of one in ten
	c := ciRun(&ASRQ, 1.2, PolicyDamaskshelf)
	c.Span = 6 * time.Minute
	r := Run(c)
	for _, w := range tenWorkspaces {
		served := r.Workspaces[w.Name]
		share := float64(served.InTime) / float64(max(served.Requests, 1))
		t.Logf("%s %.3f of %d", w.Name, share, served.Requests)
		is.True(w.TrafficShare > small || share >= 0.98)
	}
}
