//go:build !race

// The tests in this file run without the race detector: a run is one goroutine and takes ten times longer with it.
// .ci/run has a step of its own for them. bench_test.go runs under the race detector too.

package bench

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
)

// The runs are short and repeat exactly. The tables of docs/MEASURES.md come from longer ones.
const (
	ciSpan      = 4 * time.Minute
	ciInstances = 6
	ciSeed      = 1
)

// ciConfig returns the configuration of one of the runs.
func ciConfig(d *Deployment, load float64, policy string) Config {
	return Config{Deployment: d, Instances: ciInstances, Load: load, Span: ciSpan, Seed: ciSeed, Policy: policy}
}

// Long prompts must neither slow down short and medium ones by more than a bound nor starve.
func TestCoteauShortSlowdownBound(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	point := RunAll([]Config{ciConfig(&Coteau, 0.8, PolicyDamaskshelf)}, []uint64{ciSeed}, 1)[0]
	short, medium := Slowdown(point.Full, point.WithoutLong, cost.Short, 0.95), Slowdown(point.Full, point.WithoutLong, cost.Medium, 0.95)
	t.Logf("slowdown of short %.3f, medium %.3f; memory %.2f", short, medium, point.Full.MaxMemoryShare)
	is.True(short <= 1.15)
	is.True(medium <= 1.35)
	is.True(point.Full.MaxMemoryShare <= 1)
	is.Equal(point.Full.Class[cost.Group].Refused+point.Full.Class[cost.Long].Refused, 0) // long prompts don't starve
}

// The first token of long prompts must come no later than under the best of the baselines, without slowing down short
// and medium prompts by more than a bound.
func TestASRQLongFirstTokenBound(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	point := RunAll([]Config{ciConfig(&ASRQ, 0.8, PolicyDamaskshelf)}, []uint64{ciSeed}, 1)[0]
	best := time.Hour
	for _, policy := range Policies[1:] {
		best = min(best, Run(ciConfig(&ASRQ, 0.8, policy)).Class[cost.Long].Quantile(0.95))
	}
	long := point.Full.Class[cost.Long].Quantile(0.95)
	short, medium := Slowdown(point.Full, point.WithoutLong, cost.Short, 0.95), Slowdown(point.Full, point.WithoutLong, cost.Medium, 0.95)
	t.Logf("long p95 %v, best baseline %v; slowdown of short %.3f, medium %.3f", long, best, short, medium)
	is.True(long <= best)
	is.True(short < 1.5)
	is.True(medium < 1.6)
}

// Above capacity the fleet must answer nearly as many requests in time as at capacity. Excess requests must be refused
// before engines work on them.
func TestGoodputAboveCapacityBound(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, d := range []*Deployment{&Coteau, &ASRQ} {
		atCapacity, above := Run(ciConfig(d, 1.0, PolicyDamaskshelf)), Run(ciConfig(d, 1.2, PolicyDamaskshelf))
		t.Logf("%s: goodput %.0f at 1.0, %.0f tokens/s at 1.2", d.Name, atCapacity.Goodput, above.Goodput)
		is.True(above.Goodput >= 0.9*atCapacity.Goodput)
		is.True(above.AnswerRate >= 0.9*atCapacity.AnswerRate)
	}
}

// Large workspaces must not starve small ones. Above capacity, workspaces that send less than their share receive
// nearly all answers in time, and the requests of the largest ones wait and are refused.
func TestSmallWorkspacesAreNotStarved(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const small = 0.1 // a small workspace's share of the traffic is at most this, the fair share of one in ten
	c := ciConfig(&ASRQ, 1.2, PolicyDamaskshelf)
	c.Span = 6 * time.Minute
	r := Run(c)
	for _, w := range tenWorkspaces {
		counts := r.Workspaces[w.Name]
		share := float64(counts.InTime) / float64(max(counts.Requests, 1))
		t.Logf("%s %.3f of %d", w.Name, share, counts.Requests)
		is.True(w.TrafficShare > small || share >= 0.98)
	}
}
