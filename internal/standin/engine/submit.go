package engine

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/standin/serve"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// defaultMaxTokens is the answer's length when the request names none.
const defaultMaxTokens = 16

// refusal is why a dispatch was not taken in.
type refusal struct {
	status  int
	reason  string
	started bool // the engine can't say that it did not start
}

func (r *refusal) answer(ctx *fasthttp.RequestCtx) {
	if r.started {
		serve.JSON(ctx, r.status, wire.Refusal{Error: r.reason})
		return
	}
	refuse(ctx, r.status, r.reason)
}

func (e *Engine) postCompletion(ctx *fasthttp.RequestCtx) {
	var c wire.CompletionRequest
	if !decode(ctx, &c) {
		return
	}
	j, err := newJob(ctx, &c)
	if err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	grouped, err := groupTokens(string(ctx.Request.Header.Peek(wire.HeaderGroup)))
	if err != nil {
		refuse(ctx, fasthttp.StatusServiceUnavailable, err.Error())
		return
	}
	var r *refusal
	e.locked(func(now time.Duration) { r = e.submit(j, &c, grouped) })
	if r != nil {
		r.answer(ctx)
		return
	}
	e.signalRun()
	if c.Stream {
		e.stream(ctx, j)
		return
	}
	e.whole(ctx, j, c.Model)
}

func newJob(ctx *fasthttp.RequestCtx, c *wire.CompletionRequest) (*job, error) {
	j := &job{more: make(chan struct{}, 1), max: c.MaxTokens, prompt: wire.TokenCount(len(c.Prompt))}
	if j.max == 0 {
		j.max = defaultMaxTokens
	}
	j.id = string(ctx.Request.Header.Peek(wire.HeaderRequestID))
	j.reservation = string(ctx.Request.Header.Peek(wire.HeaderReservation))
	var errs [4]error
	j.attempt, _, errs[0] = intHeader(ctx, wire.HeaderAttempt)
	j.priority, _, errs[1] = intHeader(ctx, wire.HeaderPriority)
	j.offset, _, errs[2] = intHeader(ctx, wire.HeaderResumeOffset)
	j.remaining, _, errs[3] = intHeader(ctx, wire.HeaderRemaining)
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	switch {
	case j.id == "":
		return nil, fmt.Errorf("header %s is missing", wire.HeaderRequestID)
	case j.max < 0 || j.offset < 0 || j.offset > j.max:
		return nil, fmt.Errorf("offset %d and max_tokens %d don't fit", j.offset, j.max)
	}
	j.blocks = wire.BlockHashes([]byte(c.Prompt))
	return j, nil
}

// submit takes a dispatch in, or tells why not.
func (e *Engine) submit(j *job, c *wire.CompletionRequest, grouped int64) *refusal {
	now := e.last
	if now < e.warmth.down {
		return &refusal{fasthttp.StatusServiceUnavailable, "out of service", true}
	}
	if r := e.refuseStart(j, c, grouped); r != nil {
		e.counters.Refused++
		return r
	}
	if e.overloadedCold() {
		e.collapse(now)
		return &refusal{fasthttp.StatusServiceUnavailable, "overloaded while cold", true}
	}
	j.seq = e.nextJob
	j.deadline = e.instant(int64(j.remaining), now)
	e.nextJob++
	e.jobs = append(e.jobs, j)
	e.counters.Runs[j.id]++
	if j.offset > 0 {
		e.counters.Resumes++
	}
	return nil
}

// refuseStart gives the reasons for which a request does not start.
func (e *Engine) refuseStart(j *job, c *wire.CompletionRequest, grouped int64) *refusal {
	switch {
	case e.faults.On(faults.Leaving):
		return &refusal{fasthttp.StatusServiceUnavailable, "leaving", false}
	case e.faults.On(faults.RefuseStart):
		return &refusal{fasthttp.StatusServiceUnavailable, "busy", false}
	case !e.orders.serves(c.Model, c.Adapter):
		return &refusal{fasthttp.StatusNotFound, "model or adapter is not loaded", false}
	case len(e.jobs)-e.running() >= e.cfg.QueueLimit:
		return &refusal{fasthttp.StatusServiceUnavailable, "queue is full", false}
	}
	return e.refuseMemory(j, grouped)
}

// refuseMemory works out the memory that the job needs beyond its reservations.
func (e *Engine) refuseMemory(j *job, grouped int64) *refusal {
	need := int64(j.prompt + j.max)
	if j.reservation != "" {
		held := e.reservations[j.reservation]
		if held == nil {
			return &refusal{fasthttp.StatusConflict, "no such reservation", false}
		}
		need -= held.Tokens + grouped
	}
	j.need = max(0, need)
	if j.need > e.cfg.KVCacheTokens {
		return &refusal{fasthttp.StatusRequestEntityTooLarge, "larger than the memory", false}
	}
	return nil
}

// overloadedCold counts the dispatch at hand with those in flight against the cold limit.
func (e *Engine) overloadedCold() bool {
	if !e.warmth.cold {
		return false
	}
	inFlight := 1
	for _, j := range e.jobs {
		if j.seq >= e.warmth.since {
			inFlight++
		}
	}
	e.counters.MaxInFlightCold = max(e.counters.MaxInFlightCold, inFlight)
	return inFlight > e.cfg.ColdLimit
}

// collapse is how a cold engine falls over: all in flight fails, it is out of service for a while and has
// to warm up from the start.
func (e *Engine) collapse(now time.Duration) {
	e.counters.Collapses++
	e.failAll("fell over while cold")
	e.warmth.turnCold(e.nextJob)
	e.warmth.down = now + e.cfg.CollapseTime
}

func (e *Engine) jobsOf(id string) []*job {
	var found []*job
	for _, j := range e.jobs {
		if j.id == id {
			found = append(found, j)
		}
	}
	return found
}

// cancel ends a job that nobody waits for.
func (e *Engine) cancel(j *job) {
	if j.over() {
		return
	}
	e.counters.Cancelled++
	e.fail(j, "cancelled")
}

func (e *Engine) signalRun() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
