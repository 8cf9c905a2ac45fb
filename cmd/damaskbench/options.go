package main

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/bench"
)

// options holds the flags that the experiments on package bench share.
type options struct {
	deployments string
	instances   string
	loads       string
	policies    string
	seeds       string
	span        time.Duration
	workers     int
}

// setFlags defines the flags of all options.
func (o *options) setFlags(f *flag.FlagSet) {
	f.StringVar(&o.deployments, "deployments", "coteau,asrq", "deployments")
	f.StringVar(&o.instances, "entries", "6,9", "numbers of entry instances")
	f.StringVar(&o.loads, "loads", "0.3,0.5,0.8,1.0,1.2", "offered loads, 1.0 = capacity")
	f.StringVar(&o.policies, "policies", strings.Join(bench.Policies, ","), "policies")
	f.StringVar(&o.seeds, "seeds", "1,2,3", "seeds; their figures are pooled")
	f.DurationVar(&o.span, "span", 20*time.Minute, "virtual time of each run, one minute of warm-up included")
	f.IntVar(&o.workers, "workers", 3, "runs at a time")
}

// findDeployment returns the deployment with the given name.
func findDeployment(name string) (*bench.Deployment, error) {
	for _, d := range []*bench.Deployment{&bench.Coteau, &bench.ASRQ} {
		if d.Name == name {
			return d, nil
		}
	}
	return nil, fmt.Errorf("deployment %q is not known; allowed: coteau, asrq", name)
}

// parseFloats parses a comma-separated list of numbers.
func parseFloats(list string) ([]float64, error) {
	var all []float64
	for _, s := range strings.Split(list, ",") {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil {
			return nil, fmt.Errorf("%q in %q: %w", s, list, err)
		}
		all = append(all, v)
	}
	return all, nil
}

// seedList returns the seeds that the flags name.
func (o *options) seedList() ([]uint64, error) {
	values, err := parseFloats(o.seeds)
	if err != nil {
		return nil, err
	}
	seeds := make([]uint64, len(values))
	for i, v := range values {
		seeds[i] = uint64(v)
	}
	return seeds, nil
}

// configs returns the runs that the flags select, ordered by deployment, number of instances, load and policy.
func (o *options) configs() ([]bench.Config, error) {
	instances, err := parseFloats(o.instances)
	if err != nil {
		return nil, err
	}
	loads, err := parseFloats(o.loads)
	if err != nil {
		return nil, err
	}
	var all []bench.Config
	for _, name := range strings.Split(o.deployments, ",") {
		d, err := findDeployment(name)
		if err != nil {
			return nil, err
		}
		for _, n := range instances {
			for _, load := range loads {
				for _, policy := range strings.Split(o.policies, ",") {
					all = append(all, bench.Config{Deployment: d, Instances: int(n), Load: load, Span: o.span, Policy: policy})
				}
			}
		}
	}
	return all, nil
}

// runAll runs the configurations that the flags select, and returns their figures.
func (o *options) runAll() ([]bench.Point, error) {
	configs, err := o.configs()
	if err != nil {
		return nil, err
	}
	seeds, err := o.seedList()
	if err != nil {
		return nil, err
	}
	return bench.RunAll(configs, seeds, o.workers), nil
}
