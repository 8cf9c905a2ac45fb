// Package claim is the shell of claims on idempotency keys: it carries the decisions of decide/claim out
// against the object API. See docs/design/at-most-once.md.
package claim

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/claim"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/objects"
)

// Config is what a Keeper needs besides the store.
type Config struct {
	Limits      claim.Limits
	Incarnation string        // unique to this run of the process; part of tokens and write ids
	CallTimeout time.Duration // of one store call; 0: DefaultCallTimeout
	Now         func() decide.Instant
	Wall        func() claim.WallTime
}

// DefaultCallTimeout bounds a store call. A keyed request waits at most a read and a write.
const DefaultCallTimeout = time.Second

// Clocks gives the process's clocks for a Config.
func Clocks() (now func() decide.Instant, wall func() claim.WallTime) {
	start := time.Now()
	return func() decide.Instant { return decide.Instant(time.Since(start)) },
		func() claim.WallTime { return claim.WallTime(time.Now().UnixMilli()) }
}

// Request is one keyed request.
type Request struct {
	Workspace   string
	Key         string
	Fingerprint string // of everything that makes the request what it is
	Deadline    time.Time
}

// Held is a granted claim. Exactly one of Record and Withdraw ends it; if neither does, the key stays
// unknown and is never run again.
type Grant struct {
	keeper *Keeper
	op     claim.Op
}

// Keeper claims keys and keeps outcomes. It is safe for concurrent use.
type Keeper struct {
	store  objects.Store
	cfg    Config
	log    hclog.Logger
	tokens atomic.Uint64

	base   context.Context // of store calls
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	shards map[string]*shard // guarded by mu
	closed bool              // guarded by mu
}

// New gives a Keeper; Close ends it.
func New(store objects.Store, cfg Config, log hclog.Logger) *Keeper {
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	base, cancel := context.WithCancel(context.Background())
	return &Keeper{
		store: store, cfg: cfg, log: log.Named("claim"), base: base, cancel: cancel,
		shards: map[string]*shard{},
	}
}

// Claim asks for the right to dispatch a request. Held is nil unless the result's verdict is Granted.
// When ctx ends first the claim is given up and its request must not be dispatched.
func (k *Keeper) Claim(ctx context.Context, r Request) (*Grant, claim.Result) {
	op := claim.Op{
		Kind: claim.Claim, Key: claim.FullKey(r.Workspace, r.Key), Fingerprint: r.Fingerprint,
		Token:    claim.Token(fmt.Sprintf("%s.%d", k.cfg.Incarnation, k.tokens.Add(1))),
		Deadline: k.cfg.Wall().Add(time.Until(r.Deadline)),
	}
	res := k.claim(ctx, op, r.Deadline)
	k.log.Debug("claim", "reason", res.Verdict.Reason(), "workspace", r.Workspace, "key", r.Key, "token", op.Token)
	if res.Verdict != claim.Granted {
		return nil, res
	}
	return &Grant{keeper: k, op: op}, res
}

func (k *Keeper) claim(ctx context.Context, op claim.Op, deadline time.Time) claim.Result {
	unavailable := claim.Result{Verdict: claim.Unavailable, Run: fault.RunNo}
	s := k.shard(op.Key)
	if s == nil {
		return unavailable
	}
	id, answer := s.submit(op)
	var res claim.Result
	select {
	case res = <-answer:
	case <-ctx.Done():
		s.giveUp(id)
		res = <-answer
	}
	// An instance that was paused may find an old grant here. The clock that ran on meanwhile says so even
	// before its timers do.
	if res.Verdict == claim.Granted && (ctx.Err() != nil || !time.Now().Before(deadline)) {
		op.Kind = claim.Withdraw
		s.submit(op)
		return unavailable
	}
	return res
}

// Record keeps the outcome in the background: the caller's answer doesn't wait for the store. Until the
// store has it, repeats get "in progress"; if the instance dies before, they get "unknown".
func (h *Grant) Record(o claim.Outcome) {
	op := h.op
	op.Kind, op.Outcome = claim.Record, o
	h.keeper.submit(op)
}

// RecordWithin is Record, and waits up to wait for the store to have the outcome. It tells whether it has:
// then a repeat hears it even if this instance dies right after the answer. An outage costs the caller no
// more than wait.
func (h *Grant) RecordWithin(o claim.Outcome, wait time.Duration) bool {
	op := h.op
	op.Kind, op.Outcome = claim.Record, o
	answer := h.keeper.submit(op)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case res := <-answer:
		return res.Verdict != claim.Unavailable
	case <-timer.C:
		return false
	}
}

// Withdraw drops the claim of a request that certainly did not run.
func (h *Grant) Withdraw() {
	op := h.op
	op.Kind = claim.Withdraw
	h.keeper.submit(op)
}

// submit gives the channel of the operation's answer; of a closed Keeper it never answers.
func (k *Keeper) submit(op claim.Op) <-chan claim.Result {
	s := k.shard(op.Key)
	if s == nil {
		k.log.Error("claim", "reason", claim.Unavailable.Reason(), "key", op.Key, "lost", "outcome")
		return nil
	}
	_, answer := s.submit(op)
	return answer
}

// shard gives the key's shard, or nil once the Keeper is closed.
func (k *Keeper) shard(fullKey string) *shard {
	name := claim.Place(fullKey)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return nil
	}
	s := k.shards[name]
	if s == nil {
		s = newShard(k, name)
		k.shards[name] = s
	}
	s.users++
	return s
}

// Flush waits until nothing waits for the store, or for ctx.
func (k *Keeper) Flush(ctx context.Context) error {
	tick := time.NewTicker(flushPoll)
	defer tick.Stop()
	for {
		n := k.waiting()
		if n == 0 {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("%d claim operations are not in the store: %w", n, ctx.Err())
		}
	}
}

const flushPoll = 10 * time.Millisecond

func (k *Keeper) waiting() int {
	k.mu.Lock()
	all := make([]*shard, 0, len(k.shards))
	for _, s := range k.shards {
		all = append(all, s)
	}
	k.mu.Unlock()
	n := 0
	for _, s := range all {
		n += s.waiting()
	}
	return n
}

// Close ends the Keeper. What was not flushed stays "unknown" in the store.
func (k *Keeper) Close() {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.cancel()
	k.wg.Wait()
}
