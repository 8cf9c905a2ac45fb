// Package fault defines the closed list of error kinds and the table that maps each kind to the answer for the
// caller.
//
// Every refusal and failure that leaves an instance is an *Error of one of these kinds. The table fixes the HTTP
// status and the run outcomes that each kind may carry, so that an answer never reports "not run" for a request that
// may have run.
package fault

import (
	"errors"
	"fmt"
	"time"
)

// Run is the run outcome of a request: whether it ran on an upstream.
type Run uint8

// The run outcomes. RunNo requires that no byte of the request can have reached an upstream, or that the upstream
// itself reported that it did not start the request.
const (
	RunNo Run = iota
	RunYes
	RunUnknown
)

// String returns the outcome as it appears in answers and logs.
func (r Run) String() string {
	switch r {
	case RunNo:
		return "no"
	case RunYes:
		return "yes"
	default:
		return "unknown"
	}
}

// Kind is one entry of the closed list of error kinds.
type Kind uint8

// The error kinds. A new kind needs an entry here and a row in the table below; a test checks that every kind has
// one.
const (
	Internal         Kind = iota // a defect of this program
	BadRequest                   // malformed request, contradicting headers or invalid value
	Unauthorized                 // missing or wrong operator token
	UnknownModel                 // no such model in the configuration
	UnknownService               // no such plain service
	NotFound                     // no such path or object
	BodyTooLarge                 // body over the listener's limit
	InstanceFull                 // this instance holds as many bytes as it may
	SlowCaller                   // the caller sent its request too slowly
	CallerGone                   // the caller closed its connection, or its sending half
	Infeasible                   // can't finish within its time, as known at admission
	QueueFull                    // the bounded queue is full
	WorkspaceLimit               // the workspace exceeds its own limit
	NoUpstream                   // no upstream accepts the request now
	UpstreamLimit                // every upstream is under a rate limit of its own, and the request would wait too long
	HeldBack                     // upstreams end when they answer the request
	NoMemory                     // no group of engines has enough free memory
	Stopping                     // this instance is stopping
	Stopped                      // the instance's stop ended before the answer was complete
	NotReady                     // this instance has no configuration yet
	StaleInstance                // this instance was paused or isolated and is catching up
	UpstreamBusy                 // the upstream reported that it did not start the request
	UpstreamFailed               // the upstream failed after it may have started
	IncompleteAnswer             // the stream ended without its end mark
	DeadlineExceeded             // the request's deadline passed
	InProgress                   // a request with the same idempotency key is running
	KeyReused                    // the idempotency key was used before with a different request
	KeyExpired                   // the idempotency key is older than the retention of outcomes
	StoreUnavailable             // the object API is unreachable for a write that must come first
	PlanConflict                 // the versions that the plan was made from have changed
	PlanRejected                 // the plan would violate a floor or a budget
	Cancelled                    // an operator or the caller cancelled the request
	kindCount
)

// NoRetry is the Retry-After of kinds that the caller should not retry.
const NoRetry time.Duration = 0

// Rule is a kind's row in the table: its wire name, its HTTP status, the run outcomes that it may carry, and the
// delay before a retry.
type Rule struct {
	Name       string
	Status     int
	Runs       []Run
	RetryAfter time.Duration // default Retry-After; NoRetry for none
}

var (
	// Sets of run outcomes that a kind may carry.
	notRun     = []Run{RunNo}
	anyRun     = []Run{RunNo, RunUnknown, RunYes}
	mayHaveRun = []Run{RunUnknown, RunYes}
)

const (
	// otherInstanceDelay is the Retry-After of a refusal that concerns one instance only: another instance may have
	// room for the request already.
	otherInstanceDelay = 20 * time.Millisecond
	// startupDelay is twice the time that an instance takes from its start until it has a configuration, while the
	// store answers.
	startupDelay = 200 * time.Millisecond
)

// rules is the table, indexed by kind.
var rules = [kindCount]Rule{
	Internal:         {"internal", 500, anyRun, NoRetry},
	BadRequest:       {"bad_request", 400, notRun, NoRetry},
	Unauthorized:     {"unauthorized", 401, notRun, NoRetry},
	UnknownModel:     {"unknown_model", 404, notRun, NoRetry},
	UnknownService:   {"unknown_service", 404, notRun, NoRetry},
	NotFound:         {"not_found", 404, notRun, NoRetry},
	BodyTooLarge:     {"body_too_large", 413, notRun, NoRetry},
	InstanceFull:     {"instance_full", 503, notRun, otherInstanceDelay},
	SlowCaller:       {"slow_caller", 408, notRun, NoRetry},
	CallerGone:       {"caller_gone", 502, anyRun, NoRetry},
	Infeasible:       {"infeasible", 503, notRun, 2 * time.Second},
	QueueFull:        {"queue_full", 429, notRun, time.Second},
	WorkspaceLimit:   {"workspace_limit", 429, notRun, time.Second},
	NoUpstream:       {"no_upstream", 503, notRun, 2 * time.Second},
	UpstreamLimit:    {"upstream_limit", 503, notRun, 2 * time.Second},
	HeldBack:         {"held_back", 503, notRun, 30 * time.Second},
	NoMemory:         {"no_memory", 503, notRun, 2 * time.Second},
	Stopping:         {"stopping", 503, notRun, otherInstanceDelay},
	Stopped:          {"stopped", 502, mayHaveRun, otherInstanceDelay},
	NotReady:         {"not_ready", 503, notRun, startupDelay},
	StaleInstance:    {"stale_instance", 503, notRun, time.Second},
	UpstreamBusy:     {"upstream_busy", 503, notRun, time.Second},
	UpstreamFailed:   {"upstream_failed", 502, mayHaveRun, time.Second},
	IncompleteAnswer: {"incomplete_answer", 502, mayHaveRun, time.Second},
	DeadlineExceeded: {"deadline_exceeded", 504, anyRun, time.Second},
	InProgress:       {"in_progress", 409, anyRun, time.Second},
	KeyReused:        {"key_reused", 422, notRun, NoRetry},
	KeyExpired:       {"key_expired", 410, anyRun, NoRetry},
	StoreUnavailable: {"store_unavailable", 503, anyRun, 5 * time.Second},
	PlanConflict:     {"plan_conflict", 409, notRun, NoRetry},
	PlanRejected:     {"plan_rejected", 422, notRun, NoRetry},
	Cancelled:        {"cancelled", 499, anyRun, NoRetry},
}

// Kinds returns every kind, in the order of the list.
func Kinds() []Kind {
	all := make([]Kind, kindCount)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

// Rule returns the kind's row of the table. A value outside the list has the row of Internal.
func (k Kind) Rule() Rule {
	if k >= kindCount {
		return rules[Internal]
	}
	return rules[k]
}

// String returns the kind's wire name.
func (k Kind) String() string { return k.Rule().Name }

// Error is a refusal or failure with its kind and run outcome.
type Error struct {
	Kind       Kind
	Run        Run
	Detail     string        // the field and value that caused it; never a secret
	RetryAfter time.Duration // overrides the kind's default when greater than zero
	Cause      error
}

// Error returns kind, run outcome, detail and cause in one line.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s (run: %s)", e.Kind, e.Run)
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// RetryDelay returns how long the caller should wait before it retries, or NoRetry if it should not retry.
func (e *Error) RetryDelay() time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return e.Kind.Rule().RetryAfter
}

// New returns an error with run outcome RunNo. A kind that does not allow RunNo gets the replacement described at
// NewWithRun.
func New(k Kind, format string, args ...any) *Error {
	return NewWithRun(k, RunNo, format, args...)
}

// NewWithRun returns an error with the given run outcome. An outcome that the kind's row does not allow is replaced
// by RunUnknown, which is the safe claim, or by the row's first outcome if the row does not have RunUnknown.
func NewWithRun(k Kind, run Run, format string, args ...any) *Error {
	return &Error{Kind: k, Run: k.allowedRun(run), Detail: fmt.Sprintf(format, args...)}
}

// allowedRun returns run if the kind's row allows it, else the replacement that NewWithRun describes.
func (k Kind) allowedRun(run Run) Run {
	runs := k.Rule().Runs
	for _, r := range runs {
		if r == run {
			return run
		}
	}
	for _, r := range runs {
		if r == RunUnknown {
			return RunUnknown
		}
	}
	return runs[0]
}

// From returns the *Error that err is or wraps. Any other error becomes Internal with RunUnknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Run: RunUnknown, Cause: err}
}

// Is reports whether err is or wraps an *Error of kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
