package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/damaskshelf/damaskshelf/internal/losses"
)

// maxWorkspacesShown bounds the table of workspaces; JSON output lists all.
const maxWorkspacesShown = 20

// overloadCommand shows from logs when requests were refused, for want of what, and whose.
type overloadCommand struct {
	printer
	logFile string
}

func (*overloadCommand) Name() string { return "overload" }
func (*overloadCommand) Synopsis() string {
	return "show from logs when requests were refused, for want of what, and whose"
}
func (*overloadCommand) Usage() string {
	return `damaskctl overload -log FILE [-o text|json]
Reads logs of the instances, in any order, from FILE or from standard input ("-"). Prints the overloads of each service
with what was short, the refusals by kind and reason with how long requests waited for them, and the workspaces whose
requests were refused most. docs/operating/overload.md explains the columns.
`
}

func (cmd *overloadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&cmd.logFile, "log", "", "`file` with logs of instances; \"-\" is standard input")
	cmd.setOutputFlag(f)
}

// Execute prints the report on the logs.
func (cmd *overloadCommand) Execute(_ context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	e := envOf(args)
	if cmd.logFile == "" {
		fmt.Fprintln(e.err, "-log is missing: name a file, or \"-\" for standard input")
		return exitUsage
	}
	if !cmd.checkUsage(e, f, 0) {
		return exitUsage
	}
	lines, ok := readLogs(e, cmd.logFile)
	if !ok {
		return exitFailed
	}
	report := losses.SummarizeOverload(lines)
	if report.Unusable > 0 {
		fmt.Fprintf(e.err, "damaskctl: %d lines lack a field or have an invalid one\n", report.Unusable)
	}
	cmd.print(e, report, func(w io.Writer) { printOverload(w, report) })
	return exitDone
}

// printOverload prints the tables of the report.
func printOverload(out io.Writer, r *losses.OverloadReport) {
	if len(r.Episodes)+len(r.Refusals) == 0 {
		fmt.Fprintln(out, "no overload and no refusals")
		return
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "service\tbegan\tlasted\twaiting, most\trefused\tshort of\tworst level\tdispatcher")
	for _, e := range r.Episodes {
		lasted := e.Last.Sub(e.Began).String()
		if !e.Ended {
			lasted += ", no end seen"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%.1f\t%s\n", e.Service, e.Began.UTC().Format("15:04:05.000"), lasted, e.MostWaiting,
			listCounts(e.Refused), listCounts(e.ShortOf), e.WorstLevel, e.Dispatcher)
	}
	fmt.Fprintln(w, "\nservice\tkind\treason\trefused\twaited ms, p50\tp95\tmost")
	for _, x := range r.Refusals {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\n", x.Service, x.Kind, x.Reason, x.Count, x.WaitedMs[0], x.WaitedMs[1], x.WaitedMs[2])
	}
	fmt.Fprintln(w, "\nworkspace\trefused")
	for _, x := range r.Workspaces[:min(maxWorkspacesShown, len(r.Workspaces))] {
		fmt.Fprintf(w, "%s\t%d\n", x.Workspace, x.Count)
	}
	_ = w.Flush()
}

// listCounts returns the counts as one word per name, sorted by name.
func listCounts(counts map[string]int) string {
	var words []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		words = append(words, fmt.Sprintf("%s: %d", name, counts[name]))
	}
	return strings.Join(words, ", ")
}
