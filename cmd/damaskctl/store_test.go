package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/platform/standin"
)

// runWithStore runs a command. It returns the exit status and what the command wrote to standard output and to standard
// error.
func runWithStore(t *testing.T, cmd subcommands.Command, args ...string) (subcommands.ExitStatus, string, string) {
	t.Helper()
	f := flag.NewFlagSet(cmd.Name(), flag.ContinueOnError)
	cmd.SetFlags(f)
	if err := f.Parse(args); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	status := cmd.Execute(context.Background(), f, environment{out: &out, err: &errs})
	return status, out.String(), errs.String()
}

// newStore starts a stand-in of the metadata store with one service, a ready upstream and one that is leaving.
func newStore(t *testing.T) *standin.Store {
	t.Helper()
	s, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	s.PutConfig(7, []standin.Route{{Name: "r", Host: "shop.example", PathPrefix: "/a/", Kind: "idempotent", Service: "desk", MaxAttempts: 2}},
		[]standin.Service{{Name: "desk"}}, map[string]string{"key": "space"})
	s.PutWorker("w1", "desk", "10.0.0.1:80", "ready")
	s.PutWorker("w2", "desk", "10.0.0.2:80", "draining")
	return s
}

// With -store an operator reads the status, takes a failure domain out and back, and the status shows both.
func TestStatusDrainAndRestoreThroughStore(t *testing.T) {
	is := is.New(t)
	store := newStore(t)
	readStatus := func() api.FleetStatus {
		code, out, errs := runWithStore(t, &statusCommand{}, "-store", store.Addr(), "-o", "json")
		is.Equal(errs, "")
		is.Equal(code, exitDone)
		var s api.FleetStatus
		is.NoErr(json.Unmarshal([]byte(out), &s))
		return s
	}
	s := readStatus()
	is.Equal(s.ConfigVersion, uint64(7))
	is.Equal(s.Services, []api.FleetService{{Name: "desk", Ready: 1, Leaving: 1}})
	is.Equal(len(s.DomainsOut), 0)

	for range 2 { // the second time the domain is out already
		code, out, _ := runWithStore(t, &drainCommand{}, "-store", store.Addr(), "a")
		is.Equal(code, exitDone)
		is.True(strings.Contains(out, "taken out"))
	}
	s = readStatus()
	is.Equal(s.DomainsOut, []string{"a"})
	is.Equal(s.Services, []api.FleetService{{Name: "desk", Leaving: 1, Out: 1}})

	for range 2 {
		code, out, _ := runWithStore(t, &restoreCommand{}, "-store", store.Addr(), "a")
		is.Equal(code, exitDone)
		is.True(strings.Contains(out, "taken back"))
	}
	is.Equal(len(readStatus().DomainsOut), 0)
	_, out, _ := runWithStore(t, &statusCommand{}, "-store", store.Addr())
	is.True(strings.Contains(out, "service        desk: 1 ready, 0 cold, 1 leaving, 0 out"))
}

// Invalid input is reported with its value, and an invalid flag also with its name. The exit status is that of a usage
// error.
func TestInvalidInputIsUsageError(t *testing.T) {
	is := is.New(t)
	store := newStore(t)
	code, _, errs := runWithStore(t, &drainCommand{}, "-store", store.Addr(), "b")
	is.Equal(code, exitUsage)
	is.True(strings.Contains(errs, `failure domain "b" is not known; known: [a]`))
	code, _, errs = runWithStore(t, &statusCommand{}, "-store", "nowhere")
	is.Equal(code, exitUsage)
	is.True(strings.Contains(errs, "-store nowhere"))
}

// If the store does not answer, the command prints no empty fleet, reports the error and exits with the status for an
// unreachable server.
func TestUnreachableStoreIsReported(t *testing.T) {
	is := is.New(t)
	store := newStore(t)
	addr := store.Addr()
	store.Close()
	code, out, errs := runWithStore(t, &statusCommand{}, "-store", addr)
	is.Equal(code, exitUnreachable)
	is.Equal(out, "")
	is.True(strings.Contains(errs, "metadata store"))
}
