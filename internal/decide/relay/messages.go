// Package relay decides how instances replicate the state that they share: the sequence of configuration versions
// and the signs that upstreams are leaving. A change is flooded at once to a bounded number of peers. The digest
// that every heartbeat carries repairs what the flooding missed.
package relay

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Digest summarizes the newest state of an instance. Each heartbeat carries the sender's digest, and its reply
// carries the receiver's.
type Digest struct {
	Instance      fleet.InstanceID
	Incarnation   uint64 // grows with each start of the instance
	ConfigVersion uint64 // 0: none yet
	ListVersion   uint64
	Trusted       bool          // the sender itself may send new work
	SignsHash     uint64        // of all signs that the sender holds; 0: none
	Leaving       []LeavingSign // the signs; sent only if the receiver is expected to hold different ones
}

// LeavingSign reports that an upstream is leaving. It applies to one boot of the upstream, so that the same
// upstream gets work again once it has restarted.
type LeavingSign struct {
	Upstream fleet.UpstreamID
	Boot     string        // "": any boot
	Round    uint32        // incremented when a source observes an aging sign again
	Age      time.Duration // time since a source started this round; only grows in transit
}

// Config is one version of the configuration as instances exchange it. This package doesn't interpret the bytes.
type Config struct {
	Version uint64
	Packed  []byte // immutable; empty: the peer has no version above the requested one
}
