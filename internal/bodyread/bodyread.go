// Package bodyread reads bodies of unknown length in growing steps that are announced before memory is taken for them.
package bodyread

import (
	"errors"
	"io"
)

// Errors of InSteps.
var (
	// ErrTooLong reports that a body exceeds its limit.
	ErrTooLong = errors.New("body is too long")
	// ErrNoRoom reports that a body doesn't fit under the limit of bytes held.
	ErrNoRoom = errors.New("the instance holds as many bytes as it may")
)

// InSteps reads a body of at most limit bytes. It calls hold before it reads more bytes than it has announced so far, first
// with firstStep, and returns ErrNoRoom if hold returns false, ErrTooLong, or the error of stream.
func InSteps(stream io.Reader, firstStep, limit int, hold func(step int64) bool) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			step := max(firstStep, len(body))
			if !hold(int64(step)) {
				return nil, ErrNoRoom
			}
			grown := make([]byte, len(body), len(body)+step)
			copy(grown, body)
			body = grown
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, ErrTooLong
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}
