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
	model       = "guide"
	testTimeout = 30 * time.Second // bounds waits that normally end within a second
)

// startFleet starts two instances and six engines. Each engine holds 60,000 tokens, and its reservations don't expire.
func startFleet(t *testing.T, cfg engine.Config) *local.Fleet {
	t.Helper()
	cfg.Memory, cfg.NoExpiry = 60_000, true
	f, err := local.Start(local.Config{
		Cluster: cluster.Config{
			Domains: []string{"north", "mid", "south"}, Region: "plains", EnginesPerDomain: 2,
			Models: []string{model}, TimeScale: 50, Engine: cfg,
		},
		Instances: 2,
		Intent:    api.Intent{Models: []api.Model{{Name: model, Version: cluster.ModelVersion, Replicas: 6, Floor: 1}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// countReservations returns the number of reservations on all engines.
func countReservations(t *testing.T, f *local.Fleet) (n int) {
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

// eventually fails the test unless cond returns true within testTimeout.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !cond(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting until " + what)
		}
	}
}

// Checks that a prompt of more than twice one engine's memory is answered completely by a group of engines, while short
// prompts are answered as well, and that no memory stays reserved.
func TestPromptLargerThanEngineMemoryIsAnswered(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, engine.Config{})
	c := caller.New()
	defer c.Close()
	longResult := make(chan caller.Result, 1)
	go func() {
		longResult <- c.Do(caller.Request{
			Addr: f.Nodes[0].CallersAddr(), ID: "long", Model: model, Prompt: strings.Repeat("ice ", 130_000),
			MaxTokens: 20, Stream: true, Timeout: testTimeout,
		})
	}()
	for range 20 {
		r := c.Do(caller.Request{
			Addr: f.Nodes[1].CallersAddr(), Model: model, Prompt: "how thick?", MaxTokens: 5, Stream: true,
			Timeout: testTimeout,
		})
		is.True(r.OK())
	}
	r := <-longResult
	is.True(r.OK())
	is.Equal(len(strings.Fields(r.Text)), 20)
	eventually(t, "all reservations are released", func() bool { return countReservations(t, f) == 0 })
}

// Guards against memory that stays reserved for prompts that timed out, on engines whose reservations don't expire.
// This happens if only complete answers release the memory and the deadline passes while the group computes.
func TestTimedOutPromptReleasesGroupReservations(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, engine.Config{PrefillRate: 1000}) // a group is expected to take 1 s, the stand-in takes 2.6 s
	c := caller.New()
	defer c.Close()
	done := make(chan caller.Result, 1)
	go func() {
		done <- c.Do(caller.Request{
			Addr: f.Nodes[0].CallersAddr(), ID: "long", Model: model, Prompt: strings.Repeat("ice ", 130_000),
			MaxTokens: 20, Stream: true, Timeout: 2 * time.Second,
		})
	}()
	eventually(t, "the group has its reservations", func() bool { return countReservations(t, f) > 1 })
	is.True(!(<-done).OK())
	eventually(t, "all reservations are released", func() bool { return countReservations(t, f) == 0 })
}
