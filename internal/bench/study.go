package bench

import (
	"runtime"
	"sync"

	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
)

// Point holds one configuration and its figures, pooled over several seeds.
type Point struct {
	Config      Config
	Full        *Result // all prompts
	WithoutLong *Result // the same run without its long prompts
	LowerBound  [cost.ClassCount]ClassFigures
}

// RunAll runs each configuration with each seed, at most workers runs at a time, and pools the figures of the seeds.
// Each run depends only on its configuration, so the figures do not depend on workers.
func RunAll(configs []Config, seeds []uint64, workers int) []Point {
	points := make([]Point, len(configs))
	slots := make(chan struct{}, max(1, min(workers, runtime.NumCPU())))
	var group sync.WaitGroup
	for i := range configs {
		group.Go(func() { points[i] = runPoint(configs[i], seeds, slots) })
	}
	group.Wait()
	return points
}

// runPoint runs one configuration with all seeds. It occupies one of the slots while it runs a seed.
func runPoint(c Config, seeds []uint64, slots chan struct{}) Point {
	p := Point{Config: c}
	var with, alone []*Result
	for _, seed := range seeds {
		slots <- struct{}{}
		run := c
		run.Seed = seed
		with = append(with, Run(run))
		for class, f := range LowerBound(run) {
			p.LowerBound[class].Add(&f)
		}
		run.WithoutLong = true
		alone = append(alone, Run(run))
		<-slots
	}
	p.Full, p.WithoutLong = Merge(with), Merge(alone)
	return p
}
