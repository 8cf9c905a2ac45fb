package bench

import (
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
	"github.com/damaskshelf/damaskshelf/internal/vtime"
)

// EngineModel is the service-time model of an engine: batch steps, each with up to Chunk prompt tokens by
// priority and one token for every answer under way. A step takes
//
//	Base + tokens/Compute + answers*PerAnswer
//
// so tokens come slower the more answers run, and slower still while prompts are computed.
type EngineModel struct {
	StepBase      time.Duration
	ChunkTokens   int   // prompt tokens a step
	ComputeRate   int64 // prompt tokens a second, without Base
	PerDecode     time.Duration
	KVCacheTokens int64 // KV cache, tokens
}

// DefaultEngine is the model that all tables are made with.
var DefaultEngine = EngineModel{
	StepBase:      6 * time.Millisecond,
	ChunkTokens:   512,
	ComputeRate:   40_000,
	PerDecode:     100 * time.Microsecond,
	KVCacheTokens: 440_000,
}

// prefillTime is the engine time that n prompt tokens take when steps are full.
func (m *EngineModel) prefillTime(n int) time.Duration {
	steps := float64(n) / float64(m.ChunkTokens)
	return time.Duration(steps*float64(m.StepBase)) + time.Duration(float64(n)/float64(m.ComputeRate)*float64(time.Second))
}

// rate is the prompt tokens a second of full steps without answers; engines report it.
func (m *EngineModel) rate() int64 {
	return int64(float64(m.ChunkTokens) / m.prefillTime(m.ChunkTokens).Seconds())
}

// job is a request's work on one engine.
type job struct {
	req      *request
	seq      uint64
	priority int
	tokens   int   // prompt tokens of its part
	left     int   // of them, not yet computed
	answer   int   // tokens of the answer still to come
	need     int64 // memory that it takes when it starts; 0: reserved before
	running  bool
	member   bool // of a group: computes its part, then waits for the lead
	over     bool
}

// engine is one engine under virtual time.
type engine struct {
	id       fleet.UpstreamID
	model    EngineModel
	clock    *vtime.Loop
	jobs     []*job // by priority, then arrival
	held     int64  // memory of running jobs and reservations
	reserved map[*request]int64
	cache    *blockCache
	seq      uint64
	busy     bool
	boot     string
	most     int64         // highest memory held
	worked   time.Duration // time in steps

	report   wire.LoadReport // as it stood at reported
	reported decide.Instant
	events   int // cache events published then
}

func newEngine(id fleet.UpstreamID, model EngineModel, c *vtime.Loop) *engine {
	return &engine{id: id, model: model, clock: c, reserved: map[*request]int64{}, cache: newBlockCache(), boot: "boot-" + string(id)}
}

// submit takes a job in. It waits for its turn and for memory.
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
	e.kick()
}

// reserve holds memory for the request; false where there is none.
func (e *engine) reserve(r *request, tokens int64) bool {
	if e.held+tokens > e.model.KVCacheTokens {
		return false
	}
	e.reserved[r] += tokens
	e.hold(tokens)
	return true
}

// release frees the request's reservation and ends its work here.
func (e *engine) release(r *request) {
	e.held -= e.reserved[r]
	delete(e.reserved, r)
	e.cancel(r)
}

func (e *engine) hold(tokens int64) {
	e.held += tokens
	e.most = max(e.most, e.held)
	e.cache.shrink(e.spare())
}

// spare is the number of blocks that the prefix cache may keep.
func (e *engine) spare() int { return int(max(e.model.KVCacheTokens-e.held, 0) / wire.BlockTokens) }

// cancel ends the request's work here and frees its memory at once.
func (e *engine) cancel(r *request) {
	e.jobs = slices.DeleteFunc(e.jobs, func(j *job) bool {
		if j.req != r {
			return false
		}
		e.free(j)
		return true
	})
	e.kick()
}

func (e *engine) free(j *job) {
	j.over = true
	if j.running {
		e.held -= j.need
	}
}

// kick begins a step unless one is under way or there is nothing to do.
func (e *engine) kick() {
	if e.busy {
		return
	}
	e.start()
	budget, answers, work := e.model.ChunkTokens, 0, false
	for _, j := range e.jobs {
		switch {
		case !j.running:
		case j.left > 0:
			budget -= min(budget, j.left)
			work = true
		case !j.member:
			answers++
			work = true
		}
	}
	if !work {
		return
	}
	computed := e.model.ChunkTokens - budget
	d := e.model.StepBase + time.Duration(answers)*e.model.PerDecode +
		time.Duration(float64(computed)/float64(e.model.ComputeRate)*float64(time.Second))
	e.busy = true
	e.worked += d
	e.clock.After(d, e.step)
}

// start lets waiting jobs begin while there is memory. One that does not fit holds back those behind it.
func (e *engine) start() {
	for _, j := range e.jobs {
		if j.running {
			continue
		}
		if e.held+j.need > e.model.KVCacheTokens {
			return
		}
		j.running = true
		if !j.member {
			j.left = max(1, j.tokens-e.cache.hits(j.req.prompt.Blocks)*wire.BlockTokens)
		}
		e.hold(j.need)
	}
}

// step ends a batch step: prompts move on by the chunk, answers by a token.
func (e *engine) step() {
	e.busy = false
	budget := e.model.ChunkTokens
	var done []*job
	for _, j := range e.jobs {
		switch {
		case !j.running:
		case j.left > 0:
			n := min(budget, j.left)
			budget -= n
			j.left -= n
			if n > 0 && j.left == 0 {
				done = append(done, j)
			}
		case !j.member:
			if j.answer--; j.answer <= 0 {
				j.over = true
				done = append(done, j)
			}
		}
	}
	e.finish(done)
	e.kick()
}

func (e *engine) finish(done []*job) {
	for _, j := range done {
		if j.over {
			e.free(j)
			continue
		}
		if !j.member {
			e.cache.add(j.req.prompt.Blocks, e.spare())
		}
		if j.answer--; j.answer <= 0 && !j.member {
			e.free(j)
		}
	}
	e.jobs = slices.DeleteFunc(e.jobs, func(j *job) bool { return j.over })
	for _, j := range done {
		j.req.progress(j)
	}
}

// load is the engine's state now, as a report that has not lagged would show it.
func (e *engine) load() wire.LoadReport {
	l := wire.LoadReport{
		BootID: e.boot, MemoryUsed: e.held, MemoryTotal: e.model.KVCacheTokens, PrefillRate: e.model.rate(),
	}
	for _, j := range e.jobs {
		if j.running {
			l.Running++
			l.QueuedTokens += int64(j.left)
		} else {
			l.Queued++
			l.QueuedTokens += int64(j.tokens)
		}
	}
	return l
}

// renew takes the report that entries read until the next one.
func (e *engine) renew() {
	seq := e.report.Seq + 1
	e.report, e.reported, e.events = e.load(), e.clock.Now(), len(e.cache.log)
	e.report.Seq = seq
	e.clock.After(reportRenewal, e.renew)
}

// cacheEvents gives the published events from a sequence number on. One in lostEvery is lost.
func (e *engine) cacheEvents(from uint64) *wire.CacheEvents {
	batch := &wire.CacheEvents{BootID: e.boot, First: 1, Next: uint64(e.events) + 1}
	first := int(max(from, 1)) - 1
	for _, event := range e.cache.log[min(first, e.events):e.events] {
		if event.Seq%lostEvery != 0 {
			batch.Events = append(batch.Events, event)
		}
	}
	return batch
}

// blockCache is a prefix cache that drops what was unused longest, and the log of its events.
type blockCache struct {
	last  map[uint64]uint64 // block to its last use
	order []use             // uses, oldest first; only a block's last one counts
	tick  uint64
	log   []wire.CacheEvent
	next  uint64
}

type use struct {
	hash uint64
	tick uint64
}

func newBlockCache() *blockCache { return &blockCache{last: map[uint64]uint64{}, next: 1} }

func (c *blockCache) hits(blocks []uint64) int {
	for n, hash := range blocks {
		if _, ok := c.last[hash]; !ok {
			return n
		}
	}
	return len(blocks)
}

// add uses the blocks, the first of them as the latest, and keeps at most spare blocks.
func (c *blockCache) add(blocks []uint64, spare int) {
	for i := len(blocks) - 1; i >= 0; i-- {
		hash := blocks[i]
		if _, ok := c.last[hash]; !ok {
			c.record(hash, false)
		}
		c.tick++
		c.last[hash] = c.tick
		c.order = append(c.order, use{hash, c.tick})
	}
	c.shrink(spare)
}

func (c *blockCache) shrink(spare int) {
	for len(c.last) > spare {
		u := c.order[0]
		c.order = c.order[1:]
		if c.last[u.hash] == u.tick {
			delete(c.last, u.hash)
			c.record(u.hash, true)
		}
	}
}

func (c *blockCache) record(hash uint64, drop bool) {
	c.log = append(c.log, wire.CacheEvent{Seq: c.next, Hash: hash, Drop: drop})
	c.next++
}
