package route

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/admit"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
)

const (
	// resizeEvery is the time between two sizings of the lanes.
	resizeEvery = time.Second
	// longestPrompt is enough for the users' longest prompts, in tokens; lanes hold at least one.
	longestPrompt = 1_000_000
)

// demanded counts a long prompt's engine time into the lanes' demand.
func (m *model) demanded(r *admit.Request, p *pooled) {
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

// reported is called after each load report: it sizes the lanes when that is due, and wakes the queues.
func (m *model) reported() {
	now := m.router.now()
	if last := m.resized.Load(); now.Sub(decide.Instant(last)) >= resizeEvery || last == 0 {
		if m.resized.CompareAndSwap(last, max(int64(now), 1)) {
			m.resize(now)
		}
	}
	m.wake()
}

func (m *model) resize(now decide.Instant) {
	s := m.router.scene()
	p := m.pool(s.view)
	m.mu.Lock()
	m.sizer.MinLanes = min(leastLanes(p.pool.EngineMemory), p.size)
	size, reason := m.sizer.Resize(m.demand.BusyEngines(now)*float64(s.entries), p.size, now)
	m.mu.Unlock()
	if int64(size) == m.lanes.Swap(int64(size)) {
		return
	}
	m.router.meter.lanes(m.name, size)
	m.router.explain.Record("lanes", m.name, reason, "lanes", size, "engines", p.size)
}

// leastLanes is enough engines for the longest prompt.
func leastLanes(memory int64) int { return int(longestPrompt/max(memory, 1)) + 1 }
