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

// warmUpEvery is the pause between two prompts that warm one engine up.
const warmUpEvery = 100 * time.Millisecond

func newLimits(s api.Settings, k *keeper.Keeper, rec *explain.Recorder, log hclog.Logger) *warm.Limits {
	i := s.Intervals
	return warm.New(warm.Config{
		Self: s.Instance, View: k.View, Explain: rec, Log: log,
		Params: warm.ParamsOf(time.Duration(i.InstanceList), time.Duration(i.Heartbeat)),
	})
}

// listTap tells the limits of every read of the instance list: how fresh it is decides about slots, also
// when nothing in it changed.
type listTap struct {
	list   objects.InstanceLister
	limits *warm.Limits
}

// Instances implements objects.Instances.
func (t listTap) Instances(ctx context.Context) (wire.InstanceList, error) {
	began := time.Now()
	l, err := t.list.Instances(ctx)
	if err == nil {
		t.limits.OnList(l.Version, liveEntries(l), began)
	}
	return l, err
}

// liveEntries are the instances that slots are dealt to; one that is leaving gives its own up.
func liveEntries(l wire.InstanceList) []string {
	var ids []string
	for _, i := range l.Instances {
		if i.Kind == wire.KindEntry && i.State == wire.StateLive {
			ids = append(ids, i.ID)
		}
	}
	return ids
}
