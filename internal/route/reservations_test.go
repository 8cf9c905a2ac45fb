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

// fakeMemory holds the reservations of all engines, by address and id.
type fakeMemory struct {
	mu                sync.Mutex
	reservations      map[string]map[string]wire.Reservation // guarded by mu
	refuse            bool                                   // guarded by mu
	reserveCalls      int                                    // guarded by mu: calls of Reserve
	loseReserveAnswer bool                                   // guarded by mu: Reserve succeeds, but its answer is lost
}

// Reserve implements Memory.
func (f *fakeMemory) Reserve(_ context.Context, addr string, r wire.Reservation) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reserveCalls++
	if f.refuse {
		return &upstream.CallError{Sent: true, NotStarted: true, Status: 503, Cause: errors.New("no memory")}
	}
	if f.reservations[addr] == nil {
		f.reservations[addr] = map[string]wire.Reservation{}
	}
	f.reservations[addr][r.ID] = r
	if f.loseReserveAnswer {
		return &upstream.CallError{Sent: true, Cause: errors.New("reset")}
	}
	return nil
}

// Release implements Memory.
func (f *fakeMemory) Release(_ context.Context, addr, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.reservations[addr], id)
	return nil
}

// update calls change with the mutex held.
func (f *fakeMemory) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// count returns the number of reservations on all engines.
func (f *fakeMemory) count() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.reservations {
		n += len(h)
	}
	return n
}

func TestLongPromptReservesMemoryUntilRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestbench(6, nil)
		g, err := b.Acquire(t.Context(), b.request(200_000, 5*time.Minute))
		is.NoErr(err)
		is.True(g.Reservation != "")
		is.Equal(g.Group, "")
		is.Equal(g.Priority, -3)
		is.Equal(b.memory.reservations[g.Upstream.Addr][g.Reservation].Tokens, int64(200_100))
		g.Release(Cancelled) // every outcome releases the memory
		synctest.Wait()
		is.Equal(b.memory.count(), 0)

		time.Sleep(500 * time.Millisecond)
		b.report(0, 0)
		g, err = b.Acquire(t.Context(), b.request(900_000, 5*time.Minute))
		is.NoErr(err)
		members := strings.Split(g.Group, ",")
		is.Equal(b.memory.count(), len(members)+1)
		for _, member := range members {
			id, addr, _ := strings.Cut(member, "@")
			is.True(b.memory.reservations[addr][id].Tokens > 0)
			is.True(addr != g.Upstream.Addr)
		}
		g.Release(OK)
		is.NoErr(b.AwaitReleases(t.Context()))
		is.Equal(b.memory.count(), 0)
	})
}

func TestLongPromptQueuesWhileEnginesRefuseReservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestbench(6, nil)
		b.memory.update(func() { b.memory.refuse = true })
		var background sync.WaitGroup
		background.Go(func() {
			for range 50 { // load reports that show free memory
				time.Sleep(200 * time.Millisecond)
				b.report(0, 0)
			}
		})
		background.Go(func() {
			time.Sleep(5 * time.Second)
			b.memory.update(func() { b.memory.refuse = false })
		})
		started := time.Now()
		g, err := b.Acquire(t.Context(), b.request(200_000, 5*time.Minute))
		is.NoErr(err)
		is.True(time.Since(started) >= 5*time.Second)
		g.Release(OK)
		background.Wait()
		is.NoErr(b.AwaitReleases(t.Context()))
		is.Equal(b.memory.count(), 0)
	})
}

// Guards against an engine's memory that stays reserved after the caller has disconnected. This happens if the answer
// to a successful reservation is lost and the lost answer is treated as if nothing had been reserved.
func TestLostReserveAnswerLeavesNoReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestbench(6, nil)
		b.memory.update(func() { b.memory.loseReserveAnswer = true })
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := b.Acquire(ctx, b.request(200_000, 5*time.Minute))
		is.True(err != nil)
		is.Equal(fault.From(err).Run, fault.RunNo)
		is.NoErr(b.AwaitReleases(t.Context()))
		is.Equal(b.memory.count(), 0)
	})
}
