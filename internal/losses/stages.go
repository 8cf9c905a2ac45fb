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

// Stage is a part of an answered request's time.
type Stage string

// The stages, in the order in which a request goes through them.
const (
	StageQueued     Stage = "place" // from its arrival until it is first sent to an upstream
	StageFirstEvent Stage = "first" // from there to its first event, or to the whole of a plain answer; second tries included
	StageStreaming  Stage = "rest"  // from its first event to its last
)

// Stages lists every stage.
var Stages = []Stage{StageQueued, StageFirstEvent, StageStreaming}

// longestStage bounds a recorded time: no caller waits that long.
const longestStage = 10 * time.Minute

// pointsPerHalf is how many points of a distribution are drawn in each halving of the distance to all requests.
const pointsPerHalf = 10

// StageTimes is how long a stage took the requests of one kind that were answered whole.
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

// stagePoint is the time in ms that a share of the requests didn't exceed.
type stagePoint struct{ share, ms float64 }

// stageKey names a histogram.
type stageKey struct {
	class string
	stage Stage
}

// stageTimes records how long stages took.
type stageTimes map[stageKey]*hdrhistogram.Histogram

// take records an answered request, which waited so long until it was first sent.
func (t stageTimes) take(end fields, waited time.Duration) {
	class := end["class"]
	switch end["reason"] {
	case "served":
		t.record(class, StageQueued, waited)
		t.record(class, StageFirstEvent, end.ms("first_ms")-waited)
		t.record(class, StageStreaming, end.ms("took_ms")-end.ms("first_ms"))
	case "passed_on":
		t.record(class, StageQueued, waited)
		t.record(class, StageFirstEvent, end.ms("took_ms")-waited)
	}
}

func (t stageTimes) record(class string, stage Stage, took time.Duration) {
	h := t[stageKey{class, stage}]
	if h == nil {
		h = hdrhistogram.New(1, longestStage.Milliseconds(), 3)
		t[stageKey{class, stage}] = h
	}
	// A line's times are rounded one by one, so that a difference may be a ms below zero. Within its bounds a histogram
	// refuses nothing.
	_ = h.RecordValue(min(longestStage, max(0, took)).Milliseconds())
}

// report gives the times by class and stage.
func (t stageTimes) report() []StageTimes {
	var all []StageTimes
	for key, h := range t {
		times := StageTimes{
			Class: key.class, Stage: key.stage, Count: h.TotalCount(),
			P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99), Max: h.Max(),
		}
		for _, b := range h.CumulativeDistributionWithTicks(pointsPerHalf) {
			times.points = append(times.points, stagePoint{b.Quantile / 100, float64(b.ValueAt)})
		}
		all = append(all, times)
	}
	slices.SortFunc(all, func(a, b StageTimes) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), slices.Index(Stages, a.Stage)-slices.Index(Stages, b.Stage))
	})
	return all
}

// DrawStages draws, for each stage of each kind of request, the time that a share of the requests didn't exceed, into a
// file whose name ends with the format, as .svg.
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

// stageDashes tell the stages apart.
var stageDashes = map[Stage][]vg.Length{
	StageQueued: {vg.Points(1), vg.Points(2)}, StageFirstEvent: nil, StageStreaming: {vg.Points(5), vg.Points(2)},
}
