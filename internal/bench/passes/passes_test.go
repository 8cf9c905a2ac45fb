package passes

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
)

const seedCount = 4

var statedRates = Scenario{Load: 1, LengthMs: 40_000}

// largeResult returns the mean result of CoteauLarge at the stated rates, which is simulated once for all tests.
var largeResult = sync.OnceValue(func() Result { return MeanResult(&CoteauLarge, dispatcher(&CoteauLarge), statedRates, seedCount) })

// statedResult returns the mean result of the daemon's policy at the stated rates.
func statedResult(w *Workload) Result {
	if w == &CoteauLarge {
		return largeResult()
	}
	return MeanResult(w, dispatcher(w), statedRates, seedCount)
}

// dispatcher returns a constructor of the daemon's policy with its default parameters.
func dispatcher(w *Workload) func() Policy { return Dispatcher(w, dispatch.DefaultParams()) }

// At the stated rates, under the changing mix, the dispatcher answers far more in time than instances that know only
// their own work, and no more than the upper bound.
func TestPolicyBeatsIndependentInstances(t *testing.T) {
	is := is.New(t)
	policy := MeanResult(&Coteau, dispatcher(&Coteau), statedRates, seedCount).InTime
	alone := MeanResult(&Coteau, Uncoordinated(&Coteau), statedRates, seedCount).InTime
	bound := UpperBound(&Coteau, statedRates, seedCount).InTime
	for class, minGain := range map[string]float64{"short": 0.25, "medium": 0.25, "long": 0.35} {
		t.Logf("%s in time: policy %.3f, alone %.3f, bound %.3f", class, policy[class], alone[class], bound[class])
		is.True(policy[class] > alone[class]+minGain)
		is.True(policy[class] <= bound[class])
	}
}

// Guards against starving the largest prompts of a class, which happens if every smaller prompt goes before them. The
// largest tenth of each class must be answered at least half as often as the whole class.
func TestLargestPromptsAreNotStarved(t *testing.T) {
	is := is.New(t)
	for _, w := range Workloads {
		for class, share := range statedResult(w).LargestAnswered {
			t.Logf("%s, %s: largest tenth answered %.3f times as often as all", w.Name, class, share)
			is.True(share >= 0.5)
		}
	}
}

// Guards against starving the longest prompts on hundreds of engines, although more engines than they need are idle at
// any time. Half of the fleet always prefills, so a policy that waits for more than half of it to be idle waits
// forever.
func TestLargestPromptsAreServedByHundredsOfEngines(t *testing.T) {
	is := is.New(t)
	earned := largeResult().LargestEarned["long"]
	t.Logf("largest tenth of the long prompts earned %.3f of its worth", earned)
	is.True(earned >= 0.75)
}

// All instances stop at once while hundreds of streams run, and at another time a third of the engines is lost.
// Canceled jobs must be submitted again: no job may be lost, and none may receive more events than its answer has.
func TestFaultsLeaveNoUnfinishedWork(t *testing.T) {
	is := is.New(t)
	scenario := statedRates
	scenario.InstanceOutage = Fault{StartMs: 34_000, DurationMs: 1000}
	scenario.EngineOutage = Fault{StartMs: 14_000, DurationMs: 5000, EngineShare: 0.33}
	s := New(&Kivufix, dispatcher(&Kivufix), scenario)
	s.Run(1)
	for _, j := range s.jobs {
		is.True(j.eventsLeft >= 0)
		is.True(j.done || j.refused || j.answering == nil || j.decoding)
	}
	for _, e := range s.engines {
		is.Equal(len(e.decoding)+len(e.prefills), 0)
	}
}
