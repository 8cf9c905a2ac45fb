package routed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/wait"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

const (
	// membershipCheckInterval is the mean time between two checks whether this instance's entry is still in the store and,
	// on the dispatcher, whether entries of absent instances are to be removed. The checks of instances are spread: after
	// the store came back from a copy, all of them may have to write their entries.
	membershipCheckInterval = 500 * time.Millisecond
	// minAbsence is how long an instance must have had no session before its entry is removed. It is far above the time
	// of a restart. It is far below the time in which the entries of replaced instances would outnumber those of running
	// ones: 2,900 replacements a day among 930 instances are one every half minute.
	minAbsence = 30 * time.Second
	// removeTimeout bounds the removal of one entry.
	removeTimeout = time.Second
)

// keepMembership writes this instance's entry to the store, and writes it again if it was removed while the instance
// was isolated. On the dispatcher it also removes the entries of absent instances: entries don't expire, and each takes
// a share of the limits that the instances divide among them. It returns when the instance is leaving or ctx ends.
func (n *Node) keepMembership(ctx context.Context) {
	p := n.parts
	joined := watch.Join(ctx, p.Adapter.Store, n.self, p.Log)
	watch.LogFormerLife(joined.Replaced, p.Log)
	p.Budgets.joined(joined.Replaced != 0)
	for wait.For(ctx, membershipCheckInterval/2+rand.N(membershipCheckInterval)) {
		if !p.Gate.Ready() {
			return // leaving
		}
		if p.Follower.EntryMissing(n.self, joined.Version) {
			p.Log.Warn("entry of this instance is missing from the store; joining again")
			joined = watch.Join(ctx, p.Adapter.Store, n.self, p.Log)
		}
		for _, m := range p.Placer.AbsentMembers(minAbsence) {
			n.removeMember(ctx, m)
		}
	}
}

// removeMember removes an absent instance's entry from the store and logs the result.
func (n *Node) removeMember(ctx context.Context, m *catalog.Member) {
	removeCtx, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	err := watch.Remove(removeCtx, n.parts.Adapter.Store, m)
	n.parts.Log.Info("instance was not heard of for long: its entry is removed", "instance", m.ID,
		"incarnation", m.Incarnation, "revision", objects.FormatVersion(m.Revision), "error", err)
}
