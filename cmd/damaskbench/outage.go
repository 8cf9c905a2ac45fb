package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/damaskshelf/damaskshelf/internal/bench"
)

// outageCommand measures the service before, during and after the time in which a failure domain is out of service.
type outageCommand struct{ options }

func (*outageCommand) Name() string { return "outage" }
func (*outageCommand) Synopsis() string {
	return "measure before, while and after a failure domain is taken out"
}
func (*outageCommand) Usage() string { return "damaskbench outage [flags]\n" }

func (o *outageCommand) SetFlags(f *flag.FlagSet) { o.setFlags(f) }

// The first failure domain is out of service from outageStart to outageEnd. The run compares five minutes before,
// during and after the outage.
const (
	outageStart = 8 * time.Minute
	outageEnd   = 13 * time.Minute
	phaseLength = 5 * time.Minute
	outageSpan  = 22 * time.Minute // leaves time for the longest timeout after the last window
)

// Execute prints the tables of the phases before, during and after the outage.
func (o *outageCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := o.run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	return subcommands.ExitSuccess
}

// run measures the three phases of each configuration and prints them as policies of one table.
func (o *outageCommand) run() error {
	o.policies = bench.PolicyDamaskshelf
	configs, err := o.configs()
	if err != nil {
		return err
	}
	seeds, err := o.seedList()
	if err != nil {
		return err
	}
	names := []string{"before", "out", "back"}
	var phases []bench.Config
	for _, c := range configs {
		c.Span = outageSpan
		c.Outage = bench.Outage{Domain: c.Deployment.Domains[0], From: outageStart, To: outageEnd}
		for _, from := range []time.Duration{outageStart - phaseLength, outageStart, outageEnd} {
			c.Window = bench.Window{From: from, To: from + phaseLength}
			phases = append(phases, c)
		}
	}
	points := bench.RunAll(phases, seeds, o.workers)
	for i := range points {
		points[i].Config.Policy = names[i%len(names)]
	}
	writeTables(os.Stdout, points)
	return nil
}
