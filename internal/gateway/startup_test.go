package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
)

// newStartingGateway returns a gateway that has just begun to listen and knows a configuration and upstreams after a
// time.
func newStartingGateway(t *testing.T, knownAfter time.Duration) *Gateway {
	began := time.Now()
	unknown, known := catalog.NewSnapshot(nil, nil, nil, nil, 0), catalog.NewSnapshot(&catalog.Config{}, nil, nil, nil, 1)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return &Gateway{listeningSince: began, requestsCtx: ctx, deps: Deps{Snapshot: func() *catalog.Snapshot {
		if time.Since(began) < knownAfter {
			return unknown
		}
		return known
	}}}
}

// Guards against requests that a starting instance refuses although it learns the configuration in a moment: callers
// retry only once.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	for _, knownAfter := range []time.Duration{0, 50 * time.Millisecond, startupWait - startupPollInterval} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g := newStartingGateway(t, knownAfter)
			began := time.Now()
			snap := g.awaitSnapshot()
			is.True(snap.Config != nil)
			is.True(time.Since(began) <= knownAfter+startupPollInterval)
		})
	}
}

// Guards against requests that an instance without a store holds until their deadlines.
func TestRequestsDontWaitForeverForAConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newStartingGateway(t, time.Hour)
		began := time.Now()
		is.True(g.awaitSnapshot().Config == nil)
		is.True(time.Since(began) <= startupWait+2*startupPollInterval)
	})
}
