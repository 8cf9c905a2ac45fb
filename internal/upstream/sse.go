package upstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// maxEvent bounds one line of a stream.
const maxEvent = 1 << 20

var dataPrefix = []byte("data:")

// events reads the parts out of a stream of server-sent events.
type events struct {
	scanner *bufio.Scanner
	ended   bool // the stream's last event came
}

func newEvents(r io.Reader) *events {
	e := &events{scanner: bufio.NewScanner(r)}
	e.scanner.Buffer(make([]byte, 0, 4<<10), maxEvent)
	return e
}

// next gives the next part. Comments, empty lines and other fields of an event are passed over. io.EOF
// comes only after the stream's last event; a stream that ends before it is an io.ErrUnexpectedEOF.
func (e *events) next() (wire.Part, error) {
	for e.scanner.Scan() {
		data, ok := bytes.CutPrefix(e.scanner.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == wire.DoneMark {
			e.ended = true
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
	case !e.ended:
		return wire.Part{}, io.ErrUnexpectedEOF
	default:
		return wire.Part{}, io.EOF
	}
}
