package capacity_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/relay"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/keeper"
	platform "github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/peer"
	upstream "github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// fleetSize is the size of a fleet: the numbers of its instances, upstreams, workspaces, failure domains and models.
type fleetSize struct{ instanceCount, upstreams, workspaces, domains, models int }

// fleetSizes are those of the present deployment, of a tenth of the design size and of the design size.
var fleetSizes = []fleetSize{{9, 23, 10, 3, 3}, {93, 690, 480, 16, 15}, {930, 6900, 4800, 16, 15}}

func (s fleetSize) String() string {
	return fmt.Sprintf("%d-%d-%d", s.instanceCount, s.upstreams, s.workspaces)
}

func domainName(i, n int) string { return fmt.Sprintf("domain-%02d", i%n) }

// instanceList returns an instance list of all entry instances and engines, with entries of usual length.
func (s fleetSize) instanceList(version uint64) platform.InstanceList {
	l := platform.InstanceList{Version: version}
	for i := range s.instanceCount {
		l.Instances = append(l.Instances, platform.Instance{
			ID: fmt.Sprintf("entry-%04d", i), Kind: platform.KindEntry, State: platform.StateLive,
			Addr: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), PeerAddr: fmt.Sprintf("10.0.%d.%d:8082", i/250, i%250),
			Domain: domainName(i, s.domains), Region: "region-1",
		})
	}
	for i := range s.upstreams {
		l.Instances = append(l.Instances, platform.Instance{
			ID: fmt.Sprintf("engine-%05d", i), Kind: platform.KindEngine, State: platform.StateLive,
			Addr:   fmt.Sprintf("10.%d.%d.%d:8000", 1+i/62500, i/250%250, i%250),
			Domain: domainName(i, s.domains), Region: "region-1", Fencing: true, KVCacheTokens: 400_000,
		})
	}
	return l
}

// config returns a configuration with all models and workspaces.
func (s fleetSize) config() api.Config {
	var c api.Config
	for i := range s.models {
		c.Intent.Models = append(c.Intent.Models, api.Model{
			Name: fmt.Sprint("model-", i), Version: "2026-11", Replicas: 400, Floor: 300,
			MemoryTokens: 40_000, WeightGB: 140,
		})
	}
	for i := range s.workspaces {
		c.Intent.Workspaces = append(c.Intent.Workspaces, api.Workspace{
			Name: fmt.Sprintf("workspace-%05d", i*7919%100_000), Weight: float64(1+i%9) / 2, MaxInFlight: 10 + i%190, Priority: i%5 - 2,
		})
	}
	return c
}

// fleetInstances returns the entry instances as the membership code uses them.
func (s fleetSize) fleetInstances() []fleet.Instance {
	all := make([]fleet.Instance, s.instanceCount)
	for i := range all {
		all[i] = fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("entry-%04d", i)), PeerAddr: fmt.Sprint("addr-", i),
			Domain: fleet.DomainID(domainName(i, s.domains)),
		}
	}
	return all
}

// newKeeper returns a keeper with the instance list. Its upstreams are listed as services named after their models: the
// view indexes services and engines in the same way, but the models of engines would be published one engine at a time.
func (s fleetSize) newKeeper() *keeper.Keeper {
	k := keeper.New(nil)
	l := s.instanceList(1)
	for i := range l.Instances[s.instanceCount:] {
		u := &l.Instances[s.instanceCount+i]
		u.Kind, u.Service = platform.KindService, fmt.Sprint("model-", i%s.models)
	}
	k.SetInstances(l)
	return k
}

// marshal returns v as JSON and fails the test on an error.
func marshal(tb testing.TB, v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		tb.Fatal(err)
	}
	return raw
}

// BenchmarkConfigChange measures what one configuration change costs an instance: unpack it, decode it, and build and
// publish the view.
func BenchmarkConfigChange(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			raw := marshal(b, s.config())
			packed, err := peer.Pack(raw)
			if err != nil {
				b.Fatal(err)
			}
			k, version := s.newKeeper(), uint64(0)
			b.ReportAllocs()
			defer measureCPUTime(b)()
			for b.Loop() {
				raw, err := peer.Unpack(packed)
				if err != nil {
					b.Fatal(err)
				}
				var c api.Config
				if err := api.DecodeStrict(raw, &c); err != nil {
					b.Fatal(err)
				}
				version++
				k.SetConfig(version, c)
			}
		})
	}
}

// BenchmarkConfigPack measures the additional cost of a change for the watcher that read it from the store.
func BenchmarkConfigPack(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			raw := marshal(b, s.config())
			defer measureCPUTime(b)()
			for b.Loop() {
				if _, err := peer.Pack(raw); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkListRead measures what one read of the instance list costs: decode it, publish it and choose peers.
func BenchmarkListRead(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			raw := marshal(b, s.instanceList(1))
			k := s.newKeeper()
			all := s.fleetInstances()
			n := relay.NewNode(0, relay.NewParams(all[0], 1, 500*time.Millisecond, rand.New(rand.NewPCG(1, 1))))
			version := uint64(2)
			b.ReportAllocs()
			defer measureCPUTime(b)()
			for b.Loop() {
				var l platform.InstanceList
				if err := json.Unmarshal(raw, &l); err != nil {
					b.Fatal(err)
				}
				version++
				l.Version = version
				k.SetInstances(l)
				n.UpdateInstances(0, version, all)
			}
		})
	}
}

// newMembershipSecond starts a node in a fleet of that size. The returned function advances it by one second without
// changes: ten ticks, twelve heartbeats sent and answered, twelve received.
func (s fleetSize) newMembershipSecond() func() {
	all := s.fleetInstances()
	n := relay.NewNode(0, relay.NewParams(all[0], 1, 500*time.Millisecond, rand.New(rand.NewPCG(1, 1))))
	now := decide.Instant(0)
	executeEffects(n, now, n.UpdateInstances(now, 1, all))
	executeEffects(n, now, n.ConfigAccepted(now, relay.Config{Version: 1, Packed: []byte{1}}))
	peers := n.Members().Peers()
	return func() {
		for range 10 {
			now = now.Add(relay.TickInterval)
			executeEffects(n, now, n.Tick(now))
		}
		for i := range 12 {
			p := peers[i%len(peers)]
			n.HeartbeatReceived(now, relay.Digest{Instance: p.ID, Incarnation: 1, ConfigVersion: 1, ListVersion: 1})
		}
	}
}

// BenchmarkSecondOfMembership measures the membership decisions of one second without changes.
func BenchmarkSecondOfMembership(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			runSecond := s.newMembershipSecond()
			b.ReportAllocs()
			defer measureCPUTime(b)()
			for b.Loop() {
				runSecond()
			}
		})
	}
}

// The allocations of one second of membership decisions must not exceed one bound for all fleet sizes.
func TestMembershipAllocations(t *testing.T) {
	const bound = 45 // allocations
	for _, s := range fleetSizes {
		n := testing.AllocsPerRun(100, s.newMembershipSecond())
		t.Logf("%s: %.0f allocations a second", s, n)
		if n > bound {
			t.Errorf("%s: over the bound of %d", s, bound)
		}
	}
}

// executeEffects completes a node's effects as successful peers and a store with version 1 would. The watch finds no
// object.
func executeEffects(n *relay.Node, now decide.Instant, effects []relay.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case relay.SendHeartbeat:
			d := relay.Digest{Instance: e.To.ID, Incarnation: 1, ConfigVersion: 1, ListVersion: 1}
			executeEffects(n, now, n.HeartbeatDone(now, e, d, true))
		case relay.ReadStore:
			executeEffects(n, now, n.ReadDone(now, e, relay.Config{Version: 1}, relay.StoreFound))
		case relay.WatchStore:
			n.WatchDone(now, e, relay.Config{}, relay.StoreAbsent)
		}
	}
}

// loadReport returns an engine's load report with figures of usual length.
func loadReport() upstream.LoadReport {
	return upstream.LoadReport{
		BootID: "0123456789abcdef", Seq: 123_456, AgeMs: 180, ColdLimit: 4, Running: 23, Queued: 11,
		QueuedTokens: 123_456, MemoryUsed: 321_000, MemoryTotal: 400_000, PrefillRate: 24_000,
	}
}

// cacheEvents returns n cache events with figures of usual length.
func cacheEvents(n int) upstream.CacheEvents {
	e := upstream.CacheEvents{BootID: "0123456789abcdef", First: 1, Next: uint64(n + 1)}
	for i := range n {
		e.Events = append(e.Events, upstream.CacheEvent{Seq: uint64(1_000_000 + i), Hash: 0xfedcba9876543210 + uint64(i), Drop: i%2 == 0})
	}
	return e
}

// BenchmarkPublishServed measures what a change of one engine's serving state costs: the whole view is rebuilt.
func BenchmarkPublishServed(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			k := s.newKeeper()
			b.ReportAllocs()
			defer measureCPUTime(b)()
			for i := 0; b.Loop(); i++ {
				k.SetServingState("engine-00000", keeper.ServingState{LongLane: i%2 == 0})
			}
		})
	}
}

// BenchmarkLoadReport measures the decoding of one load report, which the owner of an upstream and every other reader
// do.
func BenchmarkLoadReport(b *testing.B) {
	raw := marshal(b, loadReport())
	b.ReportAllocs()
	defer measureCPUTime(b)()
	for b.Loop() {
		var l upstream.LoadReport
		if err := json.Unmarshal(raw, &l); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCacheEvents measures the decoding of cache events.
func BenchmarkCacheEvents(b *testing.B) {
	for _, n := range []int{1, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			raw := marshal(b, cacheEvents(n))
			defer measureCPUTime(b)()
			for b.Loop() {
				var e upstream.CacheEvents
				if err := json.Unmarshal(raw, &e); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// The sizes of the messages that instances read must not exceed their bounds. The test also prints the sizes.
func TestMessageBytes(t *testing.T) {
	check := func(message string, size, bound int) {
		t.Logf("%s: %d bytes", message, size)
		if size > bound {
			t.Errorf("%s is over its bound of %d bytes", message, bound)
		}
	}
	check("load report", len(marshal(t, loadReport())), 260)
	check("a cache event of 1000", len(marshal(t, cacheEvents(1000)))/1000, 60)
	for _, s := range fleetSizes {
		l := marshal(t, s.instanceList(1))
		rows := s.instanceCount + s.upstreams
		check("instance list of "+s.String(), len(l), 190*rows+60)
	}
}

// The heap memory of the view and of the node's own state must not exceed their bounds. The test also prints it.
func TestFleetStateMemory(t *testing.T) {
	for _, s := range fleetSizes {
		before := heapBytes()
		k := s.newKeeper()
		k.SetConfig(1, s.config())
		view := heapBytes() - before
		before = heapBytes()
		all := s.fleetInstances()
		n := relay.NewNode(0, relay.NewParams(all[0], 1, 500*time.Millisecond, rand.New(rand.NewPCG(1, 1))))
		n.UpdateInstances(0, 1, all)
		node := heapBytes() - before
		t.Logf("%s: view %d KB, node %d KB", s, view>>10, node>>10)
		if view > 16<<20 || node > 1<<20 {
			t.Errorf("%s: the state of the fleet takes more memory than its bound", s)
		}
		runtime.KeepAlive(k)
		runtime.KeepAlive(n)
	}
}

// heapBytes returns the bytes of live heap objects, after garbage collection.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
