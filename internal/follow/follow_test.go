package follow_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide/member"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/follow"
	"github.com/damaskshelf/damaskshelf/internal/keeper"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/memory"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errDown = errors.New("store is down")

// store is a memory store that can be down, for one instance or for all.
type store struct {
	objects.Store
	down *atomic.Bool
}

func (s store) Get(ctx context.Context, key objects.Key) (wire.Object, error) {
	if s.down.Load() {
		return wire.Object{}, errDown
	}
	return s.Store.Get(ctx, key)
}

func (s store) Watch(ctx context.Context, kind string, version uint64, wait time.Duration) (wire.List, error) {
	if s.down.Load() {
		return wire.List{}, errDown
	}
	return s.Store.Watch(ctx, kind, version, wait)
}

// list is an instance list that tests change.
type list struct {
	mu  sync.Mutex
	now wire.InstanceList
}

func (l *list) Instances(context.Context) (wire.InstanceList, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now, nil
}

func (l *list) add(i wire.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now.Version++
	l.now.Instances = append(append([]wire.Instance(nil), l.now.Instances...), i)
}

type instance struct {
	*follow.Follower
	keeper *keeper.Keeper
	down   atomic.Bool // the store, as this instance sees it
	stop   func()
}

type fixture struct {
	t      *testing.T
	memory *memory.Store
	list   *list
	all    []*instance
}

// newFixture starts n instances in three failure domains, and one engine in the list.
func newFixture(t *testing.T, n int) *fixture {
	f := &fixture{t: t, memory: memory.New(), list: &list{}}
	f.list.add(wire.Instance{ID: "engine-1", Kind: wire.KindEngine, Domain: "north", State: wire.StateLive})
	for i := range n {
		f.start(fmt.Sprint("entry-", i), []string{"north", "mid", "south"}[i%3])
	}
	return f
}

func (f *fixture) start(id, domain string) *instance {
	x := &instance{keeper: keeper.New(nil)}
	return f.run(x, id, domain)
}

func (f *fixture) run(x *instance, id, domain string) *instance {
	f.t.Helper()
	var err error
	x.Follower, err = follow.New(follow.Deps{
		Self:  fleet.Instance{ID: fleet.InstanceID(id), Domain: fleet.DomainID(domain)},
		Store: store{Store: f.memory, down: &x.down}, Instances: f.list, Keeper: x.keeper,
		ListInterval: 20 * time.Millisecond, HeartbeatInterval: 50 * time.Millisecond, Log: hclog.NewNullLogger(),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	if err := x.Listen("127.0.0.1:0"); err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		x.Run(ctx)
	}()
	x.stop = sync.OnceFunc(func() {
		cancel()
		<-done
	})
	f.t.Cleanup(x.stop)
	f.all = append(f.all, x)
	f.list.add(wire.Instance{ID: id, Kind: wire.KindEntry, Peer: x.Addr(), Domain: domain, State: wire.StateLive})
	return x
}

// write makes the next version of the configuration, through one instance or past all of them.
func (f *fixture) write(cfg api.Config, ifVersion uint64, through *instance) uint64 {
	f.t.Helper()
	raw, err := json.Marshal(cfg)
	if err != nil {
		f.t.Fatal(err)
	}
	var s objects.Store = f.memory
	if through != nil {
		s = follow.Announce(s, through.Follower)
	}
	version, err := s.Put(context.Background(), objects.Write{Key: follow.ConfigKey, IfVersion: ifVersion, WriteID: "w", Value: raw})
	if err != nil {
		f.t.Fatal(err)
	}
	return version
}

// eventually fails the test when the condition does not come true in a time that no machine needs.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(30 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("never: %s", what)
		}
	}
}

func (f *fixture) inForce(version uint64) {
	f.t.Helper()
	for _, x := range f.all {
		eventually(f.t, "in force and usable", func() bool {
			return x.keeper.View().ConfigVersion == version && x.Usable() == nil
		})
	}
}

func TestNotReadyWithoutAConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	eventually(t, "list read", func() bool { return f.all[2].keeper.View().ListVersion > 0 })
	for _, x := range f.all {
		is.True(fault.Is(x.Usable(), fault.NotReady))
	}
	f.inForce(f.write(api.Config{}, 0, nil))
}

// A configuration that one instance wrote comes in force on all, and marks the domain's upstreams.
func TestAnAcceptedConfigurationIsInForceEverywhere(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 9) // more than an instance and its peers
	first := f.write(api.Config{}, 0, nil)
	f.inForce(first)
	second := f.write(api.Config{DomainsOut: []string{"north"}}, first, f.all[3])
	f.inForce(second)
	for _, x := range f.all {
		is.True(x.keeper.View().Upstream("engine-1").DomainOut)
	}
	eventually(t, "told by peers", func() bool {
		have, of := f.all[0].CountInForce(second)
		return have == of && of > 1+member.DefaultFanout && of <= 9 // callers count beside peers
	})
}

// The store is down and an instance is replaced: the new one has nothing, gets the configuration from its
// peers, and serves.
func TestANewInstanceStartsWhileTheStoreIsDown(t *testing.T) {
	f := newFixture(t, 3)
	version := f.write(api.Config{}, 0, nil)
	f.inForce(version)
	for _, x := range f.all {
		x.down.Store(true)
	}
	x := &instance{keeper: keeper.New(nil)}
	x.down.Store(true)
	f.run(x, "entry-new", "mid")
	f.inForce(version)
}

// An upstream tells one instance that it is leaving; the others must stop sending to it before the list
// says so, and send again to the upstream's next boot.
func TestALeavingUpstreamIsLeftEverywhere(t *testing.T) {
	f := newFixture(t, 6)
	f.inForce(f.write(api.Config{}, 0, nil))
	u := f.all[0].keeper.View().Upstream("engine-1")
	f.all[0].OnLoad(u, "boot-1", true)
	for _, x := range f.all {
		eventually(t, "leaving", func() bool { return !x.keeper.View().Upstream("engine-1").AcceptsWork() })
	}
	f.all[4].OnLoad(u, "boot-2", false)
	eventually(t, "taken up again", func() bool { return f.all[4].keeper.View().Upstream("engine-1").AcceptsWork() })
}

// An instance that neither peers nor the store answer must refuse new work, and take it up again when it
// hears somebody.
func TestACutOffInstanceRefuses(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	f.inForce(f.write(api.Config{}, 0, nil))
	lost, other := f.all[0], f.all[1]
	lost.down.Store(true)
	other.stop() // its only peer
	eventually(t, "stale", func() bool { return fault.Is(lost.Usable(), fault.StaleInstance) })
	eventually(t, "refuses at once", func() bool { return !lost.Regaining() })
	is.True(fault.Is(lost.Usable(), fault.StaleInstance))
	lost.down.Store(false)
	eventually(t, "usable again", func() bool { return lost.Usable() == nil })
}

// During a rolling upgrade an accepted configuration has a field that this program does not know. Serving
// on by the version before could bring work to a domain that the new one takes out.
func TestAnUnreadableConfigurationIsNotServedPast(t *testing.T) {
	f := newFixture(t, 3)
	first := f.write(api.Config{}, 0, nil)
	f.inForce(first)
	version, err := f.memory.Put(context.Background(), objects.Write{
		Key: follow.ConfigKey, IfVersion: first, WriteID: "w", Value: []byte(`{"intent":{"models":null},"of_the_future":1}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range f.all {
		eventually(t, "refuses", func() bool { return fault.Is(x.Usable(), fault.NotReady) })
	}
	f.inForce(f.write(api.Config{}, version, nil))
}
