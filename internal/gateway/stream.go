package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/bodyread"
	"github.com/damaskshelf/damaskshelf/internal/crash"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
)

var (
	// errStreamCut ends a caller's stream that can't be completed: the connection closes without the end mark.
	errStreamCut = errors.New("stream can't be finished")
	// errPanicked ends a caller's stream in the same way, after a panic.
	errPanicked = errors.New("reading the stream panicked")
	// errNoEvent reports that a stream that ends with its connection ended before its first event.
	errNoEvent = errors.New("stream ended without an event")
)

// serveStream handles a request whose answer is a stream of events. The head is sent with the first event, so that a
// failure before it is either retried or reported as an error answer. It returns handedOver if the rest of the stream is
// sent after it has returned; done then ends the lifecycle.
func (l *lifecycle) serveStream(ctx *fasthttp.RequestCtx, done func()) (handedOver bool, _ *fault.Error) {
	for {
		if f := l.dispatch(l.r.LastEventID); f != nil {
			return false, f
		}
		if status := l.exchange.Head.StatusCode(); status != fasthttp.StatusOK {
			retry, f := l.passOnNonStream(ctx)
			if retry {
				continue
			}
			return false, f
		}
		s := &streamBody{l: l, events: l.newEventReader(), done: done, lastID: parseLastEventID(l.r.LastEventID)}
		first, err := s.readEvent()
		if err != nil && err != io.EOF {
			s.events.close()
			f := l.endBrokenAnswer(err)
			if !l.decideRetry(f) {
				return false, l.finalFault(f)
			}
			continue
		}
		l.recordFirstEvent()
		l.g.observeFirstEvent(l.r)
		s.accept(first, err)
		copyAnswerHead(&ctx.Response.Header, &l.exchange.Head, l.g.deps.Dialect)
		if ctx.Request.Header.IsHTTP11() {
			ctx.Response.SetBodyStream(s, -1)
		} else {
			s.sendUnframed(ctx)
		}
		return true, nil
	}
}

// passOnNonStream passes on an answer that is not a stream. If the answer broke off, it reports whether to send the request
// again.
func (l *lifecycle) passOnNonStream(ctx *fasthttp.RequestCtx) (retry bool, _ *fault.Error) {
	body, err := l.readPlainAnswer()
	if err == nil {
		l.passOn(ctx, body)
		return false, nil
	}
	f := l.endBrokenAnswer(err)
	if l.decideRetry(f) {
		return true, nil
	}
	return false, l.finalFault(f)
}

// endBrokenAnswer ends an exchange whose answer broke off, and releases the grant.
func (l *lifecycle) endBrokenAnswer(err error) *failure {
	f := &failure{outcome: Failed, ran: fault.RunYes, cause: err, framing: l.exchange.Framing}
	l.classify(f)
	if errors.Is(err, bodyread.ErrNoRoom) {
		f.outcome, f.noRetry = Abandoned, "this instance holds as many bytes as it may"
	}
	l.checkPath(f, l.exchange.Via)
	l.checkEnded(f)
	l.closeExchange(f)
	return f
}

// newEventReader returns a reader of the events of the open answer.
func (l *lifecycle) newEventReader() *eventReader { return newEventReader(watchedBody{l}, &l.g.held) }

// parseLastEventID returns the number of the event after which a stream resumes, or -1 if the stream begins at its
// start.
func parseLastEventID(v string) int64 {
	id, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return -1
	}
	return id
}

// streamBody is the body of a caller's stream. It returns events as they arrive, complete, without duplicates or
// omissions, across the upstreams that send them. The HTTP server reads it and writes each piece at once.
type streamBody struct {
	l          *lifecycle
	events     *eventReader
	done       func() // ends the lifecycle
	buffered   []byte // events that Read has not returned yet
	lastID     int64  // id of the last event that was accepted
	unnumbered bool   // events without an id were accepted after the one with lastID
	eventCount int    // accepted events, without those that are empty
	endErr     error  // io.EOF after the regular end, errStreamCut or errPanicked
	closed     bool
}

// accept buffers an event for the caller, or records the end of the stream.
func (s *streamBody) accept(e event, err error) {
	if err != nil {
		s.endErr = err
		return
	}
	if e.hasID {
		if e.id <= s.lastID {
			return // a resumed stream may begin with events that the caller already has
		}
		s.lastID = e.id
	}
	if !e.empty {
		s.eventCount++
		s.unnumbered = !e.hasID
	}
	s.l.recordEvent(time.Now(), !s.unnumbered)
	s.buffered = append(s.buffered, e.raw...)
}

// recordEvent records when an event arrived and restarts the watchdog's wait. resumable reports whether another upstream could
// go on after the event.
func (l *lifecycle) recordEvent(now time.Time, resumable bool) {
	if l.lastEventAt.IsZero() {
		l.firstEventDelay = now.Sub(l.r.arrived)
	} else {
		l.longestPause = max(l.longestPause, now.Sub(l.lastEventAt))
	}
	l.lastEventAt = now
	l.progress.recordEvent(now)
	l.watchdog.onEvent(now, resumable)
}

// Read returns buffered data. If nothing is buffered, it waits for the next event first. It also buffers the complete
// events that have already arrived.
func (s *streamBody) Read(p []byte) (n int, err error) {
	defer s.recoverPanic(&err)
	for len(s.buffered) == 0 && s.endErr == nil {
		s.accept(s.nextEvent())
	}
	for s.endErr == nil && s.events.hasBufferedEvent() {
		s.accept(s.nextEvent())
	}
	if len(s.buffered) > 0 {
		n := copy(p, s.buffered)
		s.buffered = s.buffered[n:]
		return n, nil
	}
	return 0, s.endErr
}

// recoverPanic ends the stream after a panic, sets *err and logs the panic. Without it, the HTTP server would recover, would
// not close the stream, and would log the panic at debug level only.
func (s *streamBody) recoverPanic(err *error) {
	cause := recover()
	if cause == nil {
		return
	}
	s.l.g.log.Error("panic", "request", s.l.r.ID, "cause", cause, "stack", crash.Stack())
	s.endErr, *err = errPanicked, errPanicked
}

// readEvent returns the next event of the open exchange. It returns io.EOF at the end of a complete stream.
func (s *streamBody) readEvent() (event, error) {
	e, err := s.events.next()
	if err == io.EOF && s.isUnproven() {
		err = errNoEvent
	}
	return e, err
}

// isUnproven reports whether the end of the connection is the only sign that the stream is complete, and the caller has no
// event of it. An upstream that breaks off after the head looks the same.
func (s *streamBody) isUnproven() bool {
	return s.l.exchange.Framing == upstream.FramingConnection && s.eventCount == 0 && s.l.r.LastEventID == ""
}

// nextEvent returns the next event. If a stream breaks off, it resumes on another upstream.
func (s *streamBody) nextEvent() (event, error) {
	for {
		e, err := s.readEvent()
		if err == nil || err == io.EOF {
			return e, err
		}
		if !s.resume(err) {
			return event{}, errStreamCut
		}
	}
}

// resume continues the stream after the last event on another upstream, and reports whether it succeeded. The route
// must allow a retry.
func (s *streamBody) resume(cause error) bool {
	l := s.l
	f := l.endBrokenAnswer(cause)
	if s.unnumbered { // no upstream can be told where to go on, and one that begins elsewhere repeats events
		f.noRetry = "events have no ids"
	}
	if !l.decideRetry(f) {
		return false
	}
	lastEventID := ""
	if s.lastID >= 0 {
		lastEventID = strconv.FormatInt(s.lastID, 10)
	}
	l.g.deps.Explain.Record("resume", l.r.ID, reasonResume, "after_event", s.lastID, "events", s.eventCount)
	for {
		if f := l.dispatch(lastEventID); f != nil {
			l.g.deps.Explain.Record("resume", l.r.ID, reasonStreamCut, "fault", f)
			return false
		}
		if status := l.exchange.Head.StatusCode(); status != fasthttp.StatusOK {
			f := l.endBrokenAnswer(fmt.Errorf("upstream answered %d to a resumed stream", status))
			if l.decideRetry(f) {
				continue
			}
			return false
		}
		l.recordFirstEvent()
		s.events.close()
		s.events = l.newEventReader()
		return true
	}
}

// Close ends the stream. The HTTP server calls it once the answer is written or the caller is gone.
func (s *streamBody) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	s.events.close()
	l := s.l
	switch {
	case s.endErr == io.EOF && len(s.buffered) == 0:
		l.exchange.Close()
		l.releaseGrant(Served, "")
		l.g.deps.Metrics.Counter("streams_served", "framing", l.exchange.Framing.String()).Inc(1)
		l.recordAnswer(reasonServed, "events", s.eventCount, "framing", l.exchange.Framing)
	case s.endErr == errPanicked:
		if l.exchange != nil {
			l.exchange.Close()
			l.releaseGrant(Abandoned, "")
		}
		l.recordAnswer(reasonStreamCut, "events", s.eventCount, "cause", s.endErr)
	case l.exchange != nil:
		l.exchange.Close()
		l.releaseGrant(Abandoned, "")
		l.recordAnswer(reasonCallerGone, "events", s.eventCount, "cause", l.ctx.Err())
	case errors.Is(context.Cause(l.ctx), errCallerGone):
		l.recordAnswer(reasonCallerGone, "events", s.eventCount)
	default:
		l.recordAnswer(reasonStreamCut, "events", s.eventCount)
	}
	l.g.observeAnswerTime(l.r, time.Since(l.r.arrived))
	s.done()
	return nil
}
