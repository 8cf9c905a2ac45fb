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
	f := New(Deps{Kinds: Kinds{Config: "c", Upstreams: "u", DomainsOut: "o"}, Log: hclog.NewNullLogger()})
	f.ApplyChange(Change{Kind: "u", Full: true, To: 5})
	f.ApplyProof(Proof{Kind: "u", Known: true, Revision: 5, LastChange: 5})
	is.True(!f.Untrusted())
	f.doubt.guard.Tick(bootTime().Add(-3 * time.Second)) // the last tick was three seconds ago
	is.True(f.Untrusted())                               // asked before any tick has run
	f.doubt.notice()
	is.True(f.Untrusted()) // and after it
	f.ApplyProof(Proof{Kind: "u", Known: true, Revision: 6, LastChange: 5, Age: time.Second})
	is.True(f.Untrusted()) // the proof is older than the wake-up
	time.Sleep(2 * time.Millisecond)
	f.ApplyProof(Proof{Kind: "u", Known: true, Revision: 7, LastChange: 5})
	is.True(!f.Untrusted())
}

// With the store away no proof comes, and the last known state is the best there is: doubt ends.
func TestDoubtEnds(t *testing.T) {
	is := is.New(t)
	f := New(Deps{Kinds: Kinds{Config: "c", Upstreams: "u", DomainsOut: "o"}, Log: hclog.NewNullLogger()})
	f.ApplyChange(Change{Kind: "u", Full: true, To: 5})
	f.doubt.since.Store(int64(bootTime().Add(-doubtTime - time.Millisecond)))
	is.True(!f.Untrusted())
	f.doubt.since.Store(int64(bootTime() - decide.Instant(time.Millisecond)))
	is.True(f.Untrusted())
}

// An instance that is told by others refuses everything for seconds after a pause: their next proof is as far away as a
// reader's wait. It asks the store once for each kind, and not again.
func TestAToldInstanceProvesWhatItKnowsAfterAPause(t *testing.T) {
	is := is.New(t)
	store := newCalledStore()
	f := New(Deps{
		Store: seenBy{store, 0}, Kinds: Kinds{Config: "c", Upstreams: "u", DomainsOut: "o"}, Decoder: emptyDecoder{}, Log: hclog.NewNullLogger(),
	})
	f.ShareReads(func(Change, bool) {})
	f.SetRole(Receiver)
	for _, kind := range []string{"c", "u", "o", KindMembers} {
		f.ApplyChange(Change{Kind: kind, Full: true, To: 5})
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(done)
	}()
	time.Sleep(2 * expiry)
	f.doubt.guard.Tick(bootTime().Add(-3 * time.Second))
	is.True(f.Untrusted())
	for end := time.Now().Add(time.Second); f.Untrusted() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.True(!f.Untrusted())
	time.Sleep(2 * spacing)
	store.mu.Lock()
	is.Equal(store.calls, 3)
	store.mu.Unlock()
	cancel()
	<-done
}
