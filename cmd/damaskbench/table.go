package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/damaskshelf/damaskshelf/internal/bench"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
)

// tableCommand prints the tables of docs/MEASURES.md.
type tableCommand struct{ options }

func (*tableCommand) Name() string { return "table" }
func (*tableCommand) Synopsis() string {
	return "print first-token times, slowdown, refusals and goodput"
}
func (*tableCommand) Usage() string { return "damaskbench table [flags]\n" }

func (t *tableCommand) SetFlags(f *flag.FlagSet) { t.setFlags(f) }

// Execute runs the selected configurations and prints their tables.
func (t *tableCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	points, err := t.runAll()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	writeTables(os.Stdout, points)
	return subcommands.ExitSuccess
}

// tableHeader is the header of a table in Markdown.
const tableHeader = `| load | policy | short p50/p95/p99 | medium | long | group | all over 100k p95 | slowdown of short, medium p95 | refused, late % | goodput k tokens/s (answers/s) |
|---|---|---|---|---|---|---|---|---|---|
`

// writeTables writes a table for each deployment and number of instances. The last row of each load holds the lower
// bound.
func writeTables(out io.Writer, points []bench.Point) {
	lastTitle := ""
	for i := range points {
		p := &points[i]
		title := fmt.Sprintf("%s, %d entries", p.Config.Deployment.Name, p.Config.Instances)
		if title != lastTitle {
			fmt.Fprintf(out, "\n### %s\n\nFirst token in seconds.\n\n%s", title, tableHeader)
			lastTitle = title
		}
		writeRow(out, p)
		if i+1 == len(points) || !sameArrivals(&points[i+1].Config, &p.Config) {
			writeBoundRow(out, p)
		}
	}
}

// sameArrivals reports whether two runs have the same arrivals.
func sameArrivals(a, b *bench.Config) bool {
	return a.Deployment == b.Deployment && a.Instances == b.Instances && a.Load == b.Load
}

// writeRow writes the figures of one policy at one load.
func writeRow(out io.Writer, p *bench.Point) {
	fmt.Fprintf(out, "| %.1f | %s |", p.Config.Load, p.Config.Policy)
	for c := range p.Full.Class {
		fmt.Fprintf(out, " %s |", quantiles(&p.Full.Class[c]))
	}
	fmt.Fprintf(out, " %.2f |", longP95(&p.Full.Class).Seconds())
	fmt.Fprintf(out, " %.2f, %.2f |", bench.Slowdown(p.Full, p.WithoutLong, cost.Short, 0.95), bench.Slowdown(p.Full, p.WithoutLong, cost.Medium, 0.95))
	all, refused, late := 0, 0, 0
	for c := range p.Full.Class {
		f := &p.Full.Class[c]
		all, refused, late = all+f.Requests, refused+f.Refused, late+f.Late
	}
	fmt.Fprintf(out, " %.1f, %.1f | %.0f (%.1f) |\n", percent(refused, all), percent(late, all), p.Full.Goodput/1000, p.Full.AnswerRate)
}

// writeBoundRow writes the lower bound at one load.
func writeBoundRow(out io.Writer, p *bench.Point) {
	fmt.Fprintf(out, "| %.1f | *alone* |", p.Config.Load)
	for c := range p.LowerBound {
		fmt.Fprintf(out, " %s |", quantiles(&p.LowerBound[c]))
	}
	fmt.Fprintf(out, " %.2f | 1.00, 1.00 | | |\n", longP95(&p.LowerBound).Seconds())
}

// quantiles formats the p50, p95 and p99 of the first-token time, in seconds.
func quantiles(f *bench.ClassFigures) string {
	if len(f.FirstToken) == 0 {
		return "none"
	}
	return fmt.Sprintf("%.2f/%.2f/%.2f", f.Quantile(0.5).Seconds(), f.Quantile(0.95).Seconds(), f.Quantile(0.99).Seconds())
}

// longP95 returns the p95 of the first-token time of all prompts over 100k tokens, on one engine or on a group.
func longP95(classes *[cost.ClassCount]bench.ClassFigures) time.Duration {
	all := bench.ClassFigures{}
	all.Add(&classes[cost.Long])
	all.Add(&classes[cost.Group])
	return all.Quantile(0.95)
}

func percent(part, all int) float64 { return 100 * float64(part) / float64(max(all, 1)) }
