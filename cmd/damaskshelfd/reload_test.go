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

// Requests are cut off when an operator changes the settings. The platform sends SIGHUP, nobody had asked for
// the signal, and its default ends the process.
func TestAHangupEndsNothing(t *testing.T) {
	is := is.New(t)
	hangups, _ := catchSignals()
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP)) // ends the test's process without a handler
	select {
	case <-hangups:
	case <-time.After(5 * time.Second):
		t.Fatal("the signal did not come")
	}
}

// A bad file is kept out with the field and value at fault, and the next good one comes in force.
func TestABadFileIsKeptOut(t *testing.T) {
	is := is.New(t)
	good, err := os.ReadFile(example)
	is.NoErr(err)
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, good, 0o600))
	var out bytes.Buffer
	var applied []api.Settings
	r := &reloader{
		path: path, seen: good, log: hclog.New(&hclog.LoggerOptions{Output: &out}),
		apply: func(s api.Settings) { applied = append(applied, s) },
	}
	r.look(true)
	is.Equal(len(applied), 0) // nothing has changed
	is.NoErr(os.WriteFile(path, bytes.Replace(good, []byte(`"queue_length": 512`), []byte(`"queue_length": -5`), 1), 0o600))
	r.look(false)
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
