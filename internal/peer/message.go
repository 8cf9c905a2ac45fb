// Package peer carries heartbeats and configuration between instances over drpc. The messages' meaning
// is decide/relay's; this package bounds what a peer can cost: connections, sizes and times.
package peer

import (
	"fmt"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide/relay"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/packed"
	"github.com/damaskshelf/damaskshelf/internal/peer/peerpb"
)

const (
	// MaxMessage bounds one message in bytes. A packed configuration is below the store's megabyte, and so is a
	// packed list of ten thousand upstreams; messages that wait for a slow reader are sent as one.
	MaxMessageBytes = 8 << 20
	maxUnpacked     = 1 << 20 // bytes of one object of the store
	maxDigest       = 256     // signs that a received digest may carry
)

func encodeDigest(d relay.Digest) *peerpb.Digest {
	out := &peerpb.Digest{
		Instance: string(d.Instance), Incarnation: d.Incarnation,
		ConfigVersion: d.ConfigVersion, ListVersion: d.ListVersion, SignsHash: d.SignsHash, Trusted: d.Trusted,
	}
	for _, s := range d.Leaving {
		out.Leaving = append(out.Leaving, &peerpb.LeavingSign{
			Upstream: string(s.Upstream), Boot: s.Boot, AgeMs: uint32(s.Age.Milliseconds()), Round: s.Round,
		})
	}
	return out
}

func decodeDigest(d *peerpb.Digest) (relay.Digest, error) {
	if len(d.Leaving) > maxDigest {
		return relay.Digest{}, fmt.Errorf("digest of %s carries %d signs; at most %d are taken", d.Instance, len(d.Leaving), maxDigest)
	}
	out := relay.Digest{
		Instance: fleet.InstanceID(d.Instance), Incarnation: d.Incarnation,
		ConfigVersion: d.ConfigVersion, ListVersion: d.ListVersion, SignsHash: d.SignsHash, Trusted: d.Trusted,
	}
	for _, s := range d.Leaving {
		out.Leaving = append(out.Leaving, relay.LeavingSign{
			Upstream: fleet.UpstreamID(s.Upstream), Boot: s.Boot, Round: s.Round,
			Age: time.Duration(s.AgeMs) * time.Millisecond,
		})
	}
	return out, nil
}

// Pack compresses a configuration once, where it enters the fleet; it is relayed as it is.
func Pack(raw []byte) ([]byte, error) { return packed.Pack(raw, packed.Small) }

// Unpack gives the configuration's bytes, at most a megabyte of them.
func Unpack(in []byte) ([]byte, error) { return packed.Unpack(in, maxUnpacked) }
