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

// caller has a call to make at any moment, as an instance with much waiting work.
type caller struct {
	budget *storebudget.Budget
	rand   decide.Rand
	next   decide.Instant
}

// calls steps all callers through a time in which the store is up or down and counts the calls that
// reach it in each second.
func calls(callers []*caller, from, to decide.Instant, up bool) []int {
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

func peak(perSecond []int) int {
	top := 0
	for _, n := range perSecond {
		top = max(top, n)
	}
	return top
}

func fleetOf(n int) []*caller {
	all := make([]*caller, n)
	for i := range all {
		all[i] = &caller{
			budget: storebudget.New(0, storebudget.DefaultLimits, n),
			rand:   rand.New(rand.NewPCG(uint64(n), uint64(i))),
		}
	}
	return all
}

// The store comes back after a long outage and goes down again at once: every instance had work waiting
// and sent all of it in the first second. The peak on return must stay within the store's reads, and
// the probes during the outage must be few.
func TestNoThunderingHerdOnReturn(t *testing.T) {
	const second = decide.Instant(time.Second)
	for _, c := range []struct{ instances, outage, back, first int }{
		{9, 30, 950, 50}, {930, 450, 1100, 1450},
	} {
		t.Run(fmt.Sprint(c.instances), func(t *testing.T) {
			is := is.New(t)
			all := fleetOf(c.instances)
			calls(all, 0, 10*second, true)
			down := calls(all, 10*second, 70*second, false)
			back := calls(all, 70*second, 90*second, true)
			t.Logf("calls a second with %d instances: first second of the outage %d, later at most %d, on return at most %d",
				c.instances, down[0], peak(down[10:]), peak(back))
			is.True(down[0] <= c.first)          // the outage begins
			is.True(peak(down[10:]) <= c.outage) // the outage lasts
			is.True(peak(back) <= c.back)        // the return
			is.True(float64(peak(back)) <= storebudget.DefaultLimits.Reads)
			after := back[10:20]
			is.True(peak(after) > 850) // the budget is used again
		})
	}
}

// However calls fail and succeed, one instance never makes more calls in a second than its refill and
// its burst allow.
func TestOneInstanceStaysWithinItsCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 1000).Draw(t, "instances")
		b := storebudget.New(0, storebudget.DefaultLimits, n)
		r := rand.New(rand.NewPCG(1, uint64(n)))
		cut := storebudget.DefaultLimits.Writes / 2 / float64(n)
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
			if most := cut + max(1, cut) + 1; float64(inSecond) > most {
				t.Fatalf("%d calls in a second, at most %.1f", inSecond, most)
			}
		}
	})
}

// A value that has grown is read less often, so that reading it stays within the bytes allowed.
func TestLargeValuesAreReadLessOften(t *testing.T) {
	is := is.New(t)
	is.Equal(storebudget.ReadInterval(1000, 2*time.Second, 4096), 2*time.Second)
	is.Equal(storebudget.ReadInterval(40960, 2*time.Second, 4096), 10*time.Second)
}
