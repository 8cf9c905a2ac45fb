// Package limit keeps a workspace's limit of requests at once over the whole fleet without a message:
// each instance holds its own share of it.
package limit

import (
	"sync/atomic"

	"github.com/damaskshelf/damaskshelf/internal/decide"
)

// Reasons of a refusal.
const (
	OverLimit decide.Reason = "workspace_over_limit"
)

// Reasons lists all of them.
var Reasons = []decide.Reason{OverLimit}

// Unlimited is the limit of a workspace that has none.
const Unlimited = 0

// Share is one instance's part of a fleet-wide limit: the limit over the instances, rounded up, since an
// instance with no part at all would refuse the workspace each time the balancer chose it. The fleet's sum
// is over the limit by less than the number of instances.
func Share(limit, instances int) int {
	if limit <= 0 {
		return Unlimited
	}
	n := max(instances, 1)
	return (limit + n - 1) / n
}

// InFlight counts a workspace's requests on this instance. It is one atomic counter.
type InFlight struct {
	now atomic.Int64
}

// Acquire counts a request in, unless that would go over share.
func (f *InFlight) Acquire(share int) bool {
	if share == Unlimited {
		f.now.Add(1)
		return true
	}
	if f.now.Add(1) > int64(share) {
		f.now.Add(-1)
		return false
	}
	return true
}

// Release counts a request out. Each Acquire that succeeded has exactly one.
func (f *InFlight) Release() { f.now.Add(-1) }

// Count is the number of requests in flight.
func (f *InFlight) Count() int { return int(f.now.Load()) }
