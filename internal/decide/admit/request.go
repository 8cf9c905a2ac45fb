// Package admit decides what becomes of a prompt at its entry: sent to an engine now, kept in a bounded
// queue, or refused at once as "not run".
//
// There are three queues: short, medium, and that of the lanes. Within one, workspaces share by weight
// (start-time fair queueing over prompt tokens), and the prompts of one workspace go by the earliest
// latest start, that is the deadline less the prompt's own work. A prompt that can't finish in its time is
// refused as soon as that is known, with the time after which it is worth coming back.
package admit

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
	"github.com/damaskshelf/damaskshelf/internal/decide/pick"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Request is one prompt at the gate.
type Request struct {
	ID         fleet.RequestID
	Workspace  fleet.WorkspaceID
	Weight     float64 // of the workspace; 0: 1
	Prompt     cost.Prompt
	Class      cost.Class
	Arrived    decide.Instant
	Deadline   decide.Instant     // by which its last token is due
	DecodeTime time.Duration      // expected time from its first token to its last
	Exclude    []fleet.UpstreamID // engines that failed or refused it before

	latest decide.Instant // latest start: Deadline less its own work
	again  decide.Instant // no new try before
	paid   bool           // its workspace was charged for it
	query  pick.Query
}

// Verb is what the shell has to do.
type Verb uint8

// The verbs.
const (
	Dispatch Verb = iota // send it to Choice.Engine
	Reserve              // reserve Plan's parts, then send it; feed the outcome back by Reserved
	Enqueue              // keep it; a later Wake decides
	Refuse               // answer Kind with "not run" and RetryAfter, at once
)

// String gives the verb as it stands in logs.
func (v Verb) String() string {
	return [...]string{"dispatch", "reserve", "queue", "refuse"}[v]
}

// Decision is the outcome for one request.
type Decision struct {
	Verb          Verb
	Request       *Request
	Choice        pick.Choice   // of Dispatch
	Plan          pick.Plan     // of Reserve
	Kind          fault.Kind    // of Refuse
	RetryAfter    time.Duration // of Refuse
	EstimatedWait time.Duration // estimate of its wait in the queue
	OthersQueued  int           // requests in its queue
	Reason        decide.Reason
}

// Reasons of a decision besides those of package pick.
const (
	EnginesBusy  decide.Reason = "engines_busy"    // every engine looked at is over the wait window
	MemoryBusy   decide.Reason = "memory_busy"     // no engine or group has the memory now
	BehindOthers decide.Reason = "behind_others"   // others of its class were there first
	TooLate      decide.Reason = "too_late"        // it can't finish in its time
	Expired      decide.Reason = "expired_waiting" // it waited until it could not finish any more
	QueueFull    decide.Reason = "queue_full"
	Evicted      decide.Reason = "pushed_out" // its workspace held more than its share of a full queue
	NoEngine     decide.Reason = "no_engine"  // no engine serves it now
)

// Reasons lists all of them.
var Reasons = append([]decide.Reason{
	EnginesBusy, MemoryBusy, BehindOthers, TooLate, Expired, QueueFull, Evicted,
	pick.OneEngine, pick.EngineGroup, pick.Split,
}, pick.Reasons...)
