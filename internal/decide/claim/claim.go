// Package claim decides whether a request that carries an idempotency key may be dispatched. It is pure:
// package internal/claim drives it against the object API.
//
// A key is claimed in its shard object before the request is dispatched, and the outcome is recorded
// beside the claim. The promise "no key runs twice" is carried by the conditional update of the shard
// object alone: a claim is granted only after a write of it is known to have taken effect, and a claim
// that stands is never granted to anybody else, whatever became of its holder.
package claim

import (
	"time"

	"github.com/google/uuid"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fault"
)

// Wall is a wall-clock time in milliseconds since the Unix epoch. Claims outlive instances, so their
// ages can't be measured by one instance's monotonic clock; wall clocks are assumed to agree within
// Limits.MaxSkew.
type WallTime int64

// Add gives the time d later.
func (w WallTime) Add(d time.Duration) WallTime { return w + WallTime(d.Milliseconds()) }

// Token names one attempt to claim a key: no two attempts share one, so a claim found in the store is
// known to be one's own when its token is.
type Token string

// Outcome is what a request's run gave; it is replayed unchanged.
type Outcome struct {
	Run         fault.Run `json:"run"`
	Status      int       `json:"status"`
	Fault       string    `json:"fault,omitempty"` // kind of the failure that the caller got; Body is its detail
	ContentType string    `json:"content_type,omitempty"`
	Body        []byte    `json:"body,omitempty"`
	BodyDropped bool      `json:"dropped,omitempty"` // the body was too large to keep
}

// Entry is one claimed key. Without an Outcome the request may be running, or its holder has died; it is
// never run again in either case.
type Entry struct {
	Key         string   `json:"key"` // workspace/idempotency key
	Fingerprint string   `json:"fingerprint"`
	Token       Token    `json:"token"`
	UpdatedAt   WallTime `json:"at"`    // claimed, or outcome recorded
	Deadline    WallTime `json:"until"` // the request's deadline
	Outcome     *Outcome `json:"outcome,omitempty"`
}

// Tombstone is what stays of a pruned entry whose key carries no time: enough to refuse a late repeat.
type Tombstone struct {
	Hash     uint64    `json:"h"`
	PrunedAt WallTime  `json:"t"` // when the entry was pruned
	Run      fault.Run `json:"r"`
}

// Shard is the value of one shard object.
type Shard struct {
	Entries    []Entry     `json:"entries"`              // sorted by key
	Tombstones []Tombstone `json:"tombstones,omitempty"` // sorted by hash
}

// Limits bound a shard and the times of its entries.
type Limits struct {
	Retention          time.Duration // how long an outcome is kept, and how old a key with a time may be
	TombstoneRetention time.Duration // how long a pruned key without a time is still refused
	MaxSkew            time.Duration // assumed bound of wall-clock differences between instances
	Grace              time.Duration // after an entry's deadline, until its holder counts as dead
	MaxBody            int           // bytes of an answer that are kept
	MaxShard           int           // estimated bytes of a shard's value; below the store's megabyte
	WriteInterval      time.Duration // least time between two writes of a shard by one instance
	Linger             time.Duration // how long an outcome waits for other changes to share its write
	RetryDelay         time.Duration // pause before outcomes are written again while the store is down
	MaxQueue           int           // operations waiting for one shard on one instance
}

// DefaultLimits are those of the daemon.
func DefaultLimits() Limits {
	return Limits{
		Retention:          24 * time.Hour,
		TombstoneRetention: 30 * 24 * time.Hour,
		MaxSkew:            5 * time.Minute,
		Grace:              10 * time.Second,
		MaxBody:            16 << 10,
		MaxShard:           900 << 10,
		WriteInterval:      20 * time.Millisecond,
		Linger:             100 * time.Millisecond,
		RetryDelay:         500 * time.Millisecond,
		MaxQueue:           4096,
	}
}

// OpKind is what an operation asks of a shard.
type OpKind uint8

// The operations.
const (
	Claim    OpKind = iota // before dispatch
	Record                 // keep the outcome of a granted claim
	Withdraw               // drop a claim whose request certainly did not run
)

// Op is one operation on a shard. Applying it twice has the effect of applying it once.
type Op struct {
	Kind        OpKind
	Key         string
	Fingerprint string
	Token       Token
	Deadline    WallTime
	Outcome     Outcome // of Record
}

// Verdict is the answer to an operation.
type Verdict uint8

// The verdicts. Only Granted allows a dispatch.
const (
	Granted     Verdict = iota
	Replay              // the key ran: its outcome is returned unchanged
	InProgress          // another attempt holds the claim and its time is not over
	Orphaned            // the holder's time is over without an outcome: unknown, never run again
	KeyReused           // the key stands for another request
	KeyExpired          // the key is too old: its outcome is no longer kept
	ShardFull           // the shard has no room: nothing was claimed
	Unavailable         // the store could not be reached: nothing will be dispatched
	Done                // Record or Withdraw took effect
)

// Reasons of this package's decisions, one for each verdict, in the verdicts' order.
var Reasons = []decide.Reason{
	"claim_granted", "claim_replay", "claim_in_progress", "claim_orphaned", "claim_key_reused",
	"claim_key_expired", "claim_shard_full", "claim_store_unavailable", "claim_done",
}

// Reason gives the verdict's reason.
func (v Verdict) Reason() decide.Reason { return Reasons[v] }

// Result is a verdict with what it needs.
type Result struct {
	Verdict    Verdict
	Outcome    Outcome       // of Replay
	Run        fault.Run     // what is known of earlier runs of the key
	RetryAfter time.Duration // when to come back; 0: the kind's default
}

// Fault gives the refusal for a claim that was neither granted nor replayed, else nil.
func (r Result) Fault() *fault.Error {
	switch r.Verdict {
	case Granted, Done:
		return nil
	case Replay:
		if !r.Outcome.BodyDropped {
			return nil
		}
		return fault.Ran(fault.UpstreamFailed, r.Outcome.Run,
			"the request ran before with status %d; its answer was too large to keep", r.Outcome.Status)
	case InProgress:
		e := fault.Ran(fault.InProgress, fault.RunUnknown, "another attempt with this idempotency key is running")
		e.RetryAfter = r.RetryAfter
		return e
	case Orphaned:
		return fault.Ran(fault.UpstreamFailed, fault.RunUnknown,
			"an earlier attempt with this idempotency key ended without a recorded outcome; it is never run again")
	case KeyReused:
		return fault.New(fault.KeyReused, "the idempotency key stands for another request")
	case KeyExpired:
		return fault.Ran(fault.KeyExpired, r.Run, "the idempotency key is older than outcomes are kept; use a new key only if it may run again")
	case ShardFull:
		return fault.New(fault.StoreUnavailable, "no room for another idempotency key")
	default:
		return fault.New(fault.StoreUnavailable, "the idempotency key could not be claimed")
	}
}

// uuidV7 is the UUID version whose first 48 bits are a time.
const uuidV7 = 7

// Issued gives the time that a key carries in itself, if it does: version 7 UUIDs do.
func IssueTime(idempotencyKey string) (WallTime, bool) {
	id, err := uuid.Parse(idempotencyKey)
	if err != nil || id.Version() != uuidV7 {
		return 0, false
	}
	sec, nsec := id.Time().UnixTime()
	return WallTime(sec*1000 + nsec/int64(time.Millisecond)), true
}
