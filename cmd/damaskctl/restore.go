package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/damaskshelf/damaskshelf/api"
)

type restoreVerb struct {
	target
	storeTarget
}

func (*restoreVerb) Name() string     { return "restore" }
func (*restoreVerb) Synopsis() string { return "plan to bring a failure domain back into service" }
func (*restoreVerb) Usage() string {
	return `damaskctl restore [-addr IP:PORT] [-token-file FILE] [-o json] FAILURE-DOMAIN
damaskctl restore -store IP:PORT FAILURE-DOMAIN
Shows what comes back. Nothing changes before 'damaskctl confirm PLAN'. The failure domain's upstreams
count as cold at first, so that load comes back little by little.
With -store, of a fleet that forwards routed requests: takes it back at once, without a plan.
`
}

func (v *restoreVerb) SetFlags(f *flag.FlagSet) {
	v.setFlags(f)
	v.setStoreFlag(f)
}

func (v *restoreVerb) Execute(_ context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	e := envOf(args)
	if !v.usage(e, f, 1) {
		return exitUsage
	}
	if v.storeAddr != "" {
		return v.move(e, f.Arg(0), false)
	}
	return v.propose(e, api.Change{Restore: f.Arg(0)})
}
