package route

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/admit"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/decide/limit"
	"github.com/damaskshelf/damaskshelf/internal/decide/reserve"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
)

// counted is the label pair of one counter.
type counted struct {
	verb   string
	reason decide.Reason
}

// meter holds the router's metrics. Counters are made beforehand, since looking one up takes a lock.
type meter struct {
	registry      *metrics.Registry
	decisions     map[counted]gometrics.Counter // not changed after newMeter
	waits         [cost.ClassCount]gometrics.Gauge
	cacheMissed   gometrics.Counter
	reportsMissed gometrics.Counter
}

func newMeter(r *metrics.Registry) *meter {
	m := &meter{
		registry:      r,
		decisions:     map[counted]gometrics.Counter{},
		cacheMissed:   r.Counter("route_cache_events_missed"),
		reportsMissed: r.Counter("route_load_reports_missed"),
	}
	add := func(verb string, reasons ...decide.Reason) {
		for _, reason := range reasons {
			m.decisions[counted{verb, reason}] = r.Counter("route_decisions", "verb", verb, "reason", string(reason))
		}
	}
	for _, verb := range []string{"dispatch", "queue", "refuse"} {
		add(verb, admit.Reasons...)
	}
	add("refuse", limit.OverLimit, leftReason)
	add("hold", reserve.Reasons...)
	for c := range m.waits {
		m.waits[c] = r.Gauge("route_wait_estimate_ms", "class", cost.Class(c).String())
	}
	return m
}

// count counts a decision by verb and reason.
func (m *meter) count(verb string, reason decide.Reason) {
	if c := m.decisions[counted{verb, reason}]; c != nil {
		c.Inc(1)
	}
}

// waitEstimate keeps the last estimate given to a request that waits.
func (m *meter) waitEstimate(class cost.Class, wait time.Duration) {
	m.waits[class].Update(wait.Milliseconds())
}

// queues shows a model's queue lengths.
func (m *meter) queues(model *model) {
	for _, c := range []cost.Class{cost.Short, cost.Medium, cost.Long} {
		name := c.String()
		if c == cost.Long {
			name = "lanes"
		}
		m.registry.Gauge("route_queue_length", "model", model.name, "queue", name).Update(int64(model.gate.QueueLength(c)))
	}
}

// lanes shows a model's long lanes.
func (m *meter) lanes(model string, n int) {
	m.registry.Gauge("route_lanes", "model", model).Update(int64(n))
}
