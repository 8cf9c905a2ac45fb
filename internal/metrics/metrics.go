// Package metrics names an instance's metrics and writes them out in the usual text form. Counting is
// atomic and safe on the path of a request.
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

	// A histogram keeps an exponentially decaying sample of this size, weighted to the last minutes.
	reservoir = 1028
	decay     = 0.015
)

// Registry holds one instance's metrics.
type Registry struct {
	r gometrics.Registry
}

// New gives an empty registry; instances in one process don't share one.
func New() *Registry { return &Registry{r: gometrics.NewRegistry()} }

// Counter gives the counter of that name. Labels are pairs of key and value.
func (r *Registry) Counter(name string, labels ...string) gometrics.Counter {
	return r.r.GetOrRegister(key(name, labels), gometrics.NewCounter).(gometrics.Counter)
}

// Gauge gives the gauge of that name.
func (r *Registry) Gauge(name string, labels ...string) gometrics.Gauge {
	return r.r.GetOrRegister(key(name, labels), gometrics.NewGauge).(gometrics.Gauge)
}

// Histogram gives the histogram of that name.
func (r *Registry) Histogram(name string, labels ...string) gometrics.Histogram {
	return r.r.GetOrRegister(key(name, labels), func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(reservoir, decay))
	}).(gometrics.Histogram)
}

// key gives name{a="b",c="d"}; labels is of even length.
func key(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	pairs := make([]string, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
	}
	return name + "{" + strings.Join(pairs, ",") + "}"
}

var quantiles = []float64{0.5, 0.95, 0.99}

// Text gives all metrics, sorted by name, one sample a line.
func (r *Registry) Text() []byte {
	var lines []string
	r.r.Each(func(name string, m any) {
		switch m := m.(type) {
		case gometrics.Counter:
			lines = append(lines, sample(name, "_total", nil, float64(m.Count())))
		case gometrics.Gauge:
			lines = append(lines, sample(name, "", nil, float64(m.Value())))
		case gometrics.Histogram:
			lines = append(lines, histogram(name, m.Snapshot())...)
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

func histogram(name string, h gometrics.Histogram) []string {
	lines := []string{
		sample(name, "_count", nil, float64(h.Count())),
		sample(name, "_sum", nil, float64(h.Sum())),
	}
	for i, v := range h.Percentiles(quantiles) {
		lines = append(lines, sample(name, "", []string{"quantile", fmt.Sprint(quantiles[i])}, v))
	}
	return lines
}

// sample gives one line; the suffix goes before the labels of the key.
func sample(k, suffix string, extra []string, value float64) string {
	name, labels, _ := strings.Cut(k, "{")
	labels = strings.TrimSuffix(labels, "}")
	if len(extra) == 2 {
		pair := fmt.Sprintf("%s=%q", extra[0], extra[1])
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
