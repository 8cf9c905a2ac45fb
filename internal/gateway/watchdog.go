package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/crash"
	"github.com/damaskshelf/damaskshelf/internal/silence"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
)

// errOverdue ends a send whose upstream has been silent for too long.
var errOverdue = errors.New("upstream is silent: its answer is overdue")

// silenceShare is the fraction of the caller's silence tolerance after which the watchdog ends a silent stream. The
// remaining time must suffice to resume the stream on another upstream.
const silenceShare = 0.5

// checksPerWait is how often a wait for an upstream is checked.
const checksPerWait = 8

// watchdog ends a send when its upstream falls silent, so that the request goes to another one. It guards against a
// lost answer, or a connection that stays silent while the upstream serves others. Without it, the caller waits
// until it gives up, and the request is lost although other upstreams would serve it. It runs only for requests that
// may be repeated.
type watchdog struct {
	requestCtx context.Context
	cancel     context.CancelCauseFunc                                       // ends the send
	take       func() (giveBack func(), ok bool)                             // consumes the retry with which the request goes on elsewhere
	place      func(ctx context.Context, lastEvent time.Time) (Grant, error) // asks for the place where it goes on
	unread     upstream.Unread                                               // on the connection of the send

	mu      sync.Mutex
	timer   *time.Timer   // guarded by mu: of the next check
	wait    *silence.Wait // guarded by mu: for the upstream
	pinned  bool          // guarded by mu: no other upstream can go on with what this one has sent
	stopped bool          // guarded by mu: the send has ended
	expired bool          // guarded by mu: the watchdog has ended the send
	// lastEvent is when the last event of a stream arrived; zero: none has.
	lastEvent time.Time          // guarded by mu
	stopAsk   context.CancelFunc // guarded by mu: ends the question for a place; nil: none is open
	next      *nextSend          // guarded by mu; nil: the watchdog has not ended the send, or another one has it
	// lateBy and unreadBytes are how late the watchdog ended the send, and what lay unread then.
	lateBy      time.Duration // guarded by mu
	unreadBytes int           // guarded by mu
}

// startWatchdog starts the watchdog of the next send and returns the context of that send. Without a watchdog that is
// the request's own context. No watchdog is started if it is unknown when the answer is overdue, if the request must
// not be repeated, or if this is its last send.
func (l *lifecycle) startWatchdog() context.Context {
	l.watchdog = nil
	timeout := l.grant.AnswerTimeout()
	if timeout == 0 || !l.r.route.Repeatable() || l.isLastSend() {
		return l.ctx
	}
	ctx, cancel := context.WithCancelCause(l.ctx)
	now := time.Now()
	attempt, avoid := l.attempts+2, append(slices.Clone(l.avoid), l.grant.Upstream().ID) // of the send after this one
	w := &watchdog{
		requestCtx: l.ctx,
		cancel:     cancel,
		take:       func() (func(), bool) { return l.g.deps.RetryBudget.Take(l.r.service) },
		place: func(ctx context.Context, lastEvent time.Time) (Grant, error) {
			return l.g.deps.Placer.Place(ctx, l.r.placementRequest(time.Now(), lastEvent, attempt, avoid))
		},
		wait: silence.NewWait(now, timeout, time.Duration(float64(l.r.silenceTolerance())*silenceShare), checksPerWait),
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.wait.NextCheck().Sub(now), w.check)
	l.watchdog = w
	return ctx
}

// check asks for another place if the upstream is silent and another send can follow and is paid for. The send is ended only
// once that place is granted, because its answer may still arrive. Many sends are often found silent at one moment, and neither
// the budget nor the places suffice for all.
func (w *watchdog) check() {
	defer crash.Report("watchdog of answer")
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	now := time.Now()
	if w.wait.Check(now, w.hasUnread) {
		if w.ask() {
			return // goOn schedules the next check
		}
		w.wait.Extend(now)
	}
	w.timer.Reset(w.wait.NextCheck().Sub(now))
}

// ask takes the retry with which the request goes on elsewhere, and asks for its place. It reports whether it did. mu is held.
func (w *watchdog) ask() bool {
	if w.pinned {
		return false
	}
	giveBack, ok := w.take()
	if !ok {
		return false
	}
	ctx, stop := context.WithCancel(w.requestCtx)
	w.stopAsk = stop
	lastEvent := w.lastEvent
	go func() {
		defer crash.Report("question for another place")
		grant, err := w.place(ctx, lastEvent)
		w.goOn(ctx, &nextSend{giveBack: giveBack, grant: grant}, err)
	}()
	return true
}

// goOn ends the send if its question for another place was answered with a grant, and its upstream is still silent.
func (w *watchdog) goOn(ctx context.Context, next *nextSend, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	stillSilent := ctx.Err() == nil && !w.hasUnread()
	w.stopAsk()
	w.stopAsk = nil
	now := time.Now()
	if err == nil && stillSilent && !w.stopped && w.renew(next) {
		w.next = next
		w.expire(now)
		return
	}
	next.drop()
	if !w.stopped {
		w.wait.Extend(now)
		w.timer.Reset(w.wait.NextCheck().Sub(now))
	}
}

// renew takes the retry again at the time at which its send follows. The place may have been granted seconds later, and the budget
// counts by time. It reports whether the budget still allows it.
func (w *watchdog) renew(next *nextSend) bool {
	next.giveBack()
	giveBack, ok := w.take()
	if !ok {
		giveBack = func() {}
	}
	next.giveBack = giveBack
	return ok
}

// endQuestion ends the question for another place, if one is open. mu is held.
func (w *watchdog) endQuestion() {
	if w.stopAsk != nil {
		w.stopAsk()
	}
}

// hasUnread reports whether something has arrived that nobody has read. mu is held.
func (w *watchdog) hasUnread() bool {
	_, waiting := w.unread.Look()
	return waiting
}

// expire ends the send. mu is held.
func (w *watchdog) expire(now time.Time) {
	w.expired = true
	w.lateBy = now.Sub(w.wait.Due())
	w.unreadBytes, _ = w.unread.Look()
	w.cancel(errOverdue)
}

// onEvent records that an event arrived, and whether another upstream could go on after it.
func (w *watchdog) onEvent(now time.Time, resumable bool) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wait.Event(now)
	w.lastEvent, w.pinned = now, !resumable
	w.endQuestion()
}

// update changes what is known of the upstream's silence.
func (w *watchdog) update(change func(wait *silence.Wait, now time.Time)) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	change(w.wait, time.Now())
}

// fields returns what is logged of a send that the watchdog ended.
func (w *watchdog) fields() []any {
	if !w.hasExpired() {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return []any{"late_ms", w.lateBy.Milliseconds(), "unread_bytes", w.unreadBytes, "absent_ms", w.wait.Absent().Milliseconds()}
}

// stop stops the watchdog of a send that has ended. If the watchdog has ended it, stop returns, once, what was obtained for the
// next send.
func (w *watchdog) stop() *nextSend {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	w.cancel(nil)
	w.endQuestion()
	next := w.next
	w.next = nil
	return next
}

// hasExpired reports whether the send was ended because its upstream was silent.
func (w *watchdog) hasExpired() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.expired
}

// unreadOf returns what shows a watchdog what has arrived, or nil without a watchdog.
func unreadOf(w *watchdog) *upstream.Unread {
	if w == nil {
		return nil
	}
	return &w.unread
}

// watchedBody reads the body of the open answer and tells the watchdog, if there is one, while it listens.
type watchedBody struct{ l *lifecycle }

// Read implements io.Reader.
func (b watchedBody) Read(p []byte) (int, error) {
	w := b.l.watchdog
	w.update(func(wait *silence.Wait, _ time.Time) { wait.Listen(true) })
	n, err := b.l.exchange.Read(p)
	w.update(func(wait *silence.Wait, now time.Time) {
		wait.Listen(false)
		if n > 0 {
			wait.Part(now)
			w.endQuestion()
		}
	})
	return n, err
}
