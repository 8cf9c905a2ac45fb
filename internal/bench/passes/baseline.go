package passes

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// alone is each entry by itself: an engine with the least of the entry's own work, at once, nothing split, nothing
// refused but what no engine holds.
type alone struct {
	engines int
	memory  int // tokens of an engine
	asked   []*dispatch.Job
	work    map[fleet.InstanceID][]int // runs of an entry on each engine
	on      map[fleet.RequestID]place
}

type place struct {
	entry  fleet.InstanceID
	engine int
}

// Alone gives the policy of entries that know their own work only.
func Uncoordinated(w *Workload) func() Policy {
	return func() Policy {
		return &alone{engines: w.Engines, memory: w.Model.KVCacheTokens, work: map[fleet.InstanceID][]int{}, on: map[fleet.RequestID]place{}}
	}
}

// SetUpstreams implements Policy. The baseline is played without lost engines.
func (a *alone) SetUpstreams([]dispatch.Upstream) {}

// Ask implements Policy.
func (a *alone) Ask(j *dispatch.Job) { a.asked = append(a.asked, j) }

// Step implements Policy.
func (a *alone) Step(decide.Instant) []dispatch.Decision {
	var out []dispatch.Decision
	for _, j := range a.asked {
		if j.PromptTokens+j.MaxOutputTokens > a.memory {
			out = append(out, dispatch.Decision{Job: j, Reason: dispatch.TooLarge})
			continue
		}
		own := a.work[j.Instance]
		if own == nil {
			own = make([]int, a.engines)
			a.work[j.Instance] = own
		}
		least := slices.Index(own, slices.Min(own))
		own[least]++
		a.on[j.ID] = place{j.Instance, least}
		out = append(out, dispatch.Decision{Job: j, Upstream: engineID(least), Reason: dispatch.LeastWork})
	}
	a.asked = nil
	return out
}

// Began implements Policy.
func (a *alone) Began(decide.Instant, fleet.RequestID) {}

// Done implements Policy.
func (a *alone) Done(_ decide.Instant, id fleet.RequestID, _ dispatch.Outcome, _ fleet.UpstreamID) {
	p := a.on[id]
	a.work[p.entry][p.engine]--
	delete(a.on, id)
}

// Bound is what no policy exceeds by much without faults: all engines read as one of their joint speed, the least
// reading left first, with everything known at once, and writing costs nothing.
func UpperBound(w *Workload, p Scenario, seeds int) Result {
	return meanOf(seeds, func(seed uint64) Result { return bound(w, p, seed) })
}

func bound(w *Workload, p Scenario, seed uint64) Result {
	r := rand.New(rand.NewPCG(seed, 1))
	var all, queue []*Job
	left := map[*Job]float64{}
	for now := 0.0; now < p.LengthMs+tail; now++ {
		if x := flips(now); now < p.LengthMs {
			for i := range w.classes {
				if c := &w.classes[i]; r.Float64() < c.perS*x[i]*p.Load/thousand {
					j := w.job(r, c, len(all), now)
					all, queue = append(all, j), append(queue, j)
					left[j] = reading(&w.Model, j.PromptTokens)
				}
			}
		}
		queue = slices.DeleteFunc(queue, func(j *Job) bool { return now+left[j]/float64(w.Engines) > j.came+j.class.aim })
		slices.SortStableFunc(queue, func(a, b *Job) int { return cmp.Compare(left[a], left[b]) })
		for budget := float64(w.Engines); budget > 0 && len(queue) > 0; {
			j := queue[0]
			take := min(budget, left[j])
			left[j] -= take
			budget -= take
			if left[j] <= readDone {
				j.first, j.last, j.done = now, now, true
				queue = queue[1:]
			}
		}
	}
	return resultOf(w, all, Surge{})
}
