// Package demo runs a complete fleet in one process: stand-ins of the platform and of upstreams, several instances, and
// callers that check every answer.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/caller"
	"github.com/damaskshelf/damaskshelf/internal/local"
	"github.com/damaskshelf/damaskshelf/internal/standin/cluster"
	"github.com/damaskshelf/damaskshelf/internal/standin/engine"
)

// Options holds the parameters of a run.
type Options struct {
	Profile   string  // coteau or asrq
	Fault     string  // one of Faults, or empty
	Instances int     // of damaskshelf
	Requests  int     // in each phase
	Rate      float64 // requests a second
	TimeScale float64 // engine seconds in one second
	Seed      uint64  // of the stand-ins and of the load
	Serve     bool    // keep the fleet up until the context ends
	Log       hclog.Logger
	Out       io.Writer
}

// Defaults of Options. DefaultRate is in requests a second, DefaultTimeScale in engine seconds in one second.
const (
	DefaultInstances = 3
	DefaultRequests  = 200
	DefaultRate      = 40
	DefaultTimeScale = 20
)

// ErrCheckFailed is returned if an answer was incomplete, did not match its request, or was untrue about whether the
// request ran.
var ErrCheckFailed = errors.New("a check failed")

// Profiles returns the sorted names of the profiles.
func Profiles() []string { return slices.Sorted(maps.Keys(profiles)) }

// Run runs the demo. Its error wraps ErrCheckFailed if an answer failed a check.
func Run(ctx context.Context, o Options) error {
	p, ok := profiles[o.Profile]
	if !ok {
		return fmt.Errorf("profile: %q is not allowed; allowed: %v", o.Profile, Profiles())
	}
	fault, ok := findFault(o.Fault)
	if !ok {
		return fmt.Errorf("fault: %q is not allowed; allowed: %v", o.Fault, Faults())
	}
	fmt.Fprintf(o.Out, "%s: %d failure domains, %d engines, %d instances of %s, %d entry instances\n",
		p.Name, len(p.Domains), p.EnginesPerDomain*len(p.Domains), p.ServiceInstances, p.Service, o.Instances)
	f, err := startFleet(p, o)
	if err != nil {
		return fmt.Errorf("start the fleet: %w", err)
	}
	defer f.Close()
	d := &run{opts: o, profile: p, fleet: f, client: caller.New(), workload: newWorkload(p, o.Seed)}
	defer d.client.Close()
	if o.Serve {
		return d.serve(ctx)
	}
	return d.runPhases(ctx, fault)
}

// startFleet starts a fleet that serves the profile's model and plain service.
func startFleet(p Profile, o Options) (*local.Fleet, error) {
	engines := p.EnginesPerDomain * len(p.Domains)
	return local.Start(local.Config{
		Instances: o.Instances, Log: o.Log,
		Intent: api.Intent{Models: []api.Model{{Name: p.Model, Version: cluster.ModelVersion, Replicas: engines, Floor: 2}}},
		Cluster: cluster.Config{
			Domains: p.Domains, Region: p.Region, EnginesPerDomain: p.EnginesPerDomain, Models: []string{p.Model},
			Service: p.Service, Services: p.ServiceInstances, TimeScale: o.TimeScale, Seed: o.Seed,
			Engine: engine.Config{Fencing: true},
		},
		EditSettings: func(s *api.Settings) { s.Profile = p.Routing },
	})
}

// run is one run of the demo.
type run struct {
	opts     Options
	profile  Profile
	fleet    *local.Fleet
	client   *caller.Client
	workload *workload
}

// serve prints how to use the fleet and keeps it up until ctx ends.
func (d *run) serve(ctx context.Context) error {
	n := d.fleet.Nodes[0]
	fmt.Fprintf(d.opts.Out, "\ncallers:   %s\noperators: %s\n\n", n.CallersAddr(), n.OperatorsAddr())
	fmt.Fprintf(d.opts.Out, "curl -N http://%s/v1/completions -d '{\"model\":\"%s\",\"prompt\":\"How thick is the ice?\",\"max_tokens\":12,\"stream\":true}'\n",
		n.CallersAddr(), d.profile.Model)
	fmt.Fprintf(d.opts.Out, "damaskctl status -addr %s\n", n.OperatorsAddr())
	<-ctx.Done()
	return nil
}

// runPhases sends the load once if there is no fault, and otherwise before, during and after the fault. It then checks
// all answers.
func (d *run) runPhases(ctx context.Context, f fault) error {
	phases := []string{"no fault"}
	if f.on != nil {
		phases = []string{"before", "during " + f.name, "after"}
	}
	var all []sample
	for i, name := range phases {
		if err := d.switchFaultAt(f, i); err != nil {
			return err
		}
		samples := d.sendLoad(ctx)
		if err := printTable(d.opts.Out, name, samples); err != nil {
			return err
		}
		all = append(all, samples...)
	}
	return d.checkSamples(all)
}

// switchFaultAt switches the fault on at the start of phase 1 and off at the start of phase 2.
func (d *run) switchFaultAt(f fault, phase int) error {
	switch {
	case f.on != nil && phase == 1:
		return f.on(d)
	case f.off != nil && phase == 2:
		return f.off(d)
	}
	return nil
}

// sendLoad sends the requests of one phase at the configured rate, to each instance in turn, without waiting for earlier
// answers. It returns after the last answer. If ctx ends, it sends no further requests.
func (d *run) sendLoad(ctx context.Context) []sample {
	samples := make([]sample, d.opts.Requests)
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / d.opts.Rate))
	defer tick.Stop()
	sent := 0
	for ; sent < len(samples) && ctx.Err() == nil; sent++ {
		q := d.workload.nextRequest()
		q.Addr = d.fleet.Nodes[sent%len(d.fleet.Nodes)].CallersAddr()
		s := &samples[sent]
		wg.Add(1)
		go func() {
			defer wg.Done()
			*s = sample{request: q, result: d.client.Do(q)}
		}()
		<-tick.C
	}
	wg.Wait()
	return samples[:sent]
}

// checkSamples prints every violation, and returns ErrCheckFailed if there is one.
func (d *run) checkSamples(all []sample) error {
	var violations []string
	for _, s := range all {
		if v := s.violation(); v != "" {
			violations = append(violations, s.request.ID+": "+v)
		}
	}
	violations = append(violations, commandViolations(all, d.fleet.Cluster.Ledger.RunsByRequest())...)
	if len(violations) == 0 {
		fmt.Fprintf(d.opts.Out, "%d requests: every answer was complete and matched its request\n", len(all))
		return nil
	}
	for _, v := range violations {
		fmt.Fprintln(d.opts.Out, v)
	}
	return fmt.Errorf("%w: %d of %d requests", ErrCheckFailed, len(violations), len(all))
}
