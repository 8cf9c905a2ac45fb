package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/google/subcommands"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/damaskshelf/damaskshelf/internal/bench"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
)

// plotCommand draws the first-token time over the load, with one line per policy.
type plotCommand struct {
	options
	out string
}

func (*plotCommand) Name() string     { return "plot" }
func (*plotCommand) Synopsis() string { return "draw first-token times over the load, as SVG" }
func (*plotCommand) Usage() string    { return "damaskbench plot [-out DIRECTORY] [flags]\n" }

func (p *plotCommand) SetFlags(f *flag.FlagSet) {
	p.setFlags(f)
	f.StringVar(&p.out, "out", "docs/plots", "directory of the plots")
}

// Execute runs the selected configurations and saves their plots.
func (p *plotCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	points, err := p.runAll()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	if err := p.draw(points); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// curve is one policy's line in a plot.
type curve struct {
	name   string
	points plotter.XYs
}

// draw saves a plot for each deployment, number of instances and class.
func (p *plotCommand) draw(points []bench.Point) error {
	for _, class := range []cost.Class{cost.Short, cost.Medium, cost.Long, cost.Group} {
		figures := map[string][]curve{}
		var order []string
		for i := range points {
			c := points[i].Config
			name := fmt.Sprintf("%s-%d-%s", c.Deployment.Name, c.Instances, class)
			if figures[name] == nil {
				order = append(order, name)
			}
			first := points[i].Full.Class[class].Quantile(0.95)
			figures[name] = addPoint(figures[name], c.Policy, c.Load, first)
		}
		for _, name := range order {
			if err := p.save(name, class, figures[name]); err != nil {
				return err
			}
		}
	}
	return nil
}

// addPoint adds a first-token time to the policy's curve, or starts its curve. It ignores a time of 0.
func addPoint(curves []curve, policy string, load float64, first time.Duration) []curve {
	if first == 0 {
		return curves // no request of the class had a first token
	}
	return addToCurve(curves, policy, plotter.XY{X: load, Y: first.Seconds()})
}

// addToCurve adds a point to the curve with the given name, or starts the curve.
func addToCurve(curves []curve, name string, xy plotter.XY) []curve {
	for i := range curves {
		if curves[i].name == name {
			curves[i].points = append(curves[i].points, xy)
			return curves
		}
	}
	return append(curves, curve{name, plotter.XYs{xy}})
}

// save writes one plot to the output directory as an SVG file.
func (p *plotCommand) save(name string, class cost.Class, curves []curve) error {
	chart := newChart(fmt.Sprintf("%s prompts: p95 of the first token", class), "seconds")
	chart.Y.Scale = plot.LogScale{}
	chart.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	return saveChart(filepath.Join(p.out, name+".svg"), chart, curves)
}

// newChart returns a chart over the load.
func newChart(title, unit string) *plot.Plot {
	chart := plot.New()
	chart.Title.Text = title
	chart.X.Label.Text = "load (1.0 = capacity)"
	chart.Y.Label.Text = unit
	chart.Legend.Top, chart.Legend.Left = true, true
	return chart
}

// saveChart adds the curves to the chart and writes it to an SVG file.
func saveChart(path string, chart *plot.Plot, curves []curve) error {
	var lines []any
	for _, c := range curves {
		lines = append(lines, c.name, c.points)
	}
	if err := plotutil.AddLinePoints(chart, lines...); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	if err := chart.Save(14*vg.Centimeter, 9*vg.Centimeter, path); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	return nil
}
