// Package engine is a stand-in of a model engine: continuous batching with a service-time model, a prefix
// cache in limited memory, priorities, resume and cancel, reservations, orders, late cache events and
// load reports, and a cold start. Its answers come from package answer.
package engine

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/standin/serve"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// tick is how often running jobs get on.
const tick = 2 * time.Millisecond

// Engine is one stand-in engine. It is safe for concurrent use.
type Engine struct {
	cfg    Config
	http   *serve.Server
	faults *faults.Set
	start  time.Time
	wake   chan struct{}
	stop   chan struct{}
	ended  sync.WaitGroup

	closing sync.Once

	mu           sync.Mutex
	boot         string
	last         time.Duration // of the last step
	jobs         []*job
	nextJob      uint64
	cache        *cache
	warmth       warmth
	reservations map[string]*reservation
	orders       orderBook
	report       wire.LoadReport
	reported     time.Duration
	counters     Counters
}

// Start boots an engine that listens on addr.
func Start(addr string, cfg Config) (*Engine, error) {
	e := &Engine{
		cfg: cfg.withDefaults(), start: time.Now(),
		wake: make(chan struct{}, 1), stop: make(chan struct{}),
		faults: faults.NewSet(faults.Kill, faults.SilentConnections, faults.CloseConnections, faults.Hang, faults.SlowFirstByte, faults.Cold,
			faults.DuplicateParts, faults.ReorderedParts, faults.LateParts, faults.ForeignParts, faults.NoEndMark,
			faults.LoseAnswer, faults.DelayOrders, faults.Leaving, faults.RefuseStart, faults.RefuseEverything),
	}
	e.counters = newCounters()
	e.reset(cfg.StartCold)
	var err error
	if e.http, err = serve.Start(addr, e.routes()); err != nil {
		return nil, err
	}
	e.ended.Add(1)
	go e.run()
	return e, nil
}

// ID is the engine's id.
func (e *Engine) ID() string { return e.cfg.ID }

// Addr is the engine's address.
func (e *Engine) Addr() string { return e.http.Addr() }

// Memory is the size of its KV cache in tokens.
func (e *Engine) KVCacheTokens() int64 { return e.cfg.KVCacheTokens }

// Fencing tells whether it refuses orders with an old fencing number.
func (e *Engine) Fencing() bool { return e.cfg.Fencing }

// BootID changes whenever the engine boots.
func (e *Engine) BootID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot
}

// Close stops the engine. It may be called again.
func (e *Engine) Close() { e.closing.Do(e.close) }

func (e *Engine) close() {
	_ = e.faults.Switch(faults.Hang, false, 0)
	e.locked(func(time.Duration) { e.failAll("engine stopped") })
	e.http.Close()
	close(e.stop)
	e.ended.Wait()
}

// Switch turns a fault on or off.
func (e *Engine) Switch(f faults.Fault, on bool, delay time.Duration) error {
	if err := e.faults.Switch(f, on, delay); err != nil {
		return err
	}
	switch {
	case f == faults.Cold && on:
		e.locked(func(time.Duration) { e.warmth.turnCold(e.nextJob) })
	case f == faults.Kill && on:
		e.http.Kill()
		e.locked(func(time.Duration) { e.reset(true) })
		return nil
	}
	return e.http.Switch(f, on)
}

// reset is a boot: everything but the configuration and the counters is gone.
func (e *Engine) reset(cold bool) {
	e.failAll("engine restarted")
	e.boot = uuid.NewString()
	e.cache = newCache(e.cfg)
	e.reservations = map[string]*reservation{}
	e.orders = newOrderBook(e.cfg)
	e.warmth = warmth{cold: cold, since: e.nextJob}
	e.report = wire.LoadReport{BootID: e.boot, Cold: cold, ColdLimit: e.cfg.ColdLimit, MemoryTotal: e.cfg.KVCacheTokens, PrefillRate: e.wallRate()}
	e.reported = e.now()
}

// now is the engine's time.
func (e *Engine) now() time.Duration {
	return time.Duration(float64(time.Since(e.start)) * e.cfg.TimeScale)
}

// wall is the time on the wall in which d of the engine's time passes.
func (e *Engine) wall(d time.Duration) time.Duration {
	return time.Duration(float64(d) / e.cfg.TimeScale)
}

// instant is the engine's time when so many milliseconds on the wall have passed; 0 for none.
func (e *Engine) instant(ms int64, now time.Duration) time.Duration {
	if ms <= 0 {
		return 0
	}
	return now + time.Duration(float64(ms)*e.cfg.TimeScale)*time.Millisecond
}

// locked brings the engine up to now and calls f under its mutex.
func (e *Engine) locked(f func(now time.Duration)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.advance(now)
	f(now)
}

func (e *Engine) advance(now time.Duration) {
	e.expire(now)
	e.endOverdue(now)
	e.step(now)
	e.carryOut(now)
	e.refreshReport(now)
}

// run brings the engine up to date while it has jobs.
func (e *Engine) run() {
	defer e.ended.Done()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		busy := false
		e.locked(func(time.Duration) { busy = len(e.jobs) > 0 })
		next := ticker.C
		if !busy {
			next = nil
		}
		select {
		case <-e.stop:
			return
		case <-e.wake:
		case <-next:
		}
	}
}

// wallRate is the prefill rate by the clock on the wall, as reports give it.
func (e *Engine) wallRate() int64 { return int64(float64(e.cfg.PrefillRate) * e.cfg.TimeScale) }

func (e *Engine) refreshReport(now time.Duration) {
	if now-e.reported < e.cfg.ReportInterval {
		return
	}
	running := e.running()
	var queuedTokens float64
	for _, j := range e.jobs {
		if !j.running {
			queuedTokens += float64(j.prompt)
			continue
		}
		queuedTokens += j.left
	}
	e.reported = now
	e.report = wire.LoadReport{
		BootID: e.boot, Seq: e.report.Seq + 1, Cold: e.warmth.cold, ColdLimit: e.cfg.ColdLimit,
		Running: running, Queued: len(e.jobs) - running, QueuedTokens: int64(queuedTokens),
		MemoryUsed: e.held(), MemoryTotal: e.cfg.KVCacheTokens, PrefillRate: e.wallRate(),
		Leaving: e.faults.On(faults.Leaving),
	}
}
