package gateway

import (
	"cmp"
	"context"
	"errors"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide/quarantine"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
)

// Bounds on the rest of a rejection, which is read only to keep its connection.
const (
	maxRejectionBytes = 64 << 10
	rejectionTimeout  = 50 * time.Millisecond
)

// failure describes a send that failed.
type failure struct {
	outcome Outcome   // for the grant
	ran     fault.Run // whether this send may have run
	cause   error
	framing upstream.Framing // of the answer that broke off
	noRetry string           // why no other send may follow; empty: nothing known
	atFault fleet.UpstreamID // empty: the upstream that the request was sent to
	ended   bool             // the process of the upstream that the request was sent to has ended
}

// placementFault returns the caller's answer to a refusal by the placer. If an earlier send may have run, the answer
// keeps that run outcome.
func (l *lifecycle) placementFault(err error) *fault.Error {
	f := fault.From(err)
	if l.ctx.Err() != nil && (f.Kind != fault.Infeasible || l.isStopped()) {
		return l.timeoutFault()
	}
	if l.ran == fault.RunNo {
		return f
	}
	return fault.NewWithRun(fault.UpstreamFailed, l.ran, "no other upstream: %v", f)
}

// isStopped reports whether the request was ended by the end of this instance's stop.
func (l *lifecycle) isStopped() bool { return errors.Is(context.Cause(l.ctx), errStopped) }

// timeoutFault returns the answer for a request whose caller went away, or whose time or whose instance's stop ended.
func (l *lifecycle) timeoutFault() *fault.Error {
	switch {
	case l.isStopped() && l.ran == fault.RunNo:
		return fault.New(fault.Stopping, "%v", errStopped)
	case l.isStopped():
		return fault.NewWithRun(fault.Stopped, l.ran, "%v", errStopped)
	}
	if errors.Is(context.Cause(l.ctx), errCallerGone) {
		return fault.NewWithRun(fault.CallerGone, l.ran, "%v", errCallerGone)
	}
	if l.ran == fault.RunNo {
		return fault.New(fault.Infeasible, "time ran out before an upstream ran the request")
	}
	return fault.NewWithRun(fault.DeadlineExceeded, l.ran, "time ran out")
}

// refusal returns a fault of kind k, or UpstreamFailed if an earlier send may have run.
func (l *lifecycle) refusal(k fault.Kind, format string, args ...any) *fault.Error {
	if l.ran == fault.RunNo {
		return fault.New(k, format, args...)
	}
	return fault.NewWithRun(fault.UpstreamFailed, l.ran, format, args...)
}

// ended reports whether the caller went away or the request's time ran out. The connection's own deadline can end a
// read just before the context's deadline does; both cases get the same answer.
func (l *lifecycle) ended() bool {
	return l.ctx.Err() != nil || time.Until(l.r.deadline) < minTimeLeft
}

// classify sets the outcome or cause of a failure whose read error doesn't show why the send ended. A read fails in the
// same way when the caller went away, when the request's time ran out, and when the watchdog ended the send.
func (l *lifecycle) classify(f *failure) {
	switch {
	case l.ended():
		f.outcome = Abandoned
	case l.watchdog.hasExpired():
		f.cause = errOverdue
	}
}

// checkPath changes the outcome of a send that ended in silence or with a reset if this instance's path to the upstream is
// at fault, or the instance via that the send went through. Taken for a failure of the upstream, it would keep the
// upstream from all instances, and one that is cut off loses requests on every upstream.
func (l *lifecycle) checkPath(f *failure, via fleet.InstanceID) {
	switch {
	case f.outcome != Failed || !endsPath(f.cause):
	case via != "" || l.g.deps.Client.PathLost(l.ctx, l.grant.Upstream().Addr):
		f.outcome = PathLost
	}
}

// checkEnded records whether the send failed because the upstream's process has ended, of which the request may be the cause.
func (l *lifecycle) checkEnded(f *failure) {
	answeredFor := l.answeredFor() // the check below takes time
	brokeOff := f.outcome == Failed && (upstream.BrokeOff(f.cause) || errors.Is(f.cause, errNoEvent))
	f.ended = brokeOff && l.g.deps.Client.Refuses(l.ctx, l.grant.Upstream().Addr)
	if !f.ended {
		return
	}
	l.endedUpstreams++
	f.outcome = UpstreamEnded
	if answeredFor >= quarantine.ProvenAfter {
		f.outcome = UpstreamEndedLate
	}
}

// answeredFor returns how long the current send's answer has gone on, 0 if it has not begun.
func (l *lifecycle) answeredFor() time.Duration {
	if l.firstEventAt.IsZero() {
		return 0
	}
	return time.Since(l.firstEventAt)
}

// endsPath reports whether a send can have ended with this error because the network path failed.
func endsPath(err error) bool {
	return errors.Is(err, errOverdue) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ETIMEDOUT) ||
		errors.Is(err, os.ErrDeadlineExceeded)
}

// closeExchange closes the exchange and releases the grant after a failure.
func (l *lifecycle) closeExchange(f *failure) {
	if l.exchange != nil {
		if l.answer.NotRun {
			// The body of a rejection is short. Reading it allows the connection to be used again.
			l.exchange.Discard(maxRejectionBytes, rejectionTimeout)
		}
		l.exchange.Close()
		l.exchange = nil
	}
	l.releaseFailed(f)
}

// releaseFailed releases the grant after a failure and records whether the request may have run.
func (l *lifecycle) releaseFailed(f *failure) {
	l.releaseGrant(f.outcome, f.atFault)
	if f.ran != fault.RunNo {
		l.ran = max(l.ran, f.ran)
	}
}

// decideRetry reports whether the request is sent to another upstream, and logs the decision. A retry excludes the
// upstream at fault.
func (l *lifecycle) decideRetry(f *failure) bool {
	u := l.grant.Upstream()
	retry, why := l.canRetry(f)
	reason := reasonNoRetry
	if retry {
		reason = reasonRetry
		l.avoid = append(l.avoid, cmp.Or(f.atFault, u.ID))
		if l.exchange != nil { // an error answer that is not passed on
			l.closeExchange(f)
		}
	}
	fields := []any{"upstream", u.ID, "at_fault", f.atFault, "outcome", f.outcome, "ran", f.ran,
		"why", why, "attempts", l.attempts, "cause", f.cause, "framing", f.framing, "upstream_ended", f.ended,
		"content", l.r.keys[0], "parts", strings.Join(l.r.SharedParts, ","), "part_keys", quarantine.Keys(l.r.keys[1:]).String(), "took_ms", time.Since(l.sentAt).Milliseconds(),
		"answered_ms", l.answeredFor().Milliseconds()}
	l.g.deps.Explain.Record("after_failure", l.r.ID, reason, append(fields, l.watchdog.fields()...)...)
	return retry
}

// canRetry reports whether a retry is allowed, and the reason.
func (l *lifecycle) canRetry(f *failure) (bool, string) {
	switch {
	case l.ended():
		return false, "no time or caller left"
	case f.noRetry != "":
		return false, f.noRetry
	case errors.Is(f.cause, errBudgetSpent):
		return false, "retry budget is spent"
	case f.ran != fault.RunNo && !l.r.route.Repeatable():
		return false, "may have run and must not run twice"
	case l.endedUpstreams >= quarantine.MaxEnds:
		return false, "upstreams ended under it"
	case l.attempts >= l.r.route.MaxAttempts:
		return false, "attempt limit reached"
	case l.sends >= l.maxSends():
		return false, "send limit reached"
	case l.prepaid == nil && !l.g.deps.RetryBudget.Allows(l.r.service):
		return false, "retry budget is spent"
	default:
		return true, "repeatable"
	}
}

// maxSends returns how many sends the request may have, with those that an upstream rejects.
func (l *lifecycle) maxSends() int { return l.r.route.MaxAttempts + 1 }

// isLastSend reports whether no other send may follow the next one if that may run.
func (l *lifecycle) isLastSend() bool {
	return l.attempts+1 >= l.r.route.MaxAttempts || l.sends+1 >= l.maxSends()
}

// finalFault returns the caller's answer after the last failure. It returns nil if an error answer is still open,
// which is then passed on as the upstream's own.
func (l *lifecycle) finalFault(f *failure) *fault.Error {
	if l.exchange != nil {
		return nil
	}
	switch {
	case l.ended():
		return l.timeoutFault()
	case l.ran == fault.RunNo && upstream.IsShortage(f.cause):
		return fault.New(fault.InstanceFull, "%v", f.cause)
	case l.ran == fault.RunNo:
		return fault.New(fault.UpstreamBusy, "%v", f.cause)
	default:
		return fault.NewWithRun(fault.UpstreamFailed, l.ran, "%v", f.cause)
	}
}

// formatRetryAfter formats a delay in seconds, with fractions.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 2, 64)
}
