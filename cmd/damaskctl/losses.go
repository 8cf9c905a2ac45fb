package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/damaskshelf/damaskshelf/internal/losses"
)

// lossesCommand counts from logs the requests that were not answered in time, by cause and time window.
type lossesCommand struct {
	printer
	logFile  string
	window   time.Duration
	plotFile string
	// stages selects the time that answered requests spent in each stage, instead of the causes and the windows.
	stages bool
}

func (*lossesCommand) Name() string { return "losses" }
func (*lossesCommand) Synopsis() string {
	return "sum up from logs which requests were not answered in time, and why"
}
func (*lossesCommand) Usage() string {
	return `damaskctl losses -log FILE [-every 2s] [-stages] [-o text|json] [-plot FILE.svg]
Reads logs of the instances, in any order, from FILE or from standard input ("-"). Prints for each kind of
request, and for each time window, how many were answered completely and in time, and why the others were not. Each
attempt of a caller counts as a request. With -stages it prints and draws how long answered requests spent in each
stage: until they are sent to an upstream, from there to the first event, from the first event to the last.
docs/OPERATIONS.md explains the causes.
`
}

func (cmd *lossesCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&cmd.logFile, "log", "", "`file` with logs of instances; \"-\" is standard input")
	cmd.setOutputFlag(f)
	f.DurationVar(&cmd.window, "every", 2*time.Second, "length of the time windows")
	f.BoolVar(&cmd.stages, "stages", false, "show how long answered requests spent in each stage")
	f.StringVar(&cmd.plotFile, "plot", "", "draw the causes over time, or the stages, into this `file`, as SVG")
}

// Execute prints the report on the logs and, with -plot, draws it. It lists the first answer lines that
// could not be used on standard error.
func (cmd *lossesCommand) Execute(_ context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	e := envOf(args)
	if !cmd.checkFlags(e, f) {
		return exitUsage
	}
	lines, ok := readLogs(e, cmd.logFile)
	if !ok {
		return exitFailed
	}
	report := losses.Summarize(lines, cmd.window)
	if cmd.plotFile != "" {
		draw := report.Draw
		if cmd.stages {
			draw = report.DrawStages
		}
		if err := draw(cmd.plotFile); err != nil {
			fmt.Fprintf(e.err, "damaskctl: -plot %s: %v\n", cmd.plotFile, err)
			return exitFailed
		}
	}
	for _, p := range report.Problems {
		fmt.Fprintf(e.err, "damaskctl: not counted: %s\n", p)
	}
	show := printLosses
	if cmd.stages {
		show = printStages
	}
	cmd.print(e, report, func(w io.Writer) { show(w, report) })
	return exitDone
}

// checkFlags reports whether the command line is valid. If not, it prints the error.
func (cmd *lossesCommand) checkFlags(e environment, f *flag.FlagSet) bool {
	switch {
	case cmd.logFile == "":
		fmt.Fprintln(e.err, "-log is missing: name a file, or \"-\" for standard input")
	case cmd.window <= 0:
		fmt.Fprintf(e.err, "-every %s is not allowed; allowed: above 0\n", cmd.window)
	default:
		return cmd.checkUsage(e, f, 0)
	}
	return false
}

// printLosses prints a table of causes with a column for each kind of request, and the time windows below it.
func printLosses(out io.Writer, r *losses.Report) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "cause\t")
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%s\t", c.Name)
	}
	fmt.Fprintln(w, "prompt tokens\t")
	row := func(name string, count func(*losses.Class) int, tokens int) {
		fmt.Fprintf(w, "%s\t", name)
		for i := range r.Classes {
			fmt.Fprintf(w, "%d\t", count(&r.Classes[i]))
		}
		fmt.Fprintf(w, "%d\t\n", tokens)
	}
	sum := func(size func(*losses.Class) int) (n int) {
		for i := range r.Classes {
			n += size(&r.Classes[i])
		}
		return n
	}
	row("asked", func(c *losses.Class) int { return c.Requests }, sum(func(c *losses.Class) int { return c.PromptTokens }))
	row("in time", func(c *losses.Class) int { return c.InTime }, sum(func(c *losses.Class) int { return c.PromptTokensInTime() }))
	for _, cause := range losses.Causes {
		if lost := func(c *losses.Class) int { return c.Lost[cause] }; sum(lost) > 0 {
			row(string(cause), lost, sum(func(c *losses.Class) int { return c.LostPromptTokens[cause] }))
		}
	}
	_ = w.Flush()
	fmt.Fprintf(out, "not owed %d, still under way at the end %d, answers without what they are judged by %d\n\n", r.CallerFaults, r.Unfinished, r.UnusableAnswers)
	printWindows(out, r.Windows)
}

// printWindows prints how many requests of each time window had which outcome, and the most frequent cause of loss.
func printWindows(out io.Writer, windows []losses.Window) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "from\tasked\tin time\tlate\trefused\tfailed\tleft\tmost by\t")
	for _, window := range windows {
		o := window.Outcomes
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t\n", window.From.UTC().Format("15:04:05"), window.RequestCount(),
			o[losses.InTime], o[losses.Late], o[losses.Refused], o[losses.Failed], o[losses.CallerLeft], topCause(window))
	}
	_ = w.Flush()
}

// topCause returns the most frequent cause of a window's losses with its count, or nothing if there were no losses.
func topCause(window losses.Window) string {
	top, most := "", 0
	for _, c := range losses.Causes {
		if n := window.Causes[c]; n > most {
			top, most = fmt.Sprintf("%s (%d)", c, n), n
		}
	}
	return top
}

// printStages prints the percentiles of the time that answered requests spent in each stage.
func printStages(out io.Writer, r *losses.Report) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "requests\tstage\tanswered\tp50 ms\tp95 ms\tp99 ms\tmost ms\t")
	for _, s := range r.Stages {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t\n", s.Class, s.Stage, s.Count, s.P50, s.P95, s.P99, s.Max)
	}
	_ = w.Flush()
}
