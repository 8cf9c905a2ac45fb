package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Short prompts are refused for ten seconds while most engines are idle. An engine lost the answer to a long prompt
// that fifteen others had helped to read; its caller waited on, so that nobody told the dispatcher that the read was
// over, and no engine that is about to read for seconds takes a short prompt.
func TestAnOverdueReadKeepsNoEngine(t *testing.T) {
	is := is.New(t)
	s := engines(2)
	long := one(t, s, 0, newJob("long", 400_000))
	is.Equal(len(long.Helpers), 1) // both engines read
	short := newJob("short", 4000)
	short.MaxGap, short.FirstEventTarget, short.FirstEventDeadline = 200*time.Millisecond, at(300), at(20_000)
	s.Ask(short)
	beside := newJob("beside", 4000)
	beside.MaxGap = 200 * time.Millisecond
	s.Adopt(at(1), beside, long.Upstream, nil, nil, true)
	other := *beside
	other.ID = "other"
	s.Adopt(at(1), &other, long.Helpers[0], nil, nil, true)
	is.Equal(len(s.Step(at(1000))), 0)                                        // both engines read, beside streams
	is.Equal(len(s.Step(at(float64(long.OverdueAfter.Milliseconds())/3))), 0) // when it was planned to be read
	placed := s.Step(at(1 + float64(long.OverdueAfter.Milliseconds())))
	is.Equal(len(placed), 1)
	is.True(placed[0].Upstream != "")
	// The first event comes after all: nothing is taken off the engines twice.
	s.Began(at(20_000), "long")
	for _, id := range []fleet.RequestID{"long", "beside", "other", "short"} {
		s.Done(at(20_500), id, dispatch.Completed, "")
	}
	again := newJob("again", 400_000)
	again.Arrived, again.FirstEventTarget, again.FirstEventDeadline = at(21_000), at(28_000), at(36_000)
	is.True(one(t, s, 21_000, again).Upstream != "")
}

// A lookup's answer is lost, and its caller waits for it until its time is over. Who sent it is told from when on the
// answer is overdue, by how long answers of the service have taken lately: it can ask another upstream in time.
func TestPlainAnswersAreOverdueByWhatTheyTook(t *testing.T) {
	is := is.New(t)
	s := plain(3)
	is.Equal(one(t, s, 0, newJob("first", 0)).OverdueAfter, time.Duration(0)) // nothing is known yet
	for i := range 200 {
		now := float64(i * 50)
		id := fleet.RequestID(fmt.Sprint("j", i))
		one(t, s, now, newJob(string(id), 0))
		s.Began(at(now+15+float64(i%5)), id)
		s.Done(at(now+15+float64(i%5)), id, dispatch.Completed, "")
	}
	d := one(t, s, 10_000, newJob("next", 0))
	is.True(d.OverdueAfter >= 19*time.Millisecond)
	is.True(d.OverdueAfter <= 400*time.Millisecond)
}
