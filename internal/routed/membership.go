package routed

import (
	"context"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/wait"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

const (
	// memberEvery is how often an instance looks whether it still stands in the store, and a dispatcher
	// whether others should.
	memberEvery = 2 * time.Second
	// absentTime is how long no session of an instance may be heard of before its entry is removed: far above
	// a restart, and far below the time in which replaced instances would outnumber the living ones (2,900 a
	// day in 930 are one every half minute).
	absentTime = 30 * time.Second
	// removeTimeout bounds one removal.
	removeTimeout = time.Second
)

// keepMembership joins, and joins again if the entry was removed while the instance was cut off. As the
// dispatcher it removes entries of instances that nobody has heard of: nothing in the store expires, and each
// entry takes a share of the limits that all instances cut among them.
func (n *Node) keepMembership(ctx context.Context) {
	p := n.parts
	watch.Join(ctx, p.Adapter.Store, n.self, p.Log)
	for wait.For(ctx, memberEvery) {
		if !p.Gate.Ready() {
			return // leaving
		}
		if n.missing() {
			p.Log.Warn("own entry is gone from the store: joining again")
			watch.Join(ctx, p.Adapter.Store, n.self, p.Log)
		}
		for _, m := range p.Placer.AbsentMembers(absentTime) {
			n.remove(ctx, m)
		}
	}
}

// missing tells whether the store is known not to hold the own entry.
func (n *Node) missing() bool {
	members := n.parts.Follower.Snapshot().Members
	for _, m := range members {
		if m.ID == n.self.ID {
			return false
		}
	}
	return len(members) > 0
}

func (n *Node) remove(ctx context.Context, m *catalog.Member) {
	limit, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	err := watch.Remove(limit, n.parts.Adapter.Store, m)
	n.parts.Log.Info("instance was not heard of for long: its entry is removed", "instance", m.ID,
		"incarnation", m.Incarnation, "revision", m.Revision, "error", err)
}
