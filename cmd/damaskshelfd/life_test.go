package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/routed"
	"github.com/damaskshelf/damaskshelf/platform"
)

// childEnv makes the test's executable run a process for TestMain, as which of: "daemon" with the test's arguments, or
// "panic" with the settings file of the first argument.
const childEnv = "DAMASKSHELFD_TEST_CHILD"

func TestMain(m *testing.M) {
	switch os.Getenv(childEnv) {
	case "daemon":
		os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
	case "panic":
		runWithFailingStore(os.Args[1])
	}
	os.Exit(m.Run())
}

// failingStore panics on each list.
type failingStore struct{ routed.Store }

// List implements objects.Store.
func (failingStore) List(context.Context, string) (wire.List, error) { panic("decoding\nfailed") }

// runWithFailingStore runs an instance whose first read of the store panics.
func runWithFailingStore(settingsPath string) {
	s, err := api.LoadSettings(settingsPath)
	if err != nil {
		panic(err)
	}
	log, sink := openLog(s, os.Stdout)
	adapter := platform.NewAdapter(s.Routed.Store.Address)
	adapter.Store = failingStore{adapter.Store}
	n, err := routed.New(s, adapter, routed.Options{Log: log, DroppedLines: sink.Dropped})
	if err == nil {
		err = n.Start()
	}
	if err != nil {
		panic(err)
	}
	time.Sleep(10 * time.Second) // the panic comes earlier
}

// routedSettings writes settings of a routed instance without a store and returns the path.
func routedSettings(t *testing.T, callers string, memoryMB int) string {
	t.Helper()
	raw, err := json.Marshal(map[string]any{
		"instance": "entry-1", "region": "r", "failure_domain": "a",
		"routed": map[string]any{
			"listen": map[string]any{"callers": callers, "ready": "127.0.0.1:0", "peers": "127.0.0.1:0", "metrics": "127.0.0.1:0",
				"advertised": "127.0.0.1:0"},
			"ready_path": "/-/ready", "store": map[string]any{"address": "127.0.0.1:1"},
			"retries": map[string]any{"ratio": 0.2, "slack": 1000},
			"stop":    map[string]any{"lag": "10ms", "grace": "1s"},
			"limits":  map[string]any{"memory_mb": memoryMB, "max_header_bytes": 20 << 10},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// child returns a command that runs the test's executable in a role of TestMain.
func child(role string, args ...string) (cmd *exec.Cmd, out, errOut *bytes.Buffer) {
	out, errOut = &bytes.Buffer{}, &bytes.Buffer{}
	cmd = exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), childEnv+"="+role)
	cmd.Stdout, cmd.Stderr = out, errOut
	return cmd, out, errOut
}

// lastLine returns the last line of a log.
func lastLine(log string) string {
	lines := strings.Split(strings.TrimSpace(log), "\n")
	return lines[len(lines)-1]
}

// Guards against a process whose end no log line explains: a panic in a background goroutine ends it, and the log doesn't
// differ from that of a killed process.
func TestPanicInBackgroundIsLastLogLine(t *testing.T) {
	is := is.New(t)
	cmd, out, errOut := child("panic", routedSettings(t, "127.0.0.1:0", 256))
	is.True(cmd.Run() != nil)
	is.Equal(cmd.ProcessState.ExitCode(), exitPanicked)
	is.True(strings.Contains(errOut.String(), "panic: decoding")) // the runtime's trace is not swallowed
	is.True(strings.Contains(errOut.String(), "failingStore"))
	last := lastLine(out.String())
	want := regexp.MustCompile(`damaskshelfd\.entry-1: process ends: reason=panic exit_status=2 goroutine="watch \S+" ` +
		`cause="decoding \| failed" stack="\S*failingStore\.List life_test\.go:\d+ < `)
	if !want.MatchString(last) {
		t.Fatalf("last line: %s", last)
	}
}

// fullPipe returns a pipe that takes no more bytes until it is read.
func fullPipe(t *testing.T) (r, w *os.File) {
	t.Helper()
	fds := make([]int, 2)
	if err := unix.Pipe2(fds, unix.O_CLOEXEC); err != nil {
		t.Fatal(err)
	}
	size, err := unix.FcntlInt(uintptr(fds[1]), unix.F_GETPIPE_SZ, 0)
	if err == nil {
		_, err = unix.Write(fds[1], make([]byte, size))
	}
	if err != nil {
		t.Fatal(err)
	}
	r, w = os.NewFile(uintptr(fds[0]), "pipe"), os.NewFile(uintptr(fds[1]), "pipe")
	t.Cleanup(func() { _, _ = r.Close(), w.Close() })
	return r, w
}

// Guards against a process that neither serves nor ends: it panics while the reader of its standard error has stopped
// reading, and the runtime waits for ever to write its trace. Callers wait with it, and nobody starts it again.
func TestPanicEndsProcessWhoseErrorsNobodyReads(t *testing.T) {
	is := is.New(t)
	cmd, out, _ := child("panic", routedSettings(t, "127.0.0.1:0", 256))
	_, cmd.Stderr = fullPipe(t)
	is.NoErr(cmd.Start())
	hung := time.AfterFunc(5*time.Second, func() { _ = cmd.Process.Kill() })
	is.True(cmd.Wait() != nil)
	is.True(hung.Stop()) // ended by itself
	is.Equal(cmd.ProcessState.ExitCode(), exitPanicked)
	is.True(strings.Contains(lastLine(out.String()), "process ends: reason=panic"))
}

// The last line tells how a process ended that could choose it.
func TestEndIsLastLogLine(t *testing.T) {
	t.Run("failed start", func(t *testing.T) {
		is := is.New(t)
		taken, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { _ = taken.Close() }()
		cmd, out, _ := child("daemon", "-settings", routedSettings(t, taken.Addr().String(), 256))
		is.True(cmd.Run() != nil)
		is.Equal(cmd.ProcessState.ExitCode(), exitFailed)
		is.True(strings.HasSuffix(lastLine(out.String()), "damaskshelfd.entry-1: process ends: reason=not_started exit_status=1"))
	})
	t.Run("planned stop", func(t *testing.T) {
		is := is.New(t)
		log := runUntilLine(t, 256, "started:")
		is.True(strings.HasSuffix(lastLine(log), "damaskshelfd.entry-1: process ends: reason=stopped exit_status=0"))
	})
}

// Guards against a process that is killed for its memory, and whose log doesn't show that it had nearly used it up.
func TestHighMemoryIsLogged(t *testing.T) {
	const memoryMB = 16 // less than any process of ours needs
	runUntilLine(t, memoryMB, "[WARN]  damaskshelfd.entry-1: use of memory is high: resident_mb=")
}

// runUntilLine runs a daemon until its log contains text, stops it, and returns the log.
func runUntilLine(t *testing.T, memoryMB int, text string) string {
	t.Helper()
	is := is.New(t)
	cmd, _, _ := child("daemon", "-settings", routedSettings(t, "127.0.0.1:0", memoryMB))
	file, err := os.Create(filepath.Join(t.TempDir(), "log"))
	is.NoErr(err)
	cmd.Stdout = file
	is.NoErr(cmd.Start())
	awaitLine(t, file.Name(), text)
	is.NoErr(cmd.Process.Signal(os.Interrupt))
	is.NoErr(cmd.Wait())
	return awaitLine(t, file.Name(), "")
}

// awaitLine waits until a log contains text, and returns the log.
func awaitLine(t *testing.T, path, text string) string {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		raw, err := os.ReadFile(path)
		if err == nil && strings.Contains(string(raw), text) {
			return string(raw)
		}
		if time.Now().After(end) {
			t.Fatalf("the log has no %q", text)
		}
	}
}
