package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/operate"
	"github.com/damaskshelf/damaskshelf/internal/operate/query"
)

type explainVerb struct{ target }

func (*explainVerb) Name() string     { return "explain" }
func (*explainVerb) Synopsis() string { return "show why a request was decided as it was" }
func (*explainVerb) Usage() string {
	return `damaskctl explain [-addr IP:PORT] [-token-file FILE] [-o json] REQUEST-ID
Prints the decision lines that the instance keeps for the request. Ask the instance that took it.
`
}

func (v *explainVerb) SetFlags(f *flag.FlagSet) { v.setFlags(f) }

func (v *explainVerb) Execute(_ context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	e := envOf(args)
	if !v.usage(e, f, 1) {
		return exitUsage
	}
	var d query.Decisions
	if err := v.call(fasthttp.MethodGet, planPath(operate.PathExplain, f.Arg(0)), nil, &d); err != nil {
		return exit(e, err)
	}
	v.print(e, d, func(w io.Writer) {
		for _, line := range d.Lines {
			fmt.Fprintln(w, line)
		}
	})
	return exitDone
}
