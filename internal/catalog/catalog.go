// Package catalog is what an instance knows of the fleet it routes to: routes, services, workspaces and
// their keys, upstreams, and failure domains that are taken out. A Snapshot is immutable; the path of a
// request reads the current one through an atomic pointer.
package catalog

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

// The kinds of routes.
const (
	NonIdempotent Kind = iota // runs at most once
	Idempotent                // may run more than once
	Stream                    // a series of events; may be repeated only where the route is resumable
)

// String gives the kind as it stands in log lines.
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

// ServiceName names a service: upstreams that serve the same.
type ServiceName string

// Share is a service's part of a route's requests.
type Share struct {
	Service ServiceName
	Weight  float64 // relative to the route's other shares
}

// Route says where the requests of a host and path prefix go and how they are to be treated.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Resumable     bool          // a stream may go on at another upstream after its last event
	Public        bool          // needs no key
	Shares        []Share       // at least one, with a weight above zero
	Timeout       time.Duration // longest time a request may take, its answer included
	TargetLatency time.Duration // time to the answer, or to the first event, that earns full credit; 0: none
	MaxGap        time.Duration // longest pause between events of a stream in time; 0: none
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // upstreams that one request may be sent to, at least 1
}

// Repeatable tells whether a request of the route may run a second time.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Engine is how a service's model engines work, as its operators state it.
type Engine struct {
	Slots              int     // requests that are processed at once
	KVCacheTokens      int     // tokens of KV cache
	StepsPerPass       int     // steps of a pass that has writers; an event comes at the end of a pass
	StepMs             float64 // ms of a step
	PerDecodeMs        float64 // ms of a step for each request that writes
	Per1000ContextMs   float64 // ms of a step for each 1,000 tokens of a writer's context
	PrefillTokensPerMs float64 // prompt tokens read in a ms
	MsPerMillionPairs  float64 // ms for a million pairs of a token and any earlier one
	ChunkTokens        int     // prompt tokens read in a step, at most
}

// Service is a set of like upstreams.
type Service struct {
	Name          ServiceName
	HealthPath    string
	MaxConns      int           // open connections of one upstream, over all callers
	ColdStart     time.Duration // how long an upstream stays cold after its start; 0: never cold
	ColdPerSecond float64       // requests a second that a cold upstream bears
	Engine        *Engine       // nil: a plain service
}

// Workspace is a tenant of the fleet.
type Workspace struct {
	Name     fleet.WorkspaceID
	Priority int // goes before the route's priority; -1: none
}

// Limits bound what a caller may send.
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
	Slots     int
	Leaving   bool
	ColdUntil time.Time // by this instance's steady clock; zero: not cold
	StartTime int64     // Unix ms of its start: another value under the same id is another process
	Revision  uint64    // of the store, at its last change
}

// Process is the start of the upstream that is known.
func (u *Upstream) Process() fleet.Process { return fleet.Process{ID: u.ID, StartTime: u.StartTime} }

// Member is another instance of damaskshelf.
type Member struct {
	ID          fleet.InstanceID
	Addr        string // of its peer listener
	Incarnation uint64
	Domain      fleet.DomainID
	CPUShare    float64 // of a core
	LinkMbps    float64 // of its machine's own link; 0: not said
	Revision    uint64
}
