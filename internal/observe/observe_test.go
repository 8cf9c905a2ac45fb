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
	model     = "guide"
	interval  = 5 * time.Millisecond
	hangGuard = 20 * time.Second
)

// sink keeps what was reported.
type sink struct {
	mu      sync.Mutex
	loads   int                // guarded by mu
	states  int                // guarded by mu
	batches []wire.CacheEvents // guarded by mu
	silent  int                // guarded by mu
}

func (s *sink) OnLoad(*fleet.Upstream, wire.LoadReport, time.Time) { s.note(func() { s.loads++ }) }
func (s *sink) OnState(*fleet.Upstream, wire.EngineState)          { s.note(func() { s.states++ }) }
func (s *sink) OnReportMissed(*fleet.Upstream, error)              { s.note(func() { s.silent++ }) }
func (s *sink) OnCache(_ *fleet.Upstream, e wire.CacheEvents) {
	s.note(func() { s.batches = append(s.batches, e) })
}

func (s *sink) note(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// eventually waits until cond, asked under the lock, holds.
func (s *sink) eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(hangGuard); ; time.Sleep(interval) {
		var ok bool
		s.note(func() { ok = cond() })
		if ok {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("never: " + what)
		}
	}
}

// events counts the events of the boot of the latest batch.
func (s *sink) events() int {
	n := 0
	for _, b := range s.batches {
		if b.BootID == s.batches[len(s.batches)-1].BootID {
			n += len(b.Events)
		}
	}
	return n
}

// watched starts an engine and an observer of it.
func watched(t *testing.T) (*engine.Engine, *sink) {
	t.Helper()
	e, err := engine.Start("127.0.0.1:0", engine.Config{
		ID: "e", Models: []wire.LoadedModel{{Model: model, Version: "v1"}}, TimeScale: 50,
	})
	if err != nil {
		t.Fatal(err)
	}
	view := fleet.NewView(1, api.Config{}, 1, nil, []*fleet.Upstream{{ID: "e", Addr: e.Addr(), Models: []string{model}}})
	client, s := upstream.New(), &sink{}
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

// ask sends a prompt of four cache blocks.
func ask(t *testing.T, e *engine.Engine, id string) {
	t.Helper()
	is := is.New(t)
	prompt := strings.Repeat("ice ", 4*wire.BlockTokens)
	body := bytes.NewBufferString(`{"model":"guide","max_tokens":1,"stream":true,"prompt":"` + prompt + `"}`)
	c := upstream.New()
	defer c.Close()
	s, err := c.Complete(context.Background(), e.Addr(), upstream.Completion{
		RequestID: id, Attempt: 1, Remaining: time.Minute, Body: body.Bytes(),
	}, upstream.SilenceLimits{Params: stream.NewParams(hangGuard), Deadline: time.Now().Add(hangGuard)})
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

// An idle engine is asked for its load alone: its report tells that there are no new cache events.
func TestCacheEventsAreReadOnlyWhenThereAreNewOnes(t *testing.T) {
	is := is.New(t)
	e, s := watched(t)
	s.eventually(t, "ten reports", func() bool { return s.loads >= 10 })
	s.note(func() {
		is.Equal(len(s.batches), 1) // the first round's
		is.True(s.states < s.loads)
		is.Equal(s.silent, 0)
	})
	ask(t, e, "p1")
	s.eventually(t, "four blocks", func() bool { return s.events() == 4 })
}

// An engine dies and comes back with an empty cache. Its sequence numbers begin anew, below the place that
// was read before: an observer that read on from there would never hear of the first blocks of the new boot
// and would keep sending prompts to where their prefix is not.
func TestEventsOfANewBootAreReadFromTheBeginning(t *testing.T) {
	is := is.New(t)
	e, s := watched(t)
	ask(t, e, "p1")
	s.eventually(t, "four blocks", func() bool { return s.events() == 4 })
	is.NoErr(e.Switch(faults.Kill, true, 0))
	s.eventually(t, "silence", func() bool { return s.silent > 0 })
	is.NoErr(e.Switch(faults.Kill, false, 0))
	ask(t, e, "p2")
	var first string
	s.note(func() { first = s.batches[0].BootID })
	s.eventually(t, "four blocks of the new boot", func() bool {
		return s.batches[len(s.batches)-1].BootID != first && s.events() == 4
	})
}
