package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/gateway"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
)

// Guards against a dispatcher that takes a stopping instance for one that stays: its session begins just as the instance is told
// to stop, after its first message.
func TestNextDispatcherLearnsTheEndOfTheInstance(t *testing.T) {
	is := is.New(t)
	c := newPeerClient()
	first := c.firstMessage()
	is.Equal(first.EndsMs, int64(0))
	c.SetEnd(time.Now().Add(5 * time.Second))
	is.True(c.changesSince(first).EndsMs > 4000)
	is.True(c.firstMessage().EndsMs > 4000)
}

// Guards against a request that a stopping instance without a dispatcher sends to an engine although its first event comes only
// after the instance's end.
func TestOwnViewRefusesWhatCantBeginInTime(t *testing.T) {
	is := is.New(t)
	c := newPeerClient()
	c.SetEnd(time.Now().Add(5 * time.Second))
	q := gateway.PlacementRequest{Service: "svc", PromptTokens: 90_000, MaxOutputTokens: 8000} // 10 s until its first event
	is.True(c.endsTooSoon(&q, time.Now()))
	q.PromptTokens = 9000 // 0.7 s; most answers are far shorter than their bound
	is.True(!c.endsTooSoon(&q, time.Now()))
	q = gateway.PlacementRequest{Service: "plain"}
	is.True(!c.endsTooSoon(&q, time.Now()))
}

// Guards against full engines that get all that waits at a stopping instance when it loses its dispatcher.
func TestRequestThatWaitedIsNotPlacedByStoppingInstance(t *testing.T) {
	for name, stopping := range map[string]bool{"stays": false, "stops": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newPeerClient()
			c.session = &session{peerID: "entry-2", send: func(*pb.FromEntry) {}}
			placed := make(chan error, 1)
			go func() {
				_, err := c.Place(t.Context(), gateway.PlacementRequest{ID: "r", Service: "plain", TimeLeft: time.Minute})
				placed <- err
			}()
			waitUntil(t, "the request waits", func() bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				return c.waiting["r"] != nil
			})
			if stopping {
				c.SetEnd(time.Now().Add(time.Minute))
			}
			c.releaseWaiting()
			err := <-placed
			if !stopping {
				is.NoErr(err) // by its own view, as without a stop
				return
			}
			is.Equal(fault.From(err).Kind, fault.Stopping)
			is.Equal(fault.From(err).Run, fault.RunNo)
		})
	}
}
