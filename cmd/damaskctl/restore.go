package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/damaskshelf/damaskshelf/api"
)

// restoreCommand plans to bring a failure domain back, or brings it back at once through the metadata store.
type restoreCommand struct {
	target
	storeTarget
}

func (*restoreCommand) Name() string     { return "restore" }
func (*restoreCommand) Synopsis() string { return "plan to bring a failure domain back into service" }
func (*restoreCommand) Usage() string {
	return `damaskctl restore [-addr IP:PORT] [-token-file FILE] [-o json] FAILURE-DOMAIN
damaskctl restore -store IP:PORT FAILURE-DOMAIN
Shows what comes back. Nothing changes before 'damaskctl confirm PLAN'. The failure domain's upstreams
count as cold at first, so that load comes back little by little.
With -store, of a fleet that forwards routed requests: takes it back at once, without a plan.
`
}

func (cmd *restoreCommand) SetFlags(f *flag.FlagSet) {
	cmd.setFlags(f)
	cmd.setStoreFlag(f)
}

// Execute requests and prints a plan that brings the failure domain back, or with -store brings it back at once.
func (cmd *restoreCommand) Execute(_ context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	e := envOf(args)
	if !cmd.checkUsage(e, f, 1) {
		return exitUsage
	}
	if cmd.storeAddr != "" {
		return cmd.setDomainOut(e, f.Arg(0), false)
	}
	return cmd.propose(e, api.Change{Restore: f.Arg(0)})
}
