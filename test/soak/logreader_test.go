package soak_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/damaskshelf/damaskshelf/platform/standin"
)

const (
	longStreamEvents = 40 // events of a stream that lasts two seconds
	longStreamGap    = 50 * time.Millisecond
)

// startDaemonWithOutput starts a daemon whose standard output and standard error are the given files, before a store with
// a plain service and an engine with long streams, and waits until it serves.
func startDaemonWithOutput(t *testing.T, stdout, stderr *os.File) *daemon {
	t.Helper()
	store, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	route := standin.Route{
		Name: "quick", Host: host, PathPrefix: "/quick/", Kind: "idempotent", Service: "plain", MaxAttempts: 1, Public: true,
		Timeout: 5 * time.Second, TargetLatency: time.Second,
	}
	stream := route
	stream.Name, stream.PathPrefix, stream.Kind, stream.Service, stream.TargetGap = "stream", "/stream/", "streaming", "engines", time.Second
	store.PutConfig(1, []standin.Route{route, stream}, []standin.Service{{Name: "plain"}, {Name: "engines", KVCacheTokens: 400_000}}, nil)
	for _, service := range []string{"plain", "engines"} {
		w, err := standin.NewWorker("w-" + service)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(w.Close)
		if service == "engines" {
			w.SetReply(standin.Events(longStreamEvents, 0, longStreamGap))
		}
		store.PutWorker(w.ID, service, w.Addr(), "ready")
	}
	d := newDaemon(t, t.TempDir(), "entry", store.Addr(), func(peers string) string { return peers })
	d.stdout, d.stderr = stdout, stderr
	d.start(t)
	t.Cleanup(d.kill)
	for end := time.Now().Add(recoveryTimeout); !quickCall(d.callerAddr, -1); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the instance doesn't serve")
		}
	}
	return d
}

// openStream sends a request for a long stream and returns its response after the first event, with the event's bytes
// unread.
func openStream(t *testing.T, addr string) *http.Response {
	t.Helper()
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	c := standin.Call{
		Method: http.MethodPost, Path: "/stream/x", Host: host, AttemptID: "long", Timeout: 5 * time.Second, Body: "hi",
		PromptTokens: 1000, MaxOutputTokens: 200,
	}
	if err := c.Write(conn); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("no stream: %v, %v", resp, err)
	}
	return resp
}

// Guards against a process that ends, and cuts all its requests, at the next log line after the reader of its log has
// gone: a write to a pipe without a reader raises SIGPIPE, which ends the process unless it is handled. One collector that
// reads the output of all instances and restarts would end them all at the same time.
func TestLossOfLogReaderDoesNotEndProcess(t *testing.T) {
	cases := []struct {
		name           string
		stdout, stderr bool // whether the pipe is read for this output
		beforeRequests bool // the reader is gone before the stream is requested
	}{
		{name: "standard output", stdout: true},
		{name: "standard output, before the request", stdout: true, beforeRequests: true},
		{name: "standard error", stderr: true},
		{name: "both", stdout: true, stderr: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, w, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			var stdout, stderr *os.File
			if c.stdout {
				stdout = w
			}
			if c.stderr {
				stderr = w
			}
			d := startDaemonWithOutput(t, stdout, stderr)
			_ = w.Close() // the daemon has its own copy
			if c.beforeRequests {
				_ = r.Close()
			}
			resp := openStream(t, d.callerAddr)
			_ = r.Close() // while lines of requests are written
			for range 5 {
				if !quickCall(d.callerAddr, -1) {
					t.Error("a request was not served without a reader of the log")
				}
			}
			body, err := io.ReadAll(resp.Body)
			if want := standin.AllEvents(1, longStreamEvents); err != nil || string(body) != want {
				t.Errorf("the stream ended after %d of %d bytes: %v", len(body), len(want), err)
			}
			d.signal(syscall.SIGTERM)
			if !d.awaitExit(8 * time.Second) {
				t.Fatal("the process has not stopped")
			}
			if code := d.cmd.ProcessState.ExitCode(); code != 0 {
				t.Errorf("the process ended with %s", d.cmd.ProcessState)
			}
		})
	}
}

// Guards against a process that ends, and cuts its requests, when the file of its log has reached its limit.
func TestFullLogFileDoesNotEndProcess(t *testing.T) {
	d := startDaemonWithOutput(t, nil, nil)
	full, err := d.logFile.Stat()
	if err != nil {
		t.Fatal(err)
	}
	limit := unix.Rlimit{Cur: uint64(full.Size()), Max: uint64(full.Size())}
	if err := unix.Prlimit(d.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	resp := openStream(t, d.callerAddr)
	for range 5 {
		if !quickCall(d.callerAddr, -1) {
			t.Error("a request was not served while the log is full")
		}
	}
	body, err := io.ReadAll(resp.Body)
	if want := standin.AllEvents(1, longStreamEvents); err != nil || string(body) != want {
		t.Errorf("the stream ended after %d of %d bytes: %v", len(body), len(want), err)
	}
}

// signalsThatDoNotEnd are the signals that may reach a daemon from outside, by mistake or by a limit. Not among them are
// those that end a process by intent, those of its own faults, and those that pause it: SIGTSTP, SIGTTIN, SIGTTOU.
var signalsThatDoNotEnd = []syscall.Signal{
	syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGPIPE, syscall.SIGALRM, syscall.SIGVTALRM, syscall.SIGPROF,
	syscall.SIGXCPU, syscall.SIGXFSZ, syscall.SIGIO, syscall.SIGPWR, syscall.SIGCHLD, syscall.SIGURG, syscall.SIGWINCH,
}

// Guards against a process that ends with its requests by a signal whose default action is to end it.
func TestOtherSignalsDoNotEndProcess(t *testing.T) {
	d := startDaemonWithOutput(t, nil, nil)
	resp := openStream(t, d.callerAddr)
	for _, s := range signalsThatDoNotEnd {
		d.signal(s)
		if !quickCall(d.callerAddr, -1) {
			t.Fatalf("no request is served after %s: %s", s, d.cmd.ProcessState)
		}
	}
	body, err := io.ReadAll(resp.Body)
	if want := standin.AllEvents(1, longStreamEvents); err != nil || string(body) != want {
		t.Errorf("the stream ended after %d of %d bytes: %v", len(body), len(want), err)
	}
}
