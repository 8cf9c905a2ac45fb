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
	for name, c := range map[string]struct {
		stopping bool
		release  func(c *Client)
	}{
		"stays":                                  {release: (*Client).releaseWaiting},
		"stops, and releases what waits":         {stopping: true, release: (*Client).releaseWaiting},
		"stops, and the request's own time ends": {stopping: true, release: (*Client).dropSession},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := newPeerClient()
			client.session = &session{peerID: "entry-2", send: func(*pb.FromEntry) {}}
			placed := make(chan error, 1)
			go func() {
				_, err := client.Place(t.Context(), gateway.PlacementRequest{ID: "r", Service: "plain", TimeLeft: time.Minute})
				placed <- err
			}()
			waitUntil(t, "the request waits", func() bool {
				client.mu.Lock()
				defer client.mu.Unlock()
				return client.waiting["r"] != nil
			})
			if c.stopping {
				client.SetEnd(time.Now().Add(time.Minute))
			}
			c.release(client)
			err := <-placed
			if !c.stopping {
				is.NoErr(err) // by its own view, as without a stop
				return
			}
			is.True(err != nil)
			is.Equal(fault.From(err).Kind, fault.Stopping)
			is.Equal(fault.From(err).Run, fault.RunNo)
		})
	}
}

// dropSession ends the session of a client that doesn't run.
func (c *Client) dropSession() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session = nil
}
