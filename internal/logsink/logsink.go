// Package logsink writes log lines without blocking the goroutine that logs. If the reader of a pipe stops reading,
// writes to the pipe block. With a synchronous logger every request would then block as well.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedBytes is the maximum size of all queued lines: some seconds of a busy instance's lines.
	maxQueuedBytes = 1 << 20
	// maxLinesPerSecond is the maximum number of lines in one second. A busy instance writes some hundreds; a failure
	// that repeats in a loop would write without limit.
	maxLinesPerSecond = 4000
	// reportInterval is the least time between two lines that report the number of dropped lines.
	reportInterval = time.Second
)

// Sink is an io.Writer that queues whole lines and writes them in the background. It is safe for concurrent use. Lines that
// can't be written, as the reader of a pipe is gone or a disk is full, count as dropped.
type Sink struct {
	out io.Writer // used by run only
	// partial states that the last line was written in part, so that the next one must not follow on it; used by run only.
	partial bool

	mu              sync.Mutex
	queue           [][]byte // guarded by mu
	queuedBytes     int      // guarded by mu
	unreportedDrops int      // guarded by mu: lines dropped since the last report
	totalDropped    int      // guarded by mu: lines dropped since the start
	currentSecond   int64    // guarded by mu: Unix time that linesThisSecond is counted for
	linesThisSecond int      // guarded by mu
	closed          bool     // guarded by mu; Close was called
	wake            chan struct{}
	done            chan struct{}
}

// New returns a Sink that writes to out. Close stops its goroutine.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer. It queues the line or counts it as dropped. It returns no error and doesn't wait for the
// underlying writer.
func (s *Sink) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now != s.currentSecond {
		s.currentSecond, s.linesThisSecond = now, 0
	}
	s.linesThisSecond++
	if s.closed || s.queuedBytes+len(line) > maxQueuedBytes || s.linesThisSecond > maxLinesPerSecond {
		s.unreportedDrops++
		s.totalDropped++
		return len(line), nil
	}
	s.queue = append(s.queue, append([]byte(nil), line...))
	s.queuedBytes += len(line)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (s *Sink) Dropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalDropped
}

// Close makes further lines count as dropped, and waits at most timeout until the queued lines are written.
func (s *Sink) Close(timeout time.Duration) {
	s.mu.Lock()
	alreadyClosed := s.closed
	s.closed = true
	s.mu.Unlock()
	if !alreadyClosed {
		close(s.wake)
	}
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}

// run writes the queued lines, and reports of dropped ones, until Close.
func (s *Sink) run() {
	defer close(s.done)
	lastReport := time.Now()
	for range s.wake {
		lines, dropped := s.dequeue(time.Since(lastReport) >= reportInterval)
		for _, l := range lines {
			if !s.writeLine(l) {
				s.addDrops(1)
			}
		}
		if dropped > 0 {
			lastReport = time.Now()
			report := fmt.Appendf(nil, "%s [WARN]  log: lines dropped: count=%d\n", lastReport.UTC().Format(time.RFC3339), dropped)
			if !s.writeLine(report) {
				s.restoreUnreported(dropped)
			}
		}
	}
}

// writeLine reports whether the whole line was written. Errors are reported in the log, so there is no place to report an
// error of the log itself, but the number of dropped lines is.
func (s *Sink) writeLine(line []byte) bool {
	if s.partial {
		line = append([]byte{'\n'}, line...)
	}
	n, err := s.out.Write(line)
	if n > 0 {
		s.partial = n < len(line)
	}
	return err == nil
}

// addDrops counts lines as dropped.
func (s *Sink) addDrops(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totalDropped += n
	s.unreportedDrops += n
}

// restoreUnreported counts dropped lines as unreported again, because their report could not be written.
func (s *Sink) restoreUnreported(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreportedDrops += n
}

// dequeue removes and returns the queued lines. If withDropped is set, it also returns the number of lines dropped since
// the last report, and resets that number.
func (s *Sink) dequeue(withDropped bool) (lines [][]byte, dropped int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines, s.queue, s.queuedBytes = s.queue, nil, 0
	if withDropped {
		dropped, s.unreportedDrops = s.unreportedDrops, 0
	}
	return lines, dropped
}
