package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
	"github.com/damaskshelf/damaskshelf/internal/wait"
)

const (
	// maxPlain bounds a plain answer that is held until it is whole.
	maxPlain = 16 << 20
	// maxBounces bounds how often a place that turns out unusable is given back for another without a send.
	maxBounces = 8
	// proofTime bounds the wait for proof after a pause: a store's answer, or two beats of the dispatcher.
	proofTime = 250 * time.Millisecond
	proofPoll = 5 * time.Millisecond
	// leastLeft is the least time for which a request is sent: under it the answer can't come back.
	leastLeft = 5 * time.Millisecond
)

// Reasons of the gateway's decision lines.
const (
	reasonServed    decide.Reason = "served"
	reasonRefused   decide.Reason = "refused"
	reasonRetry     decide.Reason = "retry"
	reasonResume    decide.Reason = "resume"
	reasonNoRetry   decide.Reason = "no_retry"
	reasonPassed    decide.Reason = "passed_on"
	reasonCutStream decide.Reason = "stream_cut"
	reasonGone      decide.Reason = "caller_gone"
)

// life is one request from its arrival to its answer's end.
type life struct {
	g         *Gateway
	r         *request
	ctx       context.Context // ends with the caller's connection or the request's time
	attempts  int             // upstreams that were sent the request
	arrivals  int             // sends that reached an upstream, rejected ones included
	avoid     []fleet.UpstreamID
	grant     Grant
	held      *reservations // of the current send; nil: none
	x         *upstream.Exchange
	sentAt    time.Time
	lastEvent time.Time     // when the last event of a stream came; zero: none yet
	first     time.Duration // from the arrival to the first event; 0: none yet
	pause     time.Duration // the longest between two events
	answer    Answer
	dog       *watchdog // of the current send; nil: it isn't watched
	ran       fault.Run // whether any send may have run
}

// dispatch finds an upstream that answers, and leaves its exchange in l.x with the head read. The fault is
// what the caller is told otherwise. lastEvent is where a stream goes on.
func (l *life) dispatch(lastEvent string) *fault.Error {
	for bounces := 0; ; {
		if !l.trusted() {
			return l.refusal(fault.StaleInstance, "this instance was paused and is catching up")
		}
		grant, err := l.g.deps.Placer.Place(l.ctx, l.r.ask(time.Now(), l.lastEvent, l.attempts+1, l.avoid))
		if err != nil {
			return l.unplaced(err)
		}
		l.grant = grant
		unusable := l.unusable(grant.Upstream())
		if reason := cmp.Or(unusable, l.unfit()); reason != "" {
			grant.Release(NotSent, "")
			if unusable != "" { // the dispatcher may not know it for a while, and would give the same place again
				l.avoid = append(l.avoid, grant.Upstream().ID)
			}
			if bounces++; bounces > maxBounces || l.ctx.Err() != nil {
				return l.refusal(fault.NoUpstream, "place is not usable: %s", reason)
			}
			continue
		}
		f := l.send(lastEvent)
		if f == nil {
			return nil
		}
		if again := l.after(f); !again {
			return l.verdict(f)
		}
	}
}

// trusted waits, after a pause of the process, until what it knows is proven; false: it wasn't in time.
// Requests that came in during the pause are all read at that moment, and the proof takes a trip or two.
func (l *life) trusted() bool {
	for end := time.Now().Add(proofTime); l.g.deps.Untrusted(); {
		if time.Now().After(end) || !wait.For(l.ctx, proofPoll) {
			return false
		}
	}
	return true
}

// unusable says why the upstream must not be sent to now, by the newest snapshot: the place may have been
// given by older knowledge.
func (l *life) unusable(u *catalog.Upstream) string {
	snap := l.g.deps.Snapshot()
	now := snap.Upstream(u.ID)
	switch {
	case now == nil:
		return "upstream is gone"
	case now.Leaving:
		return "upstream is leaving"
	case snap.Out[now.Domain]:
		return "failure domain is out"
	case l.g.deps.HeldOff(now):
		return "upstream wants nothing from here for now"
	case now.Service != l.r.service:
		return "upstream serves another service"
	default:
		return ""
	}
}

// unfit says why this instance must not send the request now, to whichever upstream.
func (l *life) unfit() string {
	switch {
	case l.g.deps.Untrusted():
		return "this instance was paused meanwhile"
	case time.Until(l.r.deadline) < leastLeft:
		return "no time left"
	default:
		return ""
	}
}

// send sends the request to the granted upstream once. Without a failure, l.x has an answer to pass on.
func (l *life) send(lastEvent string) *failure {
	u := l.grant.Upstream()
	if l.arrivals > 0 && !l.g.deps.RetryBudget.Take(l.r.service) {
		l.grant.Release(NotSent, "")
		return &failure{outcome: NotSent, ran: fault.RunNo, cause: errBudget}
	}
	helpers, f := l.reserve()
	if f != nil {
		return f
	}
	head := &fasthttp.RequestHeader{}
	l.r.head.CopyTo(head)
	head.SetNoDefaultContentType(true)
	l.sentAt = time.Now()
	if l.arrivals == 0 {
		l.g.observeWait(l.r, l.sentAt.Sub(l.r.arrived))
	}
	l.g.deps.Dialect.WriteRequest(head, l.r.send(u, helpers, l.r.deadline.Sub(l.sentAt), lastEvent))
	l.g.deps.Explain.Record("dispatch", l.r.ID, decide.Reason(l.grant.Reason()), "upstream", u.ID, "attempt", l.attempts+1, "class", l.r.class(), "prompt", l.r.PromptTokens,
		"helpers", len(helpers), "holders", len(l.grant.Reservations()), "waited_ms", l.sentAt.Sub(l.r.arrived).Milliseconds(), "config", l.r.version,
		"entry_revision", u.Revision)
	x, err := l.g.deps.Client.Forward(l.watch(), upstream.ForwardRequest{
		Addr: u.Addr, Head: head, Body: l.r.body, NewConnection: l.r.route.Kind == catalog.NonIdempotent,
		MatchesRequest: l.own,
	})
	if err != nil {
		return l.sendFailed(err)
	}
	l.attempts++
	l.arrivals++
	l.x, l.answer = x, l.g.deps.Dialect.ReadAnswer(&x.Head)
	l.note(l.answer, l.sentAt)
	return l.judge()
}

// note takes what an answer says of its upstream beside its status. sent is zero where it isn't known to which request it
// belongs.
func (l *life) note(a Answer, sent time.Time) {
	u := l.grant.Upstream()
	if a.OtherUpstream { // it speaks of another upstream
		return
	}
	if a.HeaderError != nil {
		l.g.log.Warn("answer's header can't be read", "upstream", u.ID, "request", l.r.ID, "error", a.HeaderError)
	}
	if a.HasLimit {
		l.g.deps.Metrics.Counter("answers_limited").Inc(1)
	}
	l.g.deps.ObserveAnswer(u, a, sent)
}

// own tells whether an answer belongs to the request. One that doesn't is dropped, and still tells of its upstream.
func (l *life) own(h *fasthttp.ResponseHeader) bool {
	if l.g.deps.Dialect.MatchesRequest(h, l.r.ID) {
		return true
	}
	l.note(l.g.deps.Dialect.ReadAnswer(h), time.Time{})
	return false
}

// finish gives the grant and the memory reserved for it back.
func (l *life) finish(o Outcome, atFault fleet.UpstreamID) {
	l.unwatch()
	if l.held != nil {
		l.held.release()
		l.held = nil
	}
	l.grant.Release(o, atFault)
}

// sendFailed ends a send without an answer.
func (l *life) sendFailed(err error) *failure {
	var ce *upstream.CallError
	f := &failure{outcome: Failed, ran: fault.RunUnknown, cause: err}
	if errors.As(err, &ce) && !ce.Sent {
		f.ran, f.outcome = fault.RunNo, Unreachable
	} else {
		l.attempts++
		l.arrivals++
	}
	l.blame(f)
	l.end(f)
	return f
}

// judge tells a failure from an answer to pass on, by the answer's head.
func (l *life) judge() *failure {
	status := l.x.Head.StatusCode()
	switch {
	case l.answer.NotRun:
		// The upstream said that it did not run the request: another one may.
		l.attempts--
		f := &failure{outcome: Rejected, ran: fault.RunNo, cause: fmt.Errorf("upstream said not run: status %d", status),
			atFault: l.helperAt(l.answer.AtFault)}
		if f.atFault != "" {
			f.outcome = Failed // not for want of room: the named one could not do its part
		}
		if l.answer.OtherUpstream {
			f.outcome = Replaced
		}
		if l.answer.OtherUpstream && !l.r.VersionRequired {
			l.g.deps.MarkLeaving(l.grant.Upstream(), "another upstream has its address")
		}
		l.drop(f)
		return f
	case l.answer.UnexpectedEncoding:
		f := &failure{outcome: Failed, ran: fault.RunUnknown, cause: errors.New("answer has an encoding that nobody asked for")}
		l.drop(f)
		return f
	case status >= 500 && l.r.route.Repeatable():
		f := &failure{outcome: Failed, ran: fault.RunYes, cause: fmt.Errorf("upstream answered %d", status)}
		return f
	default:
		return nil
	}
}

// helperAt gives the helper or holder at an address, as the answer of the upstream that it was to help names it; empty:
// it is that upstream itself, or none that is known.
func (l *life) helperAt(addr string) fleet.UpstreamID {
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
