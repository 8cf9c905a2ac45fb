package relay

import (
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/member"
	"github.com/damaskshelf/damaskshelf/internal/decide/storebudget"
)

// watchKey is what the watchers of a failure domain are chosen by.
const watchKey = "config/current"

// storeSide is the node's reading of the store: watchers watch and read in their interval; others read
// only to start up, and when trust is about to end because no peer answers.
type storeSide struct {
	watcher  bool
	watching bool // a watch is out
	reading  bool // a read is out
	answered bool // a read was answered since the start: a configuration that comes now is the newest
	failures int  // calls in a row that failed
	retry    decide.Instant
	nextRead decide.Instant
}

// watchOrNot finds out anew whether this instance is one of its domain's watchers.
func (n *Node) watchOrNot(now decide.Instant) {
	p := n.params.Member
	is := member.IsWatcher(watchKey, p.Self, n.members.Others(), n.params.WatchersPerDomain)
	if is == n.store.watcher {
		return
	}
	n.store.watcher = is
	reason := WatcherStopped
	if is {
		reason = WatcherStarted
		n.store.nextRead = now
	}
	n.do(Event{Reason: reason})
}

func (n *Node) tickStore(now decide.Instant) {
	s := &n.store
	if now.Before(s.retry) {
		return
	}
	if s.watcher && !s.watching && n.news.Config().Version > 0 {
		s.watching = true
		n.do(WatchStore{Sent: now, Above: n.news.Config().Version, Wait: n.params.WatchWait})
	}
	if !s.reading && n.shouldRead(now) {
		s.reading = true
		n.do(ReadStore{Sent: now})
	}
}

func (n *Node) shouldRead(now decide.Instant) bool {
	s := &n.store
	starting := !n.boot.done && !now.Before(s.nextRead)
	due := s.watcher && !now.Before(s.nextRead)
	return starting || due || (n.boot.done && n.members.TrustEndsSoon(now))
}

// WatchDone takes the outcome of a WatchStore.
func (n *Node) WatchDone(now decide.Instant, _ WatchStore, c Config, a StoreAnswer) []Effect {
	n.store.watching = false
	n.storeAnswered(now, a)
	if a == StoreFound {
		n.take(now, c)
	}
	n.tickStore(now)
	n.heartbeats(now)
	return n.finish(now)
}

// ReadDone takes the outcome of a ReadStore.
func (n *Node) ReadDone(now decide.Instant, sent ReadStore, c Config, a StoreAnswer) []Effect {
	n.store.reading = false
	n.storeAnswered(now, a)
	n.store.answered = n.store.answered || a != StoreFailed
	if a == StoreFound {
		n.take(now, c)
	}
	if a != StoreFailed && n.caughtUp() {
		n.members.RecordStoreRead(sent.Sent)
	}
	size := len(n.news.Config().Packed) // the store sends it unpacked; see readInflation
	n.store.nextRead = now.Add(storebudget.ReadInterval(size*readInflation, n.params.ReadInterval, n.params.ReadBytesPerSecond))
	n.bootstrapRead(now, a)
	n.heartbeats(now)
	return n.finish(now)
}

// readInflation is about the ratio of a configuration's size in the store to its packed size;
// internal/peer's TestBytesOfAConfigurationChange prints both.
const readInflation = 10

// storeAnswered keeps the backoff, and tells when the store is lost and when it is back.
func (n *Node) storeAnswered(now decide.Instant, a StoreAnswer) {
	s := &n.store
	if a != StoreFailed {
		if s.failures > 0 {
			n.do(Event{Reason: StoreRegained})
		}
		s.failures = 0
		return
	}
	if now.Before(s.retry) {
		return
	}
	if s.failures == 0 {
		n.do(Event{Reason: StoreLost})
	}
	s.failures++
	s.retry = now.Add(storebudget.Backoff(n.params.Rand, s.failures, len(n.members.Others())+1))
}
