// Package warm bounds the load on upstreams in a cold start, over all entry instances together.
//
// A cold upstream's limit is cut into single slots that are dealt to the instances by rendezvous hashing
// over the instance list. The sum never passes the limit because of two rules that hold locally on each
// instance: a slot that the list takes away is not used from that moment on, and a slot that it gives is
// used only after Params.Settle, by when its former holder has seen the list too and the work it had sent
// is over. See docs/design/cold-start.md for what is assumed and where physics forbids it.
package warm

import (
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/rendezvous"
)

// Params are the bounds that the slots' safety rests on. All instances must have the same.
type Params struct {
	ListLag     time.Duration // within it a change of the instance list is gone by everywhere; half of it is the platform's own
	MaxPause    time.Duration // longest pause of the process between asking for a slot and writing the request
	MaxDispatch time.Duration // longest dispatch to a cold upstream; the engine ends it even if the holder is gone
}

// DefaultParams are those of the daemon.
func DefaultParams() Params {
	return Params{ListLag: 5 * time.Second, MaxPause: 1500 * time.Millisecond, MaxDispatch: 10 * time.Second}
}

// Settle is how long a new holder waits before it uses a slot. The former holder may still see the old
// list for Lag; at its end it may be paused for up to Pause before it dispatches once more; and that
// dispatch runs for up to Work.
func (p Params) SettleTime() time.Duration { return p.ListLag + p.MaxPause + p.MaxDispatch }

// unread is how long an instance goes by a list that it can't read anew: what the platform leaves of Lag.
func (p Params) unread() time.Duration { return p.ListLag / 2 }

// Reasons of the slots' decisions.
const (
	ReasonSlots     decide.Reason = "slots"            // the instance's share
	ReasonSettling  decide.Reason = "slots_settling"   // some of its share is too new
	ReasonStaleList decide.Reason = "slots_stale_list" // paused or cut off: what it knows may be over
	ReasonNoShare   decide.Reason = "slots_no_share"
)

// Reasons lists every reason of this package.
var Reasons = []decide.Reason{ReasonSlots, ReasonSettling, ReasonStaleList, ReasonNoShare}

// view is a member list and when this instance began to go by it.
type view struct {
	members []string // sorted
	since   decide.Instant
}

// Slots is one instance's knowledge of who holds slots. It is not safe for concurrent use.
type Slots struct {
	self    string
	params  Params
	views   []view         // oldest first; all that were in force within Settle, the last one still is
	version uint64         // of the list
	newest  uint64         // version of the list that any peer is known to have
	fresh   decide.Instant // when the list was last known to be the newest
}

// NewSlots gives the slots of instance self, which knows no list yet.
func NewSlots(self string, p Params, now decide.Instant) *Slots {
	s := &Slots{self: self, params: p, fresh: now.Add(-p.unread() - 1)}
	s.restart(now)
	return s
}

// restart forgets the past: what this instance held before doesn't count.
func (s *Slots) restart(now decide.Instant) { s.views = []view{{since: now}} }

// OnList takes the instance list as read by a call that began at began: the live entry instances. An
// older version than the last is a lagging read and counts for nothing.
//
// After a pause or an outage the list may have taken a slot away and given it back unseen, and its holder
// in between may still use it. It shows as a version that changed over a long gap; the instance then
// settles anew. The version grows with each change, so an unchanged one needs no such care.
func (s *Slots) OnInstanceList(version uint64, live []string, began, now decide.Instant) {
	if version < s.version {
		return
	}
	if version > s.version && began.Sub(s.fresh) > s.params.SettleTime()-s.params.ListLag {
		s.restart(now)
	}
	if version >= s.newest {
		s.fresh = max(s.fresh, began)
	}
	s.version, s.newest = version, max(s.newest, version)
	s.trim(now)
	members := slices.Sorted(slices.Values(live))
	if last := s.views[len(s.views)-1]; !slices.Equal(last.members, members) {
		s.views = append(s.views, view{members: members, since: now})
	}
}

// OnPeerList notes that a peer went by that version of the list at an instant not before at. The same
// version vouches for this instance's own list while the list can't be read; a higher one shows that this
// instance is behind, and its reads count for nothing until they have caught up.
func (s *Slots) OnPeerVersion(version uint64, at decide.Instant) {
	s.newest = max(s.newest, version)
	if version == s.version && version == s.newest {
		s.fresh = max(s.fresh, at)
	}
}

// trim drops views that went out of force before the settle time.
func (s *Slots) trim(now decide.Instant) {
	horizon := now.Add(-s.params.SettleTime())
	for len(s.views) > 1 && s.views[1].since <= horizon {
		s.views = s.views[1:]
	}
}

// ValidUntil is the instant up to which this instance may go by its share: the monotonic clock runs on
// while the process is paused, so that a share from before a pause is not used after it.
func (s *Slots) ValidUntil() decide.Instant { return s.fresh.Add(s.params.unread()) }

// Share is the number of slots of the upstream that this instance may use now, out of limit: the least
// that any list gave it that was in force within the settle time.
func (s *Slots) Share(upstream string, limit int, now decide.Instant) (int, decide.Reason) {
	if now > s.ValidUntil() {
		return 0, ReasonStaleList
	}
	s.trim(now)
	current := share(s.self, upstream, limit, s.views[len(s.views)-1].members)
	least := current
	for _, v := range s.views {
		least = min(least, share(s.self, upstream, limit, v.members))
	}
	switch {
	case least < current:
		return least, ReasonSettling
	case current == 0:
		return 0, ReasonNoShare
	default:
		return least, ReasonSlots
	}
}

// Settled tells whether the instance has gone by one list for the whole settle time.
func (s *Slots) Settled(now decide.Instant) bool {
	s.trim(now)
	return len(s.views) == 1 && len(s.views[0].members) > 0 && now <= s.ValidUntil()
}

// share deals limit slots to members: all get the same number, and the rest goes one each to those that
// rank highest for the upstream. It grows with limit, so instances that know different limits share no
// more than the largest.
func share(self, upstream string, limit int, members []string) int {
	if !slices.Contains(members, self) || limit <= 0 {
		return 0
	}
	n := limit / len(members)
	if rank(self, upstream, members) < limit%len(members) {
		n++
	}
	return n
}

// rank is the number of members that come before self for the upstream.
func rank(self, upstream string, members []string) int {
	mine, before := rendezvous.Score(upstream, self), 0
	for _, m := range members {
		if s := rendezvous.Score(upstream, m); s > mine || (s == mine && m < self) {
			before++
		}
	}
	return before
}
