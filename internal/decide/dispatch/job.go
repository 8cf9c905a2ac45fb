package dispatch

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/quarantine"
	"github.com/damaskshelf/damaskshelf/internal/decide/share"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Job is a request that is to be placed on an upstream.
type Job struct {
	ID                 fleet.RequestID  // unique among the jobs of all instances
	Request            fleet.RequestID  // the id by which Instance knows it
	Instance           fleet.InstanceID // serves the caller
	Domain             fleet.DomainID   // failure domain of Instance
	Workspace          fleet.WorkspaceID
	Priority           int            // jobs with a lower value are placed first
	PromptTokens       int            // length of the prompt
	MaxOutputTokens    int            // upper bound of the answer's length
	Arrived            decide.Instant // at the instance
	FirstEventTarget   decide.Instant // latest time at which the first event, or a plain answer, is on time; 0: none
	FirstEventDeadline decide.Instant // the caller gives up if it has no event by then
	Deadline           decide.Instant
	MaxGap             time.Duration // longest time between two events that is on time; 0: no bound
	Attempt            int
	Resumed            bool               // continues a stream; Arrived and FirstEventTarget count from its last event
	Avoid              []fleet.UpstreamID // upstreams that must not answer or prefill it
	Keys               []quarantine.Key   // by which jobs are held back that end their upstreams

	// firstArrived is when the caller's first attempt arrived, as far as it is known; see recognizeReturn.
	firstArrived decide.Instant
	returned     bool // its caller was refused before and returns when it was told to
	early        bool // its caller was refused before and returns sooner than it was told to

	kind          promptKind     // as of the current step, under ByForecast
	forecastStart decide.Instant // start that was forecast when it began to wait; 0: none

	excess   bool // exceeds its workspace's usual load
	standing standing
	late     bool    // missesTarget as of the current step
	cost     float64 // prefillCost as of the current step
	awaiting bool    // waits for the outcome of another job with a suspect key
	alone    bool    // gets an upstream of its own until the upstream is known to survive it
	// aloneSince is when the job first needed an upstream of its own; 0: it did not.
	aloneSince decide.Instant
}

// Upstream is an upstream that may receive jobs.
type Upstream struct {
	ID        fleet.UpstreamID
	Domain    fleet.DomainID
	Slots     int   // requests that it processes at once; 0: as many as the model states
	StartTime int64 // start time of its process
	// ColdUntil is the end of the upstream's cold start, in the past if it is warm.
	ColdUntil decide.Instant
}

// Decision is the placement or the refusal of a job.
type Decision struct {
	Job          *Job
	Upstream     fleet.UpstreamID   // answers the job; empty: refused
	Helpers      []fleet.UpstreamID // prefill parts of the prompt, without the engines of Reservations
	Reservations []Reservation      // KV cache that Upstream lacks; these engines prefill parts too
	Reason       decide.Reason
	OverdueAfter time.Duration // time from now after which the first event, or the plain answer, is overdue; 0: unknown
	RetryAfter   time.Duration // of a refusal
	// ForecastStart is when a placed job was to start by the forecast that let it wait; 0: it did not wait.
	ForecastStart decide.Instant
}

// Reservation is KV cache, in tokens, that one engine reserves for a job that another engine answers.
type Reservation struct {
	Upstream fleet.UpstreamID
	Tokens   int
}

// Reasons of this package.
const (
	Packed       decide.Reason = "packed"      // on the fullest engine whose streams allow it
	Spread       decide.Reason = "spread"      // long prompt, prefilled in parts by several engines
	SingleEngine decide.Reason = "alone"       // long prompt, prefilled by one engine
	LeastWork    decide.Reason = "least_work"  // plain service: on the upstream with the least load
	TooLate      decide.Reason = "too_late"    // the caller would give up before the first event
	TooLarge     decide.Reason = "too_large"   // exceeds the memory of the most engines that can share it
	NoSlack      decide.Reason = "no_slack"    // exceeds one engine's memory, and the fleet is too busy for it
	NoUpstream   decide.Reason = "no_upstream" // no upstream may receive it
	QueueFull    decide.Reason = "queue_full"
	// RateLimited: every upstream advertises a rate limit, and the job's turn would come after its FirstEventDeadline.
	RateLimited decide.Reason = "rate_limited"
	HeldBack    decide.Reason = "held_back" // upstreams end when they answer such jobs
	TooEarly    decide.Reason = "too_early" // the caller was refused and returned sooner than it was told to
	// InstanceEnds: the instance is stopping, and its process ends before the answer would be complete.
	InstanceEnds decide.Reason = "instance_ends"
)

// Reasons lists every reason of this package.
var Reasons = []decide.Reason{Packed, Spread, SingleEngine, LeastWork, TooLate, TooLarge, NoSlack, NoUpstream, QueueFull, RateLimited, HeldBack, TooEarly, InstanceEnds}

// Admission selects how long a job waits that can't be placed at once.
type Admission uint8

const (
	// ByPatience lets a late job wait for LateWaitShare of its caller's patience.
	ByPatience Admission = iota
	// ByForecast lets a job wait only while the forecast has room for it.
	ByForecast
)

// WorkspaceShare bounds what a workspace uses while jobs wait.
type WorkspaceShare = share.Limits

// DefaultShare is the share of a workspace for which none is configured.
var DefaultShare = share.DefaultLimits

// Params are the parameters of the placement policy.
type Params struct {
	Admission             Admission
	Shares                map[fleet.WorkspaceID]WorkspaceShare // under contention; a workspace that it lacks has DefaultShare
	MaxHelpers            int                                  // engines that prefill parts of a prompt besides the answering one
	GapShare              float64                              // share of a stream's longest event gap that a planned pass may take
	ShortPrefillMs        float64                              // a prompt with a prefill up to this is short and is packed
	MinGainPerHelperMs    float64                              // prefill time that each helper must save
	MaxBacklogMs          float64                              // an engine with more prefill pending receives no part of a long prompt
	StreamPenaltyMs       float64                              // added to the delay of an engine with streams when it may help
	CoLocationBonusMs     float64                              // subtracted from the delay of an engine with streams when it may answer
	MemoryShare           float64                              // share of an engine's KV cache that placements may use
	LateWaitShare         float64                              // share of the time to its FirstEventDeadline that a late job may wait
	SlackShare            float64                              // share of engines without prefill that an oversized or late prompt needs
	MaxSlackEngines       int                                  // upper bound of the number of engines by SlackShare
	ColdRequestsPerSecond float64                              // rate of a cold upstream; 0: cold upstreams have no limit of their own
	MaxQueue              int                                  // jobs
	Margin                time.Duration                        // between the planned first event and the FirstEventDeadline
}

// DefaultParams returns the parameters that the daemon uses.
func DefaultParams() Params {
	return Params{
		MaxHelpers:         16,  // limit of the engines
		GapShare:           0.9, // the rest is for the network
		ShortPrefillMs:     100, // about 19,000 tokens
		MinGainPerHelperMs: 5,   // a few round trips between instance and engine
		MaxBacklogMs:       200,
		StreamPenaltyMs:    150,
		CoLocationBonusMs:  200,
		MemoryShare:        0.95,                  // only the upper bound of an answer's length is known
		LateWaitShare:      0.3,                   // the rest leaves the caller time to retry
		SlackShare:         0.5,                   // an oversized prompt occupies all engines for a second
		MaxSlackEngines:    25,                    // the engines of one prefill and half as many
		MaxQueue:           4096,                  // far more jobs than can be served before their deadlines
		Margin:             30 * time.Millisecond, // a few round trips
	}
}
