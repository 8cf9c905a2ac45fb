package dispatch_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

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
