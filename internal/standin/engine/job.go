package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Finish reasons of a stream's last part.
const (
	finishLength = "length"
	finishError  = "error"
)

// job is one dispatch of a request. The engine's mutex guards its fields from submit on.
type job struct {
	seq         uint64
	id          string // request id
	attempt     int
	priority    int
	blocks      []uint64
	prompt      int // tokens
	max         int // tokens of the whole answer
	offset      int // first token of the answer that is wanted
	reservation string
	need        int64 // memory in tokens beyond the reservation
	remaining   int   // milliseconds that the request has left on arrival; 0: not told
	deadline    time.Duration

	running  bool
	left     float64 // prompt tokens not yet computed
	produced int     // tokens of the answer that are ready, from offset on
	decoded  time.Duration
	finish   string // finish reason, once it is over
	err      string
	more     chan struct{} // has an element when there is something new
}

func (j *job) over() bool { return j.finish != "" }

func (j *job) signal() {
	select {
	case j.more <- struct{}{}:
	default:
	}
}

// byUrgency orders jobs by priority, and by arrival within it.
func byUrgency(a, b *job) int {
	return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.seq, b.seq))
}

// step lets the jobs run from the last step until now.
func (e *Engine) step(now time.Duration) {
	elapsed := now - e.last
	e.last = now
	if elapsed <= 0 || len(e.jobs) == 0 {
		return
	}
	slices.SortFunc(e.jobs, byUrgency)
	e.startQueued(now)
	e.decode(elapsed)
	e.prefill(elapsed, now)
	e.jobs = slices.DeleteFunc(e.jobs, (*job).over)
}

// startQueued starts waiting jobs in order of urgency while there are a slot and memory. One that doesn't
// fit holds back those behind it, so that large ones don't starve.
func (e *Engine) startQueued(now time.Duration) {
	running := e.running()
	for _, j := range e.jobs {
		if j.running {
			continue
		}
		if running >= e.cfg.MaxRunning || e.held()+j.need > e.cfg.KVCacheTokens {
			return
		}
		j.running = true
		running++
		hits := e.cache.hits(j.blocks)
		e.counters.CachedTokens += int64(hits) * wire.BlockTokens
		j.left = max(1, float64(j.prompt+j.offset-hits*wire.BlockTokens))
		e.cache.add(j.blocks[:hits], now)
		e.cache.shrink(e.cfg.KVCacheTokens-e.held(), now)
	}
}

// prefill shares the rate in order of urgency. A job that is through has its first token.
func (e *Engine) prefill(elapsed time.Duration, now time.Duration) {
	rate := float64(e.cfg.PrefillRate)
	if e.warmth.cold {
		rate /= float64(e.cfg.ColdSlowdown)
	}
	budget := rate * elapsed.Seconds()
	for _, j := range e.jobs {
		if !j.running || j.left == 0 || j.over() {
			continue
		}
		share := min(budget, j.left)
		budget -= share
		j.left -= share
		if j.left > 0 {
			return
		}
		e.cache.add(j.blocks, now)
		e.cache.shrink(e.cfg.KVCacheTokens-e.held(), now)
		e.produce(j, 1)
	}
}

// decode adds a token per interval to every answer that has begun.
func (e *Engine) decode(elapsed time.Duration) {
	for _, j := range e.jobs {
		if !j.running || j.left > 0 || j.over() {
			continue
		}
		j.decoded += elapsed
		tokens := int(j.decoded / e.cfg.DecodeInterval)
		j.decoded -= time.Duration(tokens) * e.cfg.DecodeInterval
		e.produce(j, tokens)
	}
}

func (e *Engine) produce(j *job, tokens int) {
	if tokens > 0 {
		j.produced = min(j.produced+tokens, j.max-j.offset)
		j.signal()
	}
	if j.produced == j.max-j.offset {
		e.counters.Completed++
		e.counters.Finished[j.id]++
		e.warmth.succeed(e.cfg.WarmAfter)
		j.finish = finishLength
		j.signal()
	}
}

// fail ends a job without its answer.
func (e *Engine) fail(j *job, reason string) {
	if j.over() {
		return
	}
	j.finish, j.err = finishError, reason
	j.signal()
	e.jobs = slices.DeleteFunc(e.jobs, (*job).over)
}

// endOverdue ends jobs whose request has no time left, so that work for a connection that went silent
// doesn't hold memory for long.
func (e *Engine) endOverdue(now time.Duration) {
	for _, j := range slices.Clone(e.jobs) {
		if j.deadline > 0 && now > j.deadline {
			e.fail(j, "out of time")
		}
	}
}

func (e *Engine) failAll(reason string) {
	for _, j := range slices.Clone(e.jobs) {
		e.fail(j, reason)
	}
}

func (e *Engine) running() int {
	n := 0
	for _, j := range e.jobs {
		if j.running && !j.over() {
			n++
		}
	}
	return n
}

// held is the memory in tokens of running jobs and reservations.
func (e *Engine) held() int64 {
	var held int64
	for _, j := range e.jobs {
		if j.running && !j.over() {
			held += j.need
		}
	}
	for _, r := range e.reservations {
		held += r.Tokens
	}
	return held
}
