package losses

import (
	"errors"
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a chart.
const (
	drawWidth  = 18 * vg.Centimeter
	drawHeight = 9 * vg.Centimeter
)

// Draw writes a chart of the lost requests over time to a file, with one line per cause. The extension of the file's
// name, such as .svg, selects the format.
func (r *Report) Draw(file string) error {
	if len(r.Windows) == 0 {
		return errors.New("logs hold no answered request")
	}
	chart := plot.New()
	chart.Title.Text = fmt.Sprintf("requests not answered whole and in time, by cause, each %s", r.WindowLength)
	chart.X.Label.Text = "seconds from " + r.Windows[0].From.UTC().Format("15:04:05")
	chart.Y.Label.Text = "requests"
	chart.Legend.Top = true
	var lines []any
	for _, c := range Causes {
		if points := r.causePoints(c); points != nil {
			lines = append(lines, string(c), points)
		}
	}
	if err := plotutil.AddLines(chart, lines...); err != nil {
		return fmt.Errorf("draw losses: %w", err)
	}
	if err := chart.Save(drawWidth, drawHeight, file); err != nil {
		return fmt.Errorf("draw losses: %w", err)
	}
	return nil
}

// causePoints returns the number of requests lost to a cause in each window, or nil if there are none.
func (r *Report) causePoints(c Cause) plotter.XYs {
	var points plotter.XYs
	found := false
	for i := range r.Windows {
		w := &r.Windows[i]
		found = found || w.Causes[c] > 0
		points = append(points, plotter.XY{X: w.From.Sub(r.Windows[0].From).Seconds(), Y: float64(w.Causes[c])})
	}
	if !found {
		return nil
	}
	return points
}
