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

// demoCommand runs a fleet of stand-ins and instances in this process.
type demoCommand struct {
	opts     demo.Options
	logLevel string
}

func (*demoCommand) Name() string { return "demo" }

func (*demoCommand) Synopsis() string {
	return "run stand-ins and entry instances in one process and send them a mixed load"
}

func (*demoCommand) Usage() string {
	return `damaskctl demo [-profile coteau|asrq] [-fault NAME] [-serve]
  Starts stand-ins of the platform and of upstreams, and entry instances on loopback, sends prompts of
  1k to 1M tokens and bookings, and shows first-token time by prompt length, refusals and bookings.
  Exit status 0 only if every answer was complete and matched its request.
  Faults: ` + strings.Join(demo.Faults(), ", ") + `
`
}

func (cmd *demoCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&cmd.opts.Profile, "profile", "coteau", "deployment profile: "+strings.Join(demo.Profiles(), " or "))
	f.StringVar(&cmd.opts.Fault, "fault", "", "fault switched on for the second of three phases")
	f.IntVar(&cmd.opts.Instances, "entries", demo.DefaultInstances, "entry instances")
	f.IntVar(&cmd.opts.Requests, "n", demo.DefaultRequests, "requests in each phase")
	f.Float64Var(&cmd.opts.Rate, "rate", demo.DefaultRate, "requests a second")
	f.Float64Var(&cmd.opts.TimeScale, "scale", demo.DefaultTimeScale, "engine seconds in one second")
	f.Uint64Var(&cmd.opts.Seed, "seed", 1, "seed of the load")
	f.BoolVar(&cmd.opts.Serve, "serve", false, "keep the fleet up instead of sending a load")
	f.StringVar(&cmd.logLevel, "log", "error", "log level of the instances")
}

// Execute validates the flags and runs the demo until it ends or a signal stops it.
func (cmd *demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || cmd.opts.Instances < 1 || cmd.opts.Requests < 1 || cmd.opts.Rate <= 0 || cmd.opts.TimeScale <= 0 {
		fmt.Fprintln(os.Stderr, "damaskctl demo: entries, n, rate and scale must be above zero, and no arguments may follow")
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	cmd.opts.Out = os.Stdout
	cmd.opts.Log = hclog.New(&hclog.LoggerOptions{Level: hclog.LevelFromString(cmd.logLevel), Output: os.Stderr})
	if err := demo.Run(ctx, cmd.opts); err != nil {
		fmt.Fprintln(os.Stderr, "damaskctl demo:", err)
		return exitFailed
	}
	return exitDone
}
