package claim

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskshelf/damaskshelf/internal/fault"
)

// Rough sizes of the JSON of an entry without its strings, and of a tombstone.
const (
	entrySize     = 200
	tombstoneSize = 56
)

// Apply gives the shard after op, whether it changed, and the verdict. The given shard is not changed.
// The verdict holds once the shard that it came from is in the store: for Granted and Done after the
// write took effect, for the others at the version that was read.
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

func (l Limits) claim(s Shard, op Op, now WallTime) (Shard, bool, Result) {
	if l.tooOld(op.Key, now) {
		return s, false, Result{Verdict: KeyExpired, Run: fault.RunUnknown}
	}
	at, found := s.find(op.Key)
	if found {
		return s, false, l.standing(s.Entries[at], op, now)
	}
	if t, buried := s.tombstone(op.Key); buried {
		return s, false, Result{Verdict: KeyExpired, Run: t.Run}
	}
	if s.size()+entrySize+len(op.Key)+l.MaxBody > l.MaxShard {
		return s, false, Result{Verdict: ShardFull}
	}
	s.Entries = slices.Insert(slices.Clone(s.Entries), at, Entry{
		Key: op.Key, Fingerprint: op.Fingerprint, Token: op.Token, UpdatedAt: now, Deadline: op.Deadline,
	})
	return s, true, Result{Verdict: Granted}
}

// standing answers a claim on a key that is claimed already.
func (l Limits) standing(e Entry, op Op, now WallTime) Result {
	switch {
	case e.Token == op.Token && e.Outcome == nil:
		// The write that claimed it took effect although its answer was lost.
		return Result{Verdict: Granted}
	case e.Fingerprint != op.Fingerprint:
		return Result{Verdict: KeyReused}
	case e.Outcome != nil:
		return Result{Verdict: Replay, Outcome: *e.Outcome, Run: e.Outcome.Run}
	case now > e.Deadline.Add(l.Grace+l.MaxSkew):
		return Result{Verdict: Orphaned, Run: fault.RunUnknown}
	default:
		return Result{Verdict: InProgress, Run: fault.RunUnknown, RetryAfter: l.comeBack(e, now)}
	}
}

// The shortest and longest time after which a repeat of a running request is told to come back.
const (
	minComeBack = time.Second
	maxComeBack = 30 * time.Second
)

func (l Limits) comeBack(e Entry, now WallTime) time.Duration {
	left := time.Duration(e.Deadline-now) * time.Millisecond
	return min(max(left, minComeBack), maxComeBack)
}

// record keeps an outcome. An entry that was pruned meanwhile is put back, since what ran must be known;
// an entry of another attempt is never touched.
func (l Limits) record(s Shard, op Op, now WallTime) (Shard, bool, Result) {
	outcome := op.Outcome
	at, found := s.find(op.Key)
	if found && (s.Entries[at].Token != op.Token || s.Entries[at].Outcome != nil) {
		return s, false, Result{Verdict: Done}
	}
	if len(outcome.Body) > l.MaxBody || s.size()+entrySize+len(op.Key)+encoded(outcome.Body) > l.MaxShard {
		outcome.Body, outcome.BodyDropped = nil, true
	}
	entry := Entry{
		Key: op.Key, Fingerprint: op.Fingerprint, Token: op.Token, UpdatedAt: now, Deadline: op.Deadline, Outcome: &outcome,
	}
	s.Entries = slices.Clone(s.Entries)
	if found {
		s.Entries[at] = entry
	} else {
		s.Entries = slices.Insert(s.Entries, at, entry)
	}
	return s, true, Result{Verdict: Done}
}

// withdraw drops the attempt's own claim. It always asks for a write, also when the claim is absent:
// the claim's own write may still be under way, and only a newer version of the shard makes sure that
// its condition fails.
func withdraw(s Shard, op Op) (Shard, bool, Result) {
	at, found := s.find(op.Key)
	if found && s.Entries[at].Token == op.Token && s.Entries[at].Outcome == nil {
		s.Entries = slices.Delete(slices.Clone(s.Entries), at, at+1)
	}
	return s, true, Result{Verdict: Done}
}

// Prune drops what is too old. An entry whose key carries a time may go once the key itself is refused
// for its age by every instance; any other leaves a tombstone, which goes after Limits.Tombstone.
func (l Limits) Prune(s Shard, now WallTime) Shard {
	oldest := now.Add(-l.Retention - 2*l.MaxSkew)
	kept := make([]Entry, 0, len(s.Entries))
	tombs := slices.Clone(s.Tombstones)
	for _, e := range s.Entries {
		if e.UpdatedAt >= oldest || e.Deadline >= oldest {
			kept = append(kept, e)
			continue
		}
		if _, timed := IssueTime(idempotencyKey(e.Key)); timed {
			continue
		}
		tombs = append(tombs, Tombstone{Hash: xxhash.Sum64String(e.Key), PrunedAt: now, Run: e.run()})
	}
	tombs = slices.DeleteFunc(tombs, func(t Tombstone) bool { return t.PrunedAt <= now.Add(-l.TombstoneRetention) })
	slices.SortFunc(tombs, func(a, b Tombstone) int {
		if a.Hash < b.Hash {
			return -1
		}
		return 1
	})
	return Shard{Entries: kept, Tombstones: tombs}
}

// tooOld tells whether a key that carries a time is past the bound. A key from the future is refused
// too: its entry could be pruned while the key still passes.
func (l Limits) tooOld(key string, now WallTime) bool {
	issued, timed := IssueTime(idempotencyKey(key))
	return timed && (issued <= now.Add(-l.Retention) || issued > now.Add(l.MaxSkew))
}

// FullKey joins a workspace and its idempotency key to an entry's key.
func FullKey(workspace, key string) string { return workspace + "/" + key }

func idempotencyKey(full string) string {
	_, key, _ := strings.Cut(full, "/")
	return key
}

func (e Entry) run() fault.Run {
	if e.Outcome == nil {
		return fault.RunUnknown
	}
	return e.Outcome.Run
}

func (s Shard) find(key string) (int, bool) {
	return slices.BinarySearchFunc(s.Entries, key, func(e Entry, k string) int { return strings.Compare(e.Key, k) })
}

func (s Shard) tombstone(key string) (Tombstone, bool) {
	hash := xxhash.Sum64String(key)
	for _, t := range s.Tombstones {
		if t.Hash == hash {
			return t, true
		}
	}
	return Tombstone{}, false
}

// size estimates the bytes of the shard's JSON from above.
func (s Shard) size() int {
	n := len(s.Tombstones) * tombstoneSize
	for _, e := range s.Entries {
		n += entrySize + len(e.Key) + len(e.Fingerprint) + len(e.Token)
		if e.Outcome != nil {
			n += encoded(e.Outcome.Body) + len(e.Outcome.ContentType)
		}
	}
	return n
}

// encoded is the length of body in JSON, which writes bytes in base64.
func encoded(body []byte) int { return (len(body) + 2) / 3 * 4 }
