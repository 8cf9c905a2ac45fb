package soak_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/damaskshelf/damaskshelf/platform/standin"
)

const (
	slowReaders    = 1000
	slowPromptLen  = 300_000   // tokens
	slowPromptSize = 256 << 10 // bytes
	smallMemory    = 136 << 20 // bytes: of the smallest machine
	unreadFor      = 3 * time.Second
)

// peakMemory returns the peak resident memory of a process in bytes.
func peakMemory(t *testing.T, pid int) int {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				t.Fatal(err)
			}
			return kb << 10
		}
	}
	t.Fatal("no VmHWM")
	return 0
}

// slowCall sends a long prompt, reads nothing for a time, and returns the status, 0 if there is none, and whether the
// answer is complete.
func slowCall(addr string, n int) (status int, complete bool) {
	c, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		return 0, false
	}
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	call := standin.Call{
		Method: "POST", Path: "/stream/x", Host: host, AttemptID: fmt.Sprintf("slow-%d", n), Timeout: 20 * time.Second,
		PromptTokens: slowPromptLen, MaxOutputTokens: 100, Body: strings.Repeat("x", slowPromptSize),
	}
	if err := call.Write(c); err != nil {
		return readStatus(c)
	}
	time.Sleep(unreadFor)
	return readStatus(c)
}

// readStatus reads an answer and returns its status, 0 if there is none, and whether it is complete.
func readStatus(c net.Conn) (status int, complete bool) {
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, err == nil
}

// startSlowReadersFleet starts a store, workers and a daemon with a route to engines and one to a plain service.
func startSlowReadersFleet(t *testing.T) *daemon {
	t.Helper()
	store, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	stream := standin.Route{
		Name: "stream", Host: host, PathPrefix: "/stream/", Kind: "streaming", Service: "engines", MaxAttempts: 1, Public: true,
		Timeout: 20 * time.Second, TargetLatency: 4 * time.Second, TargetGap: time.Second,
	}
	quick := standin.Route{
		Name: "quick", Host: host, PathPrefix: "/quick/", Kind: "idempotent", Service: "plain", MaxAttempts: 1, Public: true,
		Timeout: 5 * time.Second, TargetLatency: time.Second,
	}
	store.PutConfig(1, []standin.Route{stream, quick}, []standin.Service{{Name: "plain"}, {Name: "engines", KVCacheTokens: 100 * slowPromptLen}}, nil)
	for n := range 80 {
		w, err := standin.NewWorker(fmt.Sprintf("w-%d", n))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(w.Close)
		service := "plain"
		if n >= 4 {
			service = "engines"
			w.SetReply(standin.Events(24, 0, 20*time.Millisecond))
		}
		store.PutWorker(w.ID, service, w.Addr(), "ready")
	}
	d := newDaemon(t, t.TempDir(), "entry", store.Addr(), func(peers string) string { return peers })
	d.start(t)
	t.Cleanup(d.kill)
	for end := time.Now().Add(20 * time.Second); !quickCall(d.callerAddr, -1); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the instance doesn't serve")
		}
	}
	return d
}

// quickCall sends a request to the plain service, and reports whether it was served.
func quickCall(addr string, n int) bool {
	c, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	call := standin.Call{Method: "GET", Path: "/quick/x", Host: host, AttemptID: fmt.Sprintf("quick-%d", n), Timeout: 5 * time.Second}
	if err := call.Write(c); err != nil {
		return false
	}
	status, _ := readStatus(c)
	return status == 200
}

// slowOutcomes counts how slow readers' requests ended.
type slowOutcomes struct{ served, refused, silent, lost atomic.Int64 }

// count counts a request by its answer.
func (o *slowOutcomes) count(t *testing.T, n, status int, complete bool) {
	switch {
	case status == 200 && complete:
		o.served.Add(1)
	case status == 503 && complete:
		o.refused.Add(1)
	case status == 502 && complete:
		o.silent.Add(1) // on a busy machine the workers, which run in this process, may be silent for too long
	default:
		o.lost.Add(1)
		t.Logf("slow-%d: status %d, complete %t", n, status, complete)
	}
}

// Guards against an instance that ends for want of memory while a thousand callers send long prompts and don't read their
// answers: every other caller's request on it is lost. What can't be held is refused, and prompt callers are served.
func TestSlowReadersDontExhaustMemory(t *testing.T) {
	d := startSlowReadersFleet(t)
	var outcomes slowOutcomes
	var callers sync.WaitGroup
	for n := range slowReaders {
		callers.Go(func() {
			status, complete := slowCall(d.callerAddr, n)
			outcomes.count(t, n, status, complete)
		})
	}
	slowDone := make(chan struct{})
	go func() {
		callers.Wait()
		close(slowDone)
	}()
	quickServed, quickAsked := 0, 0
	for running := true; running; {
		select {
		case <-slowDone:
			running = false
		case <-time.After(50 * time.Millisecond):
			quickAsked++
			if quickCall(d.callerAddr, quickAsked) {
				quickServed++
			}
		}
	}
	peak := peakMemory(t, d.cmd.Process.Pid)
	served, refused, lost := outcomes.served.Load(), outcomes.refused.Load(), outcomes.lost.Load()
	t.Logf("served %d, refused %d, workers silent %d, lost %d; quick %d of %d; peak %d MB", served, refused, outcomes.silent.Load(),
		lost, quickServed, quickAsked, peak>>20)
	if peak > smallMemory {
		t.Errorf("peak memory %d MB, allowed: %d MB", peak>>20, smallMemory>>20)
	}
	if lost > 0 || served == 0 {
		t.Errorf("served %d, refused %d, lost %d", served, refused, lost)
	}
	if quickServed < quickAsked {
		t.Errorf("quick requests: %d of %d served", quickServed, quickAsked)
	}
}
