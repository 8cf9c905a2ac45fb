package watch

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// Guards against a request that is sent to an upstream that left seconds ago: the machine was frozen meanwhile, and the
// process resumes with its old state before it can receive the change.
func TestStateIsUntrustedAfterAPause(t *testing.T) {
	is := is.New(t)
	f := New(Deps{Kinds: Kinds{Config: "c", Upstreams: "u", DomainsOut: "o"}, Log: hclog.NewNullLogger()})
	f.ApplyChange(Change{Kind: "u", Full: true, To: 5})
	f.ApplyProof(Proof{Kind: "u", Known: true, Revision: 5, LastChange: 5})
	is.True(!f.Untrusted())
	f.pauses.guard.Tick(bootTime().Add(-3 * time.Second)) // the last tick was three seconds ago
	is.True(f.Untrusted())                                // checked before any tick runs
	f.pauses.tick()
	is.True(f.Untrusted()) // after the tick
	f.ApplyProof(Proof{Kind: "u", Known: true, Revision: 6, LastChange: 5, Age: time.Second})
	is.True(f.Untrusted()) // the proof is older than the end of the pause
	time.Sleep(2 * time.Millisecond)
	f.ApplyProof(Proof{Kind: "u", Known: true, Revision: 7, LastChange: 5})
	is.True(!f.Untrusted())
}

// While the store is unavailable there is no proof, and the last known state is the best available. The state must be
// trusted again after proofTimeout.
func TestUntrustedEndsWithoutProof(t *testing.T) {
	is := is.New(t)
	f := New(Deps{Kinds: Kinds{Config: "c", Upstreams: "u", DomainsOut: "o"}, Log: hclog.NewNullLogger()})
	f.ApplyChange(Change{Kind: "u", Full: true, To: 5})
	f.pauses.resumedAt.Store(int64(bootTime().Add(-proofTimeout - time.Millisecond)))
	is.True(!f.Untrusted())
	f.pauses.resumedAt.Store(int64(bootTime() - decide.Instant(time.Millisecond)))
	is.True(f.Untrusted())
}

// Guards against a receiver that refuses all requests for seconds after a pause, because the readers' next proof may
// take as long as the wait of their watches. It must read each kind from the store once, and no more.
func TestReceiverReadsEachKindOnceAfterAPause(t *testing.T) {
	is := is.New(t)
	store := newCountingStore()
	f := New(Deps{
		Store: instanceStore{store, 0}, Kinds: Kinds{Config: "c", Upstreams: "u", DomainsOut: "o"}, Decoder: emptyDecoder{}, Log: hclog.NewNullLogger(),
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
	time.Sleep(2 * expiryInterval)
	f.pauses.guard.Tick(bootTime().Add(-3 * time.Second))
	is.True(f.Untrusted())
	for end := time.Now().Add(time.Second); f.Untrusted() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.True(!f.Untrusted())
	time.Sleep(2 * readSpacing)
	store.mu.Lock()
	is.Equal(store.calls, 3)
	store.mu.Unlock()
	cancel()
	<-done
}
