package claim_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/claim"
	"github.com/damaskshelf/damaskshelf/internal/fault"
)

// now is the wall-clock time at which the tests start.
const now = claim.WallTime(1_800_000_000_000)

// instant returns the instant d after the start of a test.
func instant(d time.Duration) decide.Instant { return decide.Instant(d) }

// op returns an operation on key k1 of workspace ice, with an outcome for Record.
func op(kind claim.OpKind, token claim.Token) claim.Op {
	return claim.Op{
		Kind: kind, Key: claim.FullKey("ice", "k1"), Fingerprint: "f", Token: token, Deadline: now.Add(time.Minute),
		Outcome: claim.Outcome{Run: fault.RunYes, Status: 201, Body: []byte(`{"booking":7}`)},
	}
}

// shardOf returns the shard after the operations, all applied at now.
func shardOf(ops ...claim.Op) claim.Shard {
	var s claim.Shard
	for _, o := range ops {
		s, _, _ = claim.DefaultLimits().Apply(s, o, now)
	}
	return s
}

// Checks the verdict of a claim on a key with the given earlier operations.
func TestClaimVerdicts(t *testing.T) {
	other := op(claim.Claim, "t2")
	other.Fingerprint = "g"
	retention := claim.DefaultLimits().Retention
	rows := []struct {
		name    string
		history []claim.Op
		claim   claim.Op
		later   time.Duration
		verdict claim.Verdict
		run     fault.Run
	}{
		{"first", nil, op(claim.Claim, "t2"), 0, claim.Granted, fault.RunNo},
		{"repeat while it runs", []claim.Op{op(claim.Claim, "t1")}, op(claim.Claim, "t2"), 0, claim.InProgress, fault.RunUnknown},
		{"own claim whose response was lost", []claim.Op{op(claim.Claim, "t1")}, op(claim.Claim, "t1"), 0, claim.Granted, fault.RunNo},
		{"repeat after the outcome", []claim.Op{op(claim.Claim, "t1"), op(claim.Record, "t1")}, op(claim.Claim, "t2"), 0, claim.Replay, fault.RunYes},
		{"another request", []claim.Op{op(claim.Claim, "t1"), op(claim.Record, "t1")}, other, 0, claim.KeyReused, fault.RunNo},
		{"holder died", []claim.Op{op(claim.Claim, "t1")}, op(claim.Claim, "t2"), time.Hour, claim.Orphaned, fault.RunUnknown},
		{"withdrawn", []claim.Op{op(claim.Claim, "t1"), op(claim.Withdraw, "t1")}, op(claim.Claim, "t2"), 0, claim.Granted, fault.RunNo},
		{"withdrawal of another attempt", []claim.Op{op(claim.Claim, "t1"), op(claim.Withdraw, "t0")}, op(claim.Claim, "t2"), 0, claim.InProgress, fault.RunUnknown},
		{"withdrawal after the outcome", []claim.Op{op(claim.Claim, "t1"), op(claim.Record, "t1"), op(claim.Withdraw, "t1")}, op(claim.Claim, "t2"), 0, claim.Replay, fault.RunYes},
		{"pruned after its outcome", []claim.Op{op(claim.Claim, "t1"), op(claim.Record, "t1")}, op(claim.Claim, "t2"), retention + time.Hour, claim.KeyExpired, fault.RunYes},
		{"pruned without an outcome", []claim.Op{op(claim.Claim, "t1")}, op(claim.Claim, "t2"), retention + time.Hour, claim.KeyExpired, fault.RunUnknown},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			l := claim.DefaultLimits()
			s := l.Prune(shardOf(row.history...), now.Add(row.later))
			_, _, r := l.Apply(s, row.claim, now.Add(row.later))
			is.Equal(r.Verdict, row.verdict)
			if r.Verdict != claim.Granted {
				is.Equal(r.Run, row.run)
			}
			if f := r.Fault(); f != nil && f.Run == fault.RunNo {
				is.Equal(r.Verdict, claim.KeyReused) // no other fault may report the request as not run
			}
		})
	}
}

// Guards against running a request twice when a client repeats it after a day: its entry is pruned by age, and
// nothing in the store shows that it ran. A version 7 UUID carries its issue time, and every instance refuses
// the key for its age before any instance may prune its entry.
func TestLateRepeatCanNotSlipPastPruning(t *testing.T) {
	is := is.New(t)
	l := claim.DefaultLimits()
	key := timedKey
	issued, hasTime := claim.IssueTime(key)
	is.True(hasTime)
	first := op(claim.Claim, "t1")
	first.Key, first.Deadline = claim.FullKey("ice", key), issued.Add(time.Minute)
	// The clock of the claiming instance is behind by MaxSkew, so that its entry looks as old as possible.
	s, changed, _ := l.Apply(claim.Shard{}, first, issued.Add(-l.MaxSkew))
	is.True(changed)
	second := first
	second.Token = "t2"
	for age := time.Duration(0); age < 2*l.Retention; age += time.Minute {
		pruned := l.Prune(s, issued.Add(age+l.MaxSkew))             // by a clock that is ahead by MaxSkew
		_, _, r := l.Apply(pruned, second, issued.Add(age))         // by a clock that is behind
		is.True(r.Verdict != claim.Granted)                         // the repeat is never granted
		is.True(r.Fault() == nil || r.Fault().Run != fault.RunNo)   // and never reported as not run
		is.True(age < l.Retention || r.Verdict == claim.KeyExpired) // it is refused for its age
		is.True(len(pruned.Entries) == 1 || age >= l.Retention)     // the entry is kept until then
		is.True(age < l.Retention*3/2 || len(pruned.Entries) == 0)  // the entry is removed in the end
		is.True(len(pruned.Tombstones) == 0)                        // without a tombstone
	}
}

// Guards against a shard that grows beyond the store's limit of one megabyte. It could no longer be written, and
// the outcomes of all its keys would stay unknown. A full shard refuses new keys and drops bodies that don't fit.
func TestShardStaysWithinMaxShard(t *testing.T) {
	is := is.New(t)
	l := claim.DefaultLimits()
	var s claim.Shard
	full := 0
	for i := range 200 {
		o := op(claim.Claim, claim.Token(rune('a'+i)))
		o.Key = claim.FullKey("ice", string(rune(1000+i)))
		next, _, r := l.Apply(s, o, now)
		if r.Verdict == claim.ShardFull {
			full++
			is.Equal(r.Fault().Run, fault.RunNo)
			continue
		}
		o.Kind, o.Outcome.Body = claim.Record, make([]byte, l.MaxBody)
		s, _, _ = l.Apply(next, o, now)
	}
	is.True(full > 0)
	is.True(len(encode(s)) <= l.MaxShard)
}

// Checks that an outcome whose body was too large to store is replayed as an error.
func TestOutcomeWithoutBodyIsReplayedAsError(t *testing.T) {
	is := is.New(t)
	big := op(claim.Record, "t1")
	big.Outcome.Body = make([]byte, claim.DefaultLimits().MaxBody+1)
	_, _, r := claim.DefaultLimits().Apply(shardOf(op(claim.Claim, "t1"), big), op(claim.Claim, "t2"), now)
	is.Equal(r.Verdict, claim.Replay)
	is.Equal(r.Fault().Run, fault.RunYes) // an explicit error instead of a truncated body
}

// Checks the verdict for each point between a claim and its dispatch at which a write or its response can be lost,
// or at which the store can become unavailable.
func TestLossesBetweenClaimAndDispatch(t *testing.T) {
	rows := []struct {
		name    string
		outcome claim.WriteOutcome
		applied bool // the write took effect
		storeUp bool // the store is available for the read that follows
		verdict claim.Verdict
	}{
		{"response arrives", claim.WriteApplied, true, true, claim.Granted},
		{"response lost after effect", claim.WriteUnknown, true, true, claim.Granted},
		{"write lost", claim.WriteUnknown, false, true, claim.Granted}, // the write is sent again
		{"response lost, then store unavailable", claim.WriteUnknown, true, false, claim.Unavailable},
		{"store unavailable", claim.WriteNotSent, false, false, claim.Unavailable},
		{"conflict", claim.WriteConflict, false, true, claim.Granted},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			c := claim.NewCommitter(claim.DefaultLimits())
			id, e := c.Submit(op(claim.Claim, "t1"), instant(0), now)
			is.True(e.Read)
			e = c.OnRead(claim.Shard{}, 0, true, instant(1), now)
			is.True(e.Put != nil)
			is.Equal(len(e.Responses), 0) // no grant before the write is known to have taken effect
			stored, version := claim.Shard{}, uint64(1)
			if row.applied {
				stored, version = e.Put.Shard, 2
			}
			e = c.OnWrite(row.outcome, 2, instant(2), now)
			responses := e.Responses
			for step := time.Second; len(responses) == 0; step += time.Second {
				e = carryOut(c, e, stored, version, row.storeUp, instant(step))
				responses = e.Responses
			}
			is.Equal(responses, []claim.Response{{ID: id, Result: claim.Result{Verdict: row.verdict}}})
		})
	}
}

// carryOut carries out the next effect against a store that holds s at version; reads succeed if available.
func carryOut(c *claim.Committer, e claim.Effects, s claim.Shard, version uint64, available bool, t decide.Instant) claim.Effects {
	switch {
	case e.Read:
		return c.OnRead(s, version, available, t, now)
	case e.Put != nil:
		return c.OnWrite(claim.WriteApplied, version+1, t, now)
	default:
		return c.Tick(t, now)
	}
}

// Checks that claims are refused at once while the store is unavailable, and that the first claim after RetryDelay
// tries the store again.
func TestStoreDownRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	c := claim.NewCommitter(claim.DefaultLimits())
	_, e := c.Submit(op(claim.Claim, "t1"), instant(0), now)
	is.True(e.Read)
	e = c.OnRead(claim.Shard{}, 0, false, instant(time.Millisecond), now)
	is.Equal(e.Responses[0].Result.Verdict, claim.Unavailable)
	f := e.Responses[0].Result.Fault()
	is.Equal(f.Run, fault.RunNo)
	is.True(f.RetryDelay() > 0)
	_, e = c.Submit(op(claim.Claim, "t2"), instant(2*time.Millisecond), now)
	is.Equal(e.Responses[0].Result.Verdict, claim.Unavailable)
	is.True(!e.Read)
	_, e = c.Submit(op(claim.Claim, "t3"), instant(time.Second), now)
	is.True(e.Read)
}

// Guards against a key that stays claimed forever for a request that was never dispatched: the claim is canceled
// for want of a response from the store, and its write takes effect later. The withdrawal deletes the claim. It
// always writes, so the condition of a late write can't hold afterwards.
func TestCanceledClaimIsWithdrawnAndItsLateWriteFails(t *testing.T) {
	is := is.New(t)
	c := claim.NewCommitter(claim.DefaultLimits())
	id, _ := c.Submit(op(claim.Claim, "t1"), instant(0), now)
	e := c.OnRead(claim.Shard{}, 7, true, instant(1), now)
	claimPut := *e.Put
	e = c.Cancel(id, instant(2), now)
	is.Equal(e.Responses[0].Result.Verdict, claim.Unavailable)
	e = c.OnWrite(claim.WriteUnknown, 0, instant(3), now)
	e = c.Tick(e.Wake, now)
	is.True(e.Read)
	e = c.OnRead(claim.Shard{}, 7, true, instant(time.Second), now)
	is.True(e.Put != nil)                         // the withdrawal writes although the claim is absent
	is.Equal(e.Put.IfVersion, claimPut.IfVersion) // only one of the two writes can take effect
	is.Equal(len(e.Put.Shard.Entries), 0)
	c.OnWrite(claim.WriteApplied, 8, instant(2*time.Second), now)
	is.True(c.Idle())
}
