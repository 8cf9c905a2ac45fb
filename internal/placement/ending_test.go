package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/gateway"
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
