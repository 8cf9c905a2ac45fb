package claim

import (
	"slices"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// OpID names an operation towards the shell, unique in its Committer.
type OpID uint64

// Put asks the shell for one conditional write of the shard.
type Put struct {
	IfVersion uint64
	Shard     Shard
}

// Answer resolves an operation.
type Response struct {
	ID     OpID
	Result Result
}

// Effects are what the shell has to do, in the fields' order. At most one of Read and Put is asked for,
// and none while an earlier one is not answered.
type Effects struct {
	Responses []Response
	Read      bool
	Put       *Put
	Wake      decide.Instant // call Tick then; 0: no need
}

// Written is the outcome of a Put.
type WriteOutcome uint8

// The outcomes of a Put.
const (
	WriteApplied  WriteOutcome = iota
	WriteConflict              // conflict: no effect
	WriteNotSent               // the store is down: no effect
	WriteUnknown               // the answer was lost: it took effect, or it may yet
)

// Committer commits operations on one shard together: those that come while a write is under way share
// the next one. One instance has one Committer a shard; Committers of several instances on the same
// shard are kept apart by the conditional update alone, so owning a shard is only an optimisation.
//
// A write whose answer was lost is settled by reading the shard back and applying the operations anew:
// they carry tokens, so one that took effect is seen to have done so.
type Committer struct {
	limits  Limits
	shard   Shard
	version uint64
	loaded  bool           // shard and version are what the store held at readAt
	readAt  decide.Instant // when the read that gave them began
	reading bool
	queue   []pending
	flight  []pending // in the write that is under way
	lastPut decide.Instant
	retryAt decide.Instant // outcomes wait until then while the store is down
	nextID  OpID
}

type pending struct {
	id  OpID
	op  Op
	at  decide.Instant // submitted
	own bool           // made by the Committer itself: nobody waits for it
}

// NewCommitter gives a Committer that has not read its shard yet.
func NewCommitter(l Limits) *Committer {
	return &Committer{limits: l, lastPut: decide.Instant(-l.WriteInterval)}
}

// Submit queues an operation. Its answer comes in these or later Effects, under the returned id.
func (c *Committer) Submit(op Op, now decide.Instant, wall WallTime) (OpID, Effects) {
	c.nextID++
	id := c.nextID
	// While the store is known to be down, claims are refused without waiting for it to fail again; the
	// first one after retryAt tries it.
	down := op.Kind == Claim && now < c.retryAt
	if down || len(c.queue) >= c.limits.MaxQueue {
		return id, Effects{Responses: []Response{{ID: id, Result: Result{Verdict: Unavailable}}}}
	}
	c.queue = append(c.queue, pending{id: id, op: op, at: now})
	return id, c.step(Effects{}, now, wall)
}

// Tick lets time pass.
func (c *Committer) Tick(now decide.Instant, wall WallTime) Effects {
	return c.step(Effects{}, now, wall)
}

// GiveUp ends the wait for a claim whose request has no time left. Its request is not dispatched, and the
// claim is withdrawn in case that its write takes effect after all.
func (c *Committer) Cancel(id OpID, now decide.Instant, wall WallTime) Effects {
	var e Effects
	c.abandon(&e, now, func(p pending) bool { return p.id == id })
	for i, p := range c.flight {
		if p.id == id && !p.own && p.op.Kind == Claim {
			e.Responses = append(e.Responses, Response{ID: id, Result: Result{Verdict: Unavailable}})
			c.flight[i].own = true
			c.withdraw(p.op, now)
		}
	}
	return c.step(e, now, wall)
}

// OnRead takes the answer to a Read: the shard and its version (0: absent), or ok false.
func (c *Committer) OnRead(s Shard, version uint64, ok bool, now decide.Instant, wall WallTime) Effects {
	c.reading = false
	var e Effects
	if !ok {
		c.storeDown(&e, now)
		return c.step(e, now, wall)
	}
	c.shard, c.version, c.loaded, c.retryAt = s, version, true, 0
	return c.step(e, now, wall)
}

// OnWrite takes the outcome of the Put; version is the new one after WriteDone.
func (c *Committer) OnWrite(w WriteOutcome, version uint64, now decide.Instant, wall WallTime) Effects {
	var e Effects
	flight := c.flight
	c.flight = nil
	if w == WriteApplied {
		// Its condition held, so the copy that it was made from was the store's when it was sent.
		c.version, c.readAt, c.retryAt = version, c.lastPut, 0
		for _, p := range flight {
			c.answer(&e, p, grantedOrDone(p.op))
		}
		return c.step(e, now, wall)
	}
	c.loaded = false
	// The operations go back to the head of the queue, as they were: their tokens tell on the next read
	// whether the write took effect. Claims that were given up are left to their withdrawal.
	flight = slices.DeleteFunc(flight, func(p pending) bool { return p.own && p.op.Kind == Claim })
	c.queue = append(flight, c.queue...)
	if w == WriteNotSent {
		c.storeDown(&e, now)
	}
	return c.step(e, now, wall)
}

func grantedOrDone(op Op) Result {
	if op.Kind == Claim {
		return Result{Verdict: Granted}
	}
	return Result{Verdict: Done}
}

// storeDown refuses every waiting claim at once: nothing of their requests was dispatched. Outcomes and
// withdrawals wait for the store.
func (c *Committer) storeDown(e *Effects, now decide.Instant) {
	c.loaded = false
	c.retryAt = now.Add(c.limits.RetryDelay)
	c.abandon(e, now, func(pending) bool { return true })
}

// abandon takes the claims that match out of the queue and answers them as not claimed. A claim that
// was in a write may stand in the store all the same; its withdrawal follows.
func (c *Committer) abandon(e *Effects, now decide.Instant, match func(pending) bool) {
	var rest, given []pending
	for _, p := range c.queue {
		if p.op.Kind == Claim && match(p) {
			given = append(given, p)
		} else {
			rest = append(rest, p)
		}
	}
	c.queue = rest
	for _, p := range given {
		c.answer(e, p, Result{Verdict: Unavailable})
		c.withdraw(p.op, now)
	}
}

func (c *Committer) withdraw(claim Op, now decide.Instant) {
	claim.Kind = Withdraw
	c.queue = append(c.queue, pending{op: claim, at: now, own: true})
}

func (c *Committer) answer(e *Effects, p pending, r Result) {
	if !p.own {
		e.Responses = append(e.Responses, Response{ID: p.id, Result: r})
	}
}

// step starts the next read or write when one is due.
func (c *Committer) step(e Effects, now decide.Instant, wall WallTime) Effects {
	if c.reading || len(c.flight) > 0 || len(c.queue) == 0 {
		return e
	}
	if at := c.due(); now < at {
		e.Wake = at
		return e
	}
	if !c.loaded {
		return c.read(e, now)
	}
	return c.apply(e, now, wall)
}

// due is when the next read or write may go: with a claim at once, else after a linger in which a claim
// may come to share the write.
func (c *Committer) due() decide.Instant {
	soonest := c.lastPut.Add(c.limits.WriteInterval)
	if slices.ContainsFunc(c.queue, func(p pending) bool { return p.op.Kind == Claim }) {
		return soonest
	}
	return max(soonest, c.queue[0].at.Add(c.limits.Linger), c.retryAt)
}

func (c *Committer) read(e Effects, now decide.Instant) Effects {
	c.reading, c.readAt = true, now
	e.Read = true
	return e
}

// apply works the queue on the known shard. What needs no write is answered if the shard was read since
// it was submitted; from an older copy only a recorded outcome is, since that never changes.
func (c *Committer) apply(e Effects, now decide.Instant, wall WallTime) Effects {
	next := c.limits.Prune(c.shard, wall)
	var writes, stale []pending
	for _, p := range c.queue {
		s, changed, r := c.limits.Apply(next, p.op, wall)
		switch {
		case changed:
			next = s
			writes = append(writes, p)
		case c.readAt < p.at && r.Verdict != Replay:
			stale = append(stale, p)
		default:
			c.answer(&e, p, r)
		}
	}
	c.queue = stale
	if len(writes) > 0 {
		c.flight, c.lastPut = writes, now
		e.Put = &Put{IfVersion: c.version, Shard: next}
		c.shard = next
		return e
	}
	if len(stale) > 0 {
		return c.read(e, now)
	}
	return e
}

// Idle tells whether nothing waits: the shell may forget an idle Committer.
func (c *Committer) Idle() bool {
	return !c.reading && len(c.flight) == 0 && len(c.queue) == 0
}

// Waiting is the number of operations that are not committed.
func (c *Committer) Pending() int { return len(c.queue) + len(c.flight) }
