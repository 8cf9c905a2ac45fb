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

// testTimeout limits waits that normally end within milliseconds.
const testTimeout = 20 * time.Second

// eventually waits until cond returns true, and fails the test after testTimeout.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting until " + what)
		}
	}
}

// sum adds up a count over all engines.
func sum(f *local.Fleet, count func(engine.Counters) int) int {
	n := 0
	for _, e := range f.Cluster.Engines {
		n += count(e.Counters())
	}
	return n
}

// endedEarly returns the number of prompts that engines ended before completion: by a cancel call, a closed connection
// or the release of the reservation, whichever came first.
func endedEarly(f *local.Fleet) int {
	return sum(f, func(c engine.Counters) int { return c.Cancelled + c.Released })
}

// sendRaw opens a connection to the first instance, sends text and returns the connection.
func sendRaw(t *testing.T, f *local.Fleet, text string) net.Conn {
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

// completionRequest returns an HTTP request for a completion of a prompt of that many tokens.
func completionRequest(tokens, maxTokens int, stream bool) string {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%t}`, model, strings.Repeat("ice ", tokens), maxTokens, stream)
	return fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Request-Id: gone\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// A caller disconnects during prefill. No write to the caller can fail before the first token, so only the monitoring of
// its connection shows the disconnect. Otherwise the engine would process a prompt whose answer is not delivered.
func TestDisconnectBeforeFirstTokenCancelsPrompt(t *testing.T) {
	f := startFleet(t, 1)
	c := sendRaw(t, f, completionRequest(380_000, 10, false)) // about a second of the engine's time
	eventually(t, "the prompt is on an engine", func() bool {
		return sum(f, func(c engine.Counters) int { return c.InFlight }) == 1
	})
	_ = c.Close()
	eventually(t, "the engine has ended the prompt", func() bool { return endedEarly(f) == 1 })
	eventually(t, "the engine holds no memory for the prompt", func() bool {
		return sum(f, func(c engine.Counters) int { return int(c.HeldTokens) }) == 0
	})
}

// A caller disconnects in the middle of a long streamed answer. The stream on the engine must be canceled too.
func TestDisconnectMidStreamCancelsPrompt(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 1)
	c := sendRaw(t, f, completionRequest(1000, 16_000, true))
	r := bufio.NewReader(c)
	for line := ""; !strings.HasPrefix(line, "data: "); {
		var err error
		line, err = r.ReadString('\n')
		is.NoErr(err)
	}
	_ = c.Close()
	eventually(t, "the engine has ended the prompt", func() bool { return endedEarly(f) == 1 })
}

// Each malformed request is refused with an error that names the problem, and no upstream runs anything.
func TestBadRequestErrorNamesTheProblem(t *testing.T) {
	f := startFleet(t, 1)
	base := "http://" + f.Nodes[0].CallersAddr()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	validBody := `{"model":"guide","prompt":"x"}`
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
		{"two times", "/v1/completions", validBody, []string{"X-Request-Timeout: 1s", "X-Request-Deadline: 2030-01-01T00:00:00Z"}, 400, "bad_request", "contradict"},
		{"bad timeout", "/v1/completions", validBody, []string{"X-Request-Timeout: soon"}, 400, "bad_request", "soon"},
		{"timeout twice", "/v1/completions", validBody, []string{"X-Request-Timeout: 1s", "X-Request-Timeout: 2s"}, 400, "bad_request", "2 times"},
		{"bad priority", "/v1/completions", validBody, []string{"X-Priority: 11"}, 400, "bad_request", "11"},
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

// A body or a header over the listener's limit is refused with a status, not by a closed connection.
func TestCallersListenerLimits(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 1)
	statusLine := func(text string) string {
		b, err := bufio.NewReader(sendRaw(t, f, text)).ReadString('\n')
		is.NoErr(err)
		return b
	}
	oversizedBody := "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 999999999\r\n\r\n"
	is.True(strings.Contains(statusLine(oversizedBody), "413"))
	oversizedHeader := "GET /healthz HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("a", 64<<10) + "\r\n\r\n"
	is.True(strings.Contains(statusLine(oversizedHeader), "400"))
}

// A caller sends half of its request and then nothing more. When the time for a whole request (limits.header_timeout)
// is over, the caller receives status 408, its connection is closed, and no engine has run the prompt.
func TestIncompleteRequestTimesOutWith408(t *testing.T) {
	is := is.New(t)
	f := startWithSettings(t, 1, func(s *api.Settings) { s.Limits.HeaderTimeout = api.Duration(100 * time.Millisecond) })
	request := completionRequest(1000, 5, false)
	c := sendRaw(t, f, request[:len(request)/2])
	answer, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(answer), "HTTP/1.1 408"))
	is.True(strings.Contains(string(answer), `"error":"slow_caller"`))
	is.True(strings.Contains(string(answer), `"run":"no"`))
	is.Equal(sum(f, func(c engine.Counters) int { return len(c.Runs) }), 0)
}
