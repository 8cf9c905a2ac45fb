package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/damaskshelf/damaskshelf/internal/bodyread"
)

// maxEventBytes bounds the bytes of one event that are buffered until it is complete.
const maxEventBytes = 1 << 20

var (
	// errEventTooLong reports that an event exceeds maxEventBytes.
	errEventTooLong = errors.New("event is too long")
	// errPartialEvent reports that a stream ended inside an event. The stream broke off, even if its connection and its
	// framing ended in order.
	errPartialEvent = errors.New("stream ended inside an event")
)

// byteOrderMark may precede a stream's first line.
var byteOrderMark = []byte("\ufeff")

// event is one complete event of a stream, byte for byte.
type event struct {
	raw   []byte // includes the empty line that ends the event; valid until the next call of next
	id    int64  // valid if hasID is set
	hasID bool
	empty bool // there are only comments and empty lines
}

// eventReader splits a stream into complete events. A line ends with LF, CRLF or CR, and an event with an empty line. A
// part of an event is never passed on, because the upstream may stop within the event and another upstream then sends it
// again from its start.
type eventReader struct {
	r       io.Reader
	held    answerBytes // counts what buf takes beyond firstEventBytes
	buf     []byte
	start   int   // offset in buf of the first byte that next has not returned yet
	scanned int   // offset in buf of the first byte that findEvent has not examined yet
	end     int   // offset in buf of the end of the next event; 0: not found yet
	inLine  bool  // the line at scanned has bytes
	afterCR bool  // the byte before scanned is a CR; an LF that follows belongs to the same line end
	begun   bool  // bytes were returned
	readErr error // error or io.EOF of the last read; nil while r may have more
}

// firstEventBytes is the size of the buffer for the first events, in bytes. Most events are far shorter.
const firstEventBytes = 4 << 10

// newEventReader returns an eventReader that reads from r. The bytes of long events are counted as held until close is called.
func newEventReader(r io.Reader, total *heldBytes) *eventReader {
	return &eventReader{r: r, held: answerBytes{total: total}, buf: make([]byte, 0, firstEventBytes)}
}

// close ends the count of held bytes.
func (e *eventReader) close() { e.held.release() }

// next returns the next complete event. It returns io.EOF after the end of a stream that ends between two events, and
// errPartialEvent for one that ends inside an event.
func (e *eventReader) next() (event, error) {
	for !e.findEvent() {
		if e.readErr != nil {
			return e.remainder()
		}
		e.readErr = e.fill()
	}
	return e.take(e.end), nil
}

// remainder returns the comments after the last event of a stream, or the error that ended the stream.
func (e *eventReader) remainder() (event, error) {
	raw := e.buf[e.start:]
	switch {
	case e.readErr != io.EOF || len(raw) == 0:
		return event{}, e.readErr
	case e.inLine && !bytes.Equal(raw, byteOrderMark), !isEmpty(e.text(raw)):
		return event{}, fmt.Errorf("%w, after %d bytes of it", errPartialEvent, len(raw))
	}
	return e.take(len(e.buf)), nil
}

// take returns the bytes up to an offset in buf as an event.
func (e *eventReader) take(end int) event {
	raw := e.buf[e.start:end]
	text := e.text(raw)
	e.start, e.end, e.begun = end, 0, true
	id, ok := eventID(text)
	return event{raw: raw, id: id, hasID: ok, empty: isEmpty(text)}
}

// text returns raw without the mark that may precede the stream's first line.
func (e *eventReader) text(raw []byte) []byte {
	if e.begun {
		return raw
	}
	return bytes.TrimPrefix(raw, byteOrderMark)
}

// hasBufferedEvent reports whether next can return a complete event without reading from the upstream.
func (e *eventReader) hasBufferedEvent() bool { return e.findEvent() }

// findEvent examines the bytes that have arrived, and reports whether they hold a complete event.
func (e *eventReader) findEvent() bool {
	for e.end == 0 && e.scanned < len(e.buf) {
		b := e.buf[e.scanned]
		e.scanned++
		switch {
		case b == '\n' && e.afterCR:
			e.afterCR = false
		case b == '\n' || b == '\r':
			e.afterCR = b == '\r'
			if !e.inLine {
				e.endEvent()
			}
			e.inLine = false
		default:
			e.afterCR, e.inLine = false, true
		}
	}
	return e.end > 0
}

// endEvent ends the event after the byte that was examined last. An LF that belongs to the same line end may arrive later.
// It then precedes the next event, because waiting for it would delay this one.
func (e *eventReader) endEvent() {
	if e.afterCR && e.scanned < len(e.buf) && e.buf[e.scanned] == '\n' {
		e.afterCR = false
		e.scanned++
	}
	e.end = e.scanned
}

// fill reads once into buf, growing it if it is full.
func (e *eventReader) fill() error {
	if e.start > 0 {
		e.buf = e.buf[:copy(e.buf, e.buf[e.start:])]
		e.scanned -= e.start
		e.start = 0
	}
	if len(e.buf) == cap(e.buf) {
		if len(e.buf) >= maxEventBytes {
			return errEventTooLong
		}
		if !e.held.acquire(int64(cap(e.buf))) {
			return bodyread.ErrNoRoom
		}
		grown := make([]byte, len(e.buf), 2*cap(e.buf))
		copy(grown, e.buf)
		e.buf = grown
	}
	n, err := e.r.Read(e.buf[len(e.buf):cap(e.buf)])
	e.buf = e.buf[:len(e.buf)+n]
	return err
}

// nextLine returns the first line of b without its end, and the bytes after it. Of a CRLF, rest begins with the LF, as an
// empty line more.
func nextLine(b []byte) (line, rest []byte) {
	if i := bytes.IndexAny(b, "\r\n"); i >= 0 {
		return b[:i], b[i+1:]
	}
	return b, nil
}

// isEmpty reports whether the lines of b are all empty or comments.
func isEmpty(b []byte) bool {
	for len(b) > 0 {
		var line []byte
		if line, b = nextLine(b); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// eventID returns the event's id and reports whether it has one that is a number.
func eventID(raw []byte) (int64, bool) {
	for len(raw) > 0 {
		var line []byte
		line, raw = nextLine(raw)
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
