// Package gateway forwards routed requests: host and path select a route, the route a service, and one of
// the service's upstreams gets the request byte for byte. It serves callers, decides what a failure means
// for them, and never says "not run" of what may have run.
package gateway

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Meta is what a request's head says of it.
type Meta struct {
	ID              string
	APIKey          string        // the caller's key; empty: none shown
	Timeout         time.Duration // how long the caller waits, if Timed
	HasTimeout      bool
	PromptTokens    int    // tokens of the prompt; 0: not a prompt, or not said
	MaxOutputTokens int    // most tokens of the answer
	LastEventID     string // a stream goes on after this event; empty: from its start
	VersionRequired bool   // only upstreams with a version that the caller names answer it; others say Other
}

// Send is what the system tells an upstream with a request.
type DispatchMeta struct {
	Upstream    fleet.UpstreamID
	TimeLeft    time.Duration // time left for the request
	Workspace   fleet.WorkspaceID
	Urgency     int      // 0 is the most urgent; below 0: not said
	Helpers     []Helper // engines that read parts of the prompt; those that hold its memory come first
	LastEventID string   // the stream goes on after this event
}

// Answer is what the head of an upstream's answer says, apart from its status.
type Answer struct {
	Sealed             bool          // the answer is marked as an upstream's own
	NotRun             bool          // the upstream did not run the request and will not
	OtherUpstream      bool          // it isn't the upstream asked for: another one has the address now, or the request is Versioned
	AtFault            string        // the address of the upstream at fault, which may be a helper; empty: not said
	UnexpectedEncoding bool          // the body has an encoding that nobody asked for: it isn't the upstream's
	Leaving            bool          // the upstream leaves: it is to get no new work
	HoldOff            time.Duration // with a refusal: the upstream wants nothing from this instance for so long; 0: not said
	HasLimit           bool          // Limit says something
	Limit              float64       // requests a second that the upstream takes from all instances together
	HeaderError        error         // names a header that can't be read: what it says isn't known
}

// Answered takes what the head of an upstream's answer says of it, and when the answered request was sent; zero: it isn't
// known.
type AnswerObserver func(u *catalog.Upstream, a Answer, sent time.Time)

// Dialect reads and writes heads in the words of the wire.
type Dialect interface {
	// ReadRequest reads a caller's head. An error names the header and value at fault.
	ReadRequest(h *fasthttp.RequestHeader) (Meta, error)
	// WriteRequest replaces what only the system says in a copy of the caller's head.
	WriteRequest(h *fasthttp.RequestHeader, s DispatchMeta)
	// Own tells whether an answer belongs to the request with that id.
	MatchesRequest(h *fasthttp.ResponseHeader, id string) bool
	ReadAnswer(h *fasthttp.ResponseHeader) Answer
	// WriteRefusal marks an answer of the system's own with the request's id.
	WriteRefusal(h *fasthttp.ResponseHeader, id string)
}

// Ask is a request for a place on one of a service's upstreams.
type PlacementRequest struct {
	ID                fleet.RequestID
	Service           catalog.ServiceName
	Kind              catalog.Kind
	Workspace         fleet.WorkspaceID
	Priority          int
	PromptTokens      int           // tokens
	MaxOutputTokens   int           // most tokens of the answer
	Resumed           bool          // a stream that broke off goes on: its times count from its last event
	Waited            time.Duration // since its arrival
	HasTarget         bool          // Aim says something
	TargetLeft        time.Duration // left to the answer that earns full credit; may be below zero
	MaxGap            time.Duration // longest pause between the answer's events
	TimeLeft          time.Duration // left in all
	FirstEventTimeout time.Duration // left until the caller gives up without a first event
	Attempt           int           // 1 for the first
	Avoid             []fleet.UpstreamID
}

// Grant is a place on an upstream. Exactly one Done ends it.
type Grant interface {
	Upstream() *catalog.Upstream
	// Holders hold memory of a prompt that is over the upstream's own; it must be reserved before the send.
	Reservations() []Reservation
	// Helpers are addresses of engines that read parts of the prompt beside the upstream and the holders.
	Helpers() []string
	// Reason says in a word why this upstream.
	Reason() string
	// Overdue is how long after the grant an answer, or its first event, is overdue; 0: nobody knows.
	AnswerTimeout() time.Duration
	// Began tells that the answer, or its first event, came.
	RecordFirstEvent()
	// Done ends the place. atFault is the upstream to blame where it isn't this one.
	Release(o Outcome, atFault fleet.UpstreamID)
}

// Outcome is how a grant's use ended.
type Outcome uint8

// The outcomes.
const (
	Served      Outcome = iota // answered whole
	NotSent                    // nothing was sent, and the upstream is not to blame
	Unreachable                // no connection to the upstream
	Rejected                   // the upstream said that it did not run it
	Failed                     // an error answer, a cut or silence
	Abandoned                  // the caller went away or the time ran out
	Replaced                   // another upstream has its address, or it has another version than the caller asks for
)

// String gives the outcome as it stands in log lines.
func (o Outcome) String() string {
	return [...]string{"served", "unsent", "unreachable", "rejected", "failed", "left", "replaced"}[o]
}

// Placer gives places. Place blocks while the request waits; it gives a *fault.Error with "not run" and a
// Retry-After the moment the request is given up on.
type Placer interface {
	Place(ctx context.Context, a PlacementRequest) (Grant, error)
}
