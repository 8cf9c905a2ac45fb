package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Guards against short prompts that are refused for ten seconds while most engines are idle. An engine loses the answer
// to a long prompt that fifteen others have helped to prefill. If the dispatcher counts the prefill as pending for as
// long as the caller waits, these engines have seconds of pending prefill and receive no short prompt.
func TestOverduePrefillFreesEngines(t *testing.T) {
	is := is.New(t)
	s := newEngineState(2)
	long := decideOne(t, s, 0, newJob("long", 400_000))
	is.Equal(len(long.Helpers), 1) // both engines prefill
	short := newJob("short", 4000)
	short.MaxGap, short.FirstEventTarget, short.FirstEventDeadline = 200*time.Millisecond, at(300), at(20_000)
	s.Ask(short)
	beside := newJob("beside", 4000)
	beside.MaxGap = 200 * time.Millisecond
	s.Adopt(at(1), beside, long.Upstream, nil, nil, true)
	other := *beside
	other.ID = "other"
	s.Adopt(at(1), &other, long.Helpers[0], nil, nil, true)
	is.Equal(len(s.Step(at(1000))), 0)                                        // both engines prefill beside streams
	is.Equal(len(s.Step(at(float64(long.OverdueAfter.Milliseconds())/3))), 0) // the planned end of the prefill
	placed := s.Step(at(1 + float64(long.OverdueAfter.Milliseconds())))
	is.Equal(len(placed), 1)
	is.True(placed[0].Upstream != "")
	// The first event arrives late: the prefill is not removed from the engines a second time.
	s.Began(at(20_000), "long")
	for _, id := range []fleet.RequestID{"long", "beside", "other", "short"} {
		s.Done(at(20_500), id, dispatch.Completed, "")
	}
	again := newJob("again", 400_000)
	again.Arrived, again.FirstEventTarget, again.FirstEventDeadline = at(21_000), at(28_000), at(36_000)
	is.True(decideOne(t, s, 21_000, again).Upstream != "")
}

// Guards against a caller that waits until its deadline for a lost plain answer. The decision states after which time
// the answer is overdue, by the recent latency of the service's answers, so that the instance can ask another upstream
// in time.
func TestPlainOverdueTimeFollowsAnswerLatency(t *testing.T) {
	is := is.New(t)
	s := newPlainState(3)
	is.Equal(decideOne(t, s, 0, newJob("first", 0)).OverdueAfter, time.Duration(0)) // no answer is measured yet
	for i := range 200 {
		now := float64(i * 50)
		id := fleet.RequestID(fmt.Sprint("j", i))
		decideOne(t, s, now, newJob(string(id), 0))
		s.Began(at(now+15+float64(i%5)), id)
		s.Done(at(now+15+float64(i%5)), id, dispatch.Completed, "")
	}
	d := decideOne(t, s, 10_000, newJob("next", 0))
	is.True(d.OverdueAfter >= 19*time.Millisecond)
	is.True(d.OverdueAfter <= 400*time.Millisecond)
}
