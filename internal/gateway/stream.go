package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/fault"
)

// errStreamCut ends a caller's stream that can't be finished: the connection closes without the end mark.
var errStreamCut = errors.New("stream can't be finished")

// stream answers a request with a series of events. The head goes out with the first event, so that a
// failure before it is the caller's to see as an answer, or nobody's.
func (l *life) stream(ctx *fasthttp.RequestCtx, done func()) (handed bool, _ *fault.Error) {
	for {
		if f := l.dispatch(l.r.LastEventID); f != nil {
			return false, f
		}
		if status := l.x.Head.StatusCode(); status != fasthttp.StatusOK {
			return false, l.passWhole(ctx)
		}
		s := &relay{l: l, events: newEventReader(l.x), done: done, last: lastID(l.r.LastEventID)}
		first, err := s.events.next()
		if err != nil && err != io.EOF {
			f := l.cut(err)
			if !l.after(f) {
				return false, l.verdict(f)
			}
			continue
		}
		l.grant.RecordFirstEvent()
		l.g.observeFirst(l.r)
		s.take(first, err)
		copyAnswerHead(&ctx.Response.Header, &l.x.Head)
		ctx.Response.SetBodyStream(s, -1)
		return true, nil
	}
}

// passWhole passes an answer that is no stream on.
func (l *life) passWhole(ctx *fasthttp.RequestCtx) *fault.Error {
	body, err := io.ReadAll(io.LimitReader(l.x, maxPlain))
	if err != nil {
		f := l.cut(err)
		l.after(f)
		return l.verdict(f)
	}
	l.pass(ctx, body)
	return nil
}

// cut ends an exchange whose answer broke off.
func (l *life) cut(err error) *failure {
	f := &failure{outcome: Failed, ran: fault.RunYes, cause: err}
	l.blame(f)
	l.drop(f)
	return f
}

// lastID gives the number of the event after which a stream goes on; below zero: from its start.
func lastID(v string) int64 {
	id, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return -1
	}
	return id
}

// relay is the body of a caller's stream: events as they come, each whole, none twice and none left out,
// across the upstreams that they come from. The HTTP server reads it and writes each piece at once.
type relay struct {
	l      *life
	events *eventReader
	done   func()
	out    []byte // due to the caller
	last   int64  // id of the last event taken
	count  int
	end    error
	closed bool
}

// take takes an event, or the stream's end.
func (s *relay) take(e event, err error) {
	if err != nil {
		s.end = err
		return
	}
	if e.hasID {
		if e.id <= s.last {
			return // a resumed stream may begin with what the caller has
		}
		s.last = e.id
	}
	s.count++
	s.l.noteEvent(time.Now())
	s.out = append(s.out, e.raw...)
}

// noteEvent takes when an event came.
func (l *life) noteEvent(now time.Time) {
	if l.lastEvent.IsZero() {
		l.first = now.Sub(l.r.arrived)
	} else {
		l.pause = max(l.pause, now.Sub(l.lastEvent))
	}
	l.lastEvent = now
	l.heard()
}

// Read implements io.Reader.
func (s *relay) Read(p []byte) (int, error) {
	for len(s.out) == 0 && s.end == nil {
		s.take(s.advance())
	}
	for s.end == nil && s.events.pending() {
		s.take(s.advance())
	}
	if len(s.out) > 0 {
		n := copy(p, s.out)
		s.out = s.out[n:]
		return n, nil
	}
	return 0, s.end
}

// advance gives the next event, going on at another upstream when one breaks off.
func (s *relay) advance() (event, error) {
	for {
		e, err := s.events.next()
		if err == nil || err == io.EOF {
			return e, err
		}
		if !s.resume(err) {
			return event{}, errStreamCut
		}
	}
}

// resume goes on after the last event at another upstream, where the route allows it.
func (s *relay) resume(cause error) bool {
	l := s.l
	f := l.cut(cause)
	if !l.after(f) {
		return false
	}
	from := ""
	if s.last >= 0 {
		from = strconv.FormatInt(s.last, 10)
	}
	l.g.deps.Explain.Record("resume", l.r.ID, reasonResume, "after_event", s.last, "events", s.count)
	for {
		if f := l.dispatch(from); f != nil {
			l.g.deps.Explain.Record("resume", l.r.ID, reasonCutStream, "fault", f)
			return false
		}
		if status := l.x.Head.StatusCode(); status != fasthttp.StatusOK {
			f := l.cut(fmt.Errorf("upstream answered %d to a resumed stream", status))
			if l.after(f) {
				continue
			}
			return false
		}
		l.grant.RecordFirstEvent()
		s.events = newEventReader(l.x)
		return true
	}
}

// Close ends the stream; the server calls it once the answer is written or the caller is lost.
func (s *relay) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	l := s.l
	switch {
	case s.end == io.EOF && len(s.out) == 0:
		l.x.Close()
		l.finish(Served, "")
		l.finished(reasonServed, "events", s.count)
	case l.x != nil:
		l.x.Close()
		l.finish(Abandoned, "")
		l.finished(reasonGone, "events", s.count, "cause", l.ctx.Err())
	case errors.Is(context.Cause(l.ctx), errCallerGone):
		l.finished(reasonGone, "events", s.count)
	default:
		l.finished(reasonCutStream, "events", s.count)
	}
	l.g.observe(l.r, time.Since(l.r.arrived))
	s.done()
	return nil
}
