package storebudget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/storebudget"
)

// caller is an instance that always has another call to make, as one with a backlog does.
type caller struct {
	budget *storebudget.Budget
	rand   decide.Rand
	next   decide.Instant
}

// simulate runs all callers over a period in which the store is up or down, and returns the number of calls that
// reach the store in each second.
func simulate(callers []*caller, from, to decide.Instant, up bool) []int {
	const step = 10 * time.Millisecond
	perSecond := make([]int, int(to.Sub(from)/time.Second)+1)
	for now := from; now.Before(to); now = now.Add(step) {
		for _, c := range callers {
			if now.Before(c.next) {
				continue
			}
			reason, wait := c.budget.Take(now, storebudget.Read)
			if reason != storebudget.Granted && reason != storebudget.Probe {
				c.next = now.Add(wait)
				continue
			}
			perSecond[now.Sub(from)/time.Second]++
			if up {
				c.budget.RecordSuccess(now)
			} else {
				c.budget.RecordFailure(now, c.rand)
			}
		}
	}
	return perSecond
}

// peak returns the highest number of calls in one second.
func peak(perSecond []int) int {
	most := 0
	for _, n := range perSecond {
		most = max(most, n)
	}
	return most
}

// newCallers returns n callers that share the default limits.
func newCallers(n int) []*caller {
	all := make([]*caller, n)
	for i := range all {
		all[i] = &caller{
			budget: storebudget.New(0, storebudget.DefaultLimits, n),
			rand:   rand.New(rand.NewPCG(uint64(n), uint64(i))),
		}
	}
	return all
}

// Guards against a store that returns from a long outage and fails again at once, because every instance sends
// its whole backlog in the first second. The peak after the return must stay within the store's read limit, and
// few probes may be sent during the outage.
func TestNoThunderingHerdOnReturn(t *testing.T) {
	const second = decide.Instant(time.Second)
	for _, c := range []struct{ instances, outage, back, first int }{
		{9, 30, 950, 50}, {930, 450, 1100, 1450},
	} {
		t.Run(fmt.Sprint(c.instances), func(t *testing.T) {
			is := is.New(t)
			all := newCallers(c.instances)
			simulate(all, 0, 10*second, true)
			down := simulate(all, 10*second, 70*second, false)
			back := simulate(all, 70*second, 90*second, true)
			t.Logf("calls a second with %d instances: first second of the outage %d, later at most %d, on return at most %d",
				c.instances, down[0], peak(down[10:]), peak(back))
			is.True(down[0] <= c.first)          // first second of the outage
			is.True(peak(down[10:]) <= c.outage) // rest of the outage
			is.True(peak(back) <= c.back)        // after the return
			is.True(float64(peak(back)) <= storebudget.DefaultLimits.Reads)
			after := back[10:20]
			is.True(peak(after) > 850) // the budget is fully used again
		})
	}
}

// Whichever calls fail or succeed, one instance never makes more calls in a second than its refill and its burst
// allow.
func TestOneInstanceStaysWithinItsCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 1000).Draw(t, "instances")
		b := storebudget.New(0, storebudget.DefaultLimits, n)
		r := rand.New(rand.NewPCG(1, uint64(n)))
		share := storebudget.DefaultLimits.Writes / 2 / float64(n)
		var made []decide.Instant
		now := decide.Instant(0)
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			reason, _ := b.Take(now, storebudget.Write)
			if reason != storebudget.Granted && reason != storebudget.Probe {
				continue
			}
			if reason == storebudget.Granted {
				made = append(made, now)
			}
			if rapid.IntRange(0, 9).Draw(t, "fails") == 0 {
				b.RecordFailure(now, r)
			} else {
				b.RecordSuccess(now)
			}
		}
		for i := range made {
			inSecond := 0
			for _, m := range made[i:] {
				if m.Sub(made[i]) < time.Second {
					inSecond++
				}
			}
			if most := share + max(1, share) + 1; float64(inSecond) > most {
				t.Fatalf("%d calls in a second, at most %.1f", inSecond, most)
			}
		}
	})
}

// A larger value is read less often, so that the reads stay within the byte rate.
func TestLargeValuesAreReadLessOften(t *testing.T) {
	is := is.New(t)
	is.Equal(storebudget.ReadInterval(1000, 2*time.Second, 4096), 2*time.Second)
	is.Equal(storebudget.ReadInterval(40960, 2*time.Second, 4096), 10*time.Second)
}
