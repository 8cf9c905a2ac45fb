package claim

import (
	"slices"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// OpID identifies an operation. It is unique within its Committer.
type OpID uint64

// Put is a conditional write of the shard that the driver has to send.
type Put struct {
	IfVersion uint64 // version that the stored shard must have; 0: absent
	Shard     Shard
}

// Response is the final result of an operation.
type Response struct {
	ID     OpID
	Result Result
}

// Effects lists what the driver has to do, in the order of the fields. At most one of Read and Put is set, and
// neither is set while an earlier one is in flight.
type Effects struct {
	Responses []Response
	Read      bool
	Put       *Put
	Wake      decide.Instant // when to call Tick; 0: not needed
}

// WriteOutcome is the outcome of a Put.
type WriteOutcome uint8

// The outcomes of a Put.
const (
	WriteApplied  WriteOutcome = iota
	WriteConflict              // the stored version differed; the write has no effect
	WriteNotSent               // the store is unavailable; the write has no effect
	WriteUnknown               // the response was lost; the write took effect or may still do so
)

// Committer commits operations on one shard in batches: operations submitted while a write is in flight share
// the next write. An instance has one Committer per shard. The conditional update alone makes Committers of
// several instances safe on the same shard, so assigning shards to instances is only an optimization.
//
// After a write whose response was lost, the Committer reads the shard again and applies the operations to it
// again. The operations carry tokens, which show whether the write took effect.
type Committer struct {
	limits      Limits
	shard       Shard          // local copy; while a write is in flight, the value being written
	version     uint64         // of the stored shard that the copy is based on
	loaded      bool           // shard and version are those in the store at readAt
	readAt      decide.Instant // when the read, or the write, that returned version was sent
	reading     bool           // a read is in flight
	queue       []pendingOp
	inFlight    []pendingOp // operations of the write in flight
	lastWriteAt decide.Instant
	retryAt     decide.Instant // while the store is unavailable: the next attempt to reach it; 0: available
	nextID      OpID
}

// pendingOp is an operation that is not committed.
type pendingOp struct {
	id          OpID
	op          Op
	submittedAt decide.Instant
	internal    bool // created by the Committer, or canceled: has no response
}

// NewCommitter returns a Committer that has not read its shard yet.
func NewCommitter(l Limits) *Committer {
	return &Committer{limits: l, lastWriteAt: decide.Instant(-l.WriteInterval)}
}

// Submit queues an operation and returns its id. The response follows in the returned or in later Effects.
func (c *Committer) Submit(op Op, now decide.Instant, wall WallTime) (OpID, Effects) {
	c.nextID++
	id := c.nextID
	// While the store is known to be unavailable, claims are refused at once. The first claim after retryAt
	// tries the store again.
	unavailable := op.Kind == Claim && now < c.retryAt
	if unavailable || len(c.queue) >= c.limits.MaxQueue {
		return id, Effects{Responses: []Response{{ID: id, Result: Result{Verdict: Unavailable}}}}
	}
	c.queue = append(c.queue, pendingOp{id: id, op: op, submittedAt: now})
	return id, c.step(Effects{}, now, wall)
}

// Tick starts a read or write that has become due. The driver calls it at Effects.Wake.
func (c *Committer) Tick(now decide.Instant, wall WallTime) Effects {
	return c.step(Effects{}, now, wall)
}

// Cancel ends a claim whose request has no time left with the verdict Unavailable, so that the request is not
// dispatched. The claim is withdrawn as well, since its write may still take effect.
func (c *Committer) Cancel(id OpID, now decide.Instant, wall WallTime) Effects {
	var e Effects
	c.cancelClaims(&e, now, func(p pendingOp) bool { return p.id == id })
	for i, p := range c.inFlight {
		if p.id == id && !p.internal && p.op.Kind == Claim {
			e.Responses = append(e.Responses, Response{ID: id, Result: Result{Verdict: Unavailable}})
			c.inFlight[i].internal = true
			c.queueWithdrawal(p.op, now)
		}
	}
	return c.step(e, now, wall)
}

// OnRead handles the response to a Read: the shard and its version (0: absent). ok is false if the read failed.
func (c *Committer) OnRead(s Shard, version uint64, ok bool, now decide.Instant, wall WallTime) Effects {
	c.reading = false
	var e Effects
	if !ok {
		c.onStoreUnavailable(&e, now)
		return c.step(e, now, wall)
	}
	c.shard, c.version, c.loaded, c.retryAt = s, version, true, 0
	return c.step(e, now, wall)
}

// OnWrite handles the outcome of a Put. After WriteApplied, version is the new version of the shard.
func (c *Committer) OnWrite(w WriteOutcome, version uint64, now decide.Instant, wall WallTime) Effects {
	var e Effects
	batch := c.inFlight
	c.inFlight = nil
	if w == WriteApplied {
		// The condition held, so the local copy equalled the stored shard when the write was sent.
		c.version, c.readAt, c.retryAt = version, c.lastWriteAt, 0
		for _, p := range batch {
			c.respond(&e, p, committedResult(p.op))
		}
		return c.step(e, now, wall)
	}
	c.loaded = false
	// The operations return to the head of the queue unchanged. After the next read, their tokens show whether
	// the write took effect. Canceled claims are dropped, as their withdrawals are queued.
	batch = slices.DeleteFunc(batch, func(p pendingOp) bool { return p.internal && p.op.Kind == Claim })
	c.queue = append(batch, c.queue...)
	if w == WriteNotSent {
		c.onStoreUnavailable(&e, now)
	}
	return c.step(e, now, wall)
}

// committedResult returns the result of an operation whose write took effect.
func committedResult(op Op) Result {
	if op.Kind == Claim {
		return Result{Verdict: Granted}
	}
	return Result{Verdict: Done}
}

// onStoreUnavailable refuses all queued claims at once; none of their requests was dispatched. Outcomes and
// withdrawals stay queued until the store is available again.
func (c *Committer) onStoreUnavailable(e *Effects, now decide.Instant) {
	c.loaded = false
	c.retryAt = now.Add(c.limits.RetryDelay)
	c.cancelClaims(e, now, func(pendingOp) bool { return true })
}

// cancelClaims removes the queued claims that match and responds Unavailable to them. As an earlier write of
// such a claim may have taken effect, it queues a withdrawal for each.
func (c *Committer) cancelClaims(e *Effects, now decide.Instant, match func(pendingOp) bool) {
	var remaining, canceled []pendingOp
	for _, p := range c.queue {
		if p.op.Kind == Claim && match(p) {
			canceled = append(canceled, p)
		} else {
			remaining = append(remaining, p)
		}
	}
	c.queue = remaining
	for _, p := range canceled {
		c.respond(e, p, Result{Verdict: Unavailable})
		c.queueWithdrawal(p.op, now)
	}
}

// queueWithdrawal queues an internal Withdraw of a claim.
func (c *Committer) queueWithdrawal(claim Op, now decide.Instant) {
	claim.Kind = Withdraw
	c.queue = append(c.queue, pendingOp{op: claim, submittedAt: now, internal: true})
}

// respond adds the response of an operation to the effects, unless the operation is internal.
func (c *Committer) respond(e *Effects, p pendingOp, r Result) {
	if !p.internal {
		e.Responses = append(e.Responses, Response{ID: p.id, Result: r})
	}
}

// step starts the next read or write if one is due, else sets the time at which it will be.
func (c *Committer) step(e Effects, now decide.Instant, wall WallTime) Effects {
	if c.reading || len(c.inFlight) > 0 || len(c.queue) == 0 {
		return e
	}
	if at := c.nextStepAt(); now < at {
		e.Wake = at
		return e
	}
	if !c.loaded {
		return c.startRead(e, now)
	}
	return c.applyQueue(e, now, wall)
}

// nextStepAt returns when the next read or write may start, WriteInterval after the last write at the earliest.
// If no claim is queued, it also waits until retryAt and until Linger after the submission of the first queued
// operation, so that a claim can share the write.
func (c *Committer) nextStepAt() decide.Instant {
	earliest := c.lastWriteAt.Add(c.limits.WriteInterval)
	if slices.ContainsFunc(c.queue, func(p pendingOp) bool { return p.op.Kind == Claim }) {
		return earliest
	}
	return max(earliest, c.queue[0].submittedAt.Add(c.limits.Linger), c.retryAt)
}

// startRead adds a read of the shard to the effects.
func (c *Committer) startRead(e Effects, now decide.Instant) Effects {
	c.reading, c.readAt = true, now
	e.Read = true
	return e
}

// applyQueue applies the queued operations to the local copy of the shard and starts their write. An operation
// that needs no write gets its response if the copy was read after the operation was submitted. From an older
// copy only a Replay is returned, since a recorded outcome never changes. Other operations stay queued for a new
// read, which starts at once if there is nothing to write.
func (c *Committer) applyQueue(e Effects, now decide.Instant, wall WallTime) Effects {
	next := c.limits.Prune(c.shard, wall)
	var writes, stale []pendingOp
	for _, p := range c.queue {
		s, changed, r := c.limits.Apply(next, p.op, wall)
		switch {
		case changed:
			next = s
			writes = append(writes, p)
		case c.readAt < p.submittedAt && r.Verdict != Replay:
			stale = append(stale, p)
		default:
			c.respond(&e, p, r)
		}
	}
	c.queue = stale
	if len(writes) > 0 {
		c.inFlight, c.lastWriteAt = writes, now
		e.Put = &Put{IfVersion: c.version, Shard: next}
		c.shard = next
		return e
	}
	if len(stale) > 0 {
		return c.startRead(e, now)
	}
	return e
}

// Idle reports whether no operation is queued and no read or write is in flight. The driver may discard an idle
// Committer.
func (c *Committer) Idle() bool {
	return !c.reading && len(c.inFlight) == 0 && len(c.queue) == 0
}

// Pending returns the number of operations that are queued or in flight.
func (c *Committer) Pending() int { return len(c.queue) + len(c.inFlight) }
