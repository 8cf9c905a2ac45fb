package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/silence"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
	"github.com/damaskshelf/damaskshelf/internal/wait"
)

const (
	// maxPlainBytes bounds a plain answer, which is buffered until it is complete.
	maxPlainBytes = 16 << 20
	// maxUnusableGrants bounds how often a request releases a grant that turns out unusable, without a send, and asks
	// for another one.
	maxUnusableGrants = 8
	// trustTimeout bounds the wait until the instance is trusted again after a pause. That takes one answer of the
	// store, or two heartbeats of the dispatcher.
	trustTimeout      = 250 * time.Millisecond
	trustPollInterval = 5 * time.Millisecond
	// minTimeLeft is the least time left with which a request is sent. With less, the answer can't arrive in time.
	minTimeLeft = 5 * time.Millisecond
)

// Reasons of the gateway's decision log lines.
const (
	reasonServed     decide.Reason = "served"
	reasonRefused    decide.Reason = "refused"
	reasonRetry      decide.Reason = "retry"
	reasonResume     decide.Reason = "resume"
	reasonNoRetry    decide.Reason = "no_retry"
	reasonPassedOn   decide.Reason = "passed_on"
	reasonStreamCut  decide.Reason = "stream_cut"
	reasonCallerGone decide.Reason = "caller_gone"
	reasonIndirect   decide.Reason = "indirect" // sent through another instance
)

// lifecycle handles one request from its arrival to the end of its answer.
type lifecycle struct {
	g               *Gateway
	r               *request
	ctx             context.Context    // ends with the caller's connection, at the request's deadline or on Abort
	attempts        int                // upstreams that received the request and did not reject it
	sends           int                // sends that reached an upstream, including rejected ones
	avoid           []fleet.UpstreamID // upstreams excluded from further grants
	grant           Grant              // the current or last one
	reservations    *reservationSet    // of the current send; nil: none
	exchange        *upstream.Exchange // of the current send; nil: none is open
	sentAt          time.Time
	lastEventAt     time.Time     // when the last event of a stream arrived; zero: none yet
	firstEventAt    time.Time     // when the current send's answer, or its first event, arrived; zero: it has not
	endedUpstreams  int           // whose process ended before the request was proven
	firstEventDelay time.Duration // from the request's arrival to the first event; 0: none yet
	longestPause    time.Duration // between two events
	answer          Answer        // of the current send
	watchdog        *watchdog     // of the current send; nil: none was started
	prepaid         *nextSend     // what the watchdog has obtained for the next send; nil: nothing
	ran             fault.Run     // whether any send may have run
	progress        *progress
}

// dispatch sends the request to upstreams until one answers, and leaves the exchange in l.exchange with its head
// read. Otherwise it returns the fault for the caller. lastEventID is the event after which a stream resumes.
func (l *lifecycle) dispatch(lastEventID string) *fault.Error {
	for unusableGrants := 0; ; {
		if !l.awaitTrust() {
			return l.refusal(fault.StaleInstance, "this instance was paused and is catching up")
		}
		l.progress.set(StageWaiting, l.lastUpstream(), l.attempts)
		grant, err := l.place(l.r.placementRequest(time.Now(), l.lastEventAt, l.attempts+1, l.avoid))
		if err != nil {
			return l.placementFault(err)
		}
		l.grant = grant
		unusable := l.unusableReason(grant.Upstream())
		if reason := cmp.Or(unusable, l.unfitReason()); reason != "" {
			grant.Release(NotSent, "")
			if unusable != "" { // the dispatcher's state may be older, so that it would grant the same upstream again
				l.avoid = append(l.avoid, grant.Upstream().ID)
			}
			if unusableGrants++; unusableGrants > maxUnusableGrants || l.ctx.Err() != nil {
				return l.refusal(fault.NoUpstream, "place is not usable: %s", reason)
			}
			continue
		}
		f := l.send(lastEventID)
		if f == nil {
			return nil
		}
		if retry := l.decideRetry(f); !retry {
			return l.finalFault(f)
		}
	}
}

// awaitTrust waits until the instance is trusted again after a pause of the process. It returns false if that takes
// too long. Requests that arrive during a pause are all read when it ends, and confirming the instance's state takes
// one or two round trips. A request that may have run can't go to another instance, so that it waits for as long as its
// caller does.
func (l *lifecycle) awaitTrust() bool {
	end := time.Now().Add(trustTimeout)
	if l.ran != fault.RunNo {
		end = l.r.deadline
	}
	return wait.Until(l.ctx, end, trustPollInterval, func() bool { return !l.g.deps.Untrusted() })
}

// unusableReason returns why the upstream must not be used now according to the newest snapshot, or "". The grant
// may be based on an older one.
func (l *lifecycle) unusableReason(u *catalog.Upstream) string {
	snap := l.g.deps.Snapshot()
	current := snap.Upstream(u.ID)
	switch {
	case current == nil:
		return "upstream is gone"
	case current.Leaving:
		return "upstream is leaving"
	case snap.DomainsOut[current.Domain]:
		return "failure domain is out"
	case l.g.deps.HeldOff(current):
		return "upstream wants nothing from here for now"
	case current.Service != l.r.service:
		return "upstream serves another service"
	default:
		return ""
	}
}

// unfitReason returns why this instance must not send the request to any upstream now, or "".
func (l *lifecycle) unfitReason() string {
	switch {
	case l.g.deps.Untrusted():
		return "this instance was paused meanwhile"
	case time.Until(l.r.deadline) < minTimeLeft:
		return "no time left"
	default:
		return ""
	}
}

// send sends the request to the granted upstream once. It returns nil if l.exchange holds an answer to pass on.
func (l *lifecycle) send(lastEventID string) *failure {
	u := l.grant.Upstream()
	giveBack := func() {}
	if l.sends > 0 {
		var ok bool
		if giveBack, ok = l.takeRetry(); !ok {
			l.grant.Release(NotSent, "")
			return &failure{outcome: NotSent, ran: fault.RunNo, cause: errBudgetSpent}
		}
	}
	helpers, f := l.reserveMemory()
	if f != nil {
		giveBack()
		return f
	}
	head := &fasthttp.RequestHeader{}
	l.r.head.CopyTo(head)
	head.SetNoDefaultContentType(true)
	head.DisableSpecialHeader()
	l.sentAt, l.firstEventAt = time.Now(), time.Time{}
	if l.sends == 0 {
		l.g.observeWait(l.r, l.sentAt.Sub(l.r.arrived))
	}
	l.g.deps.Dialect.WriteRequest(head, l.r.dispatchMeta(u, helpers, l.r.deadline.Sub(l.sentAt), lastEventID))
	l.g.deps.Explain.Record("dispatch", l.r.ID, decide.Reason(l.grant.Reason()), "upstream", u.ID, "attempt", l.attempts+1, "class", l.r.class(), "prompt", l.r.PromptTokens,
		"helpers", len(helpers), "holders", len(l.grant.Reservations()), "waited_ms", l.sentAt.Sub(l.r.arrived).Milliseconds(), "config", l.r.configVersion,
		"entry_revision", objects.FormatVersion(u.Revision))
	l.progress.set(StageSent, u.ID, l.attempts)
	sendCtx := l.startWatchdog()
	x, err := l.g.deps.Client.Forward(sendCtx, upstream.ForwardRequest{
		Addr: u.Addr, Head: head, Body: l.r.body, HasLength: l.r.hasLength, NewConnection: l.r.route.Kind == catalog.NonIdempotent,
		Match: l.matchAnswer, Unread: unreadOf(l.watchdog),
	})
	if err != nil {
		f := l.handleSendError(err)
		if f.ran == fault.RunNo {
			giveBack()
		}
		return f
	}
	l.watchdog.update(func(wait *silence.Wait, _ time.Time) { wait.Listen(false) }) // until the body is read
	l.attempts++
	l.sends++
	l.recordWay(x.Via)
	l.exchange, l.answer = x, l.g.deps.Dialect.ReadAnswer(&x.Head)
	l.observeAnswer(l.answer, l.sentAt)
	return l.checkHead()
}

// observeAnswer processes what an answer states about its upstream. sent is zero if it isn't known which request the
// answer belongs to.
func (l *lifecycle) observeAnswer(a Answer, sent time.Time) {
	u := l.grant.Upstream()
	if a.OtherUpstream { // the answer is about another upstream
		return
	}
	if a.HeaderError != nil {
		l.g.log.Warn("answer header can't be parsed", "upstream", u.ID, "request", l.r.ID, "error", a.HeaderError)
	}
	if a.HasLimit {
		l.g.deps.Metrics.Counter("answers_limited").Inc(1)
	}
	l.g.deps.ObserveAnswer(u, a, sent)
}

// matchAnswer returns which request an answer belongs to. An answer to another one is discarded, after its statements about
// the upstream are processed. Of one that belongs to none, nothing is believed.
func (l *lifecycle) matchAnswer(h *fasthttp.ResponseHeader) upstream.Match {
	if l.g.deps.Dialect.MatchesRequest(h, l.r.ID) {
		return upstream.ThisRequest
	}
	l.g.deps.Metrics.Counter("answers_unrelated").Inc(1)
	a := l.g.deps.Dialect.ReadAnswer(h)
	l.g.log.Warn("upstream sent what isn't the request's answer", "upstream", l.grant.Upstream().ID, "request", l.r.ID,
		"status", h.StatusCode(), "identified", a.Identified)
	if !a.Identified {
		return upstream.NoRequest
	}
	l.observeAnswer(a, time.Time{})
	return upstream.OtherRequest
}

// releaseGrant releases the grant and the memory reserved for it, and stops the watchdog.
func (l *lifecycle) releaseGrant(o Outcome, atFault fleet.UpstreamID) {
	l.stopWatchdog()
	if l.reservations != nil {
		l.reservations.release()
		l.reservations = nil
	}
	l.grant.Release(o, atFault)
}

// handleSendError releases the grant of a send that got no answer. The request has not run if no byte of it was
// sent.
func (l *lifecycle) handleSendError(err error) *failure {
	var ce *upstream.CallError
	f := &failure{outcome: Failed, ran: fault.RunUnknown, cause: err}
	if errors.As(err, &ce) && !ce.Sent {
		f.ran, f.outcome = fault.RunNo, Unreachable
		if errors.Is(err, syscall.ECONNREFUSED) {
			f.outcome = Refused
		}
		if upstream.IsShortage(err) {
			f.outcome, f.noRetry = NotSent, "this instance can't open connections now"
		}
		if l.sends > 0 {
			l.g.deps.Metrics.Counter("retries_unsent").Inc(1)
		}
	} else {
		l.attempts++
		l.sends++
	}
	l.classify(f)
	if ce != nil {
		l.checkPath(f, ce.Via)
		if ce.Sent {
			l.checkEnded(f)
		}
	}
	l.releaseFailed(f)
	return f
}

// recordFirstEvent records that the current send's answer, or its first event, arrived.
func (l *lifecycle) recordFirstEvent() {
	l.firstEventAt = time.Now()
	l.progress.set(StageAnswered, l.grant.Upstream().ID, l.attempts-1)
	l.grant.RecordFirstEvent()
}

// lastUpstream returns the upstream of the last grant, "" if there was none.
func (l *lifecycle) lastUpstream() fleet.UpstreamID {
	if l.grant == nil {
		return ""
	}
	return l.grant.Upstream().ID
}

// recordWay records that the request went through another instance; via is empty if it did not.
func (l *lifecycle) recordWay(via fleet.InstanceID) {
	if via == "" {
		return
	}
	l.grant.RecordIndirect()
	l.g.deps.Explain.Record("path", l.r.ID, reasonIndirect, "upstream", l.grant.Upstream().ID, "via", via, "attempt", l.attempts)
}

// checkHead returns a failure if an answer's head shows that the send failed, and nil if the answer is passed on. It
// closes the exchange of a failed send. The exchange of a server error stays open, because this answer is passed on if
// no retry is allowed.
func (l *lifecycle) checkHead() *failure {
	status := l.exchange.Head.StatusCode()
	switch {
	case l.answer.NotRun:
		// The upstream reported that it did not run the request. Another one may.
		l.attempts--
		f := &failure{outcome: Rejected, ran: fault.RunNo, cause: fmt.Errorf("upstream said not run: status %d", status),
			atFault: l.helperByAddr(l.answer.AtFault)}
		if f.atFault != "" {
			f.outcome = Failed // not for lack of room: the upstream at fault did not do its part
		}
		if l.answer.OtherUpstream {
			f.outcome = Replaced
		}
		if l.answer.OtherUpstream && !l.r.VersionRequired {
			l.g.deps.MarkLeaving(l.grant.Upstream(), "another upstream has its address")
		}
		l.closeExchange(f)
		return f
	case l.answer.UnexpectedEncoding:
		f := &failure{outcome: Failed, ran: fault.RunUnknown, cause: errors.New("answer has an encoding that nobody asked for")}
		l.closeExchange(f)
		return f
	case status >= 200 && status < 300 && !l.answer.Sealed:
		f := &failure{outcome: Failed, ran: fault.RunUnknown, cause: fmt.Errorf("answer with status %d isn't sealed", status)}
		l.closeExchange(f)
		return f
	case promisesNotRun(status) && !l.r.route.Repeatable():
		// Callers take the status for the statement that the request did not run, which the upstream did not make.
		f := &failure{outcome: Failed, ran: fault.RunUnknown,
			cause: fmt.Errorf("upstream answered %d and did not say that it had not run the request", status)}
		l.closeExchange(f)
		return f
	case status >= 500 && l.r.route.Repeatable():
		f := &failure{outcome: Failed, ran: fault.RunYes, cause: fmt.Errorf("upstream answered %d", status)}
		return f
	default:
		return nil
	}
}

// promisesNotRun reports whether callers take an answer with this status for the statement that the request did not run and
// never will.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// helperByAddr returns the engine of the service at an address that an answer names as at fault. It returns "" if
// the address is empty, belongs to the granted upstream itself, or is unknown.
func (l *lifecycle) helperByAddr(addr string) fleet.UpstreamID {
	if addr == "" || addr == l.grant.Upstream().Addr {
		return ""
	}
	for _, u := range l.g.deps.Snapshot().Upstreams(l.r.service) {
		if u.Addr == addr {
			return u.ID
		}
	}
	return ""
}
