package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/subcommands"
	"gonum.org/v1/plot/plotter"

	"github.com/damaskshelf/damaskshelf/internal/bench/passes"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
)

// maxCapacityLoad is the largest load whose goodput counts as the capacity.
const maxCapacityLoad = 1.5

// admissions lists the choices of the setting routed.overload.admission.
var admissions = []struct {
	name      string
	admission dispatch.Admission
}{{"patience", dispatch.ByPatience}, {"forecast", dispatch.ByForecast}}

// overloadCommand compares the choices of routed.overload.admission under overload.
type overloadCommand struct {
	loads    string
	workload string
	seeds    int
	seconds  float64
	workers  int
	jsonFile string
	outDir   string
}

// overloadRow is the measurement of one form of overload with one choice of the setting.
type overloadRow struct {
	Workload  string
	Form      string
	Load      float64 // multiple of the capacity; 0 for a fault or a crowd
	Admission string
	Goodput   float64 // divided by the largest of any choice at a load up to maxCapacityLoad
	Figures   passes.Overload

	workload *passes.Workload
	scenario passes.Scenario
	params   dispatch.Params
}

func (*overloadCommand) Name() string { return "overload" }
func (*overloadCommand) Synopsis() string {
	return "compare the choices of routed.overload.admission under overload"
}
func (*overloadCommand) Usage() string {
	return `damaskbench overload [flags]
For each workload, load (1: the workload's capacity) or other form of overload, and choice of the setting: the goodput
against the capacity, the time until a refusal, the share of the refusals within 50 ms of the arrival, or of a change of
load or engines, or before the request was late, the worst kind of prompt against the best, the worst workspace against the mean, the shares that are
refused, refused wrongly and late, and what callers that repeat at once get against the others. Equal flags give equal figures.
`
}

func (c *overloadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.loads, "loads", "0.5,1,2,3,5", "multiples of the workload's capacity, comma-separated; 1 and 1.5 are always included")
	f.StringVar(&c.workload, "workload", "", "run only this workload")
	f.IntVar(&c.seeds, "seeds", 3, "number of seeds, from 1 on")
	f.Float64Var(&c.seconds, "seconds", 30, "length of a simulation in seconds of virtual time")
	f.IntVar(&c.workers, "workers", 2, "simulations at a time")
	f.StringVar(&c.jsonFile, "json", "", "write the figures to this file as JSON")
	f.StringVar(&c.outDir, "out", "", "directory for plots of goodput, time until refusal and worst kind over the load")
}

// Execute runs the simulations, prints the table, and writes the JSON file and the plots that are asked for.
func (c *overloadCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	rows, err := c.rows()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	c.run(rows, os.Stderr)
	setGoodput(rows)
	writeOverloadTable(os.Stdout, rows)
	if err := c.save(rows); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// rows returns the rows that the flags select, without figures.
func (c *overloadCommand) rows() ([]*overloadRow, error) {
	loads, err := positiveNumbers("-loads", c.loads)
	if err != nil {
		return nil, err
	}
	loads = append(loads, 1, maxCapacityLoad)
	slices.Sort(loads)
	switch {
	case c.seeds < 1:
		return nil, fmt.Errorf("-seeds %d: must be at least 1", c.seeds)
	case c.workers < 1:
		return nil, fmt.Errorf("-workers %d: must be at least 1", c.workers)
	case !(c.seconds*1000 >= passes.MinFormMs && c.seconds <= maxSeconds):
		return nil, fmt.Errorf("-seconds %g: must be from %g to %g", c.seconds, passes.MinFormMs/1000.0, maxSeconds)
	}
	var all []*overloadRow
	for _, w := range passes.OverloadWorkloads {
		if c.workload != "" && w.Name != c.workload {
			continue
		}
		var forms []passes.Form
		for _, load := range slices.Compact(loads) {
			forms = append(forms, w.SteadyLoad(load, c.seconds*1000))
		}
		for _, form := range append(forms, w.Forms(c.seconds*1000)...) {
			for _, a := range admissions {
				params := dispatch.DefaultParams()
				params.Admission = a.admission
				all = append(all, &overloadRow{Workload: w.Name, Form: form.Name, Load: form.Load, Admission: a.name, workload: w, scenario: form.Scenario, params: params})
			}
		}
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("-workload %s: no workload of this command has this name", c.workload)
	}
	return all, nil
}

// maxSeconds is the longest simulation: an hour of virtual time takes hours under overload.
const maxSeconds = 3600.0

// positiveNumbers parses a comma-separated list of numbers above 0. The error names the flag and the value.
func positiveNumbers(flagName, list string) ([]float64, error) {
	var all []float64
	for _, word := range strings.Split(list, ",") {
		x, err := strconv.ParseFloat(strings.TrimSpace(word), 64)
		if err != nil || !(x > 0 && x <= maxLoad) {
			return nil, fmt.Errorf("%s %s: %q is not a number above 0 and at most %g", flagName, list, word, maxLoad)
		}
		all = append(all, x)
	}
	return all, nil
}

// maxLoad is the largest load; the simulation draws at most one request of a class in a millisecond.
const maxLoad = 8.0

// run fills in the figures of all rows and reports its progress.
func (c *overloadCommand) run(rows []*overloadRow, progress io.Writer) {
	var group sync.WaitGroup
	var mu sync.Mutex
	done := 0
	slots := make(chan struct{}, c.workers)
	for _, row := range rows {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			start := time.Now()
			row.Figures = passes.MeasureOverload(row.workload, passes.Dispatcher(row.workload, row.params), row.scenario, c.seeds)
			mu.Lock()
			defer mu.Unlock()
			done++
			fmt.Fprintf(progress, "%d of %d: %s, %s, %s: %.1f s\n", done, len(rows), row.Workload, row.Form, row.Admission, time.Since(start).Seconds())
		})
	}
	group.Wait()
}

// setGoodput sets the goodput of all rows against the capacity of their workloads.
func setGoodput(rows []*overloadRow) {
	capacity := map[string]float64{}
	for _, r := range rows {
		if r.Load > 0 && r.Load <= maxCapacityLoad {
			capacity[r.Workload] = max(capacity[r.Workload], r.Figures.Goodput)
		}
	}
	for _, r := range rows {
		r.Goodput = r.Figures.Goodput / capacity[r.Workload]
	}
}

// writeOverloadTable writes the figures as a table in Markdown.
func writeOverloadTable(out io.Writer, rows []*overloadRow) {
	fmt.Fprintln(out, "| workload | load | admission | goodput | refused after p50/p95 ms | at arrival | prompt | decided | worst kind | worst workspace | refused | wrongly | late | repeat gain |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range rows {
		f := &r.Figures
		fmt.Fprintf(out, "| %s | %s | %s | %.3f | %.0f/%.0f | %.3f | %.3f | %.3f | %.2f | %.2f | %.3f | %.3f | %.3f | %.2f |\n", r.Workload, r.Form, r.Admission,
			r.Goodput, f.RefusalP50Ms, f.RefusalP95Ms, f.AtArrival, f.Prompt, f.Decided, f.WorstKind, f.WorstWorkspace, f.Refused, f.WrongRefusals, f.Late, f.RepeatGain)
	}
}

// save writes the JSON file and the plots that the flags ask for.
func (c *overloadCommand) save(rows []*overloadRow) error {
	if c.jsonFile != "" {
		text, err := json.MarshalIndent(rows, "", "\t")
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.jsonFile, append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	if c.outDir == "" {
		return nil
	}
	if err := os.MkdirAll(c.outDir, 0o755); err != nil {
		return err
	}
	for _, w := range passes.OverloadWorkloads {
		if err := c.drawWorkload(w.Name, rows); err != nil {
			return err
		}
	}
	return nil
}

// drawWorkload saves the plots of a workload, if there are rows of it.
func (c *overloadCommand) drawWorkload(workload string, rows []*overloadRow) error {
	for _, p := range []struct {
		name, title, unit string
		value             func(*overloadRow) float64
	}{
		{"goodput", "goodput", "share of the capacity", func(r *overloadRow) float64 { return r.Goodput }},
		{"refusal", "p95 of the time until refusal", "ms", func(r *overloadRow) float64 { return r.Figures.RefusalP95Ms }},
		{"kind", "worst kind of prompt", "share of the best kind", func(r *overloadRow) float64 { return r.Figures.WorstKind }},
	} {
		var curves []curve
		for _, r := range rows {
			if r.Workload == workload && r.Load > 0 {
				curves = addToCurve(curves, r.Admission, plotter.XY{X: r.Load, Y: p.value(r)})
			}
		}
		if len(curves) == 0 {
			return nil
		}
		path := filepath.Join(c.outDir, fmt.Sprintf("overload-%s-%s.svg", workload, p.name))
		if err := saveChart(path, newChart(fmt.Sprintf("%s: %s", workload, p.title), p.unit), curves); err != nil {
			return err
		}
	}
	return nil
}
