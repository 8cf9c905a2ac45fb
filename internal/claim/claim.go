// Package claim executes the decisions of decide/claim on idempotency keys: it makes the store calls and sets the
// timers. See docs/design/at-most-once.md.
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

// Config holds the settings and clocks of a Keeper.
type Config struct {
	Limits      claim.Limits
	Incarnation string                // unique to this run of the process; part of tokens and write ids
	CallTimeout time.Duration         // timeout of one store call; 0: DefaultCallTimeout
	Now         func() decide.Instant // monotonic clock
	Wall        func() claim.WallTime // wall clock
}

// DefaultCallTimeout is the timeout of a store call. A keyed request waits for at most one read and one write.
const DefaultCallTimeout = time.Second

// Clocks returns the process's clocks for a Config: now is monotonic and starts at zero with this call, wall is the
// wall clock.
func Clocks() (now func() decide.Instant, wall func() claim.WallTime) {
	start := time.Now()
	return func() decide.Instant { return decide.Instant(time.Since(start)) },
		func() claim.WallTime { return claim.WallTime(time.Now().UnixMilli()) }
}

// Request describes a request that carries an idempotency key.
type Request struct {
	Workspace   string
	Key         string
	Fingerprint string // hash of the call; a repeat with another one is refused
	Deadline    time.Time
}

// Grant is a granted claim. The holder calls exactly one of Record, RecordWithin and Withdraw. Without any of them
// the outcome of the key stays unknown and its request is never run again.
type Grant struct {
	keeper *Keeper
	op     claim.Op
}

// Keeper claims keys and records outcomes in the object store. It is safe for concurrent use.
type Keeper struct {
	store  objects.Store
	cfg    Config
	log    hclog.Logger
	tokens atomic.Uint64

	base   context.Context // parent of the contexts of store calls; canceled by Close
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	shards map[string]*shard // guarded by mu
	closed bool              // guarded by mu
}

// New returns a Keeper; Close stops it.
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

// Claim claims the key of a request before it is dispatched. The Grant is nil unless the verdict of the result is
// Granted, and without a Grant the request must not be dispatched. If ctx ends first, the claim is canceled.
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

// claim submits op, a claim, and returns its result. A grant that arrives after the deadline is withdrawn.
func (k *Keeper) claim(ctx context.Context, op claim.Op, deadline time.Time) claim.Result {
	unavailable := claim.Result{Verdict: claim.Unavailable, Run: fault.RunNo}
	s := k.shard(op.Key)
	if s == nil {
		return unavailable
	}
	id, response := s.submit(op)
	var res claim.Result
	select {
	case res = <-response:
	case <-ctx.Done():
		s.cancel(id)
		res = <-response
	}
	// After a pause of the process this may be a grant whose deadline has passed. The clock shows that even if the
	// context's timer has not fired yet.
	if res.Verdict == claim.Granted && (ctx.Err() != nil || !time.Now().Before(deadline)) {
		op.Kind = claim.Withdraw
		s.submit(op)
		return unavailable
	}
	return res
}

// Record records the outcome in the background and returns at once. Until the outcome is in the store, repeats are
// answered with "in progress"; if the instance dies before that, with "unknown".
func (g *Grant) Record(o claim.Outcome) {
	op := g.op
	op.Kind, op.Outcome = claim.Record, o
	g.keeper.submit(op)
}

// RecordWithin is like Record, but waits up to timeout until the outcome is in the store. It reports whether the
// outcome is there; then repeats get it even if this instance dies right after the answer. During an outage of the
// store it delays the caller by no more than timeout.
func (g *Grant) RecordWithin(o claim.Outcome, timeout time.Duration) bool {
	op := g.op
	op.Kind, op.Outcome = claim.Record, o
	response := g.keeper.submit(op)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case res := <-response:
		return res.Verdict != claim.Unavailable
	case <-timer.C:
		return false
	}
}

// Withdraw deletes the claim of a request that is known not to have run.
func (g *Grant) Withdraw() {
	op := g.op
	op.Kind = claim.Withdraw
	g.keeper.submit(op)
}

// submit queues op and returns the channel on which its result arrives. On a closed Keeper the channel is nil and the
// operation is lost.
func (k *Keeper) submit(op claim.Op) <-chan claim.Result {
	s := k.shard(op.Key)
	if s == nil {
		k.log.Error("claim", "reason", claim.Unavailable.Reason(), "key", op.Key, "lost", "outcome")
		return nil
	}
	_, response := s.submit(op)
	return response
}

// shard returns the shard of the key and counts a use of it. It returns nil once the Keeper is closed.
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
	s.uses++
	return s
}

// Flush waits until no operation is queued or in flight. It returns an error if ctx ends first.
func (k *Keeper) Flush(ctx context.Context) error {
	tick := time.NewTicker(flushPollInterval)
	defer tick.Stop()
	for {
		n := k.pending()
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

// flushPollInterval is the interval at which Flush checks for pending operations.
const flushPollInterval = 10 * time.Millisecond

// pending returns the number of operations that are queued or in flight, over all shards.
func (k *Keeper) pending() int {
	k.mu.Lock()
	shards := make([]*shard, 0, len(k.shards))
	for _, s := range k.shards {
		shards = append(shards, s)
	}
	k.mu.Unlock()
	n := 0
	for _, s := range shards {
		n += s.pending()
	}
	return n
}

// Close stops the Keeper. The keys of claims whose outcomes were not flushed stay "unknown" in the store.
func (k *Keeper) Close() {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.cancel()
	k.wg.Wait()
}
