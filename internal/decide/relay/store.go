package relay

import (
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/member"
	"github.com/damaskshelf/damaskshelf/internal/decide/storebudget"
)

// watchKey is the key by which the watchers of a failure domain are chosen.
const watchKey = "config/current"

// storeState tracks this instance's calls to the store. Watchers watch the configuration and also read it at an
// interval. Other instances read only during start-up, and when trust is about to end because no peer answers.
type storeState struct {
	watcher       bool
	watchInFlight bool
	readInFlight  bool
	readSucceeded bool           // a read succeeded since the start, so that start-up needs no peers
	failures      int            // consecutive failed calls
	retryAt       decide.Instant // no call before it, after a failure
	nextReadAt    decide.Instant
}

// updateWatcherRole determines again whether this instance is one of its failure domain's watchers.
func (n *Node) updateWatcherRole(now decide.Instant) {
	p := n.params.Member
	watcher := member.IsWatcher(watchKey, p.Self, n.members.Others(), n.params.WatchersPerDomain)
	if watcher == n.store.watcher {
		return
	}
	n.store.watcher = watcher
	reason := WatcherStopped
	if watcher {
		reason = WatcherStarted
		n.store.nextReadAt = now
	}
	n.emit(Event{Reason: reason})
}

// startStoreCalls starts the watch and the read that are due, unless the backoff after a failure is running.
func (n *Node) startStoreCalls(now decide.Instant) {
	s := &n.store
	if now.Before(s.retryAt) {
		return
	}
	if s.watcher && !s.watchInFlight && n.shared.Config().Version > 0 {
		s.watchInFlight = true
		n.emit(WatchStore{Sent: now, Above: n.shared.Config().Version, Wait: n.params.WatchWait})
	}
	if !s.readInFlight && n.shouldRead(now) {
		s.readInFlight = true
		n.emit(ReadStore{Sent: now})
	}
}

// shouldRead reports whether a read is due: during start-up, as a watcher, or because trust is about to end.
func (n *Node) shouldRead(now decide.Instant) bool {
	s := &n.store
	starting := !n.bootstrap.done && !now.Before(s.nextReadAt)
	due := s.watcher && !now.Before(s.nextReadAt)
	return starting || due || (n.bootstrap.done && n.members.TrustEndsSoon(now))
}

// WatchDone handles the outcome of a WatchStore.
func (n *Node) WatchDone(now decide.Instant, _ WatchStore, c Config, a StoreAnswer) []Effect {
	n.store.watchInFlight = false
	n.recordStoreAnswer(now, a)
	if a == StoreFound {
		n.applyConfig(now, c)
	}
	n.startStoreCalls(now)
	n.sendDueHeartbeats(now)
	return n.finish(now)
}

// ReadDone handles the outcome of a ReadStore.
func (n *Node) ReadDone(now decide.Instant, sent ReadStore, c Config, a StoreAnswer) []Effect {
	n.store.readInFlight = false
	n.recordStoreAnswer(now, a)
	n.store.readSucceeded = n.store.readSucceeded || a != StoreFailed
	if a == StoreFound {
		n.applyConfig(now, c)
	}
	if a != StoreFailed && n.caughtUp() {
		n.members.RecordStoreRead(sent.Sent)
	}
	size := len(n.shared.Config().Packed) // the store sends it uncompressed; see compressionRatio
	n.store.nextReadAt = now.Add(storebudget.ReadInterval(size*compressionRatio, n.params.ReadInterval, n.params.ReadBytesPerSecond))
	n.bootstrapStoreRead(now, a)
	n.sendDueHeartbeats(now)
	return n.finish(now)
}

// compressionRatio is the approximate ratio of a configuration's size in the store to its packed size.
// TestConfigurationChangeBytes of internal/peer prints both.
const compressionRatio = 10

// recordStoreAnswer updates the backoff after a call to the store, and logs when the store becomes unavailable and
// when it is available again.
func (n *Node) recordStoreAnswer(now decide.Instant, a StoreAnswer) {
	s := &n.store
	if a != StoreFailed {
		if s.failures > 0 {
			n.emit(Event{Reason: StoreRegained})
		}
		s.failures = 0
		return
	}
	if now.Before(s.retryAt) {
		return
	}
	if s.failures == 0 {
		n.emit(Event{Reason: StoreLost})
	}
	s.failures++
	s.retryAt = now.Add(storebudget.Backoff(n.params.Rand, s.failures, len(n.members.Others())+1))
}
