package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/google/subcommands"

	"github.com/damaskshelf/damaskshelf/internal/bench/passes"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
)

// Faults of the plays, on days of some tens of seconds; times in ms.
var (
	everyEntryStops = passes.Fault{StartMs: 34_000, DurationMs: 1000}
	enginesLost     = passes.Fault{StartMs: 12_000, DurationMs: 12_000, EngineShare: 0.33}
)

// flipCommand compares policies under the mix that turns over every ten seconds.
type flipCommand struct {
	loads   string
	seeds   int
	seconds float64
	only    string
}

func (*flipCommand) Name() string { return "flip" }
func (*flipCommand) Synopsis() string {
	return "compare policies on engines that work in passes, under a mix that turns over every ten seconds"
}
func (*flipCommand) Usage() string {
	return `damaskbench flip [flags]
For each workload and load: the share of each kind's worth that was in time, the share of all worth that was earned
(day), the same of the two worst windows of 2 s, and how often the largest tenth of the long prompts was answered
against all of them, with the share of its worth that it earned. Then, at the stated rates, with all entries stopped for 1 s, and with a third of the engines lost.
`
}

func (c *flipCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.loads, "loads", "0.85,1,1.2", "parts of the stated rates, comma-separated")
	f.IntVar(&c.seeds, "seeds", 4, "seeds, from 1")
	f.StringVar(&c.only, "workload", "", "play this one alone")
	f.Float64Var(&c.seconds, "seconds", 40, "length of a play in virtual time")
}

func (c *flipCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	var loads []float64
	for _, word := range strings.Split(c.loads, ",") {
		load, err := strconv.ParseFloat(strings.TrimSpace(word), 64)
		if err != nil || load <= 0 {
			fmt.Fprintf(os.Stderr, "-loads %s: %q is no number above 0\n", c.loads, word)
			return subcommands.ExitUsageError
		}
		loads = append(loads, load)
	}
	all := slices.DeleteFunc(slices.Clone(passes.Workloads), func(w *passes.Workload) bool { return c.only != "" && w.Name != c.only })
	if len(all) == 0 {
		fmt.Fprintf(os.Stderr, "-workload %s: there is none of that name\n", c.only)
		return subcommands.ExitUsageError
	}
	fmt.Println("| workload | load | policy | " + strings.Join(passes.Coteau.ClassNames(), " | ") + " | day | worst | largest | its worth |")
	fmt.Println("|---|---|---|" + strings.Repeat("---|", len(passes.Coteau.ClassNames())+4))
	for _, w := range all {
		for _, load := range loads {
			c.compare(w, strconv.FormatFloat(load, 'g', -1, 64), passes.Scenario{Load: load, LengthMs: c.seconds * 1000})
		}
		c.show(w, "1, entries stop", "damaskshelf", c.policy(w, passes.Scenario{Load: 1, LengthMs: c.seconds * 1000, InstanceOutage: everyEntryStops}))
		c.show(w, "1, engines lost", "damaskshelf", c.policy(w, passes.Scenario{Load: 1, LengthMs: c.seconds * 1000, EngineOutage: enginesLost}))
	}
	return subcommands.ExitSuccess
}

func (c *flipCommand) policy(w *passes.Workload, p passes.Scenario) passes.Result {
	return passes.MeanResult(w, passes.Dispatcher(w, dispatch.DefaultParams()), p, c.seeds)
}

// compare prints a line for each policy at a load.
func (c *flipCommand) compare(w *passes.Workload, load string, p passes.Scenario) {
	c.show(w, load, "damaskshelf", c.policy(w, p))
	c.show(w, load, "each entry alone", passes.MeanResult(w, passes.Uncoordinated(w), p, c.seeds))
	c.show(w, load, "*bound*", passes.UpperBound(w, p, c.seeds))
}

func (c *flipCommand) show(w *passes.Workload, load, policy string, r passes.Result) {
	fmt.Printf("| %s | %s | %s |", w.Name, load, policy)
	for _, kind := range w.ClassNames() {
		fmt.Printf(" %.3f |", r.InTime[kind])
	}
	fmt.Printf(" %.3f | %.3f | %.2f | %.2f |\n", r.Earned, r.WorstWindows, r.LargestAnswered["long"], r.LargestEarned["long"])
}
