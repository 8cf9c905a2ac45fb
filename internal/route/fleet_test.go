package route_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/caller"
	"github.com/damaskshelf/damaskshelf/internal/local"
	"github.com/damaskshelf/damaskshelf/internal/standin/cluster"
	"github.com/damaskshelf/damaskshelf/internal/standin/engine"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
)

const (
	model     = "guide"
	hangGuard = 30 * time.Second // of waits that end in a second when all is well
)

// start runs two instances before six engines without expiry that hold 60,000 tokens each.
func start(t *testing.T, cfg engine.Config) *local.Fleet {
	t.Helper()
	cfg.Memory, cfg.NoExpiry = 60_000, true
	f, err := local.Start(local.Config{
		Cluster: cluster.Config{
			Domains: []string{"north", "mid", "south"}, Region: "plains", EnginesPerDomain: 2,
			Models: []string{model}, TimeScale: 50, Engine: cfg,
		},
		Entries: 2,
		Intent:  api.Intent{Models: []api.Model{{Name: model, Version: cluster.ModelVersion, Replicas: 6, Floor: 1}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// held counts the reservations on all engines.
func held(t *testing.T, f *local.Fleet) (n int) {
	t.Helper()
	c := upstream.New()
	defer c.Close()
	for _, e := range f.Cluster.Engines {
		r, err := c.Reservations(context.Background(), e.Addr())
		if err != nil {
			t.Fatal(err)
		}
		n += len(r.Reservations)
	}
	return n
}

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(hangGuard); !cond(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("never: " + what)
		}
	}
}

// The longest prompts are more than twice one engine's memory: they are answered by a group of engines,
// whole, beside short ones, and nothing stays reserved.
func TestPromptOverOneEnginesMemoryIsAnswered(t *testing.T) {
	is := is.New(t)
	f := start(t, engine.Config{})
	c := caller.New()
	defer c.Close()
	long := make(chan caller.Result, 1)
	go func() {
		long <- c.Do(caller.Request{
			Addr: f.Nodes[0].CallersAddr(), ID: "long", Model: model, Prompt: strings.Repeat("ice ", 130_000),
			MaxTokens: 20, Stream: true, Timeout: hangGuard,
		})
	}()
	for range 20 {
		r := c.Do(caller.Request{Addr: f.Nodes[1].CallersAddr(), Model: model, Prompt: "how thick?", MaxTokens: 5, Stream: true, Timeout: hangGuard})
		is.True(r.OK())
	}
	r := <-long
	is.True(r.OK())
	is.Equal(len(strings.Fields(r.Text)), 20)
	eventually(t, "all memory is back", func() bool { return held(t, f) == 0 })
}

// An engine without expiry keeps the memory of prompts whose time ran out. Order: a group holds its memory
// and computes, the request's deadline comes. Cause: only whole answers release.
func TestTimedOutPromptFreesItsGroupAtOnce(t *testing.T) {
	is := is.New(t)
	f := start(t, engine.Config{PrefillRate: 1000}) // a group is expected to take 1 s, the stand-in takes 2.6 s
	c := caller.New()
	defer c.Close()
	done := make(chan caller.Result, 1)
	go func() {
		done <- c.Do(caller.Request{
			Addr: f.Nodes[0].CallersAddr(), ID: "long", Model: model, Prompt: strings.Repeat("ice ", 130_000),
			MaxTokens: 20, Stream: true, Timeout: 2 * time.Second,
		})
	}()
	eventually(t, "memory is held", func() bool { return held(t, f) > 1 })
	is.True(!(<-done).OK())
	eventually(t, "all memory is back", func() bool { return held(t, f) == 0 })
}
