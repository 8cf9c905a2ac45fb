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

// fakeEngines holds reservations by engine address. They don't expire.
type fakeEngines struct {
	mu           sync.Mutex
	reservations map[string][]wire.Reservation // guarded by mu
	down         bool                          // guarded by mu: the engines answer no list call
}

func (f *fakeEngines) Reservations(_ context.Context, addr string) (wire.Reservations, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return wire.Reservations{}, errors.New("down")
	}
	return wire.Reservations{Reservations: append([]wire.Reservation(nil), f.reservations[addr]...)}, nil
}

func (f *fakeEngines) Release(_ context.Context, addr, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var remaining []wire.Reservation
	for _, r := range f.reservations[addr] {
		if r.ID != id {
			remaining = append(remaining, r)
		}
	}
	f.reservations[addr] = remaining
	return nil
}

// reservationIDs returns the ids of the reservations on engine "e".
func (f *fakeEngines) reservationIDs() (ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.reservations["e"] {
		ids = append(ids, r.ID)
	}
	return ids
}

// runSweeper runs the sweeper of instance "me" for the given time, with the given instances in the instance list.
// usable is the result of CheckUsable.
func runSweeper(t *testing.T, f *fakeEngines, usable error, duration time.Duration, instances ...string) {
	var listed []*fleet.Instance
	for _, id := range instances {
		listed = append(listed, &fleet.Instance{ID: fleet.InstanceID(id)})
	}
	v := fleet.NewView(1, api.Config{}, 1, listed, []*fleet.Upstream{{ID: ownedBy("me", instances), Addr: "e"}})
	s := New(Deps{
		Self: reserve.Holder{Instance: "me", Incarnation: "me-2"}, View: func() *fleet.View { return v },
		CheckUsable: func() error { return usable }, Engines: f, Explain: explain.New(hclog.NewNullLogger()),
		Metrics: metrics.New(), Log: hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	s.Run(ctx)
}

// ownedBy returns the name of an engine that the member owns, or of any engine if the member owns none.
func ownedBy(member string, members []string) fleet.UpstreamID {
	for i := range 100 {
		name := fmt.Sprintf("engine-%d", i)
		if rendezvous.Owner(name, members) == member {
			return fleet.UpstreamID(name)
		}
	}
	return "engine"
}

// newFakeEngines returns an engine "e" that holds, in this order, a reservation of another live instance, one of this
// instance, one of its earlier incarnation, one of a dead instance, and one whose deadline has passed.
func newFakeEngines() *fakeEngines {
	return &fakeEngines{reservations: map[string][]wire.Reservation{"e": {
		{ID: "live", Holder: "other", Incarnation: "other-1"},
		{ID: "mine", Holder: "me", Incarnation: "me-2"},
		{ID: "former", Holder: "me", Incarnation: "me-1"},
		{ID: "gone", Holder: "dead", Incarnation: "dead-1"},
		{ID: "over", Holder: "other", Incarnation: "other-1", DeadlineMs: 1000, AgeMs: 7000},
	}}}
}

func TestSweeperReleasesOrphans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines()
		listed := []string{"me", "other"}
		runSweeper(t, f, nil, Interval+time.Second, listed...)
		is.Equal(f.reservationIDs(), []string{"live", "mine", "former", "gone"}) // a passed deadline suffices
		runSweeper(t, f, nil, 30*time.Second, listed...)
		is.Equal(f.reservationIDs(), []string{"live", "mine"})
	})
}

// An isolated instance, whose list shows only itself, must not treat all other instances as gone. Releasing their
// reservations would make their running prompts fail.
func TestIsolatedSweeperSparesOtherInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines()
		runSweeper(t, f, errors.New("isolated"), time.Minute, "me")
		is.Equal(f.reservationIDs(), []string{"live", "mine", "gone"}) // its own earlier incarnation is certainly gone
	})
}

func TestOnlyTheOwnerSweeps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines()
		runSweeper(t, f, nil, time.Minute, "somebody", "else")
		is.Equal(len(f.reservationIDs()), 5)
	})
}

func TestSweeperContinuesWhenEnginesDoNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines()
		f.down = true
		runSweeper(t, f, nil, time.Minute, "me")
		is.Equal(len(f.reservationIDs()), 5)
	})
}
