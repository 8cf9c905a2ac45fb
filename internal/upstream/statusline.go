package upstream

import (
	"bufio"
	"errors"
	"fmt"
)

// statusLineStart is the length of the shortest beginning of an answer that shows its status.
const statusLineStart = len("HTTP/1.1 200")

// errNoStatus reports bytes that don't begin an answer with a status.
var errNoStatus = errors.New("answer has no status")

// checkStatusLine returns an error unless what arrives next begins an answer with a status from 100 on. The HTTP library takes
// the status 000 for 200. It waits for the first bytes, and leaves a connection that ends before them to the library.
func checkStatusLine(r *bufio.Reader) error {
	if err := skipLineEnds(r); err != nil {
		return nil
	}
	b, err := r.Peek(statusLineStart)
	if err != nil {
		return nil
	}
	if !hasStatus(b) {
		return fmt.Errorf("%w: it begins with %q", errNoStatus, b)
	}
	return nil
}

// hasStatus reports whether b is "HTTP/1.", a digit, a space and a number of three digits from 100 on.
func hasStatus(b []byte) bool {
	return string(b[:7]) == "HTTP/1." && isDigit(b[7]) && b[8] == ' ' &&
		b[9] != '0' && isDigit(b[9]) && isDigit(b[10]) && isDigit(b[11])
}

// isDigit reports whether b is a decimal digit.
func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// skipLineEnds reads the empty lines before an answer, which the HTTP library would skip as well.
func skipLineEnds(r *bufio.Reader) error {
	for {
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
}
