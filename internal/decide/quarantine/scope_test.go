package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

const (
	first  fleet.WorkspaceID = "first"
	second fleet.WorkspaceID = "second"
)

// sendAs sends a request of a workspace with parts and a content of its own, and returns its id.
func (p *play) sendAs(w fleet.WorkspaceID, parts ...Key) fleet.RequestID {
	id := p.send()
	p.Start(p.now, id, Request{Keys: append([]Key{p.content()}, parts...), Workspace: w})
	return id
}

// endAs ends the upstream of requests, of each workspace one, and lets all reports arrive.
func (p *play) endAs(workspaces []fleet.WorkspaceID, parts ...Key) {
	u := fleet.Process{ID: "u", StartTime: int64(p.sent)}
	var ids []fleet.RequestID
	for _, w := range workspaces {
		ids = append(ids, p.sendAs(w, parts...))
	}
	p.pass(10 * time.Millisecond)
	for _, id := range ids {
		p.Ended(p.now, id, u)
	}
	p.pass(settleTime)
}

// statusOf returns what may be done with a workspace's request that bears parts.
func (p *play) statusOf(w fleet.WorkspaceID, parts ...Key) Status {
	s, _ := p.Check(p.now, Request{Keys: append([]Key{p.content()}, parts...), Workspace: w})
	return s
}

// Guards against a workspace that gets another's requests held back, or delayed, although it had one on each upstream that ended.
func TestVerdictConcernsWorkspacesOnAllEndedUpstreams(t *testing.T) {
	is := is.New(t)
	p := newPlay()
	p.endAs([]fleet.WorkspaceID{first, second}, partA)
	p.endAs([]fleet.WorkspaceID{first}, partA)
	is.Equal(p.statusOf(second, partA), Free)
	p.Served(p.now, p.sendAs(second, partA)) // which says nothing of the first one's requests
	for range maxEndsAnswered - 2 {
		p.endAs([]fleet.WorkspaceID{first}, partA)
	}
	is.Equal(p.statusOf(first, partA), Held)
	is.Equal(p.TakeChanges()[0].Workspaces, []fleet.WorkspaceID{first})
	is.Equal(p.statusOf(second, partA), Alone)
	tried := p.sendAs(second, partA)
	is.Equal(p.statusOf(second, partA), Wait)
	p.Served(p.now, tried)
	is.Equal(p.statusOf(second, partA), Free)
	is.Equal(p.statusOf(first, partA), Held)
}

// Guards against a part that is bad for all and costs as many upstreams for each workspace whose requests bear it.
func TestVerdictIsWidenedByOneEndUnderAnother(t *testing.T) {
	is := is.New(t)
	p := newPlay()
	for range MaxEnds {
		p.endAs([]fleet.WorkspaceID{first}, badPart)
	}
	is.Equal(p.statusOf(second, badPart), Alone)
	p.endAs([]fleet.WorkspaceID{second}, badPart)
	is.Equal(p.statusOf(second, badPart), Held)
	is.Equal(p.statusOf("third", badPart), Held)
	changes := p.TakeChanges()
	elsewhere := newPlay()
	is.True(elsewhere.Merge(changes[0]))
	is.Equal(elsewhere.statusOf("third", badPart), Alone)
	is.True(elsewhere.Merge(changes[len(changes)-1]))
	is.Equal(elsewhere.statusOf("third", badPart), Held)
	is.True(!elsewhere.Merge(changes[0])) // the narrower one is older
}

// Guards against the same where no workspace was on all of the upstreams.
func TestVerdictConcernsAllIfNoWorkspaceExplainsAllEnds(t *testing.T) {
	is := is.New(t)
	p := newPlay()
	p.endAs([]fleet.WorkspaceID{first}, badPart)
	p.endAs([]fleet.WorkspaceID{second}, badPart)
	p.endAs([]fleet.WorkspaceID{first}, badPart)
	is.Equal(p.statusOf("third", badPart), Held)
}

// Guards against an old end under another's request that widens a verdict: only one that was sent to try it counts.
func TestEndOfEarlierRequestWidensNothing(t *testing.T) {
	is := is.New(t)
	p := newPlay()
	early := p.sendAs(second, badPart)
	for range MaxEnds {
		p.endAs([]fleet.WorkspaceID{first}, badPart)
	}
	p.Ended(p.now, early, fleet.Process{ID: "other"})
	p.pass(settleTime)
	is.True(p.statusOf(second, badPart) != Held)
}

// Guards against a try of another workspace's that ended because one of the requests which the verdict is on was there, too.
func TestTryBesideRequestThatVerdictIsOnWidensNothing(t *testing.T) {
	is := is.New(t)
	p := newPlay()
	early := p.sendAs(first, badPart)
	for range MaxEnds {
		p.endAs([]fleet.WorkspaceID{first}, badPart)
	}
	tried := p.sendAs(second, badPart)
	for _, id := range []fleet.RequestID{tried, early} {
		p.Ended(p.now, id, fleet.Process{ID: "other"})
	}
	p.pass(settleTime)
	is.Equal(p.statusOf("third", badPart), Alone)
}

// Guards against a workspace's answers that clear what speaks against another's requests, if upstreams end late in the answer.
func TestAnswerOfOtherWorkspaceClearsNoLateSuspect(t *testing.T) {
	is := is.New(t)
	p := newPlay()
	for range MaxEnds - 1 {
		id := p.sendAs(first, badPart)
		p.Began(p.now, id)
		p.pass(lateAfter)
		p.EndedLate(p.now, id, fleet.Process{ID: fleet.UpstreamID(id)})
		p.pass(settleTime)
		p.Served(p.now, p.sendAs(second, badPart))
	}
	is.Equal(p.late[badPart].moments, MaxEnds-1)
	p.Served(p.now, p.sendAs(first, badPart))
	is.True(p.late[badPart] == nil)
}
