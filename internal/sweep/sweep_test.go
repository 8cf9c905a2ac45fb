package sweep

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide/reserve"
	"github.com/damaskshelf/damaskshelf/internal/explain"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	"github.com/damaskshelf/damaskshelf/internal/rendezvous"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// fakeEngines is reservations by engine address. They have no expiry.
type fakeEngines struct {
	mu   sync.Mutex
	held map[string][]wire.Reservation // guarded by mu
	down bool                          // guarded by mu
}

func (f *fakeEngines) Reservations(_ context.Context, addr string) (wire.Reservations, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return wire.Reservations{}, errors.New("down")
	}
	return wire.Reservations{Reservations: append([]wire.Reservation(nil), f.held[addr]...)}, nil
}

func (f *fakeEngines) Release(_ context.Context, addr, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rest []wire.Reservation
	for _, r := range f.held[addr] {
		if r.ID != id {
			rest = append(rest, r)
		}
	}
	f.held[addr] = rest
	return nil
}

func (f *fakeEngines) ids() (ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.held["e"] {
		ids = append(ids, r.ID)
	}
	return ids
}

// run sweeps as instance "me" for a while, with the given instances listed.
func run(t *testing.T, f *fakeEngines, usable error, d time.Duration, instances ...string) {
	var listed []*fleet.Instance
	for _, id := range instances {
		listed = append(listed, &fleet.Instance{ID: fleet.InstanceID(id)})
	}
	v := fleet.NewView(1, api.Config{}, 1, listed, []*fleet.Upstream{{ID: homeOf("me", instances), Addr: "e"}})
	s := New(Deps{
		Self: reserve.Holder{Instance: "me", Incarnation: "me-2"}, View: func() *fleet.View { return v },
		CheckUsable: func() error { return usable }, Engines: f, Explain: explain.New(hclog.NewNullLogger()),
		Metrics: metrics.New(), Log: hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	s.Run(ctx)
}

// homeOf names an engine whose home is the member, or where it is none any engine.
func homeOf(member string, members []string) fleet.UpstreamID {
	for i := range 100 {
		name := fmt.Sprintf("engine-%d", i)
		if rendezvous.Owner(name, members) == member {
			return fleet.UpstreamID(name)
		}
	}
	return "engine"
}

func reservations() *fakeEngines {
	return &fakeEngines{held: map[string][]wire.Reservation{"e": {
		{ID: "live", Holder: "other", Incarnation: "other-1"},
		{ID: "mine", Holder: "me", Incarnation: "me-2"},
		{ID: "former", Holder: "me", Incarnation: "me-1"},
		{ID: "gone", Holder: "dead", Incarnation: "dead-1"},
		{ID: "over", Holder: "other", Incarnation: "other-1", DeadlineMs: 1000, AgeMs: 7000},
	}}}
}

func TestSweeperFreesWhatNobodyReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := reservations()
		listed := []string{"me", "other"}
		run(t, f, nil, Interval+time.Second, listed...)
		is.Equal(f.ids(), []string{"live", "mine", "former", "gone"}) // the deadline is enough at once
		run(t, f, nil, 30*time.Second, listed...)
		is.Equal(f.ids(), []string{"live", "mine"})
	})
}

// Running prompts of all other instances end in errors. Order: this instance is cut off, its list shows
// only itself. Cause: it takes its own blindness for the others' death.
func TestCutOffSweeperJudgesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := reservations()
		run(t, f, errors.New("cut off"), time.Minute, "me")
		is.Equal(f.ids(), []string{"live", "mine", "gone"}) // its own former life it knows for sure
	})
}

func TestOnlyTheHomeSweeps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := reservations()
		run(t, f, nil, time.Minute, "somebody", "else")
		is.Equal(len(f.ids()), 5)
	})
}

func TestSweeperOutlivesEnginesThatDoNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := reservations()
		f.down = true
		run(t, f, nil, time.Minute, "me")
		is.Equal(len(f.ids()), 5)
	})
}
