// Package catalog holds what an instance knows of the fleet that it routes to: routes, services, workspaces and their
// keys, upstreams, other instances, and failure domains that are out of service. A Snapshot is immutable. The request
// path reads the current one through an atomic pointer.
package catalog

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Kind states whether requests of a route may be repeated.
type Kind uint8

// Kinds of routes.
const (
	NonIdempotent Kind = iota // a request runs at most once
	Idempotent                // a request may run more than once
	Stream                    // answered by a stream of events; may be repeated only if the route is resumable
)

// String returns the kind as it appears in log lines.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "non_idempotent"
	}
}

// ServiceName is the name of a service, a set of equivalent upstreams.
type ServiceName string

// Share is the part of a route's requests that one service gets.
type Share struct {
	Service ServiceName
	Weight  float64 // relative to the weights of the route's other shares
}

// Route states where the requests for a host and path prefix go and how they are handled.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Resumable     bool          // after a failure, a stream may continue on another upstream after its last event
	Public        bool          // requests need no key
	Shares        []Share       // at least one with a weight above 0
	Timeout       time.Duration // maximum duration of a request, including its answer
	TargetLatency time.Duration // latency of the answer or the first event that still earns full credit; 0: no target
	MaxGap        time.Duration // longest time between two events of a stream that is on time; 0: no limit
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // maximum number of upstreams that one request is sent to; at least 1
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Engine is the performance model of a service's model engines, as their operators configure it.
type Engine struct {
	Slots              int     // requests that it processes at the same time
	KVCacheTokens      int     // capacity of the KV cache
	StepsPerPass       int     // steps of a pass that includes decoding requests; events are sent at the end of a pass
	StepMs             float64 // base duration of a step
	PerDecodeMs        float64 // added to a step for each decoding request
	Per1000ContextMs   float64 // added to a step for each 1,000 tokens of a decoding request's context
	PrefillTokensPerMs float64 // prefill rate
	MsPerMillionPairs  float64 // attention cost of prefill, for a million pairs of a token and an earlier token
	ChunkTokens        int     // most prompt tokens that one step prefills
}

// Service is a set of equivalent upstreams.
type Service struct {
	Name          ServiceName
	HealthPath    string
	MaxConns      int           // maximum number of open connections to one upstream, over all callers
	ColdStart     time.Duration // how long an upstream is cold after its start; 0: never cold
	ColdPerSecond float64       // requests per second that a cold upstream can serve
	Engine        *Engine       // nil: a plain service
}

// Workspace is a tenant of the fleet.
type Workspace struct {
	Name     fleet.WorkspaceID
	Priority int // overrides the route's priority; -1: not set
}

// Limits bounds what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Upstream is one worker process of a service.
type Upstream struct {
	ID        fleet.UpstreamID
	Service   ServiceName
	Addr      string // IP:port
	Domain    fleet.DomainID
	Slots     int // requests that it processes at the same time
	Leaving   bool
	ColdUntil time.Time // on this instance's monotonic clock; zero: not cold
	StartTime int64     // Unix ms; another value under the same id means another process
	Revision  uint64    // version (package objects) of its last change
}

// Process returns the process of the upstream that this entry describes.
func (u *Upstream) Process() fleet.Process { return fleet.Process{ID: u.ID, StartTime: u.StartTime} }

// Member is another damaskshelf instance.
type Member struct {
	ID          fleet.InstanceID
	Addr        string // address of its peer listener
	Incarnation uint64
	Domain      fleet.DomainID
	CPUShare    float64 // share of a CPU core that it may use
	LinkMbps    float64 // bandwidth of its machine's own link; 0: unknown
	Revision    uint64  // version (package objects) of its entry
}
