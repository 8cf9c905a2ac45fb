// Package httphead checks the heads of HTTP responses before a lenient parser reads them. The HTTP library takes the status 000 for
// 200 and accepts field names with spaces, among them broken names of Content-Length and Transfer-Encoding. A malformed response
// would count as a success, with another body than the one that was sent.
package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed reports a response whose head is not valid HTTP/1.
var ErrMalformed = errors.New("malformed response")

const (
	statusLineStart = len("HTTP/1.1 200") // the shortest beginning of a response that shows its status
	versionLen      = len("HTTP/1.1")
	maxEmptyLines   = 16 // that are skipped before a status line
	maxQuoted       = 64 // bytes of an invalid field name that an error quotes
)

// CheckResponse waits for the head of the next response on r, and for those of interim responses before it, and leaves them unread.
// It returns an error that wraps ErrMalformed if one of them is not valid or doesn't fit in r's buffer, and io.ErrUnexpectedEOF if
// the connection ends in it. Empty lines before the response are skipped.
func CheckResponse(r *bufio.Reader) error {
	if err := skipLineEnds(r); err != nil {
		return err
	}
	lines := lineScanner{r: r}
	for {
		interim, err := checkHead(&lines)
		if err != nil || !interim {
			return err
		}
	}
}

// checkHead checks the head that begins at the next line, and reports whether it is that of an interim response.
func checkHead(lines *lineScanner) (interim bool, _ error) {
	start, err := lines.peek(statusLineStart)
	if err != nil {
		return false, err
	}
	if err := checkStatus(start); err != nil {
		return false, err
	}
	line, err := lines.next()
	if err != nil {
		return false, err
	}
	interim = line[versionLen+1] == '1' && !bytes.HasPrefix(line[versionLen+1:], []byte("101"))
	chunksAllowed := bytes.HasPrefix(line, []byte("HTTP/1.1"))
	for {
		line, err := lines.next()
		if err != nil {
			return false, err
		}
		if len(line) == 0 {
			return interim, nil
		}
		name, err := fieldName(line)
		if err != nil {
			return false, err
		}
		if !chunksAllowed && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return false, fmt.Errorf("%w: field %s in a response of another version than 1.1", ErrMalformed, name)
		}
	}
}

// checkStatus returns an error unless b begins with "HTTP/1.", a digit, a space and a status of three digits from 100 on.
func checkStatus(b []byte) error {
	valid := string(b[:versionLen-1]) == "HTTP/1." && isDigit(b[versionLen-1]) && b[versionLen] == ' ' &&
		b[versionLen+1] != '0' && isDigit(b[versionLen+1]) && isDigit(b[versionLen+2]) && isDigit(b[versionLen+3])
	if !valid {
		return fmt.Errorf("%w: it has no status and begins with %q", ErrMalformed, b[:statusLineStart])
	}
	return nil
}

// isDigit reports whether b is a decimal digit.
func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// fieldName returns the field name in a line, or an error unless the line begins with a valid one and a colon. A line that continues
// the one before it (obs-fold) is not valid either: its first word may be a field name.
func fieldName(line []byte) ([]byte, error) {
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return nil, fmt.Errorf("%w: invalid field name %q", ErrMalformed, name[:min(len(name), maxQuoted)])
	}
	return name, nil
}

// lineScanner returns the lines that lie in a reader's buffer, or arrive, and leaves them unread.
type lineScanner struct {
	r      *bufio.Reader
	offset int // of the next line in the buffer
}

// next returns the next line without its line end. The line is valid until the next call.
func (s *lineScanner) next() ([]byte, error) {
	searched := s.offset
	for {
		b, _ := s.r.Peek(s.r.Buffered())
		if i := bytes.IndexByte(b[searched:], '\n'); i >= 0 {
			line := b[s.offset : searched+i]
			s.offset = searched + i + 1
			return bytes.TrimSuffix(line, []byte("\r")), nil
		}
		searched = len(b)
		if err := s.fill(len(b) + 1); err != nil {
			return nil, err
		}
	}
}

// peek waits for n bytes from the next line on and returns them. They are valid until the next call.
func (s *lineScanner) peek(n int) ([]byte, error) {
	if err := s.fill(s.offset + n); err != nil {
		return nil, err
	}
	b, _ := s.r.Peek(s.offset + n)
	return b[s.offset:], nil
}

// fill waits until the buffer holds n bytes.
func (s *lineScanner) fill(n int) error {
	_, err := s.r.Peek(n)
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return fmt.Errorf("%w: head of more than %d bytes", ErrMalformed, s.r.Size())
	case err == io.EOF && s.r.Buffered() > 0:
		return io.ErrUnexpectedEOF
	default:
		return err
	}
}

// skipLineEnds reads the empty lines before a response.
func skipLineEnds(r *bufio.Reader) error {
	for range 2 * maxEmptyLines {
		b, err := r.Peek(1)
		if err != nil {
			return err
		}
		if b[0] != '\r' && b[0] != '\n' {
			return nil
		}
		if _, err := r.Discard(1); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: more than %d empty lines before it", ErrMalformed, maxEmptyLines)
}
