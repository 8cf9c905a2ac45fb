// Package pick chooses the engine for a prompt: filters take engines out, scorers predict its first-token
// time on those left, and a picker looks at a few of them and takes the best.
//
// Each instance sees engines through load reports that lag, knows its own dispatches exactly, and sends
// only its part of the fleet's traffic. A prediction is therefore the report, less the work done since,
// plus the own dispatches since, scaled up for the other instances, less the cached prefix. Looking at a
// few random engines keeps the instances from herding to the one engine that the last report praised.
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

// StaleAfter is the age of a load report above which its engine is chosen only where no other can be.
const StaleAfter = 3 * time.Second

// Report is an engine's last load report, in this instance's time.
type Report struct {
	At           decide.Instant // when its figures were true
	Running      int
	Queued       int   // prompts of which tokens are not yet computed
	QueuedTokens int64 // those tokens
	MemoryUsed   int64 // KV cache held by work and reservations, tokens
	MemoryTotal  int64
	PrefillRate  int64 // prompt tokens a second
}

// ReportOf gives the wire's report in the instance's time; arrived is when it came in.
func NewReport(l *wire.Load, arrived decide.Instant) *Report {
	return &Report{
		At:      arrived.Add(-time.Duration(l.AgeMs) * time.Millisecond),
		Running: l.Running, Queued: l.Queued, QueuedTokens: l.QueuedTokens,
		MemoryUsed: l.MemoryUsed, MemoryTotal: l.MemoryTotal, PrefillRate: l.PrefillRate,
	}
}

// Engine is what one instance knows of one engine. It outlives the pools that it is in.
type Engine struct {
	ID     fleet.UpstreamID
	Cache  *cost.Table // nil where cache events are not read
	report atomic.Pointer[Report]
	sent   ledger
	begun  [cost.ClassCount]atomic.Int64 // tokens of own dispatches without a first token yet
	holds  atomic.Int64                  // memory of own dispatches that have not ended
}

// NewEngine makes an engine of which nothing is known yet.
func NewEngine(id fleet.UpstreamID, cache *cost.Table) *Engine {
	return &Engine{ID: id, Cache: cache}
}

// Tell takes a load report in. A report that is older than the last one is dropped: it shows an earlier
// state, and would let work be counted as done that is not.
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

// Report gives the last load report, or nil.
func (e *Engine) Report() *Report { return e.report.Load() }

// Sent notes an own dispatch: tokens to compute and the memory that it may come to hold. Each call is
// followed by one of Began with the same class and tokens, and one of Ended with the same memory.
func (e *Engine) RecordDispatch(class cost.Class, tokens, memory int64, now decide.Instant) {
	e.sent.add(class, tokens, memory, now)
	e.begun[class].Add(tokens)
	e.holds.Add(memory)
}

// Began notes that an own dispatch has its first token, or ended without one.
func (e *Engine) RecordFirstToken(class cost.Class, tokens int64) { e.begun[class].Add(-tokens) }

// Ended notes that an own dispatch holds no memory any more.
func (e *Engine) ReleaseMemory(memory int64) { e.holds.Add(-memory) }

// unbegun is the work of own dispatches, up to class, that have no first token yet.
func (e *Engine) unbegun(class cost.Class) int64 {
	var sum int64
	for c := range class + 1 {
		sum += e.begun[c].Load()
	}
	return sum
}

// Candidate is an engine in a pool.
type Candidate struct {
	*Engine
	Lane bool // in the long lanes
}

// Pool is the engines that may take a model's new work now. It is immutable.
type Pool struct {
	All          []Candidate // sorted by ID
	Lanes        []Candidate // those of them in the long lanes
	EngineMemory int64       // the least memory of one engine, in tokens; bounds what is no group's prompt
}

// NewPool makes a pool of engines, lanes of which are in the long lanes.
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

// For gives the engines that prompts of the class may go to: long ones stay on the lanes, unless there
// are none.
func (p *Pool) ForClass(class cost.Class) []Candidate {
	if class.UsesLanes() && len(p.Lanes) > 0 {
		return p.Lanes
	}
	return p.All
}
