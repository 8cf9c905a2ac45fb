package placement

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/gateway"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
)

// Guards against a holdoff that ends too early, never ends, or applies to another process under the upstream's id.
func TestHoldoffLastsForRequestedDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHoldoffs(hclog.NewNullLogger())
		u, again := &catalog.Upstream{ID: "u", StartTime: 7}, &catalog.Upstream{ID: "u", StartTime: 8}
		h.set(u, time.Now().Add(3*time.Second))
		h.set(u, time.Now().Add(time.Second)) // a later answer with a shorter holdoff does not shorten it
		is.True(h.active(u))
		is.True(!h.active(again))
		is.Equal(h.addTo([]fleet.UpstreamID{"v"}), []fleet.UpstreamID{"v", "u"})
		is.Equal(h.addTo([]fleet.UpstreamID{"u"}), []fleet.UpstreamID{"u"})
		time.Sleep(2900 * time.Millisecond)
		is.True(h.active(u))
		time.Sleep(200 * time.Millisecond)
		is.True(!h.active(u))
		is.Equal(h.addTo(nil), nil)
		is.Equal(int(h.count.Load()), 0)
	})
}

// Guards against placement on an upstream that asked this instance to hold off. Placement requests name it as one to
// avoid, so that neither a dispatcher nor the instance itself places there.
func TestPlacementRequestAvoidsHeldOffUpstreams(t *testing.T) {
	is := is.New(t)
	c := NewClient("i1", "d", followerWithUpstreams("u", "v"), hclog.NewNullLogger())
	asks := make(chan *pb.Ask, 1)
	c.session = &session{send: func(m *pb.FromEntry) {
		if len(m.Asks) > 0 {
			asks <- m.Asks[0]
		}
	}}
	u := c.snapshot().Upstream("u")
	c.ObserveAnswer(u, gateway.Answer{HoldOff: time.Minute}, time.Now())
	is.True(c.HeldOff(u))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() {
		_, err := c.Place(ctx, gateway.PlacementRequest{ID: "r", Service: "s"})
		done <- err
	}()
	is.Equal((<-asks).Avoid, []string{"u"})
	cancel()
	is.True(<-done != nil)
}
