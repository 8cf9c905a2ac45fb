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

// explainCommand prints the decisions on a request, as kept by an instance or from logs.
type explainCommand struct {
	target
	logFile string // file with logs of instances; "-": standard input
}

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "show the decisions on a request and their reasons" }
func (*explainCommand) Usage() string {
	return `damaskctl explain [-addr IP:PORT] [-token-file FILE] [-o json] REQUEST-ID
Prints the decision lines that the instance keeps for the request. Ask the instance that received it.

damaskctl explain -log FILE REQUEST-ID
Reads logs of one or more instances, in any order, from FILE or from standard input ("-"), and prints the
lines of the request, with the state changes that the same instances logged around that time: of the
request's upstreams, the configuration, the store and the dispatcher. Exit status 1: no line names the request.
`
}

func (cmd *explainCommand) SetFlags(f *flag.FlagSet) {
	cmd.setFlags(f)
	f.StringVar(&cmd.logFile, "log", "", "read logs from this file instead of asking an instance; \"-\" is standard input")
}

// Execute prints the lines about the request, from the instance or, with -log, from a file.
func (cmd *explainCommand) Execute(_ context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	e := envOf(args)
	if !cmd.checkUsage(e, f, 1) {
		return exitUsage
	}
	if cmd.logFile != "" {
		return cmd.explainFromLogs(e, f.Arg(0))
	}
	var d query.Decisions
	if err := cmd.call(fasthttp.MethodGet, pathWithID(operate.PathExplain, f.Arg(0)), nil, &d); err != nil {
		return reportError(e, err)
	}
	cmd.print(e, d, func(w io.Writer) {
		for _, line := range d.Lines {
			fmt.Fprintln(w, line)
		}
	})
	return exitDone
}

// explainFromLogs prints the log lines that explain the request.
func (cmd *explainCommand) explainFromLogs(e environment, id string) subcommands.ExitStatus {
	lines, ok := readLogs(e, cmd.logFile)
	if !ok {
		return exitFailed
	}
	related := explain.RequestLines(lines, id)
	if len(related) == 0 {
		fmt.Fprintf(e.err, "damaskctl: none of %d lines names request %q\n", len(lines), id)
		return exitFailed
	}
	for _, l := range related {
		fmt.Fprintln(e.out, l)
	}
	return exitDone
}

// readLogs reads a file with logs of instances; "-" is standard input. It prints an error and returns false if the
// logs cannot be read.
func readLogs(e environment, name string) (lines []explain.Line, ok bool) {
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
	lines, skipped, err := explain.ReadLines(in)
	if err != nil {
		fmt.Fprintln(e.err, "damaskctl: read logs:", err)
		return nil, false
	}
	if skipped > 0 {
		fmt.Fprintf(e.err, "damaskctl: passed over %d lines of %s that are no log lines of an instance\n", skipped, name)
	}
	return lines, true
}
