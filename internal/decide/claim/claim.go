// Package claim decides whether a request that carries an idempotency key may be dispatched. It is pure:
// package internal/claim drives it against the object API.
//
// A key is claimed in its shard object before the request is dispatched, and the outcome is recorded in the
// same entry.
//
// Guarantee: the request of a key runs at most once. It rests on the conditional update of the shard object alone.
// A claim is granted only after its write is known to have taken effect. While the claim is in the store, no other
// attempt is granted the key, even if the holder of the claim has died.
package claim

import (
	"time"

	"github.com/google/uuid"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fault"
)

// WallTime is a wall-clock time in milliseconds since the Unix epoch. Claims outlive instances, so a monotonic
// clock of one instance can't measure their age. The wall clocks of all instances are assumed to agree
// within Limits.MaxSkew.
type WallTime int64

// Add returns the time d after w.
func (w WallTime) Add(d time.Duration) WallTime { return w + WallTime(d.Milliseconds()) }

// Token identifies one attempt to claim a key. No two attempts share a token, so an attempt recognizes its
// own claim in the store by the token.
type Token string

// Outcome is the result of running a request. A repeat of the request gets it unchanged.
type Outcome struct {
	Run         fault.Run `json:"run"`
	Status      int       `json:"status"`
	Fault       string    `json:"fault,omitempty"` // kind of the fault returned to the caller; Body holds its detail
	ContentType string    `json:"content_type,omitempty"`
	Body        []byte    `json:"body,omitempty"`
	BodyDropped bool      `json:"dropped,omitempty"` // the body was too large to store
}

// Entry is one claimed key. Without an Outcome the request may be running, or the holder of the claim may have
// died. The request is never run again in either case.
type Entry struct {
	Key         string   `json:"key"` // workspace/idempotency key
	Fingerprint string   `json:"fingerprint"`
	Token       Token    `json:"token"`
	UpdatedAt   WallTime `json:"at"`    // when the key was claimed or the outcome recorded
	Deadline    WallTime `json:"until"` // the request's deadline
	Outcome     *Outcome `json:"outcome,omitempty"`
}

// Tombstone replaces a pruned entry whose key carries no issue time, so that a late repeat is still refused.
type Tombstone struct {
	Hash     uint64    `json:"h"` // xxhash of the entry's key
	PrunedAt WallTime  `json:"t"` // when the entry was pruned
	Run      fault.Run `json:"r"`
}

// Shard is the value of one shard object.
type Shard struct {
	Entries    []Entry     `json:"entries"`              // sorted by key
	Tombstones []Tombstone `json:"tombstones,omitempty"` // sorted by hash
}

// Limits holds the bounds of a shard and the retention times and delays of its entries.
type Limits struct {
	Retention          time.Duration // how long an outcome is kept, and the highest age of a key with an issue time
	TombstoneRetention time.Duration // how long a pruned key without an issue time is still refused
	MaxSkew            time.Duration // assumed bound of the difference between wall clocks of two instances
	Grace              time.Duration // time after an entry's deadline, besides MaxSkew, before its holder counts as dead
	MaxBody            int           // largest body of an outcome that is stored, in bytes
	MaxShard           int           // bound of a shard's estimated size in bytes; below the store's limit of one megabyte
	WriteInterval      time.Duration // minimum time between two writes of a shard by one instance
	Linger             time.Duration // how long an outcome waits for other operations to share its write
	RetryDelay         time.Duration // delay before a retry while the store is unavailable
	MaxQueue           int           // bound of the queued operations on one shard in one instance
}

// DefaultLimits returns the limits that the daemon uses.
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

// OpKind is the kind of an operation on a shard.
type OpKind uint8

// The operations.
const (
	Claim    OpKind = iota // claim a key before the request is dispatched
	Record                 // record the outcome of a granted claim
	Withdraw               // delete a claim whose request is known not to have run
)

// Op is one operation on a shard. It is idempotent: applying it twice has the same effect as applying it once.
type Op struct {
	Kind        OpKind
	Key         string
	Fingerprint string
	Token       Token
	Deadline    WallTime
	Outcome     Outcome // for Record only
}

// Verdict is the result code of an operation.
type Verdict uint8

// The verdicts. Only Granted allows the request to be dispatched.
const (
	Granted     Verdict = iota
	Replay              // the request has an outcome, which is returned unchanged
	InProgress          // another attempt holds the claim and may still be running
	Orphaned            // the holder recorded no outcome in its time: the run is unknown, the request is never run again
	KeyReused           // the key belongs to a request with another fingerprint
	KeyExpired          // the key's outcome is no longer kept, or its issue time is outside the accepted range
	ShardFull           // the shard has no room; the key was not claimed
	Unavailable         // no claim is granted, as the store is unavailable, the queue is full or the claim was canceled
	Done                // Record or Withdraw needs no further write
)

// Reasons lists the reasons of this package's decisions, one for each verdict and indexed by it.
var Reasons = []decide.Reason{
	"claim_granted", "claim_replay", "claim_in_progress", "claim_orphaned", "claim_key_reused",
	"claim_key_expired", "claim_shard_full", "claim_store_unavailable", "claim_done",
}

// Reason returns the reason to log for the verdict.
func (v Verdict) Reason() decide.Reason { return Reasons[v] }

// Result is the verdict of an operation with the data that belongs to it.
type Result struct {
	Verdict    Verdict
	Outcome    Outcome       // for Replay only
	Run        fault.Run     // whether the request ran in an earlier attempt
	RetryAfter time.Duration // delay before a retry; 0: the default of the fault's kind
}

// Fault returns the error for a claim that was refused, or whose outcome has no body to replay. It returns nil
// for other results.
func (r Result) Fault() *fault.Error {
	switch r.Verdict {
	case Granted, Done:
		return nil
	case Replay:
		if !r.Outcome.BodyDropped {
			return nil
		}
		return fault.NewWithRun(fault.UpstreamFailed, r.Outcome.Run,
			"the request ran before with status %d; its answer was too large to keep", r.Outcome.Status)
	case InProgress:
		e := fault.NewWithRun(fault.InProgress, fault.RunUnknown, "another attempt with this idempotency key is running")
		e.RetryAfter = r.RetryAfter
		return e
	case Orphaned:
		return fault.NewWithRun(fault.UpstreamFailed, fault.RunUnknown,
			"an earlier attempt with this idempotency key ended without a recorded outcome; it is never run again")
	case KeyReused:
		return fault.New(fault.KeyReused, "the idempotency key stands for another request")
	case KeyExpired:
		return fault.NewWithRun(fault.KeyExpired, r.Run, "the idempotency key is older than outcomes are kept; use a new key only if it may run again")
	case ShardFull:
		return fault.New(fault.StoreUnavailable, "no room for another idempotency key")
	default:
		return fault.New(fault.StoreUnavailable, "the idempotency key could not be claimed")
	}
}

// uuidV7 is the UUID version whose first 48 bits are a timestamp.
const uuidV7 = 7

// IssueTime returns the time at which an idempotency key was issued. It reports false unless the key is a
// version 7 UUID, the only form of key that carries its issue time.
func IssueTime(idempotencyKey string) (WallTime, bool) {
	id, err := uuid.Parse(idempotencyKey)
	if err != nil || id.Version() != uuidV7 {
		return 0, false
	}
	sec, nsec := id.Time().UnixTime()
	return WallTime(sec*1000 + nsec/int64(time.Millisecond)), true
}
