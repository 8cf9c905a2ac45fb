package gateway

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEvent bounds the bytes of one event that are held until it is whole.
const maxEvent = 1 << 20

// errEventTooLong: an event is over maxEvent bytes.
var errEventTooLong = errors.New("event is too long")

// event is one whole event of a stream, byte for byte.
type event struct {
	raw   []byte // with the empty line that ends it; valid until the next call
	id    int64
	hasID bool
}

// eventReader splits a stream into whole events: part of an event is never passed on, since the upstream
// may stop in its middle and another one then sends it whole.
type eventReader struct {
	r    io.Reader
	buf  []byte
	from int // start of what was not given out yet
	end  error
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: r, buf: make([]byte, 0, 4<<10)}
}

// next gives the next whole event. io.EOF comes after the stream's whole end; bytes after the last event
// come as an event without an id.
func (e *eventReader) next() (event, error) {
	scanned := e.from
	for {
		if n := eventEnd(e.buf[e.from:], scanned-e.from); n > 0 {
			raw := e.buf[e.from : e.from+n]
			e.from += n
			id, ok := eventID(raw)
			return event{raw: raw, id: id, hasID: ok}, nil
		}
		if e.end != nil {
			return e.rest()
		}
		scanned = max(e.from, len(e.buf)-3)
		shift, err := e.fill()
		scanned -= shift
		if err != nil {
			e.end = err
		}
	}
}

// rest gives what is left at the stream's end.
func (e *eventReader) rest() (event, error) {
	if e.end == io.EOF && e.from < len(e.buf) {
		raw := e.buf[e.from:]
		e.from = len(e.buf)
		return event{raw: raw}, nil
	}
	return event{}, e.end
}

// pending tells whether another whole event is at hand without reading.
func (e *eventReader) pending() bool { return eventEnd(e.buf[e.from:], 0) > 0 }

// fill reads once, and gives by how much the bytes moved forward.
func (e *eventReader) fill() (shift int, err error) {
	if e.from > 0 {
		shift = e.from
		e.buf = e.buf[:copy(e.buf, e.buf[e.from:])]
		e.from = 0
	}
	if len(e.buf) == cap(e.buf) {
		if len(e.buf) >= maxEvent {
			return shift, errEventTooLong
		}
		grown := make([]byte, len(e.buf), 2*cap(e.buf))
		copy(grown, e.buf)
		e.buf = grown
	}
	n, err := e.r.Read(e.buf[len(e.buf):cap(e.buf)])
	e.buf = e.buf[:len(e.buf)+n]
	return shift, err
}

// eventEnd gives the length of the first event of b, its empty line included; 0 if it isn't whole. The
// search begins at from.
func eventEnd(b []byte, from int) int {
	for i := max(0, from); i < len(b); i++ {
		if b[i] != '\n' {
			continue
		}
		switch {
		case i+1 < len(b) && b[i+1] == '\n':
			return i + 2
		case i+2 < len(b) && b[i+1] == '\r' && b[i+2] == '\n':
			return i + 3
		}
	}
	return 0
}

// eventID gives the event's id where it is a number.
func eventID(raw []byte) (int64, bool) {
	for len(raw) > 0 {
		line := raw
		if i := bytes.IndexByte(raw, '\n'); i >= 0 {
			line, raw = raw[:i], raw[i+1:]
		} else {
			raw = nil
		}
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
