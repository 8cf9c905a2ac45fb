package node_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/caller"
	"github.com/damaskshelf/damaskshelf/internal/local"
	"github.com/damaskshelf/damaskshelf/internal/node"
	"github.com/damaskshelf/damaskshelf/internal/standin/answer"
	"github.com/damaskshelf/damaskshelf/internal/standin/cluster"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
)

const (
	model   = "guide"
	service = "bookdesk"
)

// startFleet starts that many instances and three engines, one in each failure domain.
func startFleet(t *testing.T, instances int) *local.Fleet {
	t.Helper()
	return startWithSettings(t, instances, nil)
}

// startWithSettings is startFleet with changes to each instance's settings.
func startWithSettings(t *testing.T, instances int, editSettings func(*api.Settings)) *local.Fleet {
	t.Helper()
	f, err := local.Start(local.Config{
		Instances: instances, EditSettings: editSettings,
		Intent: api.Intent{Models: []api.Model{{Name: model, Version: cluster.ModelVersion, Replicas: 3, Floor: 1}}},
		Cluster: cluster.Config{
			Domains: []string{"north", "mid", "south"}, Region: "plains", EnginesPerDomain: 1,
			Models: []string{model}, Service: service, TimeScale: 20, Seed: 1,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// Concurrent prompts through three instances, streamed or not, each return their own complete answer.
func TestPromptsReturnTheirOwnCompleteAnswers(t *testing.T) {
	f := startFleet(t, 3)
	c := caller.New()
	defer c.Close()
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			is := is.New(t)
			id := fmt.Sprint("prompt-", i)
			r := c.Do(caller.Request{
				Addr: f.Nodes[i%3].CallersAddr(), ID: id, Model: model, Timeout: 30 * time.Second,
				Prompt: strings.Repeat("ice ", 1000*(1+i%4)), MaxTokens: 20 + i, Stream: i%2 == 0,
			})
			is.NoErr(r.Err)
			is.Equal(r.Kind, "")
			is.True(r.OK())
			is.Equal(r.Run, "yes")
			is.Equal(r.Text, answer.Text(id, 20+i))
		}()
	}
	wg.Wait()
}

// A request that is marked as not idempotent runs once, and the caller receives its answer.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 1)
	c := caller.New()
	defer c.Close()
	r := c.Do(caller.Request{
		Addr: f.Nodes[0].CallersAddr(), ID: "booking-1", Method: "POST", Path: "/services/" + service + "/bookings",
		Body: `{"hut":"h1","day":"2027-01-05"}`, Idempotent: "false", Timeout: 10 * time.Second,
	})
	is.NoErr(r.Err)
	is.Equal(r.Kind, "")
	is.Equal(r.Run, "yes")
	is.True(strings.Contains(r.Text, "h1"))
	is.Equal(f.Cluster.Ledger.RunsByRequest()["booking-1"], 1)
}

// A confirmed drain applies on every instance: the drained domain receives no new prompt.
func TestConfirmedDrainAppliesOnEveryInstance(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3)
	c := caller.New()
	defer c.Close()
	version, err := f.Apply(api.Change{Drain: "north"})
	is.NoErr(err)
	is.NoErr(f.WaitInForce(version, 10*time.Second))
	runsBefore := len(f.Cluster.Engine("engine-north-0").Counters().Runs)
	for i := range 12 {
		r := c.Do(caller.Request{
			Addr: f.Nodes[i%3].CallersAddr(), ID: fmt.Sprint("p", i), Model: model, Timeout: 30 * time.Second,
			Prompt: "how thick is the ice?", MaxTokens: 5,
		})
		is.True(r.OK())
	}
	is.Equal(len(f.Cluster.Engine("engine-north-0").Counters().Runs), runsBefore)
}

// An engine has just died and the instance list still shows it. A dispatch to it fails before a byte is sent, and the
// prompt goes to another engine. The failed dispatch leaves no stream; a read of that missing stream would crash the
// instance.
func TestPromptIsRedispatchedWhenEngineIsDown(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 1)
	c := caller.New()
	defer c.Close()
	is.NoErr(f.Cluster.Switch("engine-north-0", faults.Kill, true, 0))
	for i := range 12 {
		id := fmt.Sprint("p", i)
		r := c.Do(caller.Request{
			Addr: f.Nodes[0].CallersAddr(), ID: id, Model: model, Timeout: 30 * time.Second,
			Prompt: "how thick is the ice?", MaxTokens: 5, Stream: true,
		})
		is.NoErr(r.Err)
		is.Equal(r.Kind, "")
		is.Equal(r.Text, answer.Text(id, 5))
	}
}

// The operators' port is in use when an instance starts. Start must return an error. It would block forever if it
// waited for the callers' listener, which is bound by then but not served.
func TestStartFailsWhenAddressIsInUse(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 1)
	s := f.Settings("entry-x", "north")
	s.Listen.Operators = f.Nodes[0].OperatorsAddr()
	n, err := node.New(s, node.Options{})
	is.NoErr(err)
	err = n.Start()
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "listen for operators"))
}
