package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/quarantine"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Guards against innocent requests that end with a suspect one on its upstream, which leaves open which of them was the cause.
func TestSuspectGetsUpstreamOfItsOwn(t *testing.T) {
	is := is.New(t)
	const part = quarantine.Key(100)
	now := decide.Instant(time.Hour)
	s := New(nil, DefaultParams())
	s.SetUpstreams([]Upstream{{ID: "a", Slots: 8}, {ID: "b", Slots: 8}})
	place := func(id fleet.RequestID, keys ...quarantine.Key) fleet.UpstreamID {
		workspace := fleet.WorkspaceID(id)
		if slices.Contains(keys, part) {
			workspace = "of all with the part"
		}
		s.Ask(&Job{ID: id, Request: id, Workspace: workspace, Arrived: now, FirstEventDeadline: now.Add(time.Minute), Deadline: now.Add(time.Minute), Keys: keys})
		for _, d := range s.Step(now) {
			return d.Upstream
		}
		return ""
	}
	is.True(place("bad", 1, part) != "")
	s.Done(now, "bad", UpstreamEnded, "")
	now = now.Add(time.Second) // the upstream is used again

	proven := place("proven", 2)
	s.Began(now, "proven")
	now = now.Add(quarantine.ProvenAfter)
	s.Adopt(now, &Job{ID: "second", Keys: []quarantine.Key{3}}, proven, nil, nil, false)
	s.Began(now, "second")
	now = now.Add(quarantine.ProvenAfter)
	beside := place("beside", 4)
	is.True(beside != proven) // which has two runs
	suspect := place("suspect", 5, part)
	is.Equal(suspect, proven) // the other one has less work, but an unproven request
	s.Done(now, "proven", Served, "")
	s.Done(now, "second", Served, "")
	is.Equal(place("next", 6), beside)
	is.Equal(place("after next", 7), beside)                        // nobody joins the suspect
	is.Equal(place("other suspect", 8, part), fleet.UpstreamID("")) // one at a time
	s.Cancel("other suspect")

	s.Began(now, "suspect")
	now = now.Add(quarantine.ProvenAfter)
	is.Equal(place("last", 9), suspect) // it is proven, and its upstream has the least work
}

// Guards against a suspect that waits until its caller gives up because every upstream has unproven requests, as under load.
func TestSuspectDoesNotWaitLongForUpstreamOfItsOwn(t *testing.T) {
	is := is.New(t)
	now := decide.Instant(time.Hour)
	j := &Job{}
	j.setAlone(now, true)
	is.True(j.alone)
	j.setAlone(now.Add(maxAloneWait+1), true)
	is.True(!j.alone)
}

// Guards against two suspects on one upstream, whose end then doesn't tell which of them was the cause.
func TestSuspectsAreKeptApart(t *testing.T) {
	is := is.New(t)
	now := decide.Instant(time.Hour)
	e := &engine{runs: map[fleet.RequestID]*run{"first": {job: &Job{alone: true}, decoding: true}}}
	is.True(!e.bearsSuspect(now, &Job{alone: true})) // although the first one has been answered for long
	is.True(e.bearsSuspect(now, &Job{}))
}

// Guards against a caller who is kept waiting for the outcome of another request for longer than he waits for an answer.
func TestRequestThatCantAwaitOutcomeIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	const part = quarantine.Key(100)
	now := decide.Instant(time.Hour)
	s := New(nil, DefaultParams())
	ask := func(id fleet.RequestID, patience time.Duration) []Decision {
		s.Ask(&Job{ID: id, Request: id, Arrived: now, FirstEventDeadline: now.Add(patience), Deadline: now.Add(time.Minute), Keys: []quarantine.Key{1, part}})
		return s.Step(now)
	}
	for i, id := range []fleet.RequestID{"first", "second"} {
		s.SetUpstreams([]Upstream{{ID: "a", Slots: 8, StartTime: int64(i)}}) // it starts again
		is.Equal(len(ask(id, time.Minute)), 1)
		s.Began(now, id)
		now = now.Add(5 * time.Second)
		s.Done(now, id, UpstreamEndedLate, "")
		now = now.Add(time.Second)
		s.Step(now)
	}
	is.True(ask("trial", time.Minute)[0].Upstream != "")
	refused := ask("short of time", time.Second)
	is.Equal(refused[0].Reason, HeldBack)
	is.True(refused[0].RetryAfter > time.Second)
	is.Equal(len(ask("patient", time.Minute)), 0)
}
