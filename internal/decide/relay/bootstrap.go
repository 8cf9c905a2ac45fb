package relay

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

const (
	// maxBootstrapPeers is how many peers are asked in one round while the store is unavailable. A single peer may
	// be behind.
	maxBootstrapPeers = 4
	// bootstrapInterval is the time between two rounds.
	bootstrapInterval = time.Second
)

// bootstrap obtains the first configuration of a new instance: from the store or, during an outage of the store,
// the highest version that several peers hold. Peers of other failure domains are asked first. An instance never
// becomes ready without a configuration.
type bootstrap struct {
	done      bool
	pending   int            // pulls of the current round in flight
	nextRound decide.Instant // earliest start of the next round
}

// bootstrapStoreRead handles the outcome of a store read during start-up: a configuration from the store completes
// the start-up, a failure may start a round of pulls from peers.
func (n *Node) bootstrapStoreRead(now decide.Instant, a StoreAnswer) {
	if n.bootstrap.done {
		return
	}
	if a != StoreFailed && n.shared.Config().Version > 0 {
		n.finishBootstrap(BootstrappedFromStore)
		return
	}
	n.startBootstrapRound(now)
}

// startBootstrapRound sends a round of pulls to peers if the store has failed, no round is in flight and
// bootstrapInterval has passed.
func (n *Node) startBootstrapRound(now decide.Instant) {
	b := &n.bootstrap
	if b.done || n.store.failures == 0 || b.pending > 0 || now.Before(b.nextRound) {
		return
	}
	b.nextRound = now.Add(bootstrapInterval)
	for _, p := range n.chooseBootstrapPeers() {
		b.pending++
		n.emit(PullConfig{From: p, Sent: now, Bootstrap: true})
	}
}

// chooseBootstrapPeers returns the peers for one round, those of other failure domains first. It starts at a
// random position in the list, so that many new instances don't all ask the same few.
func (n *Node) chooseBootstrapPeers() []fleet.Instance {
	all := n.members.Others()
	if len(all) == 0 {
		return nil
	}
	start := decide.IntN(n.params.Rand, len(all))
	var chosen []fleet.Instance
	for _, otherDomain := range []bool{true, false} {
		for i := range all {
			c := all[(start+i)%len(all)]
			if len(chosen) < maxBootstrapPeers && (c.Domain != n.params.Member.Self.Domain) == otherDomain {
				chosen = append(chosen, c)
			}
		}
	}
	return chosen
}

// bootstrapPullDone records that one pull of the round ended. After the last one, the start-up is complete if any
// peer had a configuration.
func (n *Node) bootstrapPullDone() {
	b := &n.bootstrap
	b.pending--
	if b.done || b.pending > 0 {
		return
	}
	if n.shared.Config().Version == 0 {
		n.emit(Event{Reason: BootstrapFailed})
		return
	}
	n.finishBootstrap(BootstrappedFromPeers)
}

// finishBootstrap marks the start-up as complete and logs why. Later calls have no effect.
func (n *Node) finishBootstrap(r decide.Reason) {
	if !n.bootstrap.done {
		n.bootstrap.done = true
		n.emit(Event{Reason: r, Version: n.shared.Config().Version})
	}
}
