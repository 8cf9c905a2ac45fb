package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// lateAfter is how long upstreams answer bad requests in these tests before they end.
const lateAfter = time.Second

// begin sends a request that bears keys, and lets its answer begin.
func (p *play) begin(keys ...Key) fleet.RequestID {
	id := p.send(keys...)
	p.pass(10 * time.Millisecond)
	p.Began(p.now, id)
	return id
}

// endLate sends a request that bears keys, ends its upstream after lateAfter of answer, and lets all reports arrive.
func (p *play) endLate(keys ...Key) {
	id := p.begin(keys...)
	p.pass(lateAfter)
	p.EndedLate(p.now, id, fleet.Process{ID: fleet.UpstreamID("u" + string(id))})
	p.pass(settleTime)
}

// heldBack reports whether a request that bears keys is held back.
func (p *play) heldBack(keys ...Key) bool { return p.status(keys...) == Held }

// Guards against ends that count for nobody because the answer had gone on for a while.
func TestRequestThatEndsUpstreamsLateIsHeldBack(t *testing.T) {
	is := is.New(t)
	p := newPlay()
	for range MaxEnds {
		is.True(!p.heldBack(1))
		p.endLate(1)
	}
	is.True(p.heldBack(1))
	changes := p.TakeChanges()
	is.Equal(changes[len(changes)-1].AnsweredFor, lateAfter)
	p.pass(firstHold)
	is.Equal(p.status(1), Free)
	p.endLate(1)
	is.True(p.heldBack(1))
}

// Guards against requests that are sent side by side although upstreams ended under such ones: one at a time is tried.
func TestRequestsThatMayEndUpstreamsLateAreTriedOneAtATime(t *testing.T) {
	is := is.New(t)
	p := newPlay()
	p.endLate(p.content(), badPart)
	is.Equal(p.status(p.content(), badPart), Free)
	p.endLate(p.content(), badPart)
	id := p.begin(p.content(), badPart)
	status, left := p.Check(p.now, Request{Keys: []Key{p.content(), badPart}})
	is.Equal(status, Wait)
	is.True(left > lateAfter)
	p.pass(lateAfter)
	is.Equal(p.status(p.content(), badPart), Wait) // it has not outlived the others
	p.EndedLate(p.now, id, fleet.Process{ID: "u"})
	is.Equal(p.status(p.content(), badPart), Wait) // the reports on the end are awaited
	p.pass(settleTime)
	is.Equal(p.status(p.content(), badPart), Free) // the next trial
}

// Guards against sound requests that stay suspect, and against an answer that speaks for more than it has shown.
func TestAnswerClearsLateSuspectOnlyIfItOutlivesOthers(t *testing.T) {
	for name, c := range map[string]struct {
		answer  func(p *play, id fleet.RequestID)
		resumed bool
		clears  bool
	}{
		"begins":                   {func(p *play, _ fleet.RequestID) { p.pass(ProvenAfter) }, false, false},
		"goes on for longer":       {func(p *play, _ fleet.RequestID) { p.pass(lateAfter + ProvenAfter + 1) }, false, true},
		"is complete":              {func(p *play, id fleet.RequestID) { p.Served(p.now, id) }, false, true},
		"resumes, goes on":         {func(p *play, _ fleet.RequestID) { p.pass(lateAfter + ProvenAfter + 1) }, true, false},
		"resumes, and is complete": {func(p *play, id fleet.RequestID) { p.Served(p.now, id) }, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPlay()
			p.endLate(1)
			p.endLate(1)
			id := fleet.RequestID("tried")
			p.Start(p.now, id, Request{Keys: []Key{1}, Resumed: c.resumed})
			p.Began(p.now, id)
			c.answer(p, id)
			p.status(1)
			is.Equal(p.late[1] == nil, c.clears)
		})
	}
}

// Guards against an early sign of life that frees requests which end their upstreams late in the answer.
func TestVerdictOnLateEndsOutlivesBeginningOfAnswer(t *testing.T) {
	is := is.New(t)
	p := newPlay()
	for range MaxEnds {
		p.endLate(1)
	}
	p.pass(firstHold)
	p.begin(1)
	p.pass(ProvenAfter)
	is.Equal(p.status(1), Wait)
	p.pass(lateAfter + 1)
	is.Equal(p.status(1), Free)
	_, heldBack := p.Size()
	is.Equal(heldBack, 0)
}

// Guards against sound streams that are held back because their upstreams ended under another request, many times.
func TestLateEndsHoldBackNothingOfAnsweredRequests(t *testing.T) {
	is := is.New(t)
	p := newPlay()
	for range 3 * MaxEnds {
		u := fleet.Process{ID: "u", StartTime: int64(p.sent)}
		bad, sound := p.begin(badPart, partA), p.begin(p.content(), partA)
		p.pass(lateAfter)
		p.EndedLate(p.now, sound, u)
		p.EndedLate(p.now, bad, u)
		p.pass(settleTime)
		p.serve(partA)
	}
	is.True(p.heldBack(badPart))
	is.True(p.free(partA))
}

// Guards against an answer that began before a part became bad, and that frees it when it ends: one of the upstreams that ended had
// answered another such request for a while.
func TestAnswerThatBeganBeforeVerdictDoesNotFree(t *testing.T) {
	is := is.New(t)
	p := newPlay()
	cut, older := p.begin(p.content(), badPart), p.begin(p.content(), badPart)
	p.pass(ProvenAfter)
	for n := range maxEndsAnswered {
		bad := p.send(p.content(), badPart)
		u := fleet.Process{ID: fleet.UpstreamID("u" + string(bad))}
		p.pass(10 * time.Millisecond)
		p.Ended(p.now, bad, u)
		if n == 0 {
			p.EndedLate(p.now, cut, u)
		}
		p.pass(settleTime)
	}
	is.True(p.heldBack(p.content(), badPart))
	p.Served(p.now, older)
	is.True(p.heldBack(p.content(), badPart))
	p.pass(firstHold)
	p.Served(p.now, p.send(p.content(), badPart))
	is.Equal(p.status(p.content(), badPart), Free)
}

// Guards against a verdict that the next dispatcher frees for a stream which was sent before the verdict was reached.
func TestAdoptedRequestDoesNotFreeVerdict(t *testing.T) {
	for name, answer := range map[string]func(p *play, id fleet.RequestID){
		"goes on":     func(p *play, _ fleet.RequestID) { p.pass(2 * lateAfter) },
		"is complete": func(p *play, id fleet.RequestID) { p.Served(p.now, id) },
	} {
		for _, writing := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, writing=%t", name, writing), func(t *testing.T) {
				is := is.New(t)
				p, next := newPlay(), newPlay()
				for range MaxEnds {
					p.endLate(badPart)
				}
				next.now = p.now
				for _, v := range p.Verdicts() {
					next.Merge(v)
				}
				is.True(next.heldBack(badPart))
				older := next.send(badPart)
				next.Adopted(next.now, older, writing)
				next.Began(next.now, older)
				answer(next, older)
				is.True(next.heldBack(badPart))
			})
		}
	}
}

// Guards against innocent streams that count as just begun because a new dispatcher doesn't know for how long they had gone on.
func TestAdoptedRequestHadNotJustBegun(t *testing.T) {
	is := is.New(t)
	p := newPlay()
	id := p.send(p.content(), partA)
	p.Adopted(p.now, id, true)
	u := fleet.Process{ID: "u"}
	p.Failed(p.now, id, u)
	p.Gone(p.now, u)
	p.pass(settleTime)
	is.True(p.suspects[partA] == nil)
	is.True(p.late[partA] != nil)
}

// Guards against a request that is held back after one trial while as many upstreams end without it.
func TestOneTrialShowsNothingWhileOthersEndAsOften(t *testing.T) {
	is := is.New(t)
	p := newPlay()
	p.endLate(badPart)
	p.endLate(badPart)
	id := p.begin(badPart)
	for range 2 * MaxEnds {
		p.endLate(p.content())
	}
	p.EndedLate(p.now, id, fleet.Process{ID: "u"})
	p.pass(settleTime)
	is.True(!p.heldBack(badPart))
}

// Guards against an innocent request that is held back because it was tried on the same upstream as the cause.
func TestTwoTrialsOnOneUpstreamShowNothing(t *testing.T) {
	is := is.New(t)
	p := newPlay()
	both := func() {
		a, b := p.begin(badPart), p.begin(otherBadPart)
		p.pass(lateAfter)
		u := fleet.Process{ID: "u", StartTime: int64(p.sent)}
		p.EndedLate(p.now, a, u)
		p.EndedLate(p.now, b, u)
		p.pass(settleTime)
	}
	for range MaxEnds {
		both()
	}
	is.True(!p.heldBack(badPart))
	is.True(!p.heldBack(otherBadPart))
	p.endLate(badPart)
	is.True(p.heldBack(badPart))
	is.True(!p.heldBack(otherBadPart))
}

// Guards against trials that speak against a part although a verdict on another one explains their ends.
func TestExplainedTrialsCountForNobodyElse(t *testing.T) {
	is := is.New(t)
	p := newPlay()
	p.endLate(p.content(), partA)
	for range MaxEnds + 1 {
		bad, innocent := p.begin(p.content(), badPart), p.begin(p.content(), partA)
		p.pass(lateAfter)
		for _, id := range []fleet.RequestID{bad, innocent} {
			p.EndedLate(p.now, id, fleet.Process{ID: "u", StartTime: int64(p.sent)})
		}
		p.pass(settleTime)
	}
	for range 2 {
		p.endLate(p.content(), badPart)
	}
	is.True(p.heldBack(p.content(), badPart))
	for range MaxEnds - 1 {
		p.endLate(p.content(), partA)
	}
	is.True(!p.heldBack(p.content(), partA))
}

// Guards against memory that grows with what callers draw, and against one caller's parts that push out another's that are put to
// the test.
func TestLateSuspectsAreBounded(t *testing.T) {
	is := is.New(t)
	p := newPlay()
	for range MaxEnds - 1 {
		p.endLate(p.content(), badPart)
	}
	for k := range Key(2 * maxSuspects) {
		p.addLateSuspect(p.now, firstContent+k, false).lastEnd = p.now
	}
	is.True(len(p.late) <= maxSuspects)
	is.True(p.late[badPart] != nil)
}

// Guards against a next dispatcher that lets as many upstreams end again: it knows which requests are put to the test, and one
// more end under them suffices.
func TestTrialsOutliveTheirDispatcher(t *testing.T) {
	is := is.New(t)
	p, next := newPlay(), newPlay()
	p.endLate(p.content(), badPart)
	p.endLate(p.content(), badPart)
	for _, v := range p.TakeChanges() {
		is.True(v.OnTrial())
		next.now = p.now
		is.True(next.Merge(v))
		is.True(!p.Merge(v)) // which knows more
	}
	_, heldBack := next.Size()
	is.Equal(heldBack, 0)
	id := next.begin(next.content(), badPart)
	is.Equal(next.status(next.content(), badPart), Wait)
	next.pass(lateAfter)
	next.EndedLate(next.now, id, fleet.Process{ID: "u"})
	is.True(next.heldBack(next.content(), badPart))
	p.Served(p.now, p.begin(p.content(), badPart))
	is.True(p.TakeChanges()[0].Freed)
}

// Guards against ends that are forgotten with the dispatcher to which they were reported, or reported to none.
func TestRecalledEndsCount(t *testing.T) {
	is := is.New(t)
	p := newPlay()
	for i := range MaxEnds - 1 {
		at := p.now.Add(-time.Duration(i+1) * 5 * time.Second) // the latest first
		past := PastEnd{
			Request: Request{Keys: []Key{badPart}}, Upstream: fleet.Process{ID: "past", StartTime: int64(i)}, At: at, SentAt: at.Add(-lateAfter),
			FirstEventAt: at.Add(-lateAfter),
		}
		p.Recall(past)
		p.Recall(past) // by another session
	}
	p.pass(settleTime)
	is.Equal(p.late[badPart].moments, MaxEnds-1)
	p.endLate(badPart)
	is.True(p.heldBack(badPart))
}

// Guards against an end that counts twice because it is stated again to the dispatcher that knows it.
func TestEndIsNotRecalledWhereItWasReported(t *testing.T) {
	is := is.New(t)
	p := newPlay()
	id := p.begin(badPart)
	p.pass(lateAfter)
	u := fleet.Process{ID: "u"}
	p.EndedLate(p.now, id, u)
	p.pass(settleTime)
	p.Recall(PastEnd{Request: Request{Keys: []Key{partA}}, Upstream: u, At: p.now})
	is.True(p.late[partA] == nil)
	is.Equal(p.late[badPart].moments, 1)
}

// Guards against a trial that counts again with each report on its upstream's end that comes in late.
func TestTrialCountsOnce(t *testing.T) {
	is := is.New(t)
	p := newPlay()
	p.endLate(p.content(), badPart)
	p.endLate(p.content(), badPart)
	u := fleet.Process{ID: "u"}
	trial, others := p.begin(p.content(), badPart), []fleet.RequestID{p.begin(p.content()), p.begin(p.content()), p.begin(p.content())}
	p.pass(lateAfter)
	p.EndedLate(p.now, trial, u)
	for _, id := range others {
		p.pass(settleTime)
		p.EndedLate(p.now, id, u)
	}
	is.True(!p.heldBack(p.content(), badPart))
	is.Equal(p.late[badPart].endedTrials, 1)
}
