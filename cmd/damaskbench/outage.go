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

// outageCommand measures service while a failure domain is out and when it is back.
type outageCommand struct{ options }

func (*outageCommand) Name() string { return "outage" }
func (*outageCommand) Synopsis() string {
	return "measure before, while and after a failure domain is taken out"
}
func (*outageCommand) Usage() string { return "damaskbench outage [flags]\n" }

func (o *outageCommand) SetFlags(f *flag.FlagSet) { o.flags(f) }

// The run: the first domain is out from outFrom to outTo. Five minutes each are compared.
const (
	outFrom   = 8 * time.Minute
	outTo     = 13 * time.Minute
	outWindow = 5 * time.Minute
	outSpan   = 22 * time.Minute // the longest time limit after the last window
)

func (o *outageCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := o.run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	return subcommands.ExitSuccess
}

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
		c.Span = outSpan
		c.Outage = bench.Outage{Domain: c.Deployment.Domains[0], From: outFrom, To: outTo}
		for _, from := range []time.Duration{outFrom - outWindow, outFrom, outTo} {
			c.Window = bench.Window{From: from, To: from + outWindow}
			phases = append(phases, c)
		}
	}
	points := bench.RunAll(phases, seeds, o.workers)
	for i := range points {
		points[i].Config.Policy = names[i%len(names)]
	}
	write(os.Stdout, points)
	return nil
}
