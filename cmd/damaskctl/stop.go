package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/operate"
)

// stopCommand stops the execution of a plan.
type stopCommand struct{ target }

func (*stopCommand) Name() string     { return "stop" }
func (*stopCommand) Synopsis() string { return "stop the execution of a plan where it stands" }
func (*stopCommand) Usage() string {
	return `damaskctl stop [-addr IP:PORT] [-token-file FILE] [-o json] PLAN
Sends no further orders of the plan. Steps that are done stay done, and the plan's configuration stays in force.
Make a new plan from there with 'damaskctl plan', 'drain' or 'restore'.
`
}

func (cmd *stopCommand) SetFlags(f *flag.FlagSet) { cmd.setFlags(f) }

// Execute stops the plan and prints its state.
func (cmd *stopCommand) Execute(_ context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	e := envOf(args)
	if !cmd.checkUsage(e, f, 1) {
		return exitUsage
	}
	var p api.Plan
	if err := cmd.call(fasthttp.MethodPost, pathWithID(operate.PathStop, f.Arg(0)), nil, &p); err != nil {
		return reportError(e, err)
	}
	cmd.print(e, p, func(w io.Writer) { fmt.Fprintf(w, "plan %s is %s\n", p.ID, p.State) })
	return exitDone
}
