package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// failure is the end of one send.
type failure struct {
	outcome Outcome
	ran     fault.Run
	cause   error
	atFault fleet.UpstreamID // where it isn't the upstream that was sent to
}

// unplaced turns a refusal of the placer into the caller's answer. What ran before stays run.
func (l *life) unplaced(err error) *fault.Error {
	f := fault.From(err)
	if l.ctx.Err() != nil && f.Kind != fault.Infeasible {
		return l.timeUp()
	}
	if l.ran == fault.RunNo {
		return f
	}
	return fault.NewWithRun(fault.UpstreamFailed, l.ran, "no other upstream: %v", f)
}

// timeUp is the answer when the caller went away or the request's time ran out.
func (l *life) timeUp() *fault.Error {
	if errors.Is(context.Cause(l.ctx), errCallerGone) {
		return fault.NewWithRun(fault.CallerGone, l.ran, "caller closed its connection")
	}
	if l.ran == fault.RunNo {
		return fault.New(fault.Infeasible, "time ran out before an upstream ran the request")
	}
	return fault.NewWithRun(fault.DeadlineExceeded, l.ran, "time ran out")
}

func (l *life) refusal(k fault.Kind, format string, args ...any) *fault.Error {
	if l.ran == fault.RunNo {
		return fault.New(k, format, args...)
	}
	return fault.NewWithRun(fault.UpstreamFailed, l.ran, format, args...)
}

// over tells whether the caller went away or the request's time is over. The connection's own deadline can
// wake a read just before the context's does; the caller is told the same in both cases.
func (l *life) over() bool {
	return l.ctx.Err() != nil || time.Until(l.r.deadline) < leastLeft
}

// blame tells an upstream that failed from a caller that left and from one whose answer is overdue: the read of an
// exchange that was ended looks the same in each case.
func (l *life) blame(f *failure) {
	switch {
	case l.over():
		f.outcome = Abandoned
	case l.overdue():
		f.cause = errOverdue
	}
}

// drop ends the exchange and the grant after a failure.
func (l *life) drop(f *failure) {
	if l.x != nil {
		if l.answer.NotRun {
			// The rejection's body is short; reading it keeps the connection.
			_, _ = io.Copy(io.Discard, io.LimitReader(l.x, 64<<10))
		}
		l.x.Close()
		l.x = nil
	}
	l.end(f)
}

// end gives the grant back.
func (l *life) end(f *failure) {
	l.finish(f.outcome, f.atFault)
	if f.ran != fault.RunNo {
		l.ran = max(l.ran, f.ran)
	}
}

// after decides whether the request goes to another upstream.
func (l *life) after(f *failure) bool {
	u := l.grant.Upstream()
	again, why := l.mayRepeat(f)
	reason := reasonNoRetry
	if again {
		reason = reasonRetry
		l.avoid = append(l.avoid, cmp.Or(f.atFault, u.ID))
		if l.x != nil { // an error answer that is not passed on
			l.drop(f)
		}
	}
	l.g.deps.Explain.Record("after_failure", l.r.ID, reason, "upstream", u.ID, "at_fault", f.atFault, "outcome", f.outcome, "ran", f.ran,
		"why", why, "attempts", l.attempts, "cause", f.cause, "took_ms", time.Since(l.sentAt).Milliseconds())
	return again
}

func (l *life) mayRepeat(f *failure) (bool, string) {
	switch {
	case l.over():
		return false, "no time or caller left"
	case errors.Is(f.cause, errBudget):
		return false, "retry budget is spent"
	case f.ran != fault.RunNo && !l.r.route.Repeatable():
		return false, "may have run and must not run twice"
	case l.attempts >= l.r.route.Attempts:
		return false, "attempts are used up"
	case l.arrivals >= l.r.route.Attempts+1:
		return false, "was sent often enough"
	case !l.g.deps.RetryBudget.Allows(l.r.service):
		return false, "retry budget is spent"
	default:
		return true, "repeatable"
	}
}

// verdict is what the caller is told after the last failure. A sealed error answer that is still open is
// passed on as the upstream's own.
func (l *life) verdict(f *failure) *fault.Error {
	if l.x != nil {
		return nil
	}
	switch {
	case l.over():
		return l.timeUp()
	case l.ran == fault.RunNo:
		return fault.New(fault.UpstreamBusy, "%v", f.cause)
	default:
		return fault.NewWithRun(fault.UpstreamFailed, l.ran, "%v", f.cause)
	}
}

// retryAfter writes a wait in seconds, with fractions.
func retryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 2, 64)
}
