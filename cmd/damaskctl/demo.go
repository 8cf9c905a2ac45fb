package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/internal/demo"
)

// demoVerb runs a whole fleet of stand-ins and entry instances in this process.
type demoVerb struct {
	o     demo.Options
	level string
}

func (*demoVerb) Name() string { return "demo" }

func (*demoVerb) Synopsis() string {
	return "run stand-ins and entry instances in one process and send them a mixed load"
}

func (*demoVerb) Usage() string {
	return `damaskctl demo [-profile coteau|asrq] [-fault NAME] [-serve]
  Starts stand-ins of the platform and of upstreams, and entry instances on loopback, sends prompts of
  1k to 1M tokens and bookings, and shows first-token time by prompt length, refusals and bookings.
  Exit status 0 only if every answer was whole and its own caller's.
  Faults: ` + strings.Join(demo.Faults(), ", ") + `
`
}

func (v *demoVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.o.Profile, "profile", "coteau", "users' deployment: "+strings.Join(demo.Profiles(), " or "))
	f.StringVar(&v.o.Fault, "fault", "", "fault switched on for the second of three phases")
	f.IntVar(&v.o.Instances, "entries", demo.DefaultInstances, "entry instances")
	f.IntVar(&v.o.Requests, "n", demo.DefaultRequests, "requests in each phase")
	f.Float64Var(&v.o.Rate, "rate", demo.DefaultRate, "requests a second")
	f.Float64Var(&v.o.TimeScale, "scale", demo.DefaultTimeScale, "engine seconds in one second")
	f.Uint64Var(&v.o.Seed, "seed", 1, "seed of the load")
	f.BoolVar(&v.o.Serve, "serve", false, "keep the fleet up instead of sending a load")
	f.StringVar(&v.level, "log", "error", "log level of the instances")
}

func (v *demoVerb) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || v.o.Instances < 1 || v.o.Requests < 1 || v.o.Rate <= 0 || v.o.TimeScale <= 0 {
		fmt.Fprintln(os.Stderr, "damaskctl demo: entries, n, rate and scale must be above zero; no further arguments")
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	v.o.Out = os.Stdout
	v.o.Log = hclog.New(&hclog.LoggerOptions{Level: hclog.LevelFromString(v.level), Output: os.Stderr})
	if err := demo.Run(ctx, v.o); err != nil {
		fmt.Fprintln(os.Stderr, "damaskctl demo:", err)
		return exitFailed
	}
	return exitDone
}
