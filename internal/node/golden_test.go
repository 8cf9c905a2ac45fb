package node_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/local"
	"github.com/damaskshelf/damaskshelf/internal/standin/cluster"
)

var update = flag.Bool("update", false, "overwrite the golden files with the results")

const goldenExchange = "testdata/exchange.golden"

// decisionLog is a writer that keeps the decision lines of request golden-1 and drops all other lines of the log.
type decisionLog struct {
	mu  sync.Mutex
	buf bytes.Buffer // guarded by mu
}

// Write implements io.Writer.
func (l *decisionLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range strings.SplitAfter(string(p), "\n") {
		if strings.Contains(line, ".decision: ") && strings.Contains(line, "golden-1") {
			l.buf.WriteString(line)
		}
	}
	return len(p), nil
}

// String returns the lines that were kept.
func (l *decisionLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// durations matches the durations in decision lines. They depend on the machine; everything else is fixed.
var durations = regexp.MustCompile(`(=)[0-9.]+(ns|µs|ms|s|m[0-9.]+s)\b`)

// canonicalLines returns one line for each token of an event. How many tokens share an event depends on the machine's
// speed, so events can't be compared as they are.
func canonicalLines(t *testing.T, line string) string {
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok || data == "[DONE]" {
		return line + "\n"
	}
	var e struct {
		ID      string
		Model   string
		Choices []struct {
			Text         string
			FinishReason *string `json:"finish_reason"`
		}
		Usage json.RawMessage
	}
	if err := json.Unmarshal([]byte(data), &e); err != nil || len(e.Choices) != 1 {
		t.Fatalf("event %q: %v", data, err)
	}
	var b strings.Builder
	for _, token := range strings.Fields(e.Choices[0].Text) {
		fmt.Fprintf(&b, "%s %s token %s\n", e.ID, e.Model, token)
	}
	if f := e.Choices[0].FinishReason; f != nil {
		fmt.Fprintf(&b, "%s %s finish %s usage %s\n", e.ID, e.Model, *f, e.Usage)
	}
	return b.String()
}

// TestGoldenExchange compares one exchange with a golden file: the prompt, the streamed answer and the decision lines.
func TestGoldenExchange(t *testing.T) {
	is := is.New(t)
	log := &decisionLog{}
	var ids atomic.Int64
	f, err := local.Start(local.Config{
		Instances: 1,
		Log:       hclog.New(&hclog.LoggerOptions{Output: log, DisableTime: true}),
		NewID:     func() string { return fmt.Sprint("id-", ids.Add(1)) },
		Intent:    api.Intent{Models: []api.Model{{Name: model, Version: cluster.ModelVersion, Replicas: 1, Floor: 1}}},
		Cluster: cluster.Config{
			Domains: []string{"north"}, Region: "plains", EnginesPerDomain: 1, Models: []string{model},
			TimeScale: 20, Seed: 1,
		},
	})
	is.NoErr(err)
	defer f.Close()
	const body = `{"model":"guide","prompt":"How thick is the ice?","max_tokens":3,"stream":true}`
	req, err := http.NewRequest(http.MethodPost, "http://"+f.Nodes[0].CallersAddr()+"/v1/completions", strings.NewReader(body))
	is.NoErr(err)
	req.Header.Set("X-Request-Id", "golden-1")
	req.Header.Set("X-Workspace", "anglers")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()

	var b strings.Builder
	fmt.Fprintf(&b, "POST /v1/completions\n%s\n\n%d %s run=%s id=%s\n", body, resp.StatusCode,
		resp.Header.Get("Content-Type"), resp.Header.Get("X-Run"), resp.Header.Get("X-Request-Id"))
	s := bufio.NewScanner(resp.Body)
	for s.Scan() {
		if s.Text() == "" {
			continue // ends an event
		}
		b.WriteString(canonicalLines(t, s.Text()))
	}
	is.NoErr(s.Err())
	is.NoErr(f.Nodes[0].Stop())
	b.WriteString(durations.ReplaceAllString(log.String(), "${1}TIME"))
	if *update {
		is.NoErr(os.WriteFile(goldenExchange, []byte(b.String()), 0o644))
	}
	want, err := os.ReadFile(goldenExchange)
	is.NoErr(err)
	is.Equal(b.String(), string(want))
}
