package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/damaskshelf/damaskshelf/api"
)

// drainCommand plans to take a failure domain out of service, or takes it out at once through the metadata store.
type drainCommand struct {
	target
	storeTarget
	force bool
}

func (*drainCommand) Name() string     { return "drain" }
func (*drainCommand) Synopsis() string { return "plan to take a failure domain out of service" }
func (*drainCommand) Usage() string {
	return `damaskctl drain [-force] [-addr IP:PORT] [-token-file FILE] [-o json] FAILURE-DOMAIN
damaskctl drain -store IP:PORT FAILURE-DOMAIN
Shows what is lost with the failure domain, what would be refused and whether the rest can carry it.
Nothing changes before 'damaskctl confirm PLAN'.
-force accepts a plan that leaves a model without an engine; the plan says which.
With -store, of a fleet that forwards routed requests: takes it out at once, without a plan.
`
}

func (cmd *drainCommand) SetFlags(f *flag.FlagSet) {
	cmd.setFlags(f)
	cmd.setStoreFlag(f)
	f.BoolVar(&cmd.force, "force", false, "accept a plan that leaves a model without an engine")
}

// Execute requests and prints a plan that takes the failure domain out, or with -store takes it out at once.
func (cmd *drainCommand) Execute(_ context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	e := envOf(args)
	if !cmd.checkUsage(e, f, 1) {
		return exitUsage
	}
	if cmd.storeAddr != "" {
		return cmd.setDomainOut(e, f.Arg(0), true)
	}
	return cmd.propose(e, api.Change{Drain: f.Arg(0), Force: cmd.force})
}
