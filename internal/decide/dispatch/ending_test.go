package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/bench/passes"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// newPatientJob returns a short prompt of an instance that arrives at 0 and may wait for 9 s.
func newPatientJob(id string, instance fleet.InstanceID) *dispatch.Job {
	j := newShortJob(id, 0, 9*time.Second)
	j.Instance, j.FirstEventTarget = instance, 0
	return j
}

// Guards against requests that wait at a stopping instance for as long as it runs, and whose callers then have no time left
// for another instance.
func TestJobsWaitAtStoppingInstanceOnlyWhileTheyCanEnd(t *testing.T) {
	is := is.New(t)
	s := newBusyState(2, 1, dispatch.ByPatience)
	for i := range 4 {
		s.Ask(newPatientJob(fmt.Sprint("stays", i), "i-stays"))
		s.Ask(newPatientJob(fmt.Sprint("stops", i), "i-stops"))
	}
	is.Equal(len(s.Step(at(0))), 0) // all wait
	const end = 8000.0              // ms
	s.SetInstanceEnd("i-stops", at(end))
	refused := map[fleet.RequestID]float64{}
	for ms := 10.0; ms < end; ms += 10 {
		for _, d := range s.Step(at(ms)) {
			is.Equal(d.Reason, dispatch.InstanceEnds)
			is.Equal(d.Job.Instance, fleet.InstanceID("i-stops"))
			refused[d.Job.ID] = ms
		}
	}
	is.Equal(len(refused), 4)
	j := newPatientJob("j", "i-stops")
	answerMs := passes.CoteauShifted.Model.IdleAnswerMs(j.PromptTokens, j.MaxOutputTokens)
	for id, ms := range refused {
		t.Logf("%s refused after %.0f of %.0f ms; an idle engine needs %.0f ms", id, ms, end, answerMs)
		is.True(ms <= end-answerMs)
	}
}

// Guards against a request that waits at a stopping instance although the forecast has room for it only when its answer can't
// be complete any more.
func TestForecastCountsTheEndOfTheInstance(t *testing.T) {
	is := is.New(t)
	s := newBusyState(2, 1, dispatch.ByForecast)
	s.SetInstanceEnd("i-stops", at(1300)) // an idle engine needs 1.1 s
	s.Ask(newPatientJob("stays", "i-stays"))
	s.Ask(newPatientJob("stops", "i-stops"))
	all := s.Step(at(0))
	is.Equal(len(all), 1)
	is.Equal(all[0].Job.ID, fleet.RequestID("stops"))
	is.Equal(all[0].Reason, dispatch.InstanceEnds)
}

// Guards against an answer that is begun although its instance ends before it can be complete, while other instances could
// serve the caller.
func TestJobThatOutlastsItsInstanceIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := newBusyState(2, 0, dispatch.ByForecast)
	s.SetInstanceEnd("i-stops", at(1000))
	job := func(id string, instance fleet.InstanceID) *dispatch.Job {
		j := newShortJob(id, 0, 2*time.Second)
		j.Instance = instance
		return j
	}
	d := decideOne(t, s, 0, job("a", "i-stops"))
	is.Equal(d.Reason, dispatch.InstanceEnds)
	is.Equal(d.RetryAfter, time.Duration(0)) // any other instance may be asked at once
	is.True(decideOne(t, s, 0, job("b", "i-stays")).Upstream != "")
	resumed := job("c", "i-stops")
	resumed.Resumed = true
	is.True(decideOne(t, s, 0, resumed).Upstream != "") // its caller has a part already
	s.RemoveInstance("i-stops")                         // it has started again
	is.True(decideOne(t, s, 0, job("d", "i-stops")).Upstream != "")
}
