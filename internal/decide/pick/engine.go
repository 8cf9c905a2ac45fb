// Package pick chooses the engine for a prompt. A picker selects a few engines of the pool, filters remove those
// that can't take the prompt, and scorers rate the rest, mainly by the predicted first-token time. The engine with
// the lowest score is chosen.
//
// An instance sees engines through load reports that lag. It knows its own dispatches exactly, but sends only a part
// of the fleet's traffic. The predicted work ahead of a prompt is therefore the reported queue, less the work done
// since the report, plus this instance's dispatches since the report, scaled up for the other instances. The prompt's
// own work is its tokens less the cached prefix. Scoring only a few random engines keeps the instances from all
// sending to the one engine that looked best in the last report.
//
// Decisions read an immutable Pool and atomic counters; they take no lock and allocate nothing.
package pick

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// StaleAfter is the age above which a load report is stale. An engine with a stale report is chosen only if none of
// the scored engines has a recent one.
const StaleAfter = 3 * time.Second

// Report is an engine's load report, with its time on this instance's clock.
type Report struct {
	At           decide.Instant // when the engine measured the figures
	Running      int
	Queued       int   // prompts with tokens still to compute
	QueuedTokens int64 // tokens still to compute
	MemoryUsed   int64 // KV cache held by running work and reservations, in tokens
	MemoryTotal  int64
	PrefillRate  int64 // prompt tokens per second
}

// NewReport returns the load report l, received at the instant arrived, with its time on this instance's clock.
func NewReport(l *wire.LoadReport, arrived decide.Instant) *Report {
	return &Report{
		At:      arrived.Add(-time.Duration(l.AgeMs) * time.Millisecond),
		Running: l.Running, Queued: l.Queued, QueuedTokens: l.QueuedTokens,
		MemoryUsed: l.MemoryUsed, MemoryTotal: l.MemoryTotal, PrefillRate: l.PrefillRate,
	}
}

// Engine is this instance's knowledge of one engine. It outlives the pools that contain it.
type Engine struct {
	ID            fleet.UpstreamID
	Cache         *cost.Table // nil if the engine's cache events are not read
	report        atomic.Pointer[Report]
	recent        recentDispatches
	pendingTokens [cost.ClassCount]atomic.Int64 // tokens of this instance's dispatches that have no first token yet
	heldMemory    atomic.Int64                  // memory of this instance's dispatches that have not ended, in tokens
}

// NewEngine returns an engine that has no load report yet.
func NewEngine(id fleet.UpstreamID, cache *cost.Table) *Engine {
	return &Engine{ID: id, Cache: cache}
}

// UpdateReport replaces the load report unless r is older than the current one, and reports whether it did. An older
// report shows an earlier state, and with it unfinished work would be counted as done.
func (e *Engine) UpdateReport(r *Report) bool {
	for {
		last := e.report.Load()
		if last != nil && r.At.Before(last.At) {
			return false
		}
		if e.report.CompareAndSwap(last, r) {
			return true
		}
	}
}

// Report returns the latest load report, or nil if there is none.
func (e *Engine) Report() *Report { return e.report.Load() }

// RecordDispatch records a dispatch of this instance: the prompt tokens to compute, and the most KV cache that it may
// hold, in tokens. Each call must be followed by one call of RecordFirstToken with the same class and tokens, and one
// of ReleaseMemory with the same memory.
func (e *Engine) RecordDispatch(class cost.Class, tokens, memory int64, now decide.Instant) {
	e.recent.add(class, tokens, memory, now)
	e.pendingTokens[class].Add(tokens)
	e.heldMemory.Add(memory)
}

// RecordFirstToken records that a dispatch of this instance has its first token or ended without one.
func (e *Engine) RecordFirstToken(class cost.Class, tokens int64) {
	e.pendingTokens[class].Add(-tokens)
}

// ReleaseMemory records that a dispatch of this instance no longer holds its memory.
func (e *Engine) ReleaseMemory(memory int64) { e.heldMemory.Add(-memory) }

// pendingPrefill returns the prompt tokens of this instance's dispatches that have no first token yet, of all classes
// up to class.
func (e *Engine) pendingPrefill(class cost.Class) int64 {
	var sum int64
	for c := range class + 1 {
		sum += e.pendingTokens[c].Load()
	}
	return sum
}

// Candidate is an engine of a pool.
type Candidate struct {
	*Engine
	Lane bool // whether the engine is one of the long lanes
}

// Pool holds the engines that may take new work for a model. It is immutable.
type Pool struct {
	All          []Candidate // sorted by ID
	Lanes        []Candidate // the engines of All that are long lanes
	EngineMemory int64       // smallest KV cache of an engine, in tokens; larger prompts are of class Group
}

// NewPool returns a pool of the engines. lanes lists those that are long lanes, and memory is the smallest KV cache of
// an engine, in tokens.
func NewPool(engines []*Engine, lanes []fleet.UpstreamID, memory int64) *Pool {
	p := &Pool{EngineMemory: memory}
	sorted := slices.Clone(engines)
	slices.SortFunc(sorted, func(a, b *Engine) int { return cmp.Compare(a.ID, b.ID) })
	isLane := make(map[fleet.UpstreamID]bool, len(lanes))
	for _, id := range lanes {
		isLane[id] = true
	}
	for _, e := range sorted {
		c := Candidate{Engine: e, Lane: isLane[e.ID]}
		p.All = append(p.All, c)
		if c.Lane {
			p.Lanes = append(p.Lanes, c)
		}
	}
	return p
}

// ForClass returns the engines that prompts of the class may go to. Long prompts stay on the lanes, unless the pool has
// no lanes.
func (p *Pool) ForClass(class cost.Class) []Candidate {
	if class.UsesLanes() && len(p.Lanes) > 0 {
		return p.Lanes
	}
	return p.All
}
