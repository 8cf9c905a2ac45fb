package claim

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskshelf/damaskshelf/internal/fault"
)

// Estimated JSON sizes of an entry without its strings and body, and of a tombstone, in bytes.
const (
	entryBytes     = 200
	tombstoneBytes = 56
)

// Apply returns the shard after op, whether the shard has to be written, and the result of op. It doesn't
// modify the shard that is passed in.
//
// A result that requires a write is valid once that write has taken effect. Any other result is valid for the
// version of the shard that was passed in.
func (l Limits) Apply(s Shard, op Op, now WallTime) (Shard, bool, Result) {
	switch op.Kind {
	case Record:
		return l.record(s, op, now)
	case Withdraw:
		return withdraw(s, op)
	default:
		return l.claim(s, op, now)
	}
}

// claim applies a Claim: it adds an entry if the key is neither known nor too old and the shard has room.
func (l Limits) claim(s Shard, op Op, now WallTime) (Shard, bool, Result) {
	if l.outsideRetention(op.Key, now) {
		return s, false, Result{Verdict: KeyExpired, Run: fault.RunUnknown}
	}
	i, found := s.find(op.Key)
	if found {
		return s, false, l.checkExisting(s.Entries[i], op, now)
	}
	if t, pruned := s.tombstone(op.Key); pruned {
		return s, false, Result{Verdict: KeyExpired, Run: t.Run}
	}
	if s.estimatedBytes()+entryBytes+len(op.Key)+l.MaxBody > l.MaxShard {
		return s, false, Result{Verdict: ShardFull}
	}
	s.Entries = slices.Insert(slices.Clone(s.Entries), i, Entry{
		Key: op.Key, Fingerprint: op.Fingerprint, Token: op.Token, UpdatedAt: now, Deadline: op.Deadline,
	})
	return s, true, Result{Verdict: Granted}
}

// checkExisting returns the result of a claim on a key that already has entry e.
func (l Limits) checkExisting(e Entry, op Op, now WallTime) Result {
	switch {
	case e.Token == op.Token && e.Outcome == nil:
		// An earlier write of this claim took effect, but its response was lost.
		return Result{Verdict: Granted}
	case e.Fingerprint != op.Fingerprint:
		return Result{Verdict: KeyReused}
	case e.Outcome != nil:
		return Result{Verdict: Replay, Outcome: *e.Outcome, Run: e.Outcome.Run}
	case now > e.Deadline.Add(l.Grace+l.MaxSkew):
		return Result{Verdict: Orphaned, Run: fault.RunUnknown}
	default:
		return Result{Verdict: InProgress, Run: fault.RunUnknown, RetryAfter: l.retryAfter(e, now)}
	}
}

// Bounds of the retry delay that is returned for a request that is in progress.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// retryAfter returns the time left until e's deadline, within minRetryAfter and maxRetryAfter.
func (l Limits) retryAfter(e Entry, now WallTime) time.Duration {
	left := time.Duration(e.Deadline-now) * time.Millisecond
	return min(max(left, minRetryAfter), maxRetryAfter)
}

// record applies a Record: it stores the outcome of a granted claim. If the entry was pruned meanwhile, it is
// inserted again, as the store has to show that the request ran. An entry of another attempt, or one that
// already has an outcome, stays unchanged.
func (l Limits) record(s Shard, op Op, now WallTime) (Shard, bool, Result) {
	outcome := op.Outcome
	i, found := s.find(op.Key)
	if found && (s.Entries[i].Token != op.Token || s.Entries[i].Outcome != nil) {
		return s, false, Result{Verdict: Done}
	}
	if len(outcome.Body) > l.MaxBody || s.estimatedBytes()+entryBytes+len(op.Key)+base64Bytes(outcome.Body) > l.MaxShard {
		outcome.Body, outcome.BodyDropped = nil, true
	}
	entry := Entry{
		Key: op.Key, Fingerprint: op.Fingerprint, Token: op.Token, UpdatedAt: now, Deadline: op.Deadline, Outcome: &outcome,
	}
	s.Entries = slices.Clone(s.Entries)
	if found {
		s.Entries[i] = entry
	} else {
		s.Entries = slices.Insert(s.Entries, i, entry)
	}
	return s, true, Result{Verdict: Done}
}

// withdraw applies a Withdraw: it deletes the attempt's own claim if that has no outcome. It requires a write
// even if the claim is absent. The write of the claim may still be in flight, and only a newer version of the
// shard ensures that its condition fails.
func withdraw(s Shard, op Op) (Shard, bool, Result) {
	i, found := s.find(op.Key)
	if found && s.Entries[i].Token == op.Token && s.Entries[i].Outcome == nil {
		s.Entries = slices.Delete(slices.Clone(s.Entries), i, i+1)
	}
	return s, true, Result{Verdict: Done}
}

// Prune returns the shard without entries and tombstones that are too old. An entry whose key carries its issue
// time is removed once every instance refuses the key for its age. Any other entry is replaced by a tombstone,
// which is removed after Limits.TombstoneRetention.
func (l Limits) Prune(s Shard, now WallTime) Shard {
	oldest := now.Add(-l.Retention - 2*l.MaxSkew)
	kept := make([]Entry, 0, len(s.Entries))
	tombstones := slices.Clone(s.Tombstones)
	for _, e := range s.Entries {
		if e.UpdatedAt >= oldest || e.Deadline >= oldest {
			kept = append(kept, e)
			continue
		}
		if _, hasTime := IssueTime(idempotencyKey(e.Key)); hasTime {
			continue
		}
		tombstones = append(tombstones, Tombstone{Hash: xxhash.Sum64String(e.Key), PrunedAt: now, Run: e.knownRun()})
	}
	tombstones = slices.DeleteFunc(tombstones, func(t Tombstone) bool { return t.PrunedAt <= now.Add(-l.TombstoneRetention) })
	slices.SortFunc(tombstones, func(a, b Tombstone) int {
		if a.Hash < b.Hash {
			return -1
		}
		return 1
	})
	return Shard{Entries: kept, Tombstones: tombstones}
}

// outsideRetention reports whether a key that carries its issue time is at least Retention old or lies more than
// MaxSkew in the future. A key from the future is refused because its entry could be pruned while the key
// itself is still accepted.
func (l Limits) outsideRetention(key string, now WallTime) bool {
	issued, hasTime := IssueTime(idempotencyKey(key))
	return hasTime && (issued <= now.Add(-l.Retention) || issued > now.Add(l.MaxSkew))
}

// FullKey returns the key of the entry for an idempotency key of a workspace.
func FullKey(workspace, key string) string { return workspace + "/" + key }

// idempotencyKey returns the part of a full key after the workspace.
func idempotencyKey(full string) string {
	_, key, _ := strings.Cut(full, "/")
	return key
}

// knownRun returns whether the request ran, as far as the entry shows it.
func (e Entry) knownRun() fault.Run {
	if e.Outcome == nil {
		return fault.RunUnknown
	}
	return e.Outcome.Run
}

// find returns the index of key in Entries and whether it is there. If it is absent, the index is where to insert it.
func (s Shard) find(key string) (int, bool) {
	return slices.BinarySearchFunc(s.Entries, key, func(e Entry, k string) int { return strings.Compare(e.Key, k) })
}

// tombstone returns the tombstone of a key and whether there is one.
func (s Shard) tombstone(key string) (Tombstone, bool) {
	hash := xxhash.Sum64String(key)
	for _, t := range s.Tombstones {
		if t.Hash == hash {
			return t, true
		}
	}
	return Tombstone{}, false
}

// estimatedBytes returns an upper estimate of the size of the shard's JSON in bytes.
func (s Shard) estimatedBytes() int {
	n := len(s.Tombstones) * tombstoneBytes
	for _, e := range s.Entries {
		n += entryBytes + len(e.Key) + len(e.Fingerprint) + len(e.Token)
		if e.Outcome != nil {
			n += base64Bytes(e.Outcome.Body) + len(e.Outcome.ContentType)
		}
	}
	return n
}

// base64Bytes returns the length of body in JSON, which encodes byte slices in base64.
func base64Bytes(body []byte) int { return (len(body) + 2) / 3 * 4 }
