package engine

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/standin/serve"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// defaultMaxTokens is the length of the answer if the request states none.
const defaultMaxTokens = 16

// refusal is the reason why the engine did not accept a dispatch.
type refusal struct {
	status         int
	reason         string
	mayHaveStarted bool // the answer leaves open whether the request was started
}

// send answers the call with the refusal.
func (r *refusal) send(ctx *fasthttp.RequestCtx) {
	if r.mayHaveStarted {
		serve.JSON(ctx, r.status, wire.Refusal{Error: r.reason})
		return
	}
	refuse(ctx, r.status, r.reason)
}

// postCompletion submits a dispatch and sends its answer. It refuses an invalid call, and one whose group of reservations
// can't be confirmed.
func (e *Engine) postCompletion(ctx *fasthttp.RequestCtx) {
	var c wire.Completion
	if !decodeBody(ctx, &c) {
		return
	}
	j, err := newJob(ctx, &c)
	if err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	groupTokens, err := fetchGroupTokens(string(ctx.Request.Header.Peek(wire.HeaderGroup)))
	if err != nil {
		refuse(ctx, fasthttp.StatusServiceUnavailable, err.Error())
		return
	}
	var r *refusal
	e.locked(func(now time.Duration) { r = e.submit(j, &c, groupTokens) })
	if r != nil {
		r.send(ctx)
		return
	}
	e.wakeRun()
	if c.Stream {
		e.sendStream(ctx, j)
		return
	}
	e.sendAnswer(ctx, j, c.Model)
}

// newJob returns the job that a completions call asks for. It fails if a header or a limit is invalid.
func newJob(ctx *fasthttp.RequestCtx, c *wire.Completion) (*job, error) {
	j := &job{updated: make(chan struct{}, 1), maxTokens: c.MaxTokens, promptTokens: wire.TokenCount(len(c.Prompt))}
	if j.maxTokens == 0 {
		j.maxTokens = defaultMaxTokens
	}
	j.id = string(ctx.Request.Header.Peek(wire.HeaderRequestID))
	j.reservation = string(ctx.Request.Header.Peek(wire.HeaderReservation))
	var errs [4]error
	j.attempt, _, errs[0] = intHeader(ctx, wire.HeaderAttempt)
	j.priority, _, errs[1] = intHeader(ctx, wire.HeaderPriority)
	j.offset, _, errs[2] = intHeader(ctx, wire.HeaderResumeOffset)
	j.remainingMs, _, errs[3] = intHeader(ctx, wire.HeaderRemaining)
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	switch {
	case j.id == "":
		return nil, fmt.Errorf("header %s is missing", wire.HeaderRequestID)
	case j.maxTokens < 0 || j.offset < 0 || j.offset > j.maxTokens:
		return nil, fmt.Errorf("offset %d and max_tokens %d don't fit", j.offset, j.maxTokens)
	}
	j.blocks = wire.BlockHashes([]byte(c.Prompt))
	return j, nil
}

// submit queues a dispatch, or returns the reason why the engine doesn't accept it. groupTokens is the memory reserved
// for it on other engines. A dispatch above the cold limit makes the engine collapse.
func (e *Engine) submit(j *job, c *wire.Completion, groupTokens int64) *refusal {
	now := e.lastStep
	if now < e.warmup.unavailableUntil {
		return &refusal{fasthttp.StatusServiceUnavailable, "out of service", true}
	}
	if r := e.checkStart(j, c, groupTokens); r != nil {
		e.counters.Refused++
		return r
	}
	if e.exceedsColdLimit() {
		e.collapse(now)
		return &refusal{fasthttp.StatusServiceUnavailable, "overloaded while cold", true}
	}
	j.seq = e.nextJobSeq
	j.deadline = e.afterWallMs(int64(j.remainingMs), now)
	e.nextJobSeq++
	e.jobs = append(e.jobs, j)
	e.counters.Runs[j.id]++
	if j.offset > 0 {
		e.counters.Resumes++
	}
	return nil
}

// checkStart returns the reason why a request can't start, or nil. It sets the memory that the job needs.
func (e *Engine) checkStart(j *job, c *wire.Completion, groupTokens int64) *refusal {
	switch {
	case e.faults.On(faults.Leaving):
		return &refusal{fasthttp.StatusServiceUnavailable, "leaving", false}
	case e.faults.On(faults.RefuseStart):
		return &refusal{fasthttp.StatusServiceUnavailable, "busy", false}
	case !e.orders.serves(c.Model, c.Adapter):
		return &refusal{fasthttp.StatusNotFound, "model or adapter is not loaded", false}
	case len(e.jobs)-e.countRunning() >= e.cfg.QueueLimit:
		return &refusal{fasthttp.StatusServiceUnavailable, "queue is full", false}
	}
	return e.checkMemory(j, groupTokens)
}

// checkMemory sets the memory that the job needs beyond its reservations. It refuses a job whose reservation does not
// exist, and one that needs more memory than the engine has in total.
func (e *Engine) checkMemory(j *job, groupTokens int64) *refusal {
	memory := int64(j.promptTokens + j.maxTokens)
	if j.reservation != "" {
		reserved := e.reservations[j.reservation]
		if reserved == nil {
			return &refusal{fasthttp.StatusConflict, "no such reservation", false}
		}
		memory -= reserved.Tokens + groupTokens
	}
	j.memory = max(0, memory)
	if j.memory > e.cfg.Memory {
		return &refusal{fasthttp.StatusRequestEntityTooLarge, "larger than the memory", false}
	}
	return nil
}

// exceedsColdLimit reports whether the engine is cold and one more dispatch exceeds its limit. It ignores jobs that were
// accepted before the engine turned cold, and updates the counter of requests in flight while cold.
func (e *Engine) exceedsColdLimit() bool {
	if !e.warmup.cold {
		return false
	}
	inFlight := 1
	for _, j := range e.jobs {
		if j.seq >= e.warmup.firstCounted {
			inFlight++
		}
	}
	e.counters.MaxInFlightCold = max(e.counters.MaxInFlightCold, inFlight)
	return inFlight > e.cfg.ColdLimit
}

// collapse fails all jobs and puts the engine out of service for CollapseTime. The engine then starts to warm up from
// the beginning.
func (e *Engine) collapse(now time.Duration) {
	e.counters.Collapses++
	e.failAll("fell over while cold")
	e.warmup.turnCold(e.nextJobSeq)
	e.warmup.unavailableUntil = now + e.cfg.CollapseTime
}

// jobsOfRequest returns the dispatches of a request that are queued or running.
func (e *Engine) jobsOfRequest(id string) []*job {
	var found []*job
	for _, j := range e.jobs {
		if j.id == id {
			found = append(found, j)
		}
	}
	return found
}

// cancel ends a job whose answer isn't needed any more. It does nothing if the job is finished.
func (e *Engine) cancel(j *job) {
	if j.finished() {
		return
	}
	e.counters.Cancelled++
	e.fail(j, "cancelled")
}

// wakeRun makes run check for jobs. It does not block.
func (e *Engine) wakeRun() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
