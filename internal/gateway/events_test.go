package gateway

import (
	"bytes"
	"errors"
	"io"
	"regexp"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
)

// lineRE matches the first line of a text, and its end.
var lineRE = regexp.MustCompile(`^([^\r\n]*)(\r\n|\n|\r|$)`)

// completeEvents returns how many bytes of a stream are complete events, and whether the stream ends between two events.
func completeEvents(raw string) (n int, whole bool) {
	whole = true
	for at := 0; at < len(raw); {
		m := lineRE.FindStringSubmatch(raw[at:])
		line, end := m[1], m[2]
		if at == 0 {
			line = strings.TrimPrefix(line, "\ufeff")
		}
		at += len(m[0])
		switch {
		case m[1] == "":
			n, whole = at, true
		case line != "" && (end == "" || line[0] != ':'):
			whole = false
		}
	}
	return n, whole
}

// readEvents returns the bytes of all events that r yields, and the error that ended them.
func readEvents(r io.Reader) (out []byte, err error) {
	e := newEventReader(r, &newHoldingGateway(0, 0).held)
	for {
		next, err := e.next()
		if err != nil {
			return out, err
		}
		out = append(out, next.raw...)
	}
}

// FuzzEvents checks, whatever an upstream sends and in whichever pieces it arrives, that a stream that ends between two
// events is passed on byte for byte, and that of one that breaks off, in order or not, only complete events are passed on
// and the end is an error.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), false)
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n"), true)
	f.Add([]byte("\n\n\n\r\n\ndata"), true)
	f.Add([]byte("id: 1\rdata: a\r\rid: 2\rdata: b\r"), false)
	f.Add([]byte("\ufeffid: 1\ndata: a\n\n: comment\n"), false)
	f.Add([]byte("\ufeff"), false)
	f.Add([]byte("id: 1\ndata: a\n\n: comm"), false)
	f.Fuzz(func(t *testing.T, raw []byte, broken bool) {
		errBroken := errors.New("broken off")
		n, whole := completeEvents(string(raw))
		for name, pieces := range map[string]func(io.Reader) io.Reader{"bytes": iotest.OneByteReader, "halves": iotest.HalfReader, "at once": iotest.DataErrReader} {
			var r io.Reader = bytes.NewReader(raw)
			if broken {
				r = io.MultiReader(r, iotest.ErrReader(errBroken))
			}
			out, err := readEvents(pieces(r))
			switch {
			case !broken && whole:
				if err != io.EOF || !bytes.Equal(out, raw) {
					t.Fatalf("%s: passed on %q of %q, error %v", name, out, raw, err)
				}
				continue
			case broken && err != errBroken, !broken && !errors.Is(err, errPartialEvent):
				t.Fatalf("%s: error %v at the end of %q", name, err, raw)
			}
			want := raw[:n]
			if cr, ok := bytes.CutSuffix(want, []byte("\r\n")); ok && len(out) == n-1 {
				want = append(cr, '\r') // the LF belongs to a line end that was complete without it
			}
			if !bytes.Equal(out, want) {
				t.Fatalf("%s: passed on %q of %q", name, out, raw)
			}
		}
	})
}

// Guards against an event that reaches the caller only with the next one, because its last line ends with CR alone.
func TestEventsAreCompleteAtEachLineEnd(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		is := is.New(t)
		raw := strings.ReplaceAll("id: 7\ndata: x\n\n", "\n", lineEnd)
		r, w := io.Pipe()
		go func() {
			_, _ = io.WriteString(w, raw)
			time.Sleep(time.Second) // the upstream is silent
			_ = w.CloseWithError(errors.New("nothing more"))
		}()
		e, err := newEventReader(iotest.OneByteReader(r), &newHoldingGateway(0, 0).held).next()
		is.NoErr(err)
		is.Equal(strings.TrimRight(string(e.raw), "\r\n"), strings.TrimRight(raw, "\r\n"))
		is.Equal(e.id, int64(7))
		is.True(!e.empty)
	}
}

func TestEventIDs(t *testing.T) {
	is := is.New(t)
	for raw, want := range map[string]int64{
		"id: 7\ndata: x\n\n": 7, "data: x\nid:8\n\n": 8, "versions: 3\nid: 9\r\n\r\n": 9, "data: x\rid: 10\r\r": 10, "\nid: 11\r\n\r\n": 11,
	} {
		id, ok := eventID([]byte(raw))
		is.True(ok)
		is.Equal(id, want)
	}
	_, ok := eventID([]byte("data: id: 4\n\n"))
	is.True(!ok)
}
