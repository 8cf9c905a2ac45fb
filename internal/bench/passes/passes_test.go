package passes

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
)

const seeds = 4

var stated = Scenario{Load: 1, LengthMs: 40_000}

// largeMean is played once for all tests that look at it.
var largeMean = sync.OnceValue(func() Result { return MeanResult(&CoteauLarge, daemon(&CoteauLarge), stated, seeds) })

func statedMean(w *Workload) Result {
	if w == &CoteauLarge {
		return largeMean()
	}
	return MeanResult(w, daemon(w), stated, seeds)
}

func daemon(w *Workload) func() Policy { return Dispatcher(w, dispatch.DefaultParams()) }

// What the dispatcher is for, and what is left to gain: on the flipping mix at the stated rates it serves far more
// than entries that know their own work only, and nothing more than the bound allows.
func TestThePolicyBeatsEachEntryAlone(t *testing.T) {
	is := is.New(t)
	policy := MeanResult(&Coteau, daemon(&Coteau), stated, seeds).InTime
	alone := MeanResult(&Coteau, Uncoordinated(&Coteau), stated, seeds).InTime
	bound := UpperBound(&Coteau, stated, seeds).InTime
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
	for _, w := range Workloads {
		for kind, share := range statedMean(w).LargestAnswered {
			t.Logf("%s, %s: largest tenth answered %.3f times as often as all", w.Name, kind, share)
			is.True(share >= 0.5)
		}
	}
}

// On hundreds of engines the longest prompts are hardly ever served, though more engines than they need read nothing at
// any time: half of the fleet reads always, and waiting for more than that is waiting for ever.
func TestTheLargestAreServedByHundredsOfEngines(t *testing.T) {
	is := is.New(t)
	worth := largeMean().LargestEarned["long"]
	t.Logf("the largest tenth earned %.3f of its worth", worth)
	is.True(worth >= 0.75)
}

// All entries end at once while hundreds of streams run, and a third of the engines is lost another time: what was
// cut is asked for anew, and nothing is lost for good or answered twice over.
func TestFaultsOfTheModelEndInOrder(t *testing.T) {
	is := is.New(t)
	faults := stated
	faults.InstanceOutage = Fault{StartMs: 34_000, DurationMs: 1000}
	faults.EngineOutage = Fault{StartMs: 14_000, DurationMs: 5000, EngineShare: 0.33}
	s := New(&Kivufix, daemon(&Kivufix), faults)
	s.Run(1)
	for _, j := range s.jobs {
		is.True(j.events >= 0)
		is.True(j.done || j.refused || j.on == nil || j.writing)
	}
	for _, e := range s.engines {
		is.Equal(len(e.writers)+len(e.reads), 0)
	}
}
