package soak_test

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/damaskshelf/damaskshelf/platform/standin"
)

const (
	leftWithoutStop = "[WARN]  damaskshelfd.%: the process before this one ended without a planned stop: former_incarnation="
	plannedEnd      = "damaskshelfd.%: process ends: reason=stopped exit_status=0"
)

// logSince returns what a daemon has logged after its first skip bytes.
func (d *daemon) logSince(t *testing.T, skip int) string {
	t.Helper()
	raw, err := os.ReadFile(d.logFile.Name())
	if err != nil {
		t.Fatal(err)
	}
	return string(raw[skip:])
}

// awaitLog waits until a daemon has logged text after its first skip bytes.
func (d *daemon) awaitLog(t *testing.T, skip int, text string) {
	t.Helper()
	for end := time.Now().Add(recoveryTimeout); !strings.Contains(d.logSince(t, skip), text); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s has not logged %q but\n%s", d.name, text, d.logSince(t, skip))
		}
	}
}

// Guards against logs from which nobody can tell whether a process was stopped, was killed or ended by itself: what it
// writes itself, what the other instance writes, and what its next life writes, at each end.
func TestLogsTellHowProcessEnded(t *testing.T) {
	store, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	store.PutConfig(1, []standin.Route{{Name: "quick", Host: host, PathPrefix: "/quick/", Kind: "idempotent", Service: "plain",
		MaxAttempts: 1, Public: true, Timeout: 5 * time.Second, TargetLatency: time.Second}}, []standin.Service{{Name: "plain"}}, nil)
	var all []*daemon
	for _, name := range []string{"entry-1", "entry-2"} {
		d := newDaemon(t, t.TempDir(), name, store.Addr(), func(peers string) string { return peers })
		d.start(t)
		t.Cleanup(d.kill)
		all = append(all, d)
	}
	for i, d := range all {
		other := all[1-i]
		for _, end := range []struct {
			signal  syscall.Signal
			planned bool
			trace   string // on standard error, which is in the log's file here
		}{
			{signal: syscall.SIGKILL}, {signal: syscall.SIGQUIT, trace: "SIGQUIT: quit"}, {signal: syscall.SIGTERM, planned: true},
		} {
			t.Run(d.name+" "+end.signal.String(), func(t *testing.T) {
				d.awaitLog(t, 0, "joined")
				awaitAttached(t, all)
				own, others := len(d.logSince(t, 0)), len(other.logSince(t, 0))
				d.signal(end.signal)
				if !d.awaitExit(8 * time.Second) {
					t.Fatal("the process has not ended")
				}
				line := func(text string) string { return strings.ReplaceAll(text, "%", d.name) }
				if strings.Contains(d.logSince(t, own), line(plannedEnd)) != end.planned {
					t.Errorf("last lines:\n%s", d.logSince(t, own))
				}
				if !strings.Contains(d.logSince(t, own), end.trace) {
					t.Errorf("no trace:\n%s", d.logSince(t, own))
				}
				for limit := time.Now().Add(recoveryTimeout); !tellsEndOf(d, other.logSince(t, others)); time.Sleep(20 * time.Millisecond) {
					if time.Now().After(limit) {
						t.Fatalf("%s says nothing of it:\n%s", other.name, other.logSince(t, others))
					}
				}
				gone := "watch: instance gone: instance=" + d.name
				if end.planned {
					other.awaitLog(t, others, gone)
				} else if lines := other.logSince(t, others); strings.Contains(lines, gone) {
					t.Errorf("%s takes it for a planned stop:\n%s", other.name, lines)
				}
				next := len(d.logSince(t, 0))
				d.start(t)
				d.awaitLog(t, next, "joined")
				if !end.planned {
					d.awaitLog(t, next, line(leftWithoutStop))
					return
				}
				time.Sleep(100 * time.Millisecond) // the line would follow that of joining
				if lines := d.logSince(t, next); strings.Contains(lines, line(leftWithoutStop)) {
					t.Errorf("first lines of the next life:\n%s", lines)
				}
			})
		}
	}
}

// awaitAttached waits until one of two daemons has the other attached.
func awaitAttached(t *testing.T, all []*daemon) {
	t.Helper()
	for limit := time.Now().Add(recoveryTimeout); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		for i, d := range all {
			lines := d.logSince(t, 0)
			attached := strings.LastIndex(lines, "instance attached: entry="+all[1-i].name)
			if attached > strings.LastIndex(lines, "instance detached: entry="+all[1-i].name) && attached > strings.LastIndex(lines, "started: ") {
				return
			}
		}
	}
	t.Fatal("neither instance is attached to the other")
}

// tellsEndOf reports whether another instance's log tells that the connection with d ended, and not that d was silent.
func tellsEndOf(d *daemon, lines string) bool {
	for _, text := range []string{
		"instance detached: entry=" + d.name + " cause=\"connection ended",
		"session with the dispatcher was reset: instance=" + d.name + " cause=\"connection ended",
		"dispatcher lost: instance=" + d.name,
	} {
		if strings.Contains(lines, text) {
			return true
		}
	}
	return false
}
