package upstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// maxLineBytes bounds one line of a stream.
const maxLineBytes = 1 << 20

// dataPrefix begins the lines of an event that hold its data.
var dataPrefix = []byte("data:")

// partReader reads the parts of a completion from a stream of server-sent events.
type partReader struct {
	scanner      *bufio.Scanner
	doneMarkSeen bool // the stream's last event arrived
}

// newPartReader returns a partReader that reads from r.
func newPartReader(r io.Reader) *partReader {
	e := &partReader{scanner: bufio.NewScanner(r)}
	e.scanner.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	return e
}

// next returns the next part. It skips comments, empty lines and other fields of an event. It returns io.EOF only
// after the stream's last event, and io.ErrUnexpectedEOF for a stream that ends before it.
func (e *partReader) next() (wire.Part, error) {
	for e.scanner.Scan() {
		data, ok := bytes.CutPrefix(e.scanner.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == wire.DoneMark {
			e.doneMarkSeen = true
			continue
		}
		var p wire.Part
		if err := json.Unmarshal(data, &p); err != nil {
			return wire.Part{}, fmt.Errorf("decode part: %w", err)
		}
		return p, nil
	}
	switch err := e.scanner.Err(); {
	case err != nil:
		return wire.Part{}, err
	case !e.doneMarkSeen:
		return wire.Part{}, io.ErrUnexpectedEOF
	default:
		return wire.Part{}, io.EOF
	}
}
