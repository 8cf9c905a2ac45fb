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

var errStoreDown = errors.New("store is down")

// failingStore is a memory store that can be made unavailable to one instance or to all.
type failingStore struct {
	objects.Store
	down *atomic.Bool
}

// Get implements objects.Store.
func (s failingStore) Get(ctx context.Context, key objects.Key) (wire.Object, error) {
	if s.down.Load() {
		return wire.Object{}, errStoreDown
	}
	return s.Store.Get(ctx, key)
}

// Watch implements objects.Store.
func (s failingStore) Watch(ctx context.Context, kind string, version uint64, wait time.Duration) (wire.List, error) {
	if s.down.Load() {
		return wire.List{}, errStoreDown
	}
	return s.Store.Watch(ctx, kind, version, wait)
}

// instanceList is an instance list that tests modify.
type instanceList struct {
	mu      sync.Mutex
	current wire.InstanceList
}

// Instances implements objects.InstanceLister.
func (l *instanceList) Instances(context.Context) (wire.InstanceList, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current, nil
}

// add appends an instance to the list and increments the list's version.
func (l *instanceList) add(i wire.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current.Version++
	l.current.Instances = append(append([]wire.Instance(nil), l.current.Instances...), i)
}

// instance is a Follower that runs, with its Keeper and its access to the store.
type instance struct {
	*follow.Follower
	keeper *keeper.Keeper
	down   atomic.Bool // the store is unavailable to this instance
	stop   func()
}

// fixture is a fleet of instances that share one store and one instance list.
type fixture struct {
	t         *testing.T
	memory    *memory.Store
	list      *instanceList
	instances []*instance
}

// newFixture starts n instances in three failure domains, and lists them and one engine.
func newFixture(t *testing.T, n int) *fixture {
	f := &fixture{t: t, memory: memory.New(), list: &instanceList{}}
	f.list.add(wire.Instance{ID: "engine-1", Kind: wire.KindEngine, Domain: "north", State: wire.StateLive})
	for i := range n {
		f.start(fmt.Sprint("entry-", i), []string{"north", "mid", "south"}[i%3])
	}
	return f
}

// start starts an instance.
func (f *fixture) start(id, domain string) *instance {
	x := &instance{keeper: keeper.New(nil)}
	return f.startInstance(x, id, domain)
}

// startInstance runs x as a new instance and adds it to the list. The test's cleanup stops it.
func (f *fixture) startInstance(x *instance, id, domain string) *instance {
	f.t.Helper()
	var err error
	x.Follower, err = follow.New(follow.Deps{
		Self:  fleet.Instance{ID: fleet.InstanceID(id), Domain: fleet.DomainID(domain)},
		Store: failingStore{Store: f.memory, down: &x.down}, Instances: f.list, Keeper: x.keeper,
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
	f.instances = append(f.instances, x)
	f.list.add(wire.Instance{ID: id, Kind: wire.KindEntry, PeerAddr: x.Addr(), Domain: domain, State: wire.StateLive})
	return x
}

// write writes the next version of the configuration, through an instance or, if via is nil, directly to the store.
func (f *fixture) write(cfg api.Config, ifVersion uint64, via *instance) uint64 {
	f.t.Helper()
	raw, err := json.Marshal(cfg)
	if err != nil {
		f.t.Fatal(err)
	}
	var s objects.Store = f.memory
	if via != nil {
		s = follow.Announce(s, via.Follower)
	}
	version, err := s.Put(context.Background(), objects.Write{Key: follow.ConfigKey, IfVersion: ifVersion, WriteID: "w", Value: raw})
	if err != nil {
		f.t.Fatal(err)
	}
	return version
}

// waitFor fails the test if the condition doesn't become true within a generous time limit.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met in time: %s", what)
		}
	}
}

// waitInForce waits until every instance is usable and has the version in force.
func (f *fixture) waitInForce(version uint64) {
	f.t.Helper()
	for _, x := range f.instances {
		waitFor(f.t, "version in force and instance usable", func() bool {
			return x.keeper.View().ConfigVersion == version && x.Usable() == nil
		})
	}
}

// An instance that has read the instance list but no configuration must not be ready.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	waitFor(t, "instance list read", func() bool { return f.instances[2].keeper.View().ListVersion > 0 })
	for _, x := range f.instances {
		is.True(fault.Is(x.Usable(), fault.NotReady))
	}
	f.waitInForce(f.write(api.Config{}, 0, nil))
}

// A configuration that one instance has written must come into force on all instances, and its failure domains must be
// out of service there.
func TestAcceptedConfigurationIsAppliedByAllInstances(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 9) // more than an instance and its peers
	first := f.write(api.Config{}, 0, nil)
	f.waitInForce(first)
	second := f.write(api.Config{DomainsOut: []string{"north"}}, first, f.instances[3])
	f.waitInForce(second)
	for _, x := range f.instances {
		is.True(x.keeper.View().Upstream("engine-1").DomainOut)
	}
	waitFor(t, "all reachable instances report the version", func() bool {
		count, total := f.instances[0].CountInForce(second)
		// Instances that call this one count as well as its own peers.
		return count == total && total > 1+member.DefaultFanout && total <= 9
	})
}

// An instance is replaced while the store is unavailable. The new one has no state; it must get the configuration from
// its peers and become usable.
func TestNewInstanceStartsDuringStoreOutage(t *testing.T) {
	f := newFixture(t, 3)
	version := f.write(api.Config{}, 0, nil)
	f.waitInForce(version)
	for _, x := range f.instances {
		x.down.Store(true)
	}
	x := &instance{keeper: keeper.New(nil)}
	x.down.Store(true)
	f.startInstance(x, "entry-new", "mid")
	f.waitInForce(version)
}

// An upstream reports to one instance that it is leaving. The others must stop sending to it before the list shows
// this. The upstream must get work again after its next boot.
func TestLeavingUpstreamGetsNoWorkFromAnyInstance(t *testing.T) {
	f := newFixture(t, 6)
	f.waitInForce(f.write(api.Config{}, 0, nil))
	u := f.instances[0].keeper.View().Upstream("engine-1")
	f.instances[0].OnLoad(u, "boot-1", true)
	for _, x := range f.instances {
		waitFor(t, "upstream leaving", func() bool { return !x.keeper.View().Upstream("engine-1").AcceptsWork() })
	}
	f.instances[4].OnLoad(u, "boot-2", false)
	waitFor(t, "upstream accepts work again", func() bool { return f.instances[4].keeper.View().Upstream("engine-1").AcceptsWork() })
}

// An instance that reaches neither its peers nor the store must refuse new work, and accept it again once it is in
// contact.
func TestIsolatedInstanceRefusesWork(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	f.waitInForce(f.write(api.Config{}, 0, nil))
	isolated, peer := f.instances[0], f.instances[1]
	isolated.down.Store(true)
	peer.stop() // its only peer
	waitFor(t, "isolated instance stale", func() bool { return fault.Is(isolated.Usable(), fault.StaleInstance) })
	waitFor(t, "no longer regaining trust", func() bool { return !isolated.Regaining() })
	is.True(fault.Is(isolated.Usable(), fault.StaleInstance))
	isolated.down.Store(false)
	waitFor(t, "instance usable again", func() bool { return isolated.Usable() == nil })
}

// During a rolling upgrade, an accepted configuration has a field that this program doesn't support. Guards against an
// instance that continues with the previous version: it could send work to a failure domain that the new version takes
// out of service.
func TestUnreadableConfigurationStopsService(t *testing.T) {
	f := newFixture(t, 3)
	first := f.write(api.Config{}, 0, nil)
	f.waitInForce(first)
	version, err := f.memory.Put(context.Background(), objects.Write{
		Key: follow.ConfigKey, IfVersion: first, WriteID: "w", Value: []byte(`{"intent":{"models":null},"of_the_future":1}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range f.instances {
		waitFor(t, "instance not ready", func() bool { return fault.Is(x.Usable(), fault.NotReady) })
	}
	f.waitInForce(f.write(api.Config{}, version, nil))
}
