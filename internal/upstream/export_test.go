package upstream

import (
	"errors"
	"io"
)

// ReadParts reads a stream to its end. It reports whether the stream's last event arrived, and the number of parts.
func ReadParts(r io.Reader) (complete bool, parts int) {
	e := newPartReader(r)
	for {
		if _, err := e.next(); err != nil {
			return errors.Is(err, io.EOF), parts
		}
		parts++
	}
}
