package logsink_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/logsink"
)

// All requests of an instance stop. Whoever collects its log has stopped reading, the pipe is full, and the
// line that a request writes about itself never returns.
func TestAReaderThatStopsHoldsNobodyUp(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe() // a write blocks until it is read
	sink := logsink.New(w)
	log := hclog.New(&hclog.LoggerOptions{Output: sink})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 20_000 {
			log.Info("line", "n", i, "text", strings.Repeat("x", 100))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocks")
	}
	is.True(sink.Dropped() > 0)
	is.NoErr(r.Close())
	sink.Close(time.Second)
}

type slowWriter struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (w *slowWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

func (w *slowWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.String()
}

// Lines come out whole and in order, and what was dropped is counted in a line.
func TestDroppedLinesAreCounted(t *testing.T) {
	is := is.New(t)
	out := &slowWriter{}
	sink := logsink.New(out)
	for i := range 6000 { // over the bound of a second
		_, _ = fmt.Fprintf(sink, "line %d\n", i)
	}
	deadline := time.Now().Add(10 * time.Second)
	for !strings.Contains(out.String(), "lines dropped: count=") {
		if time.Now().After(deadline) {
			t.Fatal("nothing tells of the dropped lines")
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = fmt.Fprintf(sink, "another\n")
	}
	lines := strings.Split(out.String(), "\n")
	is.Equal(lines[0], "line 0")
	is.Equal(lines[1000], "line 1000")
	sink.Close(time.Second)
}
