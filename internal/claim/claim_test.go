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

var errLost = errors.New("answer lost")

// faultyStore is the object API with faults that a test switches on.
type faultyStore struct {
	objects.Store
	loseAnswers atomic.Int32 // of so many writes that take effect
	loseWrites  atomic.Int32 // so many writes without effect
	down        atomic.Bool
	hang        atomic.Bool
	writes      atomic.Int32
}

func (s *faultyStore) blocked(ctx context.Context) error {
	if s.down.Load() {
		return objects.ErrUnavailable
	}
	if s.hang.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (s *faultyStore) Get(ctx context.Context, key objects.Key) (o wire.Object, err error) {
	if err := s.blocked(ctx); err != nil {
		return o, err
	}
	return s.Store.Get(ctx, key)
}

func (s *faultyStore) Put(ctx context.Context, w objects.Write) (uint64, error) {
	if err := s.blocked(ctx); err != nil {
		return 0, err
	}
	s.writes.Add(1)
	if s.loseWrites.Add(-1) >= 0 {
		return 0, errLost
	}
	v, err := s.Store.Put(ctx, w)
	if err == nil && s.loseAnswers.Add(-1) >= 0 {
		return 0, errLost
	}
	return v, err
}

func keeper(t *testing.T, store objects.Store, name string) *shell.Keeper {
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

func request(key string) shell.Request {
	return shell.Request{Workspace: "ice", Key: key, Fingerprint: "f", Deadline: time.Now().Add(time.Minute)}
}

func flush(t *testing.T, k *shell.Keeper) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	if err := k.Flush(ctx); err != nil {
		t.Fatal(err)
	}
}

// A guest's booking is sent to one entry, its answer is lost on the way, and the app repeats it through
// another entry. The repeat gets the recorded outcome, byte for byte, and nothing is booked again.
func TestRepeatThroughAnotherEntry(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	a, b := keeper(t, store, "a"), keeper(t, store, "b")
	held, r := a.Claim(t.Context(), request("k"))
	is.Equal(r.Verdict, claim.Granted)
	_, r = b.Claim(t.Context(), request("k"))
	is.Equal(r.Verdict, claim.InProgress)
	outcome := claim.Outcome{Run: fault.RunYes, Status: 201, ContentType: "application/json", Body: []byte(`{"hut":7}`)}
	held.Record(outcome)
	flush(t, a)
	_, r = b.Claim(t.Context(), request("k"))
	is.Equal(r.Verdict, claim.Replay)
	is.Equal(r.Outcome, outcome)
	other := request("k")
	other.Fingerprint = "g"
	_, r = b.Claim(t.Context(), other)
	is.Equal(r.Fault().Kind, fault.KeyReused)
}

// Many repeats of few keys through two entries at once, while answers and writes are lost: each key is
// granted once, and every other attempt ends as in progress or with the one outcome.
func TestOneGrantUnderLossAndConcurrency(t *testing.T) {
	is := is.New(t)
	store := &faultyStore{Store: memory.New()}
	store.loseAnswers.Store(7)
	store.loseWrites.Store(5)
	entries := []*shell.Keeper{keeper(t, store, "a"), keeper(t, store, "b")}
	const keys, repeats = 20, 6
	var granted [keys]atomic.Int32
	var wg sync.WaitGroup
	for i := range keys * repeats {
		wg.Go(func() {
			key := i % keys
			held, r := entries[i/keys%2].Claim(t.Context(), request(fmt.Sprint("k", key)))
			switch r.Verdict {
			case claim.Granted:
				granted[key].Add(1)
				held.Record(claim.Outcome{Run: fault.RunYes, Status: 200, Body: []byte(fmt.Sprint(key))})
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

// The store hangs. A keyed request is refused "not run" with a time to come back, and once the store is
// known to be down the next ones don't wait for it; when it is back, the key is free again.
func TestStoreOutage(t *testing.T) {
	for _, fails := range []string{"hangs", "refuses"} {
		t.Run(fails, func(t *testing.T) {
			is := is.New(t)
			store := &faultyStore{Store: memory.New()}
			store.hang.Store(fails == "hangs")
			store.down.Store(fails == "refuses")
			k := keeper(t, store, "a")
			_, r := k.Claim(t.Context(), request("k"))
			f := r.Fault()
			is.Equal(f.Kind, fault.StoreUnavailable)
			is.Equal(f.Run, fault.RunNo)
			is.True(f.RetryDelay() > 0)
			store.hang.Store(false)
			store.down.Store(false)
			flush(t, k) // the withdrawal of the refused claim
			_, r = k.Claim(t.Context(), request("k"))
			is.Equal(r.Verdict, claim.Granted)
		})
	}
}

// The store goes down while a booking runs at the service. Its outcome waits for the store and is kept.
func TestOutcomeOutlastsAnOutage(t *testing.T) {
	is := is.New(t)
	store := &faultyStore{Store: memory.New()}
	a, b := keeper(t, store, "a"), keeper(t, store, "b")
	held, _ := a.Claim(t.Context(), request("k"))
	store.down.Store(true)
	held.Record(claim.Outcome{Run: fault.RunYes, Status: 201})
	time.Sleep(20 * time.Millisecond) // several failed tries; more or fewer change nothing
	store.down.Store(false)
	flush(t, a)
	_, r := b.Claim(t.Context(), request("k"))
	is.Equal(r.Verdict, claim.Replay)
}

// The caller's time runs out while the store hangs with the claim's write, which takes effect later. The
// refusal said "not run", so the key must come free.
func TestGivenUpClaimComesFree(t *testing.T) {
	is := is.New(t)
	store := &faultyStore{Store: memory.New()}
	k := keeper(t, store, "a")
	_, r := k.Claim(t.Context(), request("warm")) // so that the shard's copy is loaded or not, as it may
	is.Equal(r.Verdict, claim.Granted)
	store.loseAnswers.Store(1)
	store.hang.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, r = k.Claim(ctx, request("k"))
	is.Equal(r.Verdict, claim.Unavailable)
	store.hang.Store(false)
	flush(t, k)
	_, r = keeper(t, store, "b").Claim(t.Context(), request("k"))
	is.Equal(r.Verdict, claim.Granted)
}

// An entry is paused between its claim and its dispatch and wakes after the deadline. Its timers have not
// run yet, but the clock has: nothing is dispatched, and the key comes free.
func TestGrantAfterTheDeadlineIsNotUsed(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	k := keeper(t, store, "a")
	late := request("k")
	late.Deadline = time.Now().Add(-time.Millisecond)
	held, r := k.Claim(t.Context(), late)
	is.True(held == nil)
	is.Equal(r.Verdict, claim.Unavailable)
	flush(t, k)
	_, r = keeper(t, store, "b").Claim(t.Context(), request("k"))
	is.Equal(r.Verdict, claim.Granted)
}

// A planned stop: outcomes are flushed, and a closed Keeper refuses as not run.
func TestClosedKeeperRefuses(t *testing.T) {
	is := is.New(t)
	k := keeper(t, memory.New(), "a")
	k.Close()
	_, r := k.Claim(t.Context(), request("k"))
	is.Equal(r.Fault().Run, fault.RunNo)
}

// Shards of keys that carry their time are deleted once every instance refuses those keys, and not before:
// a repeat that found no shard would run again.
func TestSweepTakesOnlyWhatIsRefused(t *testing.T) {
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
	is.Equal(err, objects.ErrNotFound) // it does go
}

const timedKey = "01890a5d-ac96-774b-bcce-b302099a8057"

// A guide is told that the booking is confirmed; the entry that said so dies at once. Asked again through
// another entry, the key was unknown for good: the outcome had waited in the dead entry's memory.
func TestConfirmedOutcomeOutlivesItsEntry(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	a, b := keeper(t, store, "a"), keeper(t, store, "b")
	held, _ := a.Claim(t.Context(), request("k"))
	outcome := claim.Outcome{Run: fault.RunYes, Status: 201, Body: []byte(`{"hut":7}`)}
	is.True(held.RecordWithin(outcome, 30*time.Second))
	a.Close() // nothing is flushed
	_, r := b.Claim(t.Context(), request("k"))
	is.Equal(r.Verdict, claim.Replay)
	is.Equal(r.Outcome.Body, outcome.Body)
}

// The object API goes down while a booking runs. Its guest waits no longer than the bound for the record, and
// the outcome is written when the store is back.
func TestOutageCostsAConfirmationTheBoundOnly(t *testing.T) {
	is := is.New(t)
	store := &faultyStore{Store: memory.New()}
	a, b := keeper(t, store, "a"), keeper(t, store, "b")
	held, _ := a.Claim(t.Context(), request("k"))
	store.down.Store(true)
	is.True(!held.RecordWithin(claim.Outcome{Run: fault.RunYes, Status: 201}, 10*time.Millisecond))
	store.down.Store(false)
	flush(t, a)
	_, r := b.Claim(t.Context(), request("k"))
	is.Equal(r.Verdict, claim.Replay)
}
