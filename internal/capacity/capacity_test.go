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

// shape is a fleet: today's, a tenth of the letter's, the letter's.
type shape struct{ entries, upstreams, workspaces, domains, models int }

var shapes = []shape{{9, 23, 10, 3, 3}, {93, 690, 480, 16, 15}, {930, 6900, 4800, 16, 15}}

func (s shape) String() string { return fmt.Sprintf("%d-%d-%d", s.entries, s.upstreams, s.workspaces) }

func domain(i, n int) string { return fmt.Sprintf("domain-%02d", i%n) }

func (s shape) list(version uint64) platform.InstanceList {
	l := platform.InstanceList{Version: version}
	for i := range s.entries {
		l.Instances = append(l.Instances, platform.Instance{
			ID: fmt.Sprintf("entry-%04d", i), Kind: platform.KindEntry, State: platform.StateLive,
			Addr: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), PeerAddr: fmt.Sprintf("10.0.%d.%d:8082", i/250, i%250),
			Domain: domain(i, s.domains), Region: "region-1",
		})
	}
	for i := range s.upstreams {
		l.Instances = append(l.Instances, platform.Instance{
			ID: fmt.Sprintf("engine-%05d", i), Kind: platform.KindEngine, State: platform.StateLive,
			Addr:   fmt.Sprintf("10.%d.%d.%d:8000", 1+i/62500, i/250%250, i%250),
			Domain: domain(i, s.domains), Region: "region-1", Fencing: true, KVCacheTokens: 400_000,
		})
	}
	return l
}

func (s shape) config() api.Config {
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

func (s shape) instances() []fleet.Instance {
	all := make([]fleet.Instance, s.entries)
	for i := range all {
		all[i] = fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("entry-%04d", i)), PeerAddr: fmt.Sprint("addr-", i),
			Domain: fleet.DomainID(domain(i, s.domains)),
		}
	}
	return all
}

// keeper gives a keeper with the list. Its upstreams stand as services under their models' names: the
// view indexes both kinds alike, and engines' models would be published one engine at a time.
func (s shape) keeper() *keeper.Keeper {
	k := keeper.New(nil)
	l := s.list(1)
	for i := range l.Instances[s.entries:] {
		u := &l.Instances[s.entries+i]
		u.Kind, u.Service = platform.KindService, fmt.Sprint("model-", i%s.models)
	}
	k.SetInstances(l)
	return k
}

func marshal(tb testing.TB, v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		tb.Fatal(err)
	}
	return raw
}

// BenchmarkConfigChange is what one change costs an instance: unpack, decode, build and publish the view.
func BenchmarkConfigChange(b *testing.B) {
	for _, s := range shapes {
		b.Run(s.String(), func(b *testing.B) {
			raw := marshal(b, s.config())
			packed, err := peer.Pack(raw)
			if err != nil {
				b.Fatal(err)
			}
			k, version := s.keeper(), uint64(0)
			b.ReportAllocs()
			defer processorTime(b)()
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

// BenchmarkConfigPack is what a watcher adds to a change that it read from the store.
func BenchmarkConfigPack(b *testing.B) {
	for _, s := range shapes {
		b.Run(s.String(), func(b *testing.B) {
			raw := marshal(b, s.config())
			defer processorTime(b)()
			for b.Loop() {
				if _, err := peer.Pack(raw); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkListRead is what one read of the instance list costs: decode, publish, choose peers.
func BenchmarkListRead(b *testing.B) {
	for _, s := range shapes {
		b.Run(s.String(), func(b *testing.B) {
			raw := marshal(b, s.list(1))
			k := s.keeper()
			all := s.instances()
			n := relay.NewNode(0, relay.NewParams(all[0], 1, 500*time.Millisecond, rand.New(rand.NewPCG(1, 1))))
			version := uint64(2)
			b.ReportAllocs()
			defer processorTime(b)()
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

// second gives a node in a fleet of that shape and a function that lets a second without news pass: ten
// ticks, twelve heartbeats sent and answered, twelve received.
func (s shape) second() func() {
	all := s.instances()
	n := relay.NewNode(0, relay.NewParams(all[0], 1, 500*time.Millisecond, rand.New(rand.NewPCG(1, 1))))
	now := decide.Instant(0)
	answer(n, now, n.UpdateInstances(now, 1, all))
	answer(n, now, n.ConfigAccepted(now, relay.Config{Version: 1, Packed: []byte{1}}))
	peers := n.Members().Peers()
	return func() {
		for range 10 {
			now = now.Add(relay.TickInterval)
			answer(n, now, n.Tick(now))
		}
		for i := range 12 {
			p := peers[i%len(peers)]
			n.HeartbeatReceived(now, relay.Digest{Instance: p.ID, Incarnation: 1, ConfigVersion: 1, ListVersion: 1})
		}
	}
}

// BenchmarkSecondOfMembership is the decisions of one second without news.
func BenchmarkSecondOfMembership(b *testing.B) {
	for _, s := range shapes {
		b.Run(s.String(), func(b *testing.B) {
			second := s.second()
			b.ReportAllocs()
			defer processorTime(b)()
			for b.Loop() {
				second()
			}
		})
	}
}

// Regression bound: the allocations of a second of membership do not grow with the fleet.
func TestAllocationsOfMembership(t *testing.T) {
	const bound = 45
	for _, s := range shapes {
		n := testing.AllocsPerRun(100, s.second())
		t.Logf("%s: %.0f allocations a second", s, n)
		if n > bound {
			t.Errorf("%s: over the bound of %d", s, bound)
		}
	}
}

func answer(n *relay.Node, now decide.Instant, effects []relay.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case relay.SendHeartbeat:
			d := relay.Digest{Instance: e.To.ID, Incarnation: 1, ConfigVersion: 1, ListVersion: 1}
			answer(n, now, n.HeartbeatDone(now, e, d, true))
		case relay.ReadStore:
			answer(n, now, n.ReadDone(now, e, relay.Config{Version: 1}, relay.StoreFound))
		case relay.WatchStore:
			n.WatchDone(now, e, relay.Config{}, relay.StoreAbsent)
		}
	}
}

// report is an engine's load report with figures of usual length.
func report() upstream.LoadReport {
	return upstream.LoadReport{
		BootID: "0123456789abcdef", Seq: 123_456, AgeMs: 180, ColdLimit: 4, Running: 23, Queued: 11,
		QueuedTokens: 123_456, MemoryUsed: 321_000, MemoryTotal: 400_000, PrefillRate: 24_000,
	}
}

func events(n int) upstream.CacheEvents {
	e := upstream.CacheEvents{BootID: "0123456789abcdef", First: 1, Next: uint64(n + 1)}
	for i := range n {
		e.Events = append(e.Events, upstream.CacheEvent{Seq: uint64(1_000_000 + i), Hash: 0xfedcba9876543210 + uint64(i), Drop: i%2 == 0})
	}
	return e
}

// BenchmarkPublishServed is what one engine's change of models costs: the whole view is built anew.
func BenchmarkPublishServed(b *testing.B) {
	for _, s := range shapes {
		b.Run(s.String(), func(b *testing.B) {
			k := s.keeper()
			b.ReportAllocs()
			defer processorTime(b)()
			for i := 0; b.Loop(); i++ {
				k.SetServingState("engine-00000", keeper.ServingState{LongLane: i%2 == 0})
			}
		})
	}
}

// BenchmarkLoadReport decodes one load report, as the home of an upstream and every other reader does.
func BenchmarkLoadReport(b *testing.B) {
	raw := marshal(b, report())
	b.ReportAllocs()
	defer processorTime(b)()
	for b.Loop() {
		var l upstream.LoadReport
		if err := json.Unmarshal(raw, &l); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCacheEvents decodes cache events.
func BenchmarkCacheEvents(b *testing.B) {
	for _, n := range []int{1, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			raw := marshal(b, events(n))
			defer processorTime(b)()
			for b.Loop() {
				var e upstream.CacheEvents
				if err := json.Unmarshal(raw, &e); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// TestBytesOfMessages prints the sizes of what instances read, and holds them to bounds.
func TestBytesOfMessages(t *testing.T) {
	check := func(what string, size, bound int) {
		t.Logf("%s: %d bytes", what, size)
		if size > bound {
			t.Errorf("%s is over its bound of %d bytes", what, bound)
		}
	}
	check("load report", len(marshal(t, report())), 260)
	check("a cache event of 1000", len(marshal(t, events(1000)))/1000, 60)
	for _, s := range shapes {
		l := marshal(t, s.list(1))
		rows := s.entries + s.upstreams
		check("instance list of "+s.String(), len(l), 190*rows+60)
	}
}

// TestMemoryOfKnowledge prints the heap that the view and the node's own state take.
func TestMemoryOfKnowledge(t *testing.T) {
	for _, s := range shapes {
		before := heap()
		k := s.keeper()
		k.SetConfig(1, s.config())
		view := heap() - before
		before = heap()
		all := s.instances()
		n := relay.NewNode(0, relay.NewParams(all[0], 1, 500*time.Millisecond, rand.New(rand.NewPCG(1, 1))))
		n.UpdateInstances(0, 1, all)
		node := heap() - before
		t.Logf("%s: view %d KB, node %d KB", s, view>>10, node>>10)
		if view > 16<<20 || node > 1<<20 {
			t.Errorf("%s: the knowledge of the fleet takes more than its bound", s)
		}
		runtime.KeepAlive(k)
		runtime.KeepAlive(n)
	}
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
