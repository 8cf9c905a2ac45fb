package node_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide/lease"
	"github.com/damaskshelf/damaskshelf/internal/execute"
	"github.com/damaskshelf/damaskshelf/internal/local"
	"github.com/damaskshelf/damaskshelf/internal/standin/cluster"
	"github.com/damaskshelf/damaskshelf/internal/standin/engine"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
)

// Orders reach the engines of this fleet orderLag after they are acknowledged.
const orderLag = 100 * time.Millisecond

// startPlanned starts three instances before six engines that serve version 1 and ignore or check fencing
// numbers. The weight store has budget for two loads at once.
func startPlanned(t *testing.T, fencing bool) *local.Fleet {
	t.Helper()
	f, err := local.Start(local.Config{
		Entries: 3,
		Intent:  versioned(cluster.ModelVersion),
		Cluster: cluster.Config{
			Domains: []string{"north", "mid", "south"}, Region: "plains", EnginesPerDomain: 2,
			Models: []string{model}, Service: service, TimeScale: 10, Seed: 1, WeightRate: 40, WeightBurst: 80,
			Engine: engine.Config{Fencing: fencing},
		},
		Execute: execute.Config{TickInterval: 20 * time.Millisecond, IdleInterval: 200 * time.Millisecond, Lease: lease.Config{
			TTL: 2 * time.Second, Margin: 200 * time.Millisecond, OrderDelay: 3 * orderLag,
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	for _, e := range f.Cluster.Engines {
		if err := e.Switch(faults.DelayOrders, true, orderLag*10); err != nil { // engine time
			t.Fatal(err)
		}
	}
	return f
}

func versioned(version string) api.Intent {
	return api.Intent{Models: []api.Model{{Name: model, Version: version, Replicas: 6, Floor: 4, WeightGB: 40}}}
}

// atVersion counts the engines that answer and serve a version.
func atVersion(f *local.Fleet, client *upstream.Client, version string) int {
	n := 0
	for _, e := range f.Cluster.Engines {
		s, err := client.State(context.Background(), e.Addr())
		if err != nil {
			continue // it is starting anew
		}
		if len(s.Loaded) == 1 && s.Loaded[0].Version == version {
			n++
		}
	}
	return n
}

// An operator changes a model's version. In the middle of it the object API is gone for longer than a
// lease, then an instance is stopped. The plan must end, with each engine loaded once, no order carried
// out behind a newer one, and the weight store asked for each load once.
func TestPlanEndsThroughOutageAndStop(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		is := is.New(t)
		f := startPlanned(t, fencing)
		client := upstream.New()
		defer client.Close()
		_, err := f.Apply(api.Change{Intent: ref(versioned("v2"))})
		is.NoErr(err)
		eventually(t, "first engine has the new version", func() bool { return atVersion(f, client, "v2") >= 1 })

		is.NoErr(f.Cluster.Objects.Switch(faults.RefuseEverything, true, 0))
		time.Sleep(3 * time.Second) // longer than a lease: its holder stops by itself
		stopped := orders(f)
		time.Sleep(500 * time.Millisecond)
		is.Equal(orders(f), stopped) // nobody orders without a lease
		is.NoErr(f.Cluster.Objects.Switch(faults.RefuseEverything, false, 0))

		eventually(t, "the plan goes on", func() bool { return orders(f) > stopped })
		f.Nodes[1].Kill()
		eventually(t, "every engine has the new version", func() bool { return atVersion(f, client, "v2") == 6 })
		is.Equal(orders(f), 6) // one load an engine
		is.Equal(sum(f, func(c engine.Counters) int { return c.StaleRun }), 0)
		is.Equal(f.Cluster.Weights.Counts().TakenGB, 240.0)
	}
}

// An engine reboots an hour after a plan was done and serves what it was deployed with: callers get
// answers of the old version from it. The plan in force is still the reference, and it is put right.
func TestRebootedEngineIsPutRight(t *testing.T) {
	is := is.New(t)
	f := startPlanned(t, false)
	client := upstream.New()
	defer client.Close()
	_, err := f.Apply(api.Change{Intent: ref(versioned("v2"))})
	is.NoErr(err)
	eventually(t, "every engine has the new version", func() bool { return atVersion(f, client, "v2") == 6 })
	e := f.Cluster.Engines[0]
	is.NoErr(e.Switch(faults.Kill, true, 0))
	is.NoErr(e.Switch(faults.Kill, false, 0))
	eventually(t, "it serves the old version", func() bool { return atVersion(f, client, "v2") == 5 })
	eventually(t, "it is put right", func() bool { return atVersion(f, client, "v2") == 6 })
}

func ref(in api.Intent) *api.Intent { return &in }

func orders(f *local.Fleet) int {
	return sum(f, func(c engine.Counters) int { return c.OrdersRun })
}
