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

// lossesVerb tells from logs where service was lost.
type lossesVerb struct {
	printer
	logs  string
	every time.Duration
	plot  string
	// stages has it tell where answered requests' time went instead.
	stages bool
}

func (*lossesVerb) Name() string { return "losses" }
func (*lossesVerb) Synopsis() string {
	return "sum up from logs which requests were not answered in time, and why"
}
func (*lossesVerb) Usage() string {
	return `damaskctl losses -log FILE [-every 2s] [-stages] [-o text|json] [-plot FILE.svg]
Reads logs of the instances, in any order, from FILE or from standard input ("-"). Prints for each kind of
request, and each span of time, how many were answered whole and in time, and what the others were lost to. An
attempt of a caller counts as a request. With -stages it prints and draws where the time of answered requests went:
waiting for a place, from there to the first event, from the first event to the last. docs/OPERATIONS.md explains the causes.
`
}

func (v *lossesVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.logs, "log", "", "`file` with logs of instances; \"-\" is standard input")
	v.setPrintFlag(f)
	f.DurationVar(&v.every, "every", 2*time.Second, "length of the spans of time")
	f.BoolVar(&v.stages, "stages", false, "tell where the time of answered requests went")
	f.StringVar(&v.plot, "plot", "", "draw the causes over time, or the stages, into this `file`, as SVG")
}

func (v *lossesVerb) Execute(_ context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	e := envOf(args)
	if !v.usable(e, f) {
		return exitUsage
	}
	all, ok := readLogs(e, v.logs)
	if !ok {
		return exitFailed
	}
	report := losses.Read(all, v.every)
	if v.plot != "" {
		draw := report.Draw
		if v.stages {
			draw = report.DrawStages
		}
		if err := draw(v.plot); err != nil {
			fmt.Fprintf(e.err, "damaskctl: -plot %s: %v\n", v.plot, err)
			return exitFailed
		}
	}
	for _, p := range report.Problems {
		fmt.Fprintf(e.err, "damaskctl: not counted: %s\n", p)
	}
	show := printLosses
	if v.stages {
		show = printStages
	}
	v.print(e, report, func(w io.Writer) { show(w, report) })
	return exitDone
}

// usable refuses flags and arguments that make no sense.
func (v *lossesVerb) usable(e environment, f *flag.FlagSet) bool {
	switch {
	case v.logs == "":
		fmt.Fprintln(e.err, "-log is missing: name a file, or \"-\" for standard input")
	case v.every <= 0:
		fmt.Fprintf(e.err, "-every %s is not allowed; allowed: above 0\n", v.every)
	default:
		return v.usage(e, f, 0)
	}
	return false
}

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
	row("asked", func(c *losses.Class) int { return c.Asked }, sum(func(c *losses.Class) int { return c.Tokens }))
	row("in time", func(c *losses.Class) int { return c.InTime }, sum(func(c *losses.Class) int { return c.TokensInTime() }))
	for _, cause := range losses.Causes {
		if lost := func(c *losses.Class) int { return c.Lost[cause] }; sum(lost) > 0 {
			row(string(cause), lost, sum(func(c *losses.Class) int { return c.LostSize[cause] }))
		}
	}
	_ = w.Flush()
	fmt.Fprintf(out, "not owed %d, still under way at the end %d, answers without what they are judged by %d\n\n", r.NotOwed, r.Unended, r.Unusable)
	printWindows(out, r.Windows)
}

func printWindows(out io.Writer, all []losses.Window) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "from\tasked\tin time\tlate\trefused\tfailed\tleft\tmost by\t")
	for _, span := range all {
		o := span.Outcomes
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t\n", span.From.UTC().Format("15:04:05"), span.Asked(),
			o[losses.InTime], o[losses.Late], o[losses.Refused], o[losses.Failed], o[losses.Left], worst(span))
	}
	_ = w.Flush()
}

// worst names the cause of most of a span's losses.
func worst(span losses.Window) string {
	name, most := "", 0
	for _, c := range losses.Causes {
		if n := span.Causes[c]; n > most {
			name, most = fmt.Sprintf("%s (%d)", c, n), n
		}
	}
	return name
}

func printStages(out io.Writer, r *losses.Report) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "requests\tstage\tanswered\tp50 ms\tp95 ms\tp99 ms\tmost ms\t")
	for _, s := range r.Stages {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t\n", s.Class, s.Stage, s.Count, s.P50, s.P95, s.P99, s.Most)
	}
	_ = w.Flush()
}
