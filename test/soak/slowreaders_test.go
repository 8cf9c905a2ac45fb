package soak_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
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

// slowCall sends a long prompt, reads nothing for a time, and returns the status of the answer, or an error if it isn't
// complete.
func slowCall(c net.Conn, n int) (status int, err error) {
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

// readStatus reads an answer and returns its status, or an error if it isn't complete.
func readStatus(c net.Conn) (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, err
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

// slowReadersEnv names the environment variable with the address that a process of slow readers calls.
const slowReadersEnv = "SOAK_SLOW_READERS"

// slowOutcomes counts how slow readers' requests ended.
type slowOutcomes struct {
	Served, Refused int
	Silent          int      // on a busy machine the workers, which run in the test's process, may be silent for too long
	Lost            []string // what each caller without a complete answer saw
}

// add counts a request by its answer.
func (o *slowOutcomes) add(n, status int, err error) {
	switch {
	case status == 200 && err == nil:
		o.Served++
	case status == 503 && err == nil:
		o.Refused++
	case status == 502 && err == nil:
		o.Silent++
	default:
		o.Lost = append(o.Lost, fmt.Sprintf("slow-%d: status %d, error %v", n, status, err))
	}
}

// runSlowReaders connects the slow readers, makes all their calls at once, and writes the outcomes to w. The connections
// come first, because a thousand senders leave no time for their own dials on a busy machine.
func runSlowReaders(addr string, w io.Writer) error {
	var mu sync.Mutex
	var outcomes slowOutcomes
	conns := make([]net.Conn, slowReaders)
	for n := range conns {
		var err error
		if conns[n], err = net.DialTimeout("tcp", addr, 5*time.Second); err != nil {
			return err
		}
	}
	var callers sync.WaitGroup
	for n, c := range conns {
		callers.Go(func() {
			status, err := slowCall(c, n)
			mu.Lock()
			defer mu.Unlock()
			outcomes.add(n, status, err)
		})
	}
	callers.Wait()
	return json.NewEncoder(w).Encode(outcomes)
}

// startSlowReaders runs the slow readers in a process of their own, which the workers and their thousand requests in the
// test's process can't delay. Its outcomes arrive in the channel.
func startSlowReaders(t *testing.T, addr string) <-chan slowOutcomes {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), slowReadersEnv+"="+addr)
	cmd.Stderr = os.Stderr
	done := make(chan slowOutcomes, 1)
	go func() {
		var outcomes slowOutcomes
		out, err := cmd.Output()
		if err = errors.Join(err, json.Unmarshal(out, &outcomes)); err != nil {
			outcomes.Lost = append(outcomes.Lost, fmt.Sprintf("the readers' process: %v", err))
		}
		done <- outcomes
	}()
	return done
}

// Guards against an instance that ends for want of memory while a thousand callers send long prompts and don't read their
// answers: every other caller's request on it is lost. What can't be held is refused, and prompt callers are served.
func TestSlowReadersDontExhaustMemory(t *testing.T) {
	d := startSlowReadersFleet(t)
	slowDone := startSlowReaders(t, d.callerAddr)
	var outcomes slowOutcomes
	quickServed, quickAsked := 0, 0
	for running := true; running; {
		select {
		case outcomes = <-slowDone:
			running = false
		case <-time.After(50 * time.Millisecond):
			quickAsked++
			if quickCall(d.callerAddr, quickAsked) {
				quickServed++
			}
		}
	}
	peak := peakMemory(t, d.cmd.Process.Pid)
	served, refused, lost := outcomes.Served, outcomes.Refused, len(outcomes.Lost)
	t.Logf("served %d, refused %d, workers silent %d, lost %d; quick %d of %d; peak %d MB", served, refused, outcomes.Silent,
		lost, quickServed, quickAsked, peak>>20)
	for _, l := range outcomes.Lost {
		t.Log(l)
	}
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
