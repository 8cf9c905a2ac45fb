// Package engine implements a stand-in for a model engine, for tests and demonstrations. It has continuous batching with
// a service-time model, a prefix cache in limited memory, priorities, resume and cancel, reservations, orders, delayed
// cache events and load reports, and a cold start. Package answer generates the text of its answers.
//
// The engine has its own time, which runs Config.TimeScale times as fast as the wall clock. Times are engine times
// unless a name or comment says otherwise.
package engine

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/standin/serve"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// stepInterval is the wall-clock time between two updates of an engine that has jobs.
const stepInterval = 2 * time.Millisecond

// Engine is one stand-in engine. It is safe for concurrent use.
type Engine struct {
	cfg        Config
	server     *serve.Server
	faults     *faults.Set
	startedAt  time.Time
	wake       chan struct{} // has an element when run has to check for jobs
	stop       chan struct{} // closed by Close
	goroutines sync.WaitGroup

	closeOnce sync.Once

	mu           sync.Mutex
	bootID       string
	lastStep     time.Duration // time up to which the jobs have run
	jobs         []*job        // queued and running
	nextJobSeq   uint64
	cache        *cache
	warmup       warmup
	reservations map[string]*reservation
	orders       orderState
	report       wire.LoadReport // refreshed every ReportLag
	reportedAt   time.Duration   // time of report
	counters     Counters
}

// Start boots an engine that listens on addr.
func Start(addr string, cfg Config) (*Engine, error) {
	e := &Engine{
		cfg: cfg.withDefaults(), startedAt: time.Now(),
		wake: make(chan struct{}, 1), stop: make(chan struct{}),
		faults: faults.NewSet(faults.Kill, faults.SilentConnections, faults.CloseConnections, faults.Hang, faults.SlowFirstByte, faults.Cold,
			faults.DuplicateParts, faults.ReorderedParts, faults.LateParts, faults.ForeignParts, faults.NoEndMark,
			faults.LoseAnswer, faults.DelayOrders, faults.Leaving, faults.RefuseStart, faults.RefuseEverything),
	}
	e.counters = newCounters()
	e.reset(cfg.StartCold)
	var err error
	if e.server, err = serve.Start(addr, e.routes()); err != nil {
		return nil, err
	}
	e.goroutines.Add(1)
	go e.run()
	return e, nil
}

// ID returns the engine's id.
func (e *Engine) ID() string { return e.cfg.ID }

// Addr returns the address that the engine listens on.
func (e *Engine) Addr() string { return e.server.Addr() }

// KVCacheTokens returns the size of the engine's KV cache in tokens.
func (e *Engine) KVCacheTokens() int64 { return e.cfg.Memory }

// Fencing reports whether the engine refuses orders with a fencing number lower than the highest that it has seen.
func (e *Engine) Fencing() bool { return e.cfg.Fencing }

// BootID returns the id of the current boot. It changes whenever the engine boots.
func (e *Engine) BootID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootID
}

// Close stops the engine. Further calls do nothing.
func (e *Engine) Close() { e.closeOnce.Do(e.close) }

func (e *Engine) close() {
	_ = e.faults.Switch(faults.Hang, false, 0)
	e.locked(func(time.Duration) { e.failAll("engine stopped") })
	e.server.Close()
	close(e.stop)
	e.goroutines.Wait()
}

// Switch turns a fault on or off. The faults of connections and of the listener act through the HTTP server. Kill also
// resets the engine at once, and turning it off lets the engine listen again.
func (e *Engine) Switch(f faults.Fault, on bool, delay time.Duration) error {
	if err := e.faults.Switch(f, on, delay); err != nil {
		return err
	}
	switch {
	case f == faults.Cold && on:
		e.locked(func(time.Duration) { e.warmup.turnCold(e.nextJobSeq) })
	case f == faults.Kill && on:
		e.server.Kill()
		e.locked(func(time.Duration) { e.reset(true) })
		return nil
	}
	return e.server.Switch(f, on)
}

// reset puts the engine into the state after a boot. It fails all jobs and keeps nothing but the configuration, the
// counters and the numbering of jobs.
func (e *Engine) reset(cold bool) {
	e.failAll("engine restarted")
	e.bootID = uuid.NewString()
	e.cache = newCache(e.cfg)
	e.reservations = map[string]*reservation{}
	e.orders = newOrderState(e.cfg)
	e.warmup = warmup{cold: cold, firstCounted: e.nextJobSeq}
	e.report = wire.LoadReport{BootID: e.bootID, Cold: cold, ColdLimit: e.cfg.ColdLimit, MemoryTotal: e.cfg.Memory, PrefillRate: e.wallPrefillRate()}
	e.reportedAt = e.now()
}

// now returns the current engine time.
func (e *Engine) now() time.Duration {
	return time.Duration(float64(time.Since(e.startedAt)) * e.cfg.TimeScale)
}

// wallTime converts a duration in engine time to wall-clock time.
func (e *Engine) wallTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / e.cfg.TimeScale)
}

// afterWallMs returns the engine time at which ms milliseconds of wall-clock time will have passed since now. It returns
// 0, which stands for no limit, if ms isn't positive.
func (e *Engine) afterWallMs(ms int64, now time.Duration) time.Duration {
	if ms <= 0 {
		return 0
	}
	return now + time.Duration(float64(ms)*e.cfg.TimeScale)*time.Millisecond
}

// locked advances the engine to the current time and calls f, both under the engine's mutex.
func (e *Engine) locked(f func(now time.Duration)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.advance(now)
	f(now)
}

// advance carries out everything that is due by now. The caller holds the mutex.
func (e *Engine) advance(now time.Duration) {
	e.expireReservations(now)
	e.failOverdue(now)
	e.step(now)
	e.runOrders(now)
	e.refreshReport(now)
}

// run advances the engine every stepInterval while it has jobs, and otherwise waits for wake. It returns when the engine
// is closed.
func (e *Engine) run() {
	defer e.goroutines.Done()
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		hasJobs := false
		e.locked(func(time.Duration) { hasJobs = len(e.jobs) > 0 })
		nextStep := ticker.C
		if !hasJobs {
			nextStep = nil
		}
		select {
		case <-e.stop:
			return
		case <-e.wake:
		case <-nextStep:
		}
	}
}

// wallPrefillRate returns the prefill rate in prompt tokens per second of wall-clock time, the unit of load reports. It
// ignores ColdSlowdown.
func (e *Engine) wallPrefillRate() int64 { return int64(float64(e.cfg.PrefillRate) * e.cfg.TimeScale) }

// refreshReport replaces the load report if it is at least ReportLag old.
func (e *Engine) refreshReport(now time.Duration) {
	if now-e.reportedAt < e.cfg.ReportLag {
		return
	}
	running := e.countRunning()
	var queuedTokens float64
	for _, j := range e.jobs {
		if !j.running {
			queuedTokens += float64(j.promptTokens)
			continue
		}
		queuedTokens += j.prefillLeft
	}
	e.reportedAt = now
	e.report = wire.LoadReport{
		BootID: e.bootID, Seq: e.report.Seq + 1, Cold: e.warmup.cold, ColdLimit: e.cfg.ColdLimit,
		Running: running, Queued: len(e.jobs) - running, QueuedTokens: int64(queuedTokens),
		MemoryUsed: e.memoryInUse(), MemoryTotal: e.cfg.Memory, PrefillRate: e.wallPrefillRate(),
		Leaving: e.faults.On(faults.Leaving),
	}
}
