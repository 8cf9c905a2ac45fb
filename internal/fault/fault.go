// Package fault is the closed list of error kinds and the table from a kind to the answer a caller gets.
//
// Every refusal and failure that leaves an instance is an *Error of one of these kinds. The table fixes
// the HTTP status and which run outcomes the kind may carry, so that "not run" is never said by accident.
package fault

import (
	"errors"
	"fmt"
	"time"
)

// Run tells whether a request ran on an upstream.
type Run uint8

// The three run outcomes. RunNo is said only when no byte of the request could have reached an upstream,
// or when that upstream itself said that it did not start.
const (
	RunNo Run = iota
	RunYes
	RunUnknown
)

// String gives the outcome as it stands in answers and logs.
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

// The closed list. Add a kind here and in the table below; a test goes through all of them.
const (
	Internal         Kind = iota // a defect of ours
	BadRequest                   // malformed request, contradicting headers, bad value
	Unauthorized                 // missing or wrong operator token
	UnknownModel                 // no such model in the configuration
	UnknownService               // no such plain service
	NotFound                     // no such path or object
	BodyTooLarge                 // body over the listener's limit
	SlowCaller                   // the caller sent its request too slowly
	CallerGone                   // the caller closed its connection
	Infeasible                   // can't finish in its time, known at admission
	QueueFull                    // bounded queue is full
	WorkspaceLimit               // the workspace is over its own limit
	NoUpstream                   // no upstream may take the request now
	UpstreamLimit                // every upstream is under a limit of its own, and the request's turn would come too late
	NoMemory                     // no group of engines has the memory
	Stopping                     // this instance is stopping
	NotReady                     // this instance has no configuration yet
	StaleInstance                // this instance was paused or cut off and is catching up
	UpstreamBusy                 // the upstream said it did not start
	UpstreamFailed               // the upstream failed after it may have started
	IncompleteAnswer             // the stream ended without its end mark
	DeadlineExceeded             // the request's time ran out
	InProgress                   // the same idempotency key is being run
	KeyReused                    // the same idempotency key with another request
	KeyExpired                   // the idempotency key is older than outcomes are kept
	StoreUnavailable             // the object API can't be reached for a write that must come first
	PlanConflict                 // the versions the plan was made from no longer hold
	PlanRejected                 // the plan would break a floor or a budget
	Cancelled                    // an operator or the caller cancelled the request
	kindCount
)

// NoRetry is the Retry-After of kinds for which coming back makes no sense.
const NoRetry time.Duration = 0

// Rule is a kind's row: its wire name, HTTP status, the run outcomes it may carry, and when to come back.
type Rule struct {
	Name       string
	Status     int
	Runs       []Run
	RetryAfter time.Duration // default Retry-After; NoRetry for none
}

var (
	notRun  = []Run{RunNo}
	started = []Run{RunNo, RunUnknown, RunYes}
	maybe   = []Run{RunUnknown, RunYes}
)

const (
	// elsewhere is the wait after a refusal that concerns one instance only: another one has room now.
	elsewhere = 20 * time.Millisecond
	// startTime is how long an instance takes from its start until it knows a configuration, where the store
	// answers, and as much again.
	startTime = 200 * time.Millisecond
)

var rules = [kindCount]Rule{
	Internal:         {"internal", 500, started, NoRetry},
	BadRequest:       {"bad_request", 400, notRun, NoRetry},
	Unauthorized:     {"unauthorized", 401, notRun, NoRetry},
	UnknownModel:     {"unknown_model", 404, notRun, NoRetry},
	UnknownService:   {"unknown_service", 404, notRun, NoRetry},
	NotFound:         {"not_found", 404, notRun, NoRetry},
	BodyTooLarge:     {"body_too_large", 413, notRun, NoRetry},
	SlowCaller:       {"slow_caller", 408, notRun, NoRetry},
	CallerGone:       {"caller_gone", 499, started, NoRetry},
	Infeasible:       {"infeasible", 503, notRun, 2 * time.Second},
	QueueFull:        {"queue_full", 429, notRun, time.Second},
	WorkspaceLimit:   {"workspace_limit", 429, notRun, time.Second},
	NoUpstream:       {"no_upstream", 503, notRun, 2 * time.Second},
	UpstreamLimit:    {"upstream_limit", 503, notRun, 2 * time.Second},
	NoMemory:         {"no_memory", 503, notRun, 2 * time.Second},
	Stopping:         {"stopping", 503, notRun, elsewhere},
	NotReady:         {"not_ready", 503, notRun, startTime},
	StaleInstance:    {"stale_instance", 503, notRun, time.Second},
	UpstreamBusy:     {"upstream_busy", 503, notRun, time.Second},
	UpstreamFailed:   {"upstream_failed", 502, maybe, time.Second},
	IncompleteAnswer: {"incomplete_answer", 502, maybe, time.Second},
	DeadlineExceeded: {"deadline_exceeded", 504, started, time.Second},
	InProgress:       {"in_progress", 409, started, time.Second},
	KeyReused:        {"key_reused", 422, notRun, NoRetry},
	KeyExpired:       {"key_expired", 410, started, NoRetry},
	StoreUnavailable: {"store_unavailable", 503, started, 5 * time.Second},
	PlanConflict:     {"plan_conflict", 409, notRun, NoRetry},
	PlanRejected:     {"plan_rejected", 422, notRun, NoRetry},
	Cancelled:        {"cancelled", 499, started, NoRetry},
}

// Kinds lists every kind, in the order of the list.
func Kinds() []Kind {
	all := make([]Kind, kindCount)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

// Rule gives the kind's row of the table.
func (k Kind) Rule() Rule {
	if k >= kindCount {
		return rules[Internal]
	}
	return rules[k]
}

// String gives the kind's wire name.
func (k Kind) String() string { return k.Rule().Name }

// Error is a refusal or failure with its kind and run outcome.
type Error struct {
	Kind       Kind
	Run        Run
	Detail     string        // names the field and value at fault; never a secret
	RetryAfter time.Duration // overrides the kind's default when above zero
	Cause      error
}

// Error gives kind, run outcome and detail in one line.
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

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Wait is how long the caller should wait before it comes back; NoRetry for kinds where it should not.
func (e *Error) RetryDelay() time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return e.Kind.Rule().RetryAfter
}

// New makes an error of a kind whose table row allows only "not run".
func New(k Kind, format string, args ...any) *Error {
	return NewWithRun(k, RunNo, format, args...)
}

// Ran makes an error with an explicit run outcome. An outcome that the kind's row does not allow is
// replaced by RunUnknown where the row has it, since saying less is safe; New's kinds keep RunNo.
func NewWithRun(k Kind, run Run, format string, args ...any) *Error {
	return &Error{Kind: k, Run: k.allowed(run), Detail: fmt.Sprintf(format, args...)}
}

func (k Kind) allowed(run Run) Run {
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

// From gives err as an *Error; any other error becomes Internal with run unknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Run: RunUnknown, Cause: err}
}

// Is tells whether err is a fault of kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
