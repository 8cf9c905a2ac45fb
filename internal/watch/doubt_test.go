package watch

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// A request goes to an upstream that left seconds ago. The machine was frozen meanwhile; the process woke up
// and went on by what it knew, before anybody could tell it the news.
func TestAPausedProcessDoubtsWhatItKnows(t *testing.T) {
	is := is.New(t)
	f := New(Deps{Kinds: Kinds{Config: "c", Upstreams: "u", Out: "o"}, Log: hclog.NewNullLogger()})
	f.Offer(Change{Kind: "u", Whole: true, To: 5})
	f.Prove(Proof{Kind: "u", Known: true, Revision: 5, Latest: 5})
	is.True(!f.Doubtful())
	f.doubt.guard.Tick(bootTime().Add(-3 * time.Second)) // the last tick was three seconds ago
	is.True(f.Doubtful())                                // asked before any tick has run
	f.doubt.notice()
	is.True(f.Doubtful()) // and after it
	f.Prove(Proof{Kind: "u", Known: true, Revision: 6, Latest: 5, Age: time.Second})
	is.True(f.Doubtful()) // the proof is older than the wake-up
	time.Sleep(2 * time.Millisecond)
	f.Prove(Proof{Kind: "u", Known: true, Revision: 7, Latest: 5})
	is.True(!f.Doubtful())
}

// With the store away no proof comes, and the last known state is the best there is: doubt ends.
func TestDoubtEnds(t *testing.T) {
	is := is.New(t)
	f := New(Deps{Kinds: Kinds{Config: "c", Upstreams: "u", Out: "o"}, Log: hclog.NewNullLogger()})
	f.Offer(Change{Kind: "u", Whole: true, To: 5})
	f.doubt.since.Store(int64(bootTime().Add(-doubtTime - time.Millisecond)))
	is.True(!f.Doubtful())
	f.doubt.since.Store(int64(bootTime() - decide.Instant(time.Millisecond)))
	is.True(f.Doubtful())
}

// An instance that is told by others refuses everything for seconds after a pause: their next proof is as far away as a
// reader's wait. It asks the store once for each kind, and not again.
func TestAToldInstanceProvesWhatItKnowsAfterAPause(t *testing.T) {
	is := is.New(t)
	store := newCalledStore()
	f := New(Deps{
		Store: seenBy{store, 0}, Kinds: Kinds{Config: "c", Upstreams: "u", Out: "o"}, Decoder: emptyDecoder{}, Log: hclog.NewNullLogger(),
	})
	f.Share(func(Change, bool) {})
	f.SetRole(Told)
	for _, kind := range []string{"c", "u", "o", KindMembers} {
		f.Offer(Change{Kind: kind, Whole: true, To: 5})
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(done)
	}()
	time.Sleep(2 * expiry)
	f.doubt.guard.Tick(bootTime().Add(-3 * time.Second))
	is.True(f.Doubtful())
	for end := time.Now().Add(time.Second); f.Doubtful() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.True(!f.Doubtful())
	time.Sleep(2 * spacing)
	store.mu.Lock()
	is.Equal(store.calls, 3)
	store.mu.Unlock()
	cancel()
	<-done
}
