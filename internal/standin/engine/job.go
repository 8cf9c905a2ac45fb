package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Finish reasons of jobs, as the last part of a stream states them.
const (
	finishLength = "length"
	finishError  = "error"
)

// job is one dispatch of a request. From submit on, the engine's mutex guards its fields. Memory is counted in tokens of
// KV cache.
type job struct {
	seq          uint64
	id           string // request id
	attempt      int
	priority     int
	blocks       []uint64 // hashes of the prompt's complete blocks
	promptTokens int
	maxTokens    int           // tokens of the complete answer
	offset       int           // first token of the answer that the caller still needs
	reservation  string        // id of the reservation whose memory it uses; empty: none
	memory       int64         // memory that it needs beyond its reservations
	remainingMs  int           // wall-clock time until the request's deadline, at its arrival; 0: not stated
	deadline     time.Duration // 0: none

	running      bool
	prefillLeft  float64       // tokens of the prompt, and of the answer before offset, that are not computed yet
	produced     int           // tokens of the answer that are ready, from offset on
	decodeTime   time.Duration // decoding time that has not yielded a token yet
	finishReason string        // empty until the job is finished
	err          string        // why the job failed
	updated      chan struct{} // has an element after a change of produced or finishReason
}

func (j *job) finished() bool { return j.finishReason != "" }

// notify wakes the goroutine that sends the job's answer. It does not block.
func (j *job) notify() {
	select {
	case j.updated <- struct{}{}:
	default:
	}
}

// compareByPriority orders jobs from high to low priority, and by arrival where the priority is the same.
func compareByPriority(a, b *job) int {
	return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.seq, b.seq))
}

// step runs the jobs for the time from the last step to now, and removes those that finish.
func (e *Engine) step(now time.Duration) {
	elapsed := now - e.lastStep
	e.lastStep = now
	if elapsed <= 0 || len(e.jobs) == 0 {
		return
	}
	slices.SortFunc(e.jobs, compareByPriority)
	e.startQueued(now)
	e.decode(elapsed)
	e.prefill(elapsed, now)
	e.jobs = slices.DeleteFunc(e.jobs, (*job).finished)
}

// startQueued starts queued jobs in order of priority while MaxRunning and the memory allow it. A job that doesn't fit
// blocks those behind it, so that large jobs don't starve.
func (e *Engine) startQueued(now time.Duration) {
	running := e.countRunning()
	for _, j := range e.jobs {
		if j.running {
			continue
		}
		if running >= e.cfg.MaxRunning || e.memoryInUse()+j.memory > e.cfg.Memory {
			return
		}
		j.running = true
		running++
		cachedBlocks := e.cache.cachedPrefix(j.blocks)
		e.counters.CachedTokens += int64(cachedBlocks) * wire.BlockTokens
		j.prefillLeft = max(1, float64(j.promptTokens+j.offset-cachedBlocks*wire.BlockTokens))
		e.cache.add(j.blocks[:cachedBlocks], now)
		e.cache.evictTo(e.cfg.Memory-e.memoryInUse(), now)
	}
}

// prefill distributes the prompt tokens that the engine computes in the elapsed time to the running jobs in order of
// priority. A job whose prefill is complete has the first token of its answer.
func (e *Engine) prefill(elapsed time.Duration, now time.Duration) {
	rate := float64(e.cfg.PrefillRate)
	if e.warmup.cold {
		rate /= float64(e.cfg.ColdSlowdown)
	}
	budget := rate * elapsed.Seconds()
	for _, j := range e.jobs {
		if !j.running || j.prefillLeft == 0 || j.finished() {
			continue
		}
		share := min(budget, j.prefillLeft)
		budget -= share
		j.prefillLeft -= share
		if j.prefillLeft > 0 {
			return
		}
		e.cache.add(j.blocks, now)
		e.cache.evictTo(e.cfg.Memory-e.memoryInUse(), now)
		e.addTokens(j, 1)
	}
}

// decode adds one token per DecodeInterval to the answer of each job whose prefill is complete.
func (e *Engine) decode(elapsed time.Duration) {
	for _, j := range e.jobs {
		if !j.running || j.prefillLeft > 0 || j.finished() {
			continue
		}
		j.decodeTime += elapsed
		tokens := int(j.decodeTime / e.cfg.DecodeInterval)
		j.decodeTime -= time.Duration(tokens) * e.cfg.DecodeInterval
		e.addTokens(j, tokens)
	}
}

// addTokens adds tokens to a job's answer, and finishes the job when the answer is complete.
func (e *Engine) addTokens(j *job, tokens int) {
	if tokens > 0 {
		j.produced = min(j.produced+tokens, j.maxTokens-j.offset)
		j.notify()
	}
	if j.produced == j.maxTokens-j.offset {
		e.counters.Completed++
		e.counters.Finished[j.id]++
		e.warmup.recordSuccess(e.cfg.WarmAfter)
		j.finishReason = finishLength
		j.notify()
	}
}

// fail ends a job with an error. It does nothing if the job is finished.
func (e *Engine) fail(j *job, reason string) {
	if j.finished() {
		return
	}
	j.finishReason, j.err = finishError, reason
	j.notify()
	e.jobs = slices.DeleteFunc(e.jobs, (*job).finished)
}

// failOverdue ends the jobs that are past their deadline. A connection that stalls without being closed cancels nothing,
// so its job would otherwise hold memory until the answer is complete.
func (e *Engine) failOverdue(now time.Duration) {
	for _, j := range slices.Clone(e.jobs) {
		if j.deadline > 0 && now > j.deadline {
			e.fail(j, "out of time")
		}
	}
}

// failAll ends all jobs with an error.
func (e *Engine) failAll(reason string) {
	for _, j := range slices.Clone(e.jobs) {
		e.fail(j, reason)
	}
}

// countRunning returns the number of running jobs.
func (e *Engine) countRunning() int {
	n := 0
	for _, j := range e.jobs {
		if j.running && !j.finished() {
			n++
		}
	}
	return n
}

// memoryInUse returns the memory of running jobs and reservations, in tokens. The prefix cache may use the rest.
func (e *Engine) memoryInUse() int64 {
	var tokens int64
	for _, j := range e.jobs {
		if j.running && !j.finished() {
			tokens += j.memory
		}
	}
	for _, r := range e.reservations {
		tokens += r.Tokens
	}
	return tokens
}
