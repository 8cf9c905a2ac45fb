package claim_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	shell "github.com/damaskshelf/damaskshelf/internal/claim"
	"github.com/damaskshelf/damaskshelf/internal/decide/claim"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/memory"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// errAnswerLost is the error of a write whose answer is lost.
var errAnswerLost = errors.New("answer lost")

// faultyStore is an object store with faults that a test switches on.
type faultyStore struct {
	objects.Store
	loseAnswers atomic.Int32 // number of writes to apply and answer with errAnswerLost
	dropWrites  atomic.Int32 // number of writes to drop and answer with errAnswerLost
	unavailable atomic.Bool
	hanging     atomic.Bool
	writes      atomic.Int32
}

// blocked returns the error of a call while the store is unavailable or hanging, and nil otherwise.
func (s *faultyStore) blocked(ctx context.Context) error {
	if s.unavailable.Load() {
		return objects.ErrUnavailable
	}
	if s.hanging.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// Get reads an object unless the store is unavailable or hanging.
func (s *faultyStore) Get(ctx context.Context, key objects.Key) (o wire.Object, err error) {
	if err := s.blocked(ctx); err != nil {
		return o, err
	}
	return s.Store.Get(ctx, key)
}

// Put writes an object unless the store is unavailable, hanging or drops the write. The answer may be lost.
func (s *faultyStore) Put(ctx context.Context, w objects.Write) (uint64, error) {
	if err := s.blocked(ctx); err != nil {
		return 0, err
	}
	s.writes.Add(1)
	if s.dropWrites.Add(-1) >= 0 {
		return 0, errAnswerLost
	}
	v, err := s.Store.Put(ctx, w)
	if err == nil && s.loseAnswers.Add(-1) >= 0 {
		return 0, errAnswerLost
	}
	return v, err
}

// newKeeper returns a Keeper with short delays, which is closed at the end of the test.
func newKeeper(t *testing.T, store objects.Store, name string) *shell.Keeper {
	t.Helper()
	now, wall := shell.Clocks()
	limits := claim.DefaultLimits()
	limits.WriteInterval, limits.Linger, limits.RetryDelay = time.Millisecond, 2*time.Millisecond, 5*time.Millisecond
	k := shell.New(store, shell.Config{
		Limits: limits, Incarnation: name, CallTimeout: 50 * time.Millisecond, Now: now, Wall: wall,
	}, hclog.NewNullLogger())
	t.Cleanup(k.Close)
	return k
}

// request returns a request with the given key and a minute until its deadline.
func request(key string) shell.Request {
	return shell.Request{Workspace: "ice", Key: key, Fingerprint: "f", Deadline: time.Now().Add(time.Minute)}
}

// flush waits until the store has all outcomes and withdrawals of k, and fails the test if that takes too long.
func flush(t *testing.T, k *shell.Keeper) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	if err := k.Flush(ctx); err != nil {
		t.Fatal(err)
	}
}

// The answer to a booking is lost and the client repeats it through another instance. The repeat gets the recorded
// outcome byte for byte, and nothing is booked again.
func TestRepeatThroughAnotherInstanceReplaysOutcome(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	a, b := newKeeper(t, store, "a"), newKeeper(t, store, "b")
	grant, r := a.Claim(t.Context(), request("k"))
	is.Equal(r.Verdict, claim.Granted)
	_, r = b.Claim(t.Context(), request("k"))
	is.Equal(r.Verdict, claim.InProgress)
	outcome := claim.Outcome{Run: fault.RunYes, Status: 201, ContentType: "application/json", Body: []byte(`{"hut":7}`)}
	grant.Record(outcome)
	flush(t, a)
	_, r = b.Claim(t.Context(), request("k"))
	is.Equal(r.Verdict, claim.Replay)
	is.Equal(r.Outcome, outcome)
	other := request("k")
	other.Fingerprint = "g"
	_, r = b.Claim(t.Context(), other)
	is.Equal(r.Fault().Kind, fault.KeyReused)
}

// Two instances receive many concurrent repeats of a few keys while answers and writes of the store are lost. Each key
// is granted once; every other attempt ends as in progress or with the recorded outcome.
func TestKeyGrantedOnceUnderLossAndConcurrency(t *testing.T) {
	is := is.New(t)
	store := &faultyStore{Store: memory.New()}
	store.loseAnswers.Store(7)
	store.dropWrites.Store(5)
	keepers := []*shell.Keeper{newKeeper(t, store, "a"), newKeeper(t, store, "b")}
	const keys, repeats = 20, 6
	var granted [keys]atomic.Int32
	var wg sync.WaitGroup
	for i := range keys * repeats {
		wg.Go(func() {
			key := i % keys
			grant, r := keepers[i/keys%2].Claim(t.Context(), request(fmt.Sprint("k", key)))
			switch r.Verdict {
			case claim.Granted:
				granted[key].Add(1)
				grant.Record(claim.Outcome{Run: fault.RunYes, Status: 200, Body: []byte(fmt.Sprint(key))})
			case claim.Replay:
				if string(r.Outcome.Body) != fmt.Sprint(key) {
					t.Errorf("key %d replayed %q", key, r.Outcome.Body)
				}
			case claim.InProgress:
			default:
				t.Errorf("key %d: %s", key, r.Verdict.Reason())
			}
		})
	}
	wg.Wait()
	for i := range granted {
		is.Equal(granted[i].Load(), int32(1))
	}
}

// The store hangs or refuses calls. A keyed request is refused as not run, with a delay before a retry. Once the store
// is available again, the key can be claimed.
func TestStoreOutageRefusesAsNotRun(t *testing.T) {
	for _, failure := range []string{"hangs", "refuses"} {
		t.Run(failure, func(t *testing.T) {
			is := is.New(t)
			store := &faultyStore{Store: memory.New()}
			store.hanging.Store(failure == "hangs")
			store.unavailable.Store(failure == "refuses")
			k := newKeeper(t, store, "a")
			_, r := k.Claim(t.Context(), request("k"))
			f := r.Fault()
			is.Equal(f.Kind, fault.StoreUnavailable)
			is.Equal(f.Run, fault.RunNo)
			is.True(f.RetryDelay() > 0)
			store.hanging.Store(false)
			store.unavailable.Store(false)
			flush(t, k) // until the refused claim is withdrawn
			_, r = k.Claim(t.Context(), request("k"))
			is.Equal(r.Verdict, claim.Granted)
		})
	}
}

// The store becomes unavailable while a booking runs. The outcome is written once the store is available again.
func TestOutcomeRecordedAfterOutage(t *testing.T) {
	is := is.New(t)
	store := &faultyStore{Store: memory.New()}
	a, b := newKeeper(t, store, "a"), newKeeper(t, store, "b")
	grant, _ := a.Claim(t.Context(), request("k"))
	store.unavailable.Store(true)
	grant.Record(claim.Outcome{Run: fault.RunYes, Status: 201})
	time.Sleep(20 * time.Millisecond) // time for several failed attempts; their number does not matter
	store.unavailable.Store(false)
	flush(t, a)
	_, r := b.Claim(t.Context(), request("k"))
	is.Equal(r.Verdict, claim.Replay)
}

// The deadline passes while the store hangs on the write of the claim, which takes effect later. The request was
// refused as not run, so the key must become free.
func TestCanceledClaimFreesKey(t *testing.T) {
	is := is.New(t)
	store := &faultyStore{Store: memory.New()}
	k := newKeeper(t, store, "a")
	_, r := k.Claim(t.Context(), request("warm")) // may load the copy of the shard beforehand
	is.Equal(r.Verdict, claim.Granted)
	store.loseAnswers.Store(1)
	store.hanging.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, r = k.Claim(ctx, request("k"))
	is.Equal(r.Verdict, claim.Unavailable)
	store.hanging.Store(false)
	flush(t, k)
	_, r = newKeeper(t, store, "b").Claim(t.Context(), request("k"))
	is.Equal(r.Verdict, claim.Granted)
}

// A process is paused between claim and dispatch and resumes after the deadline, before its timers have fired. The
// clock shows that the deadline has passed: nothing is dispatched, and the key becomes free.
func TestGrantAfterDeadlineIsWithdrawn(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	k := newKeeper(t, store, "a")
	late := request("k")
	late.Deadline = time.Now().Add(-time.Millisecond)
	grant, r := k.Claim(t.Context(), late)
	is.True(grant == nil)
	is.Equal(r.Verdict, claim.Unavailable)
	flush(t, k)
	_, r = newKeeper(t, store, "b").Claim(t.Context(), request("k"))
	is.Equal(r.Verdict, claim.Granted)
}

// After a planned stop the closed Keeper refuses requests as not run.
func TestClosedKeeperRefusesAsNotRun(t *testing.T) {
	is := is.New(t)
	k := newKeeper(t, memory.New(), "a")
	k.Close()
	_, r := k.Claim(t.Context(), request("k"))
	is.Equal(r.Fault().Run, fault.RunNo)
}

// Shards of keys with an issue time are deleted once every instance refuses those keys, and not earlier: a repeat that
// finds no shard would run again.
func TestSweepDeletesOnlyExpiredShards(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	limits := claim.DefaultLimits()
	issued, _ := claim.IssueTime(timedKey)
	wall := issued
	now, _ := shell.Clocks()
	k := shell.New(store, shell.Config{
		Limits: limits, Incarnation: "a", Now: now, Wall: func() claim.WallTime { return wall },
	}, hclog.NewNullLogger())
	defer k.Close()
	_, r := k.Claim(t.Context(), request(timedKey))
	is.Equal(r.Verdict, claim.Granted)
	name := claim.Place(claim.FullKey("ice", timedKey))
	s := shell.NewSweeper(k, func(shard string) bool { return shard == name })
	for age := time.Duration(0); age < limits.Retention+time.Hour; age += 10 * time.Minute {
		wall = issued.Add(age)
		deleted, err := s.Sweep(t.Context())
		is.NoErr(err)
		wall = wall.Add(-limits.MaxSkew) // an instance whose clock is behind
		_, r = k.Claim(t.Context(), request(timedKey))
		is.True(r.Verdict == claim.InProgress || r.Verdict == claim.Orphaned || r.Verdict == claim.KeyExpired)
		is.True(deleted == 0 || r.Verdict == claim.KeyExpired)
	}
	_, err := store.Get(t.Context(), objects.Key{Kind: claim.ObjectKind, Name: name})
	is.Equal(err, objects.ErrNotFound) // the shard was deleted in the end
}

// timedKey is an idempotency key that carries its issue time.
const timedKey = "01890a5d-ac96-774b-bcce-b302099a8057"

// An instance confirms a booking and dies at once. If the outcome were only in its memory, repeats through another
// instance would get "unknown" for good. RecordWithin waits for the store before the confirmation.
func TestRecordWithinSurvivesInstance(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	a, b := newKeeper(t, store, "a"), newKeeper(t, store, "b")
	grant, _ := a.Claim(t.Context(), request("k"))
	outcome := claim.Outcome{Run: fault.RunYes, Status: 201, Body: []byte(`{"hut":7}`)}
	is.True(grant.RecordWithin(outcome, 30*time.Second))
	a.Close() // nothing is flushed
	_, r := b.Claim(t.Context(), request("k"))
	is.Equal(r.Verdict, claim.Replay)
	is.Equal(r.Outcome.Body, outcome.Body)
}

// The store becomes unavailable while a booking runs. RecordWithin delays the caller no longer than its timeout, and the
// outcome is written once the store is available again.
func TestRecordWithinBoundsWaitDuringOutage(t *testing.T) {
	is := is.New(t)
	store := &faultyStore{Store: memory.New()}
	a, b := newKeeper(t, store, "a"), newKeeper(t, store, "b")
	grant, _ := a.Claim(t.Context(), request("k"))
	store.unavailable.Store(true)
	is.True(!grant.RecordWithin(claim.Outcome{Run: fault.RunYes, Status: 201}, 10*time.Millisecond))
	store.unavailable.Store(false)
	flush(t, a)
	_, r := b.Claim(t.Context(), request("k"))
	is.Equal(r.Verdict, claim.Replay)
}
