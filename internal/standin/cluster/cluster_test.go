package cluster_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/standin/cluster"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/standin/rawhttp"
	upstream "github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

func start(t *testing.T) *cluster.Cluster {
	t.Helper()
	c, err := cluster.Start(cluster.Config{
		Domains: []string{"north-ice", "mid-ice"}, Region: "sask-plains", EnginesPerDomain: 2,
		Models: []string{"guide", "lake"}, Service: "bookdesk", TimeScale: 50, Seed: 1,
	})
	is.New(t).NoErr(err)
	t.Cleanup(c.Close)
	return c
}

func TestUpstreamsAreListedAndServe(t *testing.T) {
	is := is.New(t)
	c := start(t)
	addrs := c.Addrs()
	domains := map[string]int{}
	for _, row := range c.Instances.List().Instances {
		is.Equal(row.State, wire.StateLive)
		is.Equal(row.Region, "sask-plains")
		domains[row.Kind+" "+row.Domain]++
		listed := addrs.Engines[row.ID] + addrs.Services[row.ID]
		is.Equal(row.Addr, listed)
	}
	is.Equal(domains, map[string]int{"engine north-ice": 2, "engine mid-ice": 2, "service north-ice": 2, "service mid-ice": 1})
	for _, model := range []string{"guide", "lake"} {
		r := rawhttp.Completion("r-"+model, upstream.Completion{Model: model, MaxTokens: 5, Stream: true}).Do(addrs.Engines["engine-mid-ice-1"])
		is.NoErr(r.CheckStream("r-"+model, 5))
	}
	is.Equal(c.Counters().Engines["engine-mid-ice-1"].Runs, map[string]int{"r-guide": 1, "r-lake": 1})
}

func TestControlListener(t *testing.T) {
	is := is.New(t)
	c := start(t)
	control, err := c.StartControl("127.0.0.1:0")
	is.NoErr(err)
	defer control.Close()
	post := func(path string, body any) int {
		data, err := json.Marshal(body)
		is.NoErr(err)
		return rawhttp.Call{Path: path, Body: data}.Do(control.Addr()).Status
	}
	const target = "engine-north-ice-0"
	is.Equal(post(cluster.PathFault, cluster.FaultRequest{Target: target, Fault: faults.Leaving, On: true}), 204)
	is.Equal(rawhttp.Completion("r", upstream.Completion{Model: "guide"}).Do(c.Engine(target).Addr()).Status, 503)
	is.Equal(post(cluster.PathFault, cluster.FaultRequest{Target: target, Fault: faults.Leaving}), 204)
	is.Equal(rawhttp.Completion("r", upstream.Completion{Model: "guide"}).Do(c.Engine(target).Addr()).Status, 200)
	is.Equal(post(cluster.PathFault, cluster.FaultRequest{Target: "nobody", Fault: faults.Leaving, On: true}), 400)
	is.Equal(post(cluster.PathFault, cluster.FaultRequest{Target: target, Fault: "earthquake", On: true}), 400)

	entry := wire.Instance{ID: "entry-1", Kind: wire.KindEntry, Addr: "127.0.0.1:1", State: wire.StateLeaving}
	is.Equal(post(cluster.PathInstances, entry), 204)
	listed := rawhttp.Call{Method: fasthttp.MethodGet, Path: cluster.PathInstances}.Do(control.Addr())
	var list wire.InstanceList
	is.NoErr(json.Unmarshal(listed.Body, &list))
	is.Equal(list.Instances[len(list.Instances)-1], entry)
	is.Equal(rawhttp.Call{Method: fasthttp.MethodDelete, Path: "/instances/entry-1"}.Do(control.Addr()).Status, 204)
	is.Equal(len(c.Instances.List().Instances), len(list.Instances)-1)

	counted := rawhttp.Call{Method: fasthttp.MethodGet, Path: cluster.PathCounters}.Do(control.Addr())
	var counters cluster.Counters
	is.NoErr(json.Unmarshal(counted.Body, &counters))
	is.Equal(counters.Engines[target].Runs, map[string]int{"r": 1})
	is.Equal(counters.Engines[target].Refused, 1)
}
