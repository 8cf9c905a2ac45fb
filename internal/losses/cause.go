// Package losses sums up, from the logs of a fleet's instances alone, which requests were not answered whole and in
// time, for which cause, of which kind and when. An attempt of a caller counts as a request: one that was refused and
// came back is told twice, and a request that ended with its instance while it waited left no line to be counted by.
package losses

import (
	"strings"
	"time"
)

// Cause is why a request was not answered whole and in time.
type Cause string

// The closed list of causes, in the order in which a report shows them.
const (
	LateQueued        Cause = "late_place"          // it waited for a place; with one at once it would have been in time
	LateFirstEvent    Cause = "late_first"          // its upstreams took too long to the first event, or to a plain answer
	LateNextEvent     Cause = "paused"              // its engine paused between two events for too long
	LateResume        Cause = "paused_resume"       // its engine broke off, and it went on elsewhere too late
	RefusedTooLate    Cause = "refused_too_late"    // no place in its caller's time
	RefusedNoSlack    Cause = "refused_no_slack"    // over one engine's memory, and the fleet was busy
	RefusedTooLarge   Cause = "refused_too_large"   // over the memory of all engines that could hold it together
	RefusedQueueFull  Cause = "refused_queue_full"  // more requests waited than are kept
	RefusedLimit      Cause = "refused_limit"       // every upstream was under a limit of its own
	RefusedNoUpstream Cause = "refused_no_upstream" // no upstream of its service could take work
	RefusedStopping   Cause = "refused_stopping"    // its instance was stopping
	RefusedStarting   Cause = "refused_starting"    // its instance had just started, or had been paused
	UpstreamFailed    Cause = "upstream_failed"     // its upstream failed it, and it could not be sent again in time
	StreamCut         Cause = "stream_cut"          // its stream broke off, and none could go on with it
	DeadlineExceeded  Cause = "time_up"             // its caller's or its route's time ended first
	CallerGone        Cause = "caller_gone"         // its caller left before the end of the answer
	InstanceEnded     Cause = "instance_ended"      // its instance ended without answering it
	Other             Cause = "other"               // a fault that should not come from the fleet
)

// Causes lists every cause.
var Causes = []Cause{
	LateQueued, LateFirstEvent, LateNextEvent, LateResume, RefusedTooLate, RefusedNoSlack, RefusedTooLarge, RefusedQueueFull,
	RefusedLimit, RefusedNoUpstream, RefusedStopping, RefusedStarting, UpstreamFailed, StreamCut, DeadlineExceeded, CallerGone, InstanceEnded, Other,
}

// Outcome is what a caller saw of a request, more roughly than its cause.
type Outcome string

// The outcomes.
const (
	InTime     Outcome = "in_time"
	Late       Outcome = "late"
	Refused    Outcome = "refused" // it did not run
	Failed     Outcome = "failed"
	CallerLeft Outcome = "left" // the caller went away
)

func (c Cause) outcome() Outcome {
	switch {
	case c == "":
		return InTime
	case c == LateQueued || c == LateFirstEvent || c == LateNextEvent || c == LateResume:
		return Late
	case strings.HasPrefix(string(c), "refused_"):
		return Refused
	case c == CallerGone:
		return CallerLeft
	default:
		return Failed
	}
}

// refusals are causes by the reason of a refusal.
var refusals = map[string]Cause{
	"too_late": RefusedTooLate, "no_slack": RefusedNoSlack, "too_large": RefusedTooLarge, "queue_full": RefusedQueueFull,
	"rate_limited": RefusedLimit,
}

// faults are causes by the kind of a fault, where that alone tells.
var faults = map[string]Cause{
	"no_upstream": RefusedNoUpstream, "stopping": RefusedStopping, "not_ready": RefusedStarting, "stale_instance": RefusedStarting,
	"upstream_failed": UpstreamFailed, "upstream_busy": UpstreamFailed, "incomplete_answer": StreamCut,
	"deadline_exceeded": DeadlineExceeded, "caller_gone": CallerGone,
}

// notOwed are faults of callers: what they asked for is not allowed or makes no sense.
var notOwed = map[string]bool{
	"bad_request": true, "unauthorized": true, "not_found": true, "body_too_large": true, "slow_caller": true,
}

// serverError is the first status of a plain answer by which an upstream says that it failed.
const serverError = 500

// causeOf tells why a request with that last line was lost; empty: it was answered whole and in time. owed is false
// where the caller had no right to an answer.
func causeOf(end fields, waited time.Duration) (c Cause, owed bool) {
	switch end["reason"] {
	case "served":
		return lateStream(end, waited), true
	case "passed_on":
		if end.number("status") >= serverError {
			return UpstreamFailed, true
		}
		return late(end.ms("took_ms"), end.ms("aim_ms"), waited), true
	case "stream_cut":
		return StreamCut, true
	case "caller_gone":
		return CallerGone, true
	default:
		return refused(end)
	}
}

func refused(end fields) (c Cause, owed bool) {
	kind := end["fault"]
	if notOwed[kind] {
		return "", false
	}
	if c, ok := refusals[end["detail"]]; ok {
		return c, true
	}
	if c, ok := faults[kind]; ok {
		return c, true
	}
	if kind == "infeasible" {
		return DeadlineExceeded, true
	}
	return Other, true
}

func lateStream(end fields, waited time.Duration) Cause {
	if c := late(end.ms("first_ms"), end.ms("aim_ms"), waited); c != "" {
		return c
	}
	gap := end.ms("gap_ms")
	switch {
	case gap == 0 || end.ms("pause_ms") <= gap:
		return ""
	case end.number("attempts") > 1:
		return LateResume
	default:
		return LateNextEvent
	}
}

// late blames the wait for a place only where the rest would have been in time.
func late(took, aim, waited time.Duration) Cause {
	switch {
	case aim == 0 || took <= aim:
		return ""
	case took-waited <= aim:
		return LateQueued
	default:
		return LateFirstEvent
	}
}
