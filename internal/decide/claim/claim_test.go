package claim_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/claim"
	"github.com/damaskshelf/damaskshelf/internal/fault"
)

const now = claim.WallTime(1_800_000_000_000)

// at gives the decision's instant d after the start.
func at(d time.Duration) decide.Instant { return decide.Instant(d) }

func op(kind claim.OpKind, token claim.Token) claim.Op {
	return claim.Op{
		Kind: kind, Key: claim.FullKey("ice", "k1"), Fingerprint: "f", Token: token, Deadline: now.Add(time.Minute),
		Outcome: claim.Outcome{Run: fault.RunYes, Status: 201, Body: []byte(`{"booking":7}`)},
	}
}

func shardOf(ops ...claim.Op) claim.Shard {
	var s claim.Shard
	for _, o := range ops {
		s, _, _ = claim.DefaultLimits().Apply(s, o, now)
	}
	return s
}

// Each row is a key's history and a later claim on it.
func TestVerdictOfAClaim(t *testing.T) {
	other := op(claim.Claim, "t2")
	other.Fingerprint = "g"
	early := claim.DefaultLimits().Retention
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
		{"own claim whose answer was lost", []claim.Op{op(claim.Claim, "t1")}, op(claim.Claim, "t1"), 0, claim.Granted, fault.RunNo},
		{"repeat after the outcome", []claim.Op{op(claim.Claim, "t1"), op(claim.Record, "t1")}, op(claim.Claim, "t2"), 0, claim.Replay, fault.RunYes},
		{"another request", []claim.Op{op(claim.Claim, "t1"), op(claim.Record, "t1")}, other, 0, claim.KeyReused, fault.RunNo},
		{"holder died", []claim.Op{op(claim.Claim, "t1")}, op(claim.Claim, "t2"), time.Hour, claim.Orphaned, fault.RunUnknown},
		{"withdrawn", []claim.Op{op(claim.Claim, "t1"), op(claim.Withdraw, "t1")}, op(claim.Claim, "t2"), 0, claim.Granted, fault.RunNo},
		{"withdrawal of another attempt", []claim.Op{op(claim.Claim, "t1"), op(claim.Withdraw, "t0")}, op(claim.Claim, "t2"), 0, claim.InProgress, fault.RunUnknown},
		{"withdrawal after the outcome", []claim.Op{op(claim.Claim, "t1"), op(claim.Record, "t1"), op(claim.Withdraw, "t1")}, op(claim.Claim, "t2"), 0, claim.Replay, fault.RunYes},
		{"pruned after its outcome", []claim.Op{op(claim.Claim, "t1"), op(claim.Record, "t1")}, op(claim.Claim, "t2"), early + time.Hour, claim.KeyExpired, fault.RunYes},
		{"pruned without an outcome", []claim.Op{op(claim.Claim, "t1")}, op(claim.Claim, "t2"), early + time.Hour, claim.KeyExpired, fault.RunUnknown},
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
				is.Equal(r.Verdict, claim.KeyReused) // only a request that was never dispatched is "not run"
			}
		})
	}
}

// A client repeats a fee payment a day later. Its entry was pruned meanwhile, so nothing in the store
// tells that it ran, and it is paid twice. Cause: pruning by age with nothing that refuses what is older.
// Guard: a version 7 UUID carries its time, and every instance refuses the key before any may prune it.
func TestLateRepeatCanNotSlipPastPruning(t *testing.T) {
	is := is.New(t)
	l := claim.DefaultLimits()
	key := timedKey
	issued, timed := claim.IssueTime(key)
	is.True(timed)
	first := op(claim.Claim, "t1")
	first.Key, first.Deadline = claim.FullKey("ice", key), issued.Add(time.Minute)
	// The claimer's clock is behind by the whole skew: its entry looks as old as it can.
	s, changed, _ := l.Apply(claim.Shard{}, first, issued.Add(-l.MaxSkew))
	is.True(changed)
	second := first
	second.Token = "t2"
	for age := time.Duration(0); age < 2*l.Retention; age += time.Minute {
		pruned := l.Prune(s, issued.Add(age+l.MaxSkew))             // by the clock that is ahead
		_, _, r := l.Apply(pruned, second, issued.Add(age))         // by the one that is behind
		is.True(r.Verdict != claim.Granted)                         // the repeat is never granted
		is.True(r.Fault() == nil || r.Fault().Run != fault.RunNo)   // nor called "not run"
		is.True(age < l.Retention || r.Verdict == claim.KeyExpired) // it is refused for its age
		is.True(len(pruned.Entries) == 1 || age >= l.Retention)     // and kept until then
		is.True(age < l.Retention*3/2 || len(pruned.Entries) == 0)  // the entry does go
		is.True(len(pruned.Tombstones) == 0)                        // and leaves nothing behind
	}
}

// A shard that grows over the store's megabyte could not be written any more: every key in it would stay
// unknown. It refuses new keys instead, and drops the bodies of outcomes that don't fit.
func TestShardStaysUnderItsBound(t *testing.T) {
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

func TestLargeAnswerIsNotReplayedInPart(t *testing.T) {
	is := is.New(t)
	big := op(claim.Record, "t1")
	big.Outcome.Body = make([]byte, claim.DefaultLimits().MaxBody+1)
	_, _, r := claim.DefaultLimits().Apply(shardOf(op(claim.Claim, "t1"), big), op(claim.Claim, "t2"), now)
	is.Equal(r.Verdict, claim.Replay)
	is.Equal(r.Fault().Run, fault.RunYes) // an explicit error instead of a short body
}

// One row for each point at which a write, its answer or the store can be lost between a claim and its
// dispatch, with what the caller may be told.
func TestLossesBetweenClaimAndDispatch(t *testing.T) {
	rows := []struct {
		name     string
		written  claim.WriteOutcome
		landed   bool // the write took effect
		readBack bool // the store answers the read that settles it
		verdict  claim.Verdict
	}{
		{"answer arrives", claim.WriteApplied, true, true, claim.Granted},
		{"answer lost after effect", claim.WriteUnknown, true, true, claim.Granted},
		{"write lost", claim.WriteUnknown, false, true, claim.Granted}, // written again
		{"answer lost, then the store", claim.WriteUnknown, true, false, claim.Unavailable},
		{"store down", claim.WriteNotSent, false, false, claim.Unavailable},
		{"conflict", claim.WriteConflict, false, true, claim.Granted},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			c := claim.NewCommitter(claim.DefaultLimits())
			id, e := c.Submit(op(claim.Claim, "t1"), at(0), now)
			is.True(e.Read)
			e = c.OnRead(claim.Shard{}, 0, true, at(1), now)
			is.True(e.Put != nil)
			is.Equal(len(e.Responses), 0) // nothing is granted before the write is known to have taken effect
			stored, version := claim.Shard{}, uint64(1)
			if row.landed {
				stored, version = e.Put.Shard, 2
			}
			e = c.OnWrite(row.written, 2, at(2), now)
			answers := e.Responses
			for step := time.Second; len(answers) == 0; step += time.Second {
				e = next(c, e, stored, version, row.readBack, at(step))
				answers = e.Responses
			}
			is.Equal(answers, []claim.Response{{ID: id, Result: claim.Result{Verdict: row.verdict}}})
		})
	}
}

// next carries one effect out against a store that holds s at version.
func next(c *claim.Committer, e claim.Effects, s claim.Shard, version uint64, up bool, t decide.Instant) claim.Effects {
	switch {
	case e.Read:
		return c.OnRead(s, version, up, t, now)
	case e.Put != nil:
		return c.OnWrite(claim.WriteApplied, version+1, t, now)
	default:
		return c.Tick(t, now)
	}
}

// While the store is down each keyed request is refused at once, and the first after the pause tries it.
func TestStoreDownRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	c := claim.NewCommitter(claim.DefaultLimits())
	_, e := c.Submit(op(claim.Claim, "t1"), at(0), now)
	is.True(e.Read)
	e = c.OnRead(claim.Shard{}, 0, false, at(time.Millisecond), now)
	is.Equal(e.Responses[0].Result.Verdict, claim.Unavailable)
	f := e.Responses[0].Result.Fault()
	is.Equal(f.Run, fault.RunNo)
	is.True(f.Wait() > 0)
	_, e = c.Submit(op(claim.Claim, "t2"), at(2*time.Millisecond), now)
	is.Equal(e.Responses[0].Result.Verdict, claim.Unavailable)
	is.True(!e.Read)
	_, e = c.Submit(op(claim.Claim, "t3"), at(time.Second), now)
	is.True(e.Read)
}

// A client is told "not run" because the store's answer did not come, and its write lands a second later.
// The key would stand as running for ever although nothing was sent. The withdrawal clears it, and since
// it always writes, the late write's condition can't hold afterwards.
func TestGivenUpClaimIsWithdrawnAndItsLateWriteFails(t *testing.T) {
	is := is.New(t)
	c := claim.NewCommitter(claim.DefaultLimits())
	id, _ := c.Submit(op(claim.Claim, "t1"), at(0), now)
	e := c.OnRead(claim.Shard{}, 7, true, at(1), now)
	late := *e.Put
	e = c.Cancel(id, at(2), now)
	is.Equal(e.Responses[0].Result.Verdict, claim.Unavailable)
	e = c.OnWrite(claim.WriteUnknown, 0, at(3), now)
	e = c.Tick(e.Wake, now)
	is.True(e.Read)
	e = c.OnRead(claim.Shard{}, 7, true, at(time.Second), now)
	is.True(e.Put != nil)                     // a write although the claim is not there
	is.Equal(e.Put.IfVersion, late.IfVersion) // of which only one can take effect
	is.Equal(len(e.Put.Shard.Entries), 0)
	c.OnWrite(claim.WriteApplied, 8, at(2*time.Second), now)
	is.True(c.Idle())
}
