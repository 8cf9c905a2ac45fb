package routed

import (
	"math"

	"golang.org/x/sys/unix"

	"github.com/damaskshelf/damaskshelf/api"
)

// peerDescriptorShare is the fraction of the descriptors that connections of other instances may take. The rest is left
// for callers and upstreams.
const peerDescriptorShare = 0.5

// tunnelShare is the fraction of the descriptors that tunnels for other instances may take, two for each. Their
// connections are among those of other instances.
const tunnelShare = 0.125

// callerShare is the fraction of the descriptors that callers' connections may take. Each request takes a second one, to
// its upstream.
const callerShare = 0.4

// maxCallerConns returns how many connections of callers this instance keeps open.
func maxCallerConns(l api.RoutedLimits) int {
	return min(l.MaxConnections, max(1, int(callerShare*float64(maxDescriptors(l)))))
}

// maxTunnels returns how many tunnels this instance serves at one time.
func maxTunnels(l api.RoutedLimits) int64 {
	return int64(tunnelShare * float64(maxDescriptors(l)) / 2)
}

// maxPeerConns returns how many connections of other instances this one accepts.
func maxPeerConns(l api.RoutedLimits) int64 {
	return int64(peerDescriptorShare * float64(maxDescriptors(l)))
}

// maxDescriptors returns how many descriptors the process may open: the configured number, or the operating system's
// limit if that is lower or no number is configured.
func maxDescriptors(l api.RoutedLimits) int64 {
	limit := int64(math.MaxInt64)
	var system unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &system); err == nil && system.Cur < math.MaxInt64 {
		limit = int64(system.Cur)
	}
	if l.MaxDescriptors > 0 {
		limit = min(limit, int64(math.Ceil(l.MaxDescriptors)))
	}
	return limit
}
