// Package metrics registers the metrics of an instance and renders them in the usual text format. Updating a counter or
// gauge is an atomic operation, and a histogram's update takes a short lock, so requests may update them.
package metrics

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

const (
	prefix = "damaskshelf_"

	// A histogram keeps an exponentially decaying sample of sampleSize values, weighted to the last minutes.
	sampleSize  = 1028
	sampleDecay = 0.015
)

// Registry holds one instance's metrics.
type Registry struct {
	metrics gometrics.Registry
}

// New returns an empty registry. Each instance in a process has its own.
func New() *Registry { return &Registry{metrics: gometrics.NewRegistry()} }

// Counter returns the counter with that name and labels, and registers it on the first call. labels are pairs of key and
// value.
func (r *Registry) Counter(name string, labels ...string) gometrics.Counter {
	return r.metrics.GetOrRegister(metricKey(name, labels), gometrics.NewCounter).(gometrics.Counter)
}

// Gauge returns the gauge with that name and labels, and registers it on the first call.
func (r *Registry) Gauge(name string, labels ...string) gometrics.Gauge {
	return r.metrics.GetOrRegister(metricKey(name, labels), gometrics.NewGauge).(gometrics.Gauge)
}

// Histogram returns the histogram with that name and labels, and registers it on the first call.
func (r *Registry) Histogram(name string, labels ...string) gometrics.Histogram {
	return r.metrics.GetOrRegister(metricKey(name, labels), func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleDecay))
	}).(gometrics.Histogram)
}

// metricKey returns the key of a metric, as name{a="b",c="d"}. The length of labels is even.
func metricKey(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	pairs := make([]string, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
	}
	return name + "{" + strings.Join(pairs, ",") + "}"
}

// quantiles are those that are rendered for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// Text renders all metrics as one sample per line, with the lines sorted.
func (r *Registry) Text() []byte {
	var lines []string
	r.metrics.Each(func(name string, m any) {
		switch m := m.(type) {
		case gometrics.Counter:
			lines = append(lines, sampleLine(name, "_total", nil, float64(m.Count())))
		case gometrics.Gauge:
			lines = append(lines, sampleLine(name, "", nil, float64(m.Value())))
		case gometrics.Histogram:
			lines = append(lines, histogramLines(name, m.Snapshot())...)
		}
	})
	slices.Sort(lines)
	var b bytes.Buffer
	for _, l := range lines {
		b.WriteString(l)
		b.WriteByte('\n')
	}
	return b.Bytes()
}

// histogramLines renders a histogram's count, sum and quantiles.
func histogramLines(name string, h gometrics.Histogram) []string {
	lines := []string{
		sampleLine(name, "_count", nil, float64(h.Count())),
		sampleLine(name, "_sum", nil, float64(h.Sum())),
	}
	for i, v := range h.Percentiles(quantiles) {
		lines = append(lines, sampleLine(name, "", []string{"quantile", fmt.Sprint(quantiles[i])}, v))
	}
	return lines
}

// sampleLine renders one sample of the metric with that key. suffix is appended to the metric's name, and the label
// extraLabel, a key and a value if not nil, to the key's labels.
func sampleLine(key, suffix string, extraLabel []string, value float64) string {
	name, labels, _ := strings.Cut(key, "{")
	labels = strings.TrimSuffix(labels, "}")
	if len(extraLabel) == 2 {
		pair := fmt.Sprintf("%s=%q", extraLabel[0], extraLabel[1])
		if labels != "" {
			pair = labels + "," + pair
		}
		labels = pair
	}
	if labels != "" {
		labels = "{" + labels + "}"
	}
	return fmt.Sprintf("%s%s%s%s %g", prefix, name, suffix, labels, value)
}
