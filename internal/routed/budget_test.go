package routed

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// A service that already fails gets a storm of retries on top: each instance keeps to its share, and the shares
// together are over what the fleet may make, since instances that join or leave are known to the others late. In
// no ten seconds are there more retries than the rule allows, whatever the load and whoever comes and goes.
func TestSharesOfRetriesKeepToTheFleetsLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) { checkShares(t, r, rapid.IntRange(2, 9).Draw(r, "instances"), 800) })
}

// The same in fleets of up to 930 instances, where each has a share of less than one retry beside the ratio.
func TestSharesOfRetriesKeepToTheFleetsLimitAtSize(t *testing.T) {
	for instances, seeds := range map[int]int{7: 8, 91: 3, 195: 2, 930: 1} {
		for seed := range seeds {
			rapid.Custom(func(r *rapid.T) bool { checkShares(t, r, instances, 300); return true }).Example(seed)
		}
	}
}

// A stream broke off and its caller gets half an answer, though the fleet has hundreds of retries left: cut in
// whole numbers among hundreds of instances, the share of each is none.
func TestEachInstanceOfALargeFleetHasARetry(t *testing.T) {
	for _, instances := range []int{7, 91, 195, 930} {
		is := is.New(t)
		b := budgetsOf(retries(0.2, 460), func() int { return instances })
		for range 8 { // what one of 930 sees in a window
			b.RecordRequest("s")
		}
		is.True(b.Take("s")) // one retry
	}
}

// An instance that sees more failing requests than others has no more retries than they: its share must follow
// what it sees.
func TestSharesOfRetriesFollowWhatAnInstanceSees(t *testing.T) {
	is := is.New(t)
	allowed := func(requests int) (n int) {
		b := budgetsOf(retries(0.2, 460), func() int { return 195 })
		for range requests {
			b.RecordRequest("s")
		}
		for b.Take("s") {
			n++
		}
		return n
	}
	is.Equal(allowed(0), 1)    // 0.7 x 460 / 195 = 1.65
	is.Equal(allowed(20), 4)   // and 0.14 x 20 = 2.8
	is.Equal(allowed(400), 57) // and 0.14 x 400 = 56
}

// A process doesn't start, or never repeats anything, because a deployment states a number that nobody foresaw.
func TestAnyRetryRuleWorks(t *testing.T) {
	for _, rule := range []struct{ ratio, slack float64 }{{0, 0}, {0.2, 38.333333333333336}, {1e300, 1e300}, {0, 0.001}} {
		b := budgetsOf(retries(rule.ratio, rule.slack), func() int { return 1 })
		b.RecordRequest("s")
		if got, want := b.Take("s"), rule.slack > 2; got != want {
			t.Errorf("ratio %g, slack %g: a retry is allowed: %t", rule.ratio, rule.slack, got)
		}
	}
}

func retries(ratio, slack float64) api.Retries { return api.Retries{Ratio: &ratio, Slack: &slack} }

// checkShares plays a fleet of which one instance joins and one leaves, in steps of 50 ms.
func checkShares(t *testing.T, r *rapid.T, instances, steps int) {
	const (
		window = 10 * time.Second
		step   = 50 * time.Millisecond
		lag    = 3 * time.Second // until a change of the members is known
		ratio  = 0.2
		slack  = 100
	)
	joins := rapid.IntRange(0, steps-1).Draw(r, "one joins at step")
	leaves := rapid.IntRange(0, steps-1).Draw(r, "one leaves at step")
	load := rapid.SliceOfN(rapid.IntRange(0, 3), 40, 40).Draw(r, "requests a step")
	wants := rapid.SliceOfN(rapid.IntRange(0, 8), 40, 40).Draw(r, "retries wanted a step")
	synctest.Test(t, func(t *testing.T) {
		known, newOne := instances, 1 // newOne: the last joins later, and knows of itself
		var all []*budgets
		for n := range instances + 1 {
			members := func() int { return known }
			if n == instances {
				members = func() int { return known + newOne }
			}
			all = append(all, budgetsOf(retries(ratio, slack), members))
		}
		requests, retries := make([]int, steps), make([]int, steps)
		for i := range steps {
			if time.Duration(i-joins)*step == lag {
				known, newOne = known+1, 0
			}
			if time.Duration(i-leaves)*step == lag {
				known--
			}
			for n, b := range all {
				if n == instances && i < joins || n == 0 && i >= leaves {
					continue
				}
				for range load[(i/20+n)%len(load)] {
					b.RecordRequest("s")
					requests[i]++
				}
				for range wants[(i/20+2*n)%len(wants)] {
					if b.Take("s") {
						retries[i]++
					}
				}
			}
			time.Sleep(step)
		}
		inWindow := int(window / step)
		for from := 0; from+inWindow <= steps; from++ {
			asked, again := sum(requests[from:from+inWindow]), sum(retries[from:from+inWindow])
			for _, before := range []int{from - inWindow, from - inWindow/2} { // the rule counts these too
				if before >= 0 {
					asked = max(asked, sum(requests[before:before+inWindow]))
				}
			}
			if limit := ratio*float64(asked) + slack; float64(again) > limit {
				t.Fatalf("%d retries of %d requests in ten seconds, allowed %.0f", again, asked, limit)
			}
		}
	})
}

func sum(all []int) int {
	total := 0
	for _, n := range all {
		total += n
	}
	return total
}
