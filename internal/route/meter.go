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

// decisionLabels are the labels of one counter of decisions.
type decisionLabels struct {
	verb   string
	reason decide.Reason
}

// meter holds the router's metrics. The counters are created in advance because the registry takes a lock to look one
// up.
type meter struct {
	registry          *metrics.Registry
	decisions         map[decisionLabels]gometrics.Counter // not changed after newMeter
	waitEstimates     [cost.ClassCount]gometrics.Gauge
	cacheEventsMissed gometrics.Counter
	loadReportsMissed gometrics.Counter
}

// newMeter returns a meter whose counters and gauges are registered in r.
func newMeter(r *metrics.Registry) *meter {
	m := &meter{
		registry:          r,
		decisions:         map[decisionLabels]gometrics.Counter{},
		cacheEventsMissed: r.Counter("route_cache_events_missed"),
		loadReportsMissed: r.Counter("route_load_reports_missed"),
	}
	add := func(verb string, reasons ...decide.Reason) {
		for _, reason := range reasons {
			m.decisions[decisionLabels{verb, reason}] = r.Counter("route_decisions", "verb", verb, "reason", string(reason))
		}
	}
	for _, verb := range []string{"dispatch", "queue", "refuse"} {
		add(verb, admit.Reasons...)
	}
	add("refuse", limit.OverLimit, reasonLeftWaiting)
	add("hold", reserve.Reasons...)
	for c := range m.waitEstimates {
		m.waitEstimates[c] = r.Gauge("route_wait_estimate_ms", "class", cost.Class(c).String())
	}
	return m
}

// countDecision counts a decision by verb and reason.
func (m *meter) countDecision(verb string, reason decide.Reason) {
	if c := m.decisions[decisionLabels{verb, reason}]; c != nil {
		c.Inc(1)
	}
}

// setWaitEstimate sets a class's gauge to the latest estimate of a queued request's wait.
func (m *meter) setWaitEstimate(class cost.Class, wait time.Duration) {
	m.waitEstimates[class].Update(wait.Milliseconds())
}

// setQueueLengths sets the gauges of a model's queue lengths.
func (m *meter) setQueueLengths(model *model) {
	for _, c := range []cost.Class{cost.Short, cost.Medium, cost.Long} {
		name := c.String()
		if c == cost.Long {
			name = "lanes"
		}
		m.registry.Gauge("route_queue_length", "model", model.name, "queue", name).Update(int64(model.gate.QueueLength(c)))
	}
}

// setLanes sets the gauge of a model's number of long lanes.
func (m *meter) setLanes(model string, n int) {
	m.registry.Gauge("route_lanes", "model", model).Update(int64(n))
}
