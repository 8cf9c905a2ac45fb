package dispatch

import (
	"math"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// The load it answers: one workspace sends many times its usual, and the queue that it makes has everybody's prompts
// answered late. What a workspace sends over its share is a token bucket's excess: it waits behind what others send in
// time, and takes no more than a part of an upstream's places, since what is placed stays there for seconds. The share
// goes by the workspace's usual, so that a large one counts as such, times what the others send of theirs, so that a
// change of the whole mix is nobody's excess; and it is never less than an equal part of all.
//
// Work is counted by the engine's time for reading, or by requests for a plain service; that of short and of long prompts
// apart, since a few long ones are the work of hundreds of short ones.

const (
	// recentTime and usualTime are the time constants of what a workspace sends now and usually, in ms.
	recentTime = 1000.0
	usualTime  = 20_000.0
	// learnTime is for how long a workspace must have been seen before anything of it is excess, in ms.
	learnTime = 5000.0
	// excessFrom is how many times its usual a workspace may send.
	excessFrom = 1.5
	// crowdLearns is how many times slower what is over the share becomes usual: at full speed the share would grow with
	// the crowd, by half in two seconds.
	crowdLearns = 16.0
	// excessSlots is the part of an upstream's places that excess may use.
	excessSlots = 0.5
	// burstTime is how long of its share a workspace may send at once, in ms.
	burstTime = 500.0
)

// average is an exponentially weighted mean of work a ms.
type average struct{ recent, usual float64 }

func (a *average) decay(ms float64) {
	a.recent *= math.Exp(-ms / recentTime)
	a.usual *= math.Exp(-ms / usualTime)
}

// demand is what a workspace sends.
type demand struct {
	average
	since, at decide.Instant
	bucket    float64 // work that it may still send at once
}

// fairness is the demand of all workspaces of a service.
type fairness struct {
	all    average
	at     decide.Instant
	spaces map[fleet.WorkspaceID]*demand
}

// overShare counts a job, and tells whether it is over its workspace's share.
func (s *State) overShare(j *Job) bool {
	switch {
	case j.Resumed:
		return false // it was counted when it began
	case s.model == nil:
		return s.fair[0].excess(j, 1)
	case s.isLong(j):
		return s.fair[1].excess(j, s.model.read(j.PromptTokens))
	default:
		return s.fair[0].excess(j, s.model.read(j.PromptTokens))
	}
}

// excess counts a job's work, and tells whether it is over its workspace's share.
func (f *fairness) excess(j *Job, work float64) bool {
	now := max(f.at, j.Arrived)
	f.all.decay(toMs(now.Sub(f.at)))
	f.at = now
	if f.spaces == nil {
		f.spaces = map[fleet.WorkspaceID]*demand{}
	}
	d := f.spaces[j.Workspace]
	if d == nil {
		d = &demand{since: now, at: now}
		f.spaces[j.Workspace] = d
	}
	past := toMs(now.Sub(d.at))
	d.at = now
	d.decay(past)
	share := f.share(d)
	d.bucket = min(burstTime*share, d.bucket+past*share)
	d.recent += work / recentTime
	f.all.recent += work / recentTime
	learned := work / usualTime
	crowd := toMs(now.Sub(d.since)) > learnTime && d.recent > share
	if crowd {
		learned /= crowdLearns
	}
	d.usual += learned
	f.all.usual += learned
	if crowd && d.bucket < work {
		return true
	}
	d.bucket = max(0, d.bucket-work)
	return false
}

// share is the work a ms that a workspace may send.
func (f *fairness) share(d *demand) float64 {
	others := 1.0
	if usual := f.all.usual - d.usual; usual > 0 {
		others = max(1, (f.all.recent-d.recent)/usual)
	}
	return max(excessFrom*others*d.usual, f.all.recent/float64(len(f.spaces)))
}
