package route

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/admit"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
)

const (
	// laneResizeInterval is the least time between two adjustments of the number of lanes.
	laneResizeInterval = time.Second
	// longestPromptTokens is at least the length of the users' longest prompts. The lanes together can hold one.
	longestPromptTokens = 1_000_000
)

// recordDemand adds a long prompt's engine time to the demand for lanes: its prefill at the fastest engine's rate, and
// its expected decoding weighted by the share of an engine's memory that it occupies.
func (m *model) recordDemand(r *admit.Request, p *modelPool) {
	rate := int64(0)
	for _, c := range p.pool.All {
		rate = max(rate, c.PrefillRate())
	}
	seconds := cost.PrefillTime(int64(r.Prompt.Tokens), rate).Seconds()
	share := float64(r.Prompt.MemoryTokens()) / float64(p.pool.EngineMemory)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.demand.Add(seconds+r.DecodeTime.Seconds()*share, m.router.now())
}

// onLoadReport is called after each load report. It adjusts the number of lanes if that is due and processes the
// queues.
func (m *model) onLoadReport() {
	now := m.router.now()
	if last := m.resizedAt.Load(); now.Sub(decide.Instant(last)) >= laneResizeInterval || last == 0 {
		if m.resizedAt.CompareAndSwap(last, max(int64(now), 1)) {
			m.resizeLanes(now)
		}
	}
	m.wakeQueues()
}

// resizeLanes sets the number of lanes from the measured demand of all instances, taken as this instance's demand times
// their number.
func (m *model) resizeLanes(now decide.Instant) {
	s := m.router.state()
	p := m.pool(s.view)
	m.mu.Lock()
	m.sizer.MinLanes = min(minLanes(p.pool.EngineMemory), p.engineCount)
	size, reason := m.sizer.Resize(m.demand.BusyEngines(now)*float64(s.instances), p.engineCount, now)
	m.mu.Unlock()
	if int64(size) == m.lanes.Swap(int64(size)) {
		return
	}
	m.router.meter.setLanes(m.name, size)
	m.router.explain.Record("lanes", m.name, reason, "lanes", size, "engines", p.engineCount)
}

// minLanes returns a number of engines that can hold the longest prompt together. memory is the memory of one engine in
// tokens.
func minLanes(memory int64) int { return int(longestPromptTokens/max(memory, 1)) + 1 }
