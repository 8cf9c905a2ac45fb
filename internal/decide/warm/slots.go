// Package warm limits the load that all instances together put on an upstream during its cold start.
//
// A cold upstream's limit is divided into slots, which are assigned to the instances by rendezvous hashing over the
// instance list. Two rules that each instance follows by itself keep the total within the limit. An instance stops
// using a slot as soon as the list assigns it elsewhere. It starts using a slot only Params.SettleTime after the list
// assigns it; by then the former holder has read the list as well, and its last dispatch has ended.
// docs/design/cold-start.md states the assumptions and the cases in which no such limit is possible.
package warm

import (
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/rendezvous"
)

// Params holds the bounds that keep the slots within the limit. All instances must have the same ones.
type Params struct {
	ListLag     time.Duration // longest time until all instances use a changed instance list; half is the platform's delay
	MaxPause    time.Duration // longest pause of the process between acquiring a slot and writing the request
	MaxDispatch time.Duration // longest dispatch to a cold upstream; the engine ends it even if the instance is gone
}

// DefaultParams returns the daemon's parameters.
func DefaultParams() Params {
	return Params{ListLag: 5 * time.Second, MaxPause: 1500 * time.Millisecond, MaxDispatch: 10 * time.Second}
}

// SettleTime returns how long a new holder waits before it uses a slot. The former holder may see the old list for
// ListLag, may then be paused for MaxPause before one more dispatch, and that dispatch may run for MaxDispatch.
func (p Params) SettleTime() time.Duration { return p.ListLag + p.MaxPause + p.MaxDispatch }

// maxListAge returns how long an instance uses a list that it can't refresh: the part of ListLag that isn't the
// platform's.
func (p Params) maxListAge() time.Duration { return p.ListLag / 2 }

// Reasons for the result of Slots.Share.
const (
	ReasonSlots     decide.Reason = "slots"            // the instance may use its full share
	ReasonSettling  decide.Reason = "slots_settling"   // a part of the share hasn't been assigned for SettleTime yet
	ReasonStaleList decide.Reason = "slots_stale_list" // the list is too old, as after a pause or a lost connection
	ReasonNoShare   decide.Reason = "slots_no_share"
)

// Reasons lists all reasons of this package.
var Reasons = []decide.Reason{ReasonSlots, ReasonSettling, ReasonStaleList, ReasonNoShare}

// listView is an instance list and the time from which this instance used it.
type listView struct {
	members []string // sorted
	since   decide.Instant
}

// Slots computes the slots that one instance may use. It is not safe for concurrent use.
type Slots struct {
	self          string
	params        Params
	history       []listView     // lists in use within the last SettleTime, oldest first; the last one is current
	version       uint64         // version of the current list
	newestVersion uint64         // newest version known from this instance's reads and from its peers
	confirmedAt   decide.Instant // when the current list was last known to be the newest
}

// NewSlots returns the slots of instance self, which has no instance list yet and so no share.
func NewSlots(self string, p Params, now decide.Instant) *Slots {
	s := &Slots{self: self, params: p, confirmedAt: now.Add(-p.maxListAge() - 1)}
	s.resetHistory(now)
	return s
}

// resetHistory discards all lists, so that the slots held before must settle again.
func (s *Slots) resetHistory(now decide.Instant) { s.history = []listView{{since: now}} }

// OnInstanceList applies an instance list, the live instances, from a read that started at began. It ignores a list
// older than the current one, which comes from a lagging read.
//
// It guards against a slot that the list assigned to another instance and back during a pause or an outage of this one,
// while the other instance may still use it. That shows as a new version after a long gap between reads, and the slots
// then settle again. The version grows with each change, so an unchanged version is safe.
func (s *Slots) OnInstanceList(version uint64, live []string, began, now decide.Instant) {
	if version < s.version {
		return
	}
	if version > s.version && began.Sub(s.confirmedAt) > s.params.SettleTime()-s.params.ListLag {
		s.resetHistory(now)
	}
	if version >= s.newestVersion {
		s.confirmedAt = max(s.confirmedAt, began)
	}
	s.version, s.newestVersion = version, max(s.newestVersion, version)
	s.dropExpired(now)
	members := slices.Sorted(slices.Values(live))
	if last := s.history[len(s.history)-1]; !slices.Equal(last.members, members) {
		s.history = append(s.history, listView{members: members, since: now})
	}
}

// OnPeerVersion records that a peer used that version of the list at the instant at or later. The same version as this
// instance's confirms its list, also while the list can't be read. A higher one shows that this instance's list is
// outdated; its reads then confirm nothing until they return that version.
func (s *Slots) OnPeerVersion(version uint64, at decide.Instant) {
	s.newestVersion = max(s.newestVersion, version)
	if version == s.version && version == s.newestVersion {
		s.confirmedAt = max(s.confirmedAt, at)
	}
}

// dropExpired removes the lists that were replaced more than SettleTime ago.
func (s *Slots) dropExpired(now decide.Instant) {
	horizon := now.Add(-s.params.SettleTime())
	for len(s.history) > 1 && s.history[1].since <= horizon {
		s.history = s.history[1:]
	}
}

// ValidUntil returns the instant until which this instance may use its share. The monotonic clock advances while the
// process is paused, so a share from before a long pause is not used after it.
func (s *Slots) ValidUntil() decide.Instant { return s.confirmedAt.Add(s.params.maxListAge()) }

// Share returns how many of the upstream's limit slots this instance may use now: the smallest number that any list in
// use within the last SettleTime assigns to it.
func (s *Slots) Share(upstream string, limit int, now decide.Instant) (int, decide.Reason) {
	if now > s.ValidUntil() {
		return 0, ReasonStaleList
	}
	s.dropExpired(now)
	current := share(s.self, upstream, limit, s.history[len(s.history)-1].members)
	least := current
	for _, v := range s.history {
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

// Settled reports whether the instance has used the same list for all of SettleTime.
func (s *Slots) Settled(now decide.Instant) bool {
	s.dropExpired(now)
	return len(s.history) == 1 && len(s.history[0].members) > 0 && now <= s.ValidUntil()
}

// share returns how many of limit slots are assigned to self. All members get the same number, and the remaining slots
// go one each to the members that rank highest for the upstream. The share never falls as limit grows, so instances
// that know different limits together get at most the largest limit.
func share(self, upstream string, limit int, members []string) int {
	if !slices.Contains(members, self) || limit <= 0 {
		return 0
	}
	slots := limit / len(members)
	if rank(self, upstream, members) < limit%len(members) {
		slots++
	}
	return slots
}

// rank returns the number of members that rank before self for the upstream.
func rank(self, upstream string, members []string) int {
	ownScore, before := rendezvous.Score(upstream, self), 0
	for _, m := range members {
		if s := rendezvous.Score(upstream, m); s > ownScore || (s == ownScore && m < self) {
			before++
		}
	}
	return before
}
