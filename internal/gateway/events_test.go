package gateway

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// FuzzEvents checks that a stream that ends regularly is passed on byte for byte, and that only complete events are
// passed on of a stream that breaks off, whatever an upstream sends and in whichever pieces it arrives.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), false)
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n"), true)
	f.Add([]byte("\n\n\n\r\n\ndata"), true)
	f.Fuzz(func(t *testing.T, raw []byte, broken bool) {
		var r io.Reader = bytes.NewReader(raw)
		if broken {
			r = io.MultiReader(r, iotest.ErrReader(errors.New("broken off")))
		}
		e := newEventReader(iotest.OneByteReader(r))
		var out []byte
		var err error
		for err == nil {
			var next event
			if next, err = e.next(); err == nil {
				if broken && eventLength(next.raw, 0) != len(next.raw) {
					t.Fatalf("%q is not a complete event", next.raw)
				}
				out = append(out, next.raw...)
			}
		}
		if !broken && !bytes.Equal(out, raw) {
			t.Fatalf("passed on %q of %q", out, raw)
		}
		if broken && !bytes.HasPrefix(raw, out) {
			t.Fatalf("passed on %q of %q", out, raw)
		}
	})
}

func TestEventIDs(t *testing.T) {
	is := is.New(t)
	for raw, want := range map[string]int64{"id: 7\ndata: x\n\n": 7, "data: x\nid:8\n\n": 8, "versions: 3\nid: 9\r\n\r\n": 9} {
		id, ok := eventID([]byte(raw))
		is.True(ok)
		is.Equal(id, want)
	}
	_, ok := eventID([]byte("data: id: 4\n\n"))
	is.True(!ok)
}
