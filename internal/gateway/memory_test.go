package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// delayedMemory simulates the memory of engines. Calls may get no answer and may be processed late, in virtual time.
type delayedMemory struct {
	mu     sync.Mutex
	held   map[string]time.Time // guarded by mu: when each reservation expires
	faults func() callFault     // drawn for each call
}

// callFault is the fault that one call meets.
type callFault struct {
	lost       bool          // never processed
	answerLost bool          // processed, but its answer is lost
	delay      time.Duration // processed that much later
	refused    bool
}

var errNoAnswer = errors.New("no answer")

// call applies do unless the call is refused or lost, with the delay that its fault states.
func (l *delayedMemory) call(ctx context.Context, do func()) error {
	f := l.faults()
	if f.refused {
		return ErrNoMemory
	}
	if !f.lost {
		time.AfterFunc(f.delay, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			do()
		})
	}
	if f.lost || f.answerLost || f.delay > 0 {
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
		return errNoAnswer
	}
	return nil
}

// Reserve implements Memory.
func (l *delayedMemory) Reserve(ctx context.Context, u *catalog.Upstream, ticket string, _ int, hold time.Duration) error {
	return l.call(ctx, func() { l.held[string(u.ID)+ticket] = time.Now().Add(hold) })
}

// Release implements Memory.
func (l *delayedMemory) Release(ctx context.Context, u *catalog.Upstream, ticket string) error {
	return l.call(ctx, func() { delete(l.held, string(u.ID)+ticket) })
}

// countHeld returns the number of reservations that have not expired.
func (l *delayedMemory) countHeld() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, ends := range l.held {
		if time.Now().Before(ends) {
			n++
		}
	}
	return n
}

// Guards against engine memory that stays reserved without a request and leaves prompts without memory. This happens
// when calls get no answer, when engines process them seconds later, after the release, or when only some of the
// reservations succeed. No reservation is left four seconds after the last call was processed.
func TestReservationsAlwaysEnd(t *testing.T) {
	const maxDelay = 12 * time.Second // longest delay of a call
	rapid.Check(t, func(r *rapid.T) {
		faultDraws := rapid.SliceOfN(rapid.IntRange(0, 9), 64, 64).Draw(r, "faults")
		requestTime := time.Duration(rapid.IntRange(0, 9000).Draw(r, "request lasts ms")) * time.Millisecond
		engines := rapid.IntRange(1, 4).Draw(r, "engines")
		synctest.Test(t, func(t *testing.T) {
			var next int
			m := &delayedMemory{held: map[string]time.Time{}}
			m.faults = func() callFault {
				m.mu.Lock()
				defer m.mu.Unlock()
				next++
				switch faultDraws[next%len(faultDraws)] {
				case 0:
					return callFault{lost: true}
				case 1:
					return callFault{answerLost: true}
				case 2:
					return callFault{delay: time.Duration(1+next%12) * time.Second}
				case 3:
					return callFault{refused: next%3 == 0}
				default:
					return callFault{}
				}
			}
			var items []Reservation
			for i := range engines {
				items = append(items, Reservation{Upstream: &catalog.Upstream{ID: fleet.UpstreamID(fmt.Sprint("e", i))}, Tokens: 1000})
			}
			set, err := reserveAll(context.Background(), m, "t", items, func(string, Reservation, error) {})
			if err == nil {
				time.Sleep(requestTime)
				set.release()
			}
			time.Sleep(maxDelay + 4*time.Second)
			synctest.Wait()
			if n := m.countHeld(); n != 0 {
				t.Fatalf("%d reservations are still held", n)
			}
		})
	})
}

// Guards against engines without memory for the next prompt after the previous one ended. Its reservations are
// released, not left to expire seconds later.
func TestReleasedMemoryIsFreeAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &delayedMemory{held: map[string]time.Time{}, faults: func() callFault { return callFault{} }}
		items := []Reservation{{Upstream: &catalog.Upstream{ID: "e0"}, Tokens: 1000}, {Upstream: &catalog.Upstream{ID: "e1"}, Tokens: 1000}}
		set, err := reserveAll(context.Background(), m, "t", items, func(string, Reservation, error) {})
		if err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		before := m.countHeld()
		set.release()
		time.Sleep(callRetryInterval)
		synctest.Wait()
		if n := m.countHeld(); n != 0 {
			t.Fatalf("%d reservations of %d are still held", n, before)
		}
		if before != len(items) {
			t.Fatalf("%d reservations were held, want %d", before, len(items))
		}
	})
}
