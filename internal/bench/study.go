package bench

import (
	"runtime"
	"sync"

	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
)

// Point is one configuration with its figures over several seeds.
type Point struct {
	Config      Config
	Full        *Result // the whole load
	WithoutLong *Result // the same short prompts without the long ones, same policy
	LowerBound  [cost.ClassCount]ClassFigures
}

// Study runs each configuration for each seed, at most workers runs at a time, and pools the seeds.
// Every run is a function of its configuration, so the figures don't depend on workers.
func RunAll(configs []Config, seeds []uint64, workers int) []Point {
	points := make([]Point, len(configs))
	gate := make(chan struct{}, max(1, min(workers, runtime.NumCPU())))
	var group sync.WaitGroup
	for i := range configs {
		group.Go(func() { points[i] = point(configs[i], seeds, gate) })
	}
	group.Wait()
	return points
}

func point(c Config, seeds []uint64, gate chan struct{}) Point {
	p := Point{Config: c}
	var with, alone []*Result
	for _, seed := range seeds {
		gate <- struct{}{}
		run := c
		run.Seed = seed
		with = append(with, Run(run))
		for class, f := range LowerBound(run) {
			p.LowerBound[class].Add(&f)
		}
		run.WithoutLong = true
		alone = append(alone, Run(run))
		<-gate
	}
	p.Full, p.WithoutLong = Merge(with), Merge(alone)
	return p
}
