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

// lateMemory is engines' memory whose orders may go unanswered and be carried out late, in virtual time.
type lateMemory struct {
	mu     sync.Mutex
	held   map[string]time.Time // guarded by mu: when a reservation ends by itself
	faults func() orderFault    // drawn for each order
}

// orderFault is what becomes of one order.
type orderFault struct {
	lost    bool          // never carried out
	silent  bool          // its answer is lost
	late    time.Duration // carried out so much later
	refused bool
}

var errNoAnswer = errors.New("no answer")

func (l *lateMemory) order(ctx context.Context, do func()) error {
	f := l.faults()
	if f.refused {
		return ErrNoMemory
	}
	if !f.lost {
		time.AfterFunc(f.late, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			do()
		})
	}
	if f.lost || f.silent || f.late > 0 {
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
		return errNoAnswer
	}
	return nil
}

func (l *lateMemory) Reserve(ctx context.Context, u *catalog.Upstream, ticket string, _ int, hold time.Duration) error {
	return l.order(ctx, func() { l.held[string(u.ID)+ticket] = time.Now().Add(hold) })
}

func (l *lateMemory) Release(ctx context.Context, u *catalog.Upstream, ticket string) error {
	return l.order(ctx, func() { delete(l.held, string(u.ID)+ticket) })
}

func (l *lateMemory) heldNow() int {
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

// An engine's memory is set aside for nobody, and prompts find no room for good: orders went unanswered, were
// carried out seconds later, after the release, or the instance gave up in the middle. Whatever happens to the
// orders, nothing is held four seconds after the last one was carried out.
func TestReservationsAlwaysEnd(t *testing.T) {
	const latest = 12 * time.Second // that an order is carried out late
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.SliceOfN(rapid.IntRange(0, 9), 64, 64).Draw(r, "faults")
		lives := time.Duration(rapid.IntRange(0, 9000).Draw(r, "request lasts ms")) * time.Millisecond
		engines := rapid.IntRange(1, 4).Draw(r, "engines")
		synctest.Test(t, func(t *testing.T) {
			var next int
			m := &lateMemory{held: map[string]time.Time{}}
			m.faults = func() orderFault {
				m.mu.Lock()
				defer m.mu.Unlock()
				next++
				switch seed[next%len(seed)] {
				case 0:
					return orderFault{lost: true}
				case 1:
					return orderFault{silent: true}
				case 2:
					return orderFault{late: time.Duration(1+next%12) * time.Second}
				case 3:
					return orderFault{refused: next%3 == 0}
				default:
					return orderFault{}
				}
			}
			var holders []Reservation
			for i := range engines {
				holders = append(holders, Reservation{Upstream: &catalog.Upstream{ID: fleet.UpstreamID(fmt.Sprint("e", i))}, Tokens: 1000})
			}
			held, err := reserve(context.Background(), m, "t", holders, func(string, Reservation, error) {})
			if err == nil {
				time.Sleep(lives)
				held.release()
			}
			time.Sleep(latest + 4*time.Second)
			synctest.Wait()
			if n := m.heldNow(); n != 0 {
				t.Fatalf("%d reservations are still held", n)
			}
		})
	})
}

// Engines have no memory for the next prompt although the last one ended: what it held is released, not left to end by
// itself seconds later.
func TestReleasedMemoryIsFreeAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &lateMemory{held: map[string]time.Time{}, faults: func() orderFault { return orderFault{} }}
		holders := []Reservation{{Upstream: &catalog.Upstream{ID: "e0"}, Tokens: 1000}, {Upstream: &catalog.Upstream{ID: "e1"}, Tokens: 1000}}
		held, err := reserve(context.Background(), m, "t", holders, func(string, Reservation, error) {})
		if err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		before := m.heldNow()
		held.release()
		time.Sleep(orderPause)
		synctest.Wait()
		if n := m.heldNow(); n != 0 {
			t.Fatalf("%d reservations of %d are still held", n, before)
		}
		if before != len(holders) {
			t.Fatalf("%d reservations were held, want %d", before, len(holders))
		}
	})
}
