package logsink_test

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/logsink"
)

// Guards against requests that block in logging: the reader of the log has stopped reading, the pipe is full, and the
// write of a request's log line doesn't return.
func TestStalledReaderDoesNotBlockLogging(t *testing.T) {
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

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (w *lockedBuffer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

func (w *lockedBuffer) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.String()
}

// Lines are written whole and in order, and the number of dropped lines is reported in a line. In virtual time all lines come
// within one second, however busy the machine is.
func TestDroppedLinesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		buffer := &lockedBuffer{}
		sink := logsink.New(buffer)
		for i := range 6000 { // over the limit of one second
			_, _ = fmt.Fprintf(sink, "line %d\n", i)
		}
		deadline := time.Now().Add(10 * time.Second)
		for !strings.Contains(buffer.String(), "lines dropped: count=") {
			if time.Now().After(deadline) {
				t.Fatal("no line reports the dropped lines")
			}
			time.Sleep(20 * time.Millisecond)
			_, _ = fmt.Fprintf(sink, "another\n")
		}
		lines := strings.Split(buffer.String(), "\n")
		is.Equal(lines[0], "line 0")
		is.Equal(lines[1000], "line 1000")
		sink.Close(time.Second)
	})
}

// brokenWriter passes on writes to w. While broken is set, it writes a part of each line and then fails.
type brokenWriter struct {
	w      io.Writer
	broken atomic.Bool
	part   int    // number of bytes that are written before the failure
	last   string // the line after whose failure broken ends; empty: none
}

// Write implements io.Writer.
func (b *brokenWriter) Write(p []byte) (int, error) {
	if b.broken.Load() {
		n, _ := b.w.Write(p[:min(b.part, len(p))])
		if b.last != "" && strings.Contains(string(p), b.last) {
			b.broken.Store(false)
		}
		return n, syscall.EPIPE
	}
	return b.w.Write(p)
}

// reportedDrops returns the sum of the dropped lines that the log reports.
func reportedDrops(t *testing.T, log string) int {
	t.Helper()
	sum := 0
	for line := range strings.Lines(log) {
		_, count, ok := strings.Cut(line, "lines dropped: count=")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(count))
		if err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		sum += n
	}
	return sum
}

// Guards against lines that are lost without a trace while the log can't be written: they are counted, the count is
// reported once the log can be written again, and a line never follows on a part of another one.
func TestLinesThatCannotBeWrittenAreReportedLater(t *testing.T) {
	const lost = 10
	for name, w := range map[string]*brokenWriter{
		"nothing is written": {}, "a part is written": {part: 5},
		"the log recovers just before the report": {last: fmt.Sprint("unwritten line ", lost)}, // which then has all but the last line
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			buffer := &lockedBuffer{}
			w.w = buffer
			sink := logsink.New(w)
			defer sink.Close(time.Second)
			w.broken.Store(true)
			for i := range lost {
				_, _ = fmt.Fprintf(sink, "unwritten line %d\n", i)
			}
			end := time.Now().Add(10 * time.Second)
			for sink.Dropped() < lost && time.Now().Before(end) {
				time.Sleep(time.Millisecond)
			}
			is.Equal(sink.Dropped(), lost)
			time.Sleep(time.Second) // a report is due, but can't be written
			_, _ = fmt.Fprintf(sink, "unwritten line %d\n", lost)
			for sink.Dropped() < lost+1 && time.Now().Before(end) {
				time.Sleep(time.Millisecond)
			}
			w.broken.Store(false)
			for reportedDrops(t, buffer.String()) < lost+1 {
				if time.Now().After(end) {
					t.Fatalf("the dropped lines are not reported: %q", buffer.String())
				}
				_, _ = fmt.Fprintf(sink, "written line\n")
				time.Sleep(20 * time.Millisecond)
			}
			is.Equal(sink.Dropped(), lost+1)
			is.Equal(reportedDrops(t, buffer.String()), lost+1)
			for line := range strings.Lines(buffer.String()) {
				is.True(!strings.HasPrefix(line, "unwr") || len(line) <= w.part+len("\n")) // a part of a line stands by itself
			}
		})
	}
}
