package bench

import (
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
	"github.com/damaskshelf/damaskshelf/internal/vtime"
)

// EngineModel is the service-time model of an engine. The engine works in batch steps. Each step processes up to
// ChunkTokens prompt tokens, by priority, and one token of every decoding request. A step takes
//
//	StepBase + tokens/ComputeRate + decoding*PerDecode
//
// so decoding slows down as more requests decode, and slows down further during prefill.
type EngineModel struct {
	StepBase      time.Duration
	ChunkTokens   int   // prompt tokens per step
	ComputeRate   int64 // prompt tokens per second, without StepBase
	PerDecode     time.Duration
	KVCacheTokens int64 // size of the KV cache
}

// DefaultEngine is the engine model of all runs.
var DefaultEngine = EngineModel{
	StepBase:      6 * time.Millisecond,
	ChunkTokens:   512,
	ComputeRate:   40_000,
	PerDecode:     100 * time.Microsecond,
	KVCacheTokens: 440_000,
}

// prefillTime returns the engine time for n prompt tokens in full steps.
func (m *EngineModel) prefillTime(n int) time.Duration {
	steps := float64(n) / float64(m.ChunkTokens)
	return time.Duration(steps*float64(m.StepBase)) + time.Duration(float64(n)/float64(m.ComputeRate)*float64(time.Second))
}

// prefillRate returns the prompt tokens per second of full steps without decoding requests. Engines report it.
func (m *EngineModel) prefillRate() int64 {
	return int64(float64(m.ChunkTokens) / m.prefillTime(m.ChunkTokens).Seconds())
}

// job is a request's work on one engine.
type job struct {
	req          *request
	seq          uint64
	priority     int
	promptTokens int   // prompt tokens of the job's part
	tokensLeft   int   // prompt tokens that are not prefilled
	answerLeft   int   // tokens of the answer that are not generated
	memory       int64 // KV cache tokens that it allocates when it starts; 0: reserved before
	running      bool
	member       bool // of a group: only prefills its part; cleared on the lead once all parts are prefilled, so that it decodes
	finished     bool
}

// engine simulates one engine in virtual time.
type engine struct {
	id            fleet.UpstreamID
	model         EngineModel
	clock         *vtime.Loop
	jobs          []*job // by priority, then arrival
	memoryHeld    int64  // KV cache tokens of running jobs and reservations
	reserved      map[*request]int64
	cache         *blockCache
	seq           uint64
	busy          bool
	bootID        string
	maxMemoryHeld int64         // highest memoryHeld
	busyTime      time.Duration // time in steps

	report          wire.LoadReport // state at reportedAt
	reportedAt      decide.Instant
	publishedEvents int // number of cache events published with the report
}

func newEngine(id fleet.UpstreamID, model EngineModel, c *vtime.Loop) *engine {
	return &engine{id: id, model: model, clock: c, reserved: map[*request]int64{}, cache: newBlockCache(), bootID: "boot-" + string(id)}
}

// submit adds a job to the queue. It waits for its turn and for memory.
func (e *engine) submit(j *job) {
	e.seq++
	j.seq = e.seq
	at, _ := slices.BinarySearchFunc(e.jobs, j, func(a, b *job) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		return int(a.seq) - int(b.seq)
	})
	e.jobs = slices.Insert(e.jobs, at, j)
	e.startStep()
}

// reserve reserves memory for the request and reports whether there was enough.
func (e *engine) reserve(r *request, tokens int64) bool {
	if e.memoryHeld+tokens > e.model.KVCacheTokens {
		return false
	}
	e.reserved[r] += tokens
	e.addMemory(tokens)
	return true
}

// release frees the request's reservation and cancels its jobs.
func (e *engine) release(r *request) {
	e.memoryHeld -= e.reserved[r]
	delete(e.reserved, r)
	e.cancel(r)
}

// addMemory counts tokens as held and evicts cached blocks that no longer fit.
func (e *engine) addMemory(tokens int64) {
	e.memoryHeld += tokens
	e.maxMemoryHeld = max(e.maxMemoryHeld, e.memoryHeld)
	e.cache.evict(e.spareBlocks())
}

// spareBlocks returns the number of blocks that the prefix cache may keep.
func (e *engine) spareBlocks() int {
	return int(max(e.model.KVCacheTokens-e.memoryHeld, 0) / wire.BlockTokens)
}

// cancel ends the request's jobs and frees their memory at once.
func (e *engine) cancel(r *request) {
	e.jobs = slices.DeleteFunc(e.jobs, func(j *job) bool {
		if j.req != r {
			return false
		}
		e.endJob(j)
		return true
	})
	e.startStep()
}

// endJob marks a job as finished and frees its memory.
func (e *engine) endJob(j *job) {
	j.finished = true
	if j.running {
		e.memoryHeld -= j.memory
	}
}

// startStep starts a batch step unless one is in progress or no running job has work.
func (e *engine) startStep() {
	if e.busy {
		return
	}
	e.startJobs()
	budget, answers, hasWork := e.model.ChunkTokens, 0, false
	for _, j := range e.jobs {
		switch {
		case !j.running:
		case j.tokensLeft > 0:
			budget -= min(budget, j.tokensLeft)
			hasWork = true
		case !j.member:
			answers++
			hasWork = true
		}
	}
	if !hasWork {
		return
	}
	computed := e.model.ChunkTokens - budget
	d := e.model.StepBase + time.Duration(answers)*e.model.PerDecode +
		time.Duration(float64(computed)/float64(e.model.ComputeRate)*float64(time.Second))
	e.busy = true
	e.busyTime += d
	e.clock.After(d, e.endStep)
}

// startJobs starts queued jobs while memory is available. A job that does not fit blocks those behind it.
func (e *engine) startJobs() {
	for _, j := range e.jobs {
		if j.running {
			continue
		}
		if e.memoryHeld+j.memory > e.model.KVCacheTokens {
			return
		}
		j.running = true
		if !j.member {
			j.tokensLeft = max(1, j.promptTokens-e.cache.cachedPrefix(j.req.prompt.Blocks)*wire.BlockTokens)
		}
		e.addMemory(j.memory)
	}
}

// endStep ends a batch step: it counts up to ChunkTokens prompt tokens as prefilled, and one token of each answer as
// generated.
func (e *engine) endStep() {
	e.busy = false
	budget := e.model.ChunkTokens
	var done []*job
	for _, j := range e.jobs {
		switch {
		case !j.running:
		case j.tokensLeft > 0:
			n := min(budget, j.tokensLeft)
			budget -= n
			j.tokensLeft -= n
			if n > 0 && j.tokensLeft == 0 {
				done = append(done, j)
			}
		case !j.member:
			if j.answerLeft--; j.answerLeft <= 0 {
				j.finished = true
				done = append(done, j)
			}
		}
	}
	e.finishJobs(done)
	e.startStep()
}

// finishJobs handles the jobs whose prefill or answer ended with a step. A finished prefill of a whole prompt adds its
// blocks to the prefix cache and generates the first token.
func (e *engine) finishJobs(done []*job) {
	for _, j := range done {
		if j.finished {
			e.endJob(j)
			continue
		}
		if !j.member {
			e.cache.touch(j.req.prompt.Blocks, e.spareBlocks())
		}
		if j.answerLeft--; j.answerLeft <= 0 && !j.member {
			e.endJob(j)
		}
	}
	e.jobs = slices.DeleteFunc(e.jobs, func(j *job) bool { return j.finished })
	for _, j := range done {
		j.req.onProgress(j)
	}
}

// load returns the engine's current state, as a report without delay would show it.
func (e *engine) load() wire.LoadReport {
	l := wire.LoadReport{
		BootID: e.bootID, MemoryUsed: e.memoryHeld, MemoryTotal: e.model.KVCacheTokens, PrefillRate: e.model.prefillRate(),
	}
	for _, j := range e.jobs {
		if j.running {
			l.Running++
			l.QueuedTokens += int64(j.tokensLeft)
		} else {
			l.Queued++
			l.QueuedTokens += int64(j.promptTokens)
		}
	}
	return l
}

// publishReport publishes the current state and cache events for instances to read, and schedules the next report.
func (e *engine) publishReport() {
	seq := e.report.Seq + 1
	e.report, e.reportedAt, e.publishedEvents = e.load(), e.clock.Now(), len(e.cache.events)
	e.report.Seq = seq
	e.clock.After(reportInterval, e.publishReport)
}

// cacheEvents returns the published events from a sequence number on. One in eventLossPeriod is lost.
func (e *engine) cacheEvents(from uint64) *wire.CacheEvents {
	batch := &wire.CacheEvents{BootID: e.bootID, First: 1, Next: uint64(e.publishedEvents) + 1}
	first := int(max(from, 1)) - 1
	for _, event := range e.cache.events[min(first, e.publishedEvents):e.publishedEvents] {
		if event.Seq%eventLossPeriod != 0 {
			batch.Events = append(batch.Events, event)
		}
	}
	return batch
}

// blockCache is a prefix cache with least-recently-used eviction, and the log of its events.
type blockCache struct {
	lastUse  map[uint64]uint64 // from a block's hash to the number of its last use
	uses     []use             // oldest first; only a block's last use counts
	useCount uint64
	events   []wire.CacheEvent
	nextSeq  uint64
}

// use is one use of a block.
type use struct {
	hash   uint64
	number uint64
}

func newBlockCache() *blockCache { return &blockCache{lastUse: map[uint64]uint64{}, nextSeq: 1} }

// cachedPrefix returns how many of the leading blocks are cached.
func (c *blockCache) cachedPrefix(blocks []uint64) int {
	for n, hash := range blocks {
		if _, ok := c.lastUse[hash]; !ok {
			return n
		}
	}
	return len(blocks)
}

// touch marks the blocks as used, the first one last, adds those that are missing, and keeps at most spare blocks.
func (c *blockCache) touch(blocks []uint64, spare int) {
	for i := len(blocks) - 1; i >= 0; i-- {
		hash := blocks[i]
		if _, ok := c.lastUse[hash]; !ok {
			c.recordEvent(hash, false)
		}
		c.useCount++
		c.lastUse[hash] = c.useCount
		c.uses = append(c.uses, use{hash, c.useCount})
	}
	c.evict(spare)
}

// evict removes the least recently used blocks until at most spare are left.
func (c *blockCache) evict(spare int) {
	for len(c.lastUse) > spare {
		oldest := c.uses[0]
		c.uses = c.uses[1:]
		if c.lastUse[oldest.hash] == oldest.number {
			delete(c.lastUse, oldest.hash)
			c.recordEvent(oldest.hash, true)
		}
	}
}

// recordEvent logs that a block was added, or dropped.
func (c *blockCache) recordEvent(hash uint64, drop bool) {
	c.events = append(c.events, wire.CacheEvent{Seq: c.nextSeq, Hash: hash, Drop: drop})
	c.nextSeq++
}
