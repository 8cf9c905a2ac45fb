// Package limit enforces a workspace's fleet-wide limit of concurrent requests. The instances exchange no messages for
// this: each enforces its own share.
package limit

import (
	"sync/atomic"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// Reasons of a refusal.
const (
	OverLimit decide.Reason = "workspace_over_limit"
)

// Reasons lists every reason of this package.
var Reasons = []decide.Reason{OverLimit}

// Unlimited as a limit or a share means that there is none.
const Unlimited = 0

// Share returns one instance's share of a fleet-wide limit: the limit divided by the number of instances, rounded up.
// An instance without any share would refuse the workspace whenever the load balancer chose it. The sum of the shares
// exceeds the limit by less than the number of instances.
func Share(limit, instances int) int {
	if limit <= 0 {
		return Unlimited
	}
	n := max(instances, 1)
	return (limit + n - 1) / n
}

// InFlight counts a workspace's requests in flight on this instance in one atomic counter.
type InFlight struct {
	count atomic.Int64
}

// Acquire counts a new request and returns true, unless the count would exceed share.
func (f *InFlight) Acquire(share int) bool {
	if share == Unlimited {
		f.count.Add(1)
		return true
	}
	if f.count.Add(1) > int64(share) {
		f.count.Add(-1)
		return false
	}
	return true
}

// Release removes a request from the count. It is called once for each Acquire that returned true.
func (f *InFlight) Release() { f.count.Add(-1) }

// Count returns the number of requests in flight.
func (f *InFlight) Count() int { return int(f.count.Load()) }
