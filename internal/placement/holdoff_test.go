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

// Guards against a pause that ends too soon, never, or with another process under the upstream's id.
func TestAPauseLastsAsLongAsWasAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHoldoffs(hclog.NewNullLogger())
		u, again := &catalog.Upstream{ID: "u", Born: 7}, &catalog.Upstream{ID: "u", Born: 8}
		h.hold(u, time.Now().Add(3*time.Second))
		h.hold(u, time.Now().Add(time.Second)) // a later answer that asks for less takes nothing back
		is.True(h.held(u))
		is.True(!h.held(again))
		is.Equal(h.added([]fleet.UpstreamID{"v"}), []fleet.UpstreamID{"v", "u"})
		is.Equal(h.added([]fleet.UpstreamID{"u"}), []fleet.UpstreamID{"u"})
		time.Sleep(2900 * time.Millisecond)
		is.True(h.held(u))
		time.Sleep(200 * time.Millisecond)
		is.True(!h.held(u))
		is.Equal(h.added(nil), nil)
		is.Equal(int(h.count.Load()), 0)
	})
}

// Guards against a place that a dispatcher gives, or an instance takes for itself, where it was asked to stay away: what it asks
// for leaves the upstream out, whoever dispatches.
func TestWhatIsAskedForLeavesOutWhoAskedForAPause(t *testing.T) {
	is := is.New(t)
	c := NewClient("i1", "d", followerOf("u", "v"), hclog.NewNullLogger())
	asks := make(chan *pb.Ask, 1)
	c.session = &session{tell: func(m *pb.FromEntry) {
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
		_, err := c.Place(ctx, gateway.Ask{ID: "r", Service: "s"})
		done <- err
	}()
	is.Equal((<-asks).Avoid, []string{"u"})
	cancel()
	is.True(<-done != nil)
}
