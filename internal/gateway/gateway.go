// Package gateway forwards routed requests. Host and path select a route, the route selects a service, and one of
// the service's upstreams receives the request byte for byte. The gateway serves callers, decides how to handle
// failures, and never reports "not run" for a request that may have run.
package gateway

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/decide/quarantine"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Meta is what the head of a caller's request states.
type Meta struct {
	ID              string
	IDError         error         // why the request can't be told from others by its id; nil: it can
	APIKey          string        // empty: none given
	Timeout         time.Duration // how long the caller waits; valid if HasTimeout is set
	HasTimeout      bool
	PromptTokens    int      // length of the prompt in tokens; 0: no prompt, or length not stated
	MaxOutputTokens int      // maximum length of the answer in tokens
	LastEventID     string   // id of the event after which the stream resumes; empty: it begins at its start
	VersionRequired bool     // only upstreams with the version that the caller names answer; others report OtherUpstream
	Model           string   // that is to answer
	Prompt          string   // what the head says of the prompt's parts; the same in each repeat of a request
	SharedParts     []string // ids of the parts of the prompt that other requests may share, in no order; empty: none, or not stated
}

// DispatchMeta is what the gateway states to an upstream along with a request.
type DispatchMeta struct {
	Upstream    fleet.UpstreamID
	TimeLeft    time.Duration // until the request's deadline
	Workspace   fleet.WorkspaceID
	Urgency     int      // 0 is the most urgent; below 0: not stated
	Helpers     []Helper // engines that prefill parts of the prompt; those with a reservation come first
	LastEventID string   // id of the event after which the stream resumes
}

// Answer is what the head of an upstream's answer states, apart from its status.
type Answer struct {
	Identified         bool          // bears the id of a request
	Sealed             bool          // marked as an upstream's own answer
	NotRun             bool          // the upstream did not run the request and will not
	OtherUpstream      bool          // another upstream than the one asked answered, or one without the required version
	AtFault            string        // address of the upstream at fault, which may be a helper; empty: not stated
	UnexpectedEncoding bool          // the body has a content encoding that was not requested, so it isn't the upstream's
	Leaving            bool          // the upstream is leaving and accepts no new work
	HoldOff            time.Duration // with a refusal: how long the upstream accepts nothing from this instance; 0: not stated
	HasLimit           bool          // whether Limit is valid
	Limit              float64       // requests a second that the upstream accepts from all instances together
	HeaderError        error         // names a header that can't be parsed; its value is unknown
}

// AnswerObserver processes what the head of an upstream's answer states about the upstream. sent is when the
// answered request was sent; zero means unknown.
type AnswerObserver func(u *catalog.Upstream, a Answer, sent time.Time)

// Dialect parses and writes heads of requests and answers in the header names of the wire.
type Dialect interface {
	// ReadRequest parses the head of a caller's request. An error names the header and value that caused it.
	ReadRequest(h *fasthttp.RequestHeader) (Meta, error)
	// IsSystemHeader reports whether no caller's value of a request header is forwarded.
	IsSystemHeader(name []byte) bool
	// IsProtocolHeader reports whether the wire protocol defines a header of requests or answers. Such a header is never one
	// that concerns a single connection.
	IsProtocolHeader(name string) bool
	// WriteRequest replaces the headers that only the gateway sets in a copy of the caller's head.
	WriteRequest(h *fasthttp.RequestHeader, s DispatchMeta)
	// MatchesRequest reports whether an answer belongs to the request with that id. One without an id belongs to none.
	MatchesRequest(h *fasthttp.ResponseHeader, id string) bool
	// ReadAnswer parses the head of an upstream's answer.
	ReadAnswer(h *fasthttp.ResponseHeader) Answer
	// WriteRefusal marks an answer by the gateway itself with the request's id.
	WriteRefusal(h *fasthttp.ResponseHeader, id string)
}

// PlacementRequest asks a Placer for a grant on one of a service's upstreams.
type PlacementRequest struct {
	ID                fleet.RequestID
	Service           catalog.ServiceName
	Kind              catalog.Kind
	Workspace         fleet.WorkspaceID
	Priority          int
	PromptTokens      int                // length of the prompt in tokens
	MaxOutputTokens   int                // maximum length of the answer in tokens
	Resumed           bool               // the stream continues one that broke off
	Waited            time.Duration      // since the arrival, or since the last event of a stream that this instance resumes
	HasTarget         bool               // whether TargetLeft is valid
	TargetLeft        time.Duration      // until the latest time that earns full credit; may be negative
	MaxGap            time.Duration      // longest pause between two events of the answer that is in time
	TimeLeft          time.Duration      // until the request's deadline
	FirstEventTimeout time.Duration      // until the caller gives up without a first event
	Attempt           int                // 1 for the first attempt
	Avoid             []fleet.UpstreamID // upstreams that are excluded
	Keys              []quarantine.Key   // by which requests are held back that end their upstreams
}

// Grant is the permission to send one request to one upstream. Each grant ends with exactly one call of Release.
type Grant interface {
	// Upstream returns the upstream to send to.
	Upstream() *catalog.Upstream
	// Reservations returns the memory to reserve on other engines before the send, for a prompt that exceeds the
	// upstream's own memory.
	Reservations() []Reservation
	// Helpers returns the addresses of engines that prefill parts of the prompt, in addition to the upstream and the
	// engines with reservations.
	Helpers() []string
	// Reason returns a one-word reason for the choice of the upstream.
	Reason() string
	// AnswerTimeout returns how long after the grant an answer, or its first event, is overdue; 0 if unknown.
	AnswerTimeout() time.Duration
	// RecordFirstEvent records that the answer, or its first event, arrived.
	RecordFirstEvent()
	// RecordIndirect records that the request goes through another instance, because this one's own path to the
	// upstream has failed.
	RecordIndirect()
	// Release ends the grant. atFault is the upstream that caused a failure if it isn't the granted one.
	Release(o Outcome, atFault fleet.UpstreamID)
}

// Outcome is how the use of a grant ended.
type Outcome uint8

// The outcomes.
const (
	Served            Outcome = iota // answered completely
	NotSent                          // nothing was sent, and the upstream is not at fault
	Unreachable                      // no connection to the upstream
	Rejected                         // the upstream reported that it did not run the request
	Failed                           // an error answer, a broken connection or silence
	Abandoned                        // the caller went away or the time ran out
	Replaced                         // another upstream has the address, or the version is not the required one
	PathLost                         // this instance's path to the upstream failed, while other instances reach the upstream
	Refused                          // the upstream refused the connection
	UpstreamEnded                    // the upstream's process ended before the answer had gone on for quarantine.ProvenAfter
	UpstreamEndedLate                // the upstream's process ended after that, before the answer was complete
)

// String returns the outcome as it appears in log lines.
func (o Outcome) String() string {
	return [...]string{"served", "unsent", "unreachable", "rejected", "failed", "left", "replaced", "path_lost", "refused", "upstream_ended", "upstream_ended_late"}[o]
}

// Placer grants upstreams to requests. Place blocks while the request waits for an upstream. It returns a *fault.Error
// with RunNo and a retry delay as soon as the request is refused.
type Placer interface {
	Place(ctx context.Context, q PlacementRequest) (Grant, error)
}
