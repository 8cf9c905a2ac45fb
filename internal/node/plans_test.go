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

// orderLag is the time between the acknowledgement of an order by an engine and its execution.
const orderLag = 100 * time.Millisecond

// startPlanFleet starts three instances and six engines that serve version 1. The engines ignore or check fencing
// numbers. The weight store has budget for two loads at once.
func startPlanFleet(t *testing.T, fencing bool) *local.Fleet {
	t.Helper()
	f, err := local.Start(local.Config{
		Instances: 3,
		Intent:    intentWithVersion(cluster.ModelVersion),
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
		if err := e.Switch(faults.DelayOrders, true, orderLag*10); err != nil { // in engine time: TimeScale is 10
			t.Fatal(err)
		}
	}
	return f
}

// intentWithVersion returns an intent of six replicas of the model in that version.
func intentWithVersion(version string) api.Intent {
	return api.Intent{Models: []api.Model{{Name: model, Version: version, Replicas: 6, Floor: 4, WeightGB: 40}}}
}

// countAtVersion returns the number of engines that answer and serve only that version.
func countAtVersion(f *local.Fleet, client *upstream.Client, version string) int {
	n := 0
	for _, e := range f.Cluster.Engines {
		s, err := client.State(context.Background(), e.Addr())
		if err != nil {
			continue // the engine is restarting
		}
		if len(s.Loaded) == 1 && s.Loaded[0].Version == version {
			n++
		}
	}
	return n
}

// While a plan changes a model's version, the object API is unavailable for longer than a lease's TTL, and then an
// instance is killed. The plan must complete: each engine loads once, no engine executes an order after a newer one, and
// the weight store is asked once for each load.
func TestPlanCompletesDespiteOutageAndStop(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		is := is.New(t)
		f := startPlanFleet(t, fencing)
		client := upstream.New()
		defer client.Close()
		_, err := f.Apply(api.Change{Intent: intentPtr(intentWithVersion("v2"))})
		is.NoErr(err)
		eventually(t, "the first engine has the new version", func() bool { return countAtVersion(f, client, "v2") >= 1 })

		is.NoErr(f.Cluster.Objects.Switch(faults.RefuseEverything, true, 0))
		time.Sleep(3 * time.Second) // longer than the TTL of a lease: its holder stops by itself
		ordersBefore := ordersRun(f)
		time.Sleep(500 * time.Millisecond)
		is.Equal(ordersRun(f), ordersBefore) // no instance sends an order without a lease
		is.NoErr(f.Cluster.Objects.Switch(faults.RefuseEverything, false, 0))

		eventually(t, "the plan continues", func() bool { return ordersRun(f) > ordersBefore })
		f.Nodes[1].Kill()
		eventually(t, "every engine has the new version", func() bool { return countAtVersion(f, client, "v2") == 6 })
		is.Equal(ordersRun(f), 6) // one load an engine
		is.Equal(sum(f, func(c engine.Counters) int { return c.StaleRun }), 0)
		is.Equal(f.Cluster.Weights.Counts().TakenGB, 240.0)
	}
}

// An engine reboots after a plan is done and serves the version that it was deployed with, so callers receive answers of
// the old version. The plan in force still states the target, and the executor loads the new version again.
func TestRebootedEngineIsRepaired(t *testing.T) {
	is := is.New(t)
	f := startPlanFleet(t, false)
	client := upstream.New()
	defer client.Close()
	_, err := f.Apply(api.Change{Intent: intentPtr(intentWithVersion("v2"))})
	is.NoErr(err)
	eventually(t, "every engine has the new version", func() bool { return countAtVersion(f, client, "v2") == 6 })
	e := f.Cluster.Engines[0]
	is.NoErr(e.Switch(faults.Kill, true, 0))
	is.NoErr(e.Switch(faults.Kill, false, 0))
	eventually(t, "the rebooted engine serves the old version", func() bool { return countAtVersion(f, client, "v2") == 5 })
	eventually(t, "the rebooted engine has the new version again", func() bool { return countAtVersion(f, client, "v2") == 6 })
}

func intentPtr(in api.Intent) *api.Intent { return &in }

// ordersRun returns the number of orders that all engines have executed.
func ordersRun(f *local.Fleet) int {
	return sum(f, func(c engine.Counters) int { return c.OrdersRun })
}
