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

// onStore runs a verb against a stand-in of the metadata store.
func onStore(t *testing.T, verb subcommands.Command, args ...string) (subcommands.ExitStatus, string, string) {
	t.Helper()
	f := flag.NewFlagSet(verb.Name(), flag.ContinueOnError)
	verb.SetFlags(f)
	if err := f.Parse(args); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	status := verb.Execute(context.Background(), f, environment{out: &out, err: &errs})
	return status, out.String(), errs.String()
}

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

// An operator who is new to the fleet sees what serves, takes a failure domain out and back, and sees that too.
func TestAFleetIsOperatedThroughItsStore(t *testing.T) {
	is := is.New(t)
	store := newStore(t)
	see := func() api.FleetStatus {
		code, out, errs := onStore(t, &statusVerb{}, "-store", store.Addr(), "-o", "json")
		is.Equal(errs, "")
		is.Equal(code, exitDone)
		var s api.FleetStatus
		is.NoErr(json.Unmarshal([]byte(out), &s))
		return s
	}
	s := see()
	is.Equal(s.ConfigVersion, uint64(7))
	is.Equal(s.Services, []api.FleetService{{Name: "desk", Ready: 1, Leaving: 1}})
	is.Equal(len(s.DomainsOut), 0)

	for range 2 { // the second time it is out already
		code, out, _ := onStore(t, &drainVerb{}, "-store", store.Addr(), "a")
		is.Equal(code, exitDone)
		is.True(strings.Contains(out, "taken out"))
	}
	s = see()
	is.Equal(s.DomainsOut, []string{"a"})
	is.Equal(s.Services, []api.FleetService{{Name: "desk", Leaving: 1, Out: 1}})

	for range 2 {
		code, out, _ := onStore(t, &restoreVerb{}, "-store", store.Addr(), "a")
		is.Equal(code, exitDone)
		is.True(strings.Contains(out, "taken back"))
	}
	is.Equal(len(see().DomainsOut), 0)
	_, out, _ := onStore(t, &statusVerb{}, "-store", store.Addr())
	is.True(strings.Contains(out, "service        desk: 1 ready, 0 cold, 1 leaving, 0 out"))
}

// Bad input names the flag and its value, changes nothing, and has the exit status of wrong usage.
func TestBadInputChangesNothing(t *testing.T) {
	is := is.New(t)
	store := newStore(t)
	code, _, errs := onStore(t, &drainVerb{}, "-store", store.Addr(), "b")
	is.Equal(code, exitUsage)
	is.True(strings.Contains(errs, `failure domain "b" is not known; known: [a]`))
	code, _, errs = onStore(t, &statusVerb{}, "-store", "nowhere")
	is.Equal(code, exitUsage)
	is.True(strings.Contains(errs, "-store nowhere"))
}

// A store that gives no answer is no empty fleet: the verb says so and exits with its own status.
func TestAStoreThatIsAwayIsSaidSo(t *testing.T) {
	is := is.New(t)
	store := newStore(t)
	addr := store.Addr()
	store.Close()
	code, out, errs := onStore(t, &statusVerb{}, "-store", addr)
	is.Equal(code, exitUnreachable)
	is.Equal(out, "")
	is.True(strings.Contains(errs, "metadata store"))
}
