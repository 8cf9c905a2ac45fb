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
	asked   []*dispatch.Job
	work    map[fleet.InstanceID][]int // runs of an entry on each engine
	on      map[fleet.RequestID]place
}

type place struct {
	entry  fleet.InstanceID
	engine int
}

// Alone gives the policy of entries that know their own work only.
func Alone(engines int) Policy {
	return &alone{engines: engines, work: map[fleet.InstanceID][]int{}, on: map[fleet.RequestID]place{}}
}

// Ask implements Policy.
func (a *alone) Ask(j *dispatch.Job) { a.asked = append(a.asked, j) }

// Step implements Policy.
func (a *alone) Step(decide.Instant) []dispatch.Decision {
	var out []dispatch.Decision
	for _, j := range a.asked {
		if j.Prompt+j.Output > Engine.Memory {
			out = append(out, dispatch.Decision{Job: j, Reason: dispatch.TooLarge})
			continue
		}
		own := a.work[j.Entry]
		if own == nil {
			own = make([]int, a.engines)
			a.work[j.Entry] = own
		}
		least := slices.Index(own, slices.Min(own))
		own[least]++
		a.on[j.ID] = place{j.Entry, least}
		out = append(out, dispatch.Decision{Job: j, Upstream: engineID(least), Reason: dispatch.LeastWork})
	}
	a.asked = nil
	return out
}

// Began implements Policy.
func (a *alone) Began(decide.Instant, fleet.RequestID) {}

// Done implements Policy.
func (a *alone) Done(_ decide.Instant, id fleet.RequestID, _ dispatch.End, _ fleet.UpstreamID) {
	p := a.on[id]
	a.work[p.entry][p.engine]--
	delete(a.on, id)
}

// Bound is a share of worth in time that no policy exceeds by much: all engines read as one of their joint speed,
// the least reading left first, with everything known at once, and writing costs nothing.
func Bound(engines int, load float64, seeds int, length float64) map[string]float64 {
	sum := map[string]float64{}
	for seed := range uint64(seeds) {
		for k, v := range bound(seed+1, engines, load, length) {
			sum[k] += v / float64(seeds)
		}
	}
	return sum
}

func bound(seed uint64, engines int, load, length float64) map[string]float64 {
	r := rand.New(rand.NewPCG(seed, 1))
	var all, queue []*Job
	left := map[*Job]float64{}
	for now := 0.0; now < length+deadline; now++ {
		if x := flips(now); now < length {
			for i := range classes {
				if c := &classes[i]; r.Float64() < c.perS*x[i]*load/thousand {
					j := c.job(r, len(all), now)
					all, queue = append(all, j), append(queue, j)
					left[j] = reading(j.Prompt)
				}
			}
		}
		queue = slices.DeleteFunc(queue, func(j *Job) bool { return now+left[j]/float64(engines) > ms(j.Aim) })
		slices.SortStableFunc(queue, func(a, b *Job) int { return cmp.Compare(left[a], left[b]) })
		for budget := float64(engines); budget > 0 && len(queue) > 0; {
			j := queue[0]
			take := min(budget, left[j])
			left[j] -= take
			budget -= take
			if left[j] <= readDone {
				j.first, j.done = now, true
				queue = queue[1:]
			}
		}
	}
	return Shares(all)
}
