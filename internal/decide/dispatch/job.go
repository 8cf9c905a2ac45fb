package dispatch

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Job is a request that needs a place.
type Job struct {
	ID        fleet.RequestID
	Entry     fleet.InstanceID // the instance that serves its caller
	From      fleet.DomainID   // the entry's failure domain
	Workspace fleet.WorkspaceID
	Priority  int
	Prompt    int            // tokens
	Output    int            // most tokens of the answer
	Arrived   decide.Instant // at the instance
	Aim       decide.Instant // the first event is in time until then
	Patience  decide.Instant // the caller gives up without a first event
	Deadline  decide.Instant
	MaxGap    time.Duration // longest pause between events in time; 0: none
	Attempt   int
	Resumed   bool // a stream that broke off goes on; Arrived and Aim count from its last event
	Avoid     []fleet.UpstreamID

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
	Job        *Job
	Upstream   fleet.UpstreamID   // empty: refused
	Helpers    []fleet.UpstreamID // that read parts of the prompt, holders aside
	Holders    []Holding          // that hold the memory that the upstream has not, and read parts too
	Reason     decide.Reason
	Overdue    time.Duration // from now on which the first event or the plain answer is overdue; 0: unknown
	RetryAfter time.Duration // of a refusal
}

// Holding is memory of a job that an engine holds for another one, in tokens.
type Holding struct {
	Upstream fleet.UpstreamID
	Tokens   int
}

// Reasons of this package.
const (
	Packed     decide.Reason = "packed"      // on the fullest engine whose streams bear it
	Spread     decide.Reason = "spread"      // read in parts by several engines
	Alone      decide.Reason = "alone"       // read by one engine
	LeastWork  decide.Reason = "least_work"  // of a plain service
	TooLate    decide.Reason = "too_late"    // its caller would have given up
	TooLarge   decide.Reason = "too_large"   // over every engine's memory
	NoSlack    decide.Reason = "no_slack"    // over one engine's memory, and the fleet is too busy for it
	NoUpstream decide.Reason = "no_upstream" // none may get work
	QueueFull  decide.Reason = "queue_full"
	// RateLimited: every upstream is under a limit, and its turn would come too late.
	RateLimited decide.Reason = "rate_limited"
)

// Reasons lists every reason of this package.
var Reasons = []decide.Reason{Packed, Spread, Alone, LeastWork, TooLate, TooLarge, NoSlack, NoUpstream, QueueFull, RateLimited}

// Params are the policy's figures.
type Params struct {
	MaxHelpers  int           // beside the first engine
	GapShare    float64       // part of the longest pause that a pass may take as planned
	ShortRead   float64       // ms; a prompt that reads no longer is packed
	PerHelper   float64       // ms that a helper must save to be worth asking
	Backlog     float64       // ms of reading; an engine with more left gets no part of another long prompt
	Beside      float64       // ms that a part read beside streams must save against one on an engine without any
	Together    float64       // ms that the engine which answers a long prompt may come later if it answers others too
	MemoryShare float64       // part of an engine's memory that is planned for
	HoldShare   float64       // part of its caller's patience that a late job waits
	SlackShare  float64       // part of the engines that must read nothing before an oversized prompt is taken
	SlackMost   int           // engines that are enough for it, however many there are
	ColdPerS    float64       // requests a second that a cold upstream gets; 0: cold ones are not told apart
	MaxQueue    int           // jobs
	Margin      time.Duration // between a planned first event and the caller's patience
}

// DefaultParams are the daemon's.
func DefaultParams() Params {
	return Params{
		MaxHelpers:  16,  // engines take no more
		GapShare:    0.9, // the rest is for the trip
		ShortRead:   100, // about 19,000 tokens
		PerHelper:   5,   // a few trips between instance and engine
		Backlog:     200,
		Beside:      150,
		Together:    200,
		MemoryShare: 0.95, // what an answer takes is known only as its most
		HoldShare:   0.3,
		SlackShare:  0.5,                   // an oversized prompt keeps all engines reading for a second
		SlackMost:   25,                    // those of one read and half as many
		MaxQueue:    4096,                  // far above what is served in anybody's time
		Margin:      30 * time.Millisecond, // a few trips
	}
}
