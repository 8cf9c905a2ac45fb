package dispatch

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Job is a request that needs a place.
type Job struct {
	ID                 fleet.RequestID
	Instance           fleet.InstanceID // the instance that serves its caller
	Domain             fleet.DomainID   // the entry's failure domain
	Workspace          fleet.WorkspaceID
	Priority           int
	PromptTokens       int            // tokens
	MaxOutputTokens    int            // most tokens of the answer
	Arrived            decide.Instant // at the instance
	FirstEventTarget   decide.Instant // the first event is in time until then
	FirstEventDeadline decide.Instant // the caller gives up without a first event
	Deadline           decide.Instant
	MaxGap             time.Duration // longest pause between events in time; 0: none
	Attempt            int
	Resumed            bool // a stream that broke off goes on; Arrived and Aim count from its last event
	Avoid              []fleet.UpstreamID

	excess bool // over its workspace's share
}

// Upstream is an upstream that may get work.
type Upstream struct {
	ID     fleet.UpstreamID
	Domain fleet.DomainID
	Slots  int
	Born   int64
	// ColdUntil is when its cold start ends; before now: it is warm.
	ColdUntil decide.Instant
}

// Decision is what becomes of a job.
type Decision struct {
	Job          *Job
	Upstream     fleet.UpstreamID   // empty: refused
	Helpers      []fleet.UpstreamID // that read parts of the prompt, holders aside
	Reservations []Reservation      // that hold the memory that the upstream has not, and read parts too
	Reason       decide.Reason
	OverdueAfter time.Duration // from now on which the first event or the plain answer is overdue; 0: unknown
	RetryAfter   time.Duration // of a refusal
}

// Holding is memory of a job that an engine holds for another one, in tokens.
type Reservation struct {
	Upstream fleet.UpstreamID
	Tokens   int
}

// Reasons of this package.
const (
	Packed       decide.Reason = "packed"      // on the fullest engine whose streams bear it
	Spread       decide.Reason = "spread"      // read in parts by several engines
	SingleEngine decide.Reason = "alone"       // read by one engine
	LeastWork    decide.Reason = "least_work"  // of a plain service
	TooLate      decide.Reason = "too_late"    // its caller would have given up
	TooLarge     decide.Reason = "too_large"   // over every engine's memory
	NoSlack      decide.Reason = "no_slack"    // over one engine's memory, and the fleet is too busy for it
	NoUpstream   decide.Reason = "no_upstream" // none may get work
	QueueFull    decide.Reason = "queue_full"
	// RateLimited: every upstream is under a limit, and its turn would come too late.
	RateLimited decide.Reason = "rate_limited"
)

// Reasons lists every reason of this package.
var Reasons = []decide.Reason{Packed, Spread, SingleEngine, LeastWork, TooLate, TooLarge, NoSlack, NoUpstream, QueueFull, RateLimited}

// Params are the policy's figures.
type Params struct {
	MaxHelpers            int           // beside the first engine
	GapShare              float64       // part of the longest pause that a pass may take as planned
	ShortPrefillMs        float64       // ms; a prompt that reads no longer is packed
	MinGainPerHelperMs    float64       // ms that a helper must save to be worth asking
	MaxBacklogMs          float64       // ms of reading; an engine with more left gets no part of another long prompt
	StreamPenaltyMs       float64       // ms that a part read beside streams must save against one on an engine without any
	CoLocationBonusMs     float64       // ms that the engine which answers a long prompt may come later if it answers others too
	MemoryShare           float64       // part of an engine's memory that is planned for
	LateWaitShare         float64       // part of its caller's patience that a late job waits
	SlackShare            float64       // part of the engines that must read nothing before an oversized prompt is taken
	MaxSlackEngines       int           // engines that are enough for it, however many there are
	ColdRequestsPerSecond float64       // requests a second that a cold upstream gets; 0: cold ones are not told apart
	MaxQueue              int           // jobs
	Margin                time.Duration // between a planned first event and the caller's patience
}

// DefaultParams are the daemon's.
func DefaultParams() Params {
	return Params{
		MaxHelpers:         16,  // engines take no more
		GapShare:           0.9, // the rest is for the trip
		ShortPrefillMs:     100, // about 19,000 tokens
		MinGainPerHelperMs: 5,   // a few trips between instance and engine
		MaxBacklogMs:       200,
		StreamPenaltyMs:    150,
		CoLocationBonusMs:  200,
		MemoryShare:        0.95, // what an answer takes is known only as its most
		LateWaitShare:      0.3,
		SlackShare:         0.5,                   // an oversized prompt keeps all engines reading for a second
		MaxSlackEngines:    25,                    // those of one read and half as many
		MaxQueue:           4096,                  // far above what is served in anybody's time
		Margin:             30 * time.Millisecond, // a few trips
	}
}
