package upstream

import (
	"errors"
	"io"
)

// ReadEvents reads a stream to its end, and tells whether its last event came and how many parts did.
func ReadEvents(r io.Reader) (whole bool, parts int) {
	e := newEvents(r)
	for {
		if _, err := e.next(); err != nil {
			return errors.Is(err, io.EOF), parts
		}
		parts++
	}
}
