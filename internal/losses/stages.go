package losses

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Stage is a part of the time that an answered request took.
type Stage string

// The stages, in the order in which a request goes through them.
const (
	StageQueued     Stage = "place" // from its arrival until it is first sent to an upstream
	StageFirstEvent Stage = "first" // from then to its first event, or to the end of a plain answer; includes retries
	StageStreaming  Stage = "rest"  // from its first event to its last
)

// Stages lists all stages in that order.
var Stages = []Stage{StageQueued, StageFirstEvent, StageStreaming}

// maxStageTime is the upper bound of the histograms; no caller waits that long. Longer times count as maxStageTime.
const maxStageTime = 10 * time.Minute

// ticksPerHalfDistance is the number of points in a drawn distribution each time that the distance to 100% of the
// requests halves.
const ticksPerHalfDistance = 10

// StageTimes is the distribution of the time in one stage, in ms, over the completely answered requests of one class.
type StageTimes struct {
	Class string `json:"class"`
	Stage Stage  `json:"stage"`
	Count int64  `json:"count"`
	P50   int64  `json:"p50_ms"`
	P95   int64  `json:"p95_ms"`
	P99   int64  `json:"p99_ms"`
	Max   int64  `json:"most_ms"`

	points []stagePoint
}

// stagePoint is a point of a distribution: the time in ms that a share of the requests didn't exceed.
type stagePoint struct{ share, ms float64 }

// stageKey identifies the histogram of one class and stage.
type stageKey struct {
	class string
	stage Stage
}

// stageHistograms holds a histogram of stage times, in ms, for each class and stage.
type stageHistograms map[stageKey]*hdrhistogram.Histogram

// recordAnswer records the stages of a completely answered request, which was queued for queueTime. It ignores other
// answers.
func (t stageHistograms) recordAnswer(answer fields, queueTime time.Duration) {
	class := answer["class"]
	switch answer["reason"] {
	case "served":
		t.record(class, StageQueued, queueTime)
		t.record(class, StageFirstEvent, answer.ms("first_ms")-queueTime)
		t.record(class, StageStreaming, answer.ms("took_ms")-answer.ms("first_ms"))
	case "passed_on":
		t.record(class, StageQueued, queueTime)
		t.record(class, StageFirstEvent, answer.ms("took_ms")-queueTime)
	}
}

// record adds one time to the histogram of a class and stage.
func (t stageHistograms) record(class string, stage Stage, elapsed time.Duration) {
	h := t[stageKey{class, stage}]
	if h == nil {
		h = hdrhistogram.New(1, maxStageTime.Milliseconds(), 3)
		t[stageKey{class, stage}] = h
	}
	// Each time in a log line is rounded by itself, so a difference may be a ms below zero. RecordValue returns an error
	// only for a value outside the histogram's bounds.
	_ = h.RecordValue(min(maxStageTime, max(0, elapsed)).Milliseconds())
}

// report returns the distributions, sorted by class and stage.
func (t stageHistograms) report() []StageTimes {
	var all []StageTimes
	for key, h := range t {
		times := StageTimes{
			Class: key.class, Stage: key.stage, Count: h.TotalCount(),
			P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99), Max: h.Max(),
		}
		for _, b := range h.CumulativeDistributionWithTicks(ticksPerHalfDistance) {
			times.points = append(times.points, stagePoint{b.Quantile / 100, float64(b.ValueAt)})
		}
		all = append(all, times)
	}
	slices.SortFunc(all, func(a, b StageTimes) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), slices.Index(Stages, a.Stage)-slices.Index(Stages, b.Stage))
	})
	return all
}

// DrawStages writes a chart of the stage times to a file: for each class and stage, the time that a share of the
// requests didn't exceed. The extension of the file's name, such as .svg, selects the format.
func (r *Report) DrawStages(file string) error {
	if len(r.Stages) == 0 {
		return errors.New("logs hold no answered request")
	}
	chart := plot.New()
	chart.Title.Text = "time of answered requests by stage"
	chart.X.Label.Text = "ms"
	chart.X.Scale = plot.LogScale{}
	chart.X.Tick.Marker = plot.LogTicks{Prec: -1}
	chart.Y.Label.Text = "share of the requests that took no longer"
	classes := 0
	for i, times := range r.Stages {
		if i > 0 && times.Class != r.Stages[i-1].Class {
			classes++
		}
		points := make(plotter.XYs, len(times.points))
		for k, p := range times.points {
			points[k] = plotter.XY{X: max(1, p.ms), Y: p.share}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("draw stages: %w", err)
		}
		line.LineStyle.Color = plotutil.Color(classes)
		line.LineStyle.Dashes = stageDashes[times.Stage]
		chart.Add(line)
		chart.Legend.Add(times.Class+" "+string(times.Stage), line)
	}
	if err := chart.Save(drawWidth, 2*drawHeight, file); err != nil {
		return fmt.Errorf("draw stages: %w", err)
	}
	return nil
}

// stageDashes are the dash patterns of the stages' lines.
var stageDashes = map[Stage][]vg.Length{
	StageQueued: {vg.Points(1), vg.Points(2)}, StageFirstEvent: nil, StageStreaming: {vg.Points(5), vg.Points(2)},
}
