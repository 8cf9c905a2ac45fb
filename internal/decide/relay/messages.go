// Package relay decides how news spreads between the instances: the one chain of configuration versions
// and the signs that an upstream is leaving. News is flooded to a bounded number of peers at once and
// repaired by the digests of every heartbeat.
package relay

import (
	"time"

	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Digest is what an instance knows newest; each heartbeat carries the sender's and brings the peer's back.
type Digest struct {
	Instance      fleet.InstanceID
	Incarnation   uint64 // grows with each start of the instance
	ConfigVersion uint64 // 0: none yet
	ListVersion   uint64
	Trusted       bool          // the sender may send new work itself
	SignsHash     uint64        // of all signs that the sender holds; 0: none
	Leaving       []LeavingSign // the signs, where the receiver is thought to hold others
}

// Sign says that an upstream is leaving. It is about one boot of the upstream, so that the same upstream
// started anew is not shunned.
type LeavingSign struct {
	Upstream fleet.UpstreamID
	Boot     string        // "": any boot
	Round    uint32        // grows when a source sees an old sign again
	Age      time.Duration // since the first source saw it; only grows on its way
}

// Config is one version of the configuration on its way between instances. The bytes are opaque here.
type Config struct {
	Version uint64
	Packed  []byte // never changed once made; empty: the peer has nothing above the asked version
}
