package dispatch

import (
	"math"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Fairness guards against one workspace that sends many times its usual load and so makes the prompts of all others wait
// in the queue. A token bucket holds each workspace to its share. Jobs over the share are excess: they are placed after
// the jobs of others that can still be on time, and under ByPatience use only a part of an upstream's slots, as a placed
// job stays there for seconds.
//
// The share follows the workspace's own usual load, so that a large workspace counts as such. It is multiplied by the
// current load of the others relative to their usual, so that a change of the whole mix is not excess. It is never less
// than an equal part of the total.
//
// Load is counted as prefill time, or as requests for a plain service. Short and long prompts are counted apart, as a
// few long ones are as much work as hundreds of short ones.

const (
	// recentTimeMs and usualTimeMs are the time constants of a workspace's current and usual load.
	recentTimeMs = 1000.0
	usualTimeMs  = 20_000.0
	// learnTimeMs is the time after a workspace's first job before any of its jobs counts as excess. Until then the
	// mean of its usual load covers too little time.
	learnTimeMs = 5000.0
	// usualFactor is the multiple of its usual load that a workspace may send.
	usualFactor = 1.5
	// excessLearnDivisor slows down how load over the share enters the usual load. At full speed the share would grow
	// with the excess, by half in two seconds.
	excessLearnDivisor = 16.0
	// excessSlotShare is the share of an upstream's slots that excess may use.
	excessSlotShare = 0.5
	// burstTimeMs bounds a burst to the load that the share allows in this time.
	burstTimeMs = 500.0
)

// average holds exponentially weighted means of the load, in work per ms.
type average struct{ recent, usual float64 }

// decay reduces both means for the time since the last update, in ms.
func (a *average) decay(ms float64) {
	a.recent *= math.Exp(-ms / recentTimeMs)
	a.usual *= math.Exp(-ms / usualTimeMs)
}

// demand is the load of a workspace, with the token bucket that bounds its bursts.
type demand struct {
	average
	firstSeen, updatedAt decide.Instant
	bucket               float64 // work that it may still send at once
}

// fairness is the load of all workspaces of a service, for one group of prompt lengths.
type fairness struct {
	all        average
	updatedAt  decide.Instant
	workspaces map[fleet.WorkspaceID]*demand
}

// exceedsShare adds a new job to the load of its workspace, and reports whether it exceeds the workspace's share. A
// resumed job is not added and never exceeds the share.
func (s *State) exceedsShare(j *Job) bool {
	switch {
	case j.Resumed:
		return false // counted when it started
	case s.model == nil:
		return s.fairness[0].countDemand(j, 1)
	case s.isLong(j):
		return s.fairness[1].countDemand(j, s.model.prefillMs(j.PromptTokens))
	default:
		return s.fairness[0].countDemand(j, s.model.prefillMs(j.PromptTokens))
	}
}

// countDemand adds the work of a job, in ms of prefill or as a number of requests, to its workspace's load. It reports
// whether the job exceeds the workspace's share.
func (f *fairness) countDemand(j *Job, work float64) bool {
	now := max(f.updatedAt, j.Arrived)
	f.all.decay(toMs(now.Sub(f.updatedAt)))
	f.updatedAt = now
	if f.workspaces == nil {
		f.workspaces = map[fleet.WorkspaceID]*demand{}
	}
	d := f.workspaces[j.Workspace]
	if d == nil {
		d = &demand{firstSeen: now, updatedAt: now}
		f.workspaces[j.Workspace] = d
	}
	elapsedMs := toMs(now.Sub(d.updatedAt))
	d.updatedAt = now
	d.decay(elapsedMs)
	share := f.share(d)
	d.bucket = min(burstTimeMs*share, d.bucket+elapsedMs*share)
	d.recent += work / recentTimeMs
	f.all.recent += work / recentTimeMs
	usualGain := work / usualTimeMs
	overShare := toMs(now.Sub(d.firstSeen)) > learnTimeMs && d.recent > share
	if overShare {
		usualGain /= excessLearnDivisor
	}
	d.usual += usualGain
	f.all.usual += usualGain
	if overShare && d.bucket < work {
		return true
	}
	d.bucket = max(0, d.bucket-work)
	return false
}

// share returns the work per ms that a workspace may send.
func (f *fairness) share(d *demand) float64 {
	othersFactor := 1.0
	if usual := f.all.usual - d.usual; usual > 0 {
		othersFactor = max(1, (f.all.recent-d.recent)/usual)
	}
	return max(usualFactor*othersFactor*d.usual, f.all.recent/float64(len(f.workspaces)))
}
