// Package demo runs a whole local fleet: stand-ins of platform and upstreams, several entry instances, and
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

// Options of a run.
type Options struct {
	Profile   string // coteau or asrq
	Fault     string // one of Faults, or empty
	Instances int
	Requests  int     // in each phase
	Rate      float64 // requests a second
	TimeScale float64 // engine seconds in one second
	Seed      uint64
	Serve     bool // keep the fleet up until the context ends
	Log       hclog.Logger
	Out       io.Writer
}

// Defaults of Options.
const (
	DefaultInstances = 3
	DefaultRequests  = 200
	DefaultRate      = 40
	DefaultTimeScale = 20
)

// ErrBroken: an answer was not whole, not its caller's, or said something untrue about what ran.
var ErrCheckFailed = errors.New("a promise was broken")

// Profiles names the profiles.
func Profiles() []string { return slices.Sorted(maps.Keys(profiles)) }

// Run runs the demo; ErrBroken is in its error when an answer broke a promise.
func Run(ctx context.Context, o Options) error {
	p, ok := profiles[o.Profile]
	if !ok {
		return fmt.Errorf("profile: %q is not allowed; allowed: %v", o.Profile, Profiles())
	}
	fault, ok := faultNamed(o.Fault)
	if !ok {
		return fmt.Errorf("fault: %q is not allowed; allowed: %v", o.Fault, Faults())
	}
	fmt.Fprintf(o.Out, "%s: %d failure domains, %d engines, %d instances of %s, %d entry instances\n",
		p.Name, len(p.Domains), p.EnginesPerDomain*len(p.Domains), p.ServiceInstances, p.Service, o.Instances)
	f, err := start(p, o)
	if err != nil {
		return fmt.Errorf("start the fleet: %w", err)
	}
	defer f.Close()
	d := &run{o: o, p: p, fleet: f, client: caller.New(), work: newWorkload(p, o.Seed)}
	defer d.client.Close()
	if o.Serve {
		return d.serve(ctx)
	}
	return d.phases(ctx, fault)
}

func start(p Profile, o Options) (*local.Fleet, error) {
	engines := p.EnginesPerDomain * len(p.Domains)
	return local.Start(local.Config{
		Entries: o.Instances, Log: o.Log,
		Intent: api.Intent{Models: []api.Model{{Name: p.Model, Version: cluster.ModelVersion, Replicas: engines, Floor: 2}}},
		Cluster: cluster.Config{
			Domains: p.Domains, Region: p.Region, EnginesPerDomain: p.EnginesPerDomain, Models: []string{p.Model},
			Service: p.Service, Services: p.ServiceInstances, TimeScale: o.TimeScale, Seed: o.Seed,
			Engine: engine.Config{Fencing: true},
		},
		Tune: func(s *api.Settings) { s.Profile = p.Routing },
	})
}

// run is one demo under way.
type run struct {
	o      Options
	p      Profile
	fleet  *local.Fleet
	client *caller.Client
	work   *workload
}

// serve keeps the fleet up and says how to use it.
func (d *run) serve(ctx context.Context) error {
	n := d.fleet.Nodes[0]
	fmt.Fprintf(d.o.Out, "\ncallers:   %s\noperators: %s\n\n", n.CallersAddr(), n.OperatorsAddr())
	fmt.Fprintf(d.o.Out, "curl -N http://%s/v1/completions -d '{\"model\":\"%s\",\"prompt\":\"How thick is the ice?\",\"max_tokens\":12,\"stream\":true}'\n",
		n.CallersAddr(), d.p.Model)
	fmt.Fprintf(d.o.Out, "damaskctl status -addr %s\n", n.OperatorsAddr())
	<-ctx.Done()
	return nil
}

// phases sends the load: once without a fault; before, during and after with one.
func (d *run) phases(ctx context.Context, f fault) error {
	names := []string{"no fault"}
	if f.on != nil {
		names = []string{"before", "during " + f.name, "after"}
	}
	var all []sample
	for i, name := range names {
		if err := d.switchFault(f, i); err != nil {
			return err
		}
		samples := d.load(ctx)
		if err := table(d.o.Out, name, samples); err != nil {
			return err
		}
		all = append(all, samples...)
	}
	return d.verdict(all)
}

func (d *run) switchFault(f fault, phase int) error {
	switch {
	case f.on != nil && phase == 1:
		return f.on(d)
	case f.off != nil && phase == 2:
		return f.off(d)
	}
	return nil
}

// load sends the phase's requests at the rate, each from a caller of its own, and waits for all answers.
func (d *run) load(ctx context.Context) []sample {
	samples := make([]sample, d.o.Requests)
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / d.o.Rate))
	defer tick.Stop()
	sent := 0
	for ; sent < len(samples) && ctx.Err() == nil; sent++ {
		q := d.work.request()
		q.Addr = d.fleet.Nodes[sent%len(d.fleet.Nodes)].CallersAddr()
		slot := &samples[sent]
		wg.Add(1)
		go func() {
			defer wg.Done()
			*slot = sample{q: q, r: d.client.Do(q)}
		}()
		<-tick.C
	}
	wg.Wait()
	return samples[:sent]
}

func (d *run) verdict(all []sample) error {
	var broken []string
	for _, s := range all {
		if b := s.broken(); b != "" {
			broken = append(broken, s.q.ID+": "+b)
		}
	}
	broken = append(broken, brokenCommands(all, d.fleet.Cluster.Ledger.RunsByRequest())...)
	if len(broken) == 0 {
		fmt.Fprintf(d.o.Out, "%d requests: every answer was whole and its own caller's\n", len(all))
		return nil
	}
	for _, b := range broken {
		fmt.Fprintln(d.o.Out, b)
	}
	return fmt.Errorf("%w: %d of %d requests", ErrCheckFailed, len(broken), len(all))
}
