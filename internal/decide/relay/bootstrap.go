package relay

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

const (
	// bootstrapPeers are asked together while the store does not answer. One alone may be behind.
	bootstrapPeers = 4
	// bootstrapEvery is the time between rounds.
	bootstrapEvery = time.Second
)

// bootstrap gets a new instance its first configuration: from the store; in an outage, the highest of
// several peers, those of other failure domains first. An instance never gets ready without one.
type bootstrap struct {
	done    bool
	waiting int // answers of this round that are still to come
	next    decide.Instant
}

// bootstrapRead takes the outcome of a read of the store while starting up.
func (n *Node) bootstrapRead(now decide.Instant, a StoreAnswer) {
	if n.boot.done {
		return
	}
	if a != StoreFailed && n.news.Config().Version > 0 {
		n.started(BootstrappedFromStore)
		return
	}
	n.tickBootstrap(now)
}

// tickBootstrap starts a round of peers when the store has failed and no round is out.
func (n *Node) tickBootstrap(now decide.Instant) {
	b := &n.boot
	if b.done || n.store.failures == 0 || b.waiting > 0 || now.Before(b.next) {
		return
	}
	b.next = now.Add(bootstrapEvery)
	for _, p := range n.bootstrapPeers() {
		b.waiting++
		n.do(PullConfig{From: p, Sent: now, Bootstrap: true})
	}
}

// bootstrapPeers gives the peers to ask, other failure domains first, at random places in the list so
// that many new instances do not all ask the same few.
func (n *Node) bootstrapPeers() []fleet.Instance {
	all := n.members.Others()
	if len(all) == 0 {
		return nil
	}
	start := decide.IntN(n.params.Rand, len(all))
	var chosen []fleet.Instance
	for _, foreign := range []bool{true, false} {
		for i := range all {
			c := all[(start+i)%len(all)]
			if len(chosen) < bootstrapPeers && (c.Domain != n.params.Member.Self.Domain) == foreign {
				chosen = append(chosen, c)
			}
		}
	}
	return chosen
}

// bootstrapAnswer takes that one peer of the round answered or failed.
func (n *Node) bootstrapAnswer() {
	b := &n.boot
	b.waiting--
	if b.done || b.waiting > 0 {
		return
	}
	if n.news.Config().Version == 0 {
		n.do(Event{Reason: BootstrapFailed})
		return
	}
	n.started(BootstrappedFromPeers)
}

// started ends the start-up, once.
func (n *Node) started(r decide.Reason) {
	if !n.boot.done {
		n.boot.done = true
		n.do(Event{Reason: r, Version: n.news.Config().Version})
	}
}
