package placement

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
)

const (
	// overloadLogInterval is the time between two log lines on the overload of a service while it lasts.
	overloadLogInterval = time.Second
	// overloadEndsAfter is how long no request must have been refused, and none have waited, for the overload to have ended.
	overloadEndsAfter = time.Second
	// overloadBeginsAfter is how long requests must wait without a pause for an overload to begin without any refusal.
	overloadBeginsAfter = 100 * time.Millisecond
)

// overloadReport is what was reported of a service's overload.
type overloadReport struct {
	active       bool
	waitingSince decide.Instant // since when requests wait without a pause; 0: none waits
	since        decide.Instant // when the overload began
	lastSign     decide.Instant // when a request was last refused or waited
	loggedAt     decide.Instant
	refused      map[string]int // by kind, since the last log line
	promisesKept uint64         // when it was last counted
}

// SetMetrics sets the registry of the metrics that this instance keeps while it is the dispatcher. It must be called before
// Run.
func (c *Client) SetMetrics(m *metrics.Registry) { c.hub.metrics = m }

// reportOf returns the report of a service; mu is held.
func (h *hub) reportOf(service catalog.ServiceName) *overloadReport {
	r := h.overloadReports[service]
	if r == nil {
		r = &overloadReport{refused: map[string]int{}}
		h.overloadReports[service] = r
	}
	return r
}

// countDecision counts a refusal, or the error of the forecast that let a placed request wait; mu is held.
func (h *hub) countDecision(now decide.Instant, service catalog.ServiceName, st *dispatch.State, d dispatch.Decision) {
	kind := st.Kind(d.Job)
	switch {
	case d.Upstream == "":
		h.metrics.Counter("dispatch_refusals", "kind", kind, "reason", string(d.Reason)).Inc(1)
		r := h.reportOf(service)
		r.refused[kind]++
		r.lastSign = now
	case d.ForecastStart != 0:
		h.metrics.Histogram("dispatch_forecast_error_ms", "kind", kind).Update(now.Sub(d.ForecastStart).Milliseconds())
	}
}

// reportOverload updates the metrics of a service under overload control, and logs when an overload begins, each
// overloadLogInterval while it lasts, and when it ends; mu is held.
func (h *hub) reportOverload(now decide.Instant, service catalog.ServiceName, st *dispatch.State) {
	r := h.reportOf(service)
	waits := st.Waiting() > 0
	switch {
	case !waits:
		r.waitingSince = 0
	case r.waitingSince == 0:
		r.waitingSince = now
	}
	if !st.ByForecast() {
		if r.active { // the setting was changed
			h.logOverload(now, service, st, r, "ended")
			r.active = false
		}
		clear(r.refused)
		return
	}
	if !r.active && !r.begins(now, waits) {
		return
	}
	if waits {
		r.lastSign = now
	}
	switch {
	case !r.active:
		r.active, r.since = true, now
		h.logOverload(now, service, st, r, "began")
	case now.Sub(r.lastSign) >= overloadEndsAfter:
		h.logOverload(now, service, st, r, "ended")
		r.active = false
	case now.Sub(r.loggedAt) >= overloadLogInterval:
		h.logOverload(now, service, st, r, "lasts")
	}
}

// begins reports whether an overload begins: a request was refused now, or requests have waited for a while.
func (r *overloadReport) begins(now decide.Instant, waits bool) bool {
	return len(r.refused) > 0 && r.lastSign == now || waits && now.Sub(r.waitingSince) >= overloadBeginsAfter
}

// logOverload logs the load of a service with the values from which it is decided, and sets the metrics; mu is held.
func (h *hub) logOverload(now decide.Instant, service catalog.ServiceName, st *dispatch.State, r *overloadReport, state string) {
	l := st.Load(now)
	h.setOverloadMetrics(service, l, r, state != "ended")
	pairs := []any{
		"service", service, "state", state, "for_ms", now.Sub(r.since).Milliseconds(), "waiting", l.Waiting, "running", l.Running,
		"freed_per_s", l.FreedPerS, "asked_per_s", l.AskedPerS,
	}
	for _, k := range l.Kinds {
		pairs = append(pairs, k.Kind+"_waiting", k.Waiting, k.Kind+"_refused", r.refused[k.Kind], k.Kind+"_short_of", string(k.ShortOf))
	}
	h.log.Info("overload", append(pairs, "promises", l.Promises, "promises_kept", l.PromisesKept, "workspaces", l.Workspaces,
		"worst_level", l.WorstLevel, "mean_level", l.MeanLevel)...)
	r.loggedAt = now
	clear(r.refused)
}

// setOverloadMetrics sets the metrics of a service's load.
func (h *hub) setOverloadMetrics(service catalog.ServiceName, l dispatch.Load, r *overloadReport, contended bool) {
	gauge := func(name string, n int) { h.metrics.Gauge(name, "service", string(service)).Update(int64(n)) }
	for _, k := range l.Kinds {
		h.metrics.Gauge("dispatch_waiting", "service", string(service), "kind", k.Kind).Update(int64(k.Waiting))
	}
	gauge("dispatch_promises", l.Promises)
	h.metrics.Counter("dispatch_promises_kept", "service", string(service)).Inc(int64(l.PromisesKept - min(r.promisesKept, l.PromisesKept)))
	r.promisesKept = l.PromisesKept
	n := 0
	if contended {
		n = 1
	}
	gauge("dispatch_contended", n)
}
