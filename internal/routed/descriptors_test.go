package routed

import (
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/api"
)

// Guards against a dispatcher that accepts connections of only some of a thousand instances. Each may have a second
// connection open while its first one is not yet known to be dead.
func TestSmallInstanceAcceptsConnectionsOfTheFleet(t *testing.T) {
	is := is.New(t)
	is.True(maxPeerConns(api.RoutedLimits{MaxDescriptors: 4100}) >= 2*1000)
	is.Equal(maxPeerConns(api.RoutedLimits{MaxDescriptors: 1024}), int64(512))
}
