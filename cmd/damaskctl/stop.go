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

type stopVerb struct{ target }

func (*stopVerb) Name() string     { return "stop" }
func (*stopVerb) Synopsis() string { return "stop working off a plan where it stands" }
func (*stopVerb) Usage() string {
	return `damaskctl stop [-addr IP:PORT] [-token-file FILE] [-o json] PLAN
No further order of the plan is given; what is done stays done, and so does the plan's configuration.
Make a new plan from there with 'damaskctl plan', 'drain' or 'restore'.
`
}

func (v *stopVerb) SetFlags(f *flag.FlagSet) { v.setFlags(f) }

func (v *stopVerb) Execute(_ context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	e := envOf(args)
	if !v.usage(e, f, 1) {
		return exitUsage
	}
	var p api.Plan
	if err := v.call(fasthttp.MethodPost, planPath(operate.PathStop, f.Arg(0)), nil, &p); err != nil {
		return exit(e, err)
	}
	v.print(e, p, func(w io.Writer) { fmt.Fprintf(w, "plan %s is %s\n", p.ID, p.State) })
	return exitDone
}
