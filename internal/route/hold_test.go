package route

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// fakeMemory is the engines' reservations: by address, then id.
type fakeMemory struct {
	mu      sync.Mutex
	held    map[string]map[string]wire.Reservation // guarded by mu
	refuse  bool                                   // guarded by mu
	asked   int                                    // guarded by mu: reservations that were asked for
	loseAsk bool                                   // guarded by mu: the reservation stands, its answer is lost
}

func (f *fakeMemory) Reserve(_ context.Context, addr string, r wire.Reservation) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	if f.refuse {
		return &upstream.CallError{Sent: true, NotStarted: true, Status: 503, Cause: errors.New("no memory")}
	}
	if f.held[addr] == nil {
		f.held[addr] = map[string]wire.Reservation{}
	}
	f.held[addr][r.ID] = r
	if f.loseAsk {
		return &upstream.CallError{Sent: true, Cause: errors.New("reset")}
	}
	return nil
}

func (f *fakeMemory) Release(_ context.Context, addr, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.held[addr], id)
	return nil
}

func (f *fakeMemory) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeMemory) total() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.held {
		n += len(h)
	}
	return n
}

func TestLongPromptHoldsMemoryUntilItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(6, nil)
		g, err := b.Acquire(t.Context(), b.request(200_000, 5*time.Minute))
		is.NoErr(err)
		is.True(g.Reservation != "")
		is.Equal(g.Group, "")
		is.Equal(g.Priority, -3)
		is.Equal(b.memory.held[g.Upstream.Addr][g.Reservation].Tokens, int64(200_100))
		g.Release(Cancelled) // every end frees it at once
		synctest.Wait()
		is.Equal(b.memory.total(), 0)

		time.Sleep(500 * time.Millisecond)
		b.report(0, 0)
		g, err = b.Acquire(t.Context(), b.request(900_000, 5*time.Minute))
		is.NoErr(err)
		members := strings.Split(g.Group, ",")
		is.Equal(b.memory.total(), len(members)+1)
		for _, member := range members {
			id, addr, _ := strings.Cut(member, "@")
			is.True(b.memory.held[addr][id].Tokens > 0)
			is.True(addr != g.Upstream.Addr)
		}
		g.Release(OK)
		is.NoErr(b.AwaitReleases(t.Context()))
		is.Equal(b.memory.total(), 0)
	})
}

func TestLongPromptWaitsWhileEnginesRefuseItsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(6, nil)
		b.memory.set(func() { b.memory.refuse = true })
		var others sync.WaitGroup
		others.Go(func() {
			for range 50 { // reports that don't show what refuses
				time.Sleep(200 * time.Millisecond)
				b.report(0, 0)
			}
		})
		others.Go(func() {
			time.Sleep(5 * time.Second)
			b.memory.set(func() { b.memory.refuse = false })
		})
		started := time.Now()
		g, err := b.Acquire(t.Context(), b.request(200_000, 5*time.Minute))
		is.NoErr(err)
		is.True(time.Since(started) >= 5*time.Second)
		g.Release(OK)
		others.Wait()
		is.NoErr(b.AwaitReleases(t.Context()))
		is.Equal(b.memory.total(), 0)
	})
}

// A prompt whose caller is long gone keeps an engine's memory. Order: the reservation takes effect, its
// answer is lost, the caller leaves. Cause: no answer is taken for no reservation.
func TestLostAnswerToReserveLeavesNothingBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(6, nil)
		b.memory.set(func() { b.memory.loseAsk = true })
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := b.Acquire(ctx, b.request(200_000, 5*time.Minute))
		is.True(err != nil)
		is.Equal(fault.From(err).Run, fault.RunNo)
		is.NoErr(b.AwaitReleases(t.Context()))
		is.Equal(b.memory.total(), 0)
	})
}
