// Package logsink writes log lines without ever holding up who logs. A reader that stops reading blocks the
// writer of a pipe; with a logger that writes in place, every request would stop with it.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBytes bounds the lines that wait to be written: some seconds of a busy instance's lines.
	maxBytes = 1 << 20
	// maxPerSecond bounds the lines of a second. A busy instance writes some hundreds; a failure that repeats
	// itself in a loop would write without end.
	maxPerSecond = 4000
	// report is how often lines that were dropped are counted in a line of their own.
	report = time.Second
)

// Sink is an io.Writer that takes whole lines and writes them in the background.
type Sink struct {
	out io.Writer

	mu      sync.Mutex
	lines   [][]byte // guarded by mu
	bytes   int      // guarded by mu
	dropped int      // guarded by mu: since the last report
	total   int      // guarded by mu: dropped since the start
	second  int64    // guarded by mu: that count is of
	count   int      // guarded by mu
	closed  bool     // guarded by mu
	wake    chan struct{}
	done    chan struct{}
}

// New gives a Sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer: it takes the line or counts it as dropped, and never blocks or fails.
func (s *Sink) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now != s.second {
		s.second, s.count = now, 0
	}
	s.count++
	if s.closed || s.bytes+len(line) > maxBytes || s.count > maxPerSecond {
		s.dropped++
		s.total++
		return len(line), nil
	}
	s.lines = append(s.lines, append([]byte(nil), line...))
	s.bytes += len(line)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped gives the lines dropped since the start.
func (s *Sink) Dropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Close writes what waits, for at most wait, and takes no more.
func (s *Sink) Close(wait time.Duration) {
	s.mu.Lock()
	closed := s.closed
	s.closed = true
	s.mu.Unlock()
	if !closed {
		close(s.wake)
	}
	select {
	case <-s.done:
	case <-time.After(wait):
	}
}

func (s *Sink) run() {
	defer close(s.done)
	last := time.Now()
	for range s.wake {
		lines, dropped := s.take(time.Since(last) >= report)
		for _, l := range lines {
			// The log is where errors would be told; one of its own has no other place.
			_, _ = s.out.Write(l)
		}
		if dropped > 0 {
			last = time.Now()
			_, _ = fmt.Fprintf(s.out, "%s [WARN]  log: lines dropped: count=%d\n", last.UTC().Format(time.RFC3339), dropped)
		}
	}
}

// take gives the lines that wait and, if asked, the count of those dropped since the last report.
func (s *Sink) take(reporting bool) (lines [][]byte, dropped int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines, s.lines, s.bytes = s.lines, nil, 0
	if reporting {
		dropped, s.dropped = s.dropped, 0
	}
	return lines, dropped
}
