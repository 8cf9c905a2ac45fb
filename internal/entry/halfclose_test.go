package entry_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/entry/intake"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Guards against an empty success for a prompt whose caller closed only its sending half, at any moment.
func TestHalfClosedCallerGetsNoEmptySuccess(t *testing.T) {
	b := startFleet(t)
	addr := b.booking(0, "", false).Addr
	for _, pause := range []time.Duration{0, 5 * time.Millisecond, 30 * time.Millisecond} {
		is := is.New(t)
		c, err := net.Dial("tcp", addr)
		is.NoErr(err)
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		body := fmt.Sprintf(`{"model":%q,"prompt":"ask","max_tokens":400}`, model)
		_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", wire.PathCompletions, len(body), body)
		is.NoErr(err)
		time.Sleep(pause)
		is.NoErr(c.(*net.TCPConn).CloseWrite())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		raw, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		var f intake.Failure
		is.NoErr(json.Unmarshal(raw, &f))
		is.Equal(resp.StatusCode, 502)
		is.Equal(f.Error, "caller_gone")
		is.Equal(resp.Header.Get(wire.HeaderRun), f.Run)
		_ = c.Close()
	}
}
