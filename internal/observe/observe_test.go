package observe_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide/stream"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/observe"
	"github.com/damaskshelf/damaskshelf/internal/standin/engine"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

const (
	model       = "guide"
	interval    = 5 * time.Millisecond
	testTimeout = 20 * time.Second
)

// fakeSink counts the reports and keeps the cache events.
type fakeSink struct {
	mu      sync.Mutex
	loads   int                // guarded by mu
	states  int                // guarded by mu
	batches []wire.CacheEvents // guarded by mu
	missed  int                // guarded by mu
}

func (s *fakeSink) OnLoad(*fleet.Upstream, wire.LoadReport, time.Time) {
	s.locked(func() { s.loads++ })
}
func (s *fakeSink) OnState(*fleet.Upstream, wire.EngineState) { s.locked(func() { s.states++ }) }
func (s *fakeSink) OnReportMissed(*fleet.Upstream, error)     { s.locked(func() { s.missed++ }) }
func (s *fakeSink) OnCache(_ *fleet.Upstream, e wire.CacheEvents) {
	s.locked(func() { s.batches = append(s.batches, e) })
}

// locked calls f with the lock held.
func (s *fakeSink) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// eventually waits until cond, called with the lock held, returns true, and fails the test after testTimeout.
func (s *fakeSink) eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(interval) {
		var ok bool
		s.locked(func() { ok = cond() })
		if ok {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for " + what)
		}
	}
}

// eventCount returns the number of events with the same boot id as the last batch.
func (s *fakeSink) eventCount() int {
	n := 0
	for _, b := range s.batches {
		if b.BootID == s.batches[len(s.batches)-1].BootID {
			n += len(b.Events)
		}
	}
	return n
}

// startObserved starts an engine and an observer that polls it.
func startObserved(t *testing.T) (*engine.Engine, *fakeSink) {
	t.Helper()
	e, err := engine.Start("127.0.0.1:0", engine.Config{
		ID: "e", Models: []wire.LoadedModel{{Model: model, Version: "v1"}}, TimeScale: 50,
	})
	if err != nil {
		t.Fatal(err)
	}
	view := fleet.NewView(1, api.Config{}, 1, nil, []*fleet.Upstream{{ID: "e", Addr: e.Addr(), Models: []string{model}}})
	client, s := upstream.New(), &fakeSink{}
	o := observe.New(client, func() *fleet.View { return view }, s, interval, hclog.NewNullLogger())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		client.Close()
		e.Close()
	})
	return e, s
}

// sendPrompt sends the engine a prompt of four cache blocks and waits for the end of its answer.
func sendPrompt(t *testing.T, e *engine.Engine, id string) {
	t.Helper()
	is := is.New(t)
	prompt := strings.Repeat("ice ", 4*wire.BlockTokens)
	body := bytes.NewBufferString(`{"model":"guide","max_tokens":1,"stream":true,"prompt":"` + prompt + `"}`)
	c := upstream.New()
	defer c.Close()
	s, err := c.Complete(context.Background(), e.Addr(), upstream.Completion{
		RequestID: id, Attempt: 1, Remaining: time.Minute, Body: body.Bytes(),
	}, upstream.SilenceLimits{Params: stream.NewParams(testTimeout), Deadline: time.Now().Add(testTimeout)})
	is.NoErr(err)
	defer s.Close()
	for {
		p, err := s.Next()
		is.NoErr(err)
		if p.FinishReason != "" {
			return
		}
	}
}

// The load report of an idle engine shows that there are no new cache events, so only the load is polled.
func TestCacheEventsAreReadOnlyIfThereAreNewOnes(t *testing.T) {
	is := is.New(t)
	e, s := startObserved(t)
	s.eventually(t, "ten reports", func() bool { return s.loads >= 10 })
	s.locked(func() {
		is.Equal(len(s.batches), 1) // the first round's
		is.True(s.states < s.loads)
		is.Equal(s.missed, 0)
	})
	sendPrompt(t, e, "p1")
	s.eventually(t, "four blocks", func() bool { return s.eventCount() == 4 })
}

// An engine restarts with an empty cache and its sequence numbers start again, below the number read last. An observer
// that continued from that number would miss the first blocks of the new boot, and prompts would still be sent to an
// engine that doesn't hold their prefix.
func TestCacheEventsOfNewBootAreReadFromStart(t *testing.T) {
	is := is.New(t)
	e, s := startObserved(t)
	sendPrompt(t, e, "p1")
	s.eventually(t, "four blocks", func() bool { return s.eventCount() == 4 })
	is.NoErr(e.Switch(faults.Kill, true, 0))
	s.eventually(t, "a missed report", func() bool { return s.missed > 0 })
	is.NoErr(e.Switch(faults.Kill, false, 0))
	sendPrompt(t, e, "p2")
	var first string
	s.locked(func() { first = s.batches[0].BootID })
	s.eventually(t, "four blocks of the new boot", func() bool {
		return s.batches[len(s.batches)-1].BootID != first && s.eventCount() == 4
	})
}
