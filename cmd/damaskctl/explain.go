package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/explain"
	"github.com/damaskshelf/damaskshelf/internal/operate"
	"github.com/damaskshelf/damaskshelf/internal/operate/query"
)

type explainVerb struct {
	target
	logs string // file with logs of instances; "-": standard input
}

func (*explainVerb) Name() string     { return "explain" }
func (*explainVerb) Synopsis() string { return "show why a request was decided as it was" }
func (*explainVerb) Usage() string {
	return `damaskctl explain [-addr IP:PORT] [-token-file FILE] [-o json] REQUEST-ID
Prints the decision lines that the instance keeps for the request. Ask the instance that took it.

damaskctl explain -log FILE REQUEST-ID
Reads logs of one or more instances, in any order, from FILE or from standard input ("-"), and prints the
request's lines with what the instances came to believe around them. Exit status 1: no line names it.
`
}

func (v *explainVerb) SetFlags(f *flag.FlagSet) {
	v.setFlags(f)
	f.StringVar(&v.logs, "log", "", "read logs from this file instead of asking an instance; \"-\" is standard input")
}

func (v *explainVerb) Execute(_ context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	e := envOf(args)
	if !v.usage(e, f, 1) {
		return exitUsage
	}
	if v.logs != "" {
		return v.fromLogs(e, f.Arg(0))
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

// fromLogs explains the request from logs.
func (v *explainVerb) fromLogs(e environment, id string) subcommands.ExitStatus {
	all, ok := readLogs(e, v.logs)
	if !ok {
		return exitFailed
	}
	story := explain.Story(all, id)
	if len(story) == 0 {
		fmt.Fprintf(e.err, "damaskctl: no line of %d names request %q\n", len(all), id)
		return exitFailed
	}
	for _, l := range story {
		fmt.Fprintln(e.out, l)
	}
	return exitDone
}

// readLogs reads a file with logs of instances; "-" is standard input.
func readLogs(e environment, name string) (all []explain.Line, ok bool) {
	in := e.in
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			fmt.Fprintln(e.err, "damaskctl:", err)
			return nil, false
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	all, passedOver, err := explain.ReadLines(in)
	if err != nil {
		fmt.Fprintln(e.err, "damaskctl: read logs:", err)
		return nil, false
	}
	if passedOver > 0 {
		fmt.Fprintf(e.err, "damaskctl: passed over %d lines of %s that are no log lines of an instance\n", passedOver, name)
	}
	return all, true
}
