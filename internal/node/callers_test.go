package node_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/local"
	"github.com/damaskshelf/damaskshelf/internal/standin/engine"
)

// hangGuard bounds waits that end in milliseconds when all is well.
const hangGuard = 20 * time.Second

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(hangGuard); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("never: " + what)
		}
	}
}

func sum(f *local.Fleet, count func(engine.Counters) int) int {
	n := 0
	for _, e := range f.Cluster.Engines {
		n += count(e.Counters())
	}
	return n
}

// ended counts the work that engines ended before its end, by cancel, by a closed connection or by the
// release of its reservation, whichever came first.
func ended(f *local.Fleet) int {
	return sum(f, func(c engine.Counters) int { return c.Cancelled + c.Released })
}

// raw opens a connection to the first instance and sends text.
func raw(t *testing.T, f *local.Fleet, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", f.Nodes[0].CallersAddr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

func completion(tokens, maxTokens int, stream bool) string {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%t}`, model, strings.Repeat("ice ", tokens), maxTokens, stream)
	return fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Request-Id: gone\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// An angler closes the app while its question is still being read by the engine. No write to the caller
// fails before the first token, so without the watch on its connection the engine would go on for nobody.
func TestCallerGoneBeforeTheFirstTokenIsCancelled(t *testing.T) {
	f := start(t, 1)
	c := raw(t, f, completion(380_000, 10, false)) // about a second of the engine's time
	eventually(t, "prompt is on an engine", func() bool {
		return sum(f, func(c engine.Counters) int { return c.InFlight }) == 1
	})
	_ = c.Close()
	eventually(t, "engine has ended it", func() bool { return ended(f) == 1 })
	eventually(t, "engine holds no memory for it", func() bool {
		return sum(f, func(c engine.Counters) int { return int(c.HeldTokens) }) == 0
	})
}

// A guide closes the page in the middle of a long answer: the stream on the engine is cancelled too.
func TestCallerGoneInMidStreamIsCancelled(t *testing.T) {
	is := is.New(t)
	f := start(t, 1)
	c := raw(t, f, completion(1000, 16_000, true))
	r := bufio.NewReader(c)
	for line := ""; !strings.HasPrefix(line, "data: "); {
		var err error
		line, err = r.ReadString('\n')
		is.NoErr(err)
	}
	_ = c.Close()
	eventually(t, "engine has ended it", func() bool { return ended(f) == 1 })
}

// Each malformed request is refused with a clear error that names what is wrong, and nothing runs.
func TestBadRequestsNameWhatIsWrong(t *testing.T) {
	f := start(t, 1)
	base := "http://" + f.Nodes[0].CallersAddr()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ok := `{"model":"guide","prompt":"x"}`
	cases := []struct {
		name, path, body string
		headers          []string // name: value
		status           int
		kind, detail     string
	}{
		{"no JSON", "/v1/completions", "{", nil, 400, "bad_request", "body"},
		{"wrong type", "/v1/completions", `{"model":7}`, nil, 400, "bad_request", "model: a number"},
		{"no model", "/v1/completions", `{"prompt":"x"}`, nil, 400, "bad_request", "model"},
		{"no prompt", "/v1/completions", `{"model":"guide"}`, nil, 400, "bad_request", "prompt"},
		{"max_tokens", "/v1/completions", `{"model":"guide","prompt":"x","max_tokens":-1}`, nil, 400, "bad_request", "max_tokens: -1"},
		{"unknown model", "/v1/completions", `{"model":"nope","prompt":"x"}`, nil, 404, "unknown_model", "nope"},
		{"unknown service", "/services/nope/x", "{}", nil, 404, "unknown_service", "nope"},
		{"no path", "/nowhere", "", nil, 404, "not_found", "/nowhere"},
		{"two times", "/v1/completions", ok, []string{"X-Request-Timeout: 1s", "X-Request-Deadline: 2030-01-01T00:00:00Z"}, 400, "bad_request", "contradict"},
		{"bad timeout", "/v1/completions", ok, []string{"X-Request-Timeout: soon"}, 400, "bad_request", "soon"},
		{"timeout twice", "/v1/completions", ok, []string{"X-Request-Timeout: 1s", "X-Request-Timeout: 2s"}, 400, "bad_request", "2 times"},
		{"bad priority", "/v1/completions", ok, []string{"X-Priority: 11"}, 400, "bad_request", "11"},
		{"bad mark", "/services/bookdesk/bookings", "{}", []string{"X-Idempotent: maybe"}, 400, "bad_request", "maybe"},
		{"mark against key", "/services/bookdesk/bookings", "{}", []string{"X-Idempotent: true", "Idempotency-Key: k"}, 400, "bad_request", "contradicts"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequest(http.MethodPost, base+c.path, strings.NewReader(c.body))
			is.NoErr(err)
			for _, h := range c.headers {
				name, value, _ := strings.Cut(h, ": ")
				req.Header.Add(name, value)
			}
			resp, err := client.Do(req)
			is.NoErr(err)
			defer func() { _ = resp.Body.Close() }()
			var body struct{ Error, Run, Detail, RequestID string }
			is.NoErr(json.NewDecoder(resp.Body).Decode(&body))
			is.Equal(resp.StatusCode, c.status)
			is.Equal(body.Error, c.kind)
			is.Equal(body.Run, "no")
			is.Equal(resp.Header.Get("X-Run"), "no")
			is.True(resp.Header.Get("X-Request-Id") != "")
			is.True(strings.Contains(body.Detail, c.detail))
		})
	}
	is := is.New(t)
	is.Equal(len(f.Cluster.Ledger.Executions()), 0)
	is.Equal(sum(f, func(c engine.Counters) int { return len(c.Runs) }), 0)
}

// Bodies and headers over the listener's limits are refused by name, not by a closed connection.
func TestLimitsOfTheCallersListener(t *testing.T) {
	is := is.New(t)
	f := start(t, 1)
	answer := func(text string) string {
		b, err := bufio.NewReader(raw(t, f, text)).ReadString('\n')
		is.NoErr(err)
		return b
	}
	huge := "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 999999999\r\n\r\n"
	is.True(strings.Contains(answer(huge), "413"))
	long := "GET /healthz HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("a", 64<<10) + "\r\n\r\n"
	is.True(strings.Contains(answer(long), "400"))
}

// A caller sends half of its request and then nothing more. It is told so once the time for a whole request is
// over, its connection is closed, and nothing of it ran.
func TestSlowCallerIsToldSo(t *testing.T) {
	is := is.New(t)
	f := startTuned(t, 1, func(s *api.Settings) { s.Limits.HeaderTimeout = api.Duration(100 * time.Millisecond) })
	whole := completion(1000, 5, false)
	c := raw(t, f, whole[:len(whole)/2])
	answer, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(answer), "HTTP/1.1 408"))
	is.True(strings.Contains(string(answer), `"error":"slow_caller"`))
	is.True(strings.Contains(string(answer), `"run":"no"`))
	is.Equal(sum(f, func(c engine.Counters) int { return len(c.Runs) }), 0)
}
