package passes

import (
	"cmp"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
)

const (
	engines = 21
	seeds   = 4
	length  = 40_000
)

func daemon() Policy { return Dispatcher(dispatch.DefaultParams(), engines) }

// What the dispatcher is for, and what is left to gain: on the flipping mix at the stated rates it serves far more
// than entries that know their own work only, and nothing more than the bound allows.
func TestThePolicyBeatsEachEntryAlone(t *testing.T) {
	is := is.New(t)
	policy := Mean(daemon, engines, 1, seeds, length)
	alone := Mean(func() Policy { return Alone(engines) }, engines, 1, seeds, length)
	bound := Bound(engines, 1, seeds, length)
	for kind, least := range map[string]float64{"short": 0.25, "medium": 0.25, "long": 0.35} {
		t.Logf("%s in time: policy %.3f, alone %.3f, bound %.3f", kind, policy[kind], alone[kind], bound[kind])
		is.True(policy[kind] > alone[kind]+least)
		is.True(policy[kind] <= bound[kind])
	}
}

// A dossier of the largest kind is never served, since everything smaller goes before it. The largest tenth of the
// prompts of a kind is answered at least half as often as the kind.
func TestTheLargestAreNotStarved(t *testing.T) {
	is := is.New(t)
	byKind := map[string][]*Job{}
	for seed := range uint64(seeds) {
		s := New(daemon(), engines)
		s.Play(seed+1, 1, length)
		for _, j := range s.jobs {
			byKind[j.kind] = append(byKind[j.kind], j)
		}
	}
	for kind, all := range byKind {
		slices.SortFunc(all, func(a, b *Job) int { return cmp.Compare(b.Prompt, a.Prompt) })
		largest := answered(all[:len(all)/10])
		t.Logf("%s answered: largest tenth %.3f, all %.3f", kind, largest, answered(all))
		is.True(largest >= answered(all)/2)
	}
}

func answered(all []*Job) float64 {
	n := 0
	for _, j := range all {
		if j.done {
			n++
		}
	}
	return float64(n) / float64(len(all))
}
