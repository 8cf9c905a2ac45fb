// Package admit decides on the admission of a prompt at the instance that received it: the prompt is dispatched to an
// engine now, kept in a bounded queue, or refused at once as "not run".
//
// There are three queues: one for short prompts, one for medium prompts, and one for the prompts of the long lanes.
// Within a queue, workspaces share the engines by weight (start-time fair queueing over prompt tokens). The prompts
// of one workspace are ordered by their latest start, which is the deadline less the prompt's own work, earliest
// first. A prompt that can't finish before its deadline is refused as soon as that is known, with the time after
// which a retry is worthwhile.
package admit

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/decide/pick"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Request is one prompt whose admission is decided by a Gate.
type Request struct {
	ID         fleet.RequestID
	Workspace  fleet.WorkspaceID
	Weight     float64 // weight of the workspace in fair queueing; 0 or less: 1
	Prompt     cost.Prompt
	Class      cost.Class
	Arrived    decide.Instant
	Deadline   decide.Instant     // instant by which the last token is due
	DecodeTime time.Duration      // expected time from the first token to the last
	Exclude    []fleet.UpstreamID // engines that failed or refused the request before

	latestStart decide.Instant // latest start: Deadline less the request's own work
	retryAt     decide.Instant // no placement is tried before this instant
	charged     bool           // the workspace was charged for the request
	query       pick.Query
}

// Verb is the action that the driver carries out.
type Verb uint8

// The verbs.
const (
	Dispatch Verb = iota // send the request to Choice.Engine
	Reserve              // reserve the parts of Plan and report the outcome with ReservationResult
	Enqueue              // keep the request; a later call of ProcessQueues decides
	Refuse               // answer Kind with "not run" and RetryAfter, at once
)

// String returns the verb as written in logs.
func (v Verb) String() string {
	return [...]string{"dispatch", "reserve", "queue", "refuse"}[v]
}

// Decision is the decision on one request.
type Decision struct {
	Verb          Verb
	Request       *Request
	Choice        pick.Choice   // of Dispatch: the engine
	Plan          pick.Plan     // of Reserve, and of Dispatch after it: the engines and their parts
	Kind          fault.Kind    // of Refuse: the error
	RetryAfter    time.Duration // of Refuse: time after which the caller may retry
	EstimatedWait time.Duration // of Enqueue: estimated time in the queue
	OthersQueued  int           // of Enqueue: number of other requests in the queue
	Reason        decide.Reason
}

// Reasons of a decision besides those of package pick.
const (
	EnginesBusy  decide.Reason = "engines_busy"    // the predicted wait for the best choice exceeds the class's maximum
	MemoryBusy   decide.Reason = "memory_busy"     // no engine or group of engines has enough free memory now
	BehindOthers decide.Reason = "behind_others"   // other requests of the class are queued
	TooLate      decide.Reason = "too_late"        // the request can't finish before its deadline
	Expired      decide.Reason = "expired_waiting" // the latest start passed while the request was queued
	QueueFull    decide.Reason = "queue_full"
	Evicted      decide.Reason = "pushed_out" // the workspace held more than its share of a full queue
	NoEngine     decide.Reason = "no_engine"  // no engine is available for the request
)

// Reasons lists every reason of a decision.
var Reasons = append([]decide.Reason{
	EnginesBusy, MemoryBusy, BehindOthers, TooLate, Expired, QueueFull, Evicted,
	pick.OneEngine, pick.EngineGroup, pick.Split,
}, pick.Reasons...)
