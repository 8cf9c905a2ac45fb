package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/api"
)

// Guards against a settings change that aborts requests. The platform sends SIGHUP after the change; without a handler
// the signal's default action ends the process.
func TestHangupDoesNotEndProcess(t *testing.T) {
	is := is.New(t)
	hangups, _ := catchSignals()
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP)) // without a handler it ends the test process
	select {
	case <-hangups:
	case <-time.After(5 * time.Second):
		t.Fatal("SIGHUP was not received")
	}
}

// An invalid file is not applied, and the log names the field and its value. The next valid file is applied.
func TestReloadRejectsInvalidFile(t *testing.T) {
	is := is.New(t)
	good, err := os.ReadFile(example)
	is.NoErr(err)
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, good, 0o600))
	var out bytes.Buffer
	var applied []api.Settings
	r := &reloader{
		path: path, lastRead: good, log: hclog.New(&hclog.LoggerOptions{Output: &out}),
		apply: func(s api.Settings) { applied = append(applied, s) },
	}
	r.reloadIfChanged(true)
	is.Equal(len(applied), 0) // nothing has changed
	is.NoErr(os.WriteFile(path, bytes.Replace(good, []byte(`"queue_length": 512`), []byte(`"queue_length": -5`), 1), 0o600))
	r.reloadIfChanged(false)
	is.Equal(len(applied), 0)
	is.True(strings.Contains(out.String(), "limits.queue_length: -5 is not allowed"))
	is.NoErr(os.WriteFile(path, bytes.Replace(good, []byte(`"queue_length": 512`), []byte(`"queue_length": 99`), 1), 0o600))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 1)
	signals <- syscall.SIGHUP
	done := make(chan struct{})
	r.apply = func(s api.Settings) {
		applied = append(applied, s)
		close(done)
	}
	go r.run(ctx, signals)
	<-done
	is.Equal(applied[0].Limits.QueueLength, 99)
}
