// Package losses summarizes the logs of a fleet's instances: which requests were not answered completely and in time, by
// cause, class and time. It reads nothing but the logs. Each attempt of a caller counts as a request, so a refused
// request that the caller sends again counts twice. A request that was still queued when its instance ended left no log
// line and is not counted.
package losses

import (
	"strings"
	"time"
)

// Cause is the reason why a request was lost: not answered completely and in time.
type Cause string

// All causes, in the order in which a report shows them.
const (
	LateQueued          Cause = "late_place"            // queued for too long; without that time it would have been in time
	LateFirstEvent      Cause = "late_first"            // the upstreams took too long until the first event or the plain answer
	LateNextEvent       Cause = "paused"                // the time between two events was too long
	LateResume          Cause = "paused_resume"         // the stream was interrupted and resumed elsewhere too late
	RefusedTooLate      Cause = "refused_too_late"      // no upstream available within the caller's deadline
	RefusedNoSlack      Cause = "refused_no_slack"      // needs more than one engine's memory, and the fleet was busy
	RefusedTooLarge     Cause = "refused_too_large"     // needs more memory than the largest group of engines has
	RefusedQueueFull    Cause = "refused_queue_full"    // the queue was full
	RefusedLimit        Cause = "refused_limit"         // every upstream had reached a rate limit of its own
	RefusedHeldBack     Cause = "refused_held_back"     // upstreams end when they answer such requests
	RefusedTooEarly     Cause = "refused_too_early"     // was refused before, and the caller returned sooner than it was told to
	RefusedNoUpstream   Cause = "refused_no_upstream"   // no upstream of the service could take work
	RefusedStopping     Cause = "refused_stopping"      // the instance was stopping
	RefusedInstanceFull Cause = "refused_instance_full" // the instance held as many bytes as it may
	RefusedStarting     Cause = "refused_starting"      // the instance had just started, or had been paused
	UpstreamFailed      Cause = "upstream_failed"       // the upstream failed, and a retry in time was not possible
	StreamCut           Cause = "stream_cut"            // the stream was interrupted and could not be resumed
	DeadlineExceeded    Cause = "time_up"               // the caller's or the route's deadline passed first
	CallerGone          Cause = "caller_gone"           // the caller disconnected before the end of the answer
	InstanceEnded       Cause = "instance_ended"        // the instance ended before the answer was complete
	Other               Cause = "other"                 // a fault that the fleet is not expected to return
)

// Causes lists all causes in the order of a report.
var Causes = []Cause{
	LateQueued, LateFirstEvent, LateNextEvent, LateResume, RefusedTooLate, RefusedNoSlack, RefusedTooLarge, RefusedQueueFull,
	RefusedLimit, RefusedHeldBack, RefusedTooEarly, RefusedNoUpstream, RefusedStopping, RefusedInstanceFull, RefusedStarting, UpstreamFailed, StreamCut, DeadlineExceeded, CallerGone, InstanceEnded, Other,
}

// Outcome is the result of a request for its caller, which is coarser than its cause.
type Outcome string

// The outcomes.
const (
	InTime     Outcome = "in_time"
	Late       Outcome = "late"
	Refused    Outcome = "refused" // the request did not run
	Failed     Outcome = "failed"
	CallerLeft Outcome = "left" // the caller disconnected
)

// outcome returns the outcome of a request with that cause; the empty cause is a request in time.
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

// refusalCauses maps the reason of a refusal, the log field "detail", to its cause.
var refusalCauses = map[string]Cause{
	"too_late": RefusedTooLate, "no_slack": RefusedNoSlack, "too_large": RefusedTooLarge, "queue_full": RefusedQueueFull,
	"rate_limited": RefusedLimit, "held_back": RefusedHeldBack, "too_early": RefusedTooEarly, "instance_ends": RefusedStopping,
}

// faultCauses maps the kind of a fault to its cause, for the kinds that determine the cause by themselves.
var faultCauses = map[string]Cause{
	"held_back": RefusedHeldBack, "no_upstream": RefusedNoUpstream, "stopping": RefusedStopping, "not_ready": RefusedStarting, "stale_instance": RefusedStarting, "instance_full": RefusedInstanceFull,
	"upstream_failed": UpstreamFailed, "upstream_busy": UpstreamFailed, "incomplete_answer": StreamCut,
	"stopped": InstanceEnded, "deadline_exceeded": DeadlineExceeded, "caller_gone": CallerGone,
}

// callerFaults are the kinds of faults that callers are responsible for, such as a request that is invalid or not
// permitted.
var callerFaults = map[string]bool{
	"bad_request": true, "unauthorized": true, "not_found": true, "body_too_large": true, "slow_caller": true,
}

// minServerErrorStatus is the lowest HTTP status of a plain answer that counts as a failure of the upstream.
const minServerErrorStatus = 500

// causeOf returns the cause of a request's loss from its answer line, or "" if it was answered completely and in time.
// counted is false if the caller is at fault, so that the request doesn't count.
func causeOf(answer fields, queueTime time.Duration) (c Cause, counted bool) {
	switch answer["reason"] {
	case "served":
		return lateStreamCause(answer, queueTime), true
	case "passed_on":
		if answer.number("status") >= minServerErrorStatus {
			return UpstreamFailed, true
		}
		return lateCause(answer.ms("took_ms"), answer.ms("aim_ms"), queueTime), true
	case "stream_cut":
		return StreamCut, true
	case "caller_gone":
		return CallerGone, true
	default:
		return refusalCause(answer)
	}
}

// refusalCause is causeOf for an answer line that reports a refusal or another fault.
func refusalCause(answer fields) (c Cause, counted bool) {
	kind := answer["fault"]
	if callerFaults[kind] {
		return "", false
	}
	if c, ok := refusalCauses[answer["detail"]]; ok {
		return c, true
	}
	if c, ok := faultCauses[kind]; ok {
		return c, true
	}
	if kind == "infeasible" {
		return DeadlineExceeded, true
	}
	return Other, true
}

// lateStreamCause returns the cause if a complete stream was late, or "". A stream is late if its first event was, or if
// its longest pause between two events exceeded the gap that its route permits.
func lateStreamCause(answer fields, queueTime time.Duration) Cause {
	if c := lateCause(answer.ms("first_ms"), answer.ms("aim_ms"), queueTime); c != "" {
		return c
	}
	gap := answer.ms("gap_ms")
	switch {
	case gap == 0 || answer.ms("pause_ms") <= gap:
		return ""
	case answer.number("attempts") > 1:
		return LateResume
	default:
		return LateNextEvent
	}
}

// lateCause returns the cause if elapsed exceeds target, or "". A target of 0 means that there is none. The cause is the
// time in the queue only if the remaining time alone would not have exceeded the target.
func lateCause(elapsed, target, queueTime time.Duration) Cause {
	switch {
	case target == 0 || elapsed <= target:
		return ""
	case elapsed-queueTime <= target:
		return LateQueued
	default:
		return LateFirstEvent
	}
}
