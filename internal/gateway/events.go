package gateway

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds the bytes of one event that are buffered until it is complete.
const maxEventBytes = 1 << 20

// errEventTooLong reports that an event exceeds maxEventBytes.
var errEventTooLong = errors.New("event is too long")

// event is one complete event of a stream, byte for byte.
type event struct {
	raw   []byte // includes the empty line that ends the event; valid until the next call of next
	id    int64  // valid if hasID is set
	hasID bool
}

// eventReader splits a stream into complete events. A part of an event is never passed on, because the upstream may
// stop within the event and another upstream then sends it again from its start.
type eventReader struct {
	r       io.Reader
	buf     []byte
	start   int   // offset in buf of the first byte that next has not returned yet
	readErr error // error or io.EOF of the last read; nil while r may have more
	partial int   // bytes after the last complete event; 0 until the stream has ended
}

// newEventReader returns an eventReader that reads from r.
func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: r, buf: make([]byte, 0, 4<<10)}
}

// next returns the next complete event. It returns io.EOF after the regular end of the stream. Bytes after the last
// complete event are returned as an event without an id.
func (e *eventReader) next() (event, error) {
	scanned := e.start
	for {
		if n := eventLength(e.buf[e.start:], scanned-e.start); n > 0 {
			raw := e.buf[e.start : e.start+n]
			e.start += n
			id, ok := eventID(raw)
			return event{raw: raw, id: id, hasID: ok}, nil
		}
		if e.readErr != nil {
			return e.remainder()
		}
		scanned = max(e.start, len(e.buf)-3)
		shift, err := e.fill()
		scanned -= shift
		if err != nil {
			e.readErr = err
		}
	}
}

// remainder returns the bytes that are left at the regular end of the stream, then the error that ended it.
func (e *eventReader) remainder() (event, error) {
	if e.readErr == io.EOF && e.start < len(e.buf) {
		raw := e.buf[e.start:]
		e.partial = len(raw)
		e.start = len(e.buf)
		return event{raw: raw}, nil
	}
	return event{}, e.readErr
}

// hasBufferedEvent reports whether next can return a complete event without reading from the upstream.
func (e *eventReader) hasBufferedEvent() bool { return eventLength(e.buf[e.start:], 0) > 0 }

// fill reads once into buf, growing it if it is full. It returns by how many bytes it moved the buffered data towards
// the start of buf.
func (e *eventReader) fill() (shift int, err error) {
	if e.start > 0 {
		shift = e.start
		e.buf = e.buf[:copy(e.buf, e.buf[e.start:])]
		e.start = 0
	}
	if len(e.buf) == cap(e.buf) {
		if len(e.buf) >= maxEventBytes {
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

// eventLength returns the length of the first event of b, including its empty line, or 0 if the event is incomplete.
// The search begins at from.
func eventLength(b []byte, from int) int {
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

// eventID returns the event's id and reports whether it has one that is a number.
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
