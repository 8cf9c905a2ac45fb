package dispatch_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// jobOf returns a short job of an instance in a failure domain that arrived at a time in ms.
func jobOf(id, instance string, domain fleet.DomainID, arrived float64) *dispatch.Job {
	j := newJob(id, 1000)
	j.Instance, j.Domain = fleet.InstanceID(instance), domain
	j.Arrived, j.FirstEventTarget, j.FirstEventDeadline, j.Deadline = at(arrived), at(arrived+300), at(arrived+2000), at(arrived+10_000)
	return j
}

// Guards against requests of sound instances that wait beside idle engines, because instances that are cut off from all
// engines report each of them as unreachable.
func TestCutOffInstancesDontKeepEnginesFromOthers(t *testing.T) {
	is := is.New(t)
	m := coteau
	s := dispatch.New(&m, dispatch.DefaultParams())
	engines := append(append(newUpstreams(6, "a"), newUpstreams(6, "b")...), newUpstreams(6, "c")...)
	s.SetUpstreams(engines)
	for i, e := range engines { // two instances of each domain lose every engine within a second
		now := float64(50 * i)
		for _, domain := range []fleet.DomainID{"a", "b", "c"} {
			for n := range 2 {
				j := jobOf(fmt.Sprint("lost-", domain, n, i), fmt.Sprint("cut-", domain, n), domain, now)
				s.Adopt(at(now), j, e.ID, nil, nil, false)
				s.Done(at(now+40), j.ID, dispatch.Unreachable, "")
			}
		}
	}
	for _, domain := range []fleet.DomainID{"a", "b", "c"} {
		for i := range 40 {
			d := decideOne(t, s, 900, jobOf(fmt.Sprint("sound-", domain, i), "sound-"+string(domain), domain, 900))
			is.True(d.Upstream != "") // placed at once
		}
	}
}

// drawnPaths is a fleet in which some instances don't reach some engines directly, and some engines are dead.
type drawnPaths struct {
	instances []fleet.InstanceID
	domains   []fleet.DomainID // of the instances
	engines   []dispatch.Upstream
	reached   [][]bool // by instance and engine
}

// drawPaths draws a fleet: whole instances that are cut off, single cut paths, and a dead engine. Each of the other
// engines is reached by some instance.
func drawPaths(t *rapid.T) *drawnPaths {
	p := &drawnPaths{}
	domains := []fleet.DomainID{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "domains")]
	for i := range rapid.IntRange(4, 16).Draw(t, "engines") {
		domain := domains[i%len(domains)]
		p.engines = append(p.engines, dispatch.Upstream{ID: fleet.UpstreamID(fmt.Sprint("e", i)), Domain: domain, Slots: 16})
	}
	dead := rapid.IntRange(0, 99).Draw(t, "dead")
	for i := range rapid.IntRange(2, 9).Draw(t, "instances") {
		p.instances = append(p.instances, fleet.InstanceID(fmt.Sprint("i", i)))
		p.domains = append(p.domains, domains[i%len(domains)])
		cutOff := rapid.IntRange(0, 1).Draw(t, "cut off") == 1
		row := make([]bool, len(p.engines))
		for e := range row {
			row[e] = !cutOff && e != dead && rapid.IntRange(0, 9).Draw(t, "cut") > 0
		}
		p.reached = append(p.reached, row)
	}
	for e := range p.engines {
		reaching := rapid.IntRange(0, len(p.instances)-1).Draw(t, "reaching")
		p.reached[reaching][e] = e != dead
	}
	return p
}

// reachedByAny reports whether any instance reaches the engine directly.
func (p *drawnPaths) reachedByAny(engine int) bool {
	return slices.ContainsFunc(p.reached, func(row []bool) bool { return row[engine] })
}

// serve plays what follows a placement: at now, in ms, the instance connects, directly or through another one.
func (p *drawnPaths) serve(s *dispatch.State, now int, instance int, d dispatch.Decision, later map[int][]func()) {
	engine := slices.IndexFunc(p.engines, func(u dispatch.Upstream) bool { return u.ID == d.Upstream })
	id := d.Job.ID
	in := func(ms int, f func(now decide.Instant)) {
		later[now+ms] = append(later[now+ms], func() { f(at(float64(now + ms))) })
	}
	if !p.reachedByAny(engine) {
		in(300, func(now decide.Instant) { s.Done(now, id, dispatch.Unreachable, "") })
		return
	}
	if !p.reached[instance][engine] {
		in(10, func(now decide.Instant) { s.WentIndirect(now, id) })
	}
	in(40, func(now decide.Instant) { s.Began(now, id) })
	in(80, func(now decide.Instant) { s.Done(now, id, dispatch.Completed, "") })
}

// Guards against engines that stay unused although an instance reaches them: whatever paths are cut, a job doesn't wait
// for long beside idle engines.
func TestJobsUseEnginesThatAnyInstanceReaches(t *testing.T) {
	const maxWait, end, step = 10, 5000, 10 // ms
	rapid.Check(t, func(t *rapid.T) {
		p := drawPaths(t)
		m := coteau
		s := dispatch.New(&m, dispatch.DefaultParams())
		s.SetUpstreams(p.engines)
		later := map[int][]func(){}
		waiting := map[fleet.RequestID]int{} // since, in ms
		for now := 0; now < end; now += step {
			for _, f := range later[now] {
				f()
			}
			delete(later, now)
			for i, id := range p.instances {
				if (now/step+i)%10 == 0 {
					j := jobOf(fmt.Sprint(id, "-", now), string(id), p.domains[i], float64(now))
					waiting[j.ID] = now
					s.Ask(j)
				}
			}
			for _, d := range s.Step(at(float64(now))) {
				waited := now - waiting[d.Job.ID]
				delete(waiting, d.Job.ID)
				if waited > maxWait {
					t.Fatalf("job %s waited %d ms", d.Job.ID, waited)
				}
				if d.Upstream != "" {
					p.serve(s, now, slices.Index(p.instances, d.Job.Instance), d, later)
				}
			}
		}
	})
}
