package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/upstream"
)

// errOverdue ends a send whose upstream has been silent for too long.
var errOverdue = errors.New("upstream is silent: its answer is overdue")

// silenceShare is the fraction of the caller's silence tolerance after which the watchdog ends a silent stream. The
// remaining time must suffice to resume the stream on another upstream.
const silenceShare = 0.5

// watchdog ends a send when its upstream falls silent, so that the request goes to another one. It guards against a
// lost answer, or a connection that stays silent while the upstream serves others. Without it, the caller waits
// until it gives up, and the request is lost although other upstreams would serve it. It runs only for requests that
// may be repeated.
type watchdog struct {
	cancel     context.CancelCauseFunc
	timer      *time.Timer
	maxSilence time.Duration // between two events
	expired    atomic.Bool   // set when the watchdog ends the send
	unread     upstream.Unread

	mu          sync.Mutex
	due         time.Time     // guarded by mu: when the answer, or the next event, is overdue
	lateBy      time.Duration // guarded by mu: how much later than due the send was ended
	unreadBytes int           // guarded by mu: bytes of the upstream that nobody had read by then
}

// startWatchdog starts the watchdog of the next send and returns the context of that send. Without a watchdog that is
// the request's own context. No watchdog is started if it is unknown when the answer is overdue, if the request must
// not be repeated, or if this is its last attempt.
func (l *lifecycle) startWatchdog() context.Context {
	l.watchdog = nil
	timeout := l.grant.AnswerTimeout()
	if timeout == 0 || !l.r.route.Repeatable() || l.attempts+1 >= l.r.route.MaxAttempts {
		return l.ctx
	}
	ctx, cancel := context.WithCancelCause(l.ctx)
	w := &watchdog{cancel: cancel, maxSilence: time.Duration(float64(l.r.silenceTolerance()) * silenceShare)}
	w.due = time.Now().Add(timeout)
	w.timer = time.AfterFunc(timeout, func() { l.expireWatchdog(w) })
	l.watchdog = w
	return ctx
}

// unread returns what shows the watchdog what has arrived, or nil without a watchdog.
func (l *lifecycle) unread() *upstream.Unread {
	if l.watchdog == nil {
		return nil
	}
	return &l.watchdog.unread
}

// expireWatchdog ends the send if the retry budget allows another one. Otherwise the answer may still arrive.
func (l *lifecycle) expireWatchdog(w *watchdog) {
	if l.g.deps.RetryBudget.Allows(l.r.service) {
		w.observeExpiry(time.Now())
		w.expired.Store(true)
		w.cancel(errOverdue)
	}
}

// observeExpiry records what shows later whether the upstream was silent, or this instance late.
func (w *watchdog) observeExpiry(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateBy = now.Sub(w.due)
	w.unreadBytes, _ = w.unread.Look()
}

// watchdogFields returns what is logged of a send that the watchdog ended.
func (l *lifecycle) watchdogFields() []any {
	if !l.watchdogExpired() {
		return nil
	}
	w := l.watchdog
	w.mu.Lock()
	defer w.mu.Unlock()
	return []any{"late_ms", w.lateBy.Milliseconds(), "unread_bytes", w.unreadBytes}
}

// resetWatchdog restarts the watchdog's timer after an event.
func (l *lifecycle) resetWatchdog() {
	if w := l.watchdog; w != nil {
		w.mu.Lock()
		w.due = time.Now().Add(w.maxSilence)
		w.mu.Unlock()
		w.timer.Reset(w.maxSilence)
	}
}

// stopWatchdog stops the watchdog of a send that has ended.
func (l *lifecycle) stopWatchdog() {
	if l.watchdog != nil {
		l.watchdog.timer.Stop()
		l.watchdog.cancel(nil)
	}
}

// watchdogExpired reports whether the send was ended because its upstream was silent.
func (l *lifecycle) watchdogExpired() bool { return l.watchdog != nil && l.watchdog.expired.Load() }
