package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/damaskshelf/damaskshelf/api"
)

type drainVerb struct {
	target
	storeTarget
	force bool
}

func (*drainVerb) Name() string     { return "drain" }
func (*drainVerb) Synopsis() string { return "plan to take a failure domain out of service" }
func (*drainVerb) Usage() string {
	return `damaskctl drain [-force] [-addr IP:PORT] [-token-file FILE] [-o json] FAILURE-DOMAIN
damaskctl drain -store IP:PORT FAILURE-DOMAIN
Shows what is lost with the failure domain, what would be refused and whether the rest can carry it.
Nothing changes before 'damaskctl confirm PLAN'.
-force accepts a plan that leaves a model without an engine; the plan says which.
With -store, of a fleet that forwards routed requests: takes it out at once, without a plan.
`
}

func (v *drainVerb) SetFlags(f *flag.FlagSet) {
	v.setFlags(f)
	v.setStoreFlag(f)
	f.BoolVar(&v.force, "force", false, "accept a plan that leaves a model without an engine")
}

func (v *drainVerb) Execute(_ context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	e := envOf(args)
	if !v.usage(e, f, 1) {
		return exitUsage
	}
	if v.storeAddr != "" {
		return v.move(e, f.Arg(0), true)
	}
	return v.propose(e, api.Change{Drain: f.Arg(0), Force: v.force})
}
