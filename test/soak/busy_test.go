package soak_test

import (
	"io"
	"os"
	"os/exec"
	"sync/atomic"
	"testing"
)

// busyEnv names the environment variable that makes the test's executable a busy process.
const busyEnv = "SOAK_BUSY"

// runBusy keeps a processor busy until standard input ends.
func runBusy() {
	var done atomic.Bool
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		done.Store(true)
	}()
	for !done.Load() {
	}
}

// startBusy starts n busy processes, which end with the test.
func startBusy(t *testing.T, n int) {
	t.Helper()
	for range n {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), busyEnv+"=1", "GOMAXPROCS=2")
		in, err := cmd.StdinPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			_ = in.Close()
			_ = cmd.Wait()
		})
	}
}
