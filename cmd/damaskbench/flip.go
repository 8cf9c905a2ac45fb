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

// Faults that the command simulates. They lie within the default length of a simulation, 40 s of virtual time.
var (
	allInstancesStop = passes.Fault{StartMs: 34_000, DurationMs: 1000}
	enginesLost      = passes.Fault{StartMs: 12_000, DurationMs: 12_000, EngineShare: 0.33}
)

// flipCommand compares policies under the mix of prompts that changes every ten seconds.
type flipCommand struct {
	loads    string
	seeds    int
	seconds  float64
	workload string
}

func (*flipCommand) Name() string { return "flip" }
func (*flipCommand) Synopsis() string {
	return "compare policies on engines that work in passes, under a mix of prompts that changes every ten seconds"
}
func (*flipCommand) Usage() string {
	return `damaskbench flip [flags]
For each workload and load: the share of each kind's worth that was in time, the share of all worth that was earned
(day), the same of the two worst windows of 2 s, and how often the largest tenth of the long prompts was answered
against all of them, with the share of its worth that it earned. Then, at the stated rates, with all entries stopped for 1 s, and with a third of the engines lost.
`
}

func (c *flipCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.loads, "loads", "0.85,1,1.2", "multiples of the workload's stated rates, comma-separated")
	f.IntVar(&c.seeds, "seeds", 4, "number of seeds, from 1 on")
	f.StringVar(&c.workload, "workload", "", "run only this workload")
	f.Float64Var(&c.seconds, "seconds", 40, "length of a simulation in seconds of virtual time")
}

// Execute prints one table with the rows of all workloads, loads, policies and faults.
func (c *flipCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	var loads []float64
	for _, word := range strings.Split(c.loads, ",") {
		load, err := strconv.ParseFloat(strings.TrimSpace(word), 64)
		if err != nil || load <= 0 {
			fmt.Fprintf(os.Stderr, "-loads %s: %q is not a number above 0\n", c.loads, word)
			return subcommands.ExitUsageError
		}
		loads = append(loads, load)
	}
	workloads := slices.DeleteFunc(slices.Clone(passes.Workloads), func(w *passes.Workload) bool { return c.workload != "" && w.Name != c.workload })
	if len(workloads) == 0 {
		fmt.Fprintf(os.Stderr, "-workload %s: no workload has this name\n", c.workload)
		return subcommands.ExitUsageError
	}
	fmt.Println("| workload | load | policy | " + strings.Join(passes.Coteau.ClassNames(), " | ") + " | day | worst | largest | its worth |")
	fmt.Println("|---|---|---|" + strings.Repeat("---|", len(passes.Coteau.ClassNames())+4))
	for _, w := range workloads {
		for _, load := range loads {
			c.printPolicies(w, strconv.FormatFloat(load, 'g', -1, 64), passes.Scenario{Load: load, LengthMs: c.seconds * 1000})
		}
		c.printRow(w, "1, entries stop", "damaskshelf", c.runPolicy(w, passes.Scenario{Load: 1, LengthMs: c.seconds * 1000, InstanceOutage: allInstancesStop}))
		c.printRow(w, "1, engines lost", "damaskshelf", c.runPolicy(w, passes.Scenario{Load: 1, LengthMs: c.seconds * 1000, EngineOutage: enginesLost}))
	}
	return subcommands.ExitSuccess
}

// runPolicy returns the mean result of the daemon's policy.
func (c *flipCommand) runPolicy(w *passes.Workload, scenario passes.Scenario) passes.Result {
	return passes.MeanResult(w, passes.Dispatcher(w, dispatch.DefaultParams()), scenario, c.seeds)
}

// printPolicies prints a row for each policy, and one for the upper bound, at a load.
func (c *flipCommand) printPolicies(w *passes.Workload, load string, scenario passes.Scenario) {
	c.printRow(w, load, "damaskshelf", c.runPolicy(w, scenario))
	c.printRow(w, load, "each entry alone", passes.MeanResult(w, passes.Uncoordinated(w), scenario, c.seeds))
	c.printRow(w, load, "*bound*", passes.UpperBound(w, scenario, c.seeds))
}

// printRow prints a row of the table.
func (c *flipCommand) printRow(w *passes.Workload, load, policy string, r passes.Result) {
	fmt.Printf("| %s | %s | %s |", w.Name, load, policy)
	for _, kind := range w.ClassNames() {
		fmt.Printf(" %.3f |", r.InTime[kind])
	}
	fmt.Printf(" %.3f | %.3f | %.2f | %.2f |\n", r.Earned, r.WorstWindows, r.LargestAnswered["long"], r.LargestEarned["long"])
}
