package node

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/explain"
	"github.com/damaskshelf/damaskshelf/internal/keeper"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/warm"
)

// warmUpInterval is the time between two rounds of warm-up prompts. A round skips an engine whose last prompt
// still runs.
const warmUpInterval = 100 * time.Millisecond

// newLimits returns the limits of what this instance sends to cold or unhealthy upstreams.
func newLimits(s api.Settings, k *keeper.Keeper, rec *explain.Recorder, log hclog.Logger) *warm.Limits {
	i := s.Intervals
	return warm.New(warm.Config{
		Self: s.Instance, View: k.View, Explain: rec, Log: log,
		Params: warm.NewParams(time.Duration(i.InstanceList), time.Duration(i.Heartbeat)),
	})
}

// listObserver passes every successful read of the instance list to the limits, also if the list has not changed: the
// limits assign slots by how fresh the list is.
type listObserver struct {
	list   objects.InstanceLister
	limits *warm.Limits
}

// Instances implements objects.InstanceLister.
func (t listObserver) Instances(ctx context.Context) (wire.InstanceList, error) {
	start := time.Now()
	l, err := t.list.Instances(ctx)
	if err == nil {
		t.limits.OnInstanceList(l.Version, liveInstances(l), start)
	}
	return l, err
}

// liveInstances returns the ids of the instances that slots are assigned to. One that is leaving has none.
func liveInstances(l wire.InstanceList) []string {
	var ids []string
	for _, i := range l.Instances {
		if i.Kind == wire.KindEntry && i.State == wire.StateLive {
			ids = append(ids, i.ID)
		}
	}
	return ids
}
